//! Unfinished requests and their attempts.

use crate::connections::MIN_SUSPECT_IDLE_TIME;
use crate::interface::{AttemptId, Key, Seconds, ServerId, Status};

/// One send of a request to a server.
#[derive(Debug)]
pub struct Attempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// Time of the send.
    pub sent: Seconds,
    /// Whether it was expected to reach the origin.
    pub to_origin: bool,
    /// How long this node's connections to the server had been idle when it was sent.
    pub idle_time: Seconds,
    /// How it ended; `None` while it is in flight.
    pub status: Option<Status>,
}

impl Attempt {
    /// Whether the request may have run at the server; assumed while the attempt is in flight.
    pub fn may_have_run(&self) -> bool {
        self.status.is_none_or(Status::may_have_run)
    }

    /// Whether it broke on an idle connection that was probably already dead, so that the server did not
    /// fail.
    fn broke_on_stale_connection(&self) -> bool {
        self.status == Some(Status::Broken) && self.idle_time >= MIN_SUSPECT_IDLE_TIME
    }

    /// Whether it went to `server` and its status allows one retry there. A retry at the same server is
    /// preferred because other servers do not have the key. After a reset it is allowed only while the server
    /// does not count as down.
    fn may_be_retried_at(&self, server: &ServerId, server_is_down: bool) -> bool {
        let is_retryable = match self.status {
            Some(Status::Malformed) => true,
            Some(Status::Broken | Status::Unreachable) => !server_is_down,
            _ => false,
        };
        is_retryable && self.server == *server
    }
}

/// A request that was accepted and has no final answer yet, or still has attempts in flight.
#[derive(Debug, Default)]
pub struct Request {
    /// Index of its class in the node's configuration.
    pub class: usize,
    /// The key that it is placed by; derived from the id if the request has none.
    pub key: Key,
    /// Whether it must reach the origin, because it is a write.
    pub write: bool,
    /// Time of arrival.
    pub arrived: Seconds,
    /// When its client gives it up.
    pub deadline: Seconds,
    /// Its estimated core time; 0 if it came without a hint.
    pub work: Seconds,
    /// Whether it exceeds its tenant's quota at this node.
    pub over_quota: bool,
    /// A random number from 0 to 1, which selects the first slot among those of a hot key.
    pub slot_fraction: f64,
    /// Its attempts in the order of sending, including ended ones.
    pub attempts: Vec<Attempt>,
    /// Whether its next attempt must go to the origin (mode `Aside`): a cache server lacked its key, or only
    /// one attempt is left.
    pub missed: bool,
    /// Whether a streamed answer to its client has begun.
    pub streaming: bool,
    /// Whether it has its final answer or its client has gone.
    pub ended: bool,
}

impl Request {
    /// Number of attempts that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.status.is_none()).count()
    }

    /// Ids of the attempts that have not ended.
    pub fn ids_in_flight(&self) -> impl Iterator<Item = AttemptId> + '_ {
        (0..).zip(&self.attempts).filter(|(_, attempt)| attempt.status.is_none()).map(|(id, _)| AttemptId(id))
    }

    /// The attempt with this id, if it has not ended.
    pub fn in_flight_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt.0 as usize).filter(|attempt| attempt.status.is_none())
    }

    /// Whether it is unanswered and has no attempt in flight.
    pub fn needs_attempt(&self) -> bool {
        !self.ended && self.attempts_in_flight() == 0
    }

    /// Whether the next attempt counts against the retry budget. The first attempt does not, nor does one
    /// after `NotCached`. With the default budget (`is_default_budget`), which limits additional work,
    /// neither does one after `Unreachable`, as that attempt caused no work; a node with an outdated server
    /// list gets several of these in a row.
    pub fn next_attempt_costs_budget(&self, is_default_budget: bool) -> bool {
        let is_free =
            |status| status == Status::NotCached || (is_default_budget && status == Status::Unreachable);
        self.attempts.last().is_some_and(|attempt| !attempt.status.is_some_and(is_free))
    }

    /// Whether `server` must not be chosen because an earlier attempt failed there. It may be tried once more
    /// after a single malformed answer or reset, after an attempt on a dead connection, and after
    /// `NotCached`.
    pub fn has_failed_at(&self, server: &ServerId, server_is_down: bool) -> bool {
        let retryable = |attempt: &&Attempt| attempt.may_be_retried_at(server, server_is_down);
        let may_retry = self.attempts.iter().filter(retryable).count() == 1;
        let is_excused = |attempt: &Attempt| {
            attempt.status == Some(Status::NotCached)
                || attempt.broke_on_stale_connection()
                || (may_retry && attempt.may_be_retried_at(server, server_is_down))
        };
        self.attempts.iter().any(|attempt| attempt.server == *server && !is_excused(attempt))
    }
}
