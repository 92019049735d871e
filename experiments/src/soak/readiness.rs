//! Whether the system is ready: each control node reaches a majority and knows all shields and servers, and all sessions
//! have applied what they were pushed.

use std::collections::BTreeSet;
use std::time::Duration;

use glenfall::operator::commands::{self, ControlAddresses};
use serde_json::Value;

use super::schedule::SystemSize;
use crate::plan::Plan;

/// How often states that are waited for are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Describes what is missing; an empty text where the system is ready.
pub async fn missing(controls: &ControlAddresses, plan: &Plan, size: SystemSize) -> String {
    let status = commands::status(controls).await.unwrap_or_default();
    let nodes: Vec<Value> = serde_json::from_str(&status).unwrap_or_default();
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

fn count_ready(node: &Value, list: &str) -> usize {
    let items = node[list].as_array().into_iter().flatten();
    items.filter(|item| item["ready"] == true).count()
}

/// Returns the machines whose sessions hold a lease and have applied what they were pushed.
fn ready_sessions(nodes: &[Value]) -> BTreeSet<String> {
    let is_ready = |session: &&Value| {
        session["ready"] == true && session["leased"] == true && session["applied"] == session["pushed"]
    };
    let sessions = nodes.iter().flat_map(|node| node["sessions"].as_array().into_iter().flatten());
    sessions.filter(is_ready).map(|session| session["node"].to_string()).collect()
}
