//! The parts of the crate, each by its own interface.

mod budget;
mod ceiling;
mod config;
mod fleet;
mod invariant;
mod peers;
mod purges;
mod registry;
mod settings;
mod subset;
mod voters;
