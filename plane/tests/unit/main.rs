//! The parts of the crate, each by its own interface.

mod budget;
mod ceiling;
mod config;
mod fleet;
mod purges;
mod registry;
mod subset;
mod voters;
