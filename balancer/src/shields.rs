//! The edge's choice of a shield for a read.
//!
//! The choice follows RJ-CH over the ready shields, counting the edge's own requests in flight, with three
//! exceptions: a shield that has just failed a request of this edge is ejected for [`EJECTION_TIME`]; while
//! all shields are ejected, only one trial request per [`TRIAL_INTERVAL`] is sent; and a retried read never
//! goes to a shield that it has already tried.

use std::collections::BTreeMap;

use crate::interface::{Key, Seconds, ServerId};
use crate::rjch::{cap, ServerWeight, SlotArray};

/// Minimum cap of an edge at one shield. An edge has few requests in flight, and without this minimum every
/// second one would be sent to a shield that does not have the response. A shield can handle far more
/// requests from all edges together.
const MIN_CAP: f64 = 16.0;
/// How long a failed shield is ejected: longer than the recovery from a lost packet, shorter than a restart.
const EJECTION_TIME: Seconds = 2.0;
/// While all shields are ejected, one request in this interval is sent to test whether a shield answers
/// again. If none does, that request loses the time of the attempt.
const TRIAL_INTERVAL: Seconds = 0.5;
/// All shields have the same weight in the slot array.
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
    /// Sets the ready shields. Shields that were ready before keep their slots, counts and ejection.
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

    /// Number of ready shields, including ejected ones.
    pub fn count(&self) -> usize {
        self.ready.len()
    }

    /// Whether there are ready shields and all of them are ejected: each has recently failed and not answered
    /// since.
    pub fn all_ejected(&self, now: Seconds) -> bool {
        !self.ready.is_empty() && self.ready.values().all(|shield| shield.is_ejected(now))
    }

    /// The shield for a request: the first one below its cap along the key's walk or, if all are full, the
    /// first one. `None` if the request has `tried` all shields. While all are ejected, also `None` for
    /// a retry, and for any other request unless a trial request is due.
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
    pub fn begin_request(&mut self, shield: &ServerId) {
        self.in_flight += 1;
        if let Some(shield) = self.ready.get_mut(shield) {
            shield.in_flight += 1;
        }
    }

    /// Counts the end of a request at a shield, also when the edge gives it up.
    pub fn end_request(&mut self, shield: &ServerId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(shield) = self.ready.get_mut(shield) {
            shield.in_flight = shield.in_flight.saturating_sub(1);
        }
    }

    /// Records how a request that was sent at `sent` ended; `failed` means that the shield did not answer it.
    /// The shield is not ejected if it has answered another request since `sent`: it is healthy and is
    /// probably waiting for a server.
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
