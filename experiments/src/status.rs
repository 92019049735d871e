//! Reads the status of the control nodes through the API for operators.

use glenfall::operator::commands::{self, ControlAddresses, OperatorError};
use serde_json::Value;

/// Returns the status of each control node; empty if the response can't be parsed.
///
/// # Errors
///
/// Returns an error if no control node responds.
pub async fn control_nodes(controls: &ControlAddresses) -> Result<Vec<Value>, OperatorError> {
    let status = commands::status(controls).await?;
    Ok(serde_json::from_str(&status).unwrap_or_default())
}

/// Counts the ready items in a list in the status of a node, such as `shields` or `servers`.
pub fn count_ready(node: &Value, list: &str) -> usize {
    let items = node[list].as_array().into_iter().flatten();
    items.filter(|item| item["ready"] == true).count()
}

/// Returns the sessions in the status of all control nodes.
pub fn sessions(nodes: &[Value]) -> impl Iterator<Item = &Value> {
    nodes.iter().flat_map(|node| node["sessions"].as_array().into_iter().flatten())
}

/// Whether a session has applied all updates that were pushed to it.
pub fn has_applied_all(session: &Value) -> bool {
    session["applied"] == session["pushed"]
}
