//! `/api/core`: lists, adds and removes the voters of the chain.

use std::net::Ipv4Addr;
use std::time::Duration;

use glenfall_control_plane::chain::{View, VoterChange, VoterChangeError};
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{sleep, timeout, Instant};

use super::error::ApiError;
use super::json_response;
use crate::control::node::{Control, TICK_INTERVAL};
use crate::http_server::FullResponse;

/// Time limit for the quorum read of the newest set of voters. Together with [`VOTER_CHANGE_TIMEOUT`] it is below the
/// 4.5 s after which the operator command gives up a call.
const QUORUM_READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Time limit for a change of the voters, until views with the new set are active.
const VOTER_CHANGE_TIMEOUT: Duration = Duration::from_millis(3200);

/// The body of a request. Exactly one of the fields must be present.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterChangeRequest {
    add: Option<Ipv4Addr>,
    remove: Option<Ipv4Addr>,
}

impl VoterChangeRequest {
    fn change(&self) -> Result<VoterChange, ApiError> {
        match (self.add, self.remove) {
            (Some(node), None) => Ok(VoterChange::Add(node)),
            (None, Some(node)) => Ok(VoterChange::Remove(node)),
            _ => Err(ApiError::InvalidVoterChange),
        }
    }
}

/// Lists the voters and the standbys, and how many losses the voters have to tolerate.
pub(super) fn list(control: &Control) -> FullResponse {
    let chain = control.chain.state();
    let members = chain.members();
    let voters: Vec<_> = members
        .voters
        .iter()
        .map(|voter| {
            let in_chain = chain.view().is_some_and(|view| view.chain.contains(voter));
            json!({ "node": voter, "inChain": in_chain, "awayMs": chain.time_since_last_message(*voter) })
        })
        .collect();
    let body = json!({
        "node": control.settings.bind_ip,
        "view": chain.view().map(View::name),
        "voters": voters,
        "outgoingVoters": members.outgoing,
        // The name of `outgoingVoters` before version 0.4.
        "lettingGoOf": members.outgoing,
        "standingBy": chain.standbys(),
        "losses": control.settings.survive.hosts,
        "outlivesLosses": chain.tolerates_losses(),
        "inMajority": chain.has_quorum(),
    });
    json_response(StatusCode::OK, &body)
}

/// Adds or removes a voter; succeeds once views with the new set are active.
pub(super) async fn change(control: &Control, body: &[u8]) -> Result<FullResponse, ApiError> {
    let request: VoterChangeRequest = serde_json::from_slice(body).map_err(ApiError::InvalidBody)?;
    let change = request.change()?;
    // The change is validated against the newest set of voters that a majority knows.
    if timeout(QUORUM_READ_TIMEOUT, control.quorum_reads.wait_for_newest()).await.is_err() {
        return Err(VoterChangeError::NoView.into());
    }
    let voters = control.chain.request_voter_change(change)?;
    // `seat` is the name of the field `change` before version 0.4.
    tracing::info!(?change, seat = ?change, ?voters, "voter change requested by an operator");
    if wait_until_active(control, &voters).await {
        Ok(json_response(StatusCode::OK, &json!({ "voters": voters })))
    } else {
        Err(ApiError::VoterChangePending)
    }
}

/// Waits until exactly these voters are active; false if that takes longer than [`VOTER_CHANGE_TIMEOUT`].
async fn wait_until_active(control: &Control, voters: &[Ipv4Addr]) -> bool {
    let started = Instant::now();
    while started.elapsed() < VOTER_CHANGE_TIMEOUT {
        sleep(TICK_INTERVAL).await;
        let chain = control.chain.state();
        let members = chain.members();
        if members.voters == voters && members.outgoing.is_empty() {
            return true;
        }
    }
    false
}
