//! The parts of the crate, each by its own interface, without processes.

mod support;

mod agent;
mod backlog;
mod backup;
mod boot;
mod cache;
mod declare;
mod direct;
mod edge;
mod kept;
mod latency;
mod limit;
mod ops;
mod origins;
mod pool;
mod purge_log;
mod room;
mod serve;
mod store;
