//! No request that was received completely may lose its response during planned operations under load: configuration
//! changes of every kind, SIGHUP and SIGTERM, also at the same time.

mod common;

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{receive_request, request, wait_until, System, EDGE_MACHINE};

/// Slow servers that record which requests they have responded to completely.
#[derive(Default)]
struct Servers {
    started_count: AtomicUsize,
    finished_count: AtomicUsize,
    responded: Mutex<HashSet<String>>,
}

impl Servers {
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(received) = receive_request(&mut reader) {
            let number = self.started_count.fetch_add(1, Ordering::Relaxed);
            // Some requests take longer than a process that shuts down goes on accepting connections.
            let slow = received.request_line.starts_with("POST") && number % 8 == 7;
            let work_ms = if slow { 4500 } else { 20 + 90 * (number % 8) as u64 };
            std::thread::sleep(Duration::from_millis(work_ms));
            let id = received.try_id();
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\nContent-Length: 6\r\n\r\nanswer"
            );
            let written = stream.write_all(text.as_bytes()).is_ok();
            if written {
                self.responded.lock().unwrap().insert(id.to_owned());
            }
            self.finished_count.fetch_add(1, Ordering::Relaxed);
            if !written {
                return;
            }
        }
    }

    fn start_one(servers: &Arc<Servers>) -> SocketAddrV4 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let servers = Arc::clone(servers);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let servers = Arc::clone(&servers);
                std::thread::spawn(move || servers.serve(stream));
            }
        });
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// With a complete response of this status.
    Responded(u16),
    /// The connection ended before a complete response.
    Disconnected,
}

/// A client's connection, reused until the edge closes it.
struct Connection {
    reader: BufReader<TcpStream>,
    will_close: bool,
}

impl Connection {
    fn open(addr: SocketAddrV4) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&addr.into(), Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        Some(Connection { reader: BufReader::new(stream), will_close: false })
    }

    fn send(&mut self, line: &str, id: &str) -> Outcome {
        let body = if line.starts_with("POST") { "b".repeat(3000) } else { String::new() };
        let text = format!(
            "{line} HTTP/1.1\r\nHost: h\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Deadline: 9000\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let sent = self.reader.get_mut().write_all(text.as_bytes()).is_ok();
        sent.then(|| self.read_response()).flatten().map_or(Outcome::Disconnected, Outcome::Responded)
    }

    fn read_response(&mut self) -> Option<u16> {
        let (mut status, mut length) = (None, 0);
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            status = status.or_else(|| line.strip_prefix("http/1.1 ")?.get(..3)?.parse().ok());
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.parse().ok()?;
            }
            self.will_close |= line == "connection: close";
        }
        self.reader.read_exact(&mut vec![0; length]).ok()?;
        status
    }
}

/// Clients that send requests without a pause until they are stopped or the edge refuses connections.
#[derive(Default)]
struct Clients {
    stop: AtomicBool,
    next_id: AtomicUsize,
    outcomes: Mutex<HashMap<String, Outcome>>,
}

impl Clients {
    fn run(&self, edge: SocketAddrV4, request_lines: &[&str]) {
        let mut connection = None;
        while !self.stop.load(Ordering::Relaxed) {
            let Some(mut open_connection) = connection.take().or_else(|| Connection::open(edge)) else {
                return;
            };
            let number = self.next_id.fetch_add(1, Ordering::Relaxed);
            let id = format!("{number:x}");
            let line = request_lines[number % request_lines.len()].replace('#', &id);
            let outcome = open_connection.send(&line, &id);
            if matches!(outcome, Outcome::Responded(_)) && !open_connection.will_close {
                connection = Some(open_connection);
            }
            self.outcomes.lock().unwrap().insert(id, outcome);
        }
    }

    fn success_count(&self) -> usize {
        self.outcomes.lock().unwrap().values().filter(|outcome| **outcome == Outcome::Responded(200)).count()
    }
}

/// A route of this type, as JSON.
fn route(name: &str, kind: &str, deadline_ms: u64, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"h","pathPrefix":"/{name}/","type":"{kind}","deadlineMs":{deadline_ms},
            "targetMs":5000,"backend":"{service}","tries":2}}"#
    )
}

/// A first configuration and the changes made to it, as subcommand and document. Each change differs in kind from the one
/// before, and the last restores the first configuration.
fn config_changes() -> Vec<(&'static str, String)> {
    let put = |rev: u64, limits: &str, routes: &[String]| {
        let routes = routes.join(",");
        let document = format!(
            r#"{{"rev":{rev},"paths":[{routes}],"backends":[{{"name":"s"}},{{"name":"t"}}],"reqLimits":{limits}}}"#
        );
        ("put", document)
    };
    let all_routes = || {
        ["reads", "writes", "updates", "removable"].map(|name| route(name, kind(name), 9000, "s")).to_vec()
    };
    let patch = |rev: u64, upsert: &str, remove: &str| {
        let document =
            format!(r#"{{"rev":{rev},"upsert":{{"paths":[{upsert}]}},"remove":{{"paths":[{remove}]}}}}"#);
        ("patch", document)
    };
    vec![
        put(1, "{}", &all_routes()),
        // Lowers the limits and the idle timeout considerably, and restores them.
        put(
            2,
            r#"{"maxHeaderBytes":9000,"maxBodyBytes":3000,"headerTimeoutMs":400,"idleTimeoutMs":150}"#,
            &all_routes(),
        ),
        put(3, r#"{"idleTimeoutMs":60000}"#, &all_routes()),
        // Removes a route while its requests are in flight and adds it again; moves routes to another service, with other
        // deadlines.
        patch(4, "", r#""removable""#),
        patch(5, &route("writes", "mutating", 8000, "t"), ""),
        patch(6, &route("removable", "mutating", 7000, "t"), ""),
        patch(7, &route("reads", "cacheable", 8000, "t"), r#""removable""#),
        put(8, "{}", &all_routes()),
    ]
}

fn kind(name: &str) -> &'static str {
    match name {
        "reads" => "cacheable",
        "updates" => "idempotent",
        _ => "mutating",
    }
}

fn start_system() -> (System, Arc<Servers>) {
    let system =
        System::start_with_settings(&["control", "shield"], &["agent", "edge"], "[timing]\ngraceS = 12\n");
    system.wait_for_chain(&[1, 2, 3], 3);
    let servers = Arc::new(Servers::default());
    for (id, service) in [("a", "s"), ("b", "s"), ("c", "t"), ("d", "t")] {
        system.send_heartbeat(id, service, Servers::start_one(&servers), "ready", 1);
    }
    let (subcommand, first) = &config_changes()[0];
    system.configure(subcommand, 0, first);
    system.wait_until_ready();
    wait_until("writes are served", || {
        let headers = "Host: h\r\nX-Glenfall-Try-Id: first\r\n";
        request(system.edge_addrs()[0], "POST /writes/x", headers, "")
            .is_some_and(|response| response.0 == 200)
    });
    (system, servers)
}

const REQUEST_LINES: [&str; 4] = ["POST /writes/#", "GET /reads/#", "PUT /updates/#", "POST /removable/#"];

/// Checks that each request to which a server has responded completely ended for its client with that response, not with
/// an error or a disconnection.
fn check_responses(clients: &Clients, servers: &Servers) {
    wait_until("the servers have finished all requests", || {
        servers.finished_count.load(Ordering::Relaxed) == servers.started_count.load(Ordering::Relaxed)
    });
    let responded = servers.responded.lock().unwrap();
    let outcomes = clients.outcomes.lock().unwrap();
    let lost: Vec<_> = outcomes
        .iter()
        .filter(|(id, outcome)| responded.contains(*id) && **outcome != Outcome::Responded(200))
        .collect();
    assert!(lost.is_empty(), "responses of servers that did not reach their clients: {lost:?}");
}

#[test]
fn no_response_is_lost_to_config_changes_sighup_and_shield_shutdowns() {
    let (mut system, servers) = start_system();
    let clients = Clients::default();
    let edge = system.edge_addrs()[0];
    std::thread::scope(|scope| {
        (0..12).for_each(|_| drop(scope.spawn(|| clients.run(edge, &REQUEST_LINES))));
        let (mut rev, later_changes) = (1, config_changes().split_off(1));
        for (index, (subcommand, document)) in later_changes.iter().enumerate() {
            let machine = index as u8 % (EDGE_MACHINE - 1) + 1;
            system.signal(EDGE_MACHINE, "edge", "-HUP");
            system.signal(EDGE_MACHINE, "agent", "-HUP");
            system.signal(machine, "shield", "-TERM");
            system.signal(machine, "control", "-HUP");
            system.signal(machine, "shield", "-HUP");
            system.configure(subcommand, rev, document);
            rev += 1;
            let (responses_before, started_before) =
                (clients.success_count(), servers.started_count.load(Ordering::Relaxed));
            wait_until("clients get responses after the change", || {
                clients.success_count() >= responses_before + 25
                    && servers.started_count.load(Ordering::Relaxed) >= started_before + 25
            });
            wait_until("the shield has exited", || system.exit_success(machine, "shield").is_some());
            assert_eq!(
                system.exit_success(machine, "shield"),
                Some(true),
                "the shield must exit successfully"
            );
            system.respawn(machine, "shield");
        }
        clients.stop.store(true, Ordering::Relaxed);
    });
    check_responses(&clients, &servers);
    // Requests may fail while limits and routes are changed; those without a response were never read by the edge.
    let outcomes = clients.outcomes.lock().unwrap();
    let disconnected = outcomes.values().filter(|outcome| **outcome == Outcome::Disconnected).count();
    assert!(
        disconnected * 20 < outcomes.len(),
        "{disconnected} of {} requests got no response",
        outcomes.len()
    );
}

#[test]
fn an_edge_that_shuts_down_during_sighup_and_config_changes_completes_its_requests() {
    let (mut system, servers) = start_system();
    let clients = Clients::default();
    let edge = system.edge_addrs()[0];
    std::thread::scope(|scope| {
        (0..12).for_each(|_| drop(scope.spawn(|| clients.run(edge, &REQUEST_LINES))));
        wait_until("clients get responses", || clients.success_count() >= 25);
        // The signals arrive while a change is being applied, and more of them after it.
        let (subcommand, document) = &config_changes()[1];
        system.signal(EDGE_MACHINE, "edge", "-HUP");
        system.signal(EDGE_MACHINE, "edge", "-TERM");
        system.signal(EDGE_MACHINE, "edge", "-HUP");
        system.configure(subcommand, 1, document);
        let responses_before = clients.success_count();
        wait_until("requests are still served after SIGTERM", || {
            clients.success_count() >= responses_before + 25
        });
        system.signal(EDGE_MACHINE, "agent", "-TERM");
        system.signal(EDGE_MACHINE, "edge", "-TERM");
        wait_until("the edge has exited", || system.exit_success(EDGE_MACHINE, "edge").is_some());
        clients.stop.store(true, Ordering::Relaxed);
    });
    assert_eq!(system.exit_success(EDGE_MACHINE, "edge"), Some(true), "the edge must exit successfully");
    check_responses(&clients, &servers);
}

#[test]
fn sighup_before_the_settings_are_read_ends_no_process() {
    let folder = std::env::temp_dir().join(format!("glenfall-hangup-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for role in ["edge", "agent", "shield", "control"] {
        // Opening a pipe blocks until the other end is open, so that the process has begun to read its settings.
        let pipe = folder.join(role);
        assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenfall"));
        let mut child = command.arg(role).env("GLENFALL_CONFIG", &pipe).spawn().unwrap();
        let mut settings = std::fs::File::options().write(true).open(&pipe).unwrap();
        let pid = child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
        settings.write_all(b"no settings at all").unwrap();
        drop(settings);
        let status = child.wait().unwrap();
        assert_eq!(status.code(), Some(1), "{role} must read on and report the invalid settings: {status}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
