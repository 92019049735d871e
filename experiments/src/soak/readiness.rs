//! Whether the system is ready: each control node reaches a majority and knows all shields and servers, and all sessions
//! have applied what they were pushed.

use std::collections::BTreeSet;
use std::time::Duration;

use glenfall::operator::commands::ControlAddresses;
use serde_json::Value;

use super::schedule::SystemSize;
use crate::plan::Plan;
use crate::status::{control_nodes, count_ready, has_applied_all, sessions};

/// How often states that are waited for are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Describes what is missing; an empty text where the system is ready.
pub async fn missing(controls: &ControlAddresses, plan: &Plan, size: SystemSize) -> String {
    let nodes = control_nodes(controls).await.unwrap_or_default();
    let servers: u8 = plan.services.iter().map(|service| service.servers).sum();
    let mut missing = Vec::new();
    for (number, node) in (1..).zip(&nodes) {
        if node["inMajority"] != true || node["outlivesLosses"] != true {
            missing.push(format!("core-{number} reaches no majority"));
        }
        let (ready_shields, ready_servers) = (count_ready(node, "shields"), count_ready(node, "servers"));
        if ready_shields != usize::from(size.cores) || ready_servers < usize::from(servers) {
            missing.push(format!("core-{number} knows {ready_shields} shields and {ready_servers} servers"));
        }
    }
    let sessions = ready_sessions(&nodes);
    if sessions.len() != usize::from(size.cores + size.edges) {
        missing.push(format!("sessions of {sessions:?} alone"));
    }
    missing.join(", ")
}

/// Returns the machines whose sessions hold a lease and have applied what they were pushed.
fn ready_sessions(nodes: &[Value]) -> BTreeSet<String> {
    let is_ready =
        |session: &&Value| session["ready"] == true && session["leased"] == true && has_applied_all(session);
    sessions(nodes).filter(is_ready).map(|session| session["node"].to_string()).collect()
}
