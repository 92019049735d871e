//! The shield: answers edges' reads from its copies, joins concurrent misses, and fetches from the servers.

mod fetch;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_plane::ceiling::Holder;
use glenfall_plane::config::{Config, ReqLimits, Route};
use glenfall_plane::fleet::Fleet;
use glenfall_plane::messages::{Aged, Proxy, Purge};
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use mallowpaddle::mix;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

use self::fetch::{FetchDone, FetchEnd, FetchRequest, Fetched, Flight, TooManyFetches};
use crate::boot::Boot;
use crate::cache::{Cache, Copy, ObjectKey};
use crate::counter::Counter;
use crate::direct::{Direct, NONE};
use crate::feed::{Feed, Follower};
use crate::kept::{Kept, Row};
use crate::latency::Latency;
use crate::pool::{Pool, Reply};
use crate::send_budget::{Allowance, SendReport, SENDS};
use crate::serve::{passed_on, refused, Answer, Handler, Whole, DEADLINE, TRY_ID};

/// The version that an edge decided under; the shield never answers by an older one.
pub const REV: HeaderName = HeaderName::from_static("x-glenfall-rev");
/// A shield was asked before, which may have counted the request or asked a server: what is sent now draws on the retry
/// budget.
pub const AGAIN: HeaderName = HeaderName::from_static("x-glenfall-again");
/// How old a copy is, in milliseconds.
pub const AGE_MS: HeaderName = HeaderName::from_static("x-glenfall-age-ms");
/// What a shield says of its answer; no answer without it is a shield's.
pub const SHIELD: HeaderName = HeaderName::from_static("x-glenfall-shield");

/// What a shield says that does not have the edge's version yet, and has asked no server: another one may have it.
pub const BEHIND: HeaderValue = HeaderValue::from_static("behind");
/// What a shield says of an answer of its own, that no server gave.
pub const OWN: HeaderValue = HeaderValue::from_static("own");
/// A version is waited for so long. Pushes to machines of a region are milliseconds apart, between regions a way; one that
/// takes longer may not come, as control beside is cut off.
const PUSH: Duration = Duration::from_millis(100);

/// Part of the machine's memory for copies: the rest is for what is under way, and for control beside it.
pub const COPIES: f64 = 0.4;
/// What a read comes to.
struct Read {
    reply: Reply,
    said: &'static str,
    /// Where it comes from a copy.
    copy: Option<Rc<Copy>>,
}

impl Read {
    fn of(copy: &Rc<Copy>, request: &HeaderMap, said: &'static str) -> Read {
        Read { reply: copy.answer(request), said, copy: Some(Rc::clone(copy)) }
    }
}

#[derive(Default)]
struct Counters {
    hits: Counter,
    misses: Counter,
    joined: Counter,
    refreshed: Counter,
    refused: Counter,
    found: Counter,
    answer: Latency,
    fetch: Latency,
}

pub struct Shield {
    feed: Rc<Feed>,
    direct: Direct,
    cache: RefCell<Cache>,
    /// Copies on disk, where this machine has one.
    kept: Option<Kept>,
    /// What lay on disk at the start, until control has told of all purges that came meanwhile.
    found: RefCell<Option<Cache>>,
    /// Fetches that reads may join, by what they fetch.
    flights: RefCell<HashMap<ObjectKey, Flight>>,
    /// All fetches under way, also those that are not joined any more as a purge has come since.
    fetches: Cell<usize>,
    read_from_disk: Cell<bool>,
    purged_early: RefCell<Vec<Aged>>,
    /// Control has told of all purges that came before this process began.
    told_all: Cell<bool>,
    counters: Counters,
}

impl Shield {
    pub fn new(boot: &Rc<Boot>, feed: Rc<Feed>, pool: Rc<Pool>) -> Rc<Self> {
        let most = crate::memory_part(boot, COPIES);
        let kept = boot.state_dir.as_ref().and_then(|folder| {
            let opened = Kept::open(folder, boot.req_limits.disk_mb);
            opened.inspect_err(|error| tracing::warn!(%error, "no copies on disk")).ok()
        });
        let (kept, found) = kept.unzip();
        let shield = Rc::new(Shield {
            feed,
            direct: Direct::new(pool, boot, Proxy::Shield),
            cache: RefCell::new(Cache::new(most)),
            kept,
            found: RefCell::new(found.is_some().then(|| Cache::new(most))),
            flights: RefCell::default(),
            fetches: Cell::new(0),
            read_from_disk: Cell::new(false),
            purged_early: RefCell::default(),
            told_all: Cell::new(false),
            counters: Counters::default(),
        });
        if let Some(found) = found {
            spawn_local({
                let shield = Rc::clone(&shield);
                async move { shield.find(found.await.unwrap_or_default()) }
            });
        }
        shield
    }

    /// Takes what lay on disk at the start.
    fn find(&self, rows: Vec<Row>) {
        let now = Instant::now();
        let read = rows.len();
        if let Some(found) = self.found.borrow_mut().as_mut() {
            for row in rows {
                let Some(born) = now.checked_sub(row.age) else { continue };
                let (headers, labels, body) = (row.headers, row.labels, row.body);
                found.insert(row.key, Rc::new(Copy { headers, body, born: Cell::new(born), labels }));
            }
            // Purges that came while it was read.
            self.purged_early.take().iter().for_each(|purge| drop(found.purge(purge)));
        }
        tracing::info!(read, "copies found on disk, to be used once control has told what was purged");
        self.read_from_disk.set(true);
        self.use_found();
    }

    /// Uses what lay on disk, once it is read and control has told of all purges that came meanwhile.
    fn use_found(&self) {
        if !(self.read_from_disk.get() && self.told_all.get()) {
            return;
        }
        let Some(found) = self.found.borrow_mut().take() else { return };
        let mut cache = self.cache.borrow_mut();
        self.counters.found.add_all(found.len());
        tracing::info!(copies = found.len(), "copies found on disk in use");
        for (key, copy) in found.into_all() {
            // What was fetched since is newer.
            if cache.get(&key).is_none() {
                cache.insert(key, copy);
            }
        }
    }

    /// Answers a read, and says what it used of its try's sends.
    async fn read(self: &Rc<Self>, whole: &Whole) -> (Result<Read, Answer>, SendReport) {
        let number = |name| whole.head.headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        let until = Instant::now() + Duration::from_millis(number(DEADLINE).unwrap_or(1000).min(60_000));
        let nothing_sent = SendReport::default();
        let config = match self.configuration(number(REV).unwrap_or(0), until).await {
            Ok(config) => config,
            Err(answer) => return (Err(answer), nothing_sent),
        };
        let Some((route, key)) = object_of(&config, whole) else { return (Err(plain_404()), nothing_sent) };
        if !whole.head.headers.contains_key(AGAIN) {
            self.direct.count(&key.service);
        }
        let old = self.cache.borrow_mut().get(&key);
        let max_age = Duration::from_secs_f64(route.max_age_s.clamp(0.0, 1e6));
        if let Some(copy) = old.as_ref().filter(|copy| copy.age() < max_age) {
            self.counters.hits.add();
            return (Ok(Read::of(copy, &whole.head.headers, "hit")), nothing_sent);
        }
        let allowance = Allowance::of_request(&whole.head.headers, route.tries);
        let joined = self.flights.borrow().get(&key).map(|flight| flight.done.clone());
        if let Some(done) = joined {
            self.counters.joined.add();
            let (answer, report) = self.await_fetch(done, until, allowance, whole).await;
            // Servers know the fetch by the id of the try that began it.
            return (answer, SendReport { used: 0, ..report });
        }
        if allowance.sends == 0 {
            let answer = crate::serve::plain(StatusCode::GATEWAY_TIMEOUT, "no copy, and no send left");
            return (Err(answer), SendReport { used: 0, short: true });
        }
        let fetch = FetchRequest::new(&config, route, key, &whole.head, old, allowance);
        match self.begin_fetch(fetch) {
            Ok(done) => self.await_fetch(done, until, allowance, whole).await,
            Err(TooManyFetches) => (Err(self.refuse(NONE)), nothing_sent),
        }
    }

    /// The configuration, once it is as new as the edge's; an answer that says so where it does not come.
    async fn configuration(&self, rev: u64, until: Instant) -> Result<Arc<Config>, Answer> {
        let unready = || refused(StatusCode::SERVICE_UNAVAILABLE, "not ready", Duration::from_millis(200));
        if timeout_at(until.min(Instant::now() + PUSH), self.feed.reaches(rev)).await.is_err() {
            let mut answer = unready();
            answer.headers_mut().insert(SHIELD, BEHIND);
            return Err(answer);
        }
        self.feed.config().ok_or_else(unready)
    }

    /// Waits for a fetch until the read's deadline, which may be earlier than the fetch's.
    async fn await_fetch(
        &self,
        mut done: FetchDone,
        until: Instant,
        allowance: Allowance,
        whole: &Whole,
    ) -> (Result<Read, Answer>, SendReport) {
        // It goes on, and may use all that it was allowed.
        let goes_on = SendReport { used: allowance.sends, short: false };
        let end = match timeout_at(until, done.wait_for(|end| end.is_some())).await {
            Ok(Ok(end)) => end.clone(),
            Ok(Err(_)) => None,
            Err(_) => Some(FetchEnd { fetched: Fetched::TimedOut, report: goes_on }),
        };
        let FetchEnd { fetched, report } =
            end.unwrap_or(FetchEnd { fetched: Fetched::Unknown, report: goes_on });
        let answer = match fetched {
            Fetched::Copy(copy) => Ok(Read::of(&copy, &whole.head.headers, "miss")),
            Fetched::Other(reply) => {
                let headers = passed_on(&reply.headers);
                let reply = Reply { status: reply.status, headers, body: reply.body.clone() };
                Ok(Read { reply, said: "pass", copy: None })
            }
            Fetched::Refused(after) => Err(self.refuse(after)),
            Fetched::Unknown => Err(crate::serve::plain(StatusCode::BAD_GATEWAY, "no answer")),
            Fetched::TimedOut => Err(crate::serve::plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time")),
        };
        (answer, report)
    }

    fn refuse(&self, after: Duration) -> Answer {
        self.counters.refused.add();
        refused(StatusCode::SERVICE_UNAVAILABLE, "service full", after)
    }

    /// Keeps a copy in memory and on disk.
    fn keep(&self, key: ObjectKey, copy: &Rc<Copy>, refreshed: bool) {
        if let Some(kept) = &self.kept {
            if refreshed {
                kept.refreshed(&key, copy.age());
            } else {
                kept.put(&key, &copy.headers, &copy.labels, &copy.body, copy.age());
            }
        }
        let gone = self.cache.borrow_mut().insert(key, Rc::clone(copy));
        if let Some(kept) = &self.kept {
            kept.remove(&gone);
        }
    }
}

/// The route of a read and the name of its object; `None` where no route takes it.
fn object_of<'a>(config: &'a Config, whole: &Whole) -> Option<(&'a Route, ObjectKey)> {
    let path = whole.path_and_query();
    let route = config.route(whole.host(), whole.head.uri.path());
    let route = route.filter(|_| whole.head.method == Method::GET)?;
    let service = route.service(object_draw(whole.host(), path))?;
    Some((route, ObjectKey { service: service.into(), host: whole.host().into(), path: path.into() }))
}

fn plain_404() -> Answer {
    crate::serve::plain(StatusCode::NOT_FOUND, "no such route")
}

/// Which service of a split an object belongs to, the same at all shields.
pub fn object_draw(host: &str, path: &str) -> f64 {
    (object_hash(host, path) >> 11) as f64 / (1u64 << 53) as f64
}

/// What stands for an object, the same on all machines. Ranges of it share it.
pub fn object_hash(host: &str, path: &str) -> u64 {
    let words = |hash: u64, text: &str| {
        text.as_bytes().chunks(8).fold(hash, |hash, chunk| {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            mix(hash ^ u64::from_le_bytes(word))
        })
    };
    words(words(0, host) ^ 1, path)
}

impl Follower for Shield {
    fn config(&self, _config: &Arc<Config>) {}

    fn fleet(&self, fleet: &Fleet) {
        self.direct.update(fleet);
        let ready = fleet.shields.iter().filter(|member| member.ready && member.proxy == Proxy::Shield);
        // Whoever has not heard of all yet takes it that all there are by rights ask as well.
        let of = ready.count().max(if fleet.complete { 1 } else { fleet.cores as usize });
        self.direct.hold(Holder::Shield { of });
    }

    fn purge(&self, purges: &[Aged]) {
        let mut cache = self.cache.borrow_mut();
        let mut flights = self.flights.borrow_mut();
        for purge in purges {
            let mut gone = cache.purge(purge);
            if let Some(found) = self.found.borrow_mut().as_mut() {
                gone.extend(found.purge(purge));
                if !self.read_from_disk.get() {
                    self.purged_early.borrow_mut().push(purge.clone());
                }
            }
            if let Some(kept) = &self.kept {
                kept.remove(&gone);
            }
            match &purge.purge {
                // Nobody joins a fetch that began before; it is told apart when it ends.
                Purge::Label(label) => {
                    flights.values().for_each(|flight| flight.purge_label(label));
                }
                Purge::Object { hostname, path } => {
                    flights.retain(|key, flight| {
                        let named = key.at(hostname, path);
                        if named {
                            flight.purge_object();
                        }
                        !named
                    });
                }
                Purge::Everything => {
                    flights.values().for_each(Flight::purge_object);
                    flights.clear();
                }
            }
        }
    }

    /// Whoever reaches this shield is out of touch as well where control beside it is, so that its own copies stay in
    /// use.
    fn in_touch(&self, yes: bool) {
        if yes {
            self.told_all.set(true);
            self.use_found();
        }
    }

    fn report(&self) -> Vec<(String, u64)> {
        let c = &self.counters;
        let cache = self.cache.borrow();
        [
            ("hits", c.hits.get()),
            ("misses", c.misses.get()),
            ("joined", c.joined.get()),
            ("refreshed", c.refreshed.get()),
            ("refused", c.refused.get()),
            ("found_on_disk", c.found.get()),
            ("copies", cache.len() as u64),
            ("copy_bytes", cache.bytes() as u64),
        ]
        .into_iter()
        .chain(self.direct.report())
        .map(|(name, value)| (name.to_owned(), value))
        .chain(c.answer.report("answer"))
        .chain(c.fetch.report("fetch"))
        .collect()
    }
}

/// A shield as a handler of edges' requests.
pub struct Serving(pub Rc<Shield>);

impl Handler for Serving {
    async fn answer(&self, whole: Whole) -> Answer {
        let began = Instant::now();
        let (answer, report) = self.0.read(&whole).await;
        let mut answer = match answer {
            Ok(Read { reply, said, copy }) => {
                let mut answer = Response::new(Full::new(reply.body));
                *answer.status_mut() = reply.status;
                *answer.headers_mut() = reply.headers;
                if let Some(copy) = copy {
                    copy.hand_on(answer.headers_mut());
                }
                answer.headers_mut().insert(SHIELD, HeaderValue::from_static(said));
                answer
            }
            Err(mut answer) => {
                answer.headers_mut().entry(SHIELD).or_insert(OWN);
                answer
            }
        };
        if report != SendReport::default() {
            answer.headers_mut().insert(SENDS, report.encode());
        }
        // By it the edge knows which request this answers.
        match whole.head.headers.get(TRY_ID) {
            Some(id) => answer.headers_mut().insert(TRY_ID, id.clone()),
            None => answer.headers_mut().remove(TRY_ID),
        };
        self.0.counters.answer.add(began.elapsed());
        answer
    }

    fn limits(&self) -> ReqLimits {
        // Edges have kept clients to the operator's limits; what they add must fit too.
        ReqLimits {
            max_header_bytes: 64 << 10,
            max_body_bytes: 0,
            header_timeout_ms: 5000,
            idle_timeout_ms: 30_000,
        }
    }

    fn leaving(&self) -> bool {
        self.0.feed.leaving()
    }
}
