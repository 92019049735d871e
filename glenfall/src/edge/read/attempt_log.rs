//! Outcomes of a read's attempts at shields, for counters and for the log line of a read that fails.

use std::cell::Cell;

use glenfall_balancer::ServerId;

/// How an attempt at a shield ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// The shield has responded, with any status.
    Answered,
    /// No connection was established, or the request could not be written completely.
    Unreachable,
    /// The connection was lost, the deadline passed, or the response did not come from a shield.
    ConnectionLost,
    /// No response was received within the hedge delay, and another attempt begins in parallel.
    Unresponsive,
    /// The shield has not received the version of the configuration by which the edge has routed the request.
    ConfigOutdated,
    /// The shield answered from its cache without a lease, while the edge holds one: the shield may have missed a purge.
    NoLease,
}

impl AttemptOutcome {
    const ALL: [AttemptOutcome; 6] = [
        AttemptOutcome::Answered,
        AttemptOutcome::Unreachable,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Unresponsive,
        AttemptOutcome::ConfigOutdated,
        AttemptOutcome::NoLease,
    ];

    /// The name in logs and, after `shield_`, in `status`.
    fn name(self) -> &'static str {
        match self {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::Unreachable => "unreached",
            AttemptOutcome::ConnectionLost => "lost",
            AttemptOutcome::Unresponsive => "silent",
            AttemptOutcome::ConfigOutdated => "behind",
            AttemptOutcome::NoLease => "unvouched",
        }
    }
}

/// The number of attempts at shields by outcome, over all reads.
#[derive(Default)]
pub(in crate::edge) struct AttemptCounts([Cell<u64>; AttemptOutcome::ALL.len()]);

impl AttemptCounts {
    fn add(&self, outcome: AttemptOutcome) {
        let count = &self.0[outcome as usize];
        count.set(count.get() + 1);
    }

    /// The number of failed attempts by outcome, under the names in `status`. Zeros are left out.
    pub fn report(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        let counts = AttemptOutcome::ALL.into_iter().zip(&self.0);
        let failures = counts.filter(|(outcome, _)| *outcome != AttemptOutcome::Answered);
        failures
            .filter(|(_, count)| count.get() > 0)
            .map(|(outcome, count)| (format!("shield_{}", outcome.name()), count.get()))
    }
}

struct LoggedAttempt {
    shield: ServerId,
    outcome: AttemptOutcome,
}

/// The attempts of one read at shields, in the order in which they ended.
#[derive(Default)]
pub(super) struct AttemptLog(Vec<LoggedAttempt>);

impl AttemptLog {
    /// Counts and records how an attempt ended.
    pub fn record(&mut self, counts: &AttemptCounts, shield: &ServerId, outcome: AttemptOutcome) {
        counts.add(outcome);
        if outcome != AttemptOutcome::Answered {
            tracing::debug!(shield = &*shield.0, outcome = outcome.name(), "shield request failed");
        }
        self.0.push(LoggedAttempt { shield: shield.clone(), outcome });
    }

    /// Lists all attempts with their outcomes, for the log line of a failed request.
    pub fn describe(&self) -> String {
        let attempts =
            self.0.iter().map(|attempt| format!("shield {} {}", attempt.shield.0, attempt.outcome.name()));
        attempts.collect::<Vec<_>>().join(", ")
    }
}
