//! The edge's decision: the shield that answers a read.
//!
//! The ordinary path is RJ-CH over the ready shields, with the edge's own requests in flight. What departs
//! from it: a shield that has just failed this edge is passed over for [`REST`]; where all have, only one
//! request now and then asks them; and one that is tried again never goes to a shield it has been to.

use std::collections::BTreeMap;

use crate::interface::{Key, Seconds, ServerId};
use crate::rjch::{cap, SlotArray};

/// Requests that one edge may always have at one shield. An edge has few in flight, and the bare cap would
/// send every second one away from the copy of its object; a shield bears far more from all edges together.
const FLOOR: f64 = 16.0;
/// How long a failed shield is passed over: longer than a lost packet takes, shorter than a new start.
const REST: Seconds = 2.0;
/// How often a request asks whether one answers again, where all rest: it pays with the time of an attempt.
const TRIAL: Seconds = 0.5;

#[derive(Debug, Default)]
struct Shield {
    in_flight: u32,
    rests_until: Seconds,
    /// When it last answered.
    answered: Seconds,
}

/// The ready shields as one edge sees them.
#[derive(Debug, Default)]
pub struct Shields {
    slots: SlotArray,
    ready: BTreeMap<ServerId, Shield>,
    in_flight: u32,
    next_trial: Seconds,
}

impl Shields {
    /// Takes the ready set from the membership. Those that stay keep their slots and counts.
    pub fn update(&mut self, ready: &[ServerId]) {
        let left: Vec<_> = self.ready.keys().filter(|id| !ready.contains(id)).cloned().collect();
        let joined = ready.iter().filter(|id| !self.ready.contains_key(*id)).cloned();
        let changes: Vec<_> =
            left.iter().map(|id| (id.clone(), 0.0)).chain(joined.map(|id| (id, 1.0))).collect();
        self.slots.update(&changes);
        self.ready.retain(|id, _| !left.contains(id));
        for (id, _) in changes.into_iter().filter(|(_, size)| *size > 0.0) {
            self.ready.insert(id, Shield::default());
        }
    }

    /// How many shields are ready.
    pub fn count(&self) -> usize {
        self.ready.len()
    }

    /// Whether there are shields, and all of them have failed this edge of late and answered nothing since.
    pub fn all_fail(&self, now: Seconds) -> bool {
        !self.ready.is_empty() && self.ready.values().all(|shield| now < shield.rests_until)
    }

    /// The shield for a request: the first below its cap along the key's walk; where all are full, the first.
    /// `None` where there is none but those it `tried`, or none that is likely to answer.
    pub fn choose(&mut self, now: Seconds, key: Key, tried: &[ServerId]) -> Option<&ServerId> {
        let bound = cap(self.in_flight + 1, 1.0 / self.ready.len().max(1) as f64, FLOOR);
        let rests = |id: &ServerId| self.ready.get(id).is_some_and(|s| now < s.rests_until);
        let all_rest = self.ready.is_empty() || self.all_fail(now);
        if all_rest && (!tried.is_empty() || now < self.next_trial) {
            return None;
        }
        self.next_trial = if all_rest { now + TRIAL } else { self.next_trial };
        let open = |id: &ServerId| !tried.contains(id) && (all_rest || !rests(id));
        let mut walk = self.slots.walk(key, 0, |_, _, _| true).filter(|id| open(id)).peekable();
        let first = walk.peek().copied();
        let below = |id: &&ServerId| self.ready.get(*id).is_some_and(|s| f64::from(s.in_flight) < bound);
        walk.find(below).or(first).or_else(|| self.ready.keys().find(|id| !tried.contains(id)))
    }

    /// A request goes to a shield.
    pub fn begin(&mut self, shield: &ServerId) {
        self.in_flight += 1;
        if let Some(s) = self.ready.get_mut(shield) {
            s.in_flight += 1;
        }
    }

    /// It has ended there, or was given up.
    pub fn end(&mut self, shield: &ServerId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(s) = self.ready.get_mut(shield) {
            s.in_flight = s.in_flight.saturating_sub(1);
        }
    }

    /// What came of what was sent at `sent`; `failed` where the shield gave no answer to it. One that has
    /// answered, also others meanwhile, is well: it waits for a server.
    pub fn heard(&mut self, now: Seconds, shield: &ServerId, sent: Seconds, failed: bool) {
        if let Some(s) = self.ready.get_mut(shield) {
            let rests_until = if failed { s.rests_until } else { now };
            s.rests_until = if failed && s.answered <= sent { now + REST } else { rests_until };
            s.answered = if failed { s.answered } else { now };
        }
    }
}
