//! Back-pressure: how many requests this machine may have at a service at once.
//!
//! A service that is asked for more than it does keeps all its queues full: it does as much as before, but what it
//! does comes late. So each machine watches which part of its answers comes late. Where that is much, it has less
//! out at once, down to its part of what the servers work on, and refuses the rest at once, the lowest rank first;
//! where answers are in time again, it has more. Machines need no word between them: they see the same queues.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// An answer is late here that takes more than this part of its aim: the way to the client takes time as well.
const IN_TIME: f64 = 0.8;
/// Weight of an answer in the part that comes late.
const SMOOTH: f64 = 0.1;
/// Beyond this part of late answers less goes out. One slow server of a few, and work that takes long by itself,
/// stay below it.
const CROWDED: f64 = 0.3;
/// Below this part more may go out.
const CALM: f64 = 0.15;
/// What is left of the limit after a cut.
const CUT: f64 = 0.8;
/// A limit never falls below this part of the machine's share of the servers' places: they stay busy, and there is
/// something to do when a place gets free.
const BUSY: f64 = 1.5;
/// Nor below this: clients don't spread evenly over machines.
const LEAST: f64 = 3.0;
/// Before anything is known of a service, and at most.
pub const MOST: f64 = 256.0;
/// The lowest rank has this much less of the limit.
const RESERVED: f64 = 0.5;

struct Gate {
    limit: f64,
    floor: f64,
    in_flight: u32,
    late: f64,
    next_cut: Instant,
}

impl Gate {
    fn admits(&self, rank: f64) -> bool {
        f64::from(self.in_flight) + 1.0 <= (self.limit * (1.0 - RESERVED * rank)).max(1.0)
    }

    fn ended(&mut self, now: Instant, in_time: bool, aim: Duration) {
        self.late += SMOOTH * (f64::from(u8::from(!in_time)) - self.late);
        let out = f64::from(self.in_flight);
        if self.late > CROWDED && now >= self.next_cut {
            self.limit = (self.limit.min(out) * CUT).max(self.floor);
            // What a cut does shows once what is out has ended.
            self.next_cut = now + aim / 2;
        } else if self.late < CALM && out + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(MOST);
        }
    }
}

/// The limits of one machine, one for each service.
#[derive(Default)]
pub struct ConcurrencyLimits(RefCell<BTreeMap<String, Gate>>);

impl ConcurrencyLimits {
    /// Takes the services and this machine's share of the places at the servers of each.
    pub fn update(&self, shares: &BTreeMap<&str, f64>) {
        let mut gates = self.0.borrow_mut();
        // What is still out keeps its gate until it has ended.
        gates.retain(|service, gate| gate.in_flight > 0 || shares.contains_key(service.as_str()));
        for (service, share) in shares {
            let floor = (share * BUSY).max(LEAST);
            match gates.get_mut(*service) {
                Some(gate) => (gate.floor, gate.limit) = (floor, gate.limit.max(floor)),
                None => {
                    let gate = Gate { limit: MOST, floor, in_flight: 0, late: 0.0, next_cut: Instant::now() };
                    gates.insert((*service).to_owned(), gate);
                }
            }
        }
    }

    /// A request of a rank from 0, the highest, to 1. `None` where there is no room for it now.
    pub fn admit<'a>(&'a self, service: &'a str, rank: f64, aim: Duration) -> Option<Admitted<'a>> {
        if let Some(gate) = self.0.borrow_mut().get_mut(service) {
            if !gate.admits(rank) {
                return None;
            }
            gate.in_flight += 1;
        }
        Some(Admitted { limits: self, service, aim, began: Instant::now(), told: None })
    }
}

/// A request that counts until this is dropped. What it does not tell of its end says nothing of the service.
pub struct Admitted<'a> {
    limits: &'a ConcurrencyLimits,
    service: &'a str,
    aim: Duration,
    began: Instant,
    told: Option<bool>,
}

impl Admitted<'_> {
    /// The service has answered.
    pub fn answered(&mut self) {
        self.told = Some(self.began.elapsed() <= self.aim.mul_f64(IN_TIME));
    }

    /// It was full, or too slow.
    pub fn crowded(&mut self) {
        self.told = Some(false);
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if let Some(gate) = self.limits.0.borrow_mut().get_mut(self.service) {
            if let Some(in_time) = self.told {
                gate.ended(Instant::now(), in_time, self.aim);
            }
            gate.in_flight = gate.in_flight.saturating_sub(1);
        }
    }
}
