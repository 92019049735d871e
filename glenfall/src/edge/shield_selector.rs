//! Selection of the shield for a read: consistent hashing with bounded loads (RJ-CH) over the ready shields, except those
//! that failed recently.

use std::cell::RefCell;
use std::collections::BTreeMap;

use glenfall_balancer::{Key, Seconds, ServerId, Shields};
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::messages::{Member, ProxyRole};
use tokio::time::Instant;

/// The ready shields, and the outcomes of this edge's requests to them.
pub(super) struct ShieldSelector {
    shields: RefCell<Shields>,
    /// The incarnation of each ready shield's process, as last received from control. It changes when the process restarts.
    incarnations: RefCell<BTreeMap<ServerId, u64>>,
    zone: String,
    /// Shields in this edge's zone, ready or not.
    same_zone: RefCell<Vec<ServerId>>,
    /// The origin of the balancer's clock.
    started: Instant,
}

impl ShieldSelector {
    /// The selector of an edge in this zone, without shields.
    pub fn new(zone: &str) -> Self {
        ShieldSelector {
            shields: RefCell::default(),
            incarnations: RefCell::default(),
            zone: zone.to_owned(),
            same_zone: RefCell::default(),
            started: Instant::now(),
        }
    }

    /// Replaces the shields by those of a fleet.
    pub fn update(&self, fleet: &Fleet) {
        let same_zone = fleet.shields.iter().filter(|member| member.zone == self.zone);
        self.same_zone.replace(same_zone.map(shield_id).collect());
        let ready = fleet.shields.iter().filter(|member| member.ready && member.proxy == ProxyRole::Shield);
        let incarnations: BTreeMap<ServerId, u64> =
            ready.map(|member| (shield_id(member), member.incarnation)).collect();
        let ready: Vec<ServerId> = incarnations.keys().cloned().collect();
        self.shields.borrow_mut().update(&ready);
        self.clear_failures_of_restarted(incarnations);
    }

    /// Clears the failures of shields whose process has restarted. They do not apply to the new process, which control
    /// reports as ready.
    fn clear_failures_of_restarted(&self, incarnations: BTreeMap<ServerId, u64>) {
        let now = self.now();
        let previous = self.incarnations.replace(incarnations);
        let mut shields = self.shields.borrow_mut();
        for (shield, incarnation) in self.incarnations.borrow().iter() {
            if previous.get(shield).is_some_and(|previous| previous != incarnation) {
                shields.record_outcome(now, shield, now, false);
            }
        }
    }

    /// The number of ready shields.
    pub fn count(&self) -> usize {
        self.shields.borrow().count()
    }

    /// Whether control reports any shield as ready.
    pub fn any_ready(&self) -> bool {
        !self.incarnations.borrow().is_empty()
    }

    /// Whether there are shields, and each of them failed recently and has not answered this edge since.
    pub fn all_failing(&self) -> bool {
        self.shields.borrow().all_ejected(self.now())
    }

    /// Whether a shield is in this edge's zone.
    pub fn is_same_zone(&self, shield: &ServerId) -> bool {
        self.same_zone.borrow().contains(shield)
    }

    /// The shield for an object among those that are not `excluded`; `None` if none is likely to answer.
    pub fn choose(&self, key: Key, excluded: &[ServerId]) -> Option<ServerId> {
        self.shields.borrow_mut().choose(self.now(), key, excluded).cloned()
    }

    /// Counts a request as in flight until the guard is dropped, which also happens when its client disconnects.
    pub fn begin_request<'a>(&'a self, shield: &'a ServerId) -> InFlightGuard<'a> {
        self.shields.borrow_mut().begin_request(shield);
        InFlightGuard { shields: &self.shields, shield }
    }

    /// Records that a request sent to a shield at this time got no usable response.
    pub fn record_failure(&self, shield: &ServerId, sent: Instant) {
        self.shields.borrow_mut().record_outcome(self.now(), shield, self.seconds(sent), true);
    }

    /// Records that a shield has answered a request sent at this time. If all shields had failed, the failures of the others
    /// are cleared too, as they are likely to be available again. If they stayed ejected, this shield would receive the
    /// requests for all their objects.
    pub fn record_answer(&self, shield: &ServerId, sent: Instant) {
        let now = self.now();
        let mut shields = self.shields.borrow_mut();
        if shields.all_ejected(now) {
            for other in self.incarnations.borrow().keys() {
                shields.record_outcome(now, other, now, false);
            }
        }
        shields.record_outcome(now, shield, self.seconds(sent), false);
    }

    fn now(&self) -> Seconds {
        self.seconds(Instant::now())
    }

    fn seconds(&self, at: Instant) -> Seconds {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}

/// The balancer's id of a shield: the address at which it accepts reads.
fn shield_id(member: &Member) -> ServerId {
    ServerId(member.http.to_string().as_str().into())
}

/// A request that is counted as in flight at a shield until this guard is dropped.
pub(super) struct InFlightGuard<'a> {
    shields: &'a RefCell<Shields>,
    shield: &'a ServerId,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.shields.borrow_mut().end_request(self.shield);
    }
}
