//! `status`: shows members, servers, and which member has applied which version.

use super::control_client::{get_from_each, ControlAddresses};
use super::error::OperatorError;

/// The status that each control node reports: a list with one document for each node, as indented JSON.
pub async fn status(addresses: &ControlAddresses) -> Result<String, OperatorError> {
    get_from_each(addresses, "/api/status").await
}
