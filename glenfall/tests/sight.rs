//! Each request that fails can be explained afterwards: by the id of its try the log names the cause, and whom the request
//! was sent to.

mod common;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};

use common::{receive_try_id, request, wait_until, System, EDGE_MACHINE};

/// What a stand-in server does with each request that it has whole.
#[derive(Clone, Copy)]
enum Acts {
    Answers(&'static str, &'static str),
    Closes,
    KeepsSilent,
}

const OK: Acts = Acts::Answers("200 OK", "");
const FULL: Acts = Acts::Answers("503 Service Unavailable", "X-Glenfall-Not-Run: 1\r\n");
const UNPROVEN: Acts = Acts::Answers("429 Too Many Requests", "");
const FAILS: Acts = Acts::Answers("500 Internal Server Error", "");

fn start_server(acts: Acts) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(stream, acts));
        }
    });
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn serve(mut stream: TcpStream, acts: Acts) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(id) = receive_try_id(&mut reader) {
        let (status, more) = match acts {
            Acts::Answers(status, more) => (status, more),
            Acts::Closes => return,
            Acts::KeepsSilent => continue,
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\n{more}Content-Length: 6\r\n\r\nanswer"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// An address at which nothing listens.
fn closed_port() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

/// The document of one service for each of these names, with a route for reads and one for writes.
fn document(services: &[&str]) -> String {
    let route = |service: &str, kind: &str, prefix: &str| {
        serde_json::json!({
            "name": format!("{kind}-{service}"), "hostname": "h", "pathPrefix": format!("/{prefix}/{service}/"),
            "type": kind, "deadlineMs": 5000, "targetMs": 2000, "backend": service, "tries": 2, "maxAgeS": 60,
        })
    };
    let routes = services.iter().flat_map(|s| [route(s, "cacheable", "r"), route(s, "mutating", "w")]);
    let backend = |name: &&str| match *name {
        "scarce" => serde_json::json!({ "name": name, "ratePerS": 0.01 }),
        _ => serde_json::json!({ "name": name }),
    };
    serde_json::json!({
        "rev": 1, "paths": routes.collect::<Vec<_>>(),
        "backends": services.iter().map(backend).collect::<Vec<_>>(), "reqLimits": { "maxBodyBytes": 1000 },
    })
    .to_string()
}

#[test]
fn the_log_names_each_failed_request_by_its_try_with_the_cause_and_whom_it_was_sent_to() {
    let system = System::start(&["control", "shield"], &["agent", "edge"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    let servers = [
        ("well", Some(start_server(OK))),
        ("full", Some(start_server(FULL))),
        ("unproven", Some(start_server(UNPROVEN))),
        ("failing", Some(start_server(FAILS))),
        ("closing", Some(start_server(Acts::Closes))),
        ("silent", Some(start_server(Acts::KeepsSilent))),
        ("unreachable", Some(closed_port())),
        ("scarce", Some(start_server(OK))),
        ("none", None),
    ];
    for (service, addr) in &servers {
        if let Some(addr) = addr {
            let beat = || {
                let body = format!(
                    r#"{{"backend":"{service}","addr":"{addr}","zone":"z","capacity":8,"status":"ready","callSeq":1}}"#
                );
                let line = format!("PUT /api/servers/server-{service}");
                request(system.control_addr(1), &line, "Host: c\r\n", &body)
                    .is_some_and(|heard| heard.0 == 200)
            };
            wait_until("a beat is acknowledged", beat);
        }
    }
    let services: Vec<&str> = servers.iter().map(|(service, _)| *service).collect();
    system.configure("put", 0, &document(&services));
    system.wait_until_ready();
    let edge = system.edge_addrs()[0];
    let ask = |id: &str, line: &str, headers: &str, body: &str| {
        let headers = format!("X-Glenfall-Try-Id: {id}\r\n{headers}");
        request(edge, line, &headers, body).map_or(0, |heard| heard.0)
    };
    let (host, brief) = ("Host: h\r\n", "Host: h\r\nX-Glenfall-Deadline: 400\r\n");
    wait_until("reads and writes are served", || {
        ask("first", "GET /r/well/x", host, "") == 200 && ask("first", "POST /w/well/x", host, "") == 200
    });
    let long = "b".repeat(2000);
    // The request, its status and cause, and what the log says of the way that it took.
    let table = [
        ("unknown-host", "GET /r/well/x", "Host: other\r\n", "", 404, "no-route", ""),
        ("two-hosts", "GET /r/well/x", "Host: h\r\nHost: h\r\n", "", 400, "bad-request", "one Host expected"),
        ("long", "POST /w/well/x", host, &long, 413, "body-too-large", ""),
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
        ("silent", "POST /w/silent/x", brief, "", 504, "no-answer", "server-silent: no answer in time"),
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
        ("read-scarce", "GET /r/scarce/x", host, "", 503, "rate-limit", "shield"),
    ];
    for (id, line, headers, body, status, ..) in table {
        assert_eq!(ask(id, line, headers, body), status, "{id}");
    }
    // A head that never ends: there is no id to name it by.
    let mut stream = TcpStream::connect(edge).unwrap();
    stream.write_all(b"GET /r/well/x HTTP/1.1\r\nHost").unwrap();
    let refused = request(system.control_addr(1), "PUT /api/config", "Host: c\r\nIf-Match: 1\r\n", "{");
    assert_eq!(refused.map(|heard| heard.0), Some(400));

    let log = |n: u8| std::fs::read_to_string(system.log_path(n)).unwrap();
    wait_until("the slow head is logged", || log(EDGE_MACHINE).contains("head-too-slow"));
    for (id, _, _, _, status, cause, way) in table {
        let log = log(EDGE_MACHINE);
        let lines: Vec<&str> =
            log.lines().filter(|line| line.contains(&format!("try_id=\"{id}\""))).collect();
        assert_eq!(lines.len(), 1, "{id}: {lines:?}");
        let line = lines[0];
        assert!(
            line.contains("request failed") && line.contains(&format!("status={status} cause=\"{cause}\"")),
            "{line}"
        );
        assert!(line.contains(way), "{id}: {way} expected in {line}");
    }
    assert!(log(1).contains("request rejected") && log(1).contains("status=400"), "the operator's call");
    let counted = || {
        let status = (1..=3).filter_map(|n| system.status(n));
        let sessions = status.flat_map(|s| s["sessions"].as_array().cloned().unwrap_or_default());
        sessions.filter_map(|session| session["counters"]["failed_no_route"].as_u64()).sum::<u64>()
    };
    wait_until("status counts failures by their causes", || counted() == 1);
}
