//! The parts of the crate, each by its own interface, without processes.

mod support;

mod agent;
mod api_error;
mod backlog;
mod backup;
mod cache;
mod check_command;
mod client_disconnect;
mod concurrency_limit;
mod deadline_propagation;
mod deadlines;
mod declarative_config;
mod disk_cache;
mod edge_cache;
mod failure;
mod forward;
mod headers;
mod heartbeat_relay;
mod http_server;
mod latency;
mod memory_budget;
mod origins;
mod peer_requests;
mod pool;
mod proxies;
mod purge_log;
mod settings;
mod shield_recovery;
mod store;
mod stored_data;
mod tries;
