//! An edge's own copies: what it keeps of shields' answers, and what purges bar.

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
    let feed = WatchClient::new(Rc::clone(&boot), ProxyRole::Edge);
    (Edge::new(&boot, Rc::clone(&feed), Pool::new(8, MemoryBudget::new(1 << 20))), feed)
}

/// In touch, and with a lease that lasts so long from the start of the test on.
fn in_touch(edge: &Edge, feed: &WatchClient, lasts: Duration) {
    assert!(feed.hear(PublisherMessage::Push { number: 1, update: Update::Connected(true) }, edge));
    assert!(
        feed.hear(PublisherMessage::LeaseGranted { sent_at: 0, duration: lasts.as_millis() as u64 }, edge)
    );
}

fn from_shield(tags: &'static str) -> ServerResponse {
    let mut head = Response::new(()).into_parts().0;
    for (name, value) in [("x-glenfall-seal", "s"), ("x-glenfall-tags", tags), ("x-glenfall-age-ms", "1500")]
    {
        head.headers.insert(name, HeaderValue::from_static(value));
    }
    ServerResponse::new(head, Bytes::from_static(b"body"))
}

fn kept(edge: &Edge, path: &str) -> bool {
    edge.cached(&object(path)).is_some()
}

#[tokio::test(start_paused = true)]
async fn a_purge_ends_copies_and_bars_what_it_names_for_a_while() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let (edge, feed) = edge();
    in_touch(&edge, &feed, Duration::from_secs(600));
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    edge.cache_response(&object("/b"), &from_shield("u"), Instant::now());
    let age = edge.cached(&object("/a")).map(|copy| copy.age());
    assert_eq!(age, Some(Duration::from_millis(1500)));
    let now = |purge| AgedPurge { purge, age_ms: 0 };
    let one = Purge::Object { hostname: "h".into(), path: "/c".into() };
    edge.purge(&[now(Purge::Label("t".into())), now(one)]);
    assert!(!kept(&edge, "/a") && kept(&edge, "/b"));
    // A shield that has not heard yet hands out the old copies.
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    edge.cache_response(&object("/c"), &from_shield("u"), Instant::now());
    assert!(!kept(&edge, "/a") && !kept(&edge, "/c"));
    tokio::time::advance(PURGE_BARRIER_TIME).await;
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(kept(&edge, "/a"));
}

#[tokio::test(start_paused = true)]
async fn out_of_touch_nothing_is_kept_and_a_stream_of_purges_is_bounded() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let (edge, feed) = edge();
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(!kept(&edge, "/a"));
    in_touch(&edge, &feed, Duration::from_secs(600));
    let purges: Vec<Purge> = (0..2 * MAX_RECENT_PURGES).map(|n| Purge::Label(n.to_string())).collect();
    for purge in purges {
        edge.purge(&[AgedPurge { purge, age_ms: 0 }]);
    }
    assert!(edge.recent_purge_count() <= MAX_RECENT_PURGES);
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(!kept(&edge, "/a"), "more were purged than are remembered");
}

#[tokio::test(start_paused = true)]
async fn without_a_lease_nothing_is_kept_and_one_that_ended_comes_back_with_the_next_grant() {
    let (edge, feed) = edge();
    assert!(feed.hear(PublisherMessage::Push { number: 1, update: Update::Connected(true) }, &*edge));
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(!kept(&edge, "/a") && !feed.vouches(), "in touch, and no lease");
    in_touch(&edge, &feed, Duration::from_millis(1200));
    edge.cache_response(&object("/a"), &from_shield("t"), Instant::now());
    assert!(kept(&edge, "/a") && feed.vouches());
    // A frozen process resumes: nothing has told it yet that its lease is over.
    tokio::time::advance(Duration::from_millis(1200)).await;
    assert!(!feed.vouches());
    // A grant that waited meanwhile is as old as its request.
    assert!(feed.hear(PublisherMessage::LeaseGranted { sent_at: 100, duration: 1100 }, &*edge));
    assert!(!feed.vouches());
    assert!(feed.hear(PublisherMessage::LeaseGranted { sent_at: 1200, duration: 1000 }, &*edge));
    assert!(feed.vouches());
    assert!(feed.hear(PublisherMessage::Push { number: 2, update: Update::Connected(false) }, &*edge));
    assert!(feed.hear(PublisherMessage::Push { number: 3, update: Update::Connected(true) }, &*edge));
    assert!(!feed.vouches(), "a lease from before contact was lost");
}
