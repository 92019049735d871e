//! Leases between control nodes: a node asks the voters for its own, out of which its sessions have theirs, and
//! remembers what it has granted, so that a purge is acknowledged only once nobody can serve from copies who was not told.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::time::Duration;

use glenfall_control_plane::chain::JointConfig;
use glenfall_control_plane::lease::{granter_wait, Grants, VoterLeases, VOTER_LEASE, VOTER_RENEWAL};
use glenfall_control_plane::messages::{CallId, PeerMessage, ProcessId};
use glenfall_control_plane::Millis;
use tokio::time::{sleep, timeout};

use super::{Control, BEFORE, TICK};

/// Sets of voters that counted within the last lease, at most: each change of them takes longer than a tick.
const MOST_SETS: usize = 64;

#[derive(Default)]
pub struct Leases {
    held: RefCell<VoterLeases>,
    granted: RefCell<Grants<ProcessId>>,
    /// Until then the process that ran here before may have granted leases that this one knows nothing of.
    unknown_until: Cell<Millis>,
    /// The voters as last seen, and those that counted before, each until when leases by them may stand.
    voters: RefCell<Option<JointConfig>>,
    former_voters: RefCell<Vec<(JointConfig, Millis)>>,
    asked_at: Cell<Millis>,
}

impl Leases {
    /// `first_start`: no process can have run here before.
    pub fn new(first_start: bool) -> Self {
        let unknown_until = if first_start { 0 } else { BEFORE + granter_wait(VOTER_LEASE) };
        Leases { unknown_until: Cell::new(unknown_until), ..Leases::default() }
    }

    fn note_voters(&self, now: Millis, members: &JointConfig) {
        let mut former = self.former_voters.borrow_mut();
        former.retain(|(_, until)| now < *until);
        let mut voters = self.voters.borrow_mut();
        if voters.as_ref() == Some(members) {
            return;
        }
        if let Some(before) = voters.replace(members.clone()) {
            former.push((before, now + granter_wait(VOTER_LEASE)));
            if former.len() > MOST_SETS {
                former.remove(0);
            }
        }
    }
}

impl Control {
    /// Asks voters for leases, or gives them back once this node leaves and no session has one of it.
    pub(super) fn renew_leases(&self) {
        let now = self.now();
        let leases = &self.leases;
        leases.note_voters(now, self.chain.borrow().members());
        if now < leases.asked_at.get() + VOTER_RENEWAL {
            return;
        }
        leases.asked_at.set(now);
        leases.granted.borrow_mut().forget_ended(now);
        let leaves = *self.stop.borrow() && self.sessions.last_lease_ends().is_none();
        let ask = if leaves {
            PeerMessage::LeaseReleased
        } else {
            PeerMessage::RenewLease { id: CallId { incarnation: self.life, number: now } }
        };
        for ip in self.peers.up() {
            if self.chain.borrow().members().contains(ip) {
                self.peers.send(ip, ask.clone());
            }
        }
        self.vouch_for_sessions();
    }

    /// Grants a peer a lease. What was purged is told on the same connection, before.
    pub(super) fn grant_lease(&self, to: Ipv4Addr, id: CallId) {
        if self.peers.instance(to).is_some_and(|instance| instance.incarnation == id.incarnation) {
            let holder = ProcessId { ip: to, incarnation: id.incarnation };
            self.leases.granted.borrow_mut().grant(holder, self.now(), VOTER_LEASE);
            self.peers.send(to, PeerMessage::LeaseGranted { id, duration: VOTER_LEASE });
        }
    }

    pub(super) fn lease_granted(&self, by: Ipv4Addr, id: CallId, lasts: Millis) {
        if id.incarnation == self.life {
            self.leases.held.borrow_mut().renew(self.now(), by, id.number, lasts);
            self.vouch_for_sessions();
        }
    }

    pub(super) fn lease_released(&self, by: Ipv4Addr) {
        if let Some(instance) = self.peers.instance(by) {
            self.leases.granted.borrow_mut().release(&instance);
        }
    }

    fn vouch_for_sessions(&self) {
        let chain = self.chain.borrow();
        let until = self.leases.held.borrow().until(self.now(), |voters| chain.is_quorum(voters));
        self.sessions.vouch_until(self.began + Duration::from_millis(until.saturating_sub(BEFORE)));
    }

    /// Waits until none but these may use a lease that a process here has granted; false where that takes longer.
    pub(super) async fn no_lease_but_of(&self, told: &[ProcessId], most: Duration) -> bool {
        if self.leases.unknown_until.get() > self.now() + most.as_millis() as Millis {
            return false;
        }
        let over = async {
            loop {
                let now = self.now();
                let granted = self.leases.granted.borrow().last_end(now, |holder| !told.contains(holder));
                let end = granted.into_iter().chain([self.leases.unknown_until.get()]).max().unwrap_or(now);
                if end <= now {
                    return;
                }
                // It may be given back before.
                sleep(Duration::from_millis(end - now).min(TICK)).await;
            }
        };
        timeout(most, over).await.is_ok()
    }

    /// Whether nodes are a quorum together with this one, by all sets of voters upon whose leases copies may be served.
    pub(super) fn bars_leases(&self, nodes: &[Ipv4Addr]) -> bool {
        let me = self.boot.bind_ip;
        let majority = |members: &JointConfig| members.majority(|node| *node == me || nodes.contains(node));
        let now = self.now();
        let former = self.leases.former_voters.borrow();
        let standing = former.iter().filter(|(_, until)| now < *until);
        self.chain.borrow().is_quorum(nodes) && standing.map(|(members, _)| members).all(majority)
    }
}
