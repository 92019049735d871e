//! `/api/status`: reports what this control node knows of the chain, its peers, the servers, and the sessions.

use std::collections::BTreeMap;

use hyper::StatusCode;
use serde_json::{json, Value};

use super::json_response;
use crate::control::node::Control;
use crate::http_server::FullResponse;
use crate::session::link;
use crate::session::publisher::SessionStatus;

/// The state of this node, for operators to inspect.
pub(super) fn report(control: &Control) -> FullResponse {
    let chain = control.chain.state();
    let sessions: Vec<Value> = control.sessions.statuses().into_iter().map(session_report).collect();
    let fleet = control.fleet.published();
    // While the registry is incomplete, the published fleet also lists deregistered servers, which are left out here.
    let is_registered = |id: &str| !control.registry.is_deregistered(id);
    let servers: Vec<_> = fleet.servers.iter().filter(|server| is_registered(&server.id)).collect();
    let report = json!({
        "node": control.settings.node,
        "rev": chain.committed().rev,
        "voters": chain.members().voters,
        "outlivesLosses": chain.tolerates_losses(),
        "view": chain.view().map(|view| json!({ "name": view.name(), "chain": view.chain })),
        "inMajority": chain.has_quorum(),
        "peers": control.peers.links.connected(),
        "servers": servers,
        "shields": fleet.shields,
        "sessions": sessions,
        "counters": by_name(link::report("")),
        "upMs": control.clock.uptime().as_millis() as u64,
    });
    json_response(StatusCode::OK, &report)
}

fn session_report(session: SessionStatus) -> Value {
    json!({
        "node": session.node,
        "ready": session.member.as_ref().is_some_and(|member| member.ready),
        "pushed": session.sent,
        "applied": session.applied,
        "leased": session.leased,
        "counters": by_name(session.counters.into_iter().map(|counter| (counter.name, counter.value))),
    })
}

fn by_name(counters: impl IntoIterator<Item = (String, u64)>) -> BTreeMap<String, u64> {
    counters.into_iter().collect()
}
