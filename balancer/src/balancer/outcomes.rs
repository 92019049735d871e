//! Ends of attempts: what each tells of its server, the fleet and the origin, and what follows for its
//! request.

use super::Balancer;
use crate::cached_keys::CacheLocation;
use crate::connections::MIN_SUSPECT_IDLE_TIME;
use crate::interface::{Action, CacheNote, Load, Outcome, RequestId, Seconds, ServerId, Status};
use crate::latency::OVERLOAD_QUEUE_DELAY;
use crate::outlier_ejection::ejection_time;
use crate::peer_message::PeerMessage;

/// What a request may work on a slow core, against its hint: heavy requests must not pass for overload.
const SLOW_CORE_FACTOR: f64 = 1.5;
/// Queued requests that are dispatched when an attempt ends: that frees capacity for one. The others wait for
/// the next housekeeping.
const DISPATCHED_PER_OUTCOME: usize = 2;
/// A concurrency limit falls by this factor when answers are slow.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// Requests that a server reports in progress from which it may be overloaded ...
const MIN_OVERLOAD_QUEUE: f64 = 4.0;
/// ... if it also serves fewer in this part of the tightest latency target: that tells of a queue long before
/// answers come too late.
const QUEUE_DRAIN_TIME: f64 = 0.3;
/// Queueing delay, as a share of the latency target, from which a fetch is late.
const LATE_FETCH_DELAY: f64 = 1.0;

/// An attempt that has just ended.
struct EndedAttempt {
    request: RequestId,
    location: CacheLocation,
    status: Status,
    elapsed: Seconds,
    sent: Seconds,
    /// How long this node's connections to the server had lain idle before.
    idle_time: Seconds,
    /// The part of the answer's time that was not work, as a share of the latency target.
    queue_delay: f64,
    to_origin: bool,
    write: bool,
    /// Whether the server was known to have the key.
    was_known: bool,
    is_small_deployment: bool,
    note: Option<CacheNote>,
    load: Option<Load>,
    /// Whether the request had its final answer before.
    had_ended: bool,
    is_finished: bool,
}

impl EndedAttempt {
    /// Whether a cache server reported that it lacked the key.
    fn was_fetched(&self) -> bool {
        self.note == Some(CacheNote::Miss)
    }

    fn was_hit(&self) -> bool {
        self.status == Status::Success && !self.was_fetched()
    }

    fn timed_out(&self) -> bool {
        self.status == Status::TimedOut
    }

    fn was_reset(&self) -> bool {
        matches!(self.status, Status::Broken | Status::Unreachable)
    }

    /// Whether it waited so long that its server may be overloaded.
    fn was_slow(&self) -> bool {
        self.queue_delay > OVERLOAD_QUEUE_DELAY
    }

    /// Whether its end shows that the server answers. Neither a failure nor a reset is one.
    fn shows_answer(&self) -> bool {
        !self.was_reset() && !matches!(self.status, Status::TimedOut | Status::Cancelled | Status::Void)
    }
}

/// What else is known of the server when an attempt ends there.
struct ServerEvidence {
    /// Attempts in flight to it, the ended one included.
    in_flight: f64,
    /// Whether the connection was probably dead before the attempt.
    used_stale_connection: bool,
    /// Whether an attempt that was sent clearly later has been answered. Work waits in turn: then this one
    /// was not waiting. Its connection is dead or silent, or its answer was lost or half sent: none of it
    /// says how loaded the server is. Harm: a server that starves some while it serves others is limited by
    /// slow answers alone.
    was_overtaken: bool,
    /// Whether the server has answered anybody since the attempt was sent.
    has_answered_since: bool,
    is_origin: bool,
}

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

    /// Notes the end at its request; `None` if no such attempt is in flight.
    fn end_attempt(&mut self, outcome: Outcome) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&outcome.request)?;
        let attempt = request.in_flight_mut(outcome.attempt)?;
        attempt.status = Some(outcome.status);
        let (server, to_origin, idle_time) = (attempt.server.clone(), attempt.to_origin, attempt.idle_time);
        let waited = (outcome.elapsed - SLOW_CORE_FACTOR * request.work).max(0.0);
        let location = CacheLocation { key: request.key, server };
        let cache = &self.config.settings().cache;
        let is_origin = self.servers.get(&location.server).is_some_and(|server| server.is_origin(cache));
        Some(EndedAttempt {
            request: outcome.request,
            status: outcome.status,
            elapsed: outcome.elapsed,
            sent: self.now - outcome.elapsed,
            idle_time,
            queue_delay: waited / self.config.class(request.class).aim,
            to_origin,
            write: request.write,
            was_known: is_origin || self.cached_keys.contains(&location, self.now),
            is_small_deployment: self.config.is_small_deployment(),
            note: outcome.note,
            load: outcome.load,
            had_ended: request.ended,
            is_finished: outcome.finished,
            location,
        })
    }

    /// A fetch is over, successful or not: those who waited for it ask their cache server.
    fn dispatch_waiters(&mut self, attempt: &EndedAttempt) {
        for waiter in self.fetches.finish(attempt.location.key, attempt.request) {
            if let Some(request) = self.requests.get_mut(&waiter) {
                request.missed = false;
            }
            self.dispatch(waiter);
        }
    }

    /// What follows for a request whose attempt did not serve it.
    fn continue_request(&mut self, attempt: &EndedAttempt) {
        let id = attempt.request;
        let is_absent = attempt.status == Status::Absent;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if self.now + self.config.deadline_margin() >= request.deadline {
            return self.end(id);
        }
        // The last attempt goes to the origin, which has every key (mode `Aside`).
        let max_attempts = self.config.settings().limits.max_attempts as usize;
        request.missed |= is_absent || request.attempts.len() + 1 >= max_attempts;
        if request.attempts_in_flight() > 0 {
            // The hedged request may still be answered, but where the key is not cached it finds no more.
            if is_absent {
                self.cancel_attempts(id);
            }
            return;
        }
        let is_cancelled_hedge = request.missed && request.attempts.len() > 1;
        match attempt.status {
            Status::Cancelled if is_cancelled_hedge => self.dispatch(id),
            Status::Cancelled | Status::Void => self.end(id),
            // A failed fetch fails elsewhere too.
            Status::Error if attempt.to_origin => self.end(id),
            _ => self.dispatch(id),
        }
    }

    /// Closes idle connections where open ones of every node cost more than new ones, where servers that run
    /// accept too few for all nodes, and at a server that drains (rule six).
    fn close_idle_connections(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get(id) else { return };
        let settings = self.config.settings();
        let must_close = !server.is_ready() && settings.guarantees.close_on_drain.is_some();
        let recent_requests = self.popularity.recent_requests(self.now);
        let is_costly =
            self.connections.idle_is_costly(&settings.prices, self.config.nodes(), recent_requests, self.now);
        let is_idle_cache = server.in_flight() == 0.0 && server.capacity() > 0.0;
        if must_close || (is_costly && is_idle_cache) {
            self.actions.push(Action::CloseIdle(id.clone()));
        }
    }

    /// What the end of an attempt tells of its server, of the key's location and of the origin.
    fn observe(&mut self, attempt: &EndedAttempt) {
        let Some(evidence) = self.collect_evidence(attempt) else {
            self.servers.end_attempt(&attempt.location.server, self.now);
            return;
        };
        if evidence.used_stale_connection {
            self.connections.suspect(attempt.idle_time, self.now);
            self.actions.push(Action::CloseIdle(attempt.location.server.clone()));
        }
        self.servers.end_attempt(&attempt.location.server, self.now);
        if attempt.was_hit() || (attempt.timed_out() && !evidence.was_overtaken) {
            self.latency.record(attempt.elapsed, attempt.queue_delay, self.now);
        }
        let failed = self.has_failed(attempt, &evidence);
        self.adjust_limit(attempt, &evidence);
        self.detect_overload(attempt, &evidence);
        self.update_health(attempt, failed);
        self.observe_fetch(attempt, &evidence);
        self.update_cached_keys(attempt);
    }

    fn collect_evidence(&self, attempt: &EndedAttempt) -> Option<ServerEvidence> {
        let server = self.servers.get(&attempt.location.server)?;
        let has_answered_since = server.health.has_answered_since(attempt.sent);
        // No answer, though others that were sent later have been answered, and not for its work.
        let is_silent = attempt.timed_out() && attempt.was_slow() && has_answered_since;
        let was_dropped = is_silent || attempt.status == Status::Broken;
        let clearly_later = attempt.sent + OVERLOAD_QUEUE_DELAY * self.config.min_latency_target();
        Some(ServerEvidence {
            in_flight: server.in_flight(),
            used_stale_connection: attempt.idle_time >= MIN_SUSPECT_IDLE_TIME && was_dropped,
            was_overtaken: server.health.has_answered_attempt_sent_after(clearly_later),
            has_answered_since,
            is_origin: server.is_origin(&self.config.settings().cache),
        })
    }

    /// Whether the end of the attempt shows that its server fails.
    fn has_failed(&mut self, attempt: &EndedAttempt, evidence: &ServerEvidence) -> bool {
        let connections_are_scarce = self.connections.are_scarce();
        let origin_is_slow = self.fetches.origin_is_slow();
        let Some(server) = self.servers.get_mut(&attempt.location.server) else { return false };
        if attempt.was_reset() {
            server.health.record_reset();
        }
        let is_down = server.health.is_down();
        let is_small = attempt.is_small_deployment;
        match attempt.status {
            // Errors of unknown keys or while fetches fail are the origin's.
            Status::Error => attempt.was_known && !attempt.write && !origin_is_slow,
            Status::Broken => !evidence.used_stale_connection && is_down,
            // Connections may just be scarce.
            Status::Unreachable => !is_small || (!connections_are_scarce && is_down),
            // A time-out tells of its server only where that has answered nobody since, of the origin
            // otherwise; and only one that left it the time to answer: what is sent with little left runs out
            // anywhere.
            Status::TimedOut => !evidence.has_answered_since && attempt.was_slow() && is_small,
            _ => false,
        }
    }

    /// Adapts the concurrency limit of the server to how quickly it answered.
    ///
    /// What the origin serves is its own work, though no cache had it: else no answer would let its limit
    /// grow again, and each decrease, whatever its cause (an overload, a pause, lost answers), would be for
    /// good. Its times vary much, so it is slow when they are so by the mean: single slow ones come at any
    /// load.
    fn adjust_limit(&mut self, attempt: &EndedAttempt, evidence: &ServerEvidence) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&attempt.location.server) else { return };
        let was_served = attempt.status == Status::Success && (!attempt.was_fetched() || evidence.is_origin);
        if was_served {
            server.queue_delay.record(attempt.queue_delay, now);
        }
        let was_slow = attempt.was_slow() && (!evidence.is_origin || server.is_busy());
        let is_at_limit = match attempt.status {
            Status::Overloaded => true,
            Status::TimedOut => (attempt.was_known || server.limit.value() < 1.0) && !evidence.was_overtaken,
            _ => was_served && was_slow,
        };
        if is_at_limit {
            let was_rejected = attempt.status == Status::Overloaded;
            let in_flight = if was_rejected { evidence.in_flight } else { f64::MAX };
            server.limit.decrease(LIMIT_DECREASE_FACTOR, in_flight, now, attempt.sent);
        } else if was_served {
            server.limit.increase(evidence.in_flight);
        }
    }

    /// Lets the server take fewer keys if it reports a queue or answers too late, and notifies the other
    /// nodes.
    fn detect_overload(&mut self, attempt: &EndedAttempt, evidence: &ServerEvidence) {
        let drain_time = QUEUE_DRAIN_TIME * self.config.min_latency_target();
        let reports_queue =
            attempt.load.is_some_and(|load| load.held >= MIN_OVERLOAD_QUEUE.max(load.rate * drain_time));
        let is_unanswered = attempt.timed_out() && !evidence.was_overtaken;
        let is_late = (attempt.was_hit() || is_unanswered) && attempt.was_slow();
        // In mode `Through` a jump is a miss that takes up capacity: there an overloaded server is waited
        // for.
        let may_pass_keys = !evidence.is_origin && !self.config.caches_read_through();
        if (reports_queue || is_late) && may_pass_keys && self.reduce_key_share(&attempt.location.server) {
            self.notify_peers(&PeerMessage::Overloaded(attempt.location.server.clone()));
        }
    }

    fn update_health(&mut self, attempt: &EndedAttempt, failed: bool) {
        let now = self.now;
        let id = &attempt.location.server;
        let Some(server) = self.servers.get_mut(id) else { return };
        if failed && server.health.was_sent_after_ejection(attempt.sent) {
            self.notify_peers(&PeerMessage::Failing(id.clone()));
            self.record_failure(id);
        } else if !failed && attempt.shows_answer() {
            server.health.record_answer(now, attempt.sent);
        }
    }

    /// What the end of the attempt tells of fetches.
    fn observe_fetch(&mut self, attempt: &EndedAttempt, evidence: &ServerEvidence) {
        let has_note = attempt.note.is_some();
        if has_note && !attempt.was_known && !attempt.write {
            self.fetches.record_lookup(attempt.note != Some(CacheNote::Hit), self.now);
        }
        if !self.config.caches_read_through() {
            return;
        }
        // Where caches do not report hits, answers of unknown keys stand for fetches: a few errors, alone,
        // would block the way to the origin for good.
        let was_fetched = attempt.was_fetched() || (!has_note && !attempt.was_known);
        let is_late = match attempt.status {
            Status::Success if was_fetched => Some(attempt.queue_delay > LATE_FETCH_DELAY),
            Status::TimedOut if !attempt.was_known && evidence.has_answered_since => Some(true),
            Status::Error => Some(true),
            _ => None,
        };
        if let Some(is_late) = is_late {
            self.fetches.record_fetch(is_late, self.now, attempt.sent);
        }
    }

    /// A write makes what is cached void; a read that ends in an error was no hit and must not pass as known.
    fn update_cached_keys(&mut self, attempt: &EndedAttempt) {
        let was_served = attempt.status == Status::Success;
        if attempt.status == Status::Error || (was_served && attempt.write) {
            self.cached_keys.remove(&attempt.location);
        } else if was_served && self.config.caches_read_through() {
            self.cached_keys.insert(attempt.location.clone(), self.now);
        }
    }

    /// This node or another has found that a server holds more than it can answer in time. Returns whether
    /// that was news.
    pub(super) fn reduce_key_share(&mut self, id: &ServerId) -> bool {
        let now = self.now;
        self.servers.get_mut(id).is_some_and(|server| server.key_share.reduce(now))
    }

    /// This node or, where nodes may notify each other, another had no answer or a failure from a server.
    pub(super) fn record_failure(&mut self, id: &ServerId) {
        let ejection_time = ejection_time(self.jitter.next_fraction());
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.health.record_failure(self.now, ejection_time) {
            self.actions.push(Action::Log(format!("{} fails, left alone", id.0)));
        }
    }

    fn notify_peers(&mut self, message: &PeerMessage) {
        if self.config.settings().limits.peers {
            self.actions.push(Action::Tell(message.encode()));
        }
    }
}
