//! `config`: reads or changes the configuration as one document.

use std::path::PathBuf;

use clap::Subcommand;
use hyper::Method;

use super::check::{check, read_file};
use super::control_client::{call_control, get, text, ControlAddresses};
use super::error::OperatorError;

/// Where control has the configuration.
pub(super) const CONFIG_PATH: &str = "/api/config";

#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Print the newest configuration
    Get {
        #[command(flatten)]
        at: ControlAddresses,
    },
    /// Put a whole configuration in force
    Put {
        #[command(flatten)]
        at: ControlAddresses,
        /// The version that it builds on, 0 for the first
        #[arg(long)]
        builds_on: u64,
        file: PathBuf,
    },
    /// Change named items
    Patch {
        #[command(flatten)]
        at: ControlAddresses,
        /// The version that it builds on
        #[arg(long)]
        builds_on: u64,
        file: PathBuf,
    },
}

/// Runs the command; returns what it prints.
pub(crate) async fn run(command: &ConfigCommand) -> Result<String, OperatorError> {
    let response = match command {
        ConfigCommand::Get { at } => get(at, CONFIG_PATH).await?,
        ConfigCommand::Put { at, builds_on, file } => {
            check(file)?;
            let document = read_file(file)?;
            call_control(at, Method::PUT, CONFIG_PATH, Some(*builds_on), document.into()).await?
        }
        ConfigCommand::Patch { at, builds_on, file } => {
            let change = read_file(file)?;
            call_control(at, Method::PATCH, CONFIG_PATH, Some(*builds_on), change.into()).await?
        }
    };
    Ok(text(&response))
}
