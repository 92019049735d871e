//! The order of a read's attempts at an edge: a state machine without I/O over the read's send budget. The edge carries
//! out each step that it returns, and reports how the attempts end.
//!
//! A read tries one shield after another, and last the servers themselves. A shield that does not respond within the hedge
//! delay may be down: the next attempt is made in parallel (hedged), with the sends that are left of the request's
//! budget. The unresponsive attempt is not cancelled: its shield may have sent the request to a server, which may still
//! answer.

use crate::http::send_budget::{Allowance, Reservation, SendBudget, SendReport, Usage};

/// Maximum number of attempts of one read at shields, repeated attempts at one shield included.
pub const MAX_SHIELD_ATTEMPTS: usize = 3;

/// The next step of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to a shield and call [`ReadPlan::begin_attempt`], or call [`ReadPlan::no_shield_available`] if no
    /// shield is likely to answer.
    TryShield {
        /// The sends that the shield may use.
        allowance: Allowance,
    },
    /// Send the request to servers and call [`ReadPlan::begin_attempt`].
    TryServers {
        /// The sends that may be used.
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
    /// No server has received the request: the shield was unreachable, lacks the version of the configuration, or has
    /// answered from its cache without a lease.
    NotSent,
    /// No usable response came back.
    ResponseLost,
    /// A response was received.
    Answered(SendReport),
}

/// Whether the end of an attempt ends its read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The response goes to the client.
    Final,
    /// Another attempt may get a better response.
    Retry,
}

#[derive(Debug)]
enum AttemptState {
    InFlight(Reservation),
    /// In flight, and without a response for so long that another attempt is made in parallel.
    Unresponsive(Reservation),
    Ended,
}

/// The attempts of one read, and the sends that are left of its budget.
#[derive(Debug)]
pub struct ReadPlan {
    budget: SendBudget,
    attempts: Vec<AttemptState>,
    shield_attempts: usize,
    /// Whether no further shield is likely to answer.
    shields_exhausted: bool,
    /// Whether a shield was tried with no sends left: it can still answer from its cache or from a fetch in flight.
    tried_without_sends: bool,
    tried_servers: bool,
    /// Whether a shield may have counted the request towards the retry budget, or sent it to a server.
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

    /// Whether a shield may have counted the request towards the retry budget, or a server may have run it. Further sends
    /// are retries then, and draw on that budget.
    pub fn may_be_counted(&self) -> bool {
        self.may_be_counted
    }

    /// The next step. `available_shields` is the number of shields that this read has not excluded.
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

    /// Whether another attempt could be made in parallel to those in flight; `other_shields` are available for it.
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

    /// Begins the attempt that [`ReadPlan::next`] has returned. Returns its number, for [`ReadPlan::end_attempt`].
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
        self.attempts.push(AttemptState::InFlight(self.budget.reserve(sends)));
        self.attempts.len() - 1
    }

    /// Records that no further shield is likely to answer.
    pub fn no_shield_available(&mut self) {
        self.shields_exhausted = true;
    }

    /// Records that the attempts in flight got no response within the hedge delay.
    pub fn hedge_delay_passed(&mut self) {
        for attempt in &mut self.attempts {
            *attempt = match std::mem::replace(attempt, AttemptState::Ended) {
                AttemptState::InFlight(reservation) => AttemptState::Unresponsive(reservation),
                other => other,
            };
        }
        self.may_be_counted = true;
    }

    /// Records the end of the attempt with this number, and returns the sends that it has not used to the budget.
    pub fn end_attempt(&mut self, number: usize, end: AttemptEnd) -> Verdict {
        let (usage, verdict) = match end {
            AttemptEnd::NotSent => (Usage::Unused, Verdict::Retry),
            AttemptEnd::ResponseLost => (Usage::Unknown, Verdict::Retry),
            AttemptEnd::Answered(report) if report.exhausted => (Usage::Reported(report), Verdict::Retry),
            AttemptEnd::Answered(report) => (Usage::Reported(report), Verdict::Final),
        };
        self.may_be_counted |= usage != Usage::Unused;
        let state = self.attempts.get_mut(number).map(|state| std::mem::replace(state, AttemptState::Ended));
        if let Some(AttemptState::InFlight(reservation) | AttemptState::Unresponsive(reservation)) = state {
            self.budget.settle_reservation(reservation, usage);
        }
        verdict
    }
}
