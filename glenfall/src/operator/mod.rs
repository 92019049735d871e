//! The operator's side: commands that call control, configuration under version control, and the demo.

pub mod commands;
pub mod declarative_config;
pub mod demo;
pub mod local_system;
