//! glenfall: a content delivery network in one binary. Each role is a subcommand; the environment variable
//! `GLENFALL_CONFIG` has the path of the settings file.

pub mod agent;
pub mod cache;
mod cli;
pub mod control;
mod disk;
pub mod edge;
pub mod http;
pub mod http_server;
pub mod memory_budget;
pub mod metrics;
pub mod operator;
mod roles;
pub mod runtime;
pub mod session;
pub mod settings;
pub mod shield;
mod signals;
pub mod upstream;
pub mod watch_client;

pub use self::cli::main;
