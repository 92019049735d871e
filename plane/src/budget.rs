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
const MOST: usize = 1024;

/// The operator's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
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
pub struct Budget {
    bound: Bound,
    /// This machine's part of the slack, and what it becomes when.
    share: f64,
    next: Option<(f64, Millis)>,
    services: BTreeMap<String, VecDeque<Part>>,
}

impl Budget {
    pub fn new(bound: Bound) -> Self {
        Budget { bound, share: 0.0, next: None, services: BTreeMap::new() }
    }

    /// The slack is shared by so many machines.
    pub fn share_among(&mut self, now: Millis, machines: usize) {
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
            if self.services.len() >= MOST {
                self.services.retain(|_, parts| parts.back().is_some_and(|p| p.number + PARTS >= number));
            }
            if self.services.len() >= MOST {
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
    pub fn request(&mut self, now: Millis, service: &str) {
        if let Some(part) = self.now(now, service).and_then(VecDeque::back_mut) {
            part.requests += 1;
        }
    }

    /// Whether a request may be sent to the service once more; takes it out of the budget if so.
    pub fn take(&mut self, now: Millis, service: &str) -> bool {
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

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    const BOUND: Bound = Bound { ratio: 0.2, window: 10_000, slack: 60.0 };

    #[test]
    fn without_a_share_only_own_requests_are_spent() {
        let mut budget = Budget::new(BOUND);
        assert!(!budget.take(0, "s"));
        budget.share_among(0, 10);
        assert!(!budget.take(9_999, "s"), "the last life may have spent its part");
        let spent =
            |budget: &mut Budget, now, service| (0..100).filter(|_| budget.take(now, service)).count();
        assert_eq!(spent(&mut budget, 10_000, "s"), 5, "a tenth of the slack, used to 85 %");
        assert!(budget.take(10_000, "other"), "services don't share");
        (0..200).for_each(|n| budget.request(10_000 + n, "t"));
        assert_eq!(spent(&mut budget, 10_200, "t"), 39);
        assert_eq!(spent(&mut budget, 40_000, "t"), 5, "what is long past counts no more");
    }

    #[test]
    fn a_share_falls_at_once_and_grows_when_a_window_has_passed() {
        let mut budget = Budget::new(BOUND);
        budget.share_among(0, 3);
        budget.share_among(5_000, 2);
        budget.share_among(12_000, 6);
        let spent =
            |budget: &mut Budget, now, service| (0..100).filter(|_| budget.take(now, service)).count();
        assert_eq!(spent(&mut budget, 14_999, "a"), 0, "it was to be a half at 15 s, a sixth comes no later");
        assert_eq!(spent(&mut budget, 15_000, "a"), 8);
        budget.share_among(30_000, 12);
        assert_eq!(spent(&mut budget, 30_000, "a"), 4);
        budget.share_among(31_000, 3);
        assert_eq!(spent(&mut budget, 40_999, "b"), 4);
        assert_eq!(spent(&mut budget, 41_000, "c"), 17);
    }

    /// Machines with unlike loads, whose clients come and go in bursts, try again as often as they are let.
    #[test]
    fn the_sum_over_machines_keeps_to_the_bound_in_every_window() {
        const MACHINES: usize = 13;
        for seed in 0..20u64 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut budgets: Vec<Budget> = (0..MACHINES).map(|_| Budget::new(BOUND)).collect();
            budgets.iter_mut().for_each(|budget| budget.share_among(0, MACHINES));
            let mut requests: Vec<Millis> = Vec::new();
            let mut further: Vec<Millis> = Vec::new();
            let mut calm = 1;
            for now in (0..60_000).step_by(10) {
                if now % 3000 == 0 {
                    calm = rng.random_range(1..40);
                }
                for (n, budget) in budgets.iter_mut().enumerate() {
                    if rng.random_ratio(1, calm * (n as u32 + 1)) {
                        budget.request(now, "s");
                        requests.push(now);
                    }
                    while budget.take(now, "s") {
                        further.push(now);
                    }
                }
            }
            let within = |all: &[Millis], from: i64| {
                all.iter().filter(|at| (**at as i64) >= from && (**at as i64) < from + 10_000).count() as f64
            };
            let mut spent = 0.0f64;
            for from in (-10_000..60_000i64).step_by(100) {
                let owed = [from, from - 10_000, from - 5_000].map(|from| within(&requests, from));
                let owed = owed.into_iter().fold(0.0, f64::max);
                let most = BOUND.ratio * owed + BOUND.slack;
                let sent = within(&further, from);
                assert!(sent <= most, "seed {seed}: {sent} further tries from {from} on, {most} allowed");
                spent = spent.max(sent / most);
            }
            assert!(spent > 0.5, "seed {seed}: the budget is there to be used, {spent} of it was");
        }
    }

    #[test]
    fn services_that_come_and_go_take_no_more_room_than_is_meant() {
        let mut budget = Budget::new(BOUND);
        budget.share_among(0, 1);
        for n in 0..3 * MOST as u64 {
            budget.request(n, &n.to_string());
        }
        assert!(budget.services.len() <= MOST);
        assert!(!budget.take(3 * MOST as u64, "one more"));
        assert!(budget.take(BOUND.window * 9, "one more"), "room is made by those long past");
    }
}
