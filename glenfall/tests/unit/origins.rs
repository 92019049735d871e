//! The choice among the servers of a service.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use glenfall::upstream::origins::{InFlight, OriginBalancer, SendOutcome, REST};
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

fn marks() -> Vec<u64> {
    (0..90).map(|n| edge_hash(&format!("edge-{n}"))).collect()
}

fn drawn(origins: &OriginBalancer, warm: impl Fn(SocketAddr) -> bool) -> BTreeSet<String> {
    (0..500).filter_map(|_| origins.choose(Instant::now(), "s", &[], &warm)).map(|chosen| chosen.id).collect()
}

#[tokio::test(start_paused = true)]
async fn an_edge_goes_to_its_subset_and_to_others_where_that_has_no_room() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    origins.update(Instant::now(), &servers(), &marks());
    let own = drawn(&origins, |_| false);
    assert_eq!(own.len(), subset::size(90, 49));
    // Full by this edge's own requests, or resting: any of the others.
    let own: Vec<String> = own.into_iter().collect();
    let out: Vec<InFlight> = own.iter().flat_map(|id| [origins.begin(id), origins.begin(id)]).collect();
    assert!(drawn(&origins, |_| false).len() > 40);
    drop(out);
    own.iter().for_each(|id| origins.begin(id).ended(SendOutcome::Failed));
    let others = drawn(&origins, |_| false);
    assert!(others.len() == 49 - own.len() && others.is_disjoint(&own.iter().cloned().collect()));
    tokio::time::advance(REST).await;
    assert_eq!(drawn(&origins, |_| false).len(), own.len());
    // One that was tried is out, and so is one that drains.
    assert!(
        !own.contains(&origins.choose(Instant::now(), "s", &own, |_| false).expect("one of the others").id)
    );
    let first = own[0].clone();
    let left: Vec<Server> = servers().into_iter().map(|s| Server { ready: s.id != first, ..s }).collect();
    origins.update(Instant::now(), &left, &marks());
    assert!(!drawn(&origins, |_| false).contains(&first));
}

/// While servers come one after another, an edge keeps its subset for a while, and goes to no server that is gone.
#[tokio::test(start_paused = true)]
async fn a_subset_is_worked_out_anew_once_a_second_at_most() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    let fleet = |count: u16| (1..=count).map(server).collect::<Vec<_>>();
    origins.update(Instant::now(), &fleet(49), &marks());
    let first = drawn(&origins, |_| false);
    for count in 50..=200 {
        origins.update(Instant::now(), &fleet(count), &marks());
        assert_eq!(drawn(&origins, |_| false), first, "{count} servers");
        tokio::time::advance(Duration::from_millis(5)).await;
    }
    let left: Vec<Server> = fleet(200).into_iter().filter(|server| !first.contains(&server.id)).collect();
    origins.update(Instant::now(), &left, &marks());
    assert!(drawn(&origins, |_| false).is_disjoint(&first), "all of its subset are gone: any other");
    tokio::time::advance(Duration::from_secs(1)).await;
    origins.update(Instant::now(), &fleet(200), &marks());
    let later = drawn(&origins, |_| false);
    assert_eq!(later.len(), subset::size(90, 200));
    assert_ne!(later, first);
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_is_no_known_edge_goes_to_all() {
    let origins = OriginBalancer::new("z", false, "shield-1");
    origins.update(Instant::now(), &servers(), &[]);
    assert!(drawn(&origins, |_| false).len() > 45);
    origins.update(Instant::now(), &servers(), &marks());
    assert!(drawn(&origins, |_| false).len() > 45);
}

#[tokio::test(start_paused = true)]
async fn a_server_with_an_idle_connection_is_preferred() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    origins.update(Instant::now(), &servers()[..4], &marks());
    let warm: SocketAddr = servers()[0].addr.into();
    let count = |id: &str| {
        let chosen = (0..1000).filter_map(|_| origins.choose(Instant::now(), "s", &[], |addr| addr == warm));
        chosen.filter(|chosen| chosen.id == id).count()
    };
    assert!((500..650).contains(&count("i-1")), "four of seven parts");
    assert!((100..190).contains(&count("i-2")), "one of seven");
}

/// How many of 300 requests, one each 30 ms, go to a server that fails all, each in a millisecond, from the
/// first on; the others take 30.
async fn at_the_failing_one(origins: &OriginBalancer, how: SendOutcome) -> usize {
    let mut count = 0;
    for _ in 0..300 {
        let chosen = origins.choose(Instant::now(), "s", &[], |_| false).expect("one of them");
        let (ill, began) = (chosen.id == "i-1", origins.begin(&chosen.id));
        tokio::time::advance(Duration::from_millis(if ill { 1 } else { 30 })).await;
        began.ended(if ill { how } else { SendOutcome::Success });
        tokio::time::advance(Duration::from_millis(if ill { 29 } else { 0 })).await;
        count += usize::from(ill);
    }
    count
}

#[tokio::test(start_paused = true)]
async fn a_server_that_fails_at_once_draws_no_requests_but_for_a_trial_now_and_then() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    origins.update(Instant::now(), &servers()[..4], &marks());
    // It fails for 9 s; the time in which half is forgiven is 4 s.
    let erred = at_the_failing_one(&origins, SendOutcome::ServerError).await;
    assert!((2..12).contains(&erred), "{erred} of 300");
    // Well again, it has its part back before long.
    let recovered = at_the_failing_one(&origins, SendOutcome::Success).await;
    assert!(recovered > 60, "{recovered} of 300");
}

#[tokio::test(start_paused = true)]
async fn a_server_warms_up_from_when_it_was_told_whatever_else_is_told() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    let cold = Server { warmup_left_ms: 3000, ..server(1) };
    let told = |origins: &OriginBalancer, others: &[Server]| {
        origins.update(Instant::now(), &[std::slice::from_ref(&cold), others].concat(), &[]);
        origins.warm_at("i-1").expect("it is known")
    };
    let warm_at = told(&origins, &[]);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(told(&origins, &[server(2)]), warm_at);
}

#[tokio::test(start_paused = true)]
async fn one_slow_answer_does_not_keep_requests_away_for_good() {
    let origins = OriginBalancer::new("z", false, "edge-7");
    origins.update(Instant::now(), &servers()[..2], &[]);
    let mut slow = 100;
    let mut counts = [0; 3];
    // One request each 30 ms for 60 s, in thirds; a millisecond each, but for the first one at this server.
    for n in 0..2000 {
        let chosen = origins.choose(Instant::now(), "s", &[], |_| true).expect("one of them");
        let began = origins.begin(&chosen.id);
        let other = chosen.id == "i-2";
        let took = if other { std::mem::replace(&mut slow, 1) } else { 1 };
        tokio::time::advance(Duration::from_millis(took)).await;
        began.ended(SendOutcome::Success);
        tokio::time::advance(Duration::from_millis(30 - took.min(30))).await;
        counts[n * 3 / 2000] += u32::from(other);
    }
    assert!(counts[0] < 100, "it is slow as far as is known: {counts:?}");
    assert!(counts[2] > 200, "half of 666: {counts:?}");
}
