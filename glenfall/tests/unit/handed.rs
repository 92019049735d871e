//! How much time servers are handed with a request, whatever way it takes to them.

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
    pool, request, request_within, start_edge, start_edge_with, start_shields, ShieldActs, DEADLINE,
};
use crate::support::{run_local, server, stand_in};

/// What the users' page allows a server beyond the client's own deadline.
const ALLOWED_BEYOND: Duration = Duration::from_millis(500);
/// The wait of a client that comes again with little time left.
const SHORT: Duration = Duration::from_millis(200);
/// How long a server works on a request that it answers.
const WORK: Duration = Duration::from_millis(20);

/// When a server was sent a request, and how much time it was handed.
#[derive(Clone, Copy, Debug)]
struct Handed {
    at: Instant,
    time: Duration,
}

impl Handed {
    fn ends(&self) -> Instant {
        self.at + self.time
    }
}

type Record = Rc<RefCell<Vec<Handed>>>;

fn handed_time(heard: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(heard).ok()?.strip_suffix("\r\n\r\n")?;
    let mut lines = text.lines().filter_map(|line| line.split_once(": "));
    let (_, time) = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-glenfall-deadline"))?;
    time.parse().ok().map(Duration::from_millis)
}

/// Records each request, works on the first `hanging` until their callers go, and answers the others.
async fn serve(mut stream: TcpStream, record: Record, hanging: usize) {
    let mut heard = Vec::new();
    while stream.read_buf(&mut heard).await.is_ok_and(|read| read > 0) {
        let Some(time) = handed_time(&heard) else { continue };
        let text = String::from_utf8_lossy(&heard).to_ascii_lowercase();
        let id = text.split_once("x-glenfall-try-id: ").and_then(|(_, rest)| rest.split_once("\r\n"));
        let id = id.map_or("", |(id, _)| id).to_owned();
        heard.clear();
        record.borrow_mut().push(Handed { at: Instant::now(), time });
        if record.borrow().len() <= hanging {
            continue;
        }
        sleep(WORK).await;
        let head = format!("HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\n");
        if stream.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn start_server(hanging: usize) -> (Vec<Server>, Record) {
    let record = Record::default();
    let recorded = Rc::clone(&record);
    let address = stand_in(move |stream| serve(stream, Rc::clone(&recorded), hanging)).await;
    (vec![server("a", address.port())], record)
}

/// The status of the answer to a request, and how long its client waited.
fn ask(edge: &Rc<Edge>, whole: FullRequest) -> JoinHandle<(StatusCode, Duration)> {
    let edge = Rc::clone(edge);
    spawn_local(async move {
        let began = Instant::now();
        let answer = edge::EdgeHandler(edge).handle(whole).await;
        (answer.status(), began.elapsed())
    })
}

#[test]
fn a_server_is_handed_the_time_of_the_client_and_half_a_second_more_at_most() {
    run_local(async {
        let (_running, stopping) = watch::channel(false);
        for (method, path) in [("GET", "/1/x"), ("GET", "/2/x"), ("POST", "/w/x")] {
            let (servers, record) = start_server(usize::MAX).await;
            let shields = start_shields(&[ShieldActs::Well], &servers, &stopping).await;
            let edge = start_edge(&servers, &shields, pool()).await;
            let asked = Instant::now();
            let (status, took) =
                ask(&edge, request_within(SHORT, method, path, "t")).await.expect("no panic");
            assert_eq!(status, StatusCode::GATEWAY_TIMEOUT, "{method} {path}");
            assert!(took < SHORT + ALLOWED_BEYOND, "{method} {path}: {took:?}");
            let record = record.borrow();
            assert!(!record.is_empty(), "{method} {path}: nothing was sent");
            let late = record.iter().find(|handed| handed.ends() > asked + SHORT + ALLOWED_BEYOND);
            assert!(late.is_none(), "{method} {path}: {late:?} after {asked:?}");
        }
    });
}

#[test]
fn a_read_that_joins_a_fetch_of_one_with_less_time_is_served_when_that_ends() {
    run_local(async {
        let (_running, stopping) = watch::channel(false);
        let (servers, record) = start_server(1).await;
        let shields = start_shields(&[ShieldActs::Well], &servers, &stopping).await;
        let edge = start_edge(&servers, &shields, pool()).await;
        let first = ask(&edge, request_within(SHORT, "GET", "/1/x", "t"));
        while record.borrow().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        let (status, took) = ask(&edge, request("GET", "/1/x", "u")).await.expect("no panic");
        assert_eq!(status, StatusCode::OK, "after {took:?}");
        assert_eq!(record.borrow().len(), 2, "one send for each of the two tries");
        assert_eq!(first.await.expect("no panic").0, StatusCode::GATEWAY_TIMEOUT);
    });
}

#[test]
fn after_the_signal_to_stop_a_request_ends_within_the_grace() {
    run_local(async {
        let (servers, record) = start_server(usize::MAX).await;
        // Less what ending takes, 1.3 s.
        let (edge, feed) = start_edge_with("graceS = 2\n", &servers, &[], pool()).await;
        let before = ask(&edge, request("POST", "/w/x", "t"));
        while record.borrow().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        feed.leave();
        let grace_ends = feed.grace_ends().expect("it leaves");
        let after = ask(&edge, request("POST", "/w/x", "u"));
        assert_eq!(after.await.expect("no panic").0, StatusCode::GATEWAY_TIMEOUT);
        assert!(Instant::now() < grace_ends, "its client has an answer when the rest is given up");
        let handed = record.borrow().clone();
        assert!(handed[1].ends() < grace_ends, "its server answers in time");
        assert!(handed[0].ends() > grace_ends, "one under way keeps the time that it had");
        let (_, took) = before.await.expect("no panic");
        assert!(took > DEADLINE / 2, "it is not cut short: {took:?}");
    });
}
