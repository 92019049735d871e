//! The ceiling of a service: how many requests all machines together may send to its servers.
//!
//! The operator's bound holds for the sum over all machines, in any window. Each machine holds a part of the
//! rate and spends it as it comes in, so that parts which sum to one keep the bound without a word between
//! machines. What may be saved up counts on top, for each holder: it is a set time of the holder's rate, and no
//! more however small the rate is. A holder whose rate gives less than one request in that time gets one at
//! moments of its own, and loses it again unless it is used in time. So the sum of what is saved does not grow
//! with the number of holders.
//!
//! A process begins with nothing saved, as its last life may have spent it just now; from then on it saves for
//! services that it has not asked yet as well.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Millis;

/// Part of the bound that is handed out. The rest is for what is saved up, for requests that arrive later than
/// they were sent, and for the moments in which machines don't agree on how many they are.
const USED: f64 = 0.91;
/// Part of a window that may be saved up.
const SAVED: f64 = 0.05;
/// Part of what is handed out that edges hold while shields do the asking.
const EDGES: f64 = 0.03;
/// Part of what may be saved up that is left to ranks above the lowest.
const RESERVED: f64 = 0.3;
/// Services counted at most; one more gets nothing.
const MOST: usize = 1024;
/// Nobody is told to wait longer, in milliseconds.
const LONGEST: f64 = 60_000.0;

/// Part of its aim that a request may wait for its turn: it then still comes in time.
const PATIENCE: u32 = 5;
/// A refusal is an early one within this part of the aim, as the client sees it.
const EARLY: u32 = 4;
/// What the request and its refusal spend on their ways between client and server's proxy: twice 3 ms to the client, twice
/// 1.4 ms between zones, and what machines take to wake up.
const WAYS: Duration = Duration::from_millis(12);

/// How long a request may wait for its turn under a ceiling: a refusal after that is still an early one.
pub fn patience(aim: Duration) -> Duration {
    (aim / PATIENCE).min((aim / EARLY).saturating_sub(WAYS))
}

/// The operator's bound: over any window no more than `over` times the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    pub window: Millis,
    pub over: f64,
}

/// What a machine is among those that ask servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Holder {
    /// One of so many shields.
    Shield { of: usize },
    /// One of so many edges. `alone`: no shield asks for them.
    Edge { of: usize, alone: bool },
}

impl Holder {
    fn part(self) -> f64 {
        match self {
            Holder::Shield { of } => (1.0 - EDGES) / of.max(1) as f64,
            Holder::Edge { of, alone: false } => EDGES / of.max(1) as f64,
            Holder::Edge { of, alone: true } => (1.0 - EDGES) / of.max(1) as f64,
        }
    }
}

struct Share {
    per_s: f64,
    saved: f64,
    at: Millis,
}

/// One machine's part of every ceiling.
pub struct Ceiling {
    bound: Bound,
    part: f64,
    /// From 0 to 1, another at each machine: when small parts come in.
    phase: f64,
    shares: BTreeMap<String, Share>,
    /// When this process first held a part.
    since: Option<Millis>,
}

impl Ceiling {
    pub fn new(bound: Bound, phase: f64) -> Self {
        Ceiling { bound, part: 0.0, phase: phase.clamp(0.0, 1.0), shares: BTreeMap::new(), since: None }
    }

    /// What this machine is from now on.
    pub fn hold(&mut self, now: Millis, holder: Holder) {
        let part = holder.part();
        self.since.get_or_insert(now);
        if part == self.part {
            return;
        }
        // What has come in so far came in by the old part.
        let (bound, old) = (self.bound, self.part);
        for share in self.shares.values_mut() {
            share.fill(now, bound, old);
        }
        self.part = part;
    }

    /// Takes one request of a rank from 0, the highest, to 1 to a service with this ceiling. Otherwise says when
    /// the next one comes in.
    pub fn take(&mut self, now: Millis, service: &str, per_s: f64, rank: f64) -> Result<(), Millis> {
        if !self.shares.contains_key(service) {
            if self.shares.len() >= MOST {
                return Err(self.bound.window);
            }
            // Where requests come in one by one, the first comes at another time at each machine.
            let one_by_one = most(per_ms(self.bound, self.part, per_s), self.bound) <= 1.0;
            let saved = if one_by_one { self.phase } else { 0.0 };
            self.shares.insert(service.to_owned(), Share { per_s, saved, at: self.since.unwrap_or(now) });
        }
        let (bound, part) = (self.bound, self.part);
        let Some(share) = self.shares.get_mut(service) else { return Err(bound.window) };
        share.fill(now, bound, part);
        share.per_s = per_s;
        let rate = per_ms(bound, part, per_s);
        let due = 1.0 + rank * RESERVED * (most(rate, bound) - 1.0);
        if share.saved >= due {
            share.saved -= 1.0;
            return Ok(());
        }
        Err(((due - share.saved) / rate.max(1e-9)).ceil().min(LONGEST) as Millis)
    }
}

impl Share {
    /// Adds what has come in since it was last looked at.
    fn fill(&mut self, now: Millis, bound: Bound, part: f64) {
        let rate = per_ms(bound, part, self.per_s);
        let saved = self.saved + rate * now.saturating_sub(self.at) as f64;
        let most = most(rate, bound);
        self.at = now;
        self.saved = if most > 1.0 {
            saved.min(most)
        } else {
            // A whole one lasts for a set time; after that the next one is on its way.
            let lost = (saved - rate * lasts(bound)).floor().max(0.0);
            (saved - lost).min(1.0 + rate * lasts(bound))
        };
    }
}

/// Requests that come in in a millisecond.
fn per_ms(bound: Bound, part: f64, per_s: f64) -> f64 {
    per_s.max(0.0) * bound.over * USED * part / 1000.0
}

/// How long what comes in may be saved.
fn lasts(bound: Bound) -> f64 {
    bound.window as f64 * SAVED
}

fn most(rate: f64, bound: Bound) -> f64 {
    (rate * lasts(bound)).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    const BOUND: Bound = Bound { window: 5000, over: 1.1 };
    const PER_S: f64 = 280.0;

    /// Machines that join, leave, start again and lose touch, each asked for more than it may send. Returns the
    /// most that came in any window, and how much came in all.
    fn played(seed: u64, shields: usize, edges: usize, troubles: bool) -> (usize, usize) {
        const SECONDS: u64 = 30;
        const STEP: usize = 4;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut run: Vec<Option<Ceiling>> = (0..shields + edges).map(|_| None).collect();
        // What each machine believes of the number of shields, and when it hears of the present one.
        let mut heard: Vec<(usize, Millis)> = vec![(shields, 0); shields + edges];
        let mut sent: Vec<Millis> = Vec::new();
        for now in (0..SECONDS * 1000).step_by(STEP) {
            let present = run[..shields].iter().flatten().count();
            if troubles && rng.random_bool(0.004) {
                let victim = rng.random_range(0..run.len());
                run[victim] = None;
            }
            if troubles && rng.random_bool(0.0004) {
                run[..shields].iter_mut().for_each(|shield| *shield = None);
            }
            for n in 0..run.len() {
                if run[n].is_none() && (!troubles || rng.random_bool(0.002)) || now == 0 {
                    run[n] = Some(Ceiling::new(BOUND, rng.random()));
                    // Nothing is known but how many there are by rights.
                    heard[n] = (shields, now);
                }
                let Some(ceiling) = &mut run[n] else { continue };
                if heard[n].0 != present && now >= heard[n].1 {
                    heard[n] = (present, now + rng.random_range(0..150));
                }
                let known = heard[n].0;
                let holder = if n < shields {
                    Holder::Shield { of: known.max(1) }
                } else {
                    Holder::Edge { of: edges, alone: known == 0 }
                };
                ceiling.hold(now, holder);
                // A shield asks where there are shields; edges ask all the time.
                while ceiling.take(now, "s", PER_S, 0.0).is_ok() {
                    sent.push(now);
                }
            }
        }
        let mut first = 0;
        let most = (0..sent.len()).map(|last| {
            while sent[first] + BOUND.window <= sent[last] {
                first += 1;
            }
            last + 1 - first
        });
        (most.max().unwrap_or(0), sent.len())
    }

    #[test]
    fn no_window_holds_more_than_the_bound_whatever_happens_to_the_holders() {
        let allowed = (PER_S * 5.0 * BOUND.over) as usize + 5;
        for (shields, edges) in [(3, 10), (5, 90), (5, 900)] {
            for seed in 0..4 {
                let (most, _) = played(seed, shields, edges, true);
                assert!(
                    most <= allowed,
                    "{shields} shields, {edges} edges, seed {seed}: {most} of {allowed}"
                );
            }
        }
    }

    #[test]
    fn most_of_the_ceiling_is_used_by_those_who_are_there() {
        for (shields, edges) in [(5, 90), (0, 90), (0, 900)] {
            let (_, all) = played(1, shields, edges, false);
            let part = all as f64 / (30.0 * PER_S);
            assert!((0.9..1.03).contains(&part), "{shields} shields, {edges} edges: {part}");
        }
    }

    #[test]
    fn a_process_begins_with_nothing_and_ranks_share_what_is_saved() {
        let mut ceiling = Ceiling::new(BOUND, 0.0);
        ceiling.hold(0, Holder::Shield { of: 1 });
        let wait = ceiling.take(0, "s", 100.0, 0.0).expect_err("nothing saved yet");
        assert!((10..12).contains(&wait), "one in about 10 ms, got {wait}");
        assert_eq!(ceiling.take(wait, "s", 100.0, 0.0), Ok(()));
        // Saved up for long, the lowest rank leaves a part to the highest.
        let taken = |ceiling: &mut Ceiling, rank| {
            (0..100).take_while(|_| ceiling.take(10_000, "s", 100.0, rank).is_ok()).count()
        };
        let low = taken(&mut ceiling, 1.0);
        let high = taken(&mut ceiling, 0.0);
        assert!(low > 10 && high > 5, "{low} of the lowest rank, then {high} of the highest");
    }

    #[test]
    fn a_small_part_comes_at_times_and_does_not_pile_up() {
        let mut ceiling = Ceiling::new(BOUND, 0.5);
        ceiling.hold(0, Holder::Edge { of: 1000, alone: false });
        assert!(ceiling.take(0, "s", 100.0, 1.0).is_err());
        let (mut sent, mut waits) = (0, 0);
        // After a long rest one at most.
        for now in [1_000_000, 1_000_001, 1_000_002] {
            match ceiling.take(now, "s", 100.0, 1.0) {
                Ok(()) => sent += 1,
                Err(_) => waits += 1,
            }
        }
        assert!(sent <= 1 && waits >= 2);
    }
}
