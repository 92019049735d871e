//! The deadline that servers receive with a request, on each path to them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use glenfall::edge::{self, Edge};
use glenfall::http_server::{FullRequest, Handler};
use glenfall_control_plane::messages::Server;
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

use crate::proxies::{
    pool, request, request_within, start_edge, start_edge_with, start_shields, ShieldBehavior, ROUTE_DEADLINE,
};
use crate::support::{run_local, server, start_fake_server};

/// Required bound: a server's deadline may be this much later than that of the client.
const MAX_OVERRUN: Duration = Duration::from_millis(500);
/// The deadline of a client that retries with little time left.
const SHORT_DEADLINE: Duration = Duration::from_millis(200);
/// How long a server takes for a response.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// When a server received a request, and the remaining time that its deadline header stated.
#[derive(Clone, Copy, Debug)]
struct ReceivedDeadline {
    received_at: Instant,
    remaining: Duration,
}

impl ReceivedDeadline {
    fn expires_at(&self) -> Instant {
        self.received_at + self.remaining
    }
}

type DeadlineRecord = Rc<RefCell<Vec<ReceivedDeadline>>>;

fn parse_deadline(received: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(received).ok()?.strip_suffix("\r\n\r\n")?;
    let mut lines = text.lines().filter_map(|line| line.split_once(": "));
    let (_, time) = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-glenfall-deadline"))?;
    time.parse().ok().map(Duration::from_millis)
}

/// Records the deadline of each request. Responds to all but the first `unanswered` ones.
async fn serve(mut stream: TcpStream, record: DeadlineRecord, unanswered: usize) {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {
        let Some(remaining) = parse_deadline(&received) else { continue };
        let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
        let id = text.split_once("x-glenfall-try-id: ").and_then(|(_, rest)| rest.split_once("\r\n"));
        let id = id.map_or("", |(id, _)| id).to_owned();
        received.clear();
        record.borrow_mut().push(ReceivedDeadline { received_at: Instant::now(), remaining });
        if record.borrow().len() <= unanswered {
            continue;
        }
        sleep(SERVICE_TIME).await;
        let head = format!("HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\n");
        if stream.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn start_server(unanswered: usize) -> (Vec<Server>, DeadlineRecord) {
    let record = DeadlineRecord::default();
    let recorded = Rc::clone(&record);
    let address = start_fake_server(move |stream| serve(stream, Rc::clone(&recorded), unanswered)).await;
    (vec![server("a", address.port())], record)
}

/// Sends a request, and returns the status of its response and how long its client waited.
fn send(edge: &Rc<Edge>, request: FullRequest) -> JoinHandle<(StatusCode, Duration)> {
    let edge = Rc::clone(edge);
    spawn_local(async move {
        let started_at = Instant::now();
        let response = edge::EdgeHandler(edge).handle(request).await;
        (response.status(), started_at.elapsed())
    })
}

#[test]
fn a_server_is_given_at_most_half_a_second_more_than_the_client_waits() {
    run_local(async {
        let (_running, stopping) = watch::channel(false);
        for (method, path) in [("GET", "/1/x"), ("GET", "/2/x"), ("POST", "/w/x")] {
            let (servers, record) = start_server(usize::MAX).await;
            let shields = start_shields(&[ShieldBehavior::Healthy], &servers, &stopping).await;
            let edge = start_edge(&servers, &shields, pool()).await;
            let sent_at = Instant::now();
            let (status, elapsed) =
                send(&edge, request_within(SHORT_DEADLINE, method, path, "t")).await.expect("no panic");
            assert_eq!(status, StatusCode::GATEWAY_TIMEOUT, "{method} {path}");
            assert!(elapsed < SHORT_DEADLINE + MAX_OVERRUN, "{method} {path}: {elapsed:?}");
            let record = record.borrow();
            assert!(!record.is_empty(), "{method} {path}: nothing was sent");
            let exceeding =
                record.iter().find(|deadline| deadline.expires_at() > sent_at + SHORT_DEADLINE + MAX_OVERRUN);
            assert!(exceeding.is_none(), "{method} {path}: {exceeding:?} after {sent_at:?}");
        }
    });
}

#[test]
fn a_read_that_shares_a_fetch_with_an_earlier_deadline_is_still_served_when_that_fetch_ends() {
    run_local(async {
        let (_running, stopping) = watch::channel(false);
        let (servers, record) = start_server(1).await;
        let shields = start_shields(&[ShieldBehavior::Healthy], &servers, &stopping).await;
        let edge = start_edge(&servers, &shields, pool()).await;
        let first = send(&edge, request_within(SHORT_DEADLINE, "GET", "/1/x", "t"));
        while record.borrow().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        let (status, elapsed) = send(&edge, request("GET", "/1/x", "u")).await.expect("no panic");
        assert_eq!(status, StatusCode::OK, "after {elapsed:?}");
        assert_eq!(record.borrow().len(), 2, "one send for each of the two requests");
        assert_eq!(first.await.expect("no panic").0, StatusCode::GATEWAY_TIMEOUT);
    });
}

#[test]
fn a_request_to_a_draining_edge_ends_within_the_grace_time() {
    run_local(async {
        let (servers, record) = start_server(usize::MAX).await;
        // The drain deadline is 1.3 s after the start of draining: `graceS`, less the time that the process needs to
        // exit.
        let (edge, watch_client) = start_edge_with("graceS = 2\n", &servers, &[], pool()).await;
        let before = send(&edge, request("POST", "/w/x", "t"));
        while record.borrow().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        watch_client.start_draining();
        let drain_deadline = watch_client.drain_deadline().expect("it is draining");
        let after = send(&edge, request("POST", "/w/x", "u"));
        assert_eq!(after.await.expect("no panic").0, StatusCode::GATEWAY_TIMEOUT);
        assert!(
            Instant::now() < drain_deadline,
            "its client has a response before the other connections are aborted"
        );
        let deadlines = record.borrow().clone();
        assert!(
            deadlines[1].expires_at() < drain_deadline,
            "the deadline of its server is before the end of draining"
        );
        assert!(deadlines[0].expires_at() > drain_deadline, "a request in flight keeps its deadline");
        let (_, elapsed) = before.await.expect("no panic");
        assert!(elapsed > ROUTE_DEADLINE / 2, "it does not end early: {elapsed:?}");
    });
}
