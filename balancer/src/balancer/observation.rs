//! What the end of an attempt reveals about its server, the fleet and the origin.

use super::Balancer;
use crate::cached_keys::CacheLocation;
use crate::connections::MIN_SUSPECT_IDLE_TIME;
use crate::interface::{Action, CacheStatus, Load, RequestId, Seconds, ServerId, Status};
use crate::latency::OVERLOAD_QUEUE_DELAY;
use crate::outlier_ejection::ejection_time;
use crate::peer_message::PeerMessage;

/// A server's concurrency limit is multiplied by this when answers are slow.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// A server that reports fewer requests in flight than this is not considered overloaded.
const MIN_OVERLOAD_QUEUE: f64 = 4.0;
/// A server is overloaded if it needs longer than this to serve its requests in flight, as a share of the
/// shortest latency target. This detects a queue long before answers miss the latency target.
const OVERLOAD_DRAIN_TIME_SHARE: f64 = 0.3;
/// Queueing delay, as a share of the latency target, from which a fetch counts as slow.
const SLOW_FETCH_DELAY: f64 = 1.0;

/// An attempt that has just ended.
pub(super) struct EndedAttempt {
    pub(super) request: RequestId,
    pub(super) location: CacheLocation,
    pub(super) status: Status,
    pub(super) elapsed: Seconds,
    pub(super) sent: Seconds,
    /// How long this node's connections to the server had been idle when the attempt was sent.
    pub(super) idle_time: Seconds,
    /// Elapsed time minus the expected work, as a share of the latency target.
    pub(super) queue_delay: f64,
    pub(super) to_origin: bool,
    pub(super) write: bool,
    /// Whether the server was assumed to have the key; always true for the origin.
    pub(super) was_cached: bool,
    pub(super) is_small_deployment: bool,
    pub(super) cache_status: Option<CacheStatus>,
    pub(super) load: Option<Load>,
    /// Whether the request already had its final answer.
    pub(super) had_ended: bool,
    pub(super) is_finished: bool,
}

impl EndedAttempt {
    /// Whether a cache server reported that it lacked the key.
    fn was_fetched(&self) -> bool {
        self.cache_status == Some(CacheStatus::Miss)
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

    /// Whether it was queued so long that its server may be overloaded.
    fn was_slow(&self) -> bool {
        self.queue_delay > OVERLOAD_QUEUE_DELAY
    }

    /// Whether the status means that the server answered.
    fn is_answer(&self) -> bool {
        !self.was_reset() && !matches!(self.status, Status::TimedOut | Status::Cancelled | Status::NotSent)
    }
}

/// What is known about the server when one of its attempts ends.
struct ServerEvidence {
    /// This node's attempts in flight to the server, including the one that ended.
    in_flight: f64,
    /// Whether the connection was probably dead before the attempt.
    used_stale_connection: bool,
    /// Whether the server has answered an attempt that was sent clearly later than this one. Servers queue
    /// requests in order, so this attempt did not wait in the queue: its connection is dead, or its answer
    /// was lost or sent in part. Its end then says nothing about the server's load. Drawback: if a server
    /// starves some requests while it serves others, the time-outs of the former do not lower its limit.
    was_overtaken: bool,
    /// Whether the server has answered any attempt of this node since this one was sent.
    has_answered_since: bool,
    is_origin: bool,
}

impl Balancer {
    /// Updates the state of the server, the known cached keys and the origin from the end of an attempt.
    pub(super) fn observe(&mut self, attempt: &EndedAttempt) {
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
        // It timed out while the server answered other attempts, and not because of the request's own work.
        let was_silently_dropped = attempt.timed_out() && attempt.was_slow() && has_answered_since;
        let was_dropped = was_silently_dropped || attempt.status == Status::Broken;
        let overtaken_after = attempt.sent + OVERLOAD_QUEUE_DELAY * self.config.min_latency_target();
        Some(ServerEvidence {
            in_flight: server.in_flight(),
            used_stale_connection: attempt.idle_time >= MIN_SUSPECT_IDLE_TIME && was_dropped,
            was_overtaken: server.health.has_answered_attempt_sent_after(overtaken_after),
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
            // Errors for uncached keys, or while fetches fail, come from the origin.
            Status::Error => attempt.was_cached && !attempt.write && !origin_is_slow,
            Status::Broken => !evidence.used_stale_connection && is_down,
            // Servers may be healthy but accept too few connections.
            Status::Unreachable => !is_small || (!connections_are_scarce && is_down),
            // A timeout is the server's failure only if the server has answered nothing since the send
            // (otherwise the origin was slow), and only if the attempt left it enough time: one that is sent
            // shortly before its deadline times out anywhere.
            Status::TimedOut => !evidence.has_answered_since && attempt.was_slow() && is_small,
            _ => false,
        }
    }

    /// Adapts the concurrency limit of the server to how quickly it answered.
    ///
    /// Answers of the origin count although they are cache misses. Otherwise nothing would raise the origin's
    /// limit again, and each decrease (after an overload, a pause or lost answers) would be permanent. The
    /// origin's answer times vary widely, with single slow answers at any load, so it counts as slow only by
    /// its mean.
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
            Status::TimedOut => (attempt.was_cached || server.limit.value() < 1.0) && !evidence.was_overtaken,
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

    /// Reduces the server's key share if it reports a queue or answers slowly, and notifies the other nodes.
    fn detect_overload(&mut self, attempt: &EndedAttempt, evidence: &ServerEvidence) {
        let drain_time = OVERLOAD_DRAIN_TIME_SHARE * self.config.min_latency_target();
        let reports_queue = attempt.load.is_some_and(|load| {
            load.in_flight >= MIN_OVERLOAD_QUEUE.max(load.served_per_second * drain_time)
        });
        let is_unanswered = attempt.timed_out() && !evidence.was_overtaken;
        let is_slow = (attempt.was_hit() || is_unanswered) && attempt.was_slow();
        // In mode `ReadThrough` a request that moves to another server causes a miss, which uses capacity:
        // requests wait for the overloaded server instead.
        let may_move_keys = !evidence.is_origin && !self.config.caches_read_through();
        if (reports_queue || is_slow) && may_move_keys && self.reduce_key_share(&attempt.location.server) {
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
        } else if !failed && attempt.is_answer() {
            server.health.record_answer(now, attempt.sent);
        }
    }

    /// Updates the miss share and the fetch limit from the end of an attempt.
    fn observe_fetch(&mut self, attempt: &EndedAttempt, evidence: &ServerEvidence) {
        let has_cache_status = attempt.cache_status.is_some();
        if has_cache_status && !attempt.was_cached && !attempt.write {
            self.fetches.record_lookup(attempt.cache_status != Some(CacheStatus::Hit), self.now);
        }
        if !self.config.caches_read_through() {
            return;
        }
        // If caches do not report hits, answers for keys not known to be cached count as fetches. If only
        // errors counted, a few of them would block fetches from the origin permanently.
        let was_fetched = attempt.was_fetched() || (!has_cache_status && !attempt.was_cached);
        let is_slow = match attempt.status {
            Status::Success if was_fetched => Some(attempt.queue_delay > SLOW_FETCH_DELAY),
            Status::TimedOut if !attempt.was_cached && evidence.has_answered_since => Some(true),
            Status::Error => Some(true),
            _ => None,
        };
        if let Some(is_slow) = is_slow {
            self.fetches.record_fetch(is_slow, self.now, attempt.sent);
        }
    }

    /// Updates which keys the server is assumed to have. A write invalidates the cached key; a read that ends
    /// in an error was not a hit.
    fn update_cached_keys(&mut self, attempt: &EndedAttempt) {
        let was_served = attempt.status == Status::Success;
        if attempt.status == Status::Error || (was_served && attempt.write) {
            self.cached_keys.remove(&attempt.location);
        } else if was_served && self.config.caches_read_through() {
            self.cached_keys.insert(attempt.location.clone(), self.now);
        }
    }

    /// Handles an overload of a server that this or another node has detected. Returns whether the key share
    /// was reduced.
    pub(super) fn reduce_key_share(&mut self, id: &ServerId) -> bool {
        let now = self.now;
        self.servers.get_mut(id).is_some_and(|server| server.key_share.reduce(now))
    }

    /// Handles a failure of a server, or a missing answer, at this or another node.
    pub(super) fn record_failure(&mut self, id: &ServerId) {
        let ejection_time = ejection_time(self.jitter.next_fraction());
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.health.record_failure(self.now, ejection_time) {
            self.actions.push(Action::Log(format!("{} fails, left alone", id.0)));
        }
    }

    fn notify_peers(&mut self, message: &PeerMessage) {
        if self.config.settings().limits.peer_messages {
            self.actions.push(Action::NotifyPeers(message.encode()));
        }
    }
}
