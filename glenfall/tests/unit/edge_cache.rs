//! An edge's local cache: which of the shields' responses it stores, and which ones recent purges prevent it from
//! storing.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::cache::MAX_RECENT_PURGES;
use glenfall::edge::Edge;
use glenfall::http::response::ServerResponse;
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::pool::Pool;
use glenfall::watch_client::{WatchClient, WatchHandler};
use glenfall_control_plane::messages::{AgedPurge, ProxyRole, PublisherMessage, Purge, Update};
use hyper::header::HeaderValue;
use hyper::Response;
use tokio::time::Instant;

use crate::support::{object_key, settings};

/// Longer than any request takes.
const LONG_TIME: Duration = Duration::from_mins(2);

fn edge() -> (Rc<Edge>, Rc<WatchClient>) {
    let node_settings = Rc::new(settings(""));
    let watch_client = WatchClient::new(Rc::clone(&node_settings), ProxyRole::Edge);
    (
        Edge::new(&node_settings, Rc::clone(&watch_client), Pool::new(8, MemoryBudget::new(1 << 20))),
        watch_client,
    )
}

/// Connects the edge to its publisher, and grants a lease of this duration from the start of the test.
fn connect_with_lease(edge: &Edge, watch_client: &WatchClient, duration: Duration) {
    assert!(watch_client
        .handle_message(PublisherMessage::Push { number: 1, update: Update::Connected(true) }, edge));
    assert!(watch_client.handle_message(
        PublisherMessage::LeaseGranted { sent_at: 0, duration: duration.as_millis() as u64 },
        edge
    ));
}

fn shield_response(tags: &'static str) -> ServerResponse {
    let mut head = Response::new(()).into_parts().0;
    for (name, value) in [("x-glenfall-seal", "s"), ("x-glenfall-tags", tags), ("x-glenfall-age-ms", "1500")]
    {
        head.headers.insert(name, HeaderValue::from_static(value));
    }
    ServerResponse::new(head, Bytes::from_static(b"body"))
}

fn is_cached(edge: &Edge, path: &str) -> bool {
    edge.cached(&object_key(path)).is_some()
}

#[tokio::test(start_paused = true)]
async fn a_purge_removes_stored_responses_and_prevents_storing_those_that_were_fetched_before_it() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let (edge, watch_client) = edge();
    connect_with_lease(&edge, &watch_client, Duration::from_mins(10));
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    edge.cache_response(&object_key("/b"), &shield_response("u"), Instant::now());
    let age = edge.cached(&object_key("/a")).map(|response| response.age());
    assert_eq!(age, Some(Duration::from_millis(1500)));
    let now = |purge| AgedPurge { purge, age_ms: 0 };
    let single_object = Purge::Object { hostname: "h".into(), path: "/c".into() };
    edge.purge(&[now(Purge::Label("t".into())), now(single_object)]);
    assert!(!is_cached(&edge, "/a") && is_cached(&edge, "/b"));
    // A shield that has not received the purge yet returns the old responses.
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    edge.cache_response(&object_key("/c"), &shield_response("u"), Instant::now());
    assert!(!is_cached(&edge, "/a") && !is_cached(&edge, "/c"));
    tokio::time::advance(Duration::from_millis(1499)).await;
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    assert!(!is_cached(&edge, "/a"), "fetched 1 ms before the purge");
    tokio::time::advance(Duration::from_millis(1501)).await;
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    assert!(is_cached(&edge, "/a"));
}

/// Guards against an edge that stores the response of a slow fetch, because it comes long after the purge.
#[tokio::test(start_paused = true)]
async fn a_response_that_was_fetched_before_a_purge_is_not_stored_however_late_it_arrives() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let (edge, watch_client) = edge();
    connect_with_lease(&edge, &watch_client, Duration::from_mins(10));
    let sent_before = Instant::now();
    let object = Purge::Object { hostname: "h".into(), path: "/c".into() };
    for purge in [Purge::Label("t".into()), object] {
        edge.purge(&[AgedPurge { purge, age_ms: 0 }]);
    }
    for time_since_purge in [Duration::from_secs(4), LONG_TIME] {
        tokio::time::advance(time_since_purge).await;
        edge.cache_response(&object_key("/a"), &shield_response("t"), sent_before);
        edge.cache_response(&object_key("/c"), &shield_response("u"), sent_before);
        edge.cache_response(&object_key("/d"), &shield_response("u"), sent_before);
        assert!(!is_cached(&edge, "/a") && !is_cached(&edge, "/c"));
        assert!(is_cached(&edge, "/d"), "no purge covers it");
    }
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    edge.cache_response(&object_key("/c"), &shield_response("u"), Instant::now());
    assert!(is_cached(&edge, "/a") && is_cached(&edge, "/c"), "fetched after the purges");
}

/// Guards against an edge that stores nothing for a while after a session begins with the history of purges.
#[tokio::test(start_paused = true)]
async fn a_purge_that_was_accepted_before_the_fetch_of_a_response_does_not_prevent_storing_it() {
    tokio::time::advance(LONG_TIME).await;
    let (edge, watch_client) = edge();
    connect_with_lease(&edge, &watch_client, Duration::from_mins(10));
    // The history that a control node sends when a session begins.
    let aged = |label: &str, age_ms| AgedPurge { purge: Purge::Label(label.into()), age_ms };
    edge.purge(&[aged("t", 60_000), aged("u", 2_000)]);
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    edge.cache_response(&object_key("/b"), &shield_response("u"), Instant::now());
    assert!(is_cached(&edge, "/a"), "fetched 58.5 s after the purge");
    assert!(!is_cached(&edge, "/b"), "the order is known to a second only");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_stored_while_disconnected_and_remembered_purges_are_bounded() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let (edge, watch_client) = edge();
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    assert!(!is_cached(&edge, "/a"));
    connect_with_lease(&edge, &watch_client, Duration::from_mins(10));
    let purges: Vec<Purge> = (0..2 * MAX_RECENT_PURGES).map(|n| Purge::Label(n.to_string())).collect();
    for purge in purges {
        edge.purge(&[AgedPurge { purge, age_ms: 0 }]);
    }
    assert!(edge.recent_purge_count() <= MAX_RECENT_PURGES);
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    assert!(!is_cached(&edge, "/a"), "more were purged than are remembered");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_stored_without_a_lease_and_an_expired_lease_is_renewed_by_the_next_grant() {
    let (edge, watch_client) = edge();
    assert!(watch_client
        .handle_message(PublisherMessage::Push { number: 1, update: Update::Connected(true) }, &*edge));
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    assert!(!is_cached(&edge, "/a") && !watch_client.may_serve_stored_responses(), "connected, and no lease");
    connect_with_lease(&edge, &watch_client, Duration::from_millis(1200));
    edge.cache_response(&object_key("/a"), &shield_response("t"), Instant::now());
    assert!(is_cached(&edge, "/a") && watch_client.may_serve_stored_responses());
    // A process that was suspended resumes: the expiry of its lease is known from the clock alone, without a message.
    tokio::time::advance(Duration::from_millis(1200)).await;
    assert!(!watch_client.may_serve_stored_responses());
    // The duration of a grant counts from its request, even if the grant arrives late.
    assert!(
        watch_client.handle_message(PublisherMessage::LeaseGranted { sent_at: 100, duration: 1100 }, &*edge)
    );
    assert!(!watch_client.may_serve_stored_responses());
    assert!(
        watch_client.handle_message(PublisherMessage::LeaseGranted { sent_at: 1200, duration: 1000 }, &*edge)
    );
    assert!(watch_client.may_serve_stored_responses());
    assert!(watch_client
        .handle_message(PublisherMessage::Push { number: 2, update: Update::Connected(false) }, &*edge));
    assert!(watch_client
        .handle_message(PublisherMessage::Push { number: 3, update: Update::Connected(true) }, &*edge));
    assert!(
        !watch_client.may_serve_stored_responses(),
        "the lease was granted before the connection was lost"
    );
}
