//! Readiness of the system: each control node reaches a majority and knows all shields and servers, and the session
//! of each machine holds a lease and has applied all updates pushed to it.

use std::collections::BTreeSet;
use std::time::Duration;

use glenfall::operator::commands::ControlAddresses;
use serde_json::Value;

use super::schedule::SystemSize;
use crate::plan::Plan;
use crate::status::{control_nodes, count_ready, has_applied_all, sessions};

/// Interval between polls of a condition that a run waits for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Describes the readiness conditions that are not met. Empty if the system is ready.
pub async fn unmet_conditions(controls: &ControlAddresses, plan: &Plan, size: SystemSize) -> String {
    let nodes = control_nodes(controls).await.unwrap_or_default();
    let servers: u8 = plan.services.iter().map(|service| service.servers).sum();
    let mut unmet = Vec::new();
    for (number, node) in (1..).zip(&nodes) {
        if node["inMajority"] != true || node["outlivesLosses"] != true {
            unmet.push(format!("core-{number} does not reach a majority"));
        }
        let (ready_shields, ready_servers) = (count_ready(node, "shields"), count_ready(node, "servers"));
        if ready_shields != usize::from(size.cores) || ready_servers < usize::from(servers) {
            unmet.push(format!("core-{number} knows {ready_shields} shields and {ready_servers} servers"));
        }
    }
    let sessions = ready_sessions(&nodes);
    if sessions.len() != usize::from(size.cores + size.edges) {
        unmet.push(format!("only the sessions of {sessions:?} are ready"));
    }
    unmet.join(", ")
}

/// Returns the machines whose sessions are ready, hold a lease and have applied all pushed updates.
fn ready_sessions(nodes: &[Value]) -> BTreeSet<String> {
    let is_ready =
        |session: &&Value| session["ready"] == true && session["leased"] == true && has_applied_all(session);
    sessions(nodes).filter(is_ready).map(|session| session["node"].to_string()).collect()
}
