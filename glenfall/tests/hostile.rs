//! Servers that keep to nothing, over real sockets, against the proxies' way to servers: whatever they answer, early, twice,
//! late, under another id, cut or not at all, no client gets another's answer, nothing runs twice that may not, and a
//! promise that a request has not run holds.

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

/// A request that has no final answer by then never gets one; none has over a second of its own.
const FINAL: Duration = Duration::from_mins(2);
/// How long a request may take: shorter than some servers are silent.
const PATIENCE: Duration = Duration::from_millis(300);
const SERVERS: usize = 4;
const REQUESTS: usize = 400;
const AT_ONCE: usize = 16;

/// What servers do once they have a request whole, beside answering it as they should.
const ACTS: [&str; 22] = [
    "well",
    "well",
    "well",
    "well",
    "well",
    "twice",
    "twice late",
    "noise late",
    "interim late",
    "old answer first",
    "another's answer",
    "nobody's answer",
    "noise",
    "cut",
    "reset",
    "close",
    "silence",
    "interim",
    "not run",
    "not run and more",
    "promise without the word",
    "endless",
];
const FRAMES: [&str; 5] = ["well", "two lengths", "no length", "no length and reset", "other coding"];
/// What they do with one that they don't have whole yet.
const EARLY: [&str; 9] = [
    "read on",
    "read on",
    "not run",
    "another's answer",
    "nobody's answer",
    "interim",
    "noise",
    "reset",
    "close",
];

/// What all servers together have seen.
#[derive(Default)]
struct Ledger {
    /// How often each request ran.
    ran: BTreeMap<String, u32>,
    /// Requests that nobody sent so.
    unasked: Vec<String>,
    /// How often each thing was done.
    done: BTreeMap<String, u32>,
}

/// What follows an answer on its connection.
enum Then {
    GoesOn,
    /// Something that nobody asked for.
    Says(String),
    Closes,
    Resets,
}

fn body_of(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// A request as far as it has come.
struct Arrived {
    id: String,
    /// Of the whole request.
    length: usize,
}

/// Reads the head once it is whole.
fn arrived(heard: &[u8]) -> Option<Result<Arrived, String>> {
    let end = heard.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&heard[..end]).into_owned();
    let value = |name: &str| {
        let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
        Some(line[name.len()..].trim().to_owned())
    };
    let id = value("x-glenfall-try-id:").unwrap_or_default();
    let length = value("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    let sound = head.starts_with(&format!("POST /w/{id} HTTP/1.1\r\n"));
    Some(if sound { Ok(Arrived { id, length: end + length }) } else { Err(head) })
}

/// Which request it is, once as much of it has come.
fn named(heard: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(heard).to_ascii_lowercase();
    let (_, rest) = text.split_once("x-glenfall-try-id: ")?;
    Some(rest.split_once("\r\n")?.0.to_owned())
}

struct Hostile {
    ledger: Rc<RefCell<Ledger>>,
    rng: RefCell<ChaCha8Rng>,
}

impl Hostile {
    fn draw<'a>(&self, kind: &str, acts: &[&'a str]) -> &'a str {
        let act = acts.choose(&mut *self.rng.borrow_mut()).expect("some");
        *self.ledger.borrow_mut().done.entry(format!("{kind}: {act}")).or_default() += 1;
        act
    }

    fn chance(&self, share: f64) -> bool {
        self.rng.borrow_mut().random_bool(share)
    }

    async fn pause(&self, most_ms: u64) {
        let ms = self.rng.borrow_mut().random_range(0..=most_ms);
        sleep(Duration::from_millis(ms)).await;
    }

    /// Some other request's id.
    fn another(&self, own: &str) -> String {
        let ledger = self.ledger.borrow();
        let others: Vec<&String> = ledger.ran.keys().filter(|id| *id != own).collect();
        others.choose(&mut *self.rng.borrow_mut()).map_or("nobody".to_owned(), |id| (*id).clone())
    }

    /// An answer that says whose it is.
    fn answer(&self, status: u16, id: &str, more: &str) -> String {
        let body = format!("for {id} end");
        format!(
            "HTTP/1.1 {status} S\r\nX-Glenfall-Try-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn not_run(&self, id: &str) -> String {
        self.answer(
            *[503, 421].choose(&mut *self.rng.borrow_mut()).expect("some"),
            id,
            "X-Glenfall-Not-Run: 1\r\n",
        )
    }

    /// The same in a frame of another kind, and what follows it.
    fn framed(&self, id: &str) -> (String, Then) {
        let body = format!("for {id} end");
        let (frame, then) = match self.draw("frame", &FRAMES) {
            "two lengths" => {
                (format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", body.len()), Then::Closes)
            }
            // Whole, and its end is the connection's.
            "no length" => {
                return (format!("HTTP/1.1 200 S\r\nX-Glenfall-Try-Id: {id}\r\n\r\n{body}"), Then::Closes)
            }
            "no length and reset" => (String::new(), Then::Resets),
            "other coding" => ("Transfer-Encoding: gzip\r\n".to_owned(), Then::Closes),
            _ => return (self.answer(200, id, ""), Then::GoesOn),
        };
        // The end is missing: it must not pass for a whole answer.
        (format!("HTTP/1.1 200 S\r\nX-Glenfall-Try-Id: {id}\r\n{frame}\r\nfor {id}"), then)
    }

    /// Serves a connection until it ends; `None` once it has.
    async fn connection(&self, mut stream: TcpStream) -> Option<()> {
        let mut last = self.answer(200, "nobody", "");
        let mut heard = Vec::new();
        loop {
            let (mut early, mut said_early, mut said_not_run) = (self.chance(0.4), false, false);
            let request = loop {
                match arrived(&heard) {
                    Some(Ok(arrived)) if heard.len() >= arrived.length => break arrived,
                    Some(Err(head)) => {
                        self.ledger.borrow_mut().unasked.push(head);
                        return None;
                    }
                    _ => {}
                }
                if let Some(id) = named(&heard).filter(|_| early) {
                    (early, said_early) = (false, true);
                    said_not_run = self.act_early(&mut stream, &id).await?;
                }
                if stream.read_buf(&mut heard).await.ok()? == 0 {
                    return None;
                }
            };
            let rest = heard.split_off(request.length);
            let body = &heard[heard.windows(4).position(|four| four == b"\r\n\r\n")? + 4..];
            // One at a time, but where an answer crossed the end of its request.
            if body != body_of(&request.id, body.len()) || !(rest.is_empty() || said_early) {
                self.ledger.borrow_mut().unasked.push(format!("{}, not as it was sent", request.id));
                return None;
            }
            heard = rest;
            // A server keeps its word, if nothing else.
            if !said_not_run {
                self.act(&mut stream, &request.id, &mut last).await?;
            }
        }
    }

    /// Does something before a request is there whole, and says whether it was to tell that this one will not run;
    /// `None` where the connection ends by it.
    async fn act_early(&self, stream: &mut TcpStream, id: &str) -> Option<bool> {
        let act = self.draw("early", &EARLY);
        let other = self.another(id);
        let text = match act {
            "not run" => self.not_run(id),
            "another's answer" => self.answer(200, &other, ""),
            "nobody's answer" => {
                self.answer(503, id, "X-Glenfall-Not-Run: 1\r\n").replace("X-Glenfall-Try", "X-Try")
            }
            "interim" => "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
            "noise" => "no answer at all\r\n\r\n".to_owned(),
            "reset" => {
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                return None;
            }
            "close" => return None,
            _ => return Some(false),
        };
        stream.write_all(text.as_bytes()).await.ok()?;
        Some(act == "not run")
    }

    /// Does something with a request that is there whole.
    async fn act(&self, stream: &mut TcpStream, id: &str, last: &mut String) -> Option<()> {
        let act = self.draw("whole", &ACTS);
        if act.starts_with("not run") {
            if self.chance(0.2) {
                // Its caller may have given up.
                sleep(PATIENCE + Duration::from_millis(20)).await;
            }
            stream.write_all(self.not_run(id).as_bytes()).await.ok()?;
            if act == "not run and more" {
                self.pause(8).await;
                stream.write_all(self.not_run(id).as_bytes()).await.ok()?;
            }
            return Some(());
        }
        *self.ledger.borrow_mut().ran.entry(id.to_owned()).or_default() += 1;
        let own = self.answer(200, id, "");
        let surplus =
            |stream: &mut TcpStream, text: &str| stream.try_write(text.as_bytes()).is_ok().then_some(());
        let (text, then) = match act {
            "twice" => (own.clone() + &own, Then::GoesOn),
            "twice late" => (own.clone(), Then::Says(own.clone())),
            "noise late" => (own.clone(), Then::Says("noise".to_owned())),
            "interim late" => (own.clone(), Then::Says("HTTP/1.1 100 Continue\r\n\r\n".to_owned())),
            "old answer first" => (std::mem::take(last) + &own, Then::GoesOn),
            "another's answer" => (self.answer(200, &self.another(id), ""), Then::GoesOn),
            "nobody's answer" => (own.replace("X-Glenfall-Try", "X-Try"), Then::GoesOn),
            "noise" => ("no answer at all\r\n\r\n".to_owned(), Then::Closes),
            "interim" => ("HTTP/1.1 102 Processing\r\n\r\n".to_owned() + &own, Then::GoesOn),
            "promise without the word" => (self.answer(503, id, ""), Then::GoesOn),
            "cut" => {
                let at = self.rng.borrow_mut().random_range(0..own.len());
                stream.write_all(&own.as_bytes()[..at]).await.ok()?;
                return None;
            }
            "reset" => {
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                return None;
            }
            "close" => return None,
            "silence" => {
                // Until its caller gives up.
                let _ = stream.read(&mut [0; 64]).await;
                return None;
            }
            "endless" => {
                let head = format!(
                    "HTTP/1.1 200 S\r\nX-Glenfall-Try-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await.ok()?;
                loop {
                    stream.write_all(b"4\r\nmore\r\n").await.ok()?;
                    sleep(Duration::from_millis(5)).await;
                }
            }
            _ => self.framed(id),
        };
        *last = own;
        self.pause(3).await;
        stream.write_all(text.as_bytes()).await.ok()?;
        match then {
            Then::GoesOn => Some(()),
            Then::Says(after) => {
                // While it is idle, or where the next answer is due.
                self.pause(12).await;
                surplus(stream, &after)
            }
            Then::Closes => None,
            Then::Resets => {
                // What was written before is read first, if it is read at all.
                self.pause(5).await;
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                None
            }
        }
    }
}

async fn start(number: usize, seed: u64, ledger: &Rc<RefCell<Ledger>>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let port = listener.local_addr().expect("its address").port();
    let rng = ChaCha8Rng::seed_from_u64(seed * SERVERS as u64 + number as u64);
    let hostile = Rc::new(Hostile { ledger: Rc::clone(ledger), rng: RefCell::new(rng) });
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let hostile = Rc::clone(&hostile);
            spawn_local(async move { hostile.connection(stream).await });
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

fn way(servers: Vec<Server>) -> Forwarder {
    let boot = Settings::parse(
        "node = \"n\"\nzone = \"z\"\nbindIp = \"127.0.0.1\"\nportRange = [1, 9]\nseedNodes = [\"127.0.0.1:1\"]\n\
         [listeners]\n[timing]\nretryRatio = 1.2\nretrySlack = 0\n",
    );
    let direct =
        Forwarder::new(Pool::new(64, MemoryBudget::new(64 << 20)), &boot.expect("settings"), ProxyRole::Edge);
    direct.update(&Fleet { complete: true, servers, shields: Vec::new(), edges: vec![1], cores: 1 });
    direct
}

/// What came of all requests, by its name.
type Told = BTreeMap<&'static str, u32>;

/// Sends one request and checks what is said of it at once. The other half of a promise is checked at the end.
async fn send(direct: &Forwarder, id: &str, mut rng: ChaCha8Rng) -> (&'static str, bool) {
    let repeatable = rng.random_bool(0.3);
    // Some are written in several parts.
    let length =
        if rng.random_bool(0.1) { rng.random_range(1 << 20..6 << 20) } else { rng.random_range(0..64) };
    let uri: Uri = format!("/w/{id}").parse().expect("a path");
    let mut headers = HeaderMap::new();
    headers.insert(TRY_ID_HEADER, HeaderValue::from_str(id).expect("an id"));
    direct.record_client_request("s");
    let job = UpstreamRequest {
        service: "s",
        method: &Method::POST,
        uri: &uri,
        headers,
        body: Bytes::from(body_of(id, length)),
        idempotent: repeatable,
        max_attempts: 3,
        is_retry: false,
        deadline: Instant::now() + PATIENCE,
        latency_target: PATIENCE,
        priority_rank: 0.0,
        rate_limit_per_s: None,
    };
    let gone = rng.random_bool(0.05).then(|| Duration::from_millis(rng.random_range(0..20)));
    let outcome = tokio::select! {
        outcome = timeout(FINAL, direct.send(job)) => outcome.expect("a final answer"),
        () = async { sleep(gone.unwrap_or(FINAL)).await } => return ("client gone", repeatable),
    };
    let told = match outcome {
        Outcome::Answered(reply) => {
            let body = String::from_utf8_lossy(reply.body()).into_owned();
            assert_eq!(body, format!("for {id} end"), "an answer of its own, whole");
            let promise = matches!(reply.status().as_u16(), 408 | 421 | 429 | 503);
            assert!(repeatable || !promise, "{id}: a promise that the server did not make");
            "answered"
        }
        Outcome::NotRun(_) => "not run",
        Outcome::Unknown(_) => "unknown",
        Outcome::TimedOut(_) => "timed out",
    };
    (told, repeatable)
}

async fn play(seed: u64) -> (Told, BTreeMap<String, u32>) {
    let ledger = Rc::new(RefCell::new(Ledger::default()));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(start(number, seed, &ledger).await);
    }
    let direct = Rc::new(way(servers));
    let next = Rc::new(Cell::new(0));
    let mut clients = JoinSet::new();
    for client in 0..AT_ONCE {
        let (direct, next) = (Rc::clone(&direct), Rc::clone(&next));
        let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | 1 << 16 | client as u64);
        clients.spawn_local(async move {
            let mut told = Vec::new();
            while next.get() < REQUESTS {
                let id = format!("{seed}-{}", next.replace(next.get() + 1));
                let rng_here = ChaCha8Rng::seed_from_u64(rng.random());
                told.push((id.clone(), send(&direct, &id, rng_here).await));
                if rng.random_bool(0.2) {
                    // Its connections rest for long enough to be distrusted.
                    sleep(Duration::from_millis(rng.random_range(1..150))).await;
                }
            }
            told
        });
    }
    let told: Vec<_> = clients.join_all().await.into_iter().flatten().collect();
    // What is still on its way arrives.
    sleep(2 * PATIENCE).await;
    let ledger = ledger.borrow();
    assert!(ledger.unasked.is_empty(), "seed {seed}: nobody sent {:?}", ledger.unasked);
    let mut count = Told::new();
    for (id, (told, repeatable)) in told {
        *count.entry(told).or_default() += 1;
        let ran = ledger.ran.get(&id).copied().unwrap_or(0);
        assert!(repeatable || ran <= 1, "seed {seed}: {id} ran {ran} times, {told}");
        assert!(
            repeatable || told != "not run" || ran == 0,
            "seed {seed}: {id} was promised not to have run"
        );
    }
    (count, ledger.done.clone())
}

#[test]
fn whatever_servers_do_each_client_gets_its_own_answer_and_nothing_runs_twice() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (mut told, mut done) = (Told::new(), BTreeMap::<String, u32>::new());
        for seed in 1..=6 {
            let (count, acts) = play(seed).await;
            count.into_iter().for_each(|(what, times)| *told.entry(what).or_default() += times);
            acts.into_iter().for_each(|(what, times)| *done.entry(what).or_default() += times);
        }
        println!("{told:?}\n{done:?}");
        // All of it was played, and all that may come of a request came.
        let acts = ACTS.iter().map(|act| format!("whole: {act}"));
        let acts = acts.chain(EARLY.iter().map(|act| format!("early: {act}")));
        for act in acts.chain(FRAMES.iter().map(|frame| format!("frame: {frame}"))) {
            assert!(done.contains_key(&act), "never done, {act}");
        }
        for what in ["answered", "not run", "unknown", "timed out", "client gone"] {
            assert!(told.contains_key(what), "never told, {what}");
        }
    });
}
