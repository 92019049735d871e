//! The shield: answers edges' reads from its copies, joins concurrent misses, and fetches from the servers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_plane::ceiling::Holder;
use glenfall_plane::config::{Config, ReqLimits, Route};
use glenfall_plane::fleet::Fleet;
use glenfall_plane::messages::{Aged, Proxy, Purge};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, StatusCode, Uri};
use mallowpaddle::mix;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

use crate::boot::Boot;
use crate::cache::{Cache, Copy, ObjectKey};
use crate::counter::Counter;
use crate::direct::{Direct, Job, Outcome, NONE};
use crate::feed::{Feed, Follower};
use crate::kept::{Kept, Row};
use crate::latency::Latency;
use crate::pool::Pool;
use crate::response::{LocalResponse, ProxyResponse, ServerResponse, ShieldSource};
use crate::serve::{passed_on, Answer, Handler, Whole, DEADLINE, TRY_ID};

/// The version that an edge decided under; the shield never answers by an older one.
pub const REV: HeaderName = HeaderName::from_static("x-glenfall-rev");
/// Another shield was asked before, which may have asked a server.
pub const AGAIN: HeaderName = HeaderName::from_static("x-glenfall-again");
/// A version is waited for so long. Pushes to machines of a region are milliseconds apart, between regions a way; one that
/// takes longer may not come, as control beside is cut off.
const PUSH: Duration = Duration::from_millis(100);

/// Part of the machine's memory for copies: the rest is for what is under way, and for control beside it.
pub const COPIES: f64 = 0.4;
/// Fetches under way at most; what misses beyond is told to come back.
const MOST_FETCHES: usize = 1024;

/// What came of a fetch, for all who wait for it.
#[derive(Clone)]
enum Fetched {
    Copy(Rc<Copy>),
    Other(ServerResponse),
    Refused(Duration),
    Unknown,
    TimedOut,
}

/// What a read comes to.
struct Read {
    response: ProxyResponse,
    source: ShieldSource,
}

impl Read {
    fn of(copy: &Copy, request: &HeaderMap, source: ShieldSource) -> Read {
        let mut response = copy.answer(request).into();
        copy.hand_on(&mut response);
        Read { response, source }
    }

    fn local(response: LocalResponse) -> Read {
        Read { response: response.into(), source: ShieldSource::Local }
    }
}

/// No more can be fetched now.
struct NoRoom;

/// A fetch under way.
struct Fetch {
    done: watch::Receiver<Option<Fetched>>,
    /// Labels purged since it began: what it brings may be older.
    purged: Rc<RefCell<Vec<String>>>,
    /// Its object was purged since.
    stale: Rc<Cell<bool>>,
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
    fetching: RefCell<HashMap<ObjectKey, Fetch>>,
    /// Fetches that are no longer joined, as a purge has come since: their number.
    under_way: Cell<usize>,
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
            fetching: RefCell::default(),
            under_way: Cell::new(0),
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

    async fn read(self: &Rc<Self>, whole: &Whole) -> Result<Read, Read> {
        let number = |name| whole.head.headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
        let until = Instant::now() + Duration::from_millis(number(DEADLINE).unwrap_or(1000).min(60_000));
        let unready = || Read::local(LocalResponse::refused("not ready", Duration::from_millis(200)));
        let rev = number(REV).unwrap_or(0);
        if timeout_at(until.min(Instant::now() + PUSH), self.feed.reaches(rev)).await.is_err() {
            return Err(Read { source: ShieldSource::Behind, ..unready() });
        }
        let config = self.feed.config().ok_or_else(unready)?;
        let path = whole.path_and_query();
        let route = config.route(whole.host(), whole.head.uri.path());
        let Some(route) = route.filter(|_| whole.head.method == Method::GET) else {
            return Err(Read::local(LocalResponse::no_route()));
        };
        let service = route
            .service(object_draw(whole.host(), path))
            .ok_or_else(|| Read::local(LocalResponse::no_route()))?;
        if !whole.head.headers.contains_key(AGAIN) {
            self.direct.count(service);
        }
        let key = ObjectKey { service: service.into(), host: whole.host().into(), path: path.into() };
        let old = self.cache.borrow_mut().get(&key);
        let max_age = Duration::from_secs_f64(route.max_age_s.clamp(0.0, 1e6));
        let vouched = |source| if self.feed.vouches() { source } else { ShieldSource::Unvouched };
        if let Some(copy) = old.as_ref().filter(|copy| copy.age() < max_age) {
            self.counters.hits.add();
            return Ok(Read::of(copy, &whole.head.headers, vouched(ShieldSource::Hit)));
        }
        let joined = self.fetching.borrow().get(&key).map(|fetch| fetch.done.clone());
        let is_joined = joined.is_some();
        let (mut done, source) = match joined {
            Some(done) => {
                self.counters.joined.add();
                (done, vouched(ShieldSource::Miss))
            }
            None => {
                let fetch = self.fetch(&config, route, key, &whole.head.headers, whole.head.uri.clone(), old);
                (fetch.map_err(|NoRoom| self.refuse(NONE))?, ShieldSource::Miss)
            }
        };
        let fetched = match timeout_at(until, done.wait_for(|fetched| fetched.is_some())).await {
            Ok(Ok(fetched)) => fetched.clone().unwrap_or(Fetched::Unknown),
            Ok(Err(_)) => Fetched::Unknown,
            Err(_) => Fetched::TimedOut,
        };
        match fetched {
            Fetched::Copy(copy) => Ok(Read::of(&copy, &whole.head.headers, source)),
            Fetched::Other(failure) if is_joined && !failure.status().is_success() => {
                Err(Read::local(LocalResponse::same_failure(&failure)))
            }
            Fetched::Other(reply) => {
                Ok(Read { response: reply.forward(&Method::GET), source: ShieldSource::Passed })
            }
            Fetched::Refused(after) => Err(self.refuse(after)),
            Fetched::Unknown => Err(Read::local(LocalResponse::bad_gateway())),
            Fetched::TimedOut => Err(Read::local(LocalResponse::gateway_timeout())),
        }
    }

    fn refuse(&self, after: Duration) -> Read {
        self.counters.refused.add();
        Read::local(LocalResponse::refused("service full", after))
    }

    /// Begins to fetch an object; all who ask for it meanwhile wait for the same answer.
    fn fetch(
        self: &Rc<Self>,
        config: &Arc<Config>,
        route: &Route,
        key: ObjectKey,
        request: &HeaderMap,
        uri: Uri,
        old: Option<Rc<Copy>>,
    ) -> Result<watch::Receiver<Option<Fetched>>, NoRoom> {
        if self.under_way.get() >= MOST_FETCHES {
            return Err(NoRoom);
        }
        self.counters.misses.add();
        let (tell, done) = watch::channel(None);
        let (purged, stale) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(false)));
        let fetch = Fetch { done: done.clone(), purged: Rc::clone(&purged), stale: Rc::clone(&stale) };
        let mark = Rc::clone(&stale);
        self.fetching.borrow_mut().insert(key.clone(), fetch);
        self.under_way.set(self.under_way.get() + 1);
        let again = request.contains_key(AGAIN);
        let mut headers = passed_on(request);
        for name in [header::RANGE, header::IF_RANGE, header::IF_NONE_MATCH, header::IF_MODIFIED_SINCE] {
            headers.remove(name);
        }
        if let Some(etag) = old.as_ref().and_then(|old| old.headers.get(header::ETAG)) {
            headers.insert(header::IF_NONE_MATCH, etag.clone());
        }
        let (tries, wait) = (route.tries, Duration::from_millis(route.deadline_ms));
        let (aim, rank) = (route.aim(), config.rank(route));
        let per_s = config.backend(&key.service).and_then(|backend| backend.rate_per_s);
        let shield = Rc::clone(self);
        spawn_local(async move {
            let sent = Instant::now();
            let job = Job {
                service: &key.service,
                method: &Method::GET,
                uri: &uri,
                headers,
                body: Bytes::new(),
                repeatable: true,
                tries,
                again,
                until: sent + wait,
                aim,
                rank,
                per_s,
            };
            let before = old.clone();
            let fetched = match shield.direct.send(job).await {
                Outcome::Answered(reply) => shield.take(&key, reply, sent, old),
                Outcome::NotRun(after) => Fetched::Refused(after),
                Outcome::Unknown => Fetched::Unknown,
                Outcome::TimedOut => Fetched::TimedOut,
            };
            shield.counters.fetch.add(sent.elapsed());
            shield.under_way.set(shield.under_way.get() - 1);
            // It may have been taken off by a purge, and another begun under the same name.
            let mut fetching = shield.fetching.borrow_mut();
            if fetching.get(&key).is_some_and(|fetch| Rc::ptr_eq(&fetch.stale, &mark)) {
                fetching.remove(&key);
            }
            if let Fetched::Copy(copy) = &fetched {
                let refreshed = before.is_some_and(|before| Rc::ptr_eq(&before, copy));
                let purged = purged.borrow().iter().any(|label| copy.labelled(label));
                if !mark.get() && !purged {
                    shield.keep(key, copy, refreshed);
                }
            }
            tell.send_replace(Some(fetched));
        });
        Ok(done)
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

    fn take(&self, key: &ObjectKey, reply: ServerResponse, sent: Instant, old: Option<Rc<Copy>>) -> Fetched {
        if let (StatusCode::NOT_MODIFIED, Some(old)) = (reply.status(), old) {
            tracing::debug!(path = %key.path, "copy still good");
            self.counters.refreshed.add();
            old.born.set(sent);
            return Fetched::Copy(old);
        }
        match Copy::of(&reply, sent) {
            Some(copy) => Fetched::Copy(Rc::new(copy)),
            None => Fetched::Other(reply),
        }
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
        let mut fetching = self.fetching.borrow_mut();
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
                    for fetch in fetching.values() {
                        fetch.purged.borrow_mut().push(label.clone());
                    }
                }
                Purge::Object { hostname, path } => {
                    fetching.retain(|key, fetch| {
                        let named = key.at(hostname, path);
                        fetch.stale.set(fetch.stale.get() || named);
                        !named
                    });
                }
                Purge::Everything => {
                    fetching.values().for_each(|fetch| fetch.stale.set(true));
                    fetching.clear();
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
        let (Ok(read) | Err(read)) = self.0.read(&whole).await;
        let Read { mut response, source } = read;
        response.set_shield_source(source);
        // By it the edge knows which request this answers.
        response.set_try_id(whole.head.headers.get(TRY_ID));
        self.0.counters.answer.add(began.elapsed());
        response.into()
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
