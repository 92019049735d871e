//! The replicated chain on a simulated network and disk: the real state machines, with links that delay, break and come
//! up again, partitions both ways or one, pauses, kills, losses of power, wiped disks, operators who race and send orders
//! again, and voters that are replaced. All of it follows from a seed. [`World`] is driven step by step; [`Schedule`] is a
//! list of events that replays exactly, also without some of them.

mod action;
mod aimed;
mod cluster;
mod disk;
mod faults;
mod generator;
mod losses;
mod machine;
mod network;
mod operators;
mod rng;
mod schedule;
mod sessions;
mod shrink;
mod violation;
mod world;

pub use action::{Action, Event};
pub use cluster::{node, seeds, Size};
pub use disk::Disk;
pub use faults::Fault;
pub use machine::Machine;
pub use operators::Content;
pub use schedule::{Broken, Coverage, InvalidSchedule, Schedule};
pub use shrink::shrunk;
pub use violation::Violation;
pub use world::{World, TICK};
