//! Copies: what is kept, what purges end, what is answered from a copy.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::cache::{Cache, Copy, OVERHEAD};
use glenfall::http::response::ServerResponse;
use glenfall_control_plane::messages::{AgedPurge, Purge};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use crate::support::object as key;

const SEAL: &str = "x-glenfall-seal";

fn head(tags: &'static str) -> Parts {
    let mut head = Response::new(()).into_parts().0;
    let headers = &mut head.headers;
    headers.insert(SEAL, HeaderValue::from_static("s"));
    headers.insert("x-glenfall-tags", HeaderValue::from_static(tags));
    headers.insert(header::ETAG, HeaderValue::from_static("\"e\""));
    head
}

fn copy(body: &str, tags: &'static str) -> Rc<Copy> {
    let response = ServerResponse::new(head(tags), Bytes::from(body.to_owned()));
    Rc::new(Copy::of(&response, Instant::now()).expect("kept"))
}

fn now(purge: Purge) -> AgedPurge {
    AgedPurge { purge, age_ms: 0 }
}

#[tokio::test(start_paused = true)]
async fn a_purge_told_late_spares_what_was_asked_for_since() {
    let told = |age_s: u64| AgedPurge { purge: Purge::Everything, age_ms: age_s * 1000 };
    tokio::time::advance(Duration::from_secs(100)).await;
    let mut cache = Cache::new(1 << 20);
    cache.insert(key("/old"), copy("body", ""));
    tokio::time::advance(Duration::from_secs(20)).await;
    cache.insert(key("/new"), copy("body", ""));
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!(cache.purge(&told(30)), [], "taken before both");
    assert_eq!(cache.purge(&told(10)), [key("/old")]);
    assert_eq!(cache.purge(&told(6)), [key("/new")], "so close that it may have been before");
}

#[test]
fn purges_end_what_they_name_and_nothing_else() {
    let mut cache = Cache::new(1 << 20);
    for (path, tags) in [("/a", "x y"), ("/a?q", "y"), ("/ab", "x"), ("/c", "z")] {
        cache.insert(key(path), copy("body", tags));
    }
    cache.purge(&now(Purge::Label("y".into())));
    assert_eq!((cache.get(&key("/a")).is_none(), cache.len()), (true, 2));
    cache.insert(key("/a"), copy("new", "x"));
    cache.insert(key("/a?q"), copy("new", ""));
    cache.purge(&now(Purge::Object { hostname: "H".into(), path: "/a".into() }));
    assert_eq!(cache.len(), 2);
    assert!(cache.get(&key("/ab")).is_some());
    // A copy that replaced another is found by its own labels only.
    cache.insert(key("/ab"), copy("newer", "w"));
    cache.purge(&now(Purge::Label("x".into())));
    assert!(cache.get(&key("/ab")).is_some());
    cache.purge(&now(Purge::Label("w".into())));
    assert_eq!(cache.len(), 1);
    cache.purge(&now(Purge::Everything));
    assert_eq!((cache.len(), cache.bytes(), cache.labels()), (0, 0, 0));
}

#[test]
fn the_least_recently_used_make_room() {
    let mut cache = Cache::new(10 * (OVERHEAD + 4));
    for n in 0..20 {
        cache.insert(key(&format!("/{n}")), copy("body", "t"));
        cache.get(&key("/0"));
    }
    assert_eq!((cache.len(), cache.get(&key("/0")).is_some()), (10, true));
    assert!(cache.get(&key("/10")).is_none());
    cache.insert(key("/huge"), copy(&"x".repeat(5000), ""));
    assert!(cache.get(&key("/huge")).is_none());
}

#[test]
fn ranges_and_conditions_are_answered_from_the_whole() {
    let copy = copy("0123456789", "");
    let asked = |name: HeaderName, value: &'static str| {
        let mut request = HeaderMap::new();
        request.insert(name, HeaderValue::from_static(value));
        let reply = copy.answer(&request);
        let range = reply.headers().get(header::CONTENT_RANGE).map(|v| v.to_str().unwrap().to_owned());
        (reply.status().as_u16(), String::from_utf8(reply.body().to_vec()).unwrap(), range)
    };
    let part = |status, body: &str, range: &str| (status, body.to_owned(), Some(range.to_owned()));
    assert_eq!(asked(header::RANGE, "bytes=2-4"), part(206, "234", "bytes 2-4/10"));
    assert_eq!(asked(header::RANGE, "bytes=8-"), part(206, "89", "bytes 8-9/10"));
    assert_eq!(asked(header::RANGE, "bytes=10-"), part(416, "", "bytes */10"));
    for whole in ["bytes=-3", "bytes=4-2", "bytes=0-1,3-4", "lines=1-2"] {
        assert_eq!(asked(header::RANGE, whole).0, 200, "{whole}");
    }
    assert_eq!(asked(header::IF_NONE_MATCH, "\"e\"").0, 304);
    assert_eq!(asked(header::IF_NONE_MATCH, "\"f\"").0, 200);
}

#[test]
fn only_whole_sealed_answers_are_kept() {
    let kept = |spoil: fn(&mut Parts)| {
        let mut head = head("");
        spoil(&mut head);
        Copy::of(&ServerResponse::new(head, Bytes::from_static(b"body")), Instant::now()).is_some()
    };
    fn set(head: &mut Parts, name: HeaderName, value: &'static str) {
        head.headers.insert(name, HeaderValue::from_static(value));
    }
    assert!(kept(|_| {}));
    assert!(!kept(|r| r.status = StatusCode::INTERNAL_SERVER_ERROR));
    assert!(!kept(|r| drop(r.headers.remove(SEAL))));
    assert!(!kept(|r| set(r, header::CONTENT_ENCODING, "gzip")));
    assert!(!kept(|r| set(r, header::CACHE_CONTROL, "No-Store")));
}
