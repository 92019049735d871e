//! Which way a read goes next at an edge: a pure state machine over its send budget. The edge carries out what it says
//! and tells it what happened.
//!
//! A read asks one shield after another, and in the end the servers themselves. A shield that is silent for a while may
//! be dark: the next one is asked beside it, with what is left of the try's sends. The silent one is not given up: what
//! it was lent may have reached a server whose answer is still to come.

use crate::http::send_budget::{Allowance, Loan, SendBudget, SendReport, Usage};

/// Shields that one read may ask, the same one again included.
pub const MOST_ASKS: usize = 3;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask a shield, and call [`ReadPlan::asked`], or [`ReadPlan::no_shield`] where none is likely to answer.
    AskShield {
        /// What the shield may send for this try.
        allowance: Allowance,
    },
    /// Send to servers, and call [`ReadPlan::asked`].
    AskServers {
        /// What may be sent for this try.
        allowance: Allowance,
    },
    /// Wait for what is under way.
    Wait,
    /// Nothing is under way and nothing is left to try.
    GiveUp,
}

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskEnd {
    /// No server was asked: the shield was not reached, or it lacks the version of the configuration.
    NotAsked,
    /// Nothing that can be used came back.
    Lost,
    /// There is an answer.
    Answered(SendReport),
}

/// What an answer is to its read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the client's.
    Final,
    /// Another way may give a better one.
    TryOn,
}

#[derive(Debug)]
enum AskState {
    /// Under way.
    Waiting(Loan),
    /// Under way, and silent for long enough that another way is tried beside it.
    Silent(Loan),
    Ended,
}

/// The ways that one read has taken, and what is left of its sends.
#[derive(Debug)]
pub struct ReadPlan {
    budget: SendBudget,
    asks: Vec<AskState>,
    shields_asked: usize,
    /// No more shields are asked.
    shields_exhausted: bool,
    /// A shield was asked with no sends left.
    copies_asked: bool,
    servers_asked: bool,
    /// A server may have been asked, or the request has been counted.
    may_be_counted: bool,
}

impl ReadPlan {
    /// The plan of a read that may be sent to so many servers.
    pub fn new(tries: u32) -> Self {
        ReadPlan {
            budget: SendBudget::new(tries),
            asks: Vec::new(),
            shields_asked: 0,
            shields_exhausted: false,
            copies_asked: false,
            servers_asked: false,
            may_be_counted: false,
        }
    }

    /// Whether a shield may have counted the request, or a server run it: what is sent now draws on the retry budget.
    pub fn may_be_counted(&self) -> bool {
        self.may_be_counted
    }

    /// What to do, where so many shields could be asked beside those that were found unresponsive.
    pub fn next(&self, shields: usize) -> Next {
        if self.asks.iter().any(|ask| matches!(ask, AskState::Waiting(_))) {
            return Next::Wait;
        }
        if let Some(next) = self.next_way(shields) {
            return next;
        }
        match self.asks.iter().any(|ask| matches!(ask, AskState::Silent(_))) {
            true => Next::Wait,
            false => Next::GiveUp,
        }
    }

    /// Whether another way could be tried beside those under way, with so many shields that are not asked.
    pub fn has_way_beside(&self, shields: usize) -> bool {
        self.next_way(shields).is_some()
    }

    fn next_way(&self, shields: usize) -> Option<Next> {
        let left = self.budget.left();
        let may_ask_shield = !self.shields_exhausted && shields > 0 && self.shields_asked < MOST_ASKS;
        if may_ask_shield && (left > 0 || !self.copies_asked) {
            // One send is held back for another way: for the next shield, or the servers themselves.
            let held_back = left.saturating_sub(1).min(1);
            return Some(Next::AskShield { allowance: Allowance { sends: left - held_back, held_back } });
        }
        let may_ask_servers = left > 0 && !self.servers_asked;
        may_ask_servers.then_some(Next::AskServers { allowance: Allowance { sends: left, held_back: 0 } })
    }

    /// A shield or the servers are asked, as [`ReadPlan::next`] has said. Returns the number of the ask.
    pub fn asked(&mut self, next: Next) -> usize {
        let allowance = match next {
            Next::AskShield { allowance } => {
                self.shields_asked += 1;
                self.copies_asked |= allowance.sends == 0;
                allowance
            }
            Next::AskServers { allowance } => {
                self.servers_asked = true;
                allowance
            }
            Next::Wait | Next::GiveUp => Allowance { sends: 0, held_back: 0 },
        };
        self.asks.push(AskState::Waiting(self.budget.lend(allowance.sends)));
        self.asks.len() - 1
    }

    /// No further shield is likely to answer.
    pub fn no_shield(&mut self) {
        self.shields_exhausted = true;
    }

    /// Nothing has come of the asks under way for a while.
    pub fn silent(&mut self) {
        for ask in &mut self.asks {
            *ask = match std::mem::replace(ask, AskState::Ended) {
                AskState::Waiting(loan) => AskState::Silent(loan),
                other => other,
            };
        }
        self.may_be_counted = true;
    }

    /// An ask has ended.
    pub fn ended(&mut self, ask: usize, end: AskEnd) -> Verdict {
        let (usage, verdict) = match end {
            AskEnd::NotAsked => (Usage::Unused, Verdict::TryOn),
            AskEnd::Lost => (Usage::Unknown, Verdict::TryOn),
            AskEnd::Answered(report) if report.short => (Usage::Reported(report), Verdict::TryOn),
            AskEnd::Answered(report) => (Usage::Reported(report), Verdict::Final),
        };
        self.may_be_counted |= usage != Usage::Unused;
        let state = self.asks.get_mut(ask).map(|state| std::mem::replace(state, AskState::Ended));
        if let Some(AskState::Waiting(loan) | AskState::Silent(loan)) = state {
            self.budget.settle(loan, usage);
        }
        verdict
    }
}
