//! The parts of the crate, each by its own interface, without processes.

mod support;

mod agent;
mod backlog;
mod backup;
mod boot;
mod cache;
mod deadlines;
mod declare;
mod direct;
mod edge;
mod gone;
mod handed;
mod kept;
mod latency;
mod limit;
mod ops;
mod origins;
mod pool;
mod proxies;
mod purge_log;
mod relay;
mod room;
mod serve;
mod store;
mod tries;
