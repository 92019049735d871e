//! Nothing holds a request past its route's deadline, whatever it waits for. Time is paused and goes on by itself
//! whenever all wait, so that only the waits count.

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
const ALLOWED_BEYOND: Duration = Duration::from_millis(250);

/// What a request meets at its edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Read,
    /// The same, while there is no room for its answer.
    ReadWithoutRoom,
    ReadUnderCeiling,
    Write,
}

const REQUESTS: [Request; 4] =
    [Request::Read, Request::ReadWithoutRoom, Request::ReadUnderCeiling, Request::Write];

#[derive(Clone, Copy, Debug)]
struct Case {
    request: Request,
    shields: [ShieldActs; 2],
    servers: ServerActs,
}

impl Case {
    /// Plays a request, and says how long its client waited.
    async fn play(&self, servers: &[Server], stopping: &watch::Receiver<bool>) -> Duration {
        let shields = start_shields(&self.shields, servers, stopping).await;
        let room = MemoryBudget::new(BODY + 2048);
        let _other_answer = room.hold(BODY).await;
        let pool = match self.request {
            Request::ReadWithoutRoom => Pool::new(64, room),
            _ => pool(),
        };
        let edge = start_edge(servers, &shields, Rc::clone(&pool)).await;
        let whole = match self.request {
            Request::Read | Request::ReadWithoutRoom => request("GET", "/2/x", "t"),
            Request::ReadUnderCeiling => request("GET", "/c/x", "t"),
            Request::Write => request("POST", "/w/x", "t"),
        };
        let began = Instant::now();
        edge::EdgeHandler(edge).handle(whole).await;
        began.elapsed()
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
fn a_request_is_answered_by_its_deadline_whatever_it_waits_for() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (_running, stopping) = watch::channel(false);
        let mut servers = BTreeMap::new();
        for acts in SERVER_ACTS {
            servers.insert(acts, start_servers(acts, &Reached::default()).await);
        }
        let mut plays = JoinSet::new();
        for case in all_cases() {
            let (servers, stopping) = (servers[&case.servers].clone(), stopping.clone());
            plays.spawn_local(async move { (case, case.play(&servers, &stopping).await) });
        }
        let mut longest = Duration::ZERO;
        while let Some(played) = plays.join_next().await {
            let (case, took) = played.expect("no panic");
            assert!(took <= DEADLINE + ALLOWED_BEYOND, "{case:?} took {took:?}");
            longest = longest.max(took);
        }
        println!("the longest took {longest:?}");
        assert!(longest >= DEADLINE / 2, "nothing hung: {longest:?}");
    });
}
