//! Forwarding to the servers of a service: which requests are retried, and which are reported as not run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::TRY_ID_HEADER;
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::forward::{Forwarder, Outcome, UpstreamRequest};
use glenfall::upstream::pool::Pool;
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::messages::{ProxyRole, Server};
use glenfall_control_plane::rate_limit::QuotaHolder;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::support::{listener, run_local, server, settings, start_fake_server};

const COMPLETE_RESPONSE: &str = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 2\r\n\r\nok";

/// A server that sends the same response to all requests, closes each connection, and counts the requests.
async fn responding_server(id: &str, response: &'static str, arrivals: &Rc<Cell<u32>>) -> Server {
    let arrivals = Rc::clone(arrivals);
    let connection = move |mut stream: TcpStream| {
        let arrivals = Rc::clone(&arrivals);
        async move {
            let mut received = Vec::new();
            while !received.ends_with(b"body") && stream.read_buf(&mut received).await.is_ok_and(|n| n > 0) {}
            arrivals.set(arrivals.get() + 1);
            let _ = stream.write_all(response.as_bytes()).await;
        }
    };
    server(id, start_fake_server(connection).await.port())
}

/// A forwarder to these servers, whose retry budget has counted this many client requests.
fn forwarder(servers: Vec<Server>, client_requests: u32) -> Forwarder {
    let settings = settings("[timing]\nretryRatio = 1.2\nretrySlack = 0\n");
    let forwarder = Forwarder::new(Pool::new(8, MemoryBudget::new(1 << 20)), &settings, ProxyRole::Edge);
    forwarder.update(&Fleet { complete: true, servers, shields: Vec::new(), edges: vec![1], cores: 1 });
    (0..client_requests).for_each(|_| forwarder.record_client_request("s"));
    forwarder
}

fn request(uri: &Uri, idempotent: bool, max_sends: u32) -> UpstreamRequest<'_> {
    let mut headers = HeaderMap::new();
    headers.insert(TRY_ID_HEADER, HeaderValue::from_static("t"));
    UpstreamRequest {
        service: "s",
        method: &Method::POST,
        uri,
        headers,
        body: Bytes::from_static(b"body"),
        idempotent,
        max_attempts: max_sends,
        is_retry: false,
        deadline: Instant::now() + Duration::from_secs(20),
        latency_target: Duration::from_secs(1),
        priority_rank: 0.0,
        rate_limit_per_s: None,
    }
}

/// Sends a request to three servers with the same response. Returns how it ended, and how many servers received it.
async fn send(
    response: &'static str,
    idempotent: bool,
    max_sends: u32,
    client_requests: u32,
) -> (&'static str, u32) {
    let arrivals = Rc::new(Cell::new(0));
    let mut servers = Vec::new();
    for id in ["a", "b", "c"] {
        servers.push(responding_server(id, response, &arrivals).await);
    }
    let forwarder = forwarder(servers, client_requests);
    let outcome = match forwarder.send(request(&Uri::from_static("/x"), idempotent, max_sends)).await {
        Outcome::Answered(response) if response.status().is_success() => "answered",
        Outcome::Answered(_) => "failure passed on",
        Outcome::NotRun(_) => "not run",
        Outcome::Unknown(_) => "unknown",
        Outcome::TimedOut(_) => "timed out",
    };
    assert_eq!(forwarder.origins.in_flight(), 0);
    (outcome, arrivals.get())
}

#[tokio::test(start_paused = true)]
async fn a_first_attempt_waits_a_little_for_the_rate_limit_and_a_retry_does_not() {
    let forwarder = forwarder(Vec::new(), 0);
    forwarder.set_quota_holder(QuotaHolder::Shield { shield_count: 1 });
    let uri = Uri::from_static("/x");
    let limited = |per_s| UpstreamRequest { rate_limit_per_s: per_s, ..request(&uri, true, 2) };
    let acquire = async |request: &UpstreamRequest<'_>, may_wait| {
        forwarder.acquire_rate_limit(request, may_wait).await.is_ok()
    };
    assert!(acquire(&limited(None), false).await, "there is no limit");
    // There is no token yet; one becomes free every 10 ms or so.
    let started_at = Instant::now();
    assert!(!acquire(&limited(Some(100.0)), false).await);
    assert!(acquire(&limited(Some(100.0)), true).await);
    assert!((9..13).contains(&started_at.elapsed().as_millis()), "{:?}", started_at.elapsed());
    // A request whose token is free only after a fifth of its latency target is rejected immediately.
    let started_at = Instant::now();
    let slow = UpstreamRequest { service: "slow", ..limited(Some(1.0)) };
    tokio::time::advance(Duration::from_secs(9)).await;
    assert!(acquire(&slow, true).await);
    assert!(!acquire(&slow, true).await);
    assert_eq!(started_at.elapsed(), Duration::from_secs(9));
}

/// The response to another request proves nothing about this one, not even that it has not run.
#[test]
fn a_response_to_another_request_does_not_prove_that_this_one_has_not_run() {
    run_local(async {
        let misplaced = "HTTP/1.1 503 Full\r\nX-Glenfall-Try-Id: other\r\nX-Glenfall-Not-Run: 1\r\n\
                       Content-Length: 0\r\n\r\n";
        assert_eq!(send(misplaced, false, 3, 10).await, ("unknown", 1), "it may have run");
    });
}

#[test]
fn a_request_whose_client_has_gone_is_no_longer_in_flight() {
    run_local(async {
        let (listener, silent) = listener().await;
        let forwarder = forwarder(vec![server("a", silent.port())], 1);
        let uri = Uri::from_static("/x");
        {
            let mut sending = std::pin::pin!(forwarder.send(request(&uri, false, 1)));
            tokio::select! {
                _ = sending.as_mut() => panic!("the server does not respond"),
                accepted = listener.accept() => { accepted.expect("the request's connection"); }
            }
            assert_eq!(forwarder.origins.in_flight(), 1);
        }
        assert_eq!(forwarder.origins.in_flight(), 0);
    });
}

#[test]
fn a_request_that_may_have_run_is_not_retried_and_not_reported_as_not_run() {
    run_local(async {
        let not_run =
            "HTTP/1.1 503 S\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let rate_limited =
            "HTTP/1.1 429 T\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let misdirected =
            "HTTP/1.1 421 M\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Server-Id: z\r\nContent-Length: 0\r\n\r\n";
        let unproven = "HTTP/1.1 503 S\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 0\r\n\r\n";
        let own_error = "HTTP/1.1 500 E\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 0\r\n\r\n";
        let truncated = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 9\r\n\r\nok";
        let no_length = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\n\r\nok";
        let without_id = "HTTP/1.1 503 S\r\nX-Glenfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let both_ids = "HTTP/1.1 503 S\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Try-Id: u\r\n\
                        X-Glenfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let contradictory = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Not-Run: 1\r\n\
                           Content-Length: 0\r\n\r\n";
        let until_close = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nTransfer-Encoding: gzip\r\n\r\nok";
        let both_lengths = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 2\r\n\
                            Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        let other = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: u\r\nContent-Length: 2\r\n\r\nok";
        for (case, response, not_idempotent, idempotent) in [
            ("complete", COMPLETE_RESPONSE, ("answered", 1), ("answered", 1)),
            ("not run", not_run, ("not run", 2), ("not run", 2)),
            ("rate limit", rate_limited, ("not run", 1), ("not run", 1)),
            ("misdirected", misdirected, ("not run", 2), ("not run", 2)),
            ("503 without the statement", unproven, ("unknown", 1), ("failure passed on", 2)),
            ("the server's own error", own_error, ("failure passed on", 1), ("failure passed on", 2)),
            ("truncated", truncated, ("unknown", 1), ("unknown", 2)),
            ("without a length", no_length, ("answered", 1), ("answered", 1)),
            ("another request's id", other, ("unknown", 1), ("unknown", 2)),
            ("no id", without_id, ("unknown", 1), ("unknown", 2)),
            ("two ids", both_ids, ("unknown", 1), ("unknown", 2)),
            ("run and not run", contradictory, ("unknown", 1), ("unknown", 2)),
            ("another coding", until_close, ("unknown", 1), ("unknown", 2)),
            ("two lengths", both_lengths, ("unknown", 1), ("unknown", 2)),
            ("noise", "no answer at all\r\n\r\n", ("unknown", 1), ("unknown", 2)),
            ("closed", "", ("unknown", 1), ("unknown", 2)),
        ] {
            assert_eq!(send(response, false, 2, 9).await, not_idempotent, "{case}, not idempotent");
            assert_eq!(send(response, true, 2, 9).await, idempotent, "{case}, idempotent");
        }
        // One counted request allows one retry; without any, the first response is the last.
        assert_eq!(send(not_run, false, 3, 1).await, ("not run", 2));
        assert_eq!(send(not_run, false, 3, 0).await, ("not run", 1));
        assert_eq!(send(own_error, true, 3, 0).await, ("failure passed on", 1));
    });
}
