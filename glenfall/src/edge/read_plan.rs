//! The order of a read's attempts at an edge: a pure state machine over the read's send budget. The edge carries out the
//! steps that it names and reports how they end.
//!
//! A read tries one shield after another, and in the end the servers themselves. A shield that does not respond for a
//! while may be down: the next attempt is made in parallel (hedged), with the sends that are left of the request's
//! budget. The unresponsive attempt is not cancelled: a server may have received what it was allowed to send, and may
//! still answer.

use crate::http::send_budget::{Allowance, Loan, SendBudget, SendReport, Usage};

/// Bound on the attempts of one read at shields, repeated attempts at one shield included.
pub const MAX_SHIELD_ATTEMPTS: usize = 3;

/// The next step of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to a shield and call [`ReadPlan::begin_attempt`], or call [`ReadPlan::no_shield_available`] where no shield is
    /// likely to answer.
    TryShield {
        /// What the shield may send to servers.
        allowance: Allowance,
    },
    /// Send the request to servers and call [`ReadPlan::begin_attempt`].
    TryServers {
        /// What may be sent to servers.
        allowance: Allowance,
    },
    /// Wait for the attempts in flight.
    Wait,
    /// No attempt is in flight and no further one can be made.
    GiveUp,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No server has received the request: the shield was unreachable, or lacks the version of the configuration.
    NotSent,
    /// No usable response came back.
    ResponseLost,
    /// There is a response.
    Answered(SendReport),
}

/// What a response means for its read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the client's response.
    Final,
    /// Another attempt may give a better one.
    Retry,
}

#[derive(Debug)]
enum AttemptState {
    InFlight(Loan),
    /// In flight, and without a response for so long that another attempt is made in parallel.
    Unresponsive(Loan),
    Ended,
}

/// The attempts of one read, and what is left of its sends.
#[derive(Debug)]
pub struct ReadPlan {
    budget: SendBudget,
    attempts: Vec<AttemptState>,
    shield_attempts: usize,
    /// No further shield is likely to answer.
    shields_exhausted: bool,
    /// A shield was tried with no sends left, for a stored response or a fetch in flight.
    tried_without_sends: bool,
    tried_servers: bool,
    /// The request may have been counted, or sent to a server.
    may_be_counted: bool,
}

impl ReadPlan {
    /// The plan of a read that may be sent to `tries` servers.
    pub fn new(tries: u32) -> Self {
        ReadPlan {
            budget: SendBudget::new(tries),
            attempts: Vec::new(),
            shield_attempts: 0,
            shields_exhausted: false,
            tried_without_sends: false,
            tried_servers: false,
            may_be_counted: false,
        }
    }

    /// Whether a shield may have counted the request, or a server run it: further sends are retries then, and draw on the
    /// retry budget.
    pub fn may_be_counted(&self) -> bool {
        self.may_be_counted
    }

    /// The next step, where this many shields are available that have not been found unresponsive.
    pub fn next(&self, available_shields: usize) -> NextStep {
        if self.attempts.iter().any(|attempt| matches!(attempt, AttemptState::InFlight(_))) {
            return NextStep::Wait;
        }
        if let Some(next) = self.next_attempt(available_shields) {
            return next;
        }
        match self.attempts.iter().any(|attempt| matches!(attempt, AttemptState::Unresponsive(_))) {
            true => NextStep::Wait,
            false => NextStep::GiveUp,
        }
    }

    /// Whether another attempt could be made in parallel to those in flight, with this many other shields available.
    pub fn can_hedge(&self, other_shields: usize) -> bool {
        self.next_attempt(other_shields).is_some()
    }

    fn next_attempt(&self, available_shields: usize) -> Option<NextStep> {
        let left = self.budget.left();
        if self.may_try_shield(available_shields) {
            // One send is reserved for the attempt that follows, at the next shield or at the servers.
            let reserved = left.saturating_sub(1).min(1);
            return Some(NextStep::TryShield {
                allowance: Allowance { sends: left - reserved, reserved_sends: reserved },
            });
        }
        let may_try_servers = left > 0 && !self.tried_servers;
        may_try_servers
            .then_some(NextStep::TryServers { allowance: Allowance { sends: left, reserved_sends: 0 } })
    }

    fn may_try_shield(&self, available_shields: usize) -> bool {
        let has_shield =
            !self.shields_exhausted && available_shields > 0 && self.shield_attempts < MAX_SHIELD_ATTEMPTS;
        has_shield && (self.budget.left() > 0 || !self.tried_without_sends)
    }

    /// Begins the attempt that [`ReadPlan::next`] has named. Returns the number by which its end is reported.
    pub fn begin_attempt(&mut self, next: NextStep) -> usize {
        let sends = match next {
            NextStep::TryShield { allowance } => {
                self.shield_attempts += 1;
                self.tried_without_sends |= allowance.sends == 0;
                allowance.sends
            }
            NextStep::TryServers { allowance } => {
                self.tried_servers = true;
                allowance.sends
            }
            NextStep::Wait | NextStep::GiveUp => 0,
        };
        self.attempts.push(AttemptState::InFlight(self.budget.lend(sends)));
        self.attempts.len() - 1
    }

    /// No further shield is likely to answer.
    pub fn no_shield_available(&mut self) {
        self.shields_exhausted = true;
    }

    /// The attempts in flight have been without a response for the hedge delay.
    pub fn hedge_delay_passed(&mut self) {
        for attempt in &mut self.attempts {
            *attempt = match std::mem::replace(attempt, AttemptState::Ended) {
                AttemptState::InFlight(loan) => AttemptState::Unresponsive(loan),
                other => other,
            };
        }
        self.may_be_counted = true;
    }

    /// Takes the end of an attempt, by its number, and the sends that it has not used.
    pub fn end_attempt(&mut self, number: usize, end: AttemptEnd) -> Verdict {
        let (usage, verdict) = match end {
            AttemptEnd::NotSent => (Usage::Unused, Verdict::Retry),
            AttemptEnd::ResponseLost => (Usage::Unknown, Verdict::Retry),
            AttemptEnd::Answered(report) if report.exhausted => (Usage::Reported(report), Verdict::Retry),
            AttemptEnd::Answered(report) => (Usage::Reported(report), Verdict::Final),
        };
        self.may_be_counted |= usage != Usage::Unused;
        let state = self.attempts.get_mut(number).map(|state| std::mem::replace(state, AttemptState::Ended));
        if let Some(AttemptState::InFlight(loan) | AttemptState::Unresponsive(loan)) = state {
            self.budget.repay(loan, usage);
        }
        verdict
    }
}
