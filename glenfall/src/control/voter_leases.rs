//! Leases between control nodes. A node requests leases from the voters, and grants its sessions leases that end no
//! later than these. It also records the leases that it has granted to peers, so that a purge is acknowledged only once
//! no process that was not notified can serve from stored responses.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::chain::JointConfig;
use glenfall_control_plane::lease::{
    granter_wait, Grants, VoterLeases, VOTER_LEASE_DURATION, VOTER_LEASE_RENEWAL_INTERVAL,
};
use glenfall_control_plane::messages::{CallId, PeerMessage, ProcessId};
use glenfall_control_plane::Millis;
use tokio::time::{sleep, timeout};

use super::chain_driver::ChainDriver;
use super::clock::{Clock, PROCESS_START};
use super::peers::links::PeerLinks;
use crate::session::publisher::Sessions;

/// Limit on the retained sets of former voters. A change of the voters takes longer than a tick, so that fewer changes
/// than this can occur within the duration of a lease.
const MAX_FORMER_VOTER_SETS: usize = 64;
/// Interval of the checks for leases that a caller waits for, as a lease may be released before it expires.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A set of voters that was replaced recently.
struct FormerVoters {
    voters: JointConfig,
    /// When the last lease that they may have granted expires.
    leases_end: Millis,
}

/// The sets of voters whose leases may be valid.
///
/// Owns the current set and the former sets, each for as long as leases that its voters granted may be valid.
#[derive(Default)]
struct VoterHistory {
    current: Option<JointConfig>,
    former: Vec<FormerVoters>,
}

impl VoterHistory {
    fn record(&mut self, now: Millis, voters: &JointConfig) {
        self.former.retain(|former| now < former.leases_end);
        if self.current.as_ref() == Some(voters) {
            return;
        }
        let Some(replaced) = self.current.replace(voters.clone()) else { return };
        self.former
            .push(FormerVoters { voters: replaced, leases_end: now + granter_wait(VOTER_LEASE_DURATION) });
        if self.former.len() > MAX_FORMER_VOTER_SETS {
            self.former.remove(0);
        }
    }

    fn former_with_leases(&self, now: Millis) -> impl Iterator<Item = &JointConfig> {
        self.former.iter().filter(move |former| now < former.leases_end).map(|former| &former.voters)
    }
}

/// The leases that this node holds and has granted.
///
/// Owns both, and the sets of voters whose leases may be valid. No lease of a session lasts longer than the leases that
/// a quorum of voters has granted to this node.
pub struct VoterLeaseManager {
    clock: Clock,
    chain: Rc<ChainDriver>,
    links: Rc<PeerLinks>,
    sessions: Rc<Sessions>,
    held: RefCell<VoterLeases>,
    granted: RefCell<Grants<ProcessId>>,
    /// Until this time, leases that an earlier process at this address has granted may be valid. This process does not
    /// know their holders.
    unknown_grants_end: Millis,
    voters: RefCell<VoterHistory>,
    last_renewal: Cell<Millis>,
}

impl VoterLeaseManager {
    /// Starts without leases. `is_first_start` is true if no earlier process at this address can have granted leases.
    pub fn new(
        clock: Clock,
        chain: Rc<ChainDriver>,
        links: Rc<PeerLinks>,
        sessions: Rc<Sessions>,
        is_first_start: bool,
    ) -> Self {
        let unknown_grants_end =
            if is_first_start { 0 } else { PROCESS_START + granter_wait(VOTER_LEASE_DURATION) };
        VoterLeaseManager {
            clock,
            chain,
            links,
            sessions,
            held: RefCell::default(),
            granted: RefCell::default(),
            unknown_grants_end,
            voters: RefCell::default(),
            last_renewal: Cell::new(0),
        }
    }

    /// Requests leases from the voters once per `VOTER_LEASE_RENEWAL_INTERVAL`. If this node is shutting down and no
    /// session holds a lease from it, it releases its leases instead.
    pub fn renew(&self, shutting_down: bool) {
        let now = self.clock.now();
        self.voters.borrow_mut().record(now, self.chain.state().members());
        if now < self.last_renewal.get() + VOTER_LEASE_RENEWAL_INTERVAL {
            return;
        }
        self.last_renewal.set(now);
        self.granted.borrow_mut().remove_expired(now);
        let releases = shutting_down && self.sessions.time_until_last_lease_end().is_none();
        let incarnation = self.links.local().incarnation;
        let message = if releases {
            PeerMessage::LeaseReleased
        } else {
            PeerMessage::RenewLease { id: CallId { incarnation, number: now } }
        };
        for peer in self.links.connected() {
            if self.chain.state().members().contains(peer) {
                self.links.send(peer, message.clone());
            }
        }
        self.extend_session_leases();
    }

    /// Grants a peer the lease that it requests, if the requesting process is still the one that is connected. The
    /// grant is sent on the same connection as earlier purges, so that it arrives after them.
    pub fn grant(&self, peer: Ipv4Addr, id: CallId) {
        let holder = ProcessId { ip: peer, incarnation: id.incarnation };
        if self.links.connected_process(peer) == Some(holder) {
            self.granted.borrow_mut().grant(holder, self.clock.now(), VOTER_LEASE_DURATION);
            self.links.send(peer, PeerMessage::LeaseGranted { id, duration: VOTER_LEASE_DURATION });
        }
    }

    /// Records a lease that a voter has granted, which lasts for `duration` from the time of the request `id`.
    pub fn lease_granted(&self, voter: Ipv4Addr, id: CallId, duration: Millis) {
        if id.incarnation == self.links.local().incarnation {
            self.held.borrow_mut().renew(self.clock.now(), voter, id.number, duration);
            self.extend_session_leases();
        }
    }

    /// Records that a peer has released its lease from this node.
    pub fn lease_released(&self, peer: Ipv4Addr) {
        if let Some(holder) = self.links.connected_process(peer) {
            self.granted.borrow_mut().release(&holder);
        }
    }

    fn extend_session_leases(&self) {
        let chain = self.chain.state();
        let lease_end = self.held.borrow().quorum_expiry(self.clock.now(), |voters| chain.is_quorum(voters));
        self.sessions.set_own_lease_end(self.clock.instant_of(lease_end));
    }

    /// Waits until all leases that this address has granted to processes other than `notified` have ended. False if
    /// that takes longer than `time_limit`.
    pub async fn wait_for_other_leases_to_end(&self, notified: &[ProcessId], time_limit: Duration) -> bool {
        if self.unknown_grants_end > self.clock.now() + time_limit.as_millis() as Millis {
            return false;
        }
        let other_leases_ended = async {
            loop {
                let now = self.clock.now();
                let end = self.last_lease_end(now, notified);
                if end <= now {
                    return;
                }
                sleep(Duration::from_millis(end - now).min(LEASE_POLL_INTERVAL)).await;
            }
        };
        timeout(time_limit, other_leases_ended).await.is_ok()
    }

    /// When the last lease ends that this address has granted to a process other than `notified`; 0 if there is none.
    fn last_lease_end(&self, now: Millis, notified: &[ProcessId]) -> Millis {
        let granted = self.granted.borrow().last_expiry(now, |holder| !notified.contains(holder));
        granted.unwrap_or(0).max(self.unknown_grants_end)
    }

    /// Whether `nodes` and this node form a quorum in each set of voters whose leases may be valid. If so, no node can
    /// get leases of a quorum without one of them.
    pub fn is_quorum_for_all_leases(&self, nodes: &[Ipv4Addr]) -> bool {
        let local = self.links.local().ip;
        let is_majority =
            |voters: &JointConfig| voters.is_quorum(|node| *node == local || nodes.contains(node));
        self.chain.state().is_quorum(nodes)
            && self.voters.borrow().former_with_leases(self.clock.now()).all(is_majority)
    }
}
