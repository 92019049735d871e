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
    pool, request, start_edge, start_servers, start_shields, ReachedServers, ServerBehavior, ShieldBehavior,
    BODY_BYTES, ROUTE_DEADLINE, SERVER_BEHAVIORS, SHIELD_BEHAVIORS,
};

/// Required bound: a request may take this much longer than the `deadlineMs` of its route.
const MAX_OVERRUN: Duration = Duration::from_millis(250);

/// A kind of request, by the limit that it reaches at its edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Read,
    /// A read while there is no memory for its response.
    ReadWithoutMemory,
    RateLimitedRead,
    Write,
}

const REQUEST_KINDS: [RequestKind; 4] =
    [RequestKind::Read, RequestKind::ReadWithoutMemory, RequestKind::RateLimitedRead, RequestKind::Write];

#[derive(Clone, Copy, Debug)]
struct Case {
    request: RequestKind,
    shields: [ShieldBehavior; 2],
    servers: ServerBehavior,
}

impl Case {
    /// Sends the request, and returns how long its client waited.
    async fn run(&self, servers: &[Server], stopping: &watch::Receiver<bool>) -> Duration {
        let shields = start_shields(&self.shields, servers, stopping).await;
        let memory = MemoryBudget::new(BODY_BYTES + 2048);
        let _reserved_memory = memory.reserve(BODY_BYTES).await;
        let pool = match self.request {
            RequestKind::ReadWithoutMemory => Pool::new(64, memory),
            _ => pool(),
        };
        let edge = start_edge(servers, &shields, Rc::clone(&pool)).await;
        let request = match self.request {
            RequestKind::Read | RequestKind::ReadWithoutMemory => request("GET", "/2/x", "t"),
            RequestKind::RateLimitedRead => request("GET", "/c/x", "t"),
            RequestKind::Write => request("POST", "/w/x", "t"),
        };
        let started_at = Instant::now();
        edge::EdgeHandler(edge).handle(request).await;
        started_at.elapsed()
    }
}

fn all_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for request in REQUEST_KINDS {
        for first in SHIELD_BEHAVIORS {
            for second in SHIELD_BEHAVIORS {
                cases.extend(SERVER_BEHAVIORS.map(|servers| Case {
                    request,
                    shields: [first, second],
                    servers,
                }));
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
        for behavior in SERVER_BEHAVIORS {
            servers.insert(behavior, start_servers(behavior, &ReachedServers::default()).await);
        }
        let mut runs = JoinSet::new();
        for case in all_cases() {
            let (servers, stopping) = (servers[&case.servers].clone(), stopping.clone());
            runs.spawn_local(async move { (case, case.run(&servers, &stopping).await) });
        }
        let mut longest = Duration::ZERO;
        while let Some(finished) = runs.join_next().await {
            let (case, elapsed) = finished.expect("no panic");
            assert!(elapsed <= ROUTE_DEADLINE + MAX_OVERRUN, "{case:?} took {elapsed:?}");
            longest = longest.max(elapsed);
        }
        println!("the longest took {longest:?}");
        assert!(longest >= ROUTE_DEADLINE / 2, "no request waited: {longest:?}");
    });
}
