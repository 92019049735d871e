//! The way to the servers of a service: what is sent again, and what is promised not to have run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::TRY_ID;
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

use crate::support::{listener, run_local, server, settings, stand_in};

const WHOLE: &str = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 2\r\n\r\nok";

/// A server that gives the same answer to all, and closes; what it is sent is counted.
async fn answering(id: &str, answer: &'static str, arrivals: &Rc<Cell<u32>>) -> Server {
    let arrivals = Rc::clone(arrivals);
    let connection = move |mut stream: TcpStream| {
        let arrivals = Rc::clone(&arrivals);
        async move {
            let mut seen = Vec::new();
            while !seen.ends_with(b"body") && stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {}
            arrivals.set(arrivals.get() + 1);
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    };
    server(id, stand_in(connection).await.port())
}

/// A way to servers that know as many requests of clients.
fn way(servers: Vec<Server>, counted: u32) -> Forwarder {
    let boot = settings("[timing]\nretryRatio = 1.2\nretrySlack = 0\n");
    let direct = Forwarder::new(Pool::new(8, MemoryBudget::new(1 << 20)), &boot, ProxyRole::Edge);
    direct.update(&Fleet { complete: true, servers, shields: Vec::new(), edges: vec![1], cores: 1 });
    (0..counted).for_each(|_| direct.count("s"));
    direct
}

fn job(uri: &Uri, repeatable: bool, tries: u32) -> UpstreamRequest<'_> {
    let mut headers = HeaderMap::new();
    headers.insert(TRY_ID, HeaderValue::from_static("t"));
    UpstreamRequest {
        service: "s",
        method: &Method::POST,
        uri,
        headers,
        body: Bytes::from_static(b"body"),
        repeatable,
        tries,
        again: false,
        until: Instant::now() + Duration::from_secs(20),
        aim: Duration::from_secs(1),
        rank: 0.0,
        per_s: None,
    }
}

/// What comes of a request where all servers answer so, and how often one was sent to.
async fn sent(answer: &'static str, repeatable: bool, tries: u32, counted: u32) -> (&'static str, u32) {
    let arrivals = Rc::new(Cell::new(0));
    let mut servers = Vec::new();
    for id in ["a", "b", "c"] {
        servers.push(answering(id, answer, &arrivals).await);
    }
    let direct = way(servers, counted);
    let told = match direct.send(job(&Uri::from_static("/x"), repeatable, tries)).await {
        Outcome::Answered(reply) if reply.status().is_success() => "answered",
        Outcome::Answered(_) => "failure passed on",
        Outcome::NotRun(_) => "not run",
        Outcome::Unknown(_) => "unknown",
        Outcome::TimedOut(_) => "timed out",
    };
    assert_eq!(direct.origins.in_flight(), 0);
    (told, arrivals.get())
}

#[tokio::test(start_paused = true)]
async fn a_first_try_waits_a_little_for_its_turn_under_a_ceiling_and_a_further_one_does_not() {
    let direct = way(Vec::new(), 0);
    direct.hold(QuotaHolder::Shield { of: 1 });
    let uri = Uri::from_static("/x");
    let asked = |per_s| UpstreamRequest { per_s, ..job(&uri, true, 2) };
    assert!(direct.under_ceiling(&asked(None), false).await, "none is stated");
    // Nothing saved yet; one comes in every 10 ms or so.
    let began = Instant::now();
    assert!(!direct.under_ceiling(&asked(Some(100.0)), false).await);
    assert!(direct.under_ceiling(&asked(Some(100.0)), true).await);
    assert!((9..13).contains(&began.elapsed().as_millis()), "{:?}", began.elapsed());
    // Where its turn comes later than a fifth of its aim, it hears so at once.
    let began = Instant::now();
    let slow = UpstreamRequest { service: "slow", ..asked(Some(1.0)) };
    tokio::time::advance(Duration::from_secs(9)).await;
    assert!(direct.under_ceiling(&slow, true).await);
    assert!(!direct.under_ceiling(&slow, true).await);
    assert_eq!(began.elapsed(), Duration::from_secs(9));
}

/// The answer to another request says nothing of this one, not even that it has not run.
#[test]
fn what_belongs_to_another_request_is_no_promise() {
    run_local(async {
        let surplus = "HTTP/1.1 503 Full\r\nX-Glenfall-Try-Id: other\r\nX-Glenfall-Not-Run: 1\r\n\
                       Content-Length: 0\r\n\r\n";
        assert_eq!(sent(surplus, false, 3, 10).await, ("unknown", 1), "it may have run");
    });
}

#[test]
fn a_request_whose_client_has_gone_is_counted_off() {
    run_local(async {
        let (listener, silent) = listener().await;
        let direct = way(vec![server("a", silent.port())], 1);
        let uri = Uri::from_static("/x");
        {
            let mut sending = std::pin::pin!(direct.send(job(&uri, false, 1)));
            tokio::select! {
                _ = sending.as_mut() => panic!("nobody answers"),
                accepted = listener.accept() => { accepted.expect("the request's connection"); }
            }
            assert_eq!(direct.origins.in_flight(), 1);
        }
        assert_eq!(direct.origins.in_flight(), 0);
    });
}

#[test]
fn what_may_have_run_goes_to_no_second_server_and_is_not_promised_not_to_have() {
    run_local(async {
        let not_run =
            "HTTP/1.1 503 S\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let ceiling =
            "HTTP/1.1 429 T\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let misdirected =
            "HTTP/1.1 421 M\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Server-Id: z\r\nContent-Length: 0\r\n\r\n";
        let unsaid = "HTTP/1.1 503 S\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 0\r\n\r\n";
        let own_error = "HTTP/1.1 500 E\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 0\r\n\r\n";
        let cut = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 9\r\n\r\nok";
        let no_length = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\n\r\nok";
        let nameless = "HTTP/1.1 503 S\r\nX-Glenfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let both_ids = "HTTP/1.1 503 S\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Try-Id: u\r\n\
                        X-Glenfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let ran_and_not = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nX-Glenfall-Not-Run: 1\r\n\
                           Content-Length: 0\r\n\r\n";
        let until_close = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nTransfer-Encoding: gzip\r\n\r\nok";
        let both_lengths = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: t\r\nContent-Length: 2\r\n\
                            Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
        let other = "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: u\r\nContent-Length: 2\r\n\r\nok";
        for (case, answer, once, repeatable) in [
            ("whole", WHOLE, ("answered", 1), ("answered", 1)),
            ("not run", not_run, ("not run", 2), ("not run", 2)),
            ("ceiling", ceiling, ("not run", 1), ("not run", 1)),
            ("misdirected", misdirected, ("not run", 2), ("not run", 2)),
            ("503 without the word", unsaid, ("unknown", 1), ("failure passed on", 2)),
            ("the server's own error", own_error, ("failure passed on", 1), ("failure passed on", 2)),
            ("cut off", cut, ("unknown", 1), ("unknown", 2)),
            ("without a length", no_length, ("answered", 1), ("answered", 1)),
            ("another's answer", other, ("unknown", 1), ("unknown", 2)),
            ("nobody's answer", nameless, ("unknown", 1), ("unknown", 2)),
            ("two requests' answer", both_ids, ("unknown", 1), ("unknown", 2)),
            ("run and not run", ran_and_not, ("unknown", 1), ("unknown", 2)),
            ("another coding", until_close, ("unknown", 1), ("unknown", 2)),
            ("two lengths", both_lengths, ("unknown", 1), ("unknown", 2)),
            ("noise", "no answer at all\r\n\r\n", ("unknown", 1), ("unknown", 2)),
            ("closed", "", ("unknown", 1), ("unknown", 2)),
        ] {
            assert_eq!(sent(answer, false, 2, 9).await, once, "{case}, at most once");
            assert_eq!(sent(answer, true, 2, 9).await, repeatable, "{case}, repeatable");
        }
        // One counted request lets one more be sent; without any the first answer is the last.
        assert_eq!(sent(not_run, false, 3, 1).await, ("not run", 2));
        assert_eq!(sent(not_run, false, 3, 0).await, ("not run", 1));
        assert_eq!(sent(own_error, true, 3, 0).await, ("failure passed on", 1));
    });
}
