//! Server health and outlier ejection: servers that fail repeatedly get no requests for some time.

use crate::interface::Seconds;

/// A server with two failures within this time is ejected.
const FAILURE_CONFIRMATION_WINDOW: Seconds = 2.0;
/// Mean time for which a server is ejected, by all nodes that are notified: an overloaded server recovers
/// only while it gets no requests.
const EJECTION_TIME: Seconds = 4.0;
/// Minimum ejection time as a share of [`EJECTION_TIME`].
const MIN_EJECTION_SHARE: f64 = 0.75;
/// Range of the random part of the ejection time, as a share of [`EJECTION_TIME`].
const EJECTION_JITTER: f64 = 0.5;
/// Number of consecutive resets after which a server is considered down. An answer in between shows that the
/// server is running; fewer resets, even two in a row, may be caused by the network.
const MAX_CONSECUTIVE_RESETS: u32 = 3;

/// How long a server is ejected; `random` is a random number from 0 to 1.
pub fn ejection_time(random: f64) -> Seconds {
    EJECTION_TIME * (MIN_EJECTION_SHARE + EJECTION_JITTER * random)
}

/// A server's health as this node knows it.
#[derive(Debug, Default)]
pub struct ServerHealth {
    /// Attempts since the last answer whose connection broke or could not be opened.
    consecutive_resets: u32,
    /// When this or another node last reported a failure of the server.
    last_failure: Seconds,
    ejected_until: Seconds,
    last_answer: Seconds,
    /// The latest send time among the answered attempts.
    newest_answered_send: Seconds,
}

impl ServerHealth {
    /// The health of a server that has just been listed, as if it had answered at `now`.
    pub fn new(now: Seconds) -> Self {
        ServerHealth { last_answer: now, ..ServerHealth::default() }
    }

    /// Counts an attempt whose connection broke or could not be opened.
    pub fn record_reset(&mut self) {
        self.consecutive_resets += 1;
    }

    /// Whether [`MAX_CONSECUTIVE_RESETS`] attempts in a row were reset.
    pub fn is_down(&self) -> bool {
        self.consecutive_resets >= MAX_CONSECUTIVE_RESETS
    }

    /// Records an answer to an attempt sent at `sent`.
    pub fn record_answer(&mut self, now: Seconds, sent: Seconds) {
        self.last_answer = now;
        self.consecutive_resets = 0;
        self.newest_answered_send = self.newest_answered_send.max(sent);
    }

    /// Whether the server has answered any attempt after `time`.
    pub fn has_answered_since(&self, time: Seconds) -> bool {
        self.last_answer > time
    }

    /// Whether an attempt that was sent after `time` has been answered.
    pub fn has_answered_attempt_sent_after(&self, time: Seconds) -> bool {
        self.newest_answered_send > time
    }

    /// Whether the server is ejected at `now` and must get no requests.
    pub fn is_ejected(&self, now: Seconds) -> bool {
        now < self.ejected_until
    }

    /// Whether an attempt sent at `sent` was sent after the last ejection ended.
    pub fn was_sent_after_ejection(&self, sent: Seconds) -> bool {
        sent > self.ejected_until
    }

    /// Records a failure; the second one within [`FAILURE_CONFIRMATION_WINDOW`] ejects the server for
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
