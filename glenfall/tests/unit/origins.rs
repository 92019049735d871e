//! Load balancing among the servers of a service.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use glenfall::upstream::origins::{InFlight, OriginBalancer, SendOutcome, EJECTION_TIME};
use glenfall_control_plane::fleet::edge_hash;
use glenfall_control_plane::messages::Server;
use glenfall_control_plane::subset;
use tokio::time::Instant;

use crate::support;

fn server(n: u16) -> Server {
    support::server(&format!("i-{n}"), n)
}

fn servers() -> Vec<Server> {
    (1..=49).map(server).collect()
}

fn edge_hashes() -> Vec<u64> {
    (0..90).map(|n| edge_hash(&format!("edge-{n}"))).collect()
}

/// The servers that 500 choices select.
fn selected(origins: &OriginBalancer, has_idle_connection: impl Fn(SocketAddr) -> bool) -> BTreeSet<String> {
    (0..500)
        .filter_map(|_| origins.choose(Instant::now(), "s", &[], &has_idle_connection))
        .map(|chosen| chosen.id)
        .collect()
}

#[tokio::test(start_paused = true)]
async fn requests_go_to_the_subset_and_elsewhere_only_without_capacity_in_it() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    origins.update(Instant::now(), &servers(), &edge_hashes());
    let subset_servers = selected(&origins, |_| false);
    assert_eq!(subset_servers.len(), subset::size(90, 49));
    // With the subset at capacity by this edge's requests, or ejected, any other server is chosen.
    let subset_ids: Vec<String> = subset_servers.into_iter().collect();
    let in_flight: Vec<InFlight> =
        subset_ids.iter().flat_map(|id| [origins.track(id), origins.track(id)]).collect();
    assert!(selected(&origins, |_| false).len() > 40);
    drop(in_flight);
    subset_ids.iter().for_each(|id| origins.track(id).finish(SendOutcome::Failed));
    let others = selected(&origins, |_| false);
    assert!(
        others.len() == 49 - subset_ids.len() && others.is_disjoint(&subset_ids.iter().cloned().collect())
    );
    tokio::time::advance(EJECTION_TIME).await;
    assert_eq!(selected(&origins, |_| false).len(), subset_ids.len());
    // A server that was tried is not chosen again, and a draining one is not chosen.
    assert!(!subset_ids.contains(
        &origins.choose(Instant::now(), "s", &subset_ids, |_| false).expect("one of the others").id
    ));
    let draining = subset_ids[0].clone();
    let remaining: Vec<Server> =
        servers().into_iter().map(|s| Server { ready: s.id != draining, ..s }).collect();
    origins.update(Instant::now(), &remaining, &edge_hashes());
    assert!(!selected(&origins, |_| false).contains(&draining));
}

/// While servers register one after another, an edge keeps its subset for a time, and sends nothing to a server that
/// has left.
#[tokio::test(start_paused = true)]
async fn a_subset_is_recomputed_once_a_second_at_most() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    let fleet = |count: u16| (1..=count).map(server).collect::<Vec<_>>();
    origins.update(Instant::now(), &fleet(49), &edge_hashes());
    let first = selected(&origins, |_| false);
    for count in 50..=200 {
        origins.update(Instant::now(), &fleet(count), &edge_hashes());
        assert_eq!(selected(&origins, |_| false), first, "{count} servers");
        tokio::time::advance(Duration::from_millis(5)).await;
    }
    let remaining: Vec<Server> =
        fleet(200).into_iter().filter(|server| !first.contains(&server.id)).collect();
    origins.update(Instant::now(), &remaining, &edge_hashes());
    assert!(selected(&origins, |_| false).is_disjoint(&first), "its whole subset has left: any other server");
    tokio::time::advance(Duration::from_secs(1)).await;
    origins.update(Instant::now(), &fleet(200), &edge_hashes());
    let later = selected(&origins, |_| false);
    assert_eq!(later.len(), subset::size(90, 200));
    assert_ne!(later, first);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_is_not_a_known_edge_uses_all_servers() {
    let origins = OriginBalancer::new("z", false, "shield-1");
    origins.update(Instant::now(), &servers(), &[]);
    assert!(selected(&origins, |_| false).len() > 45);
    origins.update(Instant::now(), &servers(), &edge_hashes());
    assert!(selected(&origins, |_| false).len() > 45);
}

#[tokio::test(start_paused = true)]
async fn a_server_with_an_idle_connection_is_preferred() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    origins.update(Instant::now(), &servers()[..4], &edge_hashes());
    let connected: SocketAddr = servers()[0].addr.into();
    let count = |id: &str| {
        let chosen =
            (0..1000).filter_map(|_| origins.choose(Instant::now(), "s", &[], |addr| addr == connected));
        chosen.filter(|chosen| chosen.id == id).count()
    };
    assert!((500..650).contains(&count("i-1")), "four of seven parts");
    assert!((100..190).contains(&count("i-2")), "one of seven");
}

/// Sends one request every 30 ms, 300 in total. Those to the server `i-1` end with `outcome` after 1 ms, and those to
/// the other servers succeed after 30 ms. Returns how many went to `i-1`.
async fn requests_to_fast_server(origins: &OriginBalancer, outcome: SendOutcome) -> usize {
    let mut count = 0;
    for _ in 0..300 {
        let chosen = origins.choose(Instant::now(), "s", &[], |_| false).expect("one of them");
        let (is_fast_server, request) = (chosen.id == "i-1", origins.track(&chosen.id));
        tokio::time::advance(Duration::from_millis(if is_fast_server { 1 } else { 30 })).await;
        request.finish(if is_fast_server { outcome } else { SendOutcome::Success });
        tokio::time::advance(Duration::from_millis(if is_fast_server { 29 } else { 0 })).await;
        count += usize::from(is_fast_server);
    }
    count
}

#[tokio::test(start_paused = true)]
async fn a_server_that_fails_immediately_gets_only_occasional_requests() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    origins.update(Instant::now(), &servers()[..4], &edge_hashes());
    // It fails for 9 s; the half-life of the error rate is 4 s.
    let failed = requests_to_fast_server(&origins, SendOutcome::ServerError).await;
    assert!((2..12).contains(&failed), "{failed} of 300");
    // Healthy again, it soon gets its share back.
    let recovered = requests_to_fast_server(&origins, SendOutcome::Success).await;
    assert!(recovered > 60, "{recovered} of 300");
}

#[tokio::test(start_paused = true)]
async fn slow_start_is_not_restarted_by_later_fleet_updates() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    let warming_up = Server { warmup_left_ms: 3000, ..server(1) };
    let slow_start_end_after_update = |origins: &OriginBalancer, others: &[Server]| {
        origins.update(Instant::now(), &[std::slice::from_ref(&warming_up), others].concat(), &[]);
        origins.slow_start_ends_at("i-1").expect("it is known")
    };
    let slow_start_ends_at = slow_start_end_after_update(&origins, &[]);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(slow_start_end_after_update(&origins, &[server(2)]), slow_start_ends_at);
}

#[tokio::test(start_paused = true)]
async fn one_slow_response_does_not_exclude_a_server_permanently() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    origins.update(Instant::now(), &servers()[..2], &[]);
    let mut next_latency_ms = 100;
    let mut counts = [0; 3];
    // One request every 30 ms for 60 s, counted by thirds. Each takes 1 ms, except the first one at `i-2`.
    for n in 0..2000 {
        let chosen = origins.choose(Instant::now(), "s", &[], |_| true).expect("one of them");
        let request = origins.track(&chosen.id);
        let is_second_server = chosen.id == "i-2";
        let latency_ms = if is_second_server { std::mem::replace(&mut next_latency_ms, 1) } else { 1 };
        tokio::time::advance(Duration::from_millis(latency_ms)).await;
        request.finish(SendOutcome::Success);
        tokio::time::advance(Duration::from_millis(30 - latency_ms.min(30))).await;
        counts[n * 3 / 2000] += u32::from(is_second_server);
    }
    assert!(counts[0] < 100, "the only known response of i-2 was slow: {counts:?}");
    assert!(counts[2] > 200, "half of 666: {counts:?}");
}
