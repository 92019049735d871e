//! An edge's local cache: which of the shields' responses it stores, and which ones purges keep out.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::edge::{Edge, MAX_RECENT_PURGES, PURGE_BARRIER_TIME};
use glenfall::http::response::ServerResponse;
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::pool::Pool;
use glenfall::watch_client::{WatchClient, WatchHandler};
use glenfall_control_plane::messages::{AgedPurge, ProxyRole, PublisherMessage, Purge, Update};
use hyper::header::HeaderValue;
use hyper::Response;
use tokio::time::Instant;

use crate::support::{object, settings};

fn edge() -> (Rc<Edge>, Rc<WatchClient>) {
    let boot = Rc::new(settings(""));
    let watch_client = WatchClient::new(Rc::clone(&boot), ProxyRole::Edge);
    (Edge::new(&boot, Rc::clone(&watch_client), Pool::new(8, MemoryBudget::new(1 << 20))), watch_client)
}

/// In touch, and with a lease of this duration from the start of the test.
fn in_touch(edge: &Edge, watch_client: &WatchClient, duration: Duration) {
    assert!(watch_client
        .handle_message(PublisherMessage::Push { number: 1, update: Update::Connected(true) }, edge));
    assert!(watch_client.handle_message(
        PublisherMessage::LeaseGranted { sent_at: 0, duration: duration.as_millis() as u64 },
        edge
    ));
}

fn from_shield(tags: &'static str) -> ServerResponse {
    let mut head = Response::new(()).into_parts().0;
    for (name, value) in [("x-glenfall-seal", "s"), ("x-glenfall-tags", tags), ("x-glenfall-age-ms", "1500")]
    {
        head.headers.insert(name, HeaderValue::from_static(value));
    }
    ServerResponse::new(head, Bytes::from_static(b"body"))
}

fn is_cached(edge: &Edge, path: &str) -> bool {
    edge.cached(&object(path)).is_some()
}

#[tokio::test(start_paused = true)]
async fn a_purge_removes_stored_responses_and_keeps_them_out_for_the_barrier_time() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let (edge, watch_client) = edge();
    in_touch(&edge, &watch_client, Duration::from_mins(10));
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    edge.cache_response(&object("/b"), &from_shield("u"), Instant::now());
    let age = edge.cached(&object("/a")).map(|copy| copy.age());
    assert_eq!(age, Some(Duration::from_millis(1500)));
    let now = |purge| AgedPurge { purge, age_ms: 0 };
    let one = Purge::Object { hostname: "h".into(), path: "/c".into() };
    edge.purge(&[now(Purge::Label("t".into())), now(one)]);
    assert!(!is_cached(&edge, "/a") && is_cached(&edge, "/b"));
    // A shield that has not received the purge yet returns the old responses.
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    edge.cache_response(&object("/c"), &from_shield("u"), Instant::now());
    assert!(!is_cached(&edge, "/a") && !is_cached(&edge, "/c"));
    tokio::time::advance(PURGE_BARRIER_TIME).await;
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(is_cached(&edge, "/a"));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_stored_out_of_touch_and_remembered_purges_are_bounded() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let (edge, watch_client) = edge();
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(!is_cached(&edge, "/a"));
    in_touch(&edge, &watch_client, Duration::from_mins(10));
    let purges: Vec<Purge> = (0..2 * MAX_RECENT_PURGES).map(|n| Purge::Label(n.to_string())).collect();
    for purge in purges {
        edge.purge(&[AgedPurge { purge, age_ms: 0 }]);
    }
    assert!(edge.recent_purge_count() <= MAX_RECENT_PURGES);
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(!is_cached(&edge, "/a"), "more were purged than are remembered");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_stored_without_a_lease_and_an_expired_lease_returns_with_the_next_grant() {
    let (edge, watch_client) = edge();
    assert!(watch_client
        .handle_message(PublisherMessage::Push { number: 1, update: Update::Connected(true) }, &*edge));
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(!is_cached(&edge, "/a") && !watch_client.may_serve_stored_responses(), "in touch, and no lease");
    in_touch(&edge, &watch_client, Duration::from_millis(1200));
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(is_cached(&edge, "/a") && watch_client.may_serve_stored_responses());
    // A frozen process resumes: it has received no message yet that its lease is over.
    tokio::time::advance(Duration::from_millis(1200)).await;
    assert!(!watch_client.may_serve_stored_responses());
    // A grant that was delayed meanwhile is as old as its request.
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
    assert!(!watch_client.may_serve_stored_responses(), "a lease from before contact was lost");
}
