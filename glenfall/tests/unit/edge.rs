//! An edge's own copies: what it keeps of shields' answers, and what purges bar.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::edge::{Edge, MOST_PURGED, PURGED};
use glenfall::feed::{Feed, Follower};
use glenfall::pool::Pool;
use glenfall::response::ServerResponse;
use glenfall::room::Room;
use glenfall_plane::messages::{Aged, Proxy, Purge};
use hyper::header::HeaderValue;
use hyper::Response;
use tokio::time::Instant;

use crate::support::{object, settings};

fn edge() -> Rc<Edge> {
    let boot = Rc::new(settings(""));
    let feed = Feed::new(Rc::clone(&boot), Proxy::Edge);
    Edge::new(&boot, feed, Pool::new(8, Room::new(1 << 20)))
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
    edge.copy(&object(path)).is_some()
}

#[tokio::test(start_paused = true)]
async fn a_purge_ends_copies_and_bars_what_it_names_for_a_while() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let edge = edge();
    edge.in_touch(true);
    edge.keep(&object("/a"), &from_shield("t"), Instant::now());
    edge.keep(&object("/b"), &from_shield("u"), Instant::now());
    let age = edge.copy(&object("/a")).map(|copy| copy.age());
    assert_eq!(age, Some(Duration::from_millis(1500)));
    let now = |purge| Aged { purge, age_ms: 0 };
    let one = Purge::Object { hostname: "h".into(), path: "/c".into() };
    edge.purge(&[now(Purge::Label("t".into())), now(one)]);
    assert!(!kept(&edge, "/a") && kept(&edge, "/b"));
    // A shield that has not heard yet hands out the old copies.
    edge.keep(&object("/a"), &from_shield("t"), Instant::now());
    edge.keep(&object("/c"), &from_shield("u"), Instant::now());
    assert!(!kept(&edge, "/a") && !kept(&edge, "/c"));
    tokio::time::advance(PURGED).await;
    edge.keep(&object("/a"), &from_shield("t"), Instant::now());
    assert!(kept(&edge, "/a"));
}

#[tokio::test(start_paused = true)]
async fn out_of_touch_nothing_is_kept_and_a_stream_of_purges_is_bounded() {
    tokio::time::advance(Duration::from_secs(10)).await;
    let edge = edge();
    edge.keep(&object("/a"), &from_shield("t"), Instant::now());
    assert!(!kept(&edge, "/a"));
    edge.in_touch(true);
    let purges: Vec<Purge> = (0..2 * MOST_PURGED).map(|n| Purge::Label(n.to_string())).collect();
    for purge in purges {
        edge.purge(&[Aged { purge, age_ms: 0 }]);
    }
    assert!(edge.remembered_purges() <= MOST_PURGED);
    edge.keep(&object("/a"), &from_shield("t"), Instant::now());
    assert!(!kept(&edge, "/a"), "more were purged than are remembered");
}
