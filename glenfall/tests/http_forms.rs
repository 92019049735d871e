//! The forms of everything that servers, operators and clients get over HTTP, and of the requests that servers are sent,
//! against a fixture of version 0.3.0: names and error texts stay as they are, whatever the code behind them is called.
//!
//! Values that differ from run to run are replaced by their types. After a deliberate change of a form:
//! `UPDATE_FIXTURES=1 cargo test -p glenfall --test http_forms`.

mod common;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use common::{request, wait_until, Response, System, EDGE_MACHINE};
use serde_json::Value;

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/http-forms.txt");

/// Members whose values differ from run to run.
const VOLATILE: [&str; 17] = [
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

/// A value with what differs from run to run replaced by its type.
fn form(value: &Value) -> Value {
    match value {
        Value::Object(members) => {
            let form_of = |(name, value): (&String, &Value)| {
                let form = if VOLATILE.contains(&name.as_str()) { type_form(value) } else { form(value) };
                (name.clone(), form)
            };
            Value::Object(members.iter().map(form_of).collect())
        }
        Value::Array(items) => items.iter().map(form).collect(),
        other => other.clone(),
    }
}

/// The types of a value's leaves; of a list those of its first item.
fn type_form(value: &Value) -> Value {
    match value {
        Value::Object(members) => {
            // Counters differ with the role of the session's node: their names are noted apart.
            let form_of = |name: &str, value: &Value| match name {
                "counters" => "(counters)".into(),
                _ => type_form(value),
            };
            members.iter().map(|(name, value)| (name.clone(), form_of(name, value))).collect()
        }
        Value::Array(items) => items.first().map(type_form).into_iter().collect(),
        Value::String(_) => "(string)".into(),
        Value::Number(_) => "(number)".into(),
        Value::Bool(_) => "(boolean)".into(),
        Value::Null => "(null)".into(),
    }
}

/// Counters that are there only once something has happened: failures, broken invariants, and attempts at shields that
/// brought no response.
fn is_conditional(name: &str) -> bool {
    let is_attempt = name.starts_with("shield_") && name != "shield_failed";
    name.starts_with("failed_") || name.starts_with("broken_") || is_attempt
}

/// The names of the counters of all sessions that are there whatever happens; `None` until each session has sent its own,
/// and those of the edge and of a shield have told of the requests.
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

fn body_form(body: &str) -> String {
    match serde_json::from_str::<Value>(body) {
        Ok(value) => serde_json::to_string_pretty(&form(&value)).expect("JSON"),
        Err(_) => body.to_owned(),
    }
}

/// The lines of a head, in order of their names, with the date left out.
fn head_form(head: &str) -> String {
    let mut lines: Vec<&str> = head.lines().filter(|line| !line.starts_with("date:")).collect();
    lines[1..].sort_unstable();
    lines.join("\n")
}

/// All forms seen, in order.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn note(&mut self, title: &str, text: &str) {
        self.0.push_str(&format!("== {title}\n{text}\n\n"));
    }

    /// Makes a call, and notes its answer.
    fn call(&mut self, addr: SocketAddrV4, line: &str, headers: &str, body: &str) -> u16 {
        let answer = request(addr, line, &format!("Host: h\r\n{headers}"), body).expect("an answer");
        let title = format!("{line} {} {body}", headers.trim_end()).replace(&addr.to_string(), "(address)");
        self.note_answer(title.trim_end(), &answer);
        answer.0
    }

    fn note_answer(&mut self, title: &str, (_, head, body): &Response) {
        let form = body_form(body);
        let mut head = head_form(head);
        if form.contains("(number)") {
            head = head
                .lines()
                .filter(|line| !line.starts_with("content-length"))
                .collect::<Vec<_>>()
                .join("\n");
        }
        self.note(title, &format!("{head}\n\n{form}"));
    }
}

/// A server that notes the heads of the requests that it is sent.
struct Recorder {
    addr: SocketAddrV4,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    fn start() -> Recorder {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let SocketAddr::V4(addr) = listener.local_addr().expect("an address") else {
            panic!("IPv4 expected")
        };
        let heads = Arc::<Mutex<Vec<String>>>::default();
        let noted = Arc::clone(&heads);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let noted = Arc::clone(&noted);
                std::thread::spawn(move || serve(stream, &noted));
            }
        });
        Recorder { addr, heads }
    }

    /// The head of the request for a path, with what differs from run to run replaced.
    fn head_of(&self, path: &str) -> String {
        let heads = self.heads.lock().expect("the heads");
        let found = heads.iter().find(|head| head.contains(&format!(" {path} "))).expect("it was sent");
        let lines = found.lines().map(|line| match line.split_once(": ") {
            Some((name, _)) if name == "x-glenfall-deadline" => format!("{name}: (milliseconds)"),
            _ => line.to_owned(),
        });
        head_form(&lines.collect::<Vec<_>>().join("\n"))
    }
}

fn serve(mut stream: TcpStream, heads: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).unwrap_or(0) == 0 {
                return;
            }
        }
        let header = |wanted: &str| {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            lines
                .filter(|(name, _)| name.eq_ignore_ascii_case(wanted))
                .map(|(_, value)| value.to_owned())
                .next()
        };
        let length = header("content-length").map_or(0, |length| length.parse().expect("a length"));
        let id = header("x-glenfall-try-id").unwrap_or_default();
        if reader.read_exact(&mut vec![0; length]).is_err() {
            return;
        }
        heads.lock().expect("the heads").push(head);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Glenfall-Try-Id: {id}\r\nX-Glenfall-Seal: s\r\nX-Glenfall-Tags: l m\r\n\
             ETag: \"e\"\r\nContent-Length: 6\r\n\r\nanswer"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

const DOCUMENT: &str = r#"{"rev": 1, "paths": [{"name": "reads", "hostname": "h", "pathPrefix": "/r/", "type": "cacheable", "deadlineMs": 5000, "targetMs": 2000, "backend": "s", "tries": 2, "maxAgeS": 600}, {"name": "writes", "hostname": "h", "pathPrefix": "/w/", "type": "mutating", "deadlineMs": 5000, "targetMs": 2000, "backend": "s", "tries": 2}, {"name": "nowhere", "hostname": "h", "pathPrefix": "/n/", "type": "mutating", "deadlineMs": 5000, "backend": "t"}], "backends": [{"name": "s"}, {"name": "t"}], "unknown": 1}"#;

fn heartbeat(addr: SocketAddrV4, status: &str, sequence: u32) -> String {
    format!(
        r#"{{"backend":"s","addr":"{addr}","zone":"z","capacity":8,"status":"{status}","callSeq":{sequence}}}"#
    )
}

fn note_calls_of_servers(transcript: &mut Transcript, control: SocketAddrV4, server: SocketAddrV4) {
    let mut call = |line: &str, body: &str| transcript.call(control, line, "", body);
    assert_eq!(call("PUT /api/servers/i-1", "{}"), 400);
    assert_eq!(call("PUT /api/servers/i-1", r#"{"backend": 1}"#), 400);
    assert_eq!(
        call(
            &format!("PUT /api/servers/{}", "i".repeat(129)),
            r#"{"backend":"s","addr":"127.0.0.1:9","status":"ready"}"#
        ),
        400
    );
    assert_eq!(call("GET /api/servers/i-1", ""), 405);
    let far: SocketAddrV4 = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(call("PUT /api/servers/i-2", &heartbeat(far, "ready", 1)), 200);
    assert_eq!(call("PUT /api/servers/i-2", &heartbeat(far, "draining", 2)), 200);
    assert_eq!(call("PUT /api/servers/i-2", &heartbeat(far, "ready", 1)), 200);
    assert_eq!(call("DELETE /api/servers/i-2", ""), 200);
    assert_eq!(call("DELETE /api/servers/i-2", ""), 200);
    // Its port is no part of the transcript.
    let answer = request(control, "PUT /api/servers/i-1", "Host: h\r\n", &heartbeat(server, "ready", 1));
    assert_eq!(answer.map(|answer| answer.0), Some(200));
}

fn note_calls_of_operators(transcript: &mut Transcript, control: SocketAddrV4) {
    let mut call = |line: &str, headers: &str, body: &str| transcript.call(control, line, headers, body);
    assert_eq!(call("GET /api/config", "", ""), 404);
    assert_eq!(call("PUT /api/config", "", DOCUMENT), 428);
    assert_eq!(call("PUT /api/config", "If-Match: 0\r\n", "{"), 400);
    assert_eq!(call("PUT /api/config", "If-Match: 0\r\n", r#"{"rev": 1, "paths": [{}]}"#), 400);
    assert_eq!(call("PUT /api/config", "If-Match: \"0\"\r\n", DOCUMENT), 200);
    assert_eq!(call("PUT /api/config", "If-Match: 0\r\n", DOCUMENT), 200);
    assert_eq!(call("PUT /api/config", "If-Match: 0\r\n", r#"{"rev": 2}"#), 412);
    assert_eq!(call("PUT /api/config", "If-Match: 1\r\n", r#"{"rev": 1}"#), 400);
    let patch = r#"{"rev": 2, "upsert": {"paths": [{"name": "late", "hostname": "h", "pathPrefix": "/l/", "type": "idempotent", "deadlineMs": 900, "split": [{"backend": "s", "weight": 1}, {"backend": "t", "weight": 0}]}]}}"#;
    assert_eq!(call("PATCH /api/config", "If-Match: 1\r\n", patch), 200);
    assert_eq!(call("PATCH /api/config", "If-Match: 2\r\n", r#"{"rev": 3, "upsert": {"paths": [{}]}}"#), 400);
    assert_eq!(call("GET /api/config", "", ""), 200);
    assert_eq!(call("GET /api/state", "", ""), 200);
    assert_eq!(call("GET /api/ready", "", ""), 200);
    assert_eq!(call("POST /api/purge", "", "{}"), 400);
    assert_eq!(call("POST /api/purge", "", r#"{"label": "never"}"#), 200);
    assert_eq!(call("POST /api/purge", "", r#"{"hostname": "h", "urlPath": "/never"}"#), 200);
    assert_eq!(call("DELETE /api/purge", "", ""), 405);
    assert_eq!(call("POST /api/core", "", "{}"), 400);
    assert_eq!(call("POST /api/core", "", r#"{"add": "127.0.8.1"}"#), 409);
    assert_eq!(call("POST /api/core", "", r#"{"add": "127.0.8.77"}"#), 409);
    assert_eq!(call("POST /api/core", "", r#"{"remove": "127.0.8.77"}"#), 409);
    assert_eq!(call("GET /api/nothing", "", ""), 404);
    assert_eq!(call("GET /api/core", "", ""), 200);
}

/// Whether the status of a control node lists all that the system has: a list that is empty for a moment has no form.
fn is_complete_status(status: &Value) -> bool {
    let length = |list: &Value| list.as_array().map_or(0, Vec::len);
    length(&status["view"]["chain"]) == 3
        && length(&status["peers"]) == 2
        && length(&status["servers"]) == 1
        && length(&status["shields"]) == 3
        && length(&status["sessions"]) > 0
        && status["inMajority"] == true
}

/// Whether a control node lists all voters, and a view of theirs.
fn is_complete_core(core: &Value) -> bool {
    core["view"].is_string() && core["inMajority"] == true
}

/// Once each session has sent its counters, and the system has settled.
fn note_status(transcript: &mut Transcript, system: &System) {
    let mut names = None;
    wait_until("each session has sent its counters", || {
        names = counter_names(system);
        names.is_some()
    });
    let names: Vec<String> = names.into_iter().flatten().collect();
    transcript.note("counters of sessions", &names.join("\n"));
    let mut answer = None;
    wait_until("the status is complete", || {
        answer =
            request(system.control_addr(1), "GET /api/status", "Host: h\r\n", "").filter(|(_, _, body)| {
                serde_json::from_str(body).is_ok_and(|status| is_complete_status(&status))
            });
        answer.is_some()
    });
    transcript.note_answer("GET /api/status", &answer.expect("a status"));
    note_command(transcript, system, "core list", &["core", "list"], is_complete_core);
    note_command(transcript, system, "status", &["status"], is_complete_status);
}

/// Notes what a command prints of one control node, once that is complete.
fn note_command(
    transcript: &mut Transcript,
    system: &System,
    title: &str,
    command: &[&str],
    is_complete: fn(&Value) -> bool,
) {
    let control = system.control_addr_text(1);
    let words = [command, &["--control", &control]].concat();
    let mut printed = String::new();
    wait_until(title, || {
        printed = system.run_command(&words).1;
        serde_json::from_str::<Value>(&printed).is_ok_and(|nodes| is_complete(&nodes[0]))
    });
    transcript.note(title, &body_form(&printed));
}

fn note_calls_of_clients(transcript: &mut Transcript, edge: SocketAddrV4, recorder: &Recorder) {
    let headers = "X-Glenfall-Try-Id: ab\r\nX-Glenfall-Deadline: 5000\r\nX-Custom: kept\r\n\
                   X-Glenfall-Other: kept\r\nX-Glenfall-Want-Server: dropped\r\nKeep-Alive: dropped\r\n";
    let ask =
        |line: &str, headers: &str, body: &str| request(edge, line, headers, body).map(|answer| answer.0);
    wait_until("reads and writes are served", || {
        ask("GET /r/first", "Host: h\r\n", "") == Some(200)
            && ask("POST /w/first", "Host: h\r\n", "") == Some(200)
    });
    let mut call = |line: &str, headers: &str, body: &str| transcript.call(edge, line, headers, body);
    assert_eq!(call("POST /w/write?q", headers, "body"), 200);
    assert_eq!(call("GET /r/read", headers, ""), 200);
    assert_eq!(call("GET /r/read", "If-None-Match: \"e\"\r\n", ""), 304);
    assert_eq!(call("GET /r/read", "Range: bytes=1-2\r\n", ""), 206);
    assert_eq!(call("GET /r/read", "Range: bytes=9-\r\n", ""), 416);
    assert_eq!(call("GET /none", headers, ""), 404);
    assert_eq!(call("POST /n/no-server", headers, ""), 503);
    transcript.note("the write, as its server gets it", &recorder.head_of("/w/write?q"));
    transcript.note("the read, as its server gets it", &recorder.head_of("/r/read"));
}

#[test]
fn what_is_said_over_http_has_the_forms_of_the_fixture() {
    let system = System::start(&["control", "shield"], &["agent", "edge"]);
    system.wait_for_chain(&[1, 2, 3], 3);
    let recorder = Recorder::start();
    let mut transcript = Transcript::default();
    let control = system.control_addr(1);
    wait_until("control reaches a majority", || {
        request(control, "GET /api/ready", "Host: h\r\n", "").is_some_and(|answer| answer.0 == 200)
    });
    let [edge, ready] = system.edge_addrs();
    note_calls_of_servers(&mut transcript, control, recorder.addr);
    note_calls_of_operators(&mut transcript, control);
    system.wait_until_ready();
    assert_eq!(transcript.call(ready, "GET /api/ready", "", ""), 200);
    note_calls_of_clients(&mut transcript, edge, &recorder);
    note_status(&mut transcript, &system);
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        return std::fs::write(FIXTURE, &transcript.0).expect("the fixture is written");
    }
    let expected = std::fs::read_to_string(FIXTURE).expect("the fixture is there");
    for (actual, expected) in transcript.0.split("\n== ").zip(expected.split("\n== ")) {
        assert_eq!(actual, expected);
    }
    assert_eq!(transcript.0, expected);
}
