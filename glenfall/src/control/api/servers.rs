//! `/api/servers/ID`: heartbeats of servers, and their deregistration.

use glenfall_control_plane::registry::{HeartbeatOutcome, HeartbeatRequest, ServerEntry};

use super::empty_response;
use super::error::ApiError;
use crate::control::node::Control;
use crate::http_server::FullResponse;

/// Records a heartbeat. The heartbeat of a draining server is acknowledged only once all control nodes know its status.
pub(super) async fn heartbeat(control: &Control, id: &str, body: &[u8]) -> Result<FullResponse, ApiError> {
    let request: HeartbeatRequest = serde_json::from_slice(body).map_err(ApiError::InvalidBody)?;
    let entry = ServerEntry::from_heartbeat(id, request).ok_or(ApiError::InvalidServerName)?;
    if !control.chain.has_quorum() {
        return Err(ApiError::NoQuorum);
    }
    match control.servers.heartbeat(entry).await {
        Ok(HeartbeatOutcome::Changed | HeartbeatOutcome::Refreshed | HeartbeatOutcome::Stale) => {
            Ok(empty_response())
        }
        Ok(HeartbeatOutcome::RegistryFull) => Err(ApiError::RegistryFull),
        Err(_) => Err(ApiError::NotReplicated),
    }
}

/// Deregisters a server; succeeds once all control nodes know of the deregistration.
pub(super) async fn deregister(control: &Control, id: &str) -> Result<FullResponse, ApiError> {
    if !control.chain.has_quorum() {
        return Err(ApiError::NoQuorum);
    }
    control.servers.deregister(id).await.map_err(|_| ApiError::NotReplicated)?;
    Ok(empty_response())
}
