//! Misbehaving clients: they send nothing, half a request or an invalid one, or keep many connections open.

mod common;

use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// Well above the time limit for a first request, and low enough to detect a much longer one for unused
/// connections.
const MAX_TIME_TO_DISCONNECT: Duration = Duration::from_secs(15);

fn request_headers(id: &str) -> String {
    format!("Host: a\r\nX-Request-Id: {id}\r\n")
}

#[test]
fn clients_that_send_nothing_or_half_a_request_are_disconnected_soon() {
    let node = Node::start(&config(refusing_addr(), &[entry("s-1", refusing_addr(), "active")]));
    let start = Instant::now();
    let texts = [
        String::new(),
        "GET /read/a HT".into(),
        format!("GET /read/a HTTP/1.1\r\n{}", request_headers("1")),
        format!(
            "PUT /store/a HTTP/1.1\r\n{}X-Deadline-Ms: 100000\r\nContent-Length: 9\r\n\r\nhalf",
            request_headers("2")
        ),
    ];
    let clients: Vec<_> = texts
        .iter()
        .map(|text| {
            let mut client = node.client();
            client.write(text);
            client
        })
        .collect();
    for (text, mut client) in texts.iter().zip(clients) {
        assert!(client.read().is_none_or(|response| response.status() >= 400), "{text}");
        assert!(start.elapsed() < MAX_TIME_TO_DISCONNECT, "{text}: {:?}", start.elapsed());
    }
}

#[test]
fn at_the_client_limit_connections_that_never_sent_a_request_are_closed_first() {
    let cache = Server::start(|_| hit("value"));
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    config["limits"]["sockets"] = json!(64);
    let node = Node::start(&config);
    let mut regular_client = node.client();
    assert_eq!(regular_client.get("/read/a", "").status(), 200);
    let start = Instant::now();
    let _unused_connections: Vec<_> = (0..100)
        .map(|n| {
            let mut client = node.client();
            client.write(if n % 2 == 0 { "" } else { "GET /read/a HT" });
            client
        })
        .collect();
    assert_eq!(node.get("/read/b").status(), 200);
    assert!(start.elapsed() < MAX_TIME_TO_DISCONNECT, "{:?}", start.elapsed());
}

#[test]
fn a_length_with_a_transfer_encoding_is_rejected_and_not_forwarded() {
    let cache = Server::start(|_| hit("value"));
    let node = Node::start(&config(refusing_addr(), &[entry("origin", cache.addr, "active")]));
    let hidden = format!("GET /read/hidden HTTP/1.1\r\n{}\r\n", request_headers("2"));
    let (length, chunked) =
        (format!("Content-Length: {}\r\n", hidden.len() + 5), "Transfer-Encoding: chunked\r\n");
    let duplicate_length = format!("Content-Length: 0\r\n{length}");
    for (first, second) in [(length.as_str(), chunked), (chunked, length.as_str()), (&duplicate_length, "")] {
        let mut client = node.client();
        client.write(&format!(
            "PUT /store/a HTTP/1.1\r\n{}{first}{second}\r\n0\r\n\r\n{hidden}",
            request_headers("1")
        ));
        assert_eq!(client.read().expect("a response").status(), 400, "{first}{second}");
        assert!(client.read().is_none(), "closed: {first}{second}");
    }
    assert!(cache.requests.try_recv().is_err());
}

#[test]
fn the_id_of_an_open_request_is_rejected_and_may_be_used_after_it() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let cache = Server::start(move |_| {
        let _ = gate.lock().unwrap().recv();
        hit("value")
    });
    let node = Node::start(&config(refusing_addr(), &[entry("s-1", cache.addr, "active")]));
    let request = format!("GET /read/a HTTP/1.1\r\n{}X-Deadline-Ms: 8000\r\n\r\n", request_headers("same"));
    let (mut first, mut other) = (node.client(), node.client());
    first.write(&request);
    cache.next();
    other.write(&request);
    assert_eq!(other.read().expect("a response").status(), 409);
    release.send(()).unwrap();
    assert_eq!(first.read().expect("a response").body, "value");
    release.send(()).unwrap();
    first.write(&request);
    assert_eq!(first.read().expect("a response").body, "value");
    assert_eq!(cache.requests.try_iter().count(), 1);
}

/// Guards against idle connections that use up the client limit: clients that sent one request and kept their
/// connections open.
#[test]
fn of_many_connections_idle_after_a_request_the_longest_idle_are_closed() {
    let cache = Server::start(|_| hit("value"));
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    // 96 sockets less 24 reserved ones leave 72: 36 for clients, of which 12 may be idle.
    config["limits"]["sockets"] = json!(96);
    let node = Node::start(&config);
    let mut clients: Vec<_> = (0..14).map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.get("/read/a", "X-Deadline-Ms: 6000\r\n").status(), 200);
    }
    let start = Instant::now();
    for client in &mut clients[..2] {
        assert!(client.read().is_none(), "the longest idle connections are closed");
    }
    assert!(start.elapsed() < MAX_TIME_TO_DISCONNECT, "{:?}", start.elapsed());
    for client in &mut clients[2..] {
        assert_eq!(client.get("/read/a", "X-Deadline-Ms: 6000\r\n").status(), 200);
    }
}
