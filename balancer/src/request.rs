//! Requests that are not finished, and their attempts.

use crate::connections::MIN_SUSPECT_IDLE_TIME;
use crate::interface::{AttemptId, Key, Seconds, ServerId, Status};

/// One send of a request to a server.
#[derive(Debug)]
pub struct Attempt {
    /// Where it was sent.
    pub server: ServerId,
    /// When it was sent.
    pub sent: Seconds,
    /// Whether it was expected to reach the origin.
    pub to_origin: bool,
    /// How long this node's connections to the server had lain idle.
    pub idle_time: Seconds,
    /// How it ended; `None` while it is in flight.
    pub status: Option<Status>,
}

impl Attempt {
    /// Whether the request may have run at the server; assumed while the attempt is in flight.
    pub fn may_have_run(&self) -> bool {
        self.status.is_none_or(Status::may_have_run)
    }

    /// Whether it broke on a connection that was probably dead: then the server did not fail.
    fn broke_on_stale_connection(&self) -> bool {
        self.status == Some(Status::Broken) && self.idle_time >= MIN_SUSPECT_IDLE_TIME
    }

    /// Whether it ended so that `server` may be tried once more: it has the key, and another
    /// server would not. After a reset that holds only while the server is not down.
    fn may_be_repeated_at(&self, server: &ServerId, server_is_down: bool) -> bool {
        let is_repeatable = match self.status {
            Some(Status::Malformed) => true,
            Some(Status::Broken | Status::Unreachable) => !server_is_down,
            _ => false,
        };
        is_repeatable && self.server == *server
    }
}

/// A request that has been accepted and is not forgotten yet.
#[derive(Debug, Default)]
pub struct Request {
    /// Index of its class in the node's configuration.
    pub class: usize,
    /// Its key.
    pub key: Key,
    /// Whether it writes.
    pub write: bool,
    /// When it arrived.
    pub arrived: Seconds,
    /// When its client gives up.
    pub deadline: Seconds,
    /// Its hinted work; 0 where there is no hint.
    pub work: Seconds,
    /// Whether it is beyond its tenant's quota at this node.
    pub over_quota: bool,
    /// Drawn from 0 to 1: from which of the slots of a hot key it starts.
    pub slot_fraction: f64,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Whether a cache server lacked its key and the origin is next (mode `Aside`).
    pub missed: bool,
    /// Whether its client reads a streamed answer.
    pub streaming: bool,
    /// Whether it has its final answer, or nobody waits for it.
    pub ended: bool,
}

impl Request {
    /// Number of attempts that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.status.is_none()).count()
    }

    /// The attempts that have not ended.
    pub fn ids_in_flight(&self) -> impl Iterator<Item = AttemptId> + '_ {
        (0..).zip(&self.attempts).filter(|(_, attempt)| attempt.status.is_none()).map(|(id, _)| AttemptId(id))
    }

    /// The attempt of this number, if it has not ended.
    pub fn in_flight_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt.0 as usize).filter(|attempt| attempt.status.is_none())
    }

    /// Whether it is waiting for its next attempt.
    pub fn needs_attempt(&self) -> bool {
        !self.ended && self.attempts_in_flight() == 0
    }

    /// Whether the next attempt counts against the retry budget: all do but the first and one after each
    /// `NotCached`. Against the node's `own` budget, which is to keep work from multiplying, one after
    /// `Unreachable` does not count either: that attempt made no work. A node with an old list meets several
    /// such attempts in a row.
    pub fn next_attempt_costs_budget(&self, own_budget: bool) -> bool {
        let is_free = |status| status == Status::NotCached || (own_budget && status == Status::Unreachable);
        self.attempts.last().is_some_and(|attempt| !attempt.status.is_some_and(is_free))
    }

    /// Whether `server` must not be chosen because an earlier attempt failed there. It may be tried once more
    /// after one malformed answer or one reset, after a connection that was dead, and after it lacked the
    /// key.
    pub fn has_failed_at(&self, server: &ServerId, server_is_down: bool) -> bool {
        let repeatable = |attempt: &&Attempt| attempt.may_be_repeated_at(server, server_is_down);
        let may_repeat = self.attempts.iter().filter(repeatable).count() == 1;
        let is_excused = |attempt: &Attempt| {
            attempt.status == Some(Status::NotCached)
                || attempt.broke_on_stale_connection()
                || (may_repeat && attempt.may_be_repeated_at(server, server_is_down))
        };
        self.attempts.iter().any(|attempt| attempt.server == *server && !is_excused(attempt))
    }
}
