//! Checks that the log explains each failed request: a line with its try id names the cause, and the servers that the
//! request was sent to.

mod common;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};

use common::{receive_try_id, request, wait_until, System, EDGE_MACHINE};

/// What a test server does with each complete request.
#[derive(Clone, Copy)]
enum Behavior {
    /// Responds with this status line and these extra headers.
    Respond(&'static str, &'static str),
    CloseConnection,
    NeverRespond,
}

const SUCCESS: Behavior = Behavior::Respond("200 OK", "");
const SERVER_FULL: Behavior = Behavior::Respond("503 Service Unavailable", "X-Glenfall-Not-Run: 1\r\n");
const REFUSAL_WITHOUT_NOT_RUN: Behavior = Behavior::Respond("429 Too Many Requests", "");
const SERVER_ERROR: Behavior = Behavior::Respond("500 Internal Server Error", "");

fn start_server(behavior: Behavior) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(stream, behavior));
        }
    });
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn serve(mut stream: TcpStream, behavior: Behavior) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(id) = receive_try_id(&mut reader) {
        let (status, extra_headers) = match behavior {
            Behavior::Respond(status, extra_headers) => (status, extra_headers),
            Behavior::CloseConnection => return,
            Behavior::NeverRespond => continue,
        };
        let response = format!(
            "HTTP/1.1 {status}\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\n{extra_headers}Content-Length: 6\r\n\r\nanswer"
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// An address that refuses connections.
fn closed_port() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

/// A configuration with these services, each with a route for reads and one for writes.
fn document(services: &[&str]) -> String {
    let route = |service: &str, kind: &str, prefix: &str| {
        serde_json::json!({
            "name": format!("{kind}-{service}"), "hostname": "h", "pathPrefix": format!("/{prefix}/{service}/"),
            "type": kind, "deadlineMs": 5000, "targetMs": 2000, "backend": service, "tries": 2, "maxAgeS": 60,
        })
    };
    let routes = services
        .iter()
        .flat_map(|service| [route(service, "cacheable", "r"), route(service, "mutating", "w")]);
    let backend = |name: &&str| match *name {
        "rate-limited" => serde_json::json!({ "name": name, "ratePerS": 0.01 }),
        _ => serde_json::json!({ "name": name }),
    };
    serde_json::json!({
        "rev": 1, "paths": routes.collect::<Vec<_>>(),
        "backends": services.iter().map(backend).collect::<Vec<_>>(), "reqLimits": { "maxBodyBytes": 1000 },
    })
    .to_string()
}

#[test]
fn each_failed_request_is_logged_with_its_try_id_cause_and_servers() {
    let system = System::start(&["control", "shield"], &["agent", "edge"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    let servers = [
        ("healthy", Some(start_server(SUCCESS))),
        ("full", Some(start_server(SERVER_FULL))),
        ("unproven", Some(start_server(REFUSAL_WITHOUT_NOT_RUN))),
        ("failing", Some(start_server(SERVER_ERROR))),
        ("closing", Some(start_server(Behavior::CloseConnection))),
        ("unresponsive", Some(start_server(Behavior::NeverRespond))),
        ("unreachable", Some(closed_port())),
        ("rate-limited", Some(start_server(SUCCESS))),
        ("none", None),
    ];
    for (service, addr) in &servers {
        if let Some(addr) = addr {
            let send_heartbeat = || {
                let body = format!(
                    r#"{{"backend":"{service}","addr":"{addr}","zone":"z","capacity":8,"status":"ready","callSeq":1}}"#
                );
                let line = format!("PUT /api/servers/server-{service}");
                request(system.control_addr(1), &line, "Host: c\r\n", &body)
                    .is_some_and(|response| response.0 == 200)
            };
            wait_until("the heartbeat is acknowledged", send_heartbeat);
        }
    }
    let services: Vec<&str> = servers.iter().map(|(service, _)| *service).collect();
    system.configure("put", 0, &document(&services));
    system.wait_until_ready();
    let edge = system.edge_addrs()[0];
    let send_request = |id: &str, line: &str, headers: &str, body: &str| {
        let headers = format!("X-Glenfall-Try-Id: {id}\r\n{headers}");
        request(edge, line, &headers, body).map_or(0, |response| response.0)
    };
    let (host, short_deadline) = ("Host: h\r\n", "Host: h\r\nX-Glenfall-Deadline: 400\r\n");
    wait_until("reads and writes are served", || {
        send_request("first", "GET /r/healthy/x", host, "") == 200
            && send_request("first", "POST /w/healthy/x", host, "") == 200
    });
    let long_body = "b".repeat(2000);
    // The request, its status and cause, and the text about its attempts that is expected in the log.
    let cases = [
        ("unknown-host", "GET /r/healthy/x", "Host: other\r\n", "", 404, "no-route", ""),
        (
            "two-hosts",
            "GET /r/healthy/x",
            "Host: h\r\nHost: h\r\n",
            "",
            400,
            "bad-request",
            "one Host expected",
        ),
        ("long", "POST /w/healthy/x", host, &long_body, 413, "body-too-large", ""),
        ("no-server", "POST /w/none/x", host, "", 503, "no-server", ""),
        ("full", "POST /w/full/x", host, "", 503, "servers-full", "server-full: not run (503)"),
        (
            "unproven",
            "POST /w/unproven/x",
            host,
            "",
            502,
            "unproven-refusal",
            "server-unproven: answered 429",
        ),
        ("failing", "POST /w/failing/x", host, "", 500, "server-error", "server-failing: answered 500"),
        ("closing", "POST /w/closing/x", host, "", 502, "answer-lost", "server-closing: answer lost"),
        (
            "unresponsive",
            "POST /w/unresponsive/x",
            short_deadline,
            "",
            504,
            "no-answer",
            "server-unresponsive: no answer in time",
        ),
        (
            "unreachable",
            "POST /w/unreachable/x",
            host,
            "",
            503,
            "no-connection",
            "server-unreachable: no conn",
        ),
        ("read-closing", "GET /r/closing/x", host, "", 502, "answer-lost", "server-closing: answer lost"),
        ("read-none", "GET /r/none/x", host, "", 503, "no-server", "shield"),
        ("read-rate-limited", "GET /r/rate-limited/x", host, "", 503, "rate-limit", "shield"),
    ];
    for (id, line, headers, body, status, ..) in cases {
        assert_eq!(send_request(id, line, headers, body), status, "{id}");
    }
    // An incomplete head: its log line has no try id.
    let mut stream = TcpStream::connect(edge).unwrap();
    stream.write_all(b"GET /r/healthy/x HTTP/1.1\r\nHost").unwrap();
    let rejected = request(system.control_addr(1), "PUT /api/config", "Host: c\r\nIf-Match: 1\r\n", "{");
    assert_eq!(rejected.map(|response| response.0), Some(400));

    let log = |machine: u8| std::fs::read_to_string(system.log_path(machine)).unwrap();
    wait_until("the slow head is logged", || log(EDGE_MACHINE).contains("head-too-slow"));
    for (id, _, _, _, status, cause, attempts) in cases {
        let log = log(EDGE_MACHINE);
        let lines: Vec<&str> =
            log.lines().filter(|line| line.contains(&format!("try_id=\"{id}\""))).collect();
        assert_eq!(lines.len(), 1, "{id}: {lines:?}");
        let line = lines[0];
        assert!(
            line.contains("request failed") && line.contains(&format!("status={status} cause=\"{cause}\"")),
            "{line}"
        );
        assert!(line.contains(attempts), "{id}: {attempts} expected in {line}");
    }
    assert!(
        log(1).contains("request rejected") && log(1).contains("status=400"),
        "the rejected configuration is logged"
    );
    let no_route_failures = || {
        let status = (1..=3).filter_map(|node| system.status(node));
        let sessions = status.flat_map(|status| status["sessions"].as_array().cloned().unwrap_or_default());
        sessions.filter_map(|session| session["counters"]["failed_no_route"].as_u64()).sum::<u64>()
    };
    wait_until("the status counts failures by cause", || no_route_failures() == 1);
}
