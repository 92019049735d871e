//! How many servers one try of a client reaches, whatever its edge's shields and their servers do.

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
    pool, request, start_edge, start_servers, start_shields, Reached, ServerActs, ShieldActs, ALL_SENT,
    SERVER_ACTS, SHIELD_ACTS,
};
use crate::support::run_local;

/// A path of the route with as many tries, whose home is the first of two shields.
pub fn path_at_first(shields: &[SocketAddrV4], tries: u32) -> String {
    let ids: Vec<ServerId> = shields.iter().map(|http| ServerId(http.to_string().as_str().into())).collect();
    let mut array = Shields::default();
    array.update(&ids);
    let paths = (0..1000).map(|n| format!("/{tries}/{n}"));
    let mut at_first =
        paths.filter(|path| array.choose(0.0, Key(object_hash("h", path)), &[]) == Some(&ids[0]));
    at_first.next().expect("half of them have their home there")
}

struct Case {
    tries: u32,
    shields: [ShieldActs; 2],
    servers: ServerActs,
}

impl Case {
    /// Whether a healthy path is left within the sends allowed: each shield that is silent or breaks off may have used
    /// all that it was lent, which is all but one while there is more than one.
    fn has_healthy_path(&self) -> bool {
        let mut left = self.tries;
        for shield in self.shields {
            match shield {
                _ if left == 0 => return false,
                ShieldActs::Well => return self.servers == ServerActs::Answers,
                ShieldActs::Unreachable | ShieldActs::Behind => {}
                ShieldActs::Frozen | ShieldActs::Resets | ShieldActs::Mute => left = u32::from(left > 1),
            }
        }
        left > 0 && self.servers == ServerActs::Answers
    }

    /// Plays one read, and says what its client got.
    async fn play(&self, id: &str, servers: &[Server], stopping: &watch::Receiver<bool>) -> StatusCode {
        let shields = start_shields(&self.shields, servers, stopping).await;
        let edge = start_edge(servers, &shields, pool()).await;
        let began = Instant::now();
        let path = path_at_first(&shields, self.tries);
        let answer = edge::EdgeHandler(edge).handle(request("GET", &path, id)).await;
        sleep_until(began + ALL_SENT).await;
        answer.status()
    }
}

fn all_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for tries in 1..=3 {
        for first in SHIELD_ACTS {
            for second in SHIELD_ACTS {
                for servers in SERVER_ACTS {
                    cases.push(Case { tries, shields: [first, second], servers });
                }
            }
        }
    }
    cases
}

#[test]
fn a_try_reaches_no_more_servers_than_its_route_allows_and_is_answered_where_one_can() {
    run_local(async {
        let reached = Reached::default();
        let (_running, stopping) = watch::channel(false);
        let mut servers = BTreeMap::new();
        for acts in SERVER_ACTS {
            servers.insert(acts, start_servers(acts, &reached).await);
        }
        let mut plays = JoinSet::new();
        for case in all_cases() {
            let id = format!("{} tries, {:?}, {:?}", case.tries, case.shields, case.servers);
            let (servers, stopping) = (servers[&case.servers].clone(), stopping.clone());
            plays.spawn_local(async move {
                let status = case.play(&id, &servers, &stopping).await;
                (id, case, status)
            });
        }
        while let Some(played) = plays.join_next().await {
            let (id, case, status) = played.expect("no panic");
            let servers = reached.borrow().get(&id).map_or(0, BTreeSet::len);
            assert!(servers <= case.tries as usize, "{id}: {servers} servers reached");
            if case.has_healthy_path() {
                assert_eq!(status, StatusCode::OK, "{id}");
            }
        }
    });
}
