//! Shields that recover: an edge that has excluded them uses them again as soon as it learns of their recovery.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use glenfall::edge::{self, Edge};
use glenfall::http_server::Handler;
use glenfall::shield::Shield;
use glenfall::watch_client::WatchHandler;
use glenfall_control_plane::fleet::FleetUpdate;
use glenfall_control_plane::messages::{PublisherMessage, Update};
use hyper::StatusCode;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::proxies::{
    fleet_of, pool, request, start_edge_with, start_servers, DownShield, ReachedServers, ServerBehavior,
};
use crate::send_limit::path_at_first_shield;
use crate::support::run_local;

/// Longer than the interval at which an edge probes one shield while all have failed.
const TRIAL_INTERVAL: Duration = Duration::from_millis(600);

/// How many reads a shield has received.
fn reads(shield: &Rc<Shield>) -> u64 {
    let counters = shield.counters();
    let count = |name: &str| counters.iter().find(|(known, _)| known == name).map_or(0, |(_, count)| *count);
    count("hits") + count("misses") + count("joined")
}

async fn read(edge: &Rc<Edge>, path: &str) -> StatusCode {
    edge::EdgeHandler(Rc::clone(edge)).handle(request("GET", path, "t")).await.status()
}

/// A path that belongs to the second of two shields.
fn path_at_second_shield(shields: [SocketAddrV4; 2]) -> String {
    path_at_first_shield(&[shields[1], shields[0]], 2)
}

#[test]
fn a_restarted_shield_is_used_as_soon_as_control_publishes_its_new_incarnation() {
    run_local(async {
        let (_running, stopping) = watch::channel(false);
        let servers = start_servers(ServerBehavior::Responds, &ReachedServers::default()).await;
        let (first, second) = (DownShield::new(), DownShield::new());
        let shields = [first.address, second.address];
        let second = second.start(&servers, &stopping);
        let (edge, watch_client) = start_edge_with("", &servers, &shields, pool()).await;
        let path = path_at_first_shield(&shields, 2);
        assert_eq!(read(&edge, &path).await, StatusCode::OK, "by the second one");
        let first = first.start(&servers, &stopping);
        assert_eq!(read(&edge, &path).await, StatusCode::OK);
        assert_eq!((reads(&first), reads(&second)), (0, 2), "it failed a short time ago");
        let fleet = fleet_of(2, &servers, &shields);
        assert!(watch_client.apply_update(Update::Fleet(FleetUpdate::Snapshot { version: 2, fleet }), &*edge));
        assert_eq!(read(&edge, &path).await, StatusCode::OK);
        assert_eq!((reads(&first), reads(&second)), (1, 2), "another process, which is ready");
    });
}

#[test]
fn after_all_shields_failed_one_response_makes_all_of_them_eligible_again() {
    run_local(async {
        let (_running, stopping) = watch::channel(false);
        let servers = start_servers(ServerBehavior::Responds, &ReachedServers::default()).await;
        let down = [DownShield::new(), DownShield::new()];
        let shields = [down[0].address, down[1].address];
        let (edge, _watch_client) = start_edge_with("", &servers, &shields, pool()).await;
        let paths = [path_at_first_shield(&shields, 2), path_at_second_shield(shields)];
        assert_eq!(read(&edge, &paths[0]).await, StatusCode::OK, "by the servers");
        let started = down.map(|shield| shield.start(&servers, &stopping));
        sleep(TRIAL_INTERVAL).await;
        assert_eq!(read(&edge, &paths[0]).await, StatusCode::OK);
        assert_eq!(started.iter().map(reads).sum::<u64>(), 1, "one is tried");
        for path in &paths {
            assert_eq!(read(&edge, path).await, StatusCode::OK);
        }
        assert!(started.iter().all(|shield| reads(shield) > 0), "each receives the reads of its own objects");
    });
}

#[test]
fn a_shield_without_a_lease_is_used_again_as_soon_as_it_holds_one() {
    run_local(async {
        let (_running, stopping) = watch::channel(false);
        let servers = start_servers(ServerBehavior::RespondsSealed, &ReachedServers::default()).await;
        let down = [DownShield::new(), DownShield::new()];
        let shields = [down[0].address, down[1].address];
        let [(first, first_watch_client), (second, _)] =
            down.map(|shield| shield.start_with_watch_client(&servers, &stopping));
        // An edge without a local cache.
        let (edge, _watch_client) =
            start_edge_with("[reqLimits]\nmemMb = 0\n", &servers, &shields, pool()).await;
        let path = path_at_first_shield(&shields, 2);
        assert_eq!(read(&edge, &path).await, StatusCode::OK);
        assert!(first_watch_client.apply_update(Update::Connected(false), &*first));
        assert_eq!(read(&edge, &path).await, StatusCode::OK);
        assert_eq!((reads(&first), reads(&second)), (2, 1), "its stored response is not used");
        assert!(first_watch_client.apply_update(Update::Connected(true), &*first));
        assert!(first_watch_client
            .handle_message(PublisherMessage::LeaseGranted { sent_at: 0, duration: 600_000 }, &*first));
        assert_eq!(read(&edge, &path).await, StatusCode::OK);
        assert_eq!((reads(&first), reads(&second)), (3, 1), "it has a lease");
    });
}
