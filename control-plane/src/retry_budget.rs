//! The budget for further tries: what one machine may send to a service beyond the first try of each request.
//!
//! The operator's bound holds for the sum over all machines: in any window, `ratio` times the requests, and some
//! slack. The first part needs no word between machines: where each keeps to `ratio` times the requests that it
//! counts itself, and none is counted by two, the sum keeps to it. The slack is shared out by control, which
//! knows how many machines there are. A part that grows does so only when a window has passed: whoever had it
//! before may have spent it just now, a machine's own last life included. A machine that has lost touch spends
//! what it was given last, and hears of no more.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// Parts of a window that are counted apart.
const PARTS: u64 = 10;
/// Part of the operator's bound that is used: a request counts a little later where it arrives, and machines
/// hear at different moments that another has come or gone.
const USED: f64 = 0.85;
/// Services counted at most; one more is as one that was never asked for, and gets first tries only.
pub const MAX_SERVICES: usize = 1024;

/// The operator's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    pub ratio: f64,
    pub window: Millis,
    pub slack: f64,
}

#[derive(Clone, Copy, Default)]
struct Part {
    number: u64,
    requests: u32,
    further: u32,
}

/// What one machine has sent.
pub struct RetryBudget {
    bound: RetryBudgetSettings,
    /// This machine's part of the slack, and what it becomes when.
    share: f64,
    next: Option<(f64, Millis)>,
    services: BTreeMap<String, VecDeque<Part>>,
}

impl RetryBudget {
    pub fn new(bound: RetryBudgetSettings) -> Self {
        RetryBudget { bound, share: 0.0, next: None, services: BTreeMap::new() }
    }

    /// Services that are counted.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// The slack is shared by so many machines.
    pub fn set_machine_count(&mut self, now: Millis, machines: usize) {
        self.grow(now);
        let share = self.bound.slack / machines.max(1) as f64;
        if share <= self.share {
            (self.share, self.next) = (share, None);
        } else if self.next.is_none_or(|(next, _)| share != next) {
            // Less than was promised may come as early as that would have.
            let sooner = self.next.filter(|(next, _)| share < *next).map(|(_, at)| at);
            let at = sooner.unwrap_or(now + self.bound.window);
            self.next = Some((share, at));
        }
    }

    fn grow(&mut self, now: Millis) {
        if let Some((share, _)) = self.next.filter(|(_, at)| *at <= now) {
            (self.share, self.next) = (share, None);
        }
    }

    fn part_length(&self) -> Millis {
        (self.bound.window / PARTS).max(1)
    }

    /// The part of the window that it is now, of a service that is counted. What no window reaches any more goes.
    fn now(&mut self, now: Millis, service: &str) -> Option<&mut VecDeque<Part>> {
        let number = now / self.part_length();
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                self.services.retain(|_, parts| parts.back().is_some_and(|p| p.number + PARTS >= number));
            }
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(service.to_owned(), VecDeque::new());
        }
        let parts = self.services.get_mut(service)?;
        while parts.front().is_some_and(|part| part.number + PARTS < number) {
            parts.pop_front();
        }
        if parts.back().is_none_or(|part| part.number < number) {
            parts.push_back(Part { number, ..Part::default() });
        }
        Some(parts)
    }

    /// A request for the service has come to this machine.
    pub fn record_request(&mut self, now: Millis, service: &str) {
        if let Some(part) = self.now(now, service).and_then(VecDeque::back_mut) {
            part.requests += 1;
        }
    }

    /// Whether a request may be sent to the service once more; takes it out of the budget if so.
    pub fn try_spend(&mut self, now: Millis, service: &str) -> bool {
        self.grow(now);
        let (ratio, share) = (self.bound.ratio, self.share);
        let oldest = now / self.part_length();
        let Some(parts) = self.now(now, service) else { return false };
        // Further tries over the whole window and the part that it cuts; requests without that part.
        let further: u32 = parts.iter().map(|part| part.further).sum();
        let whole = parts.iter().filter(|part| part.number + PARTS > oldest);
        let requests: u32 = whole.map(|part| part.requests).sum();
        let may = f64::from(further + 1) <= (ratio * f64::from(requests) + share) * USED;
        if let Some(part) = parts.back_mut().filter(|_| may) {
            part.further += 1;
        }
        may
    }
}
