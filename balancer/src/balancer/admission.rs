//! The lifecycle of a request: admission, queueing, sending, and its final answer.

use super::Balancer;
use crate::interface::{Action, Key, NewRequest, RequestId, Seconds, ServerId, TimerToken};
use crate::request::{Attempt, Request};
use crate::rjch::splitmix64;

/// How long a request may be queued while all servers are full, as a share of its class's latency target.
const MAX_QUEUE_TIME_SHARE: f64 = 0.25;
/// Replaces [`MAX_QUEUE_TIME_SHARE`] for requests over their tenant's quota.
const MAX_QUEUE_TIME_SHARE_OVER_QUOTA: f64 = 0.1;
/// The origin's fetch limit is multiplied by this for writes.
const WRITE_FETCH_PRIORITY: f64 = 2.0;
const READ_FETCH_PRIORITY: f64 = 1.0;

/// Where a request is to be sent next.
struct Target {
    server: Option<ServerId>,
    /// Whether the attempt is expected to reach the origin.
    to_origin: bool,
}

impl Balancer {
    pub(super) fn on_request(&mut self, new: NewRequest) {
        if self.requests.contains_key(&new.id) {
            return;
        }
        self.retry_budget.record_request(self.now);
        let key = new.key.unwrap_or(Key(splitmix64(new.id.0)));
        self.popularity.record(key, self.now);
        let over_quota = self.quotas.charge(
            new.tenant,
            &self.config.settings().tenants,
            self.config.node_share(1.0),
            self.config.slow_start_duration(),
            self.now,
        );
        let request = Request {
            class: self.config.class_index(new.class.map(|class| class.0)),
            key,
            write: new.write,
            arrived: self.now,
            deadline: self.now + new.time_left,
            work: new.work_hint.unwrap_or(0.0).max(0.0),
            over_quota,
            slot_fraction: self.jitter.next_fraction(),
            ..Request::default()
        };
        // The timer ends the request before the client's deadline if it has no final answer by then.
        let after = (new.time_left - self.config.deadline_margin()).max(0.0);
        self.actions.push(Action::SetTimer { token: TimerToken(new.id.0 + 1), after });
        self.requests.insert(new.id, request);
        self.dispatch(new.id);
    }

    /// Dispatches at most `max_requests` queued requests, oldest first.
    pub(super) fn dispatch_queued(&mut self, max_requests: usize) {
        let count = max_requests.min(self.queue.len());
        let requests: Vec<RequestId> = self.queue.drain(..count).collect();
        for request in requests {
            self.dispatch(request);
        }
    }

    /// Sends a request to a server, queues it, or ends it. Does nothing while an attempt is in flight.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.needs_attempt()) else { return };
        let costs_budget = request.next_attempt_costs_budget(self.config.uses_default_retry_budget());
        if costs_budget && !self.retry_budget.allows_retry(self.now) {
            return self.end(id);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let Target { server, to_origin } = self.choose_target(request);
        // Request coalescing: a read that would fetch the same key waits for the fetch in flight.
        if !request.write && to_origin && self.fetches.wait_for_fetch(request.key, id) {
            return;
        }
        // Requests to the origin are limited separately, with priority for writes, so that cache hits do not
        // queue behind them.
        let exceeds_fetch_limit =
            to_origin && self.config.caches_read_through() && !self.origin_allows(request);
        match server {
            Some(server) if !exceeds_fetch_limit => self.send(id, &server, to_origin),
            _ => self.queue_or_end(id),
        }
    }

    fn choose_target(&self, request: &Request) -> Target {
        let reads_through = self.config.caches_read_through();
        let must_reach_origin = !reads_through && (request.write || request.missed);
        let server =
            if must_reach_origin { self.choose_origin(request) } else { self.choose_server(request) };
        let is_uncached = server.as_ref().is_some_and(|server| !self.is_cached(request.key, server));
        let to_origin = request.write || (is_uncached && (request.missed || reads_through));
        Target { server, to_origin }
    }

    fn origin_allows(&self, request: &Request) -> bool {
        let priority = if request.write { WRITE_FETCH_PRIORITY } else { READ_FETCH_PRIORITY };
        self.fetches.allows(priority, self.config.min_latency_target(), self.now)
    }

    fn queue_or_end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let max_queue_share =
            if request.over_quota { MAX_QUEUE_TIME_SHARE_OVER_QUOTA } else { MAX_QUEUE_TIME_SHARE };
        let queued_until =
            request.arrived + self.config.class(request.class).latency_target * max_queue_share;
        let no_retry_possible = !request.attempts.is_empty() && !self.rules().may_send_to_any(request);
        if no_retry_possible || self.now >= queued_until || self.now >= request.deadline {
            self.end(id);
        } else {
            self.queue.push_back(id);
        }
    }

    /// Sends the next attempt of a request.
    pub(super) fn send(&mut self, id: RequestId, server: &ServerId, to_origin: bool) {
        let now = self.now;
        let is_default_budget = self.config.uses_default_retry_budget();
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.next_attempt_costs_budget(is_default_budget) {
            self.retry_budget.record_retry(now);
        }
        let idle_time = self.servers.get(server).map_or(0.0, |server| server.idle_time(now));
        // Guards against idle connections that were reset or silently dropped. After a server crash this
        // costs additional handshakes.
        if idle_time >= self.connections.suspect_idle_time(now) {
            self.actions.push(Action::CloseIdle(server.clone()));
        }
        request.attempts.push(Attempt {
            server: server.clone(),
            sent: now,
            to_origin,
            idle_time,
            status: None,
        });
        if to_origin {
            self.fetches.begin_attempt(now);
            if !request.write {
                self.fetches.begin_fetch(request.key, id);
            }
        }
        let time_left = request.deadline - now - self.config.deadline_margin();
        let timeout = Some(time_left.max(self.config.settings().event_interval));
        self.actions.push(Action::Send { request: id, server: server.clone(), timeout });
        self.servers.begin_attempt(server, now, self.latency.answer_time());
        if self.servers.get(server).is_some_and(|server| server.capacity() > 0.0) {
            self.connections.record_send(now);
        }
    }

    /// Ends a request without a server's answer: refuses it if a retry is harmless, otherwise fails it.
    pub(super) fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.ended || request.streaming {
            return;
        }
        let answer = if self.rules().may_refuse(request) {
            Action::Refuse { request: id, retry_after: self.retry_after() }
        } else {
            Action::Fail(id)
        };
        self.actions.push(answer);
        self.finish(id);
    }

    /// How long a refused client should wait. Capacity is freed within about the mean answer time, so an
    /// earlier retry would find the same load.
    fn retry_after(&self) -> Option<Seconds> {
        let limits = &self.config.settings().limits;
        let advice = self.latency.answer_time().min(limits.max_retry_after);
        (limits.retry_after && advice > 0.0).then_some(advice)
    }

    /// Marks a request as ended, because it has its final answer or its client has gone. Cancels its attempts
    /// in flight; removes the request if there are none.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let had_ended = std::mem::replace(&mut request.ended, true);
        let must_cancel = !had_ended && !request.streaming && self.config.settings().limits.cancel;
        if request.attempts_in_flight() == 0 {
            self.requests.remove(&id);
        } else if must_cancel {
            self.cancel_attempts(id);
        }
    }

    /// Cancels all attempts of a request that are in flight.
    pub(super) fn cancel_attempts(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let cancels = request.ids_in_flight().map(|attempt| Action::Cancel { request: id, attempt });
        self.actions.extend(cancels);
    }
}
