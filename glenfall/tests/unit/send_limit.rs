//! The number of servers that one client request reaches, whatever the shields of its edge and their servers do.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use glenfall::edge;
use glenfall::http_server::Handler;
use glenfall::shield::object_hash;
use glenfall_balancer::{Key, ServerId, Shields};
use glenfall_control_plane::messages::Server;
use hyper::StatusCode;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

use crate::proxies::{
    pool, request, start_edge, start_servers, start_shields, ReachedServers, ServerBehavior, ShieldBehavior,
    SEND_CUTOFF, SERVER_BEHAVIORS, SHIELD_BEHAVIORS,
};
use crate::support::run_local;

/// A path of the route that allows `max_sends` sends, for which the first of two shields is responsible.
pub fn path_at_first_shield(shields: &[SocketAddrV4], max_sends: u32) -> String {
    let ids: Vec<ServerId> = shields.iter().map(|http| ServerId(http.to_string().as_str().into())).collect();
    let mut selector = Shields::default();
    selector.update(&ids);
    let paths = (0..1000).map(|n| format!("/{max_sends}/{n}"));
    let mut at_first_shield =
        paths.filter(|path| selector.choose(0.0, Key(object_hash("h", path)), &[]) == Some(&ids[0]));
    at_first_shield.next().expect("it is responsible for half of them")
}

struct Case {
    max_sends: u32,
    shields: [ShieldBehavior; 2],
    servers: ServerBehavior,
}

impl Case {
    /// Whether a healthy path is left within the sends allowed. Each shield that times out or resets the connection may
    /// have used all sends that were reserved for it: the only one left, or all but one if more are left.
    fn has_healthy_path(&self) -> bool {
        let mut sends_left = self.max_sends;
        for shield in self.shields {
            match shield {
                _ if sends_left == 0 => return false,
                ShieldBehavior::Healthy => return self.servers == ServerBehavior::Responds,
                ShieldBehavior::Unreachable | ShieldBehavior::Unconfigured => {}
                ShieldBehavior::Frozen | ShieldBehavior::Resets | ShieldBehavior::LosesResponses => {
                    sends_left = u32::from(sends_left > 1);
                }
            }
        }
        sends_left > 0 && self.servers == ServerBehavior::Responds
    }

    /// Sends one read, and returns the status that its client received.
    async fn run(&self, id: &str, servers: &[Server], stopping: &watch::Receiver<bool>) -> StatusCode {
        let shields = start_shields(&self.shields, servers, stopping).await;
        let edge = start_edge(servers, &shields, pool()).await;
        let started_at = Instant::now();
        let path = path_at_first_shield(&shields, self.max_sends);
        let response = edge::EdgeHandler(edge).handle(request("GET", &path, id)).await;
        sleep_until(started_at + SEND_CUTOFF).await;
        response.status()
    }
}

fn all_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for max_sends in 1..=3 {
        for first in SHIELD_BEHAVIORS {
            for second in SHIELD_BEHAVIORS {
                for servers in SERVER_BEHAVIORS {
                    cases.push(Case { max_sends, shields: [first, second], servers });
                }
            }
        }
    }
    cases
}

#[test]
fn a_request_reaches_at_most_as_many_servers_as_its_route_allows_and_succeeds_on_a_healthy_path() {
    run_local(async {
        let reached = ReachedServers::default();
        let (_running, stopping) = watch::channel(false);
        let mut servers = BTreeMap::new();
        for behavior in SERVER_BEHAVIORS {
            servers.insert(behavior, start_servers(behavior, &reached).await);
        }
        let mut runs = JoinSet::new();
        for case in all_cases() {
            let id = format!("{} sends, {:?}, {:?}", case.max_sends, case.shields, case.servers);
            let (servers, stopping) = (servers[&case.servers].clone(), stopping.clone());
            runs.spawn_local(async move {
                let status = case.run(&id, &servers, &stopping).await;
                (id, case, status)
            });
        }
        while let Some(finished) = runs.join_next().await {
            let (id, case, status) = finished.expect("no panic");
            let servers = reached.borrow().get(&id).map_or(0, BTreeSet::len);
            assert!(servers <= case.max_sends as usize, "{id}: {servers} servers reached");
            if case.has_healthy_path() {
                assert_eq!(status, StatusCode::OK, "{id}");
            }
        }
    });
}
