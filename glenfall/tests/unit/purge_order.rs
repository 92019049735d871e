//! Fetches that are in flight while their object changes and is purged: what later reads get.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use glenfall::edge::{self, Edge};
use glenfall::http_server::Handler;
use glenfall::shield::Shield;
use glenfall::watch_client::{WatchClient, WatchHandler};
use glenfall_control_plane::messages::{AgedPurge, Purge};
use http_body_util::BodyExt;
use hyper::header::{HeaderValue, HOST};
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

use crate::proxies::{pool, request, start_edge_with, DownShield, ROUTE_DEADLINE};
use crate::support::{run_local, server, start_fake_server};

pub const PATH: &str = "/1/object";
const LABEL: &str = "t1";
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// An age that shows that a purge was accepted before any fetch of a test began.
const LONG_AGO_MS: u64 = 60_000;

/// A server with one object. It reads the version of the object when it begins to work on a request, and holds its first
/// response until it is released.
#[derive(Clone)]
pub struct Origin {
    pub version: Rc<Cell<u32>>,
    pub requests: Rc<Cell<usize>>,
    released: watch::Sender<bool>,
    /// Header lines of the responses.
    headers: Rc<RefCell<String>>,
}

impl Origin {
    async fn respond(self, mut stream: TcpStream) {
        let mut received = Vec::new();
        while stream.read_buf(&mut received).await.is_ok_and(|read| read > 0) {
            if !received.ends_with(b"\r\n\r\n") {
                continue;
            }
            let text = String::from_utf8(std::mem::take(&mut received)).expect("a request in text");
            let id = text.lines().find_map(|line| line.strip_prefix("x-glenfall-try-id: ")).unwrap_or("");
            let version = self.version.get();
            let number = self.requests.replace(self.requests.get() + 1);
            if number == 0 {
                let _ = self.released.subscribe().wait_for(|released| *released).await;
            }
            let headers = self.headers.borrow().clone();
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\n{headers}X-Glenfall-Tags: other {LABEL}\r\n\
                 ETag: \"{version}\"\r\nContent-Length: 1\r\n\r\n{version}"
            );
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Waits for a condition; panics if it doesn't hold within the deadline of a read.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let polls = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(ROUTE_DEADLINE, polls).await.expect("the condition holds");
}

/// Two edges that read through one shield, and the origin.
pub struct System {
    pub origin: Origin,
    shield: Rc<Shield>,
    edges: Vec<(Rc<Edge>, Rc<WatchClient>)>,
    _running: watch::Sender<bool>,
}

impl System {
    pub async fn start() -> System {
        let origin = Origin {
            version: Rc::new(Cell::new(1)),
            requests: Rc::default(),
            released: watch::Sender::new(false),
            headers: Rc::new(RefCell::new("X-Glenfall-Seal: s\r\n".into())),
        };
        let handler = origin.clone();
        let port = start_fake_server(move |stream| handler.clone().respond(stream)).await.port();
        let servers = [server("origin", port)];
        let (running, stopping) = watch::channel(false);
        let shield = DownShield::new();
        let address = shield.address;
        let (shield, _) = shield.start_with_watch_client(&servers, &stopping);
        let edges = vec![
            start_edge_with("", &servers, &[address], pool()).await,
            start_edge_with("", &servers, &[address], pool()).await,
        ];
        System { origin, shield, edges, _running: running }
    }

    /// Starts a read at an edge; its result is the version of the object that it got.
    fn read(&self, edge: usize) -> JoinHandle<String> {
        self.read_as(edge, "h")
    }

    /// As [`read`](Self::read), with this `Host`.
    pub fn read_as(&self, edge: usize, host: &'static str) -> JoinHandle<String> {
        let handler = edge::EdgeHandler(Rc::clone(&self.edges[edge].0));
        let mut request = request("GET", PATH, "t");
        request.head.headers.insert(HOST, HeaderValue::from_static(host));
        spawn_local(async move {
            let response = handler.handle(request).await;
            assert_eq!(response.status(), StatusCode::OK);
            let body = response.into_body().collect().await.expect("a body").to_bytes();
            String::from_utf8(body.to_vec()).expect("a version")
        })
    }

    async fn wait_for_requests(&self, requests: usize) {
        wait_until(|| self.origin.requests.get() >= requests).await;
    }

    async fn wait_for_joined_reads(&self, reads: u64) {
        wait_until(|| self.counter("joined") >= reads).await;
    }

    fn counter(&self, name: &str) -> u64 {
        let counters = self.shield.counters();
        counters.iter().find(|(known, _)| known == name).map_or(0, |(_, count)| *count)
    }

    /// Starts a read whose fetch is in flight while the object is replaced by version 2 and purged.
    async fn begin_read_before_purge(&self, purge: Purge) -> JoinHandle<String> {
        let read = self.read(0);
        self.wait_for_requests(1).await;
        self.origin.version.set(2);
        self.purge(purge, 0);
        read
    }

    async fn assert_both_edges_read_the_new_version(&self) {
        for edge in [0, 1] {
            assert_eq!(self.read(edge).await.expect("a read"), "2", "edge {edge}");
        }
    }

    /// Publishes a purge to the shield and to all edges.
    pub fn purge(&self, purge: Purge, age_ms: u64) {
        let purges = [AgedPurge { purge, age_ms }];
        self.shield.purge(&purges);
        for (edge, _) in &self.edges {
            edge.purge(&purges);
        }
    }

    pub fn release(&self) {
        self.origin.released.send_replace(true);
    }
}

fn label_purge(label: &str) -> Purge {
    Purge::Label(label.into())
}

/// Guards against reads that get a replaced version because they share a fetch that began before a purge by label.
#[test]
fn reads_after_a_purge_by_label_do_not_get_the_response_of_a_fetch_from_before_it() {
    run_local(async {
        let system = System::start().await;
        let before = system.begin_read_before_purge(label_purge(LABEL)).await;
        let after = [system.read(1), system.read(1)];
        system.wait_for_joined_reads(2).await;
        system.release();
        for read in after {
            assert_eq!(read.await.expect("a read"), "2", "it was sent after the purge");
        }
        before.await.expect("a read");
        system.assert_both_edges_read_the_new_version().await;
        assert_eq!(system.origin.requests.get(), 2, "the reads after the purge share one fetch");
        assert_eq!(system.counter("joined_outdated"), 2);
    });
}

/// Guards against the same for responses that must not be stored, which reads share as well.
#[test]
fn a_shared_response_that_is_not_storable_is_not_used_after_a_purge_either() {
    run_local(async {
        let system = System::start().await;
        system.origin.headers.replace("X-Glenfall-Seal: s\r\nCache-Control: no-store\r\n".into());
        let before = system.begin_read_before_purge(label_purge(LABEL)).await;
        let after = system.read(1);
        system.wait_for_joined_reads(1).await;
        system.release();
        assert_eq!(after.await.expect("a read"), "2");
        before.await.expect("a read");
    });
}

/// Guards against a second fetch for reads that no purge concerns.
#[test]
fn reads_share_a_fetch_if_no_purge_covers_its_response_or_the_purge_was_accepted_before_it() {
    run_local(async {
        let system = System::start().await;
        let first = system.read(0);
        system.wait_for_requests(1).await;
        system.purge(label_purge("unrelated"), 0);
        system.purge(label_purge(LABEL), LONG_AGO_MS);
        system.purge(Purge::Everything, LONG_AGO_MS);
        let second = system.read(1);
        system.wait_for_joined_reads(1).await;
        system.release();
        assert_eq!(first.await.expect("a read"), "1");
        assert_eq!(second.await.expect("a read"), "1");
        assert_eq!(system.origin.requests.get(), 1);
        assert_eq!(system.counter("joined_outdated"), 0);
    });
}

/// Guards against the storing of a response from before a purge of its object, at the shield and at the edges.
#[test]
fn a_fetch_from_before_a_purge_of_its_object_or_of_everything_is_neither_shared_nor_stored() {
    let object = Purge::Object { hostname: "h".into(), path: PATH.into() };
    for purge in [object, Purge::Everything] {
        run_local(async {
            let system = System::start().await;
            let before = system.begin_read_before_purge(purge).await;
            assert_eq!(system.read(1).await.expect("a read"), "2", "it does not wait for the old fetch");
            system.release();
            before.await.expect("a read");
            system.assert_both_edges_read_the_new_version().await;
        });
    }
}
