//! Ends of attempts: what happens to the request, and to requests that waited for its fetch.

use super::observation::EndedAttempt;
use super::Balancer;
use crate::cached_keys::CacheLocation;
use crate::interface::{Action, Outcome, ServerId, Status};

/// Allowance for slow cores: a request may take this multiple of its work hint before the rest of its time
/// counts as queueing delay. Otherwise expensive requests would look like overload.
const SLOW_CORE_FACTOR: f64 = 1.5;
/// Queued requests that are dispatched when an attempt ends. That frees capacity for one request; the
/// other queued requests are dispatched at the next housekeeping.
const DISPATCHED_PER_OUTCOME: usize = 2;

impl Balancer {
    pub(super) fn on_outcome(&mut self, outcome: Outcome) {
        let Some(attempt) = self.end_attempt(outcome) else { return };
        if attempt.to_origin {
            self.fetches.end_attempt();
        }
        self.connections.record_attempt_end(attempt.status == Status::Unreachable, self.now);
        self.observe(&attempt);
        if attempt.to_origin {
            self.dispatch_waiters(&attempt);
        }
        if attempt.had_ended || attempt.is_finished {
            self.finish(attempt.request);
        } else {
            self.continue_request(&attempt);
        }
        self.close_idle_connections(&attempt.location.server);
        self.dispatch_queued(DISPATCHED_PER_OUTCOME);
    }

    /// Records the status of an attempt at its request; `None` if no such attempt is in flight.
    fn end_attempt(&mut self, outcome: Outcome) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&outcome.request)?;
        let attempt = request.in_flight_mut(outcome.attempt)?;
        attempt.status = Some(outcome.status);
        let (server, to_origin, idle_time) = (attempt.server.clone(), attempt.to_origin, attempt.idle_time);
        let queue_time = (outcome.elapsed - SLOW_CORE_FACTOR * request.work).max(0.0);
        let location = CacheLocation { key: request.key, server };
        let cache = &self.config.settings().cache;
        let is_origin = self.servers.get(&location.server).is_some_and(|server| server.is_origin(cache));
        Some(EndedAttempt {
            request: outcome.request,
            status: outcome.status,
            elapsed: outcome.elapsed,
            sent: self.now - outcome.elapsed,
            idle_time,
            queue_delay: queue_time / self.config.class(request.class).latency_target,
            to_origin,
            write: request.write,
            was_cached: is_origin || self.cached_keys.contains(&location, self.now),
            is_small_deployment: self.config.is_small_deployment(),
            cache_status: outcome.cache_status,
            load: outcome.load,
            had_ended: request.ended,
            is_finished: outcome.finished,
            location,
        })
    }

    /// Dispatches the reads that waited for a fetch, whether it succeeded or failed, to their cache server.
    fn dispatch_waiters(&mut self, attempt: &EndedAttempt) {
        for waiter in self.fetches.end_fetch(attempt.location.key, attempt.request) {
            if let Some(request) = self.requests.get_mut(&waiter) {
                request.missed = false;
            }
            self.dispatch(waiter);
        }
    }

    /// Retries or ends a request whose attempt did not serve it.
    fn continue_request(&mut self, attempt: &EndedAttempt) {
        let id = attempt.request;
        let not_cached = attempt.status == Status::NotCached;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if self.now + self.config.deadline_margin() >= request.deadline {
            return self.end(id);
        }
        // The last attempt goes to the origin, which has every key (mode `Aside`).
        let max_attempts = self.config.settings().limits.max_attempts as usize;
        request.missed |= not_cached || request.attempts.len() + 1 >= max_attempts;
        if request.attempts_in_flight() > 0 {
            // The other attempt in flight may still be answered, unless the key is not cached at the server.
            if not_cached {
                self.cancel_attempts(id);
            }
            return;
        }
        let is_cancelled_hedge = request.missed && request.attempts.len() > 1;
        match attempt.status {
            Status::Cancelled if is_cancelled_hedge => self.dispatch(id),
            Status::Cancelled | Status::NotSent => self.end(id),
            // A fetch that failed at the origin would fail through any other server too.
            Status::Error if attempt.to_origin => self.end(id),
            _ => self.dispatch(id),
        }
    }

    /// Closes the idle connections to a server if open connections of all nodes cost more than new ones, if
    /// connections are scarce, or if the server is draining and `close_on_drain` is set.
    fn close_idle_connections(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get(id) else { return };
        let settings = self.config.settings();
        let must_close = !server.is_ready() && settings.guarantees.close_on_drain.is_some();
        let recent_requests = self.popularity.recent_requests(self.now);
        let is_costly =
            self.connections.idle_is_costly(&settings.prices, self.config.nodes(), recent_requests, self.now);
        let is_idle_cache_server = server.in_flight() == 0.0 && server.capacity() > 0.0;
        if must_close || (is_costly && is_idle_cache_server) {
            self.actions.push(Action::CloseIdle(id.clone()));
        }
    }
}
