//! Compares all HTTP responses to servers, operators and clients, and the requests forwarded to servers, with a fixture
//! of version 0.3.0: a refactoring must not change the names and error texts in them.
//!
//! Values that differ between runs are replaced by their types. After a deliberate change of the HTTP interface:
//! `UPDATE_FIXTURES=1 cargo test -p glenfall --test http_forms`.

mod common;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use common::{request, wait_until, Response, System, EDGE_MACHINE};
use serde_json::Value;

const FIXTURE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/http-forms.txt");

/// JSON members whose values differ between runs.
const VOLATILE_MEMBERS: [&str; 17] = [
    "addr",
    "applied",
    "awayMs",
    "crc",
    "incarnation",
    "inChain",
    "leased",
    "name",
    "peers",
    "pushed",
    "sessions",
    "shields",
    "chain",
    "counters",
    "upMs",
    "view",
    "warmup_left_ms",
];

/// Replaces the values of volatile members by their types.
fn normalize(value: &Value) -> Value {
    match value {
        Value::Object(members) => {
            let normalize_member = |(name, value): (&String, &Value)| {
                let normalized = if VOLATILE_MEMBERS.contains(&name.as_str()) {
                    value_types(value)
                } else {
                    normalize(value)
                };
                (name.clone(), normalized)
            };
            Value::Object(members.iter().map(normalize_member).collect())
        }
        Value::Array(items) => items.iter().map(normalize).collect(),
        other => other.clone(),
    }
}

/// Replaces each scalar by the name of its type, and shortens each array to its first item.
fn value_types(value: &Value) -> Value {
    match value {
        Value::Object(members) => {
            // Counters depend on the role of the session's node; their names are recorded separately.
            let type_of_member = |name: &str, value: &Value| match name {
                "counters" => "(counters)".into(),
                _ => value_types(value),
            };
            members.iter().map(|(name, value)| (name.clone(), type_of_member(name, value))).collect()
        }
        Value::Array(items) => items.first().map(value_types).into_iter().collect(),
        Value::String(_) => "(string)".into(),
        Value::Number(_) => "(number)".into(),
        Value::Bool(_) => "(boolean)".into(),
        Value::Null => "(null)".into(),
    }
}

/// Whether a counter appears only after an event: a failure, an invariant violation, or an attempt at a shield that
/// got no response.
fn is_conditional(name: &str) -> bool {
    let is_attempt = name.starts_with("shield_") && name != "shield_failed";
    name.starts_with("failed_") || name.starts_with("broken_") || is_attempt
}

/// The names of the unconditional counters of all sessions. `None` until each session has sent its counters, and those
/// of the edge and of a shield include the requests.
fn counter_names(system: &System) -> Option<BTreeSet<String>> {
    let mut names = BTreeSet::new();
    for node in 1..EDGE_MACHINE {
        for session in system.status(node)?["sessions"].as_array()? {
            let counters = session["counters"].as_object().filter(|counters| !counters.is_empty())?;
            names.extend(counters.keys().cloned());
        }
    }
    names.retain(|name| !is_conditional(name));
    ["write_count", "fetch_count"].iter().all(|name| names.contains(*name)).then_some(names)
}

fn normalize_body(body: &str) -> String {
    match serde_json::from_str::<Value>(body) {
        Ok(value) => serde_json::to_string_pretty(&normalize(&value)).expect("JSON"),
        Err(_) => body.to_owned(),
    }
}

/// The lines of a head, sorted by name, without the date.
fn normalize_head(head: &str) -> String {
    let mut lines: Vec<&str> = head.lines().filter(|line| !line.starts_with("date:")).collect();
    lines[1..].sort_unstable();
    lines.join("\n")
}

/// All normalized requests and responses, in order.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn record(&mut self, title: &str, text: &str) {
        self.0.push_str(&format!("== {title}\n{text}\n\n"));
    }

    /// Sends a request, and records the response.
    fn send(&mut self, addr: SocketAddrV4, line: &str, headers: &str, body: &str) -> u16 {
        let response = request(addr, line, &format!("Host: h\r\n{headers}"), body).expect("a response");
        let title = format!("{line} {} {body}", headers.trim_end()).replace(&addr.to_string(), "(address)");
        self.record_response(title.trim_end(), &response);
        response.0
    }

    fn record_response(&mut self, title: &str, (_, head, body): &Response) {
        let body = normalize_body(body);
        let mut head = normalize_head(head);
        if body.contains("(number)") {
            head = head
                .lines()
                .filter(|line| !line.starts_with("content-length"))
                .collect::<Vec<_>>()
                .join("\n");
        }
        self.record(title, &format!("{head}\n\n{body}"));
    }
}

/// A server that records the heads of the requests that it receives.
struct RecordingServer {
    addr: SocketAddrV4,
    heads: Arc<Mutex<Vec<String>>>,
}

impl RecordingServer {
    fn start() -> RecordingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let SocketAddr::V4(addr) = listener.local_addr().expect("an address") else {
            panic!("IPv4 expected")
        };
        let heads = Arc::<Mutex<Vec<String>>>::default();
        let recorded_heads = Arc::clone(&heads);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let recorded_heads = Arc::clone(&recorded_heads);
                std::thread::spawn(move || serve(stream, &recorded_heads));
            }
        });
        RecordingServer { addr, heads }
    }

    /// The normalized head of the request for a path.
    fn head_of(&self, path: &str) -> String {
        let heads = self.heads.lock().expect("no thread panicked while it held the lock");
        let recorded_head = heads
            .iter()
            .find(|head| head.contains(&format!(" {path} ")))
            .expect("the server received the request");
        let lines = recorded_head.lines().map(|line| match line.split_once(": ") {
            Some((name, _)) if name == "x-glenfall-deadline" => format!("{name}: (milliseconds)"),
            _ => line.to_owned(),
        });
        normalize_head(&lines.collect::<Vec<_>>().join("\n"))
    }
}

fn serve(mut stream: TcpStream, heads: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).unwrap_or(0) == 0 {
                return;
            }
        }
        let header = |wanted_name: &str| {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            lines
                .filter(|(name, _)| name.eq_ignore_ascii_case(wanted_name))
                .map(|(_, value)| value.to_owned())
                .next()
        };
        let length = header("content-length").map_or(0, |length| length.parse().expect("a length"));
        let id = header("x-glenfall-try-id").unwrap_or_default();
        if reader.read_exact(&mut vec![0; length]).is_err() {
            return;
        }
        heads.lock().expect("no thread panicked while it held the lock").push(head);
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\nX-Glenfall-Tags: l m\r\n\
             ETag: \"e\"\r\nContent-Length: 6\r\n\r\nanswer"
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

const CONFIGURATION: &str = r#"{"rev": 1, "paths": [{"name": "reads", "hostname": "h", "pathPrefix": "/r/", "type": "cacheable", "deadlineMs": 5000, "targetMs": 2000, "backend": "s", "tries": 2, "maxAgeS": 600}, {"name": "writes", "hostname": "h", "pathPrefix": "/w/", "type": "mutating", "deadlineMs": 5000, "targetMs": 2000, "backend": "s", "tries": 2}, {"name": "nowhere", "hostname": "h", "pathPrefix": "/n/", "type": "mutating", "deadlineMs": 5000, "backend": "t"}], "backends": [{"name": "s"}, {"name": "t"}], "unknown": 1}"#;

fn heartbeat(addr: SocketAddrV4, status: &str, sequence: u32) -> String {
    format!(
        r#"{{"backend":"s","addr":"{addr}","zone":"z","capacity":8,"status":"{status}","callSeq":{sequence}}}"#
    )
}

fn record_server_requests(transcript: &mut Transcript, control: SocketAddrV4, server: SocketAddrV4) {
    let mut send = |line: &str, body: &str| transcript.send(control, line, "", body);
    assert_eq!(send("PUT /api/servers/i-1", "{}"), 400);
    assert_eq!(send("PUT /api/servers/i-1", r#"{"backend": 1}"#), 400);
    assert_eq!(
        send(
            &format!("PUT /api/servers/{}", "i".repeat(129)),
            r#"{"backend":"s","addr":"127.0.0.1:9","status":"ready"}"#
        ),
        400
    );
    assert_eq!(send("GET /api/servers/i-1", ""), 405);
    let unreachable_addr: SocketAddrV4 = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(send("PUT /api/servers/i-2", &heartbeat(unreachable_addr, "ready", 1)), 200);
    assert_eq!(send("PUT /api/servers/i-2", &heartbeat(unreachable_addr, "draining", 2)), 200);
    assert_eq!(send("PUT /api/servers/i-2", &heartbeat(unreachable_addr, "ready", 1)), 200);
    assert_eq!(send("DELETE /api/servers/i-2", ""), 200);
    assert_eq!(send("DELETE /api/servers/i-2", ""), 200);
    // Not recorded: the server's port differs between runs.
    let response = request(control, "PUT /api/servers/i-1", "Host: h\r\n", &heartbeat(server, "ready", 1));
    assert_eq!(response.map(|response| response.0), Some(200));
}

fn record_operator_requests(transcript: &mut Transcript, control: SocketAddrV4) {
    let mut send = |line: &str, headers: &str, body: &str| transcript.send(control, line, headers, body);
    assert_eq!(send("GET /api/config", "", ""), 404);
    assert_eq!(send("PUT /api/config", "", CONFIGURATION), 428);
    assert_eq!(send("PUT /api/config", "If-Match: 0\r\n", "{"), 400);
    assert_eq!(send("PUT /api/config", "If-Match: 0\r\n", r#"{"rev": 1, "paths": [{}]}"#), 400);
    assert_eq!(send("PUT /api/config", "If-Match: \"0\"\r\n", CONFIGURATION), 200);
    assert_eq!(send("PUT /api/config", "If-Match: 0\r\n", CONFIGURATION), 200);
    assert_eq!(send("PUT /api/config", "If-Match: 0\r\n", r#"{"rev": 2}"#), 412);
    assert_eq!(send("PUT /api/config", "If-Match: 1\r\n", r#"{"rev": 1}"#), 400);
    let patch = r#"{"rev": 2, "upsert": {"paths": [{"name": "late", "hostname": "h", "pathPrefix": "/l/", "type": "idempotent", "deadlineMs": 900, "split": [{"backend": "s", "weight": 1}, {"backend": "t", "weight": 0}]}]}}"#;
    assert_eq!(send("PATCH /api/config", "If-Match: 1\r\n", patch), 200);
    assert_eq!(send("PATCH /api/config", "If-Match: 2\r\n", r#"{"rev": 3, "upsert": {"paths": [{}]}}"#), 400);
    assert_eq!(send("GET /api/config", "", ""), 200);
    assert_eq!(send("GET /api/state", "", ""), 200);
    assert_eq!(send("GET /api/ready", "", ""), 200);
    assert_eq!(send("POST /api/purge", "", "{}"), 400);
    assert_eq!(send("POST /api/purge", "", r#"{"label": "never"}"#), 200);
    assert_eq!(send("POST /api/purge", "", r#"{"hostname": "h", "urlPath": "/never"}"#), 200);
    assert_eq!(send("DELETE /api/purge", "", ""), 405);
    assert_eq!(send("POST /api/core", "", "{}"), 400);
    assert_eq!(send("POST /api/core", "", r#"{"add": "127.0.8.1"}"#), 409);
    assert_eq!(send("POST /api/core", "", r#"{"add": "127.0.8.77"}"#), 409);
    assert_eq!(send("POST /api/core", "", r#"{"remove": "127.0.8.77"}"#), 409);
    assert_eq!(send("GET /api/nothing", "", ""), 404);
    assert_eq!(send("GET /api/core", "", ""), 200);
}

/// Whether the status of a control node lists the whole system: the items of an empty list would not be recorded.
fn is_complete_status(status: &Value) -> bool {
    let length = |list: &Value| list.as_array().map_or(0, Vec::len);
    length(&status["view"]["chain"]) == 3
        && length(&status["peers"]) == 2
        && length(&status["servers"]) == 1
        && length(&status["shields"]) == 3
        && length(&status["sessions"]) > 0
        && status["inMajority"] == true
}

/// Whether a control node reports a view and reaches a majority of the voters.
fn is_complete_core(core: &Value) -> bool {
    core["view"].is_string() && core["inMajority"] == true
}

/// Records the status once each session has sent its counters and the lists in it are complete.
fn record_status(transcript: &mut Transcript, system: &System) {
    let mut names = None;
    wait_until("each session has sent its counters", || {
        names = counter_names(system);
        names.is_some()
    });
    let names: Vec<String> = names.into_iter().flatten().collect();
    transcript.record("counters of sessions", &names.join("\n"));
    let mut response = None;
    wait_until("the status is complete", || {
        response =
            request(system.control_addr(1), "GET /api/status", "Host: h\r\n", "").filter(|(_, _, body)| {
                serde_json::from_str(body).is_ok_and(|status| is_complete_status(&status))
            });
        response.is_some()
    });
    transcript.record_response("GET /api/status", &response.expect("a status"));
    record_command_output(transcript, system, "core list", &["core", "list"], is_complete_core);
    record_command_output(transcript, system, "status", &["status"], is_complete_status);
}

/// Records the output of a command about one control node once it is complete.
fn record_command_output(
    transcript: &mut Transcript,
    system: &System,
    title: &str,
    command: &[&str],
    is_complete: fn(&Value) -> bool,
) {
    let control = system.control_addr_text(1);
    let args = [command, &["--control", &control]].concat();
    let mut output = String::new();
    wait_until(title, || {
        output = system.run_command(&args).1;
        serde_json::from_str::<Value>(&output).is_ok_and(|nodes| is_complete(&nodes[0]))
    });
    transcript.record(title, &normalize_body(&output));
}

fn record_client_requests(
    transcript: &mut Transcript,
    edge: SocketAddrV4,
    recording_server: &RecordingServer,
) {
    let headers = "X-Glenfall-Try-Id: ab\r\nX-Glenfall-Deadline: 5000\r\nX-Custom: kept\r\n\
                   X-Glenfall-Other: kept\r\nX-Glenfall-Want-Server: dropped\r\nKeep-Alive: dropped\r\n";
    let send_request =
        |line: &str, headers: &str, body: &str| request(edge, line, headers, body).map(|response| response.0);
    wait_until("reads and writes are served", || {
        send_request("GET /r/first", "Host: h\r\n", "") == Some(200)
            && send_request("POST /w/first", "Host: h\r\n", "") == Some(200)
    });
    let mut send = |line: &str, headers: &str, body: &str| transcript.send(edge, line, headers, body);
    assert_eq!(send("POST /w/write?q", headers, "body"), 200);
    assert_eq!(send("GET /r/read", headers, ""), 200);
    assert_eq!(send("GET /r/read", "If-None-Match: \"e\"\r\n", ""), 304);
    assert_eq!(send("GET /r/read", "Range: bytes=1-2\r\n", ""), 206);
    assert_eq!(send("GET /r/read", "Range: bytes=9-\r\n", ""), 416);
    assert_eq!(send("GET /none", headers, ""), 404);
    assert_eq!(send("POST /n/no-server", headers, ""), 503);
    transcript.record("the write, as its server gets it", &recording_server.head_of("/w/write?q"));
    transcript.record("the read, as its server gets it", &recording_server.head_of("/r/read"));
}

#[test]
fn http_responses_and_forwarded_requests_match_the_fixture() {
    let system = System::start(&["control", "shield"], &["agent", "edge"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    let recording_server = RecordingServer::start();
    let mut transcript = Transcript::default();
    let control = system.control_addr(1);
    wait_until("the control node reaches a majority", || {
        request(control, "GET /api/ready", "Host: h\r\n", "").is_some_and(|response| response.0 == 200)
    });
    let [edge, ready] = system.edge_addrs();
    record_server_requests(&mut transcript, control, recording_server.addr);
    record_operator_requests(&mut transcript, control);
    system.wait_until_ready();
    assert_eq!(transcript.send(ready, "GET /api/ready", "", ""), 200);
    record_client_requests(&mut transcript, edge, &recording_server);
    record_status(&mut transcript, &system);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        return std::fs::write(FIXTURE_PATH, &transcript.0).expect("the fixture can be written");
    }
    let expected = std::fs::read_to_string(FIXTURE_PATH).expect("the fixture can be read");
    for (actual, expected) in transcript.0.split("\n== ").zip(expected.split("\n== ")) {
        assert_eq!(actual, expected);
    }
    assert_eq!(transcript.0, expected);
}
