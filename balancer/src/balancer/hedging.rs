//! Hedged requests: a second attempt of a read whose first one is probably lost.

use super::Balancer;
use crate::interface::{RequestId, ServerId};
use crate::latency::OVERLOAD_QUEUE_DELAY;
use crate::request::{Attempt, Request};
use crate::server::Server;
use crate::settings::Effect;

/// A second attempt that may be sent.
struct HedgedRequest {
    request: RequestId,
    server: ServerId,
    to_origin: bool,
}

impl Balancer {
    /// Sends a read again, in parallel to the attempt in flight, where attempts sent later by half a latency
    /// target have been answered: its connection is probably dead, and it would wait until its time-out.
    /// Guards as well against requests and answers that are lost or stuck in transit. It goes where the first
    /// went: there the key is cached. Harm: heavy requests are overtaken, too, and then worked on twice; so
    /// none is sent to a server that is slow by the mean, at its limit or warming up, nor beyond half the
    /// retry budget.
    pub(super) fn send_hedged_requests(&mut self) {
        let candidates: Vec<HedgedRequest> =
            self.requests.iter().filter_map(|(&id, request)| self.hedge(id, request)).collect();
        for HedgedRequest { request, server, to_origin } in candidates {
            let is_below_limit = self.servers.get(&server).is_some_and(Server::is_below_limit);
            if is_below_limit && self.retry_budget.allows_hedged_request(self.now) {
                self.send(request, &server, to_origin);
            }
        }
    }

    /// The hedged request that may be sent for this request, if it has been overtaken.
    fn hedge(&self, id: RequestId, request: &Request) -> Option<HedgedRequest> {
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

    /// Whether the only attempt in flight was sent clearly before one that its server has answered.
    fn is_overtaken(&self, request: &Request, attempt: &Attempt, server: &Server) -> bool {
        let margin = OVERLOAD_QUEUE_DELAY * self.config.class(request.class).latency_target;
        attempt.status.is_none()
            && request.attempts_in_flight() == 1
            && server.health.has_answered_attempt_sent_after(attempt.sent + margin)
    }
}
