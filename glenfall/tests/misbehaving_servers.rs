//! The forwarder against misbehaving servers, over real sockets. Servers respond early, late, twice, under the id of
//! another request, with truncated responses or not at all. No client may get the response of another request, no
//! request that is not idempotent may run twice, and a request that is reported as not run must not have run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::TRY_ID_HEADER;
use glenfall::memory_budget::MemoryBudget;
use glenfall::settings::Settings;
use glenfall::upstream::forward::{Forwarder, Outcome, UpstreamRequest};
use glenfall::upstream::pool::Pool;
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::messages::{ProxyRole, Server};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// A request without an outcome by then never gets one: each deadline is below a second.
const OUTCOME_TIMEOUT: Duration = Duration::from_mins(2);
/// Time until the deadline of each request; some servers do not respond within it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
const SERVER_COUNT: usize = 4;
const REQUESTS_PER_SEED: usize = 400;
const CONCURRENT_CLIENTS: usize = 16;

/// What servers do with a complete request. "respond" uses one of `RESPONSE_FRAMINGS`.
const COMPLETE_REQUEST_ACTIONS: [&str; 22] = [
    "respond",
    "respond",
    "respond",
    "respond",
    "respond",
    "respond twice",
    "repeat response later",
    "garbage later",
    "interim response later",
    "previous response first",
    "response to another request",
    "response without id",
    "garbage",
    "truncated response",
    "reset",
    "close",
    "no response",
    "interim response",
    "not run",
    "not run twice",
    "503 without not-run header",
    "endless body",
];
const RESPONSE_FRAMINGS: [&str; 5] =
    ["valid", "length and chunked", "no length", "no length and reset", "unsupported coding"];
/// What servers do with a request that they have not received completely.
const PARTIAL_REQUEST_ACTIONS: [&str; 9] = [
    "read on",
    "read on",
    "not run",
    "response to another request",
    "response without id",
    "interim response",
    "garbage",
    "reset",
    "close",
];

/// What all servers together have received and done.
#[derive(Default)]
struct Observations {
    /// How often each request ran, by its id.
    run_counts: BTreeMap<String, u32>,
    /// Requests that differ from what any client sent.
    unexpected_requests: Vec<String>,
    /// How often each action was taken, by stage and action.
    action_counts: BTreeMap<String, u32>,
}

/// What a server does with the connection after a response.
enum AfterResponse {
    KeepsConnection,
    /// Sends this text, which is the response to no request.
    SendsUnsolicited(String),
    Closes,
    Resets,
}

fn request_body(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// The parsed head of a request.
struct RequestHead {
    id: String,
    /// Length of the complete request in bytes, head and body.
    length: usize,
}

/// Parses the head of a request; `None` while it is incomplete, an error with the head if it is not as a client sends it.
fn parse_head(received: &[u8]) -> Option<Result<RequestHead, String>> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let value = |name: &str| {
        let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
        Some(line[name.len()..].trim().to_owned())
    };
    let id = value("x-glenfall-try-id:").unwrap_or_default();
    let length = value("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    let well_formed = head.starts_with(&format!("POST /w/{id} HTTP/1.1\r\n"));
    Some(if well_formed { Ok(RequestHead { id, length: end + length }) } else { Err(head) })
}

/// The request's id, once its header line has been received.
fn parse_try_id(received: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(received).to_ascii_lowercase();
    let (_, remaining) = text.split_once("x-glenfall-try-id: ")?;
    Some(remaining.split_once("\r\n")?.0.to_owned())
}

struct MisbehavingServer {
    observations: Rc<RefCell<Observations>>,
    rng: RefCell<ChaCha8Rng>,
}

impl MisbehavingServer {
    fn choose_action<'a>(&self, stage: &str, actions: &[&'a str]) -> &'a str {
        let action = actions.choose(&mut *self.rng.borrow_mut()).expect("at least one action");
        *self.observations.borrow_mut().action_counts.entry(format!("{stage}: {action}")).or_default() += 1;
        action
    }

    fn chance(&self, probability: f64) -> bool {
        self.rng.borrow_mut().random_bool(probability)
    }

    async fn pause(&self, max_ms: u64) {
        let ms = self.rng.borrow_mut().random_range(0..=max_ms);
        sleep(Duration::from_millis(ms)).await;
    }

    /// The id of a request that has run, other than `own_id`.
    fn another_request_id(&self, own_id: &str) -> String {
        let observations = self.observations.borrow();
        let others: Vec<&String> = observations.run_counts.keys().filter(|id| *id != own_id).collect();
        others.choose(&mut *self.rng.borrow_mut()).map_or("none".to_owned(), |id| (*id).clone())
    }

    /// A complete response with this try id.
    fn response(&self, status: u16, id: &str, extra_headers: &str) -> String {
        let body = format!("for {id} end");
        format!(
            "HTTP/1.1 {status} S\r\nX-Glenfall-Try-Id: {id}\r\n{extra_headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn not_run_response(&self, id: &str) -> String {
        self.response(
            *[503, 421].choose(&mut *self.rng.borrow_mut()).expect("a status"),
            id,
            "X-Glenfall-Not-Run: 1\r\n",
        )
    }

    /// A response with a framing drawn at random, and what the server does after it.
    fn response_with_framing(&self, id: &str) -> (String, AfterResponse) {
        let body = format!("for {id} end");
        let (framing, after_response) = match self.choose_action("framing", &RESPONSE_FRAMINGS) {
            "length and chunked" => (
                format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", body.len()),
                AfterResponse::Closes,
            ),
            // Complete: the response ends with the connection.
            "no length" => {
                return (
                    format!("HTTP/1.1 200 S\r\nX-Glenfall-Try-Id: {id}\r\n\r\n{body}"),
                    AfterResponse::Closes,
                )
            }
            "no length and reset" => (String::new(), AfterResponse::Resets),
            "unsupported coding" => ("Transfer-Encoding: gzip\r\n".to_owned(), AfterResponse::Closes),
            _ => return (self.response(200, id, ""), AfterResponse::KeepsConnection),
        };
        // The last bytes of the body are missing: the client must not get this as a complete response.
        (format!("HTTP/1.1 200 S\r\nX-Glenfall-Try-Id: {id}\r\n{framing}\r\nfor {id}"), after_response)
    }

    /// Serves a connection until it ends; returns `None` then.
    async fn serve_connection(&self, mut stream: TcpStream) -> Option<()> {
        let mut previous_response = self.response(200, "none", "");
        let mut received = Vec::new();
        loop {
            let (mut acts_early, mut acted_early, mut declared_not_run) = (self.chance(0.4), false, false);
            let request = loop {
                match parse_head(&received) {
                    Some(Ok(head)) if received.len() >= head.length => break head,
                    Some(Err(head)) => {
                        self.observations.borrow_mut().unexpected_requests.push(head);
                        return None;
                    }
                    _ => {}
                }
                if let Some(id) = parse_try_id(&received).filter(|_| acts_early) {
                    (acts_early, acted_early) = (false, true);
                    declared_not_run = self.handle_partial_request(&mut stream, &id).await?;
                }
                if stream.read_buf(&mut received).await.ok()? == 0 {
                    return None;
                }
            };
            let remaining = received.split_off(request.length);
            let body = &received[received.windows(4).position(|window| window == b"\r\n\r\n")? + 4..];
            // Only a client that got a response early may have sent its next request already.
            if body != request_body(&request.id, body.len()) || !(remaining.is_empty() || acted_early) {
                self.observations
                    .borrow_mut()
                    .unexpected_requests
                    .push(format!("{}, body or framing differs from what was sent", request.id));
                return None;
            }
            received = remaining;
            // A request that was declared not run must not run.
            if !declared_not_run {
                self.handle_complete_request(&mut stream, &request.id, &mut previous_response).await?;
            }
        }
    }

    /// Takes an action before a request is complete. Returns whether the request was declared not run; `None` when the
    /// connection is to end.
    async fn handle_partial_request(&self, stream: &mut TcpStream, id: &str) -> Option<bool> {
        let action = self.choose_action("partial request", &PARTIAL_REQUEST_ACTIONS);
        let other_id = self.another_request_id(id);
        let text = match action {
            "not run" => self.not_run_response(id),
            "response to another request" => self.response(200, &other_id, ""),
            "response without id" => {
                self.response(503, id, "X-Glenfall-Not-Run: 1\r\n").replace("X-Glenfall-Try", "X-Try")
            }
            "interim response" => "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
            "garbage" => "no answer at all\r\n\r\n".to_owned(),
            "reset" => {
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                return None;
            }
            "close" => return None,
            _ => return Some(false),
        };
        stream.write_all(text.as_bytes()).await.ok()?;
        Some(action == "not run")
    }

    /// Takes an action on a complete request; `None` when the connection is to end.
    async fn handle_complete_request(
        &self,
        stream: &mut TcpStream,
        id: &str,
        previous_response: &mut String,
    ) -> Option<()> {
        let action = self.choose_action("complete request", &COMPLETE_REQUEST_ACTIONS);
        if action.starts_with("not run") {
            if self.chance(0.2) {
                // After the deadline: the caller may have given up.
                sleep(REQUEST_TIMEOUT + Duration::from_millis(20)).await;
            }
            stream.write_all(self.not_run_response(id).as_bytes()).await.ok()?;
            if action == "not run twice" {
                self.pause(8).await;
                stream.write_all(self.not_run_response(id).as_bytes()).await.ok()?;
            }
            return Some(());
        }
        *self.observations.borrow_mut().run_counts.entry(id.to_owned()).or_default() += 1;
        let own_response = self.response(200, id, "");
        let send_unsolicited =
            |stream: &mut TcpStream, text: &str| stream.try_write(text.as_bytes()).is_ok().then_some(());
        let (text, after_response) = match action {
            "respond twice" => (own_response.clone() + &own_response, AfterResponse::KeepsConnection),
            "repeat response later" => {
                (own_response.clone(), AfterResponse::SendsUnsolicited(own_response.clone()))
            }
            "garbage later" => (own_response.clone(), AfterResponse::SendsUnsolicited("noise".to_owned())),
            "interim response later" => (
                own_response.clone(),
                AfterResponse::SendsUnsolicited("HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            ),
            "previous response first" => {
                (std::mem::take(previous_response) + &own_response, AfterResponse::KeepsConnection)
            }
            "response to another request" => {
                (self.response(200, &self.another_request_id(id), ""), AfterResponse::KeepsConnection)
            }
            "response without id" => {
                (own_response.replace("X-Glenfall-Try", "X-Try"), AfterResponse::KeepsConnection)
            }
            "garbage" => ("no answer at all\r\n\r\n".to_owned(), AfterResponse::Closes),
            "interim response" => {
                ("HTTP/1.1 102 Processing\r\n\r\n".to_owned() + &own_response, AfterResponse::KeepsConnection)
            }
            "503 without not-run header" => (self.response(503, id, ""), AfterResponse::KeepsConnection),
            "truncated response" => {
                let length = self.rng.borrow_mut().random_range(0..own_response.len());
                stream.write_all(&own_response.as_bytes()[..length]).await.ok()?;
                return None;
            }
            "reset" => {
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                return None;
            }
            "close" => return None,
            "no response" => {
                // Waits until the caller gives up.
                let _ = stream.read(&mut [0; 64]).await;
                return None;
            }
            "endless body" => {
                let head = format!(
                    "HTTP/1.1 200 S\r\nX-Glenfall-Try-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await.ok()?;
                loop {
                    stream.write_all(b"4\r\nmore\r\n").await.ok()?;
                    sleep(Duration::from_millis(5)).await;
                }
            }
            _ => self.response_with_framing(id),
        };
        *previous_response = own_response;
        self.pause(3).await;
        stream.write_all(text.as_bytes()).await.ok()?;
        match after_response {
            AfterResponse::KeepsConnection => Some(()),
            AfterResponse::SendsUnsolicited(unsolicited) => {
                // Arrives while the connection is idle, or in place of the next response.
                self.pause(12).await;
                send_unsolicited(stream, &unsolicited)
            }
            AfterResponse::Closes => None,
            AfterResponse::Resets => {
                // A reset discards what the client has not read: the pause lets it read the response in some cases.
                self.pause(5).await;
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                None
            }
        }
    }
}

async fn start_server(number: usize, seed: u64, observations: &Rc<RefCell<Observations>>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let port = listener.local_addr().expect("a local address").port();
    let rng = ChaCha8Rng::seed_from_u64(seed * SERVER_COUNT as u64 + number as u64);
    let server = Rc::new(MisbehavingServer { observations: Rc::clone(observations), rng: RefCell::new(rng) });
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let server = Rc::clone(&server);
            spawn_local(async move { server.serve_connection(stream).await });
        }
    });
    Server {
        id: format!("server-{number}"),
        backend: "s".into(),
        addr: SocketAddrV4::new([127, 0, 0, 1].into(), port),
        zone: "z".into(),
        capacity: 64,
        ready: true,
        warmup_left_ms: 0,
    }
}

fn forwarder_to(servers: Vec<Server>) -> Forwarder {
    let settings = Settings::parse(
        "node = \"n\"\nzone = \"z\"\nbindIp = \"127.0.0.1\"\nportRange = [1, 9]\nseedNodes = [\"127.0.0.1:1\"]\n\
         [listeners]\n[timing]\nretryRatio = 1.2\nretrySlack = 0\n",
    );
    let forwarder = Forwarder::new(
        Pool::new(64, MemoryBudget::new(64 << 20)),
        &settings.expect("settings"),
        ProxyRole::Edge,
    );
    forwarder.update(&Fleet { complete: true, servers, shields: Vec::new(), edges: vec![1], cores: 1 });
    forwarder
}

/// Number of requests by outcome.
type OutcomeCounts = BTreeMap<&'static str, u32>;

/// Sends one request and checks its response. Returns the outcome, and whether the request was idempotent.
/// `run_seed` checks that requests reported as not run have not run.
async fn send_request(forwarder: &Forwarder, id: &str, mut rng: ChaCha8Rng) -> (&'static str, bool) {
    let is_idempotent = rng.random_bool(0.3);
    // Some bodies are too large for a single write.
    let length =
        if rng.random_bool(0.1) { rng.random_range(1 << 20..6 << 20) } else { rng.random_range(0..64) };
    let uri: Uri = format!("/w/{id}").parse().expect("a path");
    let mut headers = HeaderMap::new();
    headers.insert(TRY_ID_HEADER, HeaderValue::from_str(id).expect("an id"));
    forwarder.record_client_request("s");
    let request = UpstreamRequest {
        service: "s",
        method: &Method::POST,
        uri: &uri,
        headers,
        body: Bytes::from(request_body(id, length)),
        idempotent: is_idempotent,
        max_attempts: 3,
        is_retry: false,
        deadline: Instant::now() + REQUEST_TIMEOUT,
        latency_target: REQUEST_TIMEOUT,
        priority_rank: 0.0,
        rate_limit_per_s: None,
    };
    let disconnect_after = rng.random_bool(0.05).then(|| Duration::from_millis(rng.random_range(0..20)));
    let outcome = tokio::select! {
        outcome = timeout(OUTCOME_TIMEOUT, forwarder.send(request)) => outcome.expect("an outcome"),
        () = async { sleep(disconnect_after.unwrap_or(OUTCOME_TIMEOUT)).await } =>
            return ("client disconnected", is_idempotent),
    };
    let outcome_name = match outcome {
        Outcome::Answered(reply) => {
            let body = String::from_utf8_lossy(reply.body()).into_owned();
            assert_eq!(body, format!("for {id} end"), "the complete response to this request");
            let claims_not_run = matches!(reply.status().as_u16(), 408 | 421 | 429 | 503);
            assert!(
                is_idempotent || !claims_not_run,
                "{id}: the response status says that the request was not run, but its server did not say so"
            );
            "answered"
        }
        Outcome::NotRun(_) => "not run",
        Outcome::Unknown(_) => "unknown",
        Outcome::TimedOut(_) => "timed out",
    };
    (outcome_name, is_idempotent)
}

async fn run_seed(seed: u64) -> (OutcomeCounts, BTreeMap<String, u32>) {
    let observations = Rc::new(RefCell::new(Observations::default()));
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        servers.push(start_server(number, seed, &observations).await);
    }
    let forwarder = Rc::new(forwarder_to(servers));
    let next_number = Rc::new(Cell::new(0));
    let mut clients = JoinSet::new();
    for client in 0..CONCURRENT_CLIENTS {
        let (forwarder, next_number) = (Rc::clone(&forwarder), Rc::clone(&next_number));
        let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | 1 << 16 | client as u64);
        clients.spawn_local(async move {
            let mut outcomes = Vec::new();
            while next_number.get() < REQUESTS_PER_SEED {
                let id = format!("{seed}-{}", next_number.replace(next_number.get() + 1));
                let request_rng = ChaCha8Rng::seed_from_u64(rng.random());
                outcomes.push((id.clone(), send_request(&forwarder, &id, request_rng).await));
                if rng.random_bool(0.2) {
                    // Leaves some connections idle for longer than the pool trusts them (`MAX_TRUSTED_IDLE_TIME`).
                    sleep(Duration::from_millis(rng.random_range(1..150))).await;
                }
            }
            outcomes
        });
    }
    let outcomes: Vec<_> = clients.join_all().await.into_iter().flatten().collect();
    // Lets requests that are still in flight reach their servers.
    sleep(2 * REQUEST_TIMEOUT).await;
    let observations = observations.borrow();
    assert!(
        observations.unexpected_requests.is_empty(),
        "seed {seed}: servers received requests that no client sent: {:?}",
        observations.unexpected_requests
    );
    let mut counts = OutcomeCounts::new();
    for (id, (outcome, is_idempotent)) in outcomes {
        *counts.entry(outcome).or_default() += 1;
        let runs = observations.run_counts.get(&id).copied().unwrap_or(0);
        assert!(is_idempotent || runs <= 1, "seed {seed}: {id} ran {runs} times, {outcome}");
        assert!(
            is_idempotent || outcome != "not run" || runs == 0,
            "seed {seed}: {id} was reported as not run, but ran"
        );
    }
    (counts, observations.action_counts.clone())
}

#[test]
fn with_misbehaving_servers_clients_get_their_own_responses_and_nothing_runs_twice() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (mut outcome_counts, mut action_counts) = (OutcomeCounts::new(), BTreeMap::<String, u32>::new());
        for seed in 1..=6 {
            let (counts, actions) = run_seed(seed).await;
            counts.into_iter().for_each(|(name, times)| *outcome_counts.entry(name).or_default() += times);
            actions.into_iter().for_each(|(name, times)| *action_counts.entry(name).or_default() += times);
        }
        println!("{outcome_counts:?}\n{action_counts:?}");
        // Each action was taken and each outcome occurred.
        let actions = COMPLETE_REQUEST_ACTIONS.iter().map(|action| format!("complete request: {action}"));
        let actions =
            actions.chain(PARTIAL_REQUEST_ACTIONS.iter().map(|action| format!("partial request: {action}")));
        for action in actions.chain(RESPONSE_FRAMINGS.iter().map(|framing| format!("framing: {framing}"))) {
            assert!(action_counts.contains_key(&action), "action never taken: {action}");
        }
        for name in ["answered", "not run", "unknown", "timed out", "client disconnected"] {
            assert!(outcome_counts.contains_key(name), "outcome never occurred: {name}");
        }
    });
}
