//! The parts of the crate, each by its own interface, without processes.

mod support;

mod cache;
mod direct;
mod edge;
mod limit;
mod pool;
mod room;
mod serve;
