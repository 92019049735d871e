//! Tests the node's program over loopback sockets: forwarding, connections, outcomes, discovery, invalid input,
//! start and stop.

mod common;

use std::net::{TcpListener, UdpSocket};
use std::time::{Duration, Instant};

use common::*;
use serde_json::{json, Value};

fn start(known: &[Value]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    (Node::start(&config(discovery.server.addr, known)), discovery)
}

// ---- Forwarding -----------------------------------------------------------------------------------------

#[test]
fn a_hit_is_served_unchanged_and_the_request_is_forwarded_unchanged() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    let response = client.get("/read/7f3a?lang=pl", "X-Tenant: acme\r\nX-Deadline-Ms: 6000\r\n");
    assert_eq!((response.status(), response.body.as_str()), (200, "value"));
    let request = cache.next();
    assert_eq!(request.start_line, "GET /read/7f3a?lang=pl HTTP/1.1");
    assert_eq!(request.header("x-request-id"), Some(client.id.as_str()));
    let wait: u64 = request.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(wait > 0 && wait < 6000, "{wait}");
}

#[test]
fn a_read_goes_to_the_origin_after_a_miss_and_a_write_directly() {
    let (cache, origin) = (Server::start(|_| miss()), Server::start(|_| hit("from origin")));
    let (node, _discovery) =
        start(&[entry("s-1", cache.addr, "active"), entry("origin", origin.addr, "active")]);
    assert_eq!(node.get("/read/a").body, "from origin");
    assert_eq!(cache.next().path(), "/read/a");
    assert_eq!(origin.next().path(), "/read/a");
    let mut client = node.client();
    client.send("PUT", "/store/b", "Idempotency-Key: k1\r\n", "new value");
    assert_eq!(client.read().unwrap().status(), 200);
    let write = origin.next();
    assert_eq!((write.start_line.as_str(), write.body.as_str()), ("PUT /store/b HTTP/1.1", "new value"));
    assert_eq!(write.header("idempotency-key"), Some("k1"));
    assert!(cache.requests.try_recv().is_err(), "a write was sent to a cache");
}

#[test]
fn keys_are_assigned_by_server_id_not_by_server_address() {
    let assigned_servers = || {
        let servers: Vec<_> =
            ["s-1", "s-2", "s-3", "s-4"].map(|id| (id, Server::start(move |_| hit(id)))).into();
        let known: Vec<_> = servers.iter().map(|(id, server)| entry(id, server.addr, "active")).collect();
        let (node, _discovery) = start(&known);
        (0..12).map(|key| node.get(&format!("/read/{key:x}")).body).collect::<Vec<_>>()
    };
    let assigned = assigned_servers();
    assert_eq!(assigned, assigned_servers());
    assert!(assigned.iter().any(|server| *server != assigned[0]), "all keys at one server");
}

// ---- Connections ----------------------------------------------------------------------------------------

#[test]
fn connections_are_reused_and_a_connection_closed_by_its_server_is_no_failure() {
    // One attempt per request, so that a retry cannot hide a failure.
    let cache = Server::start(|request| match request.path() {
        // Closes without `Connection: close`, like a server whose idle timeout has fired.
        "/read/last" => Reply::Close(response("200 OK", "", "closed")),
        _ => hit("kept"),
    });
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    config["settings"]["limits"]["max-attempts"] = json!(1);
    let node = Node::start(&config);
    assert_eq!(node.get("/read/a").status(), 200);
    assert_eq!(node.get("/read/last").status(), 200);
    let carried = cache.ended.recv_timeout(TEST_TIMEOUT).expect("the server closes it");
    assert_eq!(carried, ["/read/a", "/read/last"], "the first connection carried both requests");
    assert_eq!(node.get("/read/b").status(), 200);
}

#[test]
fn idle_connections_are_closed_before_the_server_would() {
    let cache = Server::start(|_| hit("value"));
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    config["settings"]["limits"]["idle-close-s"] = json!(3.0);
    let node = Node::start(&config);
    assert_eq!(node.get("/read/a").status(), 200);
    let idle = Instant::now();
    cache.ended.recv_timeout(TEST_TIMEOUT).expect("the node closes it");
    assert!(idle.elapsed() < Duration::from_secs(3), "{:?}", idle.elapsed());
}

#[test]
fn a_client_that_disconnects_ends_its_attempt() {
    let cache = Server::start(|_| Reply::NoResponse);
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let mut client = node.client();
    client.send("GET", "/read/a", "X-Deadline-Ms: 100000\r\n", "");
    cache.next();
    drop(client);
    cache.ended.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
}

// ---- Outcomes -------------------------------------------------------------------------------------------

/// Sends a request to a node with three servers. The server that gets the first attempt replies as specified,
/// and later attempts succeed. Returns the client's response and the number of attempts.
fn send_with_first_reply(
    first_reply: impl Fn() -> Reply + Send + Sync + 'static,
    method: &str,
    path: &str,
    body: &str,
) -> (Message, usize) {
    let requests = std::sync::Mutex::new(0);
    let shared = std::sync::Arc::new(move || {
        let mut requests = requests.lock().unwrap();
        *requests += 1;
        if *requests == 1 {
            first_reply()
        } else {
            hit("second")
        }
    });
    let servers = ["s-1", "s-2", "origin"].map(|id| {
        let reply = std::sync::Arc::clone(&shared);
        (id, Server::start(move |_| reply()))
    });
    let known: Vec<_> = servers.iter().map(|(id, server)| entry(id, server.addr, "active")).collect();
    let (node, _discovery) = start(&known);
    let mut client = node.client();
    client.send(method, path, "X-Deadline-Ms: 6000\r\n", body);
    let response = client.read().expect("a response");
    (response, servers.iter().map(|(_, server)| server.requests.try_iter().count()).sum())
}

#[test]
fn an_unsafe_request_is_retried_only_if_it_never_ran() {
    let rejected = || Reply::KeepOpen(response("503 Service Unavailable", "X-Not-Run: 1\r\n", ""));
    let (response, attempts) = send_with_first_reply(rejected, "GET", "/order/a", "");
    assert_eq!((response.status(), attempts), (200, 2));
    // Written completely, then reset: it may have run, so the client gets a failure and not a refusal.
    let (response, attempts) = send_with_first_reply(|| Reply::Close(String::new()), "GET", "/order/a", "");
    assert_eq!((response.status(), attempts), (502, 1));
    let failed = || Reply::KeepOpen(common::response("500 Internal Server Error", "", ""));
    let (response, attempts) = send_with_first_reply(failed, "PUT", "/order/a", "body");
    assert_eq!((response.status(), attempts), (502, 1));
}

#[test]
fn a_truncated_response_is_not_forwarded() {
    let truncated = || Reply::Close("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".into());
    let (response, attempts) = send_with_first_reply(truncated, "GET", "/read/a", "");
    assert_eq!((response.status(), response.body.as_str(), attempts), (200, "second", 2));
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let origin = Server::start(|_| hit("value"));
    let (node, _discovery) =
        start(&[entry("s-1", refusing_addr(), "active"), entry("origin", origin.addr, "active")]);
    // An unsafe request is retried only if the first attempt is known not to have run. No other server has the
    // key, so the client must get a refusal, after which a retry is safe.
    assert_eq!(node.get("/order/a").status(), 503);
}

#[test]
fn a_request_to_an_unresponsive_server_gets_a_response() {
    let cache = Server::start(|_| Reply::NoResponse);
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let started = Instant::now();
    let response = node.client().get("/order/a", "X-Deadline-Ms: 700\r\n");
    assert_eq!(response.status(), 502);
    assert!(started.elapsed() < TEST_TIMEOUT);
    cache.ended.recv_timeout(TEST_TIMEOUT).expect("a time-out closes its connection");
}

#[test]
fn a_request_that_no_server_can_take_is_refused_at_once_with_retry_after() {
    let (node, _discovery) = start(&[entry("s-1", refusing_addr(), "leaving")]);
    let started = Instant::now();
    let response = node.client().get("/read/a", "X-Deadline-Ms: 100000\r\n");
    assert_eq!(response.status(), 503);
    assert!(started.elapsed() < TEST_TIMEOUT);
    let retry_after: f64 = response.header("retry-after").expect("a Retry-After header").parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 0.75, "{retry_after}");
}

// ---- Discovery ------------------------------------------------------------------------------------------

#[test]
fn the_node_is_ready_once_it_has_servers_and_follows_changes() {
    let (old, new) = (Server::start(|_| hit("old")), Server::start(|_| hit("new")));
    let discovery = Discovery::start();
    let mut config = config(discovery.server.addr, &[]);
    config["known"] = Value::Null;
    let node = Node::start(&config);
    assert_eq!(node.get("/health/ready").status(), 503);
    assert_eq!(discovery.server.next().path(), "/registry/instances");
    discovery.publish(2, &list(2, true, &[entry("s-1", old.addr, "active")]).to_string());
    wait_until("ready", || (node.get("/health/ready").status() == 200).then_some(()));
    assert_eq!(node.get("/read/a").body, "old");
    // The same server at another address: the idle connection to the old one must not be reused.
    discovery.publish(3, &list(3, false, &[entry("s-1", new.addr, "active")]).to_string());
    discovery.wait_for_call(3);
    assert_eq!(node.get("/read/a").body, "new");
    discovery.publish(4, &list(4, false, &[entry("s-1", new.addr, "left")]).to_string());
    discovery.wait_for_call(4);
    assert_eq!(node.get("/health/ready").status(), 503);
    assert_eq!(node.get("/read/a").status(), 503);
}

#[test]
fn an_unreadable_list_is_a_failed_call_and_the_old_list_remains_valid() {
    let cache = Server::start(|_| hit("value"));
    let (node, discovery) = start(&[entry("s-1", cache.addr, "active")]);
    for invalid in
        ["{\"version\":2,\"full\":tr", "[]", "{\"version\":2,\"full\":true,\"servers\":[{\"id\":7}]}"]
    {
        discovery.publish(2, invalid);
        while discovery.server.requests.try_recv().is_ok() {}
        assert!(
            discovery.server.next().path().contains("from=1&"),
            "called again from the last valid version"
        );
        assert_eq!(node.get("/read/a").status(), 200);
    }
    discovery.publish(2, &list(2, true, &[]).to_string());
    discovery.wait_for_call(2);
    assert_eq!(node.get("/health/ready").status(), 503);
}

// ---- Invalid input --------------------------------------------------------------------------------------

#[test]
fn invalid_requests_are_answered_and_affect_no_others() {
    let cache = Server::start(|_| hit("value"));
    let (node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    let status = |text: &str| {
        let mut client = node.client();
        client.write(text);
        client.read().map(|response| response.status())
    };
    let get_request = |path: &str, headers: &str| format!("GET {path} HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    let id = "X-Request-Id: 1\r\n";
    assert_eq!(status("\x01\x02 nonsense\r\n\r\n"), Some(400));
    assert_eq!(status(&get_request("/", id)), Some(404));
    assert_eq!(status(&get_request("/unheard/of", id)), Some(404));
    assert_eq!(status(&get_request("/read/", id)), Some(404));
    assert_eq!(status(&get_request("/read/a", "")), Some(400));
    assert_eq!(status(&get_request("/read/a", &format!("{id}X-Deadline-Ms: soon\r\n"))), Some(400));
    assert_eq!(status(&get_request("/read/a", &format!("{id}X-Deadline-Ms: -5\r\n"))), Some(400));
    for headers in [
        "X-Class: odd\r\n",
        "X-Class: order\r\n",
        "X-Class: read\r\nX-Class: read\r\n",
        "X-Deadline-Ms: 18446744073709551615\r\n",
        "X-Request-Id: 2\r\n",
        "Content-Length: 4\r\n\r\nbody",
    ] {
        assert_eq!(status(&get_request("/read/a", &format!("{id}{headers}"))), Some(400), "{headers}");
    }
    for invalid_id in ["", "two words", "a/b", "\u{e9}", &"1".repeat(65)] {
        assert_eq!(
            status(&get_request("/read/a", &format!("X-Request-Id: {invalid_id}\r\n"))),
            Some(400),
            "{invalid_id}"
        );
    }
    assert_eq!(status(&get_request("http://elsewhere/read/a", id)), Some(400));
    assert_eq!(status(&format!("DELETE /read/a HTTP/1.1\r\nHost: a\r\n{id}\r\n")), Some(405));
    let too_large = format!("PUT /store/a HTTP/1.1\r\nHost: a\r\n{id}Content-Length: 70000\r\n\r\n");
    assert_eq!(status(&too_large), Some(413));
    assert!(cache.requests.try_recv().is_err(), "an invalid request was forwarded to a server");
    // Unusual, but valid.
    for headers in ["X-Class: read\r\nX-Tenant: nobody\r\n", "X-Deadline-Ms: 3600000\r\n", ""] {
        assert_eq!(status(&get_request("/read/a", &format!("{id}{headers}"))), Some(200), "{headers}");
    }
    // No time is left: the request is refused or fails, but the client gets a response.
    assert!(status(&get_request("/read/a", &format!("{id}X-Deadline-Ms: 0\r\n"))).is_some_and(|s| s >= 500));
    let mut truncated = node.client();
    truncated.write("GET /read/a HT");
    assert_eq!(node.get("/read/a").status(), 200);
}

#[test]
fn a_half_sent_body_is_rejected_at_the_deadline() {
    let (node, _discovery) = start(&[entry("s-1", refusing_addr(), "active")]);
    let mut client = node.client();
    client.write("PUT /store/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nhalf");
    assert_eq!(client.read().map(|response| response.status()), Some(408));
}

#[test]
fn garbage_datagrams_are_dropped() {
    let cache = Server::start(|_| hit("value"));
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    // A free port, found by binding it for a moment.
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut config = config(refusing_addr(), &[entry("s-1", cache.addr, "active")]);
    config["peer_listen"] = json!(own.to_string());
    config["peers"] = json!([own.to_string(), peer.local_addr().unwrap().to_string()]);
    let node = Node::start(&config);
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for garbage in [&b""[..], b"\xff\xfe", &[7; 256], &[7; 300]] {
        peer.send_to(garbage, own).unwrap();
        unknown_sender.send_to(garbage, own).unwrap();
    }
    assert_eq!(node.get("/read/a").status(), 200);
}

#[test]
fn an_invalid_configuration_ends_the_node_with_one_line_on_stderr() {
    let mut without_classes = config(refusing_addr(), &[]);
    without_classes["settings"]["grades"] = json!([]);
    let mut bad_address = config(refusing_addr(), &[]);
    bad_address["listen"] = json!("somewhere");
    for text in ["", "{", "{}", &without_classes.to_string(), &bad_address.to_string()] {
        let output = command(&ConfigFile::new(text)).output().unwrap();
        assert!(!output.status.success(), "{text}");
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}

// ---- Start and stop -------------------------------------------------------------------------------------

#[test]
fn on_sigterm_the_node_answers_accepted_and_arriving_requests_then_exits() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let cache = Server::start(move |request| {
        if request.path() == "/read/slow" {
            let _ = gate.lock().unwrap().recv();
        }
        hit("value")
    });
    let (mut node, _discovery) = start(&[entry("s-1", cache.addr, "active")]);
    // `fresh` is accepted before the others and has sent nothing yet when the signal arrives.
    let (mut fresh, mut idle, mut slow) = (node.client(), node.client(), node.client());
    assert_eq!(idle.get("/read/a", "").header("connection"), None);
    cache.next();
    slow.send("GET", "/read/slow", "X-Deadline-Ms: 8000\r\n", "");
    cache.next();
    node.terminate();
    assert!(idle.read().is_none(), "an idle connection is closed");
    for late in [&mut fresh, &mut node.client()] {
        let response = late.get("/read/b", "");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    }
    release.send(()).unwrap();
    let response = slow.read().expect("an accepted request is answered");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert_eq!(node.exit().code(), Some(0));
    assert!(TcpListener::bind(node.addr).is_ok(), "the node no longer listens");
}
