//! The edge's decision: the shield that answers a read.
//!
//! The ordinary path is RJ-CH over the ready shields, with the edge's own requests in flight. What departs
//! from it: a shield that has just failed this edge is ejected for [`EJECTION_TIME`]; where all are, only one
//! request now and then is sent to them; and a read that is retried never goes to a shield it has been to.

use std::collections::BTreeMap;

use crate::interface::{Key, Seconds, ServerId};
use crate::rjch::{cap, ServerWeight, SlotArray};

/// Requests that one edge may always have at one shield. An edge has few in flight, and the bare cap would
/// send every second one away from the stored response; a shield bears far more from all edges together.
const MIN_CAP: f64 = 16.0;
/// How long a failed shield is ejected: longer than a lost packet takes, shorter than a restart.
const EJECTION_TIME: Seconds = 2.0;
/// How often a request tests whether a shield answers again, where all are ejected: it pays with the time of
/// an attempt.
const TRIAL_INTERVAL: Seconds = 0.5;
/// All shields are alike.
const SHIELD_WEIGHT: f64 = 1.0;

#[derive(Debug, Default)]
struct Shield {
    in_flight: u32,
    ejected_until: Seconds,
    last_answer: Seconds,
}

impl Shield {
    fn is_ejected(&self, now: Seconds) -> bool {
        now < self.ejected_until
    }
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
        let left: Vec<ServerId> = self.ready.keys().filter(|id| !ready.contains(id)).cloned().collect();
        let joined: Vec<ServerId> =
            ready.iter().filter(|id| !self.ready.contains_key(*id)).cloned().collect();
        let removed = left.iter().map(|id| ServerWeight { server: id.clone(), weight: 0.0 });
        let added = joined.iter().map(|id| ServerWeight { server: id.clone(), weight: SHIELD_WEIGHT });
        let changes: Vec<ServerWeight> = removed.chain(added).collect();
        self.slots.update(&changes);
        self.ready.retain(|id, _| !left.contains(id));
        self.ready.extend(joined.into_iter().map(|id| (id, Shield::default())));
    }

    /// How many shields are ready.
    pub fn count(&self) -> usize {
        self.ready.len()
    }

    /// Whether there are shields, and all of them have recently failed this edge and answered nothing since.
    pub fn all_ejected(&self, now: Seconds) -> bool {
        !self.ready.is_empty() && self.ready.values().all(|shield| shield.is_ejected(now))
    }

    /// The shield for a request: the first below its cap along the key's walk; where all are full, the first.
    /// `None` where there is none but those it `tried`, or none that is likely to answer.
    pub fn choose(&mut self, now: Seconds, key: Key, tried: &[ServerId]) -> Option<&ServerId> {
        let none_available = self.ready.is_empty() || self.all_ejected(now);
        if none_available {
            if !tried.is_empty() || now < self.next_trial {
                return None;
            }
            self.next_trial = now + TRIAL_INTERVAL;
        }
        let is_ejected = |id: &ServerId| self.ready.get(id).is_some_and(|shield| shield.is_ejected(now));
        let may_choose = |id: &ServerId| !tried.contains(id) && (none_available || !is_ejected(id));
        let mut walk = self.slots.walk(key, 0, |_, _, _| true).filter(|id| may_choose(id)).peekable();
        let first = walk.peek().copied();
        walk.find(|id| self.is_below_cap(id))
            .or(first)
            .or_else(|| self.ready.keys().find(|id| !tried.contains(id)))
    }

    fn is_below_cap(&self, id: &ServerId) -> bool {
        let share = 1.0 / self.ready.len().max(1) as f64;
        let cap = cap(self.in_flight + 1, share, MIN_CAP);
        self.ready.get(id).is_some_and(|shield| f64::from(shield.in_flight) < cap)
    }

    /// Counts a request that is sent to a shield.
    pub fn begin(&mut self, shield: &ServerId) {
        self.in_flight += 1;
        if let Some(shield) = self.ready.get_mut(shield) {
            shield.in_flight += 1;
        }
    }

    /// Counts the end of a request at a shield, or that it was given up.
    pub fn end(&mut self, shield: &ServerId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(shield) = self.ready.get_mut(shield) {
            shield.in_flight = shield.in_flight.saturating_sub(1);
        }
    }

    /// Notes how a request that was sent at `sent` ended; `failed` where the shield gave no answer to it. A
    /// shield that has answered, also others meanwhile, is healthy: then it waits for a server.
    pub fn record_outcome(&mut self, now: Seconds, shield: &ServerId, sent: Seconds, failed: bool) {
        let Some(shield) = self.ready.get_mut(shield) else { return };
        if !failed {
            shield.ejected_until = now;
            shield.last_answer = now;
        } else if shield.last_answer <= sent {
            shield.ejected_until = now + EJECTION_TIME;
        }
    }
}
