//! `purge`: removes the stored responses of one object, or of all objects with a label.

use clap::Args;
use hyper::Method;
use serde_json::json;

use super::control_client::{body_text, call_control, ControlAddresses};
use super::error::OperatorError;

#[derive(Args)]
pub(crate) struct PurgeArguments {
    #[command(flatten)]
    addresses: ControlAddresses,
    /// Purge all objects with this label
    #[arg(long, conflicts_with_all = ["host", "path"])]
    label: Option<String>,
    /// Host of the object to purge
    #[arg(long, requires = "path", required_unless_present = "label")]
    host: Option<String>,
    /// Path of the object to purge
    #[arg(long, requires = "host")]
    path: Option<String>,
}

/// Runs the command; returns its output.
pub(crate) async fn run(arguments: &PurgeArguments) -> Result<String, OperatorError> {
    let body = match &arguments.label {
        Some(label) => json!({ "label": label }),
        None => json!({ "hostname": arguments.host, "urlPath": arguments.path }),
    };
    let body = body.to_string().into();
    let response = call_control(&arguments.addresses, Method::POST, "/api/purge", None, body).await?;
    Ok(body_text(&response))
}
