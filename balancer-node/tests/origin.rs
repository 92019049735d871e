//! How a node treats a server, above all the origin, that fails some requests and serves others.

mod common;

use std::sync::mpsc::channel;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use common::*;
use serde_json::{json, Value};

/// A node with an empty cache and an origin that replies as the test specifies, but delays reads of
/// `/read/held-` until the gate opens.
struct Fleet {
    node: Node,
    origin: Server,
    gate: Arc<(Mutex<bool>, Condvar)>,
    _cache: Server,
}

/// Latency target of reads, in seconds. For a quarter of this time the node queues reads that no server can
/// take.
const LATENCY_TARGET: f64 = 1.0;

impl Fleet {
    /// The node's concurrency limit at the origin starts at 16 divided by the number of nodes. If `hedging` is
    /// allowed, a read without a response may be sent a second time in parallel.
    fn start(nodes: u64, hedging: bool, reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Fleet {
        let cache = Server::start(|_| miss());
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let origin_gate = Arc::clone(&gate);
        let origin = Server::start(move |request| {
            if !request.path().starts_with("/read/held-") {
                return reply(request);
            }
            let open = origin_gate.0.lock().unwrap();
            drop(origin_gate.1.wait_timeout_while(open, TEST_TIMEOUT, |open| !*open).unwrap());
            origin_response()
        });
        let servers = [entry("s-1", cache.addr, "active"), entry("origin", origin.addr, "active")];
        let mut config = config(refusing_addr(), &servers);
        config["settings"]["balancers"] = json!(nodes);
        config["settings"]["limits"]["parallel-tries"] = json!(hedging);
        let classes = config["settings"]["grades"].as_array_mut().expect("classes");
        classes.iter_mut().for_each(|class| class["target-s"] = Value::from(LATENCY_TARGET));
        Fleet { node: Node::start(&config), origin, gate, _cache: cache }
    }

    /// Sends this many reads concurrently, and returns how many are served. The origin responds only once each
    /// of them has arrived there or was refused.
    fn served_concurrently(&self, reads: usize) -> usize {
        while self.origin.requests.try_recv().is_ok() {}
        let (status_sender, status_receiver) = channel();
        for n in 0..reads {
            let (mut client, status_sender) = (self.node.client(), status_sender.clone());
            thread::spawn(move || {
                let _ = status_sender
                    .send(client.get(&format!("/read/held-{n}"), "X-Deadline-Ms: 8000\r\n").status());
            });
        }
        let (mut statuses, mut at_origin) = (Vec::new(), 0);
        wait_until("each read is at the origin or refused", || {
            statuses.extend(status_receiver.try_iter());
            at_origin += self.origin.requests.try_iter().count();
            (statuses.len() + at_origin >= reads).then_some(())
        });
        *self.gate.0.lock().unwrap() = true;
        self.gate.1.notify_all();
        while statuses.len() < reads {
            statuses.push(status_receiver.recv_timeout(TEST_TIMEOUT).expect("a response"));
        }
        statuses.iter().filter(|&&status| status == 200).count()
    }
}

/// An origin's response, marked as a cache miss.
fn origin_response() -> Reply {
    Reply::KeepOpen(response("200 OK", "X-Cache: miss\r\n", "value"))
}

/// Guards against a limit that stays at one request at a time after rejections: no response of the origin
/// counted towards raising it.
#[test]
fn the_limit_of_an_origin_that_rejected_reads_rises_again_once_it_serves() {
    let full = Arc::new(Mutex::new(true));
    let is_full = Arc::clone(&full);
    let fleet = Fleet::start(8, true, move |_| {
        let rejection = response("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
        if *is_full.lock().unwrap() {
            Reply::KeepOpen(rejection)
        } else {
            origin_response()
        }
    });
    for n in 0..3 {
        assert_eq!(fleet.node.get(&format!("/read/away-{n}")).status(), 503);
    }
    *full.lock().unwrap() = false;
    for n in 0..12 {
        assert_eq!(fleet.node.get(&format!("/read/{n}")).status(), 200);
    }
    assert_eq!(fleet.served_concurrently(2), 2);
}

/// Guards against a limit that falls with each dead connection, although the origin answers all later requests.
#[test]
fn dead_connections_to_an_origin_that_answers_others_do_not_change_its_limit() {
    let fleet = Fleet::start(4, false, |request| {
        let is_unanswered = request.path().starts_with("/read/silent-");
        if is_unanswered {
            Reply::NoResponse
        } else {
            origin_response()
        }
    });
    for n in 0..2 {
        let mut client = fleet.node.client();
        client.send("GET", &format!("/read/silent-{n}"), "X-Deadline-Ms: 2000\r\n", "");
        while !fleet.origin.next().path().starts_with("/read/silent-") {}
        // Only a request that is sent at least half a latency target later, and answered first, counts as
        // having overtaken the unanswered one.
        thread::sleep(Duration::from_secs_f64(0.6 * LATENCY_TARGET));
        assert_eq!(fleet.node.get(&format!("/read/{n}")).status(), 200);
        assert_eq!(client.read().expect("a response").status(), 503);
    }
    assert_eq!(fleet.served_concurrently(4), 4);
}

/// Guards against a limit that falls with each slow response. An origin's response times vary: at any load,
/// some exceed half a latency target.
#[test]
fn single_slow_answers_of_an_origin_that_is_quick_on_average_do_not_change_its_limit() {
    let fleet = Fleet::start(4, false, |request| {
        let body = response("200 OK", "X-Cache: miss\r\n", "value");
        let slow = request.path().starts_with("/read/slow-");
        Reply::Delayed(
            String::new(),
            Duration::from_secs_f64(if slow { 0.6 * LATENCY_TARGET } else { 0.0 }),
            body,
        )
    });
    for path in ["a", "b", "c", "slow-1", "d", "e", "f", "slow-2"] {
        assert_eq!(fleet.node.get(&format!("/read/{path}")).status(), 200);
    }
    assert_eq!(fleet.served_concurrently(4), 4);
}

/// Guards against a read that waits on a dead connection until its timeout.
#[test]
fn a_read_that_later_ones_have_overtaken_is_hedged() {
    let first = Mutex::new(true);
    let fleet = Fleet::start(1, true, move |request| {
        let is_unanswered = request.path() == "/read/silent" && std::mem::take(&mut *first.lock().unwrap());
        if is_unanswered {
            Reply::NoResponse
        } else {
            origin_response()
        }
    });
    let mut client = fleet.node.client();
    client.send("GET", "/read/silent", "X-Deadline-Ms: 8000\r\n", "");
    let first_attempt = fleet.origin.next();
    thread::sleep(Duration::from_secs_f64(0.6 * LATENCY_TARGET));
    assert_eq!(fleet.node.get("/read/other").status(), 200);
    assert_eq!(client.read().expect("a response").status(), 200);
    while fleet.origin.next().header("x-request-id") != first_attempt.header("x-request-id") {}
}
