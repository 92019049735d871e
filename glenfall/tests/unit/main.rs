//! The parts of the crate, each by its own interface, without processes.

mod support;

mod agent;
mod api_error;
mod backlog;
mod backup;
mod cache;
mod concurrency_limit;
mod deadlines;
mod declare;
mod disk_cache;
mod edge;
mod failure;
mod forward;
mod gone;
mod handed;
mod headers;
mod heartbeat_relay;
mod http_server;
mod latency;
mod memory_budget;
mod ops;
mod origins;
mod peer_requests;
mod pool;
mod proxies;
mod purge_log;
mod restarted;
mod settings;
mod store;
mod stored_data;
mod tries;
