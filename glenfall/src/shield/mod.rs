//! The shield: answers edges' reads from its copies, joins concurrent misses, and fetches from the servers.

mod fetch;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_balancer::mix;
use glenfall_control_plane::config::{Config, RequestLimits, Route};
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::messages::{AgedPurge, ProxyRole, Purge};
use glenfall_control_plane::rate_limit::QuotaHolder;
use hyper::header::{HeaderMap, HeaderName};
use hyper::Method;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

use self::fetch::{FetchDone, FetchEnd, FetchRequest, Fetched, Flight, TooManyFetches};
use crate::cache::disk::{DiskCache, Row};
use crate::cache::{Cache, Copy, ObjectKey};
use crate::http::failure::Cause;
use crate::http::headers::{DEADLINE, TRY_ID};
use crate::http::response::{LocalResponse, ProxyResponse, ShieldSource};
use crate::http::send_budget::{Allowance, SendReport};
use crate::http_server::{FullRequest, FullResponse, Handler};
use crate::metrics::counter::Counter;
use crate::metrics::latency::Latency;
use crate::settings::Settings;
use crate::upstream::forward::{Forwarder, Refusal, NONE};
use crate::upstream::pool::Pool;
use crate::watch_client::{WatchClient, WatchHandler};

/// The version that an edge decided under; the shield never answers by an older one.
pub const REV: HeaderName = HeaderName::from_static("x-glenfall-rev");
/// A shield was asked before, which may have counted the request or asked a server: what is sent now draws on the retry
/// budget.
pub const AGAIN: HeaderName = HeaderName::from_static("x-glenfall-again");
/// A version is waited for so long. Pushes to machines of a region are milliseconds apart, between regions a way; one that
/// takes longer may not come, as control beside is cut off.
const PUSH: Duration = Duration::from_millis(100);

/// Part of the machine's memory for copies: the rest is for what is under way, and for control beside it.
pub const COPIES: f64 = 0.4;
/// What a read comes to.
struct Read {
    response: ProxyResponse,
    source: ShieldSource,
    /// What it used of its try's sends.
    report: SendReport,
}

impl Read {
    fn of(copy: &Copy, request: &HeaderMap, source: ShieldSource) -> Read {
        let mut response = copy.answer(request).into();
        copy.hand_on(&mut response);
        Read { response, source, report: SendReport::default() }
    }

    fn local(response: LocalResponse) -> Read {
        Read { response: response.into(), source: ShieldSource::Local, report: SendReport::default() }
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

/// A shield: its copies, and the fetches under way.
pub struct Shield {
    feed: Rc<WatchClient>,
    forwarder: Forwarder,
    cache: RefCell<Cache>,
    /// Copies on disk, where this machine has one.
    disk_cache: Option<DiskCache>,
    /// What lay on disk at the start, until control has told of all purges that came meanwhile.
    found: RefCell<Option<Cache>>,
    /// Fetches that reads may join, by what they fetch.
    flights: RefCell<HashMap<ObjectKey, Flight>>,
    /// All fetches under way, also those that are not joined any more as a purge has come since.
    fetches: Cell<usize>,
    read_from_disk: Cell<bool>,
    purged_early: RefCell<Vec<AgedPurge>>,
    /// Control has told of all purges that came before this process began.
    told_all: Cell<bool>,
    counters: Counters,
}

impl Shield {
    /// A shield that is fed by `feed` and fetches through `pool`.
    pub fn new(boot: &Rc<Settings>, feed: Rc<WatchClient>, pool: Rc<Pool>) -> Rc<Self> {
        let most = boot.memory_share(COPIES);
        let opened = boot.state_dir.as_ref().and_then(|folder| {
            let disk_cache = DiskCache::open(folder, boot.req_limits.disk_mb);
            disk_cache.inspect_err(|error| tracing::warn!(%error, "no copies on disk")).ok()
        });
        let (disk_cache, found) = opened.unzip();
        let shield = Rc::new(Shield {
            feed,
            forwarder: Forwarder::new(pool, boot, ProxyRole::Shield),
            cache: RefCell::new(Cache::new(most)),
            disk_cache,
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

    /// Answers a read: from a copy, from a fetch that another read began, or by a fetch of its own.
    async fn read(self: &Rc<Self>, whole: &FullRequest) -> Read {
        let number = |name| whole.head.headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        let until = Instant::now() + Duration::from_millis(number(DEADLINE).unwrap_or(1000).min(60_000));
        let config = match self.configuration(number(REV).unwrap_or(0), until).await {
            Ok(config) => config,
            Err(not_ready) => return not_ready,
        };
        let Some((route, key)) = object_of(&config, whole) else {
            return Read::local(LocalResponse::no_route());
        };
        if !whole.head.headers.contains_key(AGAIN) {
            self.forwarder.count(&key.service);
        }
        let old = self.cache.borrow_mut().get(&key);
        let max_age = Duration::from_secs_f64(route.max_age_s.clamp(0.0, 1e6));
        let vouched = |source| if self.feed.vouches() { source } else { ShieldSource::Unvouched };
        if let Some(copy) = old.as_ref().filter(|copy| copy.age() < max_age) {
            self.counters.hits.add();
            return Read::of(copy, &whole.head.headers, vouched(ShieldSource::Hit));
        }
        let joined = self.flights.borrow().get(&key).map(|flight| flight.done.clone());
        if let Some(done) = joined {
            self.counters.joined.add();
            // Seen when it joins: a fetch begun before a purge may bring what that ended.
            let source = vouched(ShieldSource::Miss);
            let read = self.await_joined(done, until, whole).await;
            return if read.source == ShieldSource::Miss { Read { source, ..read } } else { read };
        }
        let allowance = Allowance::of_request(&whole.head.headers, route.tries);
        if allowance.sends == 0 {
            let report = SendReport { used: 0, short: true };
            return Read { report, ..Read::local(LocalResponse::gateway_timeout(Cause::NoSendLeft)) };
        }
        let fetch = FetchRequest::new(&config, route, key, &whole.head, old, allowance, until);
        match self.begin_fetch(fetch) {
            Ok(done) => self.await_own(done, until, allowance, whole).await,
            Err(TooManyFetches) => self.refuse(Refusal::new(Cause::TooManyFetches, NONE)),
        }
    }

    /// The configuration, once it is as new as the edge's; a refusal that says so where it does not come.
    async fn configuration(&self, rev: u64, until: Instant) -> Result<Arc<Config>, Read> {
        let unready = |cause| Read::local(LocalResponse::refused(cause, Duration::from_millis(200)));
        if timeout_at(until.min(Instant::now() + PUSH), self.feed.reaches(rev)).await.is_err() {
            return Err(Read { source: ShieldSource::Behind, ..unready(Cause::ShieldBehind) });
        }
        self.feed.config().ok_or_else(|| unready(Cause::NoConfiguration))
    }

    /// Waits for the fetch that a read has begun, until the read's deadline.
    async fn await_own(
        &self,
        done: FetchDone,
        until: Instant,
        allowance: Allowance,
        whole: &FullRequest,
    ) -> Read {
        match await_end(done, until).await {
            Ok(FetchEnd { fetched: Fetched::Other(response), report }) => {
                Read { response: response.forward(&Method::GET), source: ShieldSource::Passed, report }
            }
            Ok(FetchEnd { fetched, report }) => Read { report, ..self.read_of(fetched, whole) },
            Err(fetched) => {
                // The fetch goes on, and may use all that it was allowed.
                let report = SendReport { used: allowance.sends, short: false };
                Read { report, ..self.read_of(fetched, whole) }
            }
        }
    }

    /// Waits for the fetch that another read has begun. Servers know it by the id of that read's try, so that it uses
    /// none of this one's sends.
    async fn await_joined(&self, done: FetchDone, until: Instant, whole: &FullRequest) -> Read {
        match await_end(done, until).await {
            Ok(FetchEnd { fetched, report }) => {
                let report = SendReport { used: 0, short: report.short };
                Read { report, ..self.read_of(fetched, whole) }
            }
            Err(fetched) => self.read_of(fetched, whole),
        }
    }

    /// What a fetch brings to all who wait for it.
    fn read_of(&self, fetched: Fetched, whole: &FullRequest) -> Read {
        match fetched {
            Fetched::Copy(copy) => Read::of(&copy, &whole.head.headers, ShieldSource::Miss),
            Fetched::Other(failure) if !failure.status().is_success() => {
                Read::local(LocalResponse::same_failure(&failure))
            }
            Fetched::Other(response) => Read {
                response: response.forward(&Method::GET),
                source: ShieldSource::Passed,
                report: SendReport::default(),
            },
            Fetched::Refused(refusal) => self.refuse(refusal),
            Fetched::Unknown(failure) => Read::local(LocalResponse::bad_gateway(failure)),
            Fetched::TimedOut(failure) => Read::local(LocalResponse::gateway_timeout(failure)),
        }
    }

    fn refuse(&self, refusal: Refusal) -> Read {
        self.counters.refused.add();
        Read::local(LocalResponse::refused(refusal.failure, refusal.retry_after))
    }

    /// Keeps a copy in memory and on disk.
    fn keep(&self, key: ObjectKey, copy: &Rc<Copy>, refreshed: bool) {
        if let Some(kept) = &self.disk_cache {
            if refreshed {
                kept.refreshed(&key, copy.age());
            } else {
                kept.put(&key, &copy.headers, &copy.labels, &copy.body, copy.age());
            }
        }
        let gone = self.cache.borrow_mut().insert(key, Rc::clone(copy));
        if let Some(kept) = &self.disk_cache {
            kept.remove(&gone);
        }
    }
}

/// The route of a read and the name of its object; `None` where no route takes it.
fn object_of<'a>(config: &'a Config, whole: &FullRequest) -> Option<(&'a Route, ObjectKey)> {
    let path = whole.path_and_query();
    let route = config.route(whole.host(), whole.head.uri.path());
    let route = route.filter(|_| whole.head.method == Method::GET)?;
    let service = route.service(object_draw(whole.host(), path))?;
    Some((route, ObjectKey { service: service.into(), host: whole.host().into(), path: path.into() }))
}

/// Waits for the end of a fetch; what is known without it, where it does not come by then.
async fn await_end(mut done: FetchDone, until: Instant) -> Result<FetchEnd, Fetched> {
    match timeout_at(until, done.wait_for(|end| end.is_some())).await {
        Ok(Ok(end)) => end.clone().ok_or(Fetched::Unknown(Cause::AnswerLost.into())),
        Ok(Err(_)) => Err(Fetched::Unknown(Cause::AnswerLost.into())),
        Err(_) => Err(Fetched::TimedOut(Cause::NoAnswer.into())),
    }
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

impl WatchHandler for Shield {
    fn config(&self, _config: &Arc<Config>) {}

    fn fleet(&self, fleet: &Fleet) {
        self.forwarder.update(fleet);
        let ready = fleet.shields.iter().filter(|member| member.ready && member.proxy == ProxyRole::Shield);
        // Whoever has not heard of all yet takes it that all there are by rights ask as well.
        let of = ready.count().max(if fleet.complete { 1 } else { fleet.cores as usize });
        self.forwarder.hold(QuotaHolder::Shield { of });
    }

    fn purge(&self, purges: &[AgedPurge]) {
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
            if let Some(kept) = &self.disk_cache {
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

    /// Without control its copies stay in use, and are marked: edges that are out of touch as well take them.
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
        .chain(self.forwarder.report())
        .map(|(name, value)| (name.to_owned(), value))
        .chain(c.answer.report("answer"))
        .chain(c.fetch.report("fetch"))
        .collect()
    }
}

/// A shield as a handler of edges' requests.
pub struct Serving(pub Rc<Shield>);

impl Handler for Serving {
    async fn handle(&self, whole: FullRequest) -> FullResponse {
        let began = Instant::now();
        let Read { mut response, source, report } = self.0.read(&whole).await;
        response.set_shield_source(source);
        response.set_send_report(report);
        response.tell_failure();
        // By it the edge knows which request this answers.
        response.set_try_id(whole.head.headers.get(TRY_ID));
        self.0.counters.answer.add(began.elapsed());
        response.into()
    }

    fn limits(&self) -> RequestLimits {
        // Edges have kept clients to the operator's limits; what they add must fit too.
        RequestLimits {
            max_header_bytes: 64 << 10,
            max_body_bytes: 0,
            header_timeout_ms: 5000,
            idle_timeout_ms: 30_000,
        }
    }

    fn is_draining(&self) -> bool {
        self.0.feed.leaving()
    }
}
