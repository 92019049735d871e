//! `/api/servers/ID`: heartbeats of servers, and their deregistration.

use glenfall_control_plane::registry::{HeartbeatOutcome, HeartbeatRequest, ServerEntry};

use super::empty_response;
use super::error::ApiError;
use crate::control::Control;
use crate::http_server::FullResponse;

/// Takes a heartbeat. That a server is draining is acknowledged only once all control nodes know it.
pub(super) async fn heartbeat(control: &Control, id: &str, body: &[u8]) -> Result<FullResponse, ApiError> {
    let request: HeartbeatRequest = serde_json::from_slice(body).map_err(ApiError::InvalidBody)?;
    let entry = ServerEntry::of(id, request).ok_or(ApiError::InvalidServerName)?;
    if !control.in_majority() {
        return Err(ApiError::NoQuorum);
    }
    match control.heard(entry).await {
        Some(HeartbeatOutcome::Changed | HeartbeatOutcome::Refreshed | HeartbeatOutcome::Stale) => {
            Ok(empty_response())
        }
        Some(HeartbeatOutcome::RegistryFull) => Err(ApiError::RegistryFull),
        None => Err(ApiError::NotReplicated),
    }
}

/// Deregisters a server, and succeeds once all control nodes know it.
pub(super) async fn deregister(control: &Control, id: &str) -> Result<FullResponse, ApiError> {
    if !control.in_majority() {
        return Err(ApiError::NoQuorum);
    }
    if control.said_goodbye(id).await {
        Ok(empty_response())
    } else {
        Err(ApiError::NotReplicated)
    }
}
