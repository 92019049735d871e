//! Malformed server responses, and bytes before or after a valid one.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// One response for each kind of malformation; the connection stays open after each.
fn malformed_responses() -> Vec<String> {
    let head = "HTTP/1.1 200 OK\r\n";
    vec![
        "\x01\x02 noise \x03".into(),
        "\x01\x02 noise \x03\r\n\r\n".into(),
        format!("{head}X-Cache: hit\r\nX-Half"),
        format!("{head}X-Endless: {}", "a".repeat(1 << 20)),
        format!("{head}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\nwrong"),
        format!("{head}Content-Length: 5\r\nContent-Length: 7\r\n\r\nwrong"),
        format!("{head}Content-Length: -5\r\n\r\nwrong"),
        format!("{head}Content-Length: 50\r\n\r\nwrong"),
        format!("{head}Content-Length: 3221225472\r\n\r\n{}", "wrong".repeat(1 << 18)),
        format!("{head}\r\nwrong"),
        "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n".into(),
        "HTTP/1.1 206 Partial Content\r\nContent-Length: 5\r\n\r\nwrong".into(),
    ]
}

#[test]
fn a_malformed_response_is_dropped_early_and_the_request_retried() {
    for text in malformed_responses() {
        let requests = AtomicUsize::new(0);
        let malformed = text.clone();
        let cache = Server::start(move |_| match requests.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::KeepOpen(malformed.clone()),
            _ => hit("value"),
        });
        let discovery = Discovery::start();
        let node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
        let started = Instant::now();
        let response = node.client().get("/read/a", "X-Deadline-Ms: 100000\r\n");
        let excerpt = &text[..text.len().min(80)];
        assert_eq!((response.status(), response.body.as_str()), (200, "value"), "{excerpt}");
        assert!(started.elapsed() < TEST_TIMEOUT, "{excerpt}");
        cache.ended.recv_timeout(TEST_TIMEOUT).expect("the connection with the malformed response is closed");
    }
}

#[test]
fn a_request_with_a_malformed_response_may_have_run() {
    let cache = Server::start(|_| Reply::KeepOpen("HTTP/1.1 200 OK\r\n\r\nno length".into()));
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
    assert_eq!(node.get("/order/a").status(), 502);
    assert_eq!(cache.requests.try_iter().count(), 1);
}

#[test]
fn malformed_responses_do_not_eject_a_server() {
    let requests = AtomicUsize::new(0);
    let cache = Server::start(move |_| match requests.fetch_add(1, Ordering::SeqCst) % 2 {
        0 => Reply::KeepOpen("noise\r\n\r\n".into()),
        _ => hit("value"),
    });
    let discovery = Discovery::start();
    let node = Node::start(&config(discovery.server.addr, &[entry("s-1", cache.addr, "active")]));
    for key in 0..8 {
        assert_eq!(node.get(&format!("/read/{key}")).status(), 200);
    }
}

#[test]
fn bytes_after_a_valid_response_are_not_read_as_the_next_response() {
    let second_response = response("200 OK", "X-Cache: hit\r\n", "/read/a");
    for trailing in [second_response.as_str(), "noise", "noise\r\n\r\n"] {
        let trailing = trailing.to_owned();
        let cache = Server::start(move |request| {
            let valid = response("200 OK", "X-Cache: hit\r\n", request.path());
            Reply::KeepOpen(if request.path() == "/read/a" { valid + &trailing } else { valid })
        });
        let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
        // One attempt per request, so that a retry cannot hide a failure.
        config["settings"]["limits"]["max-attempts"] = json!(1);
        let node = Node::start(&config);
        for path in ["/read/a", "/read/b", "/read/c"] {
            assert_eq!(node.get(path).body, path);
        }
    }
}

#[test]
fn informational_responses_before_a_valid_one_are_skipped() {
    let cache = Server::start(|request| {
        let informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        Reply::Delayed(
            informational.into(),
            Duration::from_millis(600),
            response("200 OK", "X-Load: odd=;\r\n", request.path()),
        )
    });
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    config["settings"]["limits"]["max-attempts"] = json!(1);
    let node = Node::start(&config);
    for path in ["/read/a", "/read/b"] {
        assert_eq!(node.get(path).body, path);
    }
}
