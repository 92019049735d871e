//! Server health and outlier ejection: servers that fail repeatedly get no requests for a while.

use crate::interface::Seconds;

/// A server that is found failing twice within this time is ejected.
const FAILURE_CONFIRMATION_WINDOW: Seconds = 2.0;
/// A server is ejected for about this long, by all nodes that are notified: an overloaded server recovers
/// only when it is left idle.
const EJECTION_TIME: Seconds = 4.0;
/// Jitter of the ejection time: from this share of it ...
const MIN_EJECTION_SHARE: f64 = 0.75;
/// ... up to this much more.
const EJECTION_JITTER: f64 = 0.5;
/// Consecutive resets, without an answer in between, from which a server is considered down. An answer shows
/// that it runs: single resets, even two in a row, may be the network's.
const MAX_CONSECUTIVE_RESETS: u32 = 3;

/// How long a server is ejected; `random` is drawn from 0 to 1.
pub fn ejection_time(random: f64) -> Seconds {
    EJECTION_TIME * (MIN_EJECTION_SHARE + EJECTION_JITTER * random)
}

/// What this node knows of a server's health.
#[derive(Debug, Default)]
pub struct ServerHealth {
    /// Attempts that broke or found no connection since the last answer.
    consecutive_resets: u32,
    /// When this or another node last found the server failing.
    last_failure: Seconds,
    ejected_until: Seconds,
    last_answer: Seconds,
    /// When the most recently sent of the answered attempts was sent.
    newest_answered_send: Seconds,
}

impl ServerHealth {
    /// The health of a server that has just been listed; it counts as answering.
    pub fn new(now: Seconds) -> Self {
        ServerHealth { last_answer: now, ..ServerHealth::default() }
    }

    /// Counts an attempt that broke or found no connection.
    pub fn record_reset(&mut self) {
        self.consecutive_resets += 1;
    }

    /// Whether so many attempts in a row were reset that the server is considered down.
    pub fn is_down(&self) -> bool {
        self.consecutive_resets >= MAX_CONSECUTIVE_RESETS
    }

    /// Notes an answer to what was sent at `sent`.
    pub fn record_answer(&mut self, now: Seconds, sent: Seconds) {
        self.last_answer = now;
        self.consecutive_resets = 0;
        self.newest_answered_send = self.newest_answered_send.max(sent);
    }

    /// Whether the server has answered anybody after `time`.
    pub fn has_answered_since(&self, time: Seconds) -> bool {
        self.last_answer > time
    }

    /// Whether an attempt that was sent after `time` has been answered.
    pub fn has_answered_attempt_sent_after(&self, time: Seconds) -> bool {
        self.newest_answered_send > time
    }

    /// Whether the server gets no requests at `now`.
    pub fn is_ejected(&self, now: Seconds) -> bool {
        now < self.ejected_until
    }

    /// Whether what was sent at `sent` was sent after the last ejection ended.
    pub fn was_sent_after_ejection(&self, sent: Seconds) -> bool {
        sent > self.ejected_until
    }

    /// Notes a failure; the second one within [`FAILURE_CONFIRMATION_WINDOW`] ejects the server for
    /// `ejection_time`. Returns whether it was ejected.
    pub fn record_failure(&mut self, now: Seconds, ejection_time: Seconds) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        let is_confirmed = now - self.last_failure < FAILURE_CONFIRMATION_WINDOW;
        if is_confirmed {
            self.ejected_until = now + ejection_time;
        }
        self.last_failure = now;
        is_confirmed
    }

    /// Clears the failures of a process that has since been restarted.
    pub fn clear_after_restart(&mut self) {
        self.ejected_until = 0.0;
        self.consecutive_resets = 0;
    }
}
