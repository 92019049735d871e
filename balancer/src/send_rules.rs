//! Rules on retries: where a request may be sent again, and whether it may be refused as safe to retry.

use crate::interface::{Seconds, ServerId};
use crate::node_config::NodeConfig;
use crate::request::{Attempt, Request};
use crate::server::Server;
use crate::server_pool::ServerPool;
use crate::settings::{Class, DeduplicationScope, Effect};

/// Evaluates the rules against the present state of the node.
pub struct SendRules<'a> {
    /// The node's configuration.
    pub config: &'a NodeConfig,
    /// All known servers, including those where earlier attempts were sent.
    pub servers: &'a ServerPool,
    /// The time at which the rules are evaluated.
    pub now: Seconds,
}

impl SendRules<'_> {
    /// Whether one more attempt of `request` may be sent to this server.
    pub fn may_send(&self, request: &Request, id: &ServerId, server: &Server) -> bool {
        server.is_ready() && self.allows_another_attempt(request) && self.may_run_again(request, id, server)
    }

    /// Whether one more attempt of `request` may be sent to at least one server.
    pub fn may_send_to_any(&self, request: &Request) -> bool {
        self.servers.iter().any(|(id, server)| self.may_send(request, id, server))
    }

    fn allows_another_attempt(&self, request: &Request) -> bool {
        !request.ended
            && !request.streaming
            && self.now < request.deadline
            && request.attempts.len() < self.config.settings().limits.max_attempts as usize
            && request.attempts_in_flight() == 0
    }

    /// Whether a retry at this server is harmless even if earlier attempts have run.
    fn may_run_again(&self, request: &Request, id: &ServerId, server: &Server) -> bool {
        let class = self.config.class(request.class);
        let mut may_have_run = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => may_have_run.next().is_none(),
            Effect::Keyed => may_have_run.all(|attempt| self.drops_duplicate(attempt, class, id, server)),
        }
    }

    /// Whether this server would still recognise and drop a duplicate of `attempt`.
    fn drops_duplicate(&self, attempt: &Attempt, class: &Class, id: &ServerId, server: &Server) -> bool {
        let is_in_scope = match (class.deduplication_scope, self.servers.get(&attempt.server)) {
            (DeduplicationScope::All, _) => true,
            (_, None) => attempt.server == *id,
            (DeduplicationScope::Zone, Some(earlier)) => earlier.entry().zone == server.entry().zone,
            (DeduplicationScope::Cell, Some(earlier)) => earlier.entry().cell == server.entry().cell,
        };
        is_in_scope
            && self.now + self.config.settings().event_interval < attempt.sent + class.deduplication_window
    }

    /// Whether `request` may be answered by [`Action::Refuse`](crate::Action::Refuse), which states that a
    /// retry is harmless.
    pub fn may_refuse(&self, request: &Request) -> bool {
        let class = self.config.class(request.class);
        class.effect == Effect::Safe
            || (class.effect == Effect::Keyed && class.deduplication_scope == DeduplicationScope::All)
            || !request.attempts.iter().any(Attempt::may_have_run)
    }
}
