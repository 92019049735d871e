//! Status, seal and body of whatever a client gets come from one response of one server, or from none: each path on
//! which a proxy gives another status than a server did, brought about over sockets.

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
    /// A whole, sealed response with this status.
    Status(u16),
    /// 304 where the request names the tag of the object, else 200.
    Conditional,
    /// The same, with the word that it has not run.
    NotRun(u16),
    /// A sealed 200 that ends before its body does.
    Cut,
    /// Closes the connection.
    Close,
    /// Says nothing for longer than any deadline here.
    Silence,
    /// A sealed failure, a little later.
    Slow(u16),
}

/// A response as it was sent, by its seal.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sealed {
    status: u16,
    body: String,
    try_id: String,
}

/// What all servers together do and did.
#[derive(Default)]
struct Script {
    /// For each path, what is done with the first request for it, with the second, and with all later ones.
    reactions: Mutex<HashMap<String, Vec<Reaction>>>,
    sent: Mutex<HashMap<String, Sealed>>,
    seals: AtomicUsize,
    arrivals: AtomicUsize,
}

impl Script {
    fn reaction(&self, path: &str) -> Reaction {
        let mut reactions = self.reactions.lock().unwrap();
        match reactions.get_mut(path) {
            Some(left) if left.len() > 1 => left.remove(0),
            Some(left) => left[0],
            None => Reaction::Status(200),
        }
    }

    /// Seals a response; the whole text, as it goes out.
    fn sealed(&self, status: u16, not_run: bool, try_id: &str) -> String {
        let number = self.seals.fetch_add(1, Ordering::Relaxed);
        let (seal, body) = (format!("seal-{number}"), format!("body of {number}"));
        // Without a body there is nothing but its status that a seal could be compared by.
        let body = if status == 304 { String::new() } else { body };
        let sealed = Sealed { status, body: body.clone(), try_id: try_id.to_owned() };
        self.sent.lock().unwrap().insert(seal.clone(), sealed);
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
            self.arrivals.fetch_add(1, Ordering::Relaxed);
            let sealed = |status, not_run| self.sealed(status, not_run, received.try_id());
            let text = match self.reaction(received.path()) {
                Reaction::Status(status) => sealed(status, false),
                Reaction::Conditional if received.header("if-none-match").is_some() => sealed(304, false),
                Reaction::Conditional => sealed(200, false),
                Reaction::NotRun(status) => sealed(status, true),
                Reaction::Cut => {
                    let whole = sealed(200, false);
                    let _ = stream.write_all(&whole.as_bytes()[..whole.len() - 1]);
                    return;
                }
                Reaction::Close => return,
                Reaction::Silence => {
                    std::thread::sleep(Duration::from_secs(4));
                    return;
                }
                Reaction::Slow(status) => {
                    std::thread::sleep(Duration::from_millis(150));
                    sealed(status, false)
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
    tries: AtomicUsize,
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
        let route = |name: &str, kind: &str, more: &str| {
            format!(
                r#"{{"name":"{name}","hostname":"h","pathPrefix":"/{name}/","type":"{kind}","deadlineMs":1500,
                    "targetMs":1000,"backend":"s","tries":2{more}}}"#
            )
        };
        let routes = [
            route("kept", "cacheable", r#","maxAgeS":600"#),
            route("fresh", "cacheable", r#","maxAgeS":0"#),
            route("twice", "idempotent", ""),
            route("once", "mutating", ""),
        ];
        let document = format!(r#"{{"rev":1,"paths":[{}],"backends":[{{"name":"s"}}]}}"#, routes.join(","));
        system.configure("put", 0, &document);
        system.wait_until_ready();
        let setup = Setup { system, script, tries: AtomicUsize::new(0) };
        wait_until("writes are served", || setup.ask("POST /once/warm", "").0 == 200);
        wait_until("reads come from shields", || setup.ask("GET /kept/warm", "").1.contains("\r\nage: "));
        setup
    }

    fn ask(&self, line: &str, headers: &str) -> Response {
        let id = self.tries.fetch_add(1, Ordering::Relaxed);
        let headers = format!("Host: h\r\nX-Glenfall-Try-Id: {id:x}\r\n{headers}");
        let heard = request(self.system.edge_addrs()[0], line, &headers, "").expect("a whole answer");
        self.check(line, &format!("{id:x}"), &heard);
        heard
    }

    /// A seal stands with the status and the body that it was given for, or, with 206, for an object and its range;
    /// and a failure's with the request that failed.
    fn check(&self, line: &str, try_id: &str, (status, head, body): &Response) {
        let Some(seal) = seal(head) else {
            assert!(!(200..300).contains(status), "{line}: a success without a seal: {head}");
            return;
        };
        let sent = self.script.sent.lock().unwrap()[seal].clone();
        if *status == 206 {
            assert!(sent.status == 200 && sent.body.contains(body.as_str()), "{line}: {head} of {sent:?}");
        } else {
            assert_eq!((*status, body), (sent.status, &sent.body), "{line}: {head}");
        }
        if !(200..300).contains(status) {
            assert_eq!(sent.try_id, try_id, "{line}: a failure of another request");
        }
    }
}

fn seal(head: &str) -> Option<&str> {
    head.lines().find_map(|line| line.strip_prefix("x-glenfall-seal: "))
}

#[test]
fn a_seal_stands_with_the_status_and_body_that_it_was_given_for_on_every_path() {
    use Reaction::{Close, Conditional, Cut, NotRun, Silence, Status};
    let setup = Setup::start();
    let none = "";
    let (tag, late) = ("If-None-Match: \"e\"\r\n", "X-Glenfall-Deadline: 300\r\n");
    let range = "Range: bytes=2-5\r\n";
    let beyond = "Range: bytes=999-\r\n";
    for (case, line, reactions, headers, status, has_seal) in [
        ("a server's success", "POST /once/1", vec![Status(200)], none, 200, true),
        ("its failure", "POST /once/2", vec![Status(500)], none, 500, true),
        ("its 404", "POST /once/3", vec![Status(404)], none, 404, true),
        ("it has not run", "POST /once/4", vec![NotRun(503)], none, 503, false),
        ("its ceiling", "POST /once/5", vec![NotRun(429)], none, 503, false),
        ("another server's", "POST /once/6", vec![NotRun(421)], none, 503, false),
        ("503 without the word", "POST /once/7", vec![Status(503)], none, 502, false),
        ("429 without the word", "POST /once/8", vec![Status(429)], none, 502, false),
        ("cut off", "POST /once/9", vec![Cut], none, 502, false),
        ("closed", "POST /once/10", vec![Close], none, 502, false),
        ("silent", "POST /once/11", vec![Silence], late, 504, false),
        ("failed, then not run", "PUT /twice/1", vec![Status(500), NotRun(503)], none, 500, true),
        ("failed, then cut off", "PUT /twice/2", vec![Status(500), Cut], none, 502, false),
        ("not run, then failed", "PUT /twice/3", vec![NotRun(503), Status(500)], none, 500, true),
        ("failed, then well", "PUT /twice/4", vec![Status(500), Status(200)], none, 200, true),
        ("failed twice", "PUT /twice/5", vec![Status(500), Status(501)], none, 501, true),
        ("503s without the word", "PUT /twice/6", vec![Status(503)], none, 503, true),
        ("a copy", "GET /kept/1", vec![Status(200)], none, 200, true),
        ("its range", "GET /kept/1", vec![], range, 206, true),
        ("beyond its end", "GET /kept/1", vec![], beyond, 416, false),
        ("the client's copy is good", "GET /kept/1", vec![], tag, 304, false),
        ("a miss beyond the end", "GET /kept/2", vec![Status(200)], beyond, 416, false),
        ("a copy asked for again", "GET /fresh/1", vec![Conditional], none, 200, true),
        ("unchanged at the server", "GET /fresh/1", vec![Conditional], none, 200, true),
        ("unchanged, and a range", "GET /fresh/1", vec![Conditional], range, 206, true),
        ("unchanged, beyond its end", "GET /fresh/1", vec![Conditional], beyond, 416, false),
        ("unchanged for both", "GET /fresh/1", vec![Conditional], tag, 304, false),
        ("a failure in place of a copy", "GET /fresh/1", vec![Status(500)], none, 500, true),
        ("through a shield: a 404", "GET /kept/4", vec![Status(404)], none, 404, true),
        ("through a shield: not run", "GET /kept/5", vec![NotRun(503)], none, 503, false),
        ("through a shield: cut off", "GET /kept/6", vec![Cut], none, 502, false),
        ("through a shield: silent", "GET /kept/7", vec![Silence], late, 504, false),
        ("no route", "GET /none/1", vec![], none, 404, false),
    ] {
        let path = line.split(' ').nth(1).unwrap();
        if !reactions.is_empty() {
            setup.script.reactions.lock().unwrap().insert(path.to_owned(), reactions);
        }
        let (told, head, _) = setup.ask(line, headers);
        assert_eq!((told, seal(&head).is_some()), (status, has_seal), "{case}: {head}");
    }
}

#[test]
fn those_who_waited_for_another_requests_failure_get_its_status_and_nothing_else_of_it() {
    let setup = Setup::start();
    let reactions = vec![Reaction::Slow(500)];
    setup.script.reactions.lock().unwrap().insert("/kept/joined".to_owned(), reactions);
    let before = setup.script.arrivals.load(Ordering::Relaxed);
    let heard: Vec<Response> = std::thread::scope(|scope| {
        let asked: Vec<_> = (0..6).map(|_| scope.spawn(|| setup.ask("GET /kept/joined", ""))).collect();
        asked.into_iter().map(|asked| asked.join().unwrap()).collect()
    });
    let sealed = heard.iter().filter(|(_, head, _)| seal(head).is_some()).count();
    let fetched = setup.script.arrivals.load(Ordering::Relaxed) - before;
    assert!(heard.iter().all(|(status, ..)| *status == 500), "{heard:?}");
    assert!(fetched < 12 && sealed < 6 && sealed > 0, "{sealed} seals, {fetched} fetches");
}
