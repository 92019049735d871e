//! Reads at an edge: from its own copies, by the shields, and from the servers where no shield answers.

use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use glenfall_balancer::{Key, Seconds, ServerId};
use glenfall_control_plane::config::{Config, Route};
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::time::{timeout_at, Instant};

use super::ask_log::{AskLog, AskOutcome};
use super::{Edge, UNREADY};
use crate::cache::{Copy, ObjectKey};
use crate::edge::read_plan::{AskEnd, Next, ReadPlan, Verdict};
use crate::http::failure::Cause;
use crate::http::headers::DEADLINE;
use crate::http::response::{LocalResponse, ProxyResponse, ServerResponse, ShieldSource};
use crate::http::send_budget::{Allowance, SendReport, SENDS};
use crate::http_server::FullRequest;
use crate::shield::{object_hash, AGAIN, REV};
use crate::upstream::forward::Outcome;
use crate::upstream::pool::{ExchangeParams, SendError};

/// A shield that has not answered after this part of the time that is left, and this much at least, may be dark:
/// the next one is asked. Half of the time was too much: what waited for a frozen shield came late.
const SILENCE_PART: u32 = 4;
const SHORTEST_SILENCE: Duration = Duration::from_millis(200);

/// A read of an object.
pub(super) struct Read<'a> {
    pub config: &'a Arc<Config>,
    pub route: &'a Route,
    pub service: &'a str,
    pub whole: &'a FullRequest,
    /// The client's headers, as they go on.
    pub headers: &'a HeaderMap,
    pub until: Instant,
}

impl Read<'_> {
    fn object(&self) -> ObjectKey {
        ObjectKey {
            service: self.service.into(),
            host: self.whole.host().into(),
            path: self.whole.path_and_query().into(),
        }
    }
}

impl Edge {
    /// Answers a read of an object.
    pub(super) async fn read(&self, read: Read<'_>) -> ProxyResponse {
        let object = read.object();
        let max_age = Duration::from_secs_f64(read.route.max_age_s.clamp(0.0, 1e6));
        let own = self.copies.borrow_mut().get(&object).filter(|_| self.feed.vouches());
        if let Some(copy) = own.as_ref().filter(|copy| copy.age() < max_age) {
            self.counters.own_copies.add();
            self.check_not_purged(&object, copy);
            return copy.answer(read.headers).into();
        }
        if !self.forwarder.pool.memory.is_free() {
            self.counters.refused.add();
            return LocalResponse::refused(Cause::NoMemory, UNREADY).into();
        }
        // What is not fresh any more is asked for again, whole; it comes only if it has changed.
        let mut headers = read.headers.clone();
        if let Some(etag) = own.as_ref().and_then(|own| own.headers.get(header::ETAG)) {
            headers.remove(header::RANGE);
            headers.remove(header::IF_RANGE);
            headers.insert(header::IF_NONE_MATCH, etag.clone());
        }
        Reading {
            edge: self,
            read: &read,
            object,
            own,
            headers: Rc::new(headers),
            plan: ReadPlan::new(read.route.tries),
            unresponsive: Vec::new(),
            ask_log: AskLog::default(),
            asks: Vec::new(),
            silent_at: None,
            fallback: None,
        }
        .run()
        .await
    }
}

/// What a shield made of being asked.
struct ShieldEnd {
    shield: ServerId,
    asked: Instant,
    asked_s: Seconds,
    ended: Result<ServerResponse, SendError>,
}

/// The end of an ask.
enum Ended {
    Shield(ShieldEnd),
    Servers(Outcome, SendReport),
}

/// An ask under way, by its number in the plan.
struct Ask<'a> {
    number: usize,
    ending: Pin<Box<dyn Future<Output = Ended> + 'a>>,
}

/// A read under way.
struct Reading<'a> {
    edge: &'a Edge,
    read: &'a Read<'a>,
    object: ObjectKey,
    /// The edge's own copy, which is not fresh any more.
    own: Option<Rc<Copy>>,
    /// As they go to shields.
    headers: Rc<HeaderMap>,
    plan: ReadPlan,
    /// Shields that gave no answer to this read, or none so far.
    unresponsive: Vec<ServerId>,
    ask_log: AskLog,
    asks: Vec<Ask<'a>>,
    /// The shield asked last, and when it counts as silent.
    silent_at: Option<(ServerId, Seconds, Instant)>,
    /// The client's answer, if no better one comes.
    fallback: Option<ProxyResponse>,
}

impl<'a> Reading<'a> {
    async fn run(mut self) -> ProxyResponse {
        let answer = self.answer().await;
        if answer.failure().is_none() {
            return answer;
        }
        answer.preceded_by(&self.ask_log.describe())
    }

    async fn answer(&mut self) -> ProxyResponse {
        loop {
            if Instant::now() >= self.read.until && self.plan.may_be_counted() {
                return self.time_is_up();
            }
            match self.plan.next(self.shields_left()) {
                next @ Next::AskShield { allowance } => match self.choose_shield() {
                    Some(shield) => {
                        let number = self.plan.asked(next);
                        self.ask_shield(number, shield, allowance);
                    }
                    None => self.plan.no_shield(),
                },
                next @ Next::AskServers { allowance } => {
                    let again = self.plan.may_be_counted();
                    let number = self.plan.asked(next);
                    self.ask_servers(number, allowance, again);
                }
                Next::Wait => {
                    if let Some(answer) = self.wait().await {
                        return answer;
                    }
                }
                Next::GiveUp => {
                    let no_answer = || LocalResponse::bad_gateway(Cause::NoShield).into();
                    return self.fallback.take().unwrap_or_else(no_answer);
                }
            }
        }
    }

    fn time_is_up(&mut self) -> ProxyResponse {
        self.edge.counters.timed_out.add();
        self.fallback.take().unwrap_or_else(|| LocalResponse::gateway_timeout(Cause::NoAnswer).into())
    }

    /// Shields that may still answer, beside those found unresponsive.
    fn shields_left(&self) -> usize {
        self.edge.shields.borrow().count().saturating_sub(self.unresponsive.len())
    }

    /// The shield that RJ-CH names among those that have not been found unresponsive.
    fn choose_shield(&self) -> Option<ServerId> {
        let key = Key(object_hash(self.read.whole.host(), self.read.whole.path_and_query()));
        let mut shields = self.edge.shields.borrow_mut();
        shields.choose(self.edge.now(), key, &self.unresponsive).cloned()
    }

    fn ask_shield(&mut self, number: usize, shield: ServerId, allowance: Allowance) {
        let (edge, read) = (self.edge, self.read);
        let (asked, asked_s) = (Instant::now(), edge.now());
        let shields_beside = self.shields_left().saturating_sub(1);
        if self.plan.has_way_beside(shields_beside) {
            let left = read.until.saturating_duration_since(asked);
            let silence = (left / SILENCE_PART).max(SHORTEST_SILENCE).min(left);
            self.silent_at = Some((shield.clone(), asked_s, asked + silence));
        }
        let again = self.plan.may_be_counted();
        let headers = Rc::clone(&self.headers);
        let ending = Box::pin(async move {
            let ended = edge.ask_shield(read, &shield, &headers, allowance, again).await;
            Ended::Shield(ShieldEnd { shield, asked, asked_s, ended })
        });
        self.asks.push(Ask { number, ending });
    }

    fn ask_servers(&mut self, number: usize, allowance: Allowance, again: bool) {
        let (edge, read) = (self.edge, self.read);
        edge.counters.bypassed.add();
        edge.hold();
        if !again {
            edge.forwarder.count(read.service);
        }
        let ending = Box::pin(async move {
            // Ranges are the server's to cut.
            let job = edge.job(read.config, read.route, read.service, read.whole, read.headers.clone());
            let job = crate::upstream::forward::UpstreamRequest { again, until: read.until, ..job };
            let (outcome, report) = edge.forwarder.send_within(job, allowance).await;
            Ended::Servers(outcome, report)
        });
        self.asks.push(Ask { number, ending });
    }

    /// Waits for the end of an ask, or until the shield asked last counts as silent.
    async fn wait(&mut self) -> Option<ProxyResponse> {
        let ended = match &self.silent_at {
            None => Some(next_ended(&mut self.asks).await),
            Some((_, _, at)) => timeout_at(*at, next_ended(&mut self.asks)).await.ok(),
        };
        match ended {
            Some((number, Ended::Shield(end))) => self.shield_ended(number, end),
            Some((number, Ended::Servers(outcome, report))) => self.servers_ended(number, outcome, report),
            None => {
                self.shield_is_silent();
                None
            }
        }
    }

    fn shield_is_silent(&mut self) {
        self.plan.silent();
        if let Some((shield, asked_s, _)) = self.silent_at.take() {
            self.edge.shields.borrow_mut().heard(self.edge.now(), &shield, asked_s, true);
            self.edge.counters.shield_failed.add();
            self.ask_log.note(&self.edge.asks, &shield, AskOutcome::Silent);
            self.unresponsive.push(shield);
        }
    }

    /// Takes the end of an ask at a shield; the client's answer, where it is one.
    fn shield_ended(&mut self, number: usize, end: ShieldEnd) -> Option<ProxyResponse> {
        let ShieldEnd { shield, asked, asked_s, ended } = end;
        if self.silent_at.as_ref().is_some_and(|(silent, ..)| *silent == shield) {
            self.silent_at = None;
        }
        let (outcome, reply) = self.edge.outcome_of_ask(ended);
        self.ask_log.note(&self.edge.asks, &shield, outcome);
        let is_late = self.unresponsive.contains(&shield);
        if reply.is_some() {
            self.edge.shield_answers(&shield, asked_s);
        } else if !is_late && outcome != AskOutcome::Unvouched {
            // One without a lease is well otherwise, and holds one soon: what it has is not fetched anew by another for
            // longer than that.
            self.edge.shields.borrow_mut().heard(self.edge.now(), &shield, asked_s, true);
        }
        let Some(reply) = reply else {
            let end = if outcome == AskOutcome::Lost { AskEnd::Lost } else { AskEnd::NotAsked };
            self.plan.ended(number, end);
            if !is_late {
                self.edge.counters.shield_failed.add();
                self.unresponsive.push(shield);
            }
            return None;
        };
        let report = SendReport::of_answer(reply.headers()).unwrap_or_default();
        let verdict = self.plan.ended(number, AskEnd::Answered(report));
        let is_refusal = reply.status() == StatusCode::SERVICE_UNAVAILABLE
            && reply.shield_source() == Some(ShieldSource::Local);
        let answer = self.response_of(reply, &shield, asked);
        match verdict {
            // What a server has said is more than that no other can be asked.
            Verdict::Final if is_refusal => Some(self.fallback.take().unwrap_or(answer)),
            Verdict::Final => Some(answer),
            Verdict::TryOn => self.keep_fallback(answer, report),
        }
    }

    fn servers_ended(
        &mut self,
        number: usize,
        outcome: Outcome,
        report: SendReport,
    ) -> Option<ProxyResponse> {
        let verdict = self.plan.ended(number, AskEnd::Answered(report));
        let is_refusal = matches!(outcome, Outcome::NotRun(_));
        let answer = self.edge.response_to(outcome, &Method::GET);
        match verdict {
            // A silent shield may still answer.
            Verdict::Final if is_refusal && !self.asks.is_empty() => self.keep_fallback(answer, report),
            Verdict::Final if is_refusal => Some(self.fallback.take().unwrap_or(answer)),
            Verdict::Final => Some(answer),
            Verdict::TryOn => self.keep_fallback(answer, report),
        }
    }

    /// Keeps an answer for the case that no better one comes: what a server has said is better than what it has not.
    fn keep_fallback(&mut self, answer: ProxyResponse, report: SendReport) -> Option<ProxyResponse> {
        if report.used > 0 || self.fallback.is_none() {
            self.fallback = Some(answer);
        }
        None
    }

    /// What the client gets of a shield's answer.
    fn response_of(&self, reply: ServerResponse, shield: &ServerId, asked: Instant) -> ProxyResponse {
        let client_headers = &self.read.whole.head.headers;
        if let (StatusCode::NOT_MODIFIED, Some(own)) = (reply.status(), &self.own) {
            self.edge.counters.refreshed.add();
            if let Some(born) = Copy::handed_on(&reply, asked) {
                own.born.set(born);
            }
            return own.answer(client_headers).into();
        }
        let is_whole = !self.headers.contains_key(header::RANGE);
        if is_whole && !self.edge.near.borrow().contains(shield) {
            self.edge.keep(&self.object, &reply, asked);
        }
        if self.own.is_some() && reply.status() == StatusCode::OK {
            // The range that was taken off the request.
            if let Some(copy) = Copy::of(&reply, asked) {
                return copy.answer(client_headers).into();
            }
        }
        reply.forward_from_shield()
    }
}

impl Edge {
    /// How an ask at a shield ended, and the answer, if it can be used.
    fn outcome_of_ask(
        &self,
        ended: Result<ServerResponse, SendError>,
    ) -> (AskOutcome, Option<ServerResponse>) {
        let reply = match ended {
            Ok(reply) => reply,
            Err(SendError::NotSent) => return (AskOutcome::Unreached, None),
            Err(_) => return (AskOutcome::Lost, None),
        };
        match reply.shield_source() {
            None => (AskOutcome::Lost, None),
            Some(ShieldSource::Behind) => (AskOutcome::Behind, None),
            // A purge may have been acknowledged to whoever vouches for copies, and not be known there.
            Some(ShieldSource::Unvouched) if self.feed.vouches() => (AskOutcome::Unvouched, None),
            Some(_) => (AskOutcome::Answered, Some(reply)),
        }
    }

    /// Asks one shield for an object.
    async fn ask_shield(
        &self,
        read: &Read<'_>,
        shield: &ServerId,
        headers: &HeaderMap,
        allowance: Allowance,
        again: bool,
    ) -> Result<ServerResponse, SendError> {
        let address: SocketAddr = shield.0.parse().map_err(|_| SendError::NotSent)?;
        let request = || {
            let mut request = Request::new(Full::new(Bytes::new()));
            *request.uri_mut() = read.whole.head.uri.clone();
            *request.headers_mut() = headers.clone();
            let left = read.until.saturating_duration_since(Instant::now()).as_millis() as u64;
            request.headers_mut().insert(DEADLINE, HeaderValue::from(left.max(1)));
            request.headers_mut().insert(REV, HeaderValue::from(read.config.rev));
            request.headers_mut().insert(SENDS, allowance.encode());
            if again {
                request.headers_mut().insert(AGAIN, HeaderValue::from_static("1"));
            }
            request
        };
        let _in_flight = super::InFlight::at(&self.shields, shield);
        let params = ExchangeParams::internal(address, read.until);
        self.forwarder.pool.exchange(params, request).await
    }
}

/// The next of some asks that ends.
async fn next_ended(asks: &mut Vec<Ask<'_>>) -> (usize, Ended) {
    poll_fn(|cx| {
        for at in 0..asks.len() {
            if let Poll::Ready(ended) = asks[at].ending.as_mut().poll(cx) {
                let ask = asks.swap_remove(at);
                return Poll::Ready((ask.number, ended));
            }
        }
        Poll::Pending
    })
    .await
}
