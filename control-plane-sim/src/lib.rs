//! A deterministic simulation of the replicated chain: the real state machines run on a simulated network and disk.
//!
//! Links delay messages, break and reconnect. Faults are partitions in one or both directions, pauses, killed
//! processes, power failures, and wiped or stalled disks. Simulated operators send concurrent changes, retry requests
//! and replace voters. Every answer that they receive is checked against the committed changes.
//!
//! All randomness comes from a seed. [`World`] is driven step by step. [`Schedule`] is a list of events that replays
//! exactly, even if some of its events are left out, so that a failing schedule can be shrunk.

mod action;
mod cluster;
mod coverage;
mod injected_bug;
mod machine;
mod network;
mod operators;
mod rng;
mod schedule;
mod violation;
mod world;

pub use action::{Action, DocumentKind, Event, MachinePair};
pub use cluster::{node, seeds, ClusterSize};
pub use coverage::Coverage;
pub use injected_bug::InjectedBug;
pub use machine::disk::Disk;
pub use machine::Machine;
pub use operators::CommittedChange;
pub use schedule::shrink::{shrink, ShrunkSchedule};
pub use schedule::{FailedRun, InvalidSchedule, Schedule};
pub use violation::Violation;
pub use world::{World, STEP_INTERVAL};
