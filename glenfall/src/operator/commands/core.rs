//! `core`: lists, adds and removes the voters of the core.

use std::net::Ipv4Addr;
use std::time::Duration;

use clap::Subcommand;
use hyper::Method;
use serde_json::{json, Value};

use super::control_client::{body_text, get_from_each, ControlAddresses, ControlRequest};
use super::error::OperatorError;

const CORE_PATH: &str = "/api/core";
/// Timeout of a call that changes the voters. The node's own time limits for the call add up to 4.1 s.
const VOTER_CHANGE_TIMEOUT: Duration = Duration::from_millis(4500);

#[derive(Subcommand)]
pub(crate) enum CoreCommand {
    /// Show the voters, the standbys and the number of tolerated losses, as each control node reports them
    List {
        #[command(flatten)]
        addresses: ControlAddresses,
    },
    /// Make a standby control node a voter
    Add {
        #[command(flatten)]
        addresses: ControlAddresses,
        /// IP address of the control node (its `bindIp` setting)
        node: Ipv4Addr,
    },
    /// Remove a voter; a standby replaces it if too few voters would be left
    Remove {
        #[command(flatten)]
        addresses: ControlAddresses,
        /// IP address of the control node (its `bindIp` setting)
        node: Ipv4Addr,
    },
}

/// Runs the command; returns its output.
pub(crate) async fn run(command: &CoreCommand) -> Result<String, OperatorError> {
    match command {
        CoreCommand::List { addresses } => get_from_each(addresses, CORE_PATH).await,
        CoreCommand::Add { addresses, node } => change_voters(addresses, &json!({ "add": node })).await,
        CoreCommand::Remove { addresses, node } => change_voters(addresses, &json!({ "remove": node })).await,
    }
}

async fn change_voters(addresses: &ControlAddresses, change: &Value) -> Result<String, OperatorError> {
    let request = ControlRequest {
        method: Method::POST,
        path: CORE_PATH,
        if_match: None,
        body: change.to_string().into(),
        timeout: VOTER_CHANGE_TIMEOUT,
    };
    request.send(addresses).await.map(|response| body_text(&response))
}
