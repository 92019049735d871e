//! In-process tests of the crate's modules through their public interfaces.

mod support;

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
mod departure_log;
mod disk_cache;
mod edge_cache;
mod failure;
mod forward;
mod headers;
mod heartbeat_relay;
mod http_server;
mod known_fleet;
mod latency;
mod memory_budget;
mod object_host;
mod origins;
mod peer_requests;
mod pool;
mod proxies;
mod purge_log;
mod purge_order;
mod recent_purges;
mod send_limit;
mod settings;
mod shield_recovery;
mod store;
mod stored_data;
