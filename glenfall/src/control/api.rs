//! What servers and operators call.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::chain::{Call, Outcome, VoterChange, VoterChangeError};
use glenfall_control_plane::config::{ConfigChange, RequestLimits, MAX_DOCUMENT_BYTES};
use glenfall_control_plane::messages::Purge;
use glenfall_control_plane::registry::{HeartbeatOutcome, HeartbeatRequest, ServerEntry};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{sleep, timeout, Instant};

use super::backup::Backup;
use super::Control;
use crate::http_server::{FullRequest, FullResponse, Handler};
use crate::metrics::log_limit::LogLimit;

/// How long it may take to prove what is the newest; callers move on after a second.
const NEWEST: Duration = Duration::from_millis(900);
/// How long a change of the voters is waited for.
const SEATED: Duration = Duration::from_millis(3200);
/// Longest reason that is told, in bytes: an answer of more than 4 KiB is none to a server, and in JSON a byte may
/// take six.
const LONGEST_WHY: usize = 600;
/// Longest host, path or label of a purge.
const LONGEST: usize = 8 << 10;

/// Lines about refused calls that may be written at once, and from then on in a second.
const LINES_AT_ONCE: f64 = 64.0;
const LINES_PER_S: f64 = 2.0;

/// The calls of servers and operators at a control node.
pub struct Api {
    control: Rc<Control>,
    refusals: RefCell<LogLimit>,
}

/// Why a call was refused, for the log.
#[derive(Clone)]
struct Reason(String);

impl Api {
    /// The calls that this node answers.
    pub fn new(control: Rc<Control>) -> Self {
        Api { control, refusals: RefCell::new(LogLimit::new(LINES_AT_ONCE, LINES_PER_S)) }
    }

    /// Writes a line for a call that is refused.
    fn note_refusal(&self, head: &Parts, answer: &FullResponse, began: Instant) {
        let Some(not_logged) = self.refusals.borrow_mut().admit(Instant::now()) else { return };
        let reason = answer.extensions().get::<Reason>().map_or("", |reason| &reason.0);
        tracing::warn!(
            method = %head.method,
            path = ?head.uri.path(),
            status = answer.status().as_u16(),
            reason,
            after_ms = began.elapsed().as_millis() as u64,
            not_logged,
            "call refused"
        );
    }
}

fn answer(status: StatusCode, body: serde_json::Value) -> FullResponse {
    raw(status, Bytes::from(body.to_string()))
}

fn raw(status: StatusCode, body: Bytes) -> FullResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn wrong(status: StatusCode, why: impl std::fmt::Display) -> FullResponse {
    let mut why = why.to_string();
    if why.len() > LONGEST_WHY {
        // What is wrong may be quoted, and be as long as the caller made it.
        why.truncate(why.floor_char_boundary(LONGEST_WHY));
        why.push('…');
    }
    with_reason(answer(status, json!({ "error": why })), why)
}

fn with_reason(mut answer: FullResponse, why: String) -> FullResponse {
    answer.extensions_mut().insert(Reason(why));
    answer
}

/// The order may have been applied before the horizon of the deduplication table: no node will ever tell, and sending it
/// again is no use. Its caller reads the current version back, and decides.
fn forgotten(up_to: u64, current: u64) -> FullResponse {
    let why = format!(
        "no clear answer: versions up to {up_to} may have been taken, too long ago to tell; version {current} is in \
         force: read it back, and do not send this again"
    );
    let body = json!({ "error": why, "current": current, "forgottenUpTo": up_to, "readBack": "/api/config" });
    with_reason(
        answer(StatusCode::SERVICE_UNAVAILABLE, body),
        format!("versions up to {up_to} are forgotten"),
    )
}

fn out_of_touch() -> FullResponse {
    wrong(StatusCode::SERVICE_UNAVAILABLE, "this node does not reach a majority of the core")
}

impl Handler for Api {
    async fn handle(&self, whole: FullRequest) -> FullResponse {
        let began = Instant::now();
        let answer = self.dispatch(&whole).await;
        if answer.status().is_client_error() || answer.status().is_server_error() {
            self.note_refusal(&whole.head, &answer, began);
        }
        answer
    }

    fn limits(&self) -> RequestLimits {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: MAX_DOCUMENT_BYTES,
            header_timeout_ms: 5000,
            idle_timeout_ms: 20_000,
        }
    }

    fn is_draining(&self) -> bool {
        *self.control.stop.borrow()
    }
}

impl Api {
    async fn dispatch(&self, whole: &FullRequest) -> FullResponse {
        let path = whole.head.uri.path();
        match (whole.head.method.as_str(), path) {
            ("GET", "/api/config") => self.read().await,
            ("PUT", "/api/config") => self.change(whole, ConfigChange::Put).await,
            ("PATCH", "/api/config") => self.change(whole, ConfigChange::Patch).await,
            ("POST", "/api/purge") => self.purge(&whole.body).await,
            ("GET", "/api/state") => self.export().await,
            ("GET", "/api/core") => answer(StatusCode::OK, self.core()),
            ("POST", "/api/core") => self.seat(&whole.body).await,
            ("GET", "/api/status") => answer(StatusCode::OK, self.status()),
            ("GET", "/api/ready") if self.control.cut_off() => out_of_touch(),
            ("GET", "/api/ready") => answer(StatusCode::OK, json!({})),
            (method, path) => match (method, path.strip_prefix("/api/servers/")) {
                ("PUT", Some(id)) => self.beat(id, &whole.body).await,
                ("DELETE", Some(id)) => self.goodbye(id).await,
                (_, Some(_)) => wrong(StatusCode::METHOD_NOT_ALLOWED, "PUT or DELETE expected"),
                _ if matches!(
                    path,
                    "/api/config" | "/api/core" | "/api/purge" | "/api/state" | "/api/status"
                ) =>
                {
                    wrong(StatusCode::METHOD_NOT_ALLOWED, "method not known here")
                }
                _ => wrong(StatusCode::NOT_FOUND, "no such call"),
            },
        }
    }

    async fn read(&self) -> FullResponse {
        match self.control.call(Call::Read).await {
            Outcome::Document(record) if record.rev == 0 => {
                wrong(StatusCode::NOT_FOUND, "no configuration yet")
            }
            Outcome::Document(record) => {
                let mut answer = raw(StatusCode::OK, Bytes::from(record.document.clone()));
                answer.headers_mut().insert(header::ETAG, HeaderValue::from(record.rev));
                answer
            }
            _ => wrong(StatusCode::SERVICE_UNAVAILABLE, "no view stands"),
        }
    }

    /// The newest acknowledged state, as a backup keeps it. A read down the chain makes it consistent, whatever
    /// goes on meanwhile.
    async fn export(&self) -> FullResponse {
        let Outcome::Document(record) = self.control.call(Call::Read).await else {
            return wrong(StatusCode::SERVICE_UNAVAILABLE, "no view stands");
        };
        let chain = self.control.chain.borrow();
        let view = chain.view().map_or(0, |view| view.number);
        match serde_json::to_value(Backup::of(&chain.members().voters, view, &record)) {
            Ok(backup) => answer(StatusCode::OK, backup),
            Err(e) => wrong(StatusCode::INTERNAL_SERVER_ERROR, e),
        }
    }

    /// Who votes, who stands by, and what may be lost.
    fn core(&self) -> serde_json::Value {
        let chain = self.control.chain.borrow();
        let members = chain.members();
        let voters: Vec<_> = members
            .voters
            .iter()
            .map(|voter| {
                let in_chain = chain.view().is_some_and(|view| view.chain.contains(voter));
                json!({ "node": voter, "inChain": in_chain, "awayMs": chain.silent_for(*voter) })
            })
            .collect();
        json!({
            "node": self.control.boot.bind_ip,
            "view": chain.view().map(|view| view.name()),
            "voters": voters,
            "outgoingVoters": members.outgoing,
            // The name before version 0.4.
            "lettingGoOf": members.outgoing,
            "standingBy": chain.standbys(),
            "losses": self.control.boot.survive.hosts,
            "outlivesLosses": chain.tolerates_losses(),
            "inMajority": chain.has_quorum(),
        })
    }

    /// A voter is added or removed; answered once views with the new set stand.
    async fn seat(&self, body: &[u8]) -> FullResponse {
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields)]
        struct Body {
            add: Option<Ipv4Addr>,
            remove: Option<Ipv4Addr>,
        }
        let seat = match serde_json::from_slice(body) {
            Err(e) => return wrong(StatusCode::BAD_REQUEST, e),
            Ok(Body { add: Some(node), remove: None }) => VoterChange::Add(node),
            Ok(Body { add: None, remove: Some(node) }) => VoterChange::Remove(node),
            Ok(_) => return wrong(StatusCode::BAD_REQUEST, "add or remove expected, with an address"),
        };
        let control = &self.control;
        // What is refused is judged by the newest set of voters, as far as a majority knows it.
        if timeout(NEWEST, control.knows_newest()).await.is_err() {
            return wrong(StatusCode::SERVICE_UNAVAILABLE, VoterChangeError::NoView);
        }
        let asked = {
            let now = control.now();
            control.chain.borrow_mut().request_voter_change(now, seat)
        };
        let voters = match asked {
            Ok(voters) => voters,
            Err(refused @ (VoterChangeError::NoView | VoterChangeError::UnderWay)) => {
                return wrong(StatusCode::SERVICE_UNAVAILABLE, refused);
            }
            Err(refused) => return wrong(StatusCode::CONFLICT, refused),
        };
        // `seat` is the name before version 0.4.
        tracing::info!(change = ?seat, ?seat, ?voters, "an operator changes the voters");
        let began = Instant::now();
        while began.elapsed() < SEATED {
            sleep(super::TICK).await;
            let chain = control.chain.borrow();
            let members = chain.members();
            if members.voters == voters && members.outgoing.is_empty() {
                return answer(StatusCode::OK, json!({ "voters": voters }));
            }
        }
        wrong(StatusCode::SERVICE_UNAVAILABLE, "not all views stand yet: look at who votes, and ask again")
    }

    async fn change(&self, whole: &FullRequest, change: impl Fn(Vec<u8>) -> ConfigChange) -> FullResponse {
        let stated = whole.head.headers.get(header::IF_MATCH).and_then(|value| value.to_str().ok());
        let Some(builds_on) = stated.and_then(|value| value.trim().trim_matches('"').parse().ok()) else {
            return wrong(
                StatusCode::PRECONDITION_REQUIRED,
                "If-Match: the number of the version that this builds on expected",
            );
        };
        let change = change(whole.body.to_vec());
        match self.control.call(Call::Change { builds_on, change }).await {
            Outcome::Done { rev } => answer(StatusCode::OK, json!({ "rev": rev })),
            Outcome::Conflict { current } => with_reason(
                answer(
                    StatusCode::PRECONDITION_FAILED,
                    json!({ "error": "another version is current", "current": current }),
                ),
                format!("version {current} is current, not {builds_on}"),
            ),
            Outcome::Invalid(why) => wrong(StatusCode::BAD_REQUEST, why),
            Outcome::Forgotten { up_to, current } => forgotten(up_to, current),
            Outcome::Document(_) | Outcome::Unchanged | Outcome::Unavailable => {
                wrong(StatusCode::SERVICE_UNAVAILABLE, "no clear answer: the same call may be made again")
            }
        }
    }

    async fn purge(&self, body: &[u8]) -> FullResponse {
        #[derive(Deserialize)]
        #[serde(rename_all = "camelCase")]
        struct Body {
            hostname: Option<String>,
            url_path: Option<String>,
            label: Option<String>,
        }
        let fits = |text: &String| !text.is_empty() && text.len() <= LONGEST;
        let purge = match serde_json::from_slice(body) {
            Err(e) => return wrong(StatusCode::BAD_REQUEST, e),
            Ok(Body { label: Some(label), hostname: None, url_path: None }) if fits(&label) => {
                Purge::Label(label)
            }
            Ok(Body { label: None, hostname: Some(hostname), url_path: Some(path) })
                if fits(&hostname) && fits(&path) =>
            {
                Purge::Object { hostname, path }
            }
            Ok(_) => return wrong(StatusCode::BAD_REQUEST, "hostname and urlPath, or label, expected"),
        };
        if self.control.in_majority() && self.control.purge(purge).await {
            answer(StatusCode::OK, json!({}))
        } else {
            out_of_touch()
        }
    }

    async fn beat(&self, id: &str, body: &[u8]) -> FullResponse {
        let beat: HeartbeatRequest = match serde_json::from_slice(body) {
            Ok(beat) => beat,
            Err(e) => return wrong(StatusCode::BAD_REQUEST, e),
        };
        let Some(entry) = ServerEntry::of(id, beat) else {
            return wrong(StatusCode::BAD_REQUEST, "names of 1 to 128 bytes expected");
        };
        if !self.control.in_majority() {
            return out_of_touch();
        }
        match self.control.heard(entry).await {
            Some(HeartbeatOutcome::RegistryFull) => {
                wrong(StatusCode::INSUFFICIENT_STORAGE, "no room for more servers")
            }
            Some(HeartbeatOutcome::Changed | HeartbeatOutcome::Refreshed | HeartbeatOutcome::Stale) => {
                answer(StatusCode::OK, json!({}))
            }
            None => wrong(StatusCode::SERVICE_UNAVAILABLE, "not all control nodes know it yet: say it again"),
        }
    }

    async fn goodbye(&self, id: &str) -> FullResponse {
        if !self.control.in_majority() {
            return out_of_touch();
        }
        if self.control.said_goodbye(id).await {
            answer(StatusCode::OK, json!({}))
        } else {
            wrong(StatusCode::SERVICE_UNAVAILABLE, "not all control nodes know it yet: say it again")
        }
    }

    fn status(&self) -> serde_json::Value {
        let control = &self.control;
        let chain = control.chain.borrow();
        let sessions: Vec<_> = control
            .sessions
            .seen()
            .into_iter()
            .map(|seen| {
                json!({
                    "node": seen.node,
                    "ready": seen.member.as_ref().is_some_and(|member| member.ready),
                    "pushed": seen.sent,
                    "applied": seen.applied,
                    "leased": seen.leased,
                    "counters": seen.report.into_iter().collect::<std::collections::BTreeMap<_, _>>(),
                })
            })
            .collect();
        let fleet = control.fleet.borrow();
        let fleet = fleet.fleet();
        // An incomplete list names to proxies those as well that have ended.
        let registry = control.registry.borrow();
        let servers: Vec<_> =
            fleet.servers.iter().filter(|server| !registry.is_deregistered(&server.id)).collect();
        json!({
            "node": control.boot.node,
            "rev": chain.committed().rev,
            "voters": chain.members().voters,
            "outlivesLosses": chain.tolerates_losses(),
            "view": chain.view().map(|view| json!({ "name": view.name(), "chain": view.chain })),
            "inMajority": chain.has_quorum(),
            "peers": control.peers.up(),
            "servers": servers,
            "shields": fleet.shields,
            "sessions": sessions,
            "counters": crate::session::link::report("").into_iter().collect::<std::collections::BTreeMap<_, _>>(),
            "upMs": Duration::as_millis(&control.began.elapsed()) as u64,
        })
    }
}
