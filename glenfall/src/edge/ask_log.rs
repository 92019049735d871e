//! What came of a read's asks at shields, for counters and for the log line of a read that fails.

use std::cell::Cell;

use glenfall_balancer::ServerId;

/// How an ask at a shield ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskOutcome {
    /// With an answer, of whatever kind.
    Answered,
    /// No connection came up, or not all of the request could be written.
    Unreached,
    /// The connection was lost, or what came is no shield's answer.
    Lost,
    /// Nothing has come for so long that another way is tried beside it.
    Silent,
    /// The shield has not been told of the edge's configuration.
    Behind,
    /// The shield has a copy and no lease, and the edge has one: a purge may have been missed there.
    Unvouched,
}

impl AskOutcome {
    const ALL: [AskOutcome; 6] = [
        AskOutcome::Answered,
        AskOutcome::Unreached,
        AskOutcome::Lost,
        AskOutcome::Silent,
        AskOutcome::Behind,
        AskOutcome::Unvouched,
    ];

    fn name(self) -> &'static str {
        match self {
            AskOutcome::Answered => "answered",
            AskOutcome::Unreached => "unreached",
            AskOutcome::Lost => "lost",
            AskOutcome::Silent => "silent",
            AskOutcome::Behind => "behind",
            AskOutcome::Unvouched => "unvouched",
        }
    }
}

/// Counts how asks ended, over all reads.
#[derive(Default)]
pub(super) struct AskCounts([Cell<u64>; AskOutcome::ALL.len()]);

impl AskCounts {
    fn add(&self, outcome: AskOutcome) {
        let count = &self.0[outcome as usize];
        count.set(count.get() + 1);
    }

    /// How many asks ended other than with an answer, by how; only those that there were.
    pub fn report(&self) -> impl Iterator<Item = (String, u64)> + '_ {
        let counts = AskOutcome::ALL.into_iter().zip(&self.0).skip(1);
        counts
            .filter(|(_, count)| count.get() > 0)
            .map(|(outcome, count)| (format!("shield_{}", outcome.name()), count.get()))
    }
}

/// The asks of one read.
#[derive(Default)]
pub(super) struct AskLog(Vec<(ServerId, AskOutcome)>);

impl AskLog {
    /// Notes how an ask ended.
    pub fn note(&mut self, counts: &AskCounts, shield: &ServerId, outcome: AskOutcome) {
        counts.add(outcome);
        if outcome != AskOutcome::Answered {
            tracing::debug!(shield = &*shield.0, outcome = outcome.name(), "a shield gives no answer");
        }
        self.0.push((shield.clone(), outcome));
    }

    /// All of them in words.
    pub fn describe(&self) -> String {
        let asks = self.0.iter().map(|(shield, outcome)| format!("shield {} {}", shield.0, outcome.name()));
        asks.collect::<Vec<_>>().join(", ")
    }
}
