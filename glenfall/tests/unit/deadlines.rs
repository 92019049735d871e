//! No request is delayed past the deadline of its route, whatever it waits for. Time is paused and advances by itself
//! whenever all tasks wait, so that only the waits count.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use glenfall::edge;
use glenfall::http_server::Handler;
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::pool::Pool;
use glenfall_control_plane::messages::Server;
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::Instant;

use crate::proxies::{
    pool, request, start_edge, start_servers, start_shields, Reached, ServerActs, ShieldActs, BODY, DEADLINE,
    SERVER_ACTS, SHIELD_ACTS,
};

/// What the users' page allows beyond `deadlineMs`.
const MAX_OVERRUN: Duration = Duration::from_millis(250);

/// A request, and the bound that it reaches at its edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Read,
    /// A read while there is no memory for its response.
    ReadWithoutMemory,
    RateLimitedRead,
    Write,
}

const REQUESTS: [Request; 4] =
    [Request::Read, Request::ReadWithoutMemory, Request::RateLimitedRead, Request::Write];

#[derive(Clone, Copy, Debug)]
struct Case {
    request: Request,
    shields: [ShieldActs; 2],
    servers: ServerActs,
}

impl Case {
    /// Sends the request, and returns how long its client waited.
    async fn run(&self, servers: &[Server], stopping: &watch::Receiver<bool>) -> Duration {
        let shields = start_shields(&self.shields, servers, stopping).await;
        let memory = MemoryBudget::new(BODY + 2048);
        let _other_response = memory.reserve(BODY).await;
        let pool = match self.request {
            Request::ReadWithoutMemory => Pool::new(64, memory),
            _ => pool(),
        };
        let edge = start_edge(servers, &shields, Rc::clone(&pool)).await;
        let request = match self.request {
            Request::Read | Request::ReadWithoutMemory => request("GET", "/2/x", "t"),
            Request::RateLimitedRead => request("GET", "/c/x", "t"),
            Request::Write => request("POST", "/w/x", "t"),
        };
        let started_at = Instant::now();
        edge::EdgeHandler(edge).handle(request).await;
        started_at.elapsed()
    }
}

fn all_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for request in REQUESTS {
        for first in SHIELD_ACTS {
            for second in SHIELD_ACTS {
                cases.extend(SERVER_ACTS.map(|servers| Case { request, shields: [first, second], servers }));
            }
        }
    }
    cases
}

#[test]
fn a_request_ends_by_its_deadline_whatever_it_waits_for() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (_running, stopping) = watch::channel(false);
        let mut servers = BTreeMap::new();
        for acts in SERVER_ACTS {
            servers.insert(acts, start_servers(acts, &Reached::default()).await);
        }
        let mut runs = JoinSet::new();
        for case in all_cases() {
            let (servers, stopping) = (servers[&case.servers].clone(), stopping.clone());
            runs.spawn_local(async move { (case, case.run(&servers, &stopping).await) });
        }
        let mut longest = Duration::ZERO;
        while let Some(finished) = runs.join_next().await {
            let (case, elapsed) = finished.expect("no panic");
            assert!(elapsed <= DEADLINE + MAX_OVERRUN, "{case:?} took {elapsed:?}");
            longest = longest.max(elapsed);
        }
        println!("the longest took {longest:?}");
        assert!(longest >= DEADLINE / 2, "no request waited: {longest:?}");
    });
}
