//! Checks over sockets that the status, seal and body of each response to a client come from the same response of one
//! server, or that there is no seal. Covers each case in which a proxy responds with another status than the server.

mod common;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{receive_request, request, wait_until, Response, System};

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    /// A complete, sealed response with this status.
    Status(u16),
    /// A sealed 304 if the request has an `If-None-Match` header, otherwise a sealed 200.
    Conditional,
    /// A sealed response with this status, and with the header that declares the request not run.
    NotRun(u16),
    /// A sealed 200 without the last byte of its body.
    TruncatedBody,
    /// Closes the connection without a response.
    CloseConnection,
    /// Sends nothing for longer than any deadline here, then closes the connection.
    NoResponse,
    /// A sealed response with this status, after a delay.
    Delayed(u16),
}

/// A response as a server sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentResponse {
    status: u16,
    body: String,
    try_id: String,
}

/// How all servers respond, and what they have sent.
#[derive(Default)]
struct Script {
    /// The reactions to successive requests for a path; the last one is repeated.
    reactions: Mutex<HashMap<String, Vec<Reaction>>>,
    sent_by_seal: Mutex<HashMap<String, SentResponse>>,
    next_seal: AtomicUsize,
    request_count: AtomicUsize,
}

impl Script {
    fn reaction(&self, path: &str) -> Reaction {
        let mut reactions = self.reactions.lock().unwrap();
        match reactions.get_mut(path) {
            Some(remaining) if remaining.len() > 1 => remaining.remove(0),
            Some(remaining) => remaining[0],
            None => Reaction::Status(200),
        }
    }

    /// Builds a response with a new seal and keeps it in `sent_by_seal`; returns its full text.
    fn sealed_response(&self, status: u16, not_run: bool, try_id: &str) -> String {
        let number = self.next_seal.fetch_add(1, Ordering::Relaxed);
        let (seal, body) = (format!("seal-{number}"), format!("body of {number}"));
        // A 304 has no body: only its status can be compared by its seal.
        let body = if status == 304 { String::new() } else { body };
        let sent = SentResponse { status, body: body.clone(), try_id: try_id.to_owned() };
        self.sent_by_seal.lock().unwrap().insert(seal.clone(), sent);
        let not_run = if not_run { "X-Glenfall-Not-Run: 1\r\n" } else { "" };
        let length =
            if status == 304 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!(
            "HTTP/1.1 {status} S\r\nX-Glenfall-Try-Id: {try_id}\r\nX-Glenfall-Seal: {seal}\r\nETag: \"e\"\r\n\
             {not_run}{length}\r\n{body}"
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(received) = receive_request(&mut reader) {
            self.request_count.fetch_add(1, Ordering::Relaxed);
            let respond = |status, not_run| self.sealed_response(status, not_run, received.try_id());
            let text = match self.reaction(received.path()) {
                Reaction::Status(status) => respond(status, false),
                Reaction::Conditional if received.header("if-none-match").is_some() => respond(304, false),
                Reaction::Conditional => respond(200, false),
                Reaction::NotRun(status) => respond(status, true),
                Reaction::TruncatedBody => {
                    let complete = respond(200, false);
                    let _ = stream.write_all(&complete.as_bytes()[..complete.len() - 1]);
                    return;
                }
                Reaction::CloseConnection => return,
                Reaction::NoResponse => {
                    std::thread::sleep(Duration::from_secs(4));
                    return;
                }
                Reaction::Delayed(status) => {
                    std::thread::sleep(Duration::from_millis(150));
                    respond(status, false)
                }
            };
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn start(script: &Arc<Script>) -> SocketAddrV4 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let script = Arc::clone(script);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let script = Arc::clone(&script);
                std::thread::spawn(move || script.serve(stream));
            }
        });
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
    }
}

struct Setup {
    system: System,
    script: Arc<Script>,
    next_try_id: AtomicUsize,
}

impl Setup {
    fn start() -> Setup {
        let system = System::start_with_settings(
            &["control", "shield"],
            &["agent", "edge"],
            "[timing]\nretryRatio = 4.0\n",
        );
        system.wait_for_chain(&[1, 2, 3], 3);
        let script = Arc::new(Script::default());
        for id in ["a", "b"] {
            system.send_heartbeat(id, "s", Script::start(&script), "ready", 1);
        }
        let route = |name: &str, kind: &str, extra_members: &str| {
            format!(
                r#"{{"name":"{name}","hostname":"h","pathPrefix":"/{name}/","type":"{kind}","deadlineMs":1500,
                    "targetMs":1000,"backend":"s","tries":2{extra_members}}}"#
            )
        };
        let routes = [
            route("cached", "cacheable", r#","maxAgeS":600"#),
            route("revalidated", "cacheable", r#","maxAgeS":0"#),
            route("idempotent", "idempotent", ""),
            route("mutating", "mutating", ""),
        ];
        let document = format!(r#"{{"rev":1,"paths":[{}],"backends":[{{"name":"s"}}]}}"#, routes.join(","));
        system.configure("put", 0, &document);
        system.wait_until_ready();
        let setup = Setup { system, script, next_try_id: AtomicUsize::new(0) };
        wait_until("writes are served", || setup.send_request("POST /mutating/warm", "").0 == 200);
        wait_until("reads are cached", || setup.send_request("GET /cached/warm", "").1.contains("\r\nage: "));
        setup
    }

    fn send_request(&self, line: &str, headers: &str) -> Response {
        let id = self.next_try_id.fetch_add(1, Ordering::Relaxed);
        let headers = format!("Host: h\r\nX-Glenfall-Try-Id: {id:x}\r\n{headers}");
        let response = request(self.system.edge_addrs()[0], line, &headers, "").expect("a complete response");
        self.check_seal(line, &format!("{id:x}"), &response);
        response
    }

    /// Checks that a seal comes with the status and the body for which it was issued; a 206 has a part of that body.
    /// The seal of a failure must belong to the request itself.
    fn check_seal(&self, line: &str, try_id: &str, (status, head, body): &Response) {
        let Some(seal) = seal(head) else {
            assert!(!(200..300).contains(status), "{line}: a success without a seal: {head}");
            return;
        };
        let sent = self.script.sent_by_seal.lock().unwrap()[seal].clone();
        if *status == 206 {
            assert!(sent.status == 200 && sent.body.contains(body.as_str()), "{line}: {head} of {sent:?}");
        } else {
            assert_eq!((*status, body), (sent.status, &sent.body), "{line}: {head}");
        }
        if !(200..300).contains(status) {
            assert_eq!(sent.try_id, try_id, "{line}: the seal of another request's failure");
        }
    }
}

fn seal(head: &str) -> Option<&str> {
    head.lines().find_map(|line| line.strip_prefix("x-glenfall-seal: "))
}

#[test]
fn a_seal_is_returned_only_with_the_status_and_body_it_was_issued_for() {
    use Reaction::{CloseConnection, Conditional, NoResponse, NotRun, Status, TruncatedBody};
    let setup = Setup::start();
    let no_headers = "";
    let (if_none_match, short_deadline) = ("If-None-Match: \"e\"\r\n", "X-Glenfall-Deadline: 300\r\n");
    let range = "Range: bytes=2-5\r\n";
    let range_beyond_end = "Range: bytes=999-\r\n";
    for (case, line, reactions, headers, status, has_seal) in [
        ("a server's success", "POST /mutating/1", vec![Status(200)], no_headers, 200, true),
        ("a server's failure", "POST /mutating/2", vec![Status(500)], no_headers, 500, true),
        ("a server's 404", "POST /mutating/3", vec![Status(404)], no_headers, 404, true),
        ("not run (503)", "POST /mutating/4", vec![NotRun(503)], no_headers, 503, false),
        (
            "not run, over the server's limit (429)",
            "POST /mutating/5",
            vec![NotRun(429)],
            no_headers,
            503,
            false,
        ),
        (
            "not run, meant for another server (421)",
            "POST /mutating/6",
            vec![NotRun(421)],
            no_headers,
            503,
            false,
        ),
        ("503 without the not-run header", "POST /mutating/7", vec![Status(503)], no_headers, 502, false),
        ("429 without the not-run header", "POST /mutating/8", vec![Status(429)], no_headers, 502, false),
        ("truncated body", "POST /mutating/9", vec![TruncatedBody], no_headers, 502, false),
        ("connection closed", "POST /mutating/10", vec![CloseConnection], no_headers, 502, false),
        ("no response", "POST /mutating/11", vec![NoResponse], short_deadline, 504, false),
        ("failed, then not run", "PUT /idempotent/1", vec![Status(500), NotRun(503)], no_headers, 500, true),
        (
            "failed, then truncated",
            "PUT /idempotent/2",
            vec![Status(500), TruncatedBody],
            no_headers,
            502,
            false,
        ),
        ("not run, then failed", "PUT /idempotent/3", vec![NotRun(503), Status(500)], no_headers, 500, true),
        (
            "failed, then succeeded",
            "PUT /idempotent/4",
            vec![Status(500), Status(200)],
            no_headers,
            200,
            true,
        ),
        ("failed twice", "PUT /idempotent/5", vec![Status(500), Status(501)], no_headers, 501, true),
        ("503s without the not-run header", "PUT /idempotent/6", vec![Status(503)], no_headers, 503, true),
        ("a cached response", "GET /cached/1", vec![Status(200)], no_headers, 200, true),
        ("a range of a cached response", "GET /cached/1", vec![], range, 206, true),
        ("a range beyond its end", "GET /cached/1", vec![], range_beyond_end, 416, false),
        ("the client's cached response is current", "GET /cached/1", vec![], if_none_match, 304, false),
        (
            "cache miss, range beyond the end",
            "GET /cached/2",
            vec![Status(200)],
            range_beyond_end,
            416,
            false,
        ),
        ("a first fetch, to be revalidated", "GET /revalidated/1", vec![Conditional], no_headers, 200, true),
        ("revalidated", "GET /revalidated/1", vec![Conditional], no_headers, 200, true),
        ("revalidated, with a range", "GET /revalidated/1", vec![Conditional], range, 206, true),
        (
            "revalidated, range beyond end",
            "GET /revalidated/1",
            vec![Conditional],
            range_beyond_end,
            416,
            false,
        ),
        (
            "revalidated, client's is current",
            "GET /revalidated/1",
            vec![Conditional],
            if_none_match,
            304,
            false,
        ),
        ("revalidation fails", "GET /revalidated/1", vec![Status(500)], no_headers, 500, true),
        ("through a shield: a 404", "GET /cached/4", vec![Status(404)], no_headers, 404, true),
        ("through a shield: not run", "GET /cached/5", vec![NotRun(503)], no_headers, 503, false),
        ("through a shield: truncated body", "GET /cached/6", vec![TruncatedBody], no_headers, 502, false),
        ("through a shield: no response", "GET /cached/7", vec![NoResponse], short_deadline, 504, false),
        ("no route", "GET /none/1", vec![], no_headers, 404, false),
    ] {
        let path = line.split(' ').nth(1).unwrap();
        if !reactions.is_empty() {
            setup.script.reactions.lock().unwrap().insert(path.to_owned(), reactions);
        }
        let (actual_status, head, _) = setup.send_request(line, headers);
        assert_eq!((actual_status, seal(&head).is_some()), (status, has_seal), "{case}: {head}");
    }
}

#[test]
fn coalesced_requests_get_only_the_status_of_a_failed_fetch() {
    let setup = Setup::start();
    let reactions = vec![Reaction::Delayed(500)];
    setup.script.reactions.lock().unwrap().insert("/cached/coalesced".to_owned(), reactions);
    let count_before = setup.script.request_count.load(Ordering::Relaxed);
    let responses: Vec<Response> = std::thread::scope(|scope| {
        let handles: Vec<_> =
            (0..6).map(|_| scope.spawn(|| setup.send_request("GET /cached/coalesced", ""))).collect();
        handles.into_iter().map(|handle| handle.join().unwrap()).collect()
    });
    let seal_count = responses.iter().filter(|(_, head, _)| seal(head).is_some()).count();
    let fetch_count = setup.script.request_count.load(Ordering::Relaxed) - count_before;
    assert!(responses.iter().all(|(status, ..)| *status == 500), "{responses:?}");
    assert!(
        fetch_count < 12 && seal_count < 6 && seal_count > 0,
        "{seal_count} seals, {fetch_count} fetches"
    );
}
