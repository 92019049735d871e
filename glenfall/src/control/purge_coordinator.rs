//! Coordinates purges at a control node: records them, sends them to sessions and peers, and decides when a purge is
//! acknowledged.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{
    AgedPurge, CallId, PeerMessage, ProcessId, Purge, PurgeRecord, Update,
};
use glenfall_control_plane::purge_history::PurgeHistory;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::clock::{Clock, PROCESS_START};
use super::peers::links::PeerLinks;
use super::peers::requests::PeerRequests;
use super::purge_durability::PurgeDurability;
use super::purge_log::PurgeLog;
use super::voter_leases::VoterLeaseManager;
use crate::session::publisher::{Sessions, MAX_ACKNOWLEDGEMENT_DELAY};

/// Time limit for a purge to be applied by every process that may serve from stored responses. After that it is
/// rejected, and the operator repeats it once the leases of the processes that have not applied it have expired. The
/// limit is below one second, within which operators expect a response.
const PURGE_TIMEOUT: Duration = Duration::from_millis(750);
/// Time limit for a purge that a peer has sent, at this node and at the peers that it is forwarded to. It is shorter
/// than [`PURGE_TIMEOUT`], so that the acknowledgement reaches the origin in time.
const PEER_PURGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time limit for a purge that was forwarded by a node other than its origin. It is shorter than
/// [`PEER_PURGE_TIMEOUT`], so that the acknowledgement reaches the forwarding node in time.
const FORWARDED_PURGE_TIMEOUT: Duration = Duration::from_millis(450);

/// Why a purge was not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PurgeError {
    /// Its record is on too few disks: one more is required than the number of hosts that may be lost. Shields store
    /// responses on disk, so that after a power loss of all machines only a record on disk shows that these responses
    /// are invalid.
    #[error("record of the purge is durable on fewer than {required} disks")]
    NotDurable {
        /// The number of disks that must have the record.
        required: usize,
    },
    /// A process that may serve from stored responses has not applied it, and the lease of that process has not
    /// expired.
    #[error("not all processes that may serve from stored responses have applied the purge")]
    NotApplied,
}

/// The parts of a control node that a [`PurgeCoordinator`] uses.
pub struct PurgeDependencies {
    pub clock: Clock,
    pub links: Rc<PeerLinks>,
    pub requests: Rc<PeerRequests>,
    pub sessions: Rc<Sessions>,
    /// The leases that this node has granted.
    pub leases: Rc<VoterLeaseManager>,
}

/// Coordinates purges.
///
/// Owns the purge history, its log on disk, and the numbers of the purges of this process. A purge that is new to the
/// history is pushed to all sessions and queued for the log in the same step, so that history, sessions and log agree.
pub struct PurgeCoordinator {
    dependencies: PurgeDependencies,
    history: RefCell<PurgeHistory>,
    log: PurgeLog,
    durability: Rc<PurgeDurability>,
    next_number: Cell<u64>,
    required_disks: usize,
}

impl PurgeCoordinator {
    /// Starts with the purges in `logged`, which were read from the log. A purge is acknowledged only once its record
    /// is on `required_disks` disks.
    pub fn new(
        dependencies: PurgeDependencies,
        log: PurgeLog,
        logged: Vec<PurgeRecord>,
        required_disks: usize,
    ) -> Self {
        let mut history = PurgeHistory::default();
        history.add(PROCESS_START, logged);
        PurgeCoordinator {
            dependencies,
            history: RefCell::new(history),
            log,
            durability: Rc::default(),
            next_number: Cell::new(0),
            required_disks,
        }
    }

    /// The recent purges, for a session that begins now and may have missed them.
    pub fn purges_for_new_session(&self) -> Vec<AgedPurge> {
        self.history.borrow().purges_for_new_session(self.dependencies.clock.now())
    }

    /// The message that sends a peer the complete history.
    pub fn history_message(&self) -> PeerMessage {
        let purges = self.history.borrow().snapshot(self.dependencies.clock.now());
        PeerMessage::Purges { id: None, purges, already_notified: None }
    }

    /// Invalidates all stored responses that a purge names, at all processes.
    ///
    /// # Errors
    ///
    /// When the purge is not durable on enough disks in time, or when a process that may serve from such responses has
    /// neither applied it nor lost its lease in time.
    pub async fn purge(&self, purge: Purge) -> Result<(), PurgeError> {
        let PurgeDependencies { links, requests, sessions, leases, .. } = &self.dependencies;
        let number = self.next_number.replace(self.next_number.get() + 1);
        let ProcessId { ip: origin, incarnation } = links.local();
        let record = PurgeRecord { origin, incarnation, number, age_ms: 0, purge };
        let tracked = self.durability.track(number);
        let written = self.record(vec![record.clone()]);
        self.track_own_write(number, written);
        let leased = sessions.lease_holders();
        let notified = links.connected_processes();
        let request = |id| PeerMessage::Purges {
            id: Some(id),
            purges: vec![record.clone()],
            already_notified: Some(notified.clone()),
        };
        let peers = addresses(&notified);
        let (acknowledged, applied, other_leases_ended, durable) = tokio::join!(
            requests.send_to_all(&peers, request, PURGE_TIMEOUT),
            self.apply_at_sessions(PURGE_TIMEOUT),
            leases.wait_for_other_leases_to_end(&notified, PURGE_TIMEOUT),
            tracked.wait_for_disks(self.required_disks, PURGE_TIMEOUT)
        );
        if !durable {
            tracing::warn!(
                number,
                required_disks = self.required_disks,
                "purge not acknowledged: its record is durable on too few disks"
            );
            return Err(PurgeError::NotDurable { required: self.required_disks });
        }
        let is_quorum =
            acknowledged.is_ok_and(|complete_peers| leases.is_quorum_for_all_leases(&complete_peers));
        if !(other_leases_ended && applied && is_quorum) {
            return Err(PurgeError::NotApplied);
        }
        let unapplied = sessions.lease_holders_not_applied(&leased);
        Invariant::PurgeIsApplied.check(unapplied.is_empty(), || format!("{unapplied:?} have a lease"));
        Ok(())
    }

    /// Records a purge of this node as durable here once `written` completes. Without `written` the purge is not new,
    /// and nothing is recorded.
    fn track_own_write(&self, number: u64, written: Option<oneshot::Receiver<()>>) {
        let Some(written) = written else { return };
        let durability = Rc::clone(&self.durability);
        let local = self.dependencies.links.local().ip;
        spawn_local(async move {
            if written.await.is_ok() {
                durability.record_durable(local, number);
            }
        });
    }

    /// Records that `peer` has a purge of this node on disk. Reports about purges of earlier incarnations are ignored.
    pub fn record_durable(&self, peer: Ipv4Addr, incarnation: u64, number: u64) {
        if incarnation == self.dependencies.links.local().incarnation {
            self.durability.record_durable(peer, number);
        }
    }

    /// Records purges that `peer` has sent. Reports those that originate at `peer` to it as durable once they are on
    /// the disk of this node.
    pub fn record_from_peer(&self, peer: Ipv4Addr, purges: &[PurgeRecord]) {
        let Some(written) = self.record(purges.to_vec()) else { return };
        let originated_by_peer = purges.iter().filter(|purge| purge.origin == peer);
        let reports: Vec<PeerMessage> = originated_by_peer
            .map(|purge| PeerMessage::PurgeDurable { incarnation: purge.incarnation, number: purge.number })
            .collect();
        if reports.is_empty() {
            return;
        }
        let links = Rc::clone(&self.dependencies.links);
        spawn_local(async move {
            if written.await.is_ok() {
                for report in reports {
                    links.send(peer, report);
                }
            }
        });
    }

    /// Adds purges to the history; pushes those that are new to the sessions and queues them for the log. The receiver
    /// completes once they are on disk. `None` if none is new.
    fn record(&self, purges: Vec<PurgeRecord>) -> Option<oneshot::Receiver<()>> {
        let new = self.history.borrow_mut().add(self.dependencies.clock.now(), purges);
        if new.is_empty() {
            return None;
        }
        let update = Update::Purges(new.iter().map(PurgeRecord::aged).collect());
        self.dependencies.sessions.push(&update);
        Some(self.log.write(new))
    }

    /// Waits until no session that holds a lease from this node can serve responses that were purged. False if that
    /// takes longer than `time_limit`.
    async fn apply_at_sessions(&self, time_limit: Duration) -> bool {
        let applied = self.dependencies.sessions.wait_until_purged(time_limit).await;
        self.dependencies.sessions.end_overdue(MAX_ACKNOWLEDGEMENT_DELAY);
        applied
    }

    /// Acknowledges purges that a peer has sent, once no session at this node can serve responses that they invalidate.
    /// If the peer is the origin of the purges, `notified_by_origin` lists the processes that it has notified itself.
    /// This node then forwards the purges to all other processes that it is connected to. `None` means that the peer
    /// has forwarded the purges.
    pub fn acknowledge(
        self: &Rc<Self>,
        peer: Ipv4Addr,
        id: CallId,
        purges: Vec<PurgeRecord>,
        notified_by_origin: Option<Vec<ProcessId>>,
    ) {
        match notified_by_origin {
            Some(notified) => {
                let forward = self.plan_forward(peer, id, purges, notified);
                spawn_local(Rc::clone(self).forward_and_acknowledge(forward));
            }
            None => {
                spawn_local(Rc::clone(self).acknowledge_forwarded(peer, id));
            }
        }
    }

    async fn acknowledge_forwarded(self: Rc<Self>, peer: Ipv4Addr, id: CallId) {
        if self.apply_at_sessions(FORWARDED_PURGE_TIMEOUT).await {
            self.dependencies.links.send(peer, PeerMessage::Acknowledged { id, complete: false });
        }
    }

    /// Selects the connected peers that `origin` has not notified itself. A peer that connects later receives the
    /// complete history then.
    fn plan_forward(
        &self,
        origin: Ipv4Addr,
        id: CallId,
        purges: Vec<PurgeRecord>,
        mut notified: Vec<ProcessId>,
    ) -> Forward {
        let links = &self.dependencies.links;
        let is_missing = |process: &ProcessId| process.ip != origin && !notified.contains(process);
        let missing: Vec<ProcessId> = links.connected_processes().into_iter().filter(is_missing).collect();
        notified.extend(links.connected_process(origin));
        notified.extend(&missing);
        Forward { origin, id, purges, peers: addresses(&missing), notified }
    }

    async fn forward_and_acknowledge(self: Rc<Self>, forward: Forward) {
        let PurgeDependencies { links, requests, leases, .. } = &self.dependencies;
        let Forward { origin, id, purges, peers, notified } = forward;
        let request =
            |id| PeerMessage::Purges { id: Some(id), purges: purges.clone(), already_notified: None };
        let (forwarded, applied, complete) = tokio::join!(
            requests.send_to_all(&peers, request, PEER_PURGE_TIMEOUT),
            self.apply_at_sessions(PEER_PURGE_TIMEOUT),
            leases.wait_for_other_leases_to_end(&notified, PEER_PURGE_TIMEOUT)
        );
        if forwarded.is_ok() && applied {
            links.send(origin, PeerMessage::Acknowledged { id, complete });
        }
    }
}

/// Purges to forward on behalf of their origin.
struct Forward {
    origin: Ipv4Addr,
    /// The request of the origin, to be acknowledged.
    id: CallId,
    purges: Vec<PurgeRecord>,
    /// The peers to forward to.
    peers: Vec<Ipv4Addr>,
    /// The processes that are notified, by the origin or by this node.
    notified: Vec<ProcessId>,
}

fn addresses(processes: &[ProcessId]) -> Vec<Ipv4Addr> {
    processes.iter().map(|process| process.ip).collect()
}
