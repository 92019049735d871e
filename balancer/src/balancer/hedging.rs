//! Hedged requests: a second attempt of a read whose first attempt is probably lost.

use super::Balancer;
use crate::interface::{RequestId, ServerId};
use crate::latency::OVERLOAD_QUEUE_DELAY;
use crate::request::{Attempt, Request};
use crate::server::Server;
use crate::settings::Effect;

/// A second attempt to send.
struct HedgedRequest {
    request: RequestId,
    server: ServerId,
    to_origin: bool,
}

impl Balancer {
    /// Sends a read a second time, in parallel to the attempt in flight, if the server has answered attempts
    /// that were sent at least half a latency target later. The connection of the first attempt is then
    /// probably dead, or the request or its answer is lost or stuck in transit; without a second attempt the
    /// read would wait until its timeout. The hedged request goes to the same server, because the key is
    /// cached there. Expensive requests are overtaken too, and hedging doubles their work. Therefore no
    /// hedged request goes to a server that is slow on average, at its limit or warming up. Hedged requests
    /// use at most half of the retry budget.
    pub(super) fn send_hedged_requests(&mut self) {
        let candidates: Vec<HedgedRequest> =
            self.requests.iter().filter_map(|(&id, request)| self.hedged_request(id, request)).collect();
        for HedgedRequest { request, server, to_origin } in candidates {
            let is_below_limit = self.servers.get(&server).is_some_and(Server::is_below_limit);
            if is_below_limit && self.retry_budget.allows_hedged_request(self.now) {
                self.send(request, &server, to_origin);
            }
        }
    }

    /// The hedged request to send for this request; `None` if it may not be hedged or was not overtaken.
    fn hedged_request(&self, id: RequestId, request: &Request) -> Option<HedgedRequest> {
        let attempt = request.attempts.last()?;
        let server = self.servers.get(&attempt.server)?;
        let may_hedge = self.may_hedge(request)
            && self.can_take_hedged_request(server)
            && self.is_overtaken(request, attempt, server);
        may_hedge.then(|| HedgedRequest {
            request: id,
            server: attempt.server.clone(),
            to_origin: attempt.to_origin,
        })
    }

    /// Whether the deployment and the state of the request allow a second attempt in flight.
    fn may_hedge(&self, request: &Request) -> bool {
        let limits = &self.config.settings().limits;
        let is_idempotent = self.config.class(request.class).effect == Effect::Safe && !request.write;
        let is_over = request.ended
            || request.streaming
            || request.attempts.len() >= limits.max_attempts as usize
            || self.now >= request.deadline;
        limits.hedging && limits.cancel && is_idempotent && !is_over
    }

    fn can_take_hedged_request(&self, server: &Server) -> bool {
        server.is_ready()
            && !server.is_warming_up()
            && !server.is_busy()
            && !server.health.is_ejected(self.now)
    }

    /// Whether the server has answered an attempt that was sent at least half a latency target after the only
    /// attempt in flight.
    fn is_overtaken(&self, request: &Request, attempt: &Attempt, server: &Server) -> bool {
        let margin = OVERLOAD_QUEUE_DELAY * self.config.class(request.class).latency_target;
        attempt.status.is_none()
            && request.attempts_in_flight() == 1
            && server.health.has_answered_attempt_sent_after(attempt.sent + margin)
    }
}
