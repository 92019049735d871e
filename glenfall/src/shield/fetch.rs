//! Fetches of a shield. Reads of one object that miss while it is being fetched share one fetch (singleflight).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::config::{Config, Route};
use hyper::header::{self, HeaderMap};
use hyper::{Method, StatusCode, Uri};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::{Shield, AGAIN};
use crate::cache::{Copy, ObjectKey};
use crate::http::failure::Failure;
use crate::http::headers::passed_on;
use crate::http::response::ServerResponse;
use crate::http::send_budget::{Allowance, SendReport};
use crate::upstream::forward::{Outcome, Refusal, UpstreamRequest};

/// A fetch may outlive the read that began it by so long: what it brings serves the next read. Servers are handed no more
/// time than that beyond what the client has left.
const BEYOND_ITS_READ: Duration = Duration::from_millis(400);
/// Fetches under way at most; what misses beyond is told to come back.
const MOST_FETCHES: usize = 1024;

/// What came of a fetch, for all who wait for it.
#[derive(Clone)]
pub(super) enum Fetched {
    Copy(Rc<Copy>),
    Other(ServerResponse),
    Refused(Refusal),
    Unknown(Failure),
    TimedOut(Failure),
}

/// The end of a fetch, and what it used of the allowance of the read that began it.
#[derive(Clone)]
pub(super) struct FetchEnd {
    pub fetched: Fetched,
    pub report: SendReport,
}

/// Tells of the end of a fetch once it is there.
pub(super) type FetchDone = watch::Receiver<Option<FetchEnd>>;

/// No more can be fetched now.
pub(super) struct TooManyFetches;

/// A fetch under way that reads may join.
pub(super) struct Flight {
    pub done: FetchDone,
    purges: Rc<PurgesMeanwhile>,
}

/// Purges that came since a fetch began: what it brings may be older.
#[derive(Default)]
struct PurgesMeanwhile {
    labels: RefCell<Vec<String>>,
    /// The object itself was purged.
    object: Cell<bool>,
}

impl Flight {
    pub fn purge_label(&self, label: &str) {
        self.purges.labels.borrow_mut().push(label.to_owned());
    }

    pub fn purge_object(&self) {
        self.purges.object.set(true);
    }
}

impl PurgesMeanwhile {
    fn name(&self, copy: &Copy) -> bool {
        self.object.get() || self.labels.borrow().iter().any(|label| copy.labelled(label))
    }
}

/// What a fetch begins with.
pub(super) struct FetchRequest {
    pub key: ObjectKey,
    uri: Uri,
    headers: HeaderMap,
    /// The copy that is not fresh any more.
    old: Option<Rc<Copy>>,
    /// Another shield may have counted the request and asked a server.
    again: bool,
    allowance: Allowance,
    /// When the read that begins it is given up.
    read_until: Instant,
    terms: RouteTerms,
}

/// What the route of an object says of its fetches.
struct RouteTerms {
    tries: u32,
    deadline: Duration,
    aim: Duration,
    rank: f64,
    per_s: Option<f64>,
}

impl RouteTerms {
    fn of(config: &Config, route: &Route, service: &str) -> Self {
        RouteTerms {
            tries: route.tries,
            deadline: Duration::from_millis(route.deadline_ms),
            aim: route.latency_target(),
            rank: config.priority_rank(route),
            per_s: config.backend(service).and_then(|backend| backend.rate_per_s),
        }
    }
}

impl FetchRequest {
    /// The fetch for a read that finds no fresh copy. Objects are fetched whole, whatever part of them is asked for.
    pub fn new(
        config: &Arc<Config>,
        route: &Route,
        key: ObjectKey,
        request: &hyper::http::request::Parts,
        old: Option<Rc<Copy>>,
        allowance: Allowance,
        read_until: Instant,
    ) -> Self {
        let mut headers = passed_on(&request.headers);
        for name in [header::RANGE, header::IF_RANGE, header::IF_NONE_MATCH, header::IF_MODIFIED_SINCE] {
            headers.remove(name);
        }
        if let Some(etag) = old.as_ref().and_then(|old| old.headers.get(header::ETAG)) {
            headers.insert(header::IF_NONE_MATCH, etag.clone());
        }
        let again = request.headers.contains_key(AGAIN);
        let terms = RouteTerms::of(config, route, &key.service);
        FetchRequest { key, uri: request.uri.clone(), headers, old, again, allowance, read_until, terms }
    }
}

impl Shield {
    /// Begins a fetch; all who ask for the object meanwhile may wait for the same end.
    pub(super) fn begin_fetch(self: &Rc<Self>, request: FetchRequest) -> Result<FetchDone, TooManyFetches> {
        if self.fetches.get() >= MOST_FETCHES {
            return Err(TooManyFetches);
        }
        self.counters.misses.add();
        self.fetches.set(self.fetches.get() + 1);
        let (tell, done) = watch::channel(None);
        let purges = Rc::new(PurgesMeanwhile::default());
        let flight = Flight { done: done.clone(), purges: Rc::clone(&purges) };
        self.flights.borrow_mut().insert(request.key.clone(), flight);
        let shield = Rc::clone(self);
        spawn_local(async move {
            let end = shield.fetch(request, &purges).await;
            tell.send_replace(Some(end));
        });
        Ok(done)
    }

    /// Fetches an object, and keeps what it brings unless a purge named it meanwhile.
    async fn fetch(&self, request: FetchRequest, purges: &Rc<PurgesMeanwhile>) -> FetchEnd {
        let began = Instant::now();
        let FetchRequest { key, uri, headers, old, again, allowance, read_until, terms } = request;
        let job = UpstreamRequest {
            service: &key.service,
            method: &Method::GET,
            uri: &uri,
            headers,
            body: Bytes::new(),
            repeatable: true,
            tries: terms.tries,
            again,
            until: (began + terms.deadline).min(read_until + BEYOND_ITS_READ),
            aim: terms.aim,
            rank: terms.rank,
            per_s: terms.per_s,
        };
        let (outcome, report) = self.forwarder.send_within(job, allowance).await;
        let fetched = match outcome {
            Outcome::Answered(reply) => self.take_reply(&key, reply, began, old.clone()),
            Outcome::NotRun(refusal) => Fetched::Refused(refusal),
            Outcome::Unknown(failure) => Fetched::Unknown(failure),
            Outcome::TimedOut(failure) => Fetched::TimedOut(failure),
        };
        self.counters.fetch.add(began.elapsed());
        self.fetches.set(self.fetches.get() - 1);
        self.end_flight(&key, purges);
        if let Fetched::Copy(copy) = &fetched {
            let refreshed = old.is_some_and(|old| Rc::ptr_eq(&old, copy));
            if !purges.name(copy) {
                self.keep(key, copy, refreshed);
            }
        }
        FetchEnd { fetched, report }
    }

    /// Nobody joins it any more. It may have been taken off by a purge, and another begun under the same name.
    fn end_flight(&self, key: &ObjectKey, purges: &Rc<PurgesMeanwhile>) {
        let mut flights = self.flights.borrow_mut();
        if flights.get(key).is_some_and(|flight| Rc::ptr_eq(&flight.purges, purges)) {
            flights.remove(key);
        }
    }

    fn take_reply(
        &self,
        key: &ObjectKey,
        reply: ServerResponse,
        sent: Instant,
        old: Option<Rc<Copy>>,
    ) -> Fetched {
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
