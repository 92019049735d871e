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
pub fn max_queue_time(aim: Duration) -> Duration {
    (aim / PATIENCE).min((aim / EARLY).saturating_sub(WAYS))
}

/// The operator's bound: over any window no more than `over` times the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitSettings {
    pub window: Millis,
    pub over: f64,
}

/// What a machine is among those that ask servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaHolder {
    /// One of so many shields.
    Shield { of: usize },
    /// One of so many edges. `alone`: no shield asks for them.
    Edge { of: usize, alone: bool },
}

impl QuotaHolder {
    fn part(self) -> f64 {
        match self {
            QuotaHolder::Shield { of } => (1.0 - EDGES) / of.max(1) as f64,
            QuotaHolder::Edge { of, alone: false } => EDGES / of.max(1) as f64,
            QuotaHolder::Edge { of, alone: true } => (1.0 - EDGES) / of.max(1) as f64,
        }
    }
}

struct Share {
    per_s: f64,
    saved: f64,
    at: Millis,
}

/// One machine's part of every ceiling.
pub struct RateLimiter {
    bound: RateLimitSettings,
    part: f64,
    /// From 0 to 1, another at each machine: when small parts come in.
    phase: f64,
    shares: BTreeMap<String, Share>,
    /// When this process first held a part.
    since: Option<Millis>,
}

impl RateLimiter {
    pub fn new(bound: RateLimitSettings, phase: f64) -> Self {
        RateLimiter { bound, part: 0.0, phase: phase.clamp(0.0, 1.0), shares: BTreeMap::new(), since: None }
    }

    /// What this machine is from now on.
    pub fn set_holder(&mut self, now: Millis, holder: QuotaHolder) {
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
    pub fn try_acquire(&mut self, now: Millis, service: &str, per_s: f64, rank: f64) -> Result<(), Millis> {
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
    fn fill(&mut self, now: Millis, bound: RateLimitSettings, part: f64) {
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
fn per_ms(bound: RateLimitSettings, part: f64, per_s: f64) -> f64 {
    per_s.max(0.0) * bound.over * USED * part / 1000.0
}

/// How long what comes in may be saved.
fn lasts(bound: RateLimitSettings) -> f64 {
    bound.window as f64 * SAVED
}

fn most(rate: f64, bound: RateLimitSettings) -> f64 {
    (rate * lasts(bound)).max(1.0)
}
