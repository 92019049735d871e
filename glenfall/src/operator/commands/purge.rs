//! `purge`: ends all stored responses for an object, or for all objects with a label.

use clap::Args;
use hyper::Method;
use serde_json::json;

use super::control_client::{call_control, text, ControlAddresses};
use super::error::OperatorError;

#[derive(Args)]
pub(crate) struct PurgeArguments {
    #[command(flatten)]
    at: ControlAddresses,
    /// All objects with this label
    #[arg(long, conflicts_with_all = ["host", "path"])]
    label: Option<String>,
    /// Host of one object
    #[arg(long, requires = "path", required_unless_present = "label")]
    host: Option<String>,
    /// Path of one object
    #[arg(long, requires = "host")]
    path: Option<String>,
}

/// Runs the command; returns what it prints.
pub(crate) async fn run(arguments: &PurgeArguments) -> Result<String, OperatorError> {
    let body = match &arguments.label {
        Some(label) => json!({ "label": label }),
        None => json!({ "hostname": arguments.host, "urlPath": arguments.path }),
    };
    let body = body.to_string().into();
    let response = call_control(&arguments.at, Method::POST, "/api/purge", None, body).await?;
    Ok(text(&response))
}
