//! The attempts of one read: first at shields, with a parallel (hedged) attempt when one does not respond, and last at the
//! servers. [`ReadPlan`] decides which attempt follows; this module carries it out.

use std::rc::Rc;
use std::time::Duration;

use glenfall_balancer::{Key, ServerId};
use hyper::header::{self, HeaderMap};
use hyper::{Method, StatusCode};
use tokio::time::{timeout_at, Instant};

use super::attempt_log::{AttemptLog, AttemptOutcome};
use super::pending_attempts::{
    AttemptResult, EndedAttempt, PendingAttempts, ServerAttemptEnd, ShieldAttemptEnd,
};
use super::shield_request::ShieldRequest;
use crate::cache::{ObjectKey, StoredResponse};
use crate::edge::read_plan::{AttemptEnd, NextStep, ReadPlan, Verdict};
use crate::edge::routed_request::RoutedRequest;
use crate::edge::Edge;
use crate::http::failure::Cause;
use crate::http::response::{LocalResponse, ProxyResponse, ServerResponse, ShieldSource};
use crate::http::send_budget::{Allowance, SendReport};
use crate::shield::object_hash;
use crate::upstream::forward::Outcome;

/// The hedge delay is the remaining time divided by this: a shield that has not responded by then may be down, and the
/// next attempt begins in parallel. With a divisor of 2, reads that waited for a frozen shield missed their deadline.
const HEDGE_DELAY_DIVISOR: u32 = 4;
/// Lower bound of the hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(200);

/// The hedge delay of the last attempt at a shield.
struct HedgeTimer {
    shield: ServerId,
    sent: Instant,
    expires: Instant,
}

/// The attempts of a read that its edge could not answer from the local cache.
pub(super) struct ReadAttempts<'a> {
    edge: &'a Edge,
    routed: &'a RoutedRequest<'a>,
    object: ObjectKey,
    /// The edge's stored response, which is stale.
    stale: Option<Rc<StoredResponse>>,
    shield_headers: Rc<HeaderMap>,
    plan: ReadPlan,
    /// Shields that failed this read or have not responded to it within the hedge delay.
    excluded_shields: Vec<ServerId>,
    attempt_log: AttemptLog,
    pending: PendingAttempts<'a>,
    hedge_timer: Option<HedgeTimer>,
    /// The client's response if no later attempt gets a better one.
    fallback: Option<ProxyResponse>,
}

impl<'a> ReadAttempts<'a> {
    pub fn new(
        edge: &'a Edge,
        routed: &'a RoutedRequest<'a>,
        object: ObjectKey,
        stale: Option<Rc<StoredResponse>>,
        shield_headers: Rc<HeaderMap>,
    ) -> Self {
        ReadAttempts {
            edge,
            routed,
            object,
            stale,
            shield_headers,
            plan: ReadPlan::new(routed.route.tries),
            excluded_shields: Vec::new(),
            attempt_log: AttemptLog::default(),
            pending: PendingAttempts::default(),
            hedge_timer: None,
            fallback: None,
        }
    }

    /// Makes attempts until there is a response for the client.
    pub async fn run(mut self) -> ProxyResponse {
        let response = loop {
            if let Some(response) = self.step().await {
                break response;
            }
        };
        if response.failure().is_none() {
            return response;
        }
        response.with_earlier_attempts(&self.attempt_log.describe())
    }

    /// Carries out the next step of the plan. Returns the client's response if the read has ended.
    async fn step(&mut self) -> Option<ProxyResponse> {
        // A read that was sent nowhere continues after its deadline: its attempt at the servers is rejected as not run.
        if Instant::now() >= self.routed.deadline && self.plan.may_be_counted() {
            return Some(self.deadline_exceeded());
        }
        match self.plan.next(self.available_shields()) {
            next @ NextStep::TryShield { allowance } => self.begin_shield_attempt(next, allowance),
            next @ NextStep::TryServers { allowance } => self.begin_server_attempt(next, allowance),
            NextStep::Wait => return self.wait().await,
            NextStep::GiveUp => return Some(self.no_shield()),
        }
        None
    }

    fn deadline_exceeded(&mut self) -> ProxyResponse {
        self.edge.counters.timed_out.increment();
        self.fallback.take().unwrap_or_else(|| LocalResponse::gateway_timeout(Cause::NoResponse).into())
    }

    fn no_shield(&mut self) -> ProxyResponse {
        self.fallback.take().unwrap_or_else(|| LocalResponse::bad_gateway(Cause::NoShield).into())
    }

    /// The number of shields that are not excluded.
    fn available_shields(&self) -> usize {
        self.edge.shields.count().saturating_sub(self.excluded_shields.len())
    }

    /// The shield for the object among those that are not excluded; `None` if none is likely to answer.
    fn choose_shield(&self) -> Option<ServerId> {
        let request = self.routed.request;
        let key = Key(object_hash(&request.host(), request.path_and_query()));
        self.edge.shields.choose(key, &self.excluded_shields)
    }

    fn begin_shield_attempt(&mut self, next: NextStep, allowance: Allowance) {
        let Some(shield) = self.choose_shield() else {
            self.plan.no_shield_available();
            return;
        };
        let number = self.plan.begin_attempt(next);
        let sent = Instant::now();
        self.hedge_timer = self.hedge_timer(&shield, sent);
        let is_retry = self.plan.may_be_counted();
        let (edge, routed, headers) = (self.edge, self.routed, Rc::clone(&self.shield_headers));
        self.pending.push(number, async move {
            let request = ShieldRequest { routed, headers: &headers, allowance, is_retry };
            let result = edge.send_to_shield(&shield, request).await;
            AttemptResult::Shield(ShieldAttemptEnd { shield, sent, result })
        });
    }

    /// The hedge timer for a request to a shield; `None` if no other attempt could be made in parallel.
    fn hedge_timer(&self, shield: &ServerId, sent: Instant) -> Option<HedgeTimer> {
        let other_shields = self.available_shields().saturating_sub(1);
        if !self.plan.can_hedge(other_shields) {
            return None;
        }
        let remaining = self.routed.deadline.saturating_duration_since(sent);
        let delay = (remaining / HEDGE_DELAY_DIVISOR).max(MIN_HEDGE_DELAY).min(remaining);
        Some(HedgeTimer { shield: shield.clone(), sent, expires: sent + delay })
    }

    fn begin_server_attempt(&mut self, next: NextStep, allowance: Allowance) {
        let is_retry = self.plan.may_be_counted();
        let number = self.plan.begin_attempt(next);
        let (edge, routed) = (self.edge, self.routed);
        edge.counters.bypassed_shields.increment();
        edge.update_quota_share();
        if !is_retry {
            edge.forwarder.record_client_request(routed.service);
        }
        self.pending.push(number, async move {
            // The client's own headers, not those for shields: the server answers a range request itself.
            let request = routed.upstream_request(routed.headers.clone(), is_retry);
            let (outcome, report) = edge.forwarder.send_with_allowance(request, allowance).await;
            AttemptResult::Servers(ServerAttemptEnd { outcome, report })
        });
    }

    /// Waits for the end of an attempt, or until the hedge delay of the last one has passed. Returns the client's response
    /// if the read has ended.
    async fn wait(&mut self) -> Option<ProxyResponse> {
        let next_ended = self.pending.next_ended();
        let ended = match &self.hedge_timer {
            None => Some(next_ended.await),
            Some(timer) => timeout_at(timer.expires, next_ended).await.ok(),
        };
        let Some(EndedAttempt { number, result }) = ended else {
            self.hedge_delay_passed();
            return None;
        };
        match result {
            AttemptResult::Shield(end) => self.shield_attempt_ended(number, end),
            AttemptResult::Servers(end) => self.server_attempt_ended(number, end),
        }
    }

    fn hedge_delay_passed(&mut self) {
        self.plan.hedge_delay_passed();
        let Some(HedgeTimer { shield, sent, .. }) = self.hedge_timer.take() else { return };
        self.edge.shields.record_failure(&shield, sent);
        self.edge.counters.shield_failures.increment();
        self.attempt_log.record(&self.edge.attempt_counts, &shield, AttemptOutcome::Unresponsive);
        self.excluded_shields.push(shield);
    }

    /// Handles the end of an attempt at a shield. Returns the client's response if the read has ended.
    fn shield_attempt_ended(&mut self, number: usize, end: ShieldAttemptEnd) -> Option<ProxyResponse> {
        let ShieldAttemptEnd { shield, sent, result } = end;
        if self.hedge_timer.as_ref().is_some_and(|timer| timer.shield == shield) {
            self.hedge_timer = None;
        }
        let (outcome, response) = self.edge.classify(result);
        self.attempt_log.record(&self.edge.attempt_counts, &shield, outcome);
        match response {
            Some(response) => self.shield_answered(number, &shield, sent, response),
            None => {
                self.shield_failed(number, shield, sent, outcome);
                None
            }
        }
    }

    fn shield_failed(&mut self, number: usize, shield: ServerId, sent: Instant, outcome: AttemptOutcome) {
        let may_have_run = outcome == AttemptOutcome::ConnectionLost;
        self.plan
            .end_attempt(number, if may_have_run { AttemptEnd::ResponseLost } else { AttemptEnd::NotSent });
        if self.excluded_shields.contains(&shield) {
            return;
        }
        // A shield without a lease is otherwise healthy, and will hold one soon. If its failure were recorded, it would
        // be ejected for longer than that, and another shield would fetch again what it has stored.
        if outcome != AttemptOutcome::NoLease {
            self.edge.shields.record_failure(&shield, sent);
        }
        self.edge.counters.shield_failures.increment();
        self.excluded_shields.push(shield);
    }

    fn shield_answered(
        &mut self,
        number: usize,
        shield: &ServerId,
        sent: Instant,
        response: ServerResponse,
    ) -> Option<ProxyResponse> {
        self.edge.shields.record_answer(shield, sent);
        let report = SendReport::from_response(response.headers()).unwrap_or_default();
        let verdict = self.plan.end_attempt(number, AttemptEnd::Answered(report));
        let is_rejection = response.status() == StatusCode::SERVICE_UNAVAILABLE
            && response.shield_source() == Some(ShieldSource::Local);
        let response = self.client_response(response, shield, sent);
        match verdict {
            Verdict::Final => Some(self.final_response(response, is_rejection)),
            Verdict::Retry => self.keep_fallback(response, report),
        }
    }

    fn server_attempt_ended(&mut self, number: usize, end: ServerAttemptEnd) -> Option<ProxyResponse> {
        let ServerAttemptEnd { outcome, report } = end;
        let verdict = self.plan.end_attempt(number, AttemptEnd::Answered(report));
        let is_rejection = matches!(outcome, Outcome::NotRun(_));
        let response = self.edge.response_to(outcome, &Method::GET);
        // A shield that did not respond within the hedge delay may still answer.
        let may_be_answered = is_rejection && !self.pending.is_empty();
        match verdict {
            Verdict::Final if !may_be_answered => Some(self.final_response(response, is_rejection)),
            Verdict::Final | Verdict::Retry => self.keep_fallback(response, report),
        }
    }

    /// The client's response when no further attempt follows. The response of an earlier attempt is preferred to a
    /// rejection, which only reports that no other server can be tried.
    fn final_response(&mut self, response: ProxyResponse, is_rejection: bool) -> ProxyResponse {
        if is_rejection {
            self.fallback.take().unwrap_or(response)
        } else {
            response
        }
    }

    /// Keeps a response in case no later attempt gets a better one. A server's response is preferred to a local one.
    fn keep_fallback(&mut self, response: ProxyResponse, report: SendReport) -> Option<ProxyResponse> {
        if report.used > 0 || self.fallback.is_none() {
            self.fallback = Some(response);
        }
        None
    }

    /// The client's response for a shield's response, which is stored in the local cache if allowed.
    fn client_response(&self, response: ServerResponse, shield: &ServerId, sent: Instant) -> ProxyResponse {
        let client_headers = &self.routed.request.head.headers;
        if let (StatusCode::NOT_MODIFIED, Some(stale)) = (response.status(), &self.stale) {
            self.edge.counters.revalidated.increment();
            if let Some(fetch_time) = StoredResponse::fetched_at(&response, sent) {
                stale.revalidate(fetch_time);
            }
            return stale.respond_to(client_headers).into();
        }
        let is_complete = !self.shield_headers.contains_key(header::RANGE);
        if is_complete && !self.edge.shields.is_same_zone(shield) {
            self.edge.cache_response(&self.object, &response, sent);
        }
        if self.stale.is_some() && response.status() == StatusCode::OK {
            // The client's range was removed from the request for the revalidation; it is applied here.
            if let Some(stored) = StoredResponse::from_response(&response, sent) {
                return stored.respond_to(client_headers).into();
            }
        }
        response.forward_from_shield()
    }
}
