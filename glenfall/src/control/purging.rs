//! Purges at a control node: which it knows, whom it tells, and when it acknowledges one.

use std::net::Ipv4Addr;
use std::time::Duration;

use glenfall_plane::invariant::Invariant;
use glenfall_plane::messages::{News, Peer, Purge, Stamped};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Control;
use crate::session::publisher::LONGEST_BEHIND;

/// A purge waits this long at most for all who may serve from copies; then it is refused, and asked for again when the
/// leases of whoever was late are over. Operators move on after a second.
pub(super) const PURGE: Duration = Duration::from_millis(750);
/// It waits this long at most to be on the disk of this node: that is for the loss of all control nodes at once.
const WRITTEN: Duration = Duration::from_millis(150);

impl Control {
    /// Tells sessions once nothing that was purged can have been missed here.
    pub(super) fn vouch(&self) {
        let told = self.told_purges.borrow();
        let me = self.boot.bind_ip;
        let vouches = self.chain.borrow().members().majority(|node| *node == me || told.contains(node));
        // Sessions that were told so keep to it until they are turned away: a mend of the chain costs no copies.
        let before = self.vouches.replace(vouches);
        if vouches && !before {
            self.sessions.push(&News::InTouch(true));
        }
    }

    /// Ends all copies that a purge names, wherever they are. False where not all who may serve from some were reached
    /// or had lost their leases in time.
    pub(super) async fn purge(&self, purge: Purge) -> bool {
        let number = self.next_purge.replace(self.next_purge.get() + 1);
        let stamped = Stamped { origin: self.boot.bind_ip, life: self.life, number, age_ms: 0, purge };
        let written = self.take_purges(vec![stamped.clone()]);
        let pushed = self.sessions.pushed();
        let asked = self.peers.instances();
        let up: Vec<Ipv4Addr> = asked.iter().map(|instance| instance.ip).collect();
        let question =
            |id| Peer::Purges { id: Some(id), purges: vec![stamped.clone()], asked: Some(asked.clone()) };
        let peers = self.peers.ask(&up, question, PURGE);
        let written = async {
            if let Some(written) = written {
                let _ = timeout(WRITTEN, written).await;
            }
        };
        let others = self.no_lease_but_of(&asked, PURGE);
        let (complete, purged, others, ()) = tokio::join!(peers, self.purge_sessions(PURGE), others, written);
        let acknowledged = others && purged && complete.is_some_and(|complete| self.bars_leases(&complete));
        if acknowledged {
            let behind = self.sessions.holders_behind(&pushed);
            Invariant::PurgeIsApplied.check(behind.is_empty(), || format!("{behind:?} have a lease"));
        }
        acknowledged
    }

    /// Waits until no session that has a lease of this node can serve from copies that a purge ended; false where that
    /// takes longer.
    pub(super) async fn purge_sessions(&self, most: Duration) -> bool {
        let purged = self.sessions.purged(most).await;
        self.sessions.drop_behind(LONGEST_BEHIND);
        purged
    }

    /// Takes purges, and passes on those that are new; what this gives ends once they are on disk.
    pub(super) fn take_purges(&self, purges: Vec<Stamped>) -> Option<oneshot::Receiver<()>> {
        let fresh = self.purges.borrow_mut().take(self.now(), purges);
        if fresh.is_empty() {
            return None;
        }
        self.sessions.push(&News::Purges(fresh.iter().map(Stamped::aged).collect()));
        Some(self.purge_log.write(fresh))
    }
}
