//! The status of the control nodes, as their operators read it.

use glenfall::operator::commands::{self, ControlAddresses, OperatorError};
use serde_json::Value;

/// Returns the status of each control node; no node where the answer can't be parsed.
///
/// # Errors
///
/// Returns an error where no control node answers.
pub async fn control_nodes(controls: &ControlAddresses) -> Result<Vec<Value>, OperatorError> {
    let status = commands::status(controls).await?;
    Ok(serde_json::from_str(&status).unwrap_or_default())
}

/// Returns how many items of a list in the status of a node are ready.
pub fn count_ready(node: &Value, list: &str) -> usize {
    let items = node[list].as_array().into_iter().flatten();
    items.filter(|item| item["ready"] == true).count()
}

/// Returns the sessions of all control nodes.
pub fn sessions(nodes: &[Value]) -> impl Iterator<Item = &Value> {
    nodes.iter().flat_map(|node| node["sessions"].as_array().into_iter().flatten())
}

/// Whether a session has applied all that it was pushed.
pub fn has_applied_all(session: &Value) -> bool {
    session["applied"] == session["pushed"]
}
