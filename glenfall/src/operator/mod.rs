//! Tools for operators: commands that call control, the configuration as files under version control, and a complete
//! system on this machine for the demo and for experiments.

pub mod commands;
pub mod declarative_config;
pub mod demo;
pub mod local_system;
mod path_error;

pub use self::path_error::PathError;
