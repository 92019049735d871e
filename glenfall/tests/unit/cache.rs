//! The cache in memory: what is stored, what purges remove, and what is sent from a stored response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::cache::{Cache, StoredResponse, ENTRY_OVERHEAD_BYTES};
use glenfall::http::response::ServerResponse;
use glenfall_control_plane::messages::{AgedPurge, Purge};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use crate::support::object_key as key;

const SEAL_HEADER: &str = "x-glenfall-seal";

fn head(tags: &'static str) -> Parts {
    let mut head = Response::new(()).into_parts().0;
    let headers = &mut head.headers;
    headers.insert(SEAL_HEADER, HeaderValue::from_static("s"));
    headers.insert("x-glenfall-tags", HeaderValue::from_static(tags));
    headers.insert(header::ETAG, HeaderValue::from_static("\"e\""));
    head
}

fn stored(body: &str, tags: &'static str) -> Rc<StoredResponse> {
    let response = ServerResponse::new(head(tags), Bytes::from(body.to_owned()));
    Rc::new(StoredResponse::from_response(&response, Instant::now()).expect("a storable response"))
}

fn purge_now(purge: Purge) -> AgedPurge {
    AgedPurge { purge, age_ms: 0 }
}

#[tokio::test(start_paused = true)]
async fn a_delayed_purge_spares_responses_requested_after_it() {
    let purge_of_age = |age_s: u64| AgedPurge { purge: Purge::Everything, age_ms: age_s * 1000 };
    tokio::time::advance(Duration::from_secs(100)).await;
    let mut cache = Cache::new(1 << 20);
    cache.insert(key("/old"), stored("body", ""));
    tokio::time::advance(Duration::from_secs(20)).await;
    cache.insert(key("/new"), stored("body", ""));
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!(cache.purge(&purge_of_age(30)), [], "published before both");
    assert_eq!(cache.purge(&purge_of_age(10)), [key("/old")]);
    assert_eq!(
        cache.purge(&purge_of_age(6)),
        [key("/new")],
        "so close that it may have been requested before"
    );
}

#[test]
fn purges_remove_what_they_name_and_nothing_else() {
    let mut cache = Cache::new(1 << 20);
    for (path, tags) in [("/a", "x y"), ("/a?q", "y"), ("/ab", "x"), ("/c", "z")] {
        cache.insert(key(path), stored("body", tags));
    }
    cache.purge(&purge_now(Purge::Label("y".into())));
    assert_eq!((cache.get(&key("/a")).is_none(), cache.len()), (true, 2));
    cache.insert(key("/a"), stored("new", "x"));
    cache.insert(key("/a?q"), stored("new", ""));
    cache.purge(&purge_now(Purge::Object { hostname: "H".into(), path: "/a".into() }));
    assert_eq!(cache.len(), 2);
    assert!(cache.get(&key("/ab")).is_some());
    // A response that replaced another is found by its own labels only.
    cache.insert(key("/ab"), stored("newer", "w"));
    cache.purge(&purge_now(Purge::Label("x".into())));
    assert!(cache.get(&key("/ab")).is_some());
    cache.purge(&purge_now(Purge::Label("w".into())));
    assert_eq!(cache.len(), 1);
    cache.purge(&purge_now(Purge::Everything));
    assert_eq!((cache.len(), cache.bytes(), cache.label_count()), (0, 0, 0));
}

#[test]
fn the_least_recently_used_are_evicted() {
    let mut cache = Cache::new(10 * (ENTRY_OVERHEAD_BYTES + 4));
    for n in 0..20 {
        cache.insert(key(&format!("/{n}")), stored("body", "t"));
        cache.get(&key("/0"));
    }
    assert_eq!((cache.len(), cache.get(&key("/0")).is_some()), (10, true));
    assert!(cache.get(&key("/10")).is_none());
    cache.insert(key("/huge"), stored(&"x".repeat(5000), ""));
    assert!(cache.get(&key("/huge")).is_none());
}

#[test]
fn ranges_and_conditions_are_served_from_the_complete_object() {
    let stored = stored("0123456789", "");
    let response_to = |name: HeaderName, value: &'static str| {
        let mut request = HeaderMap::new();
        request.insert(name, HeaderValue::from_static(value));
        let response = stored.respond_to(&request);
        let range = response.headers().get(header::CONTENT_RANGE).map(|v| v.to_str().unwrap().to_owned());
        (response.status().as_u16(), String::from_utf8(response.body().to_vec()).unwrap(), range)
    };
    let partial = |status, body: &str, range: &str| (status, body.to_owned(), Some(range.to_owned()));
    assert_eq!(response_to(header::RANGE, "bytes=2-4"), partial(206, "234", "bytes 2-4/10"));
    assert_eq!(response_to(header::RANGE, "bytes=8-"), partial(206, "89", "bytes 8-9/10"));
    assert_eq!(response_to(header::RANGE, "bytes=10-"), partial(416, "", "bytes */10"));
    for ignored in ["bytes=-3", "bytes=4-2", "bytes=0-1,3-4", "lines=1-2"] {
        assert_eq!(response_to(header::RANGE, ignored).0, 200, "{ignored}");
    }
    assert_eq!(response_to(header::IF_NONE_MATCH, "\"e\"").0, 304);
    assert_eq!(response_to(header::IF_NONE_MATCH, "\"f\"").0, 200);
}

#[test]
fn only_complete_sealed_responses_are_stored() {
    let is_stored = |change: fn(&mut Parts)| {
        let mut head = head("");
        change(&mut head);
        StoredResponse::from_response(&ServerResponse::new(head, Bytes::from_static(b"body")), Instant::now())
            .is_some()
    };
    fn set(head: &mut Parts, name: HeaderName, value: &'static str) {
        head.headers.insert(name, HeaderValue::from_static(value));
    }
    assert!(is_stored(|_| {}));
    assert!(!is_stored(|r| r.status = StatusCode::INTERNAL_SERVER_ERROR));
    assert!(!is_stored(|r| drop(r.headers.remove(SEAL_HEADER))));
    assert!(!is_stored(|r| set(r, header::CONTENT_ENCODING, "gzip")));
    assert!(!is_stored(|r| set(r, header::CACHE_CONTROL, "No-Store")));
}
