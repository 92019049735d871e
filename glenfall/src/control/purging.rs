//! Purges at a control node: which it knows, whom it tells, and when it acknowledges one.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{PeerMessage, Purge, PurgeRecord, Update};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Control;
use crate::session::publisher::LONGEST_BEHIND;

/// A purge waits this long at most for all who may serve from copies; then it is refused, and asked for again when the
/// leases of whoever was late are over. Operators move on after a second.
pub(super) const PURGE: Duration = Duration::from_millis(750);

/// The purges that are being acknowledged here, by their numbers, each with the control nodes on whose disks it is.
#[derive(Default)]
pub(super) struct PurgeWrites {
    nodes: RefCell<BTreeMap<u64, BTreeSet<Ipv4Addr>>>,
    noted: Notify,
}

/// A purge whose writes are counted until this is dropped, also where its caller has gone.
struct CountedPurge<'a> {
    writes: &'a PurgeWrites,
    number: u64,
}

impl Drop for CountedPurge<'_> {
    fn drop(&mut self) {
        self.writes.nodes.borrow_mut().remove(&self.number);
    }
}

impl PurgeWrites {
    fn count(&self, number: u64) -> CountedPurge<'_> {
        self.nodes.borrow_mut().insert(number, BTreeSet::new());
        CountedPurge { writes: self, number }
    }

    /// A purge is on the disk of a node.
    pub(super) fn note(&self, node: Ipv4Addr, number: u64) {
        if let Some(nodes) = self.nodes.borrow_mut().get_mut(&number) {
            nodes.insert(node);
            self.noted.notify_waiters();
        }
    }
}

impl CountedPurge<'_> {
    /// Waits until the purge is on so many disks; false where that takes longer.
    async fn is_on(&self, disks: usize, most: Duration) -> bool {
        let written = async {
            loop {
                let noted = self.writes.noted.notified();
                if self.writes.nodes.borrow().get(&self.number).is_some_and(|nodes| nodes.len() >= disks) {
                    return;
                }
                noted.await;
            }
        };
        timeout(most, written).await.is_ok()
    }
}

impl Control {
    /// Tells sessions once nothing that was purged can have been missed here.
    pub(super) fn vouch(&self) {
        let told = self.told_purges.borrow();
        let me = self.boot.bind_ip;
        let vouches = self.chain.borrow().members().majority(|node| *node == me || told.contains(node));
        // Sessions that were told so keep to it until they are turned away: a mend of the chain costs no copies.
        let before = self.vouches.replace(vouches);
        if vouches && !before {
            self.sessions.push(&Update::Connected(true));
        }
    }

    /// Ends all copies that a purge names, wherever they are. False where not all who may serve from some were reached
    /// or had lost their leases in time, or its record is not on one disk more than may be lost: shields keep copies on
    /// theirs, and where all others lose power meanwhile, what is on disk is all that is known of it.
    pub(super) async fn purge(self: &Rc<Self>, purge: Purge) -> bool {
        let number = self.next_purge.replace(self.next_purge.get() + 1);
        let stamped =
            PurgeRecord { origin: self.boot.bind_ip, incarnation: self.life, number, age_ms: 0, purge };
        let counted = self.purge_writes.count(number);
        let written = self.take_purges(vec![stamped.clone()]);
        self.note_own_write(number, written);
        let leased = self.sessions.leased();
        let asked = self.peers.instances();
        let up: Vec<Ipv4Addr> = asked.iter().map(|instance| instance.ip).collect();
        let question = |id| PeerMessage::Purges {
            id: Some(id),
            purges: vec![stamped.clone()],
            already_asked: Some(asked.clone()),
        };
        let peers = self.peers.ask(&up, question, PURGE);
        let others = self.no_lease_but_of(&asked, PURGE);
        let durable = counted.is_on(self.boot.survive.hosts + 1, PURGE);
        let (complete, purged, others, durable) =
            tokio::join!(peers, self.purge_sessions(PURGE), others, durable);
        if !durable {
            tracing::warn!("purge not acknowledged: its record is on too few disks");
        }
        let acknowledged =
            durable && others && purged && complete.is_some_and(|complete| self.bars_leases(&complete));
        if acknowledged {
            let behind = self.sessions.still_behind(&leased);
            Invariant::PurgeIsApplied.check(behind.is_empty(), || format!("{behind:?} have a lease"));
        }
        acknowledged
    }

    /// Notes a purge as written once it is on the disk of this node.
    fn note_own_write(self: &Rc<Self>, number: u64, written: Option<oneshot::Receiver<()>>) {
        let Some(written) = written else { return };
        let control = Rc::clone(self);
        spawn_local(async move {
            if written.await.is_ok() {
                control.purge_writes.note(control.boot.bind_ip, number);
            }
        });
    }

    /// Waits until no session that has a lease of this node can serve from copies that a purge ended; false where that
    /// takes longer.
    pub(super) async fn purge_sessions(&self, most: Duration) -> bool {
        let purged = self.sessions.purged(most).await;
        self.sessions.drop_behind(LONGEST_BEHIND);
        purged
    }

    /// Takes purges, and passes on those that are new; what this gives ends once they are on disk.
    pub(super) fn take_purges(&self, purges: Vec<PurgeRecord>) -> Option<oneshot::Receiver<()>> {
        let fresh = self.purges.borrow_mut().record(self.now(), purges);
        if fresh.is_empty() {
            return None;
        }
        self.sessions.push(&Update::Purges(fresh.iter().map(PurgeRecord::aged).collect()));
        Some(self.purge_log.write(fresh))
    }
}
