//! `config`: reads or changes the configuration as one JSON document.

use std::path::PathBuf;

use clap::Subcommand;
use hyper::Method;

use super::check::{check, read_file};
use super::control_client::{body_text, call_control, get, ControlAddresses};
use super::error::OperatorError;

/// The path of the configuration in control's HTTP API.
pub(super) const CONFIG_PATH: &str = "/api/config";

#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Print the active configuration
    Get {
        #[command(flatten)]
        addresses: ControlAddresses,
    },
    /// Replace the complete configuration
    Put {
        #[command(flatten)]
        addresses: ControlAddresses,
        /// Version that the new configuration replaces; 0 if there is none yet
        #[arg(long)]
        builds_on: u64,
        /// JSON file with the new configuration
        file: PathBuf,
    },
    /// Add, replace or remove individual items of the configuration
    Patch {
        #[command(flatten)]
        addresses: ControlAddresses,
        /// Version that the change is based on
        #[arg(long)]
        builds_on: u64,
        /// JSON file with the items to add, replace (`upsert`) and remove (`remove`)
        file: PathBuf,
    },
}

/// Runs the command; returns its output.
pub(crate) async fn run(command: &ConfigCommand) -> Result<String, OperatorError> {
    let response = match command {
        ConfigCommand::Get { addresses } => get(addresses, CONFIG_PATH).await?,
        ConfigCommand::Put { addresses, builds_on, file } => {
            check(file)?;
            let document = read_file(file)?;
            call_control(addresses, Method::PUT, CONFIG_PATH, Some(*builds_on), document.into()).await?
        }
        ConfigCommand::Patch { addresses, builds_on, file } => {
            let change = read_file(file)?;
            call_control(addresses, Method::PATCH, CONFIG_PATH, Some(*builds_on), change.into()).await?
        }
    };
    Ok(body_text(&response))
}
