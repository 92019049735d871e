//! `declared`: manages the configuration as files under version control.

use std::path::{Path, PathBuf};

use bytes::Bytes;
use clap::Subcommand;
use hyper::Method;
use serde_json::Value;

use super::config::CONFIG_PATH;
use super::control_client::{call_control, get, ControlAddresses};
use super::error::OperatorError;
use crate::operator::declarative_config::{
    self, DeclaredConfig, DeclaredConfigError, Difference, ItemCounts,
};

#[derive(Subcommand)]
pub(crate) enum DeclaredCommand {
    /// Validate the files of a folder, and the configuration that they form together
    Check {
        /// Folder with `routes`, `services` and `limits.toml`
        folder: PathBuf,
    },
    /// Show how the configuration in a folder differs from the active one
    Plan {
        #[command(flatten)]
        addresses: ControlAddresses,
        /// Folder with `routes`, `services` and `limits.toml`
        folder: PathBuf,
    },
    /// Make the configuration in a folder the active one
    Apply {
        #[command(flatten)]
        addresses: ControlAddresses,
        /// Apply only if this is the active version, against which the change was reviewed
        #[arg(long)]
        if_rev: Option<u64>,
        /// Folder with `routes`, `services` and `limits.toml`
        folder: PathBuf,
    },
    /// Write the active configuration as files into a folder
    Export {
        #[command(flatten)]
        addresses: ControlAddresses,
        /// Folder for the files; existing files are not overwritten
        folder: PathBuf,
    },
}

/// Runs the command; returns its output.
pub(crate) async fn run(command: DeclaredCommand) -> Result<String, OperatorError> {
    match command {
        DeclaredCommand::Check { folder } => check(&folder),
        DeclaredCommand::Plan { addresses, folder } => plan(&addresses, &folder).await,
        DeclaredCommand::Apply { addresses, if_rev, folder } => apply(&addresses, if_rev, &folder).await,
        DeclaredCommand::Export { addresses, folder } => export(&addresses, &folder).await,
    }
}

fn check(folder: &Path) -> Result<String, OperatorError> {
    let ItemCounts { routes, services } = DeclaredConfig::read(folder)?.counts();
    Ok(format!("{routes} routes, {services} services"))
}

async fn plan(addresses: &ControlAddresses, folder: &Path) -> Result<String, OperatorError> {
    let declared = DeclaredConfig::read(folder)?;
    let active = ActiveConfig::get(addresses).await?;
    let differences = declared.differences(&active.document)?;
    Ok(match &differences[..] {
        [] => active.unchanged_message(),
        differences => format!("changes to version {}:\n{}", active.rev, format_differences(differences)),
    })
}

async fn apply(
    addresses: &ControlAddresses,
    if_rev: Option<u64>,
    folder: &Path,
) -> Result<String, OperatorError> {
    let declared = DeclaredConfig::read(folder)?;
    let active = ActiveConfig::get(addresses).await?;
    if let Some(expected) = if_rev.filter(|expected| *expected != active.rev) {
        return Err(OperatorError::VersionMismatch { expected, current: active.rev });
    }
    let differences = declared.differences(&active.document)?;
    if differences.is_empty() && active.rev > 0 {
        return Ok(active.unchanged_message());
    }
    let next_rev = active.rev + 1;
    // After a concurrent change this fails with 412, so that it can't overwrite that change.
    let document = declared.document(next_rev);
    call_control(addresses, Method::PUT, CONFIG_PATH, Some(active.rev), document.into()).await?;
    Ok(format!("version {next_rev} is now active:\n{}", format_differences(&differences)))
}

async fn export(addresses: &ControlAddresses, folder: &Path) -> Result<String, OperatorError> {
    let active = ActiveConfig::get(addresses).await?;
    let unsupported_fields = match active.rev {
        0 => Vec::new(),
        _ => declarative_config::write(&active.document, folder)?,
    };
    let unsupported_fields: String = unsupported_fields
        .iter()
        .map(|field| format!("\nfield not supported in files, omitted: {field}"))
        .collect();
    Ok(format!("version {} written{unsupported_fields}", active.rev))
}

fn format_differences(differences: &[Difference]) -> String {
    differences.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// The active configuration.
struct ActiveConfig {
    /// The version; 0 if there is no configuration yet.
    rev: u64,
    /// The JSON document; empty if there is no configuration yet.
    document: Bytes,
}

impl ActiveConfig {
    async fn get(addresses: &ControlAddresses) -> Result<ActiveConfig, OperatorError> {
        let response = match get(addresses, CONFIG_PATH).await {
            Err(OperatorError::Rejected { status: 404, .. }) => {
                return Ok(ActiveConfig { rev: 0, document: Bytes::new() });
            }
            response => response?,
        };
        let document: Value = serde_json::from_slice(response.body()).map_err(DeclaredConfigError::from)?;
        let rev = document["rev"].as_u64().unwrap_or(0);
        Ok(ActiveConfig { rev, document: response.body().clone() })
    }

    /// The message for a folder that does not differ from it.
    fn unchanged_message(&self) -> String {
        format!("version {} matches the declared configuration", self.rev)
    }
}
