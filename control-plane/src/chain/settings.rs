//! Timeouts and bounds of the chain, and its settings.

use crate::Millis;

/// Interval between heartbeats, which bounds the delay until peers learn of a change of a node's state.
pub const HEARTBEAT_INTERVAL: Millis = 200;
/// Upper bound of the time without a message after which a peer counts as failed: four heartbeat intervals, and a stall
/// of a small machine.
const MAX_PEER_TIMEOUT: Millis = 1000;
/// Lower bound of the time without a message after which a peer counts as failed, used if `sync` is short: two heartbeat
/// intervals, the retransmission of a lost packet, and a short stall.
const MIN_PEER_TIMEOUT: Millis = 700;
/// Interval at which the newest record is sent again to a peer whose heartbeats report an older one.
pub(super) const RESEND_INTERVAL: Millis = 1000;
/// How long a new view has to be needed before it is proposed. Links come up one after another, and without the delay
/// each would lead to a separate view.
pub(super) const PROPOSAL_DELAY: Millis = 60;
/// Additional delay of a proposer for each voter with a lower address, so that proposers do not interrupt each other.
pub(super) const PROPOSER_STAGGER: Millis = 200;
/// Time within which a proposed view has to be installed. After that the proposal is abandoned, and the peers that did
/// not answer are excluded.
pub(super) const PROPOSAL_TIMEOUT: Millis = 800;
/// Duration of the first exclusion of a peer that did not answer a proposal. A machine that comes back has to be in a
/// chain within `syncS`. The duration doubles with each further timeout, as each proposal interrupts changes.
pub(super) const MIN_EXCLUSION: Millis = 750;
/// Upper bound of the duration that doubles from [`MIN_EXCLUSION`].
pub(super) const MAX_EXCLUSION: Millis = 3000;
/// How long a proposer that has promises from a quorum waits for the other promises. A lost packet is retransmitted
/// after 200 ms, and a slow disk takes 50 ms to sync a promise, sometimes after another sync.
pub(super) const PROMISE_TIMEOUT: Millis = 350;
/// Duration of the exclusion of a peer whose promise missed [`PROMISE_TIMEOUT`]. Otherwise a slow machine would cause
/// one view change after another.
pub(super) const SLOW_PEER_EXCLUSION: Millis = 1000;
/// Time after which a pending disk write counts as a stall: the chain continues without this node.
pub(super) const DISK_STALL_TIMEOUT: Millis = 600;
/// Default of [`ChainSettings::sync`].
const DEFAULT_SYNC: Millis = 4000;
/// Time for the three views of a reconfiguration on slow disks (50 ms for each sync), each view after one
/// [`PROPOSER_STAGGER`]: see [`ChainSettings::replacement_delay`].
const RECONFIGURATION_TIME: Millis = 1200;
/// Upper bound of the time that a further loss adds to a reconfiguration, besides the time to detect it: one more view,
/// without the lost node.
const FURTHER_VIEW_TIME: Millis = 300;
/// How long nodes keep a learner in the chain, even if they do not know which voter it will replace. This leaves time
/// for the next view to make it a voter.
pub(super) const LEARNER_RETENTION: Millis = 1000;
/// How long a node tries to complete a change of the voters that an operator has requested. Two views take less time,
/// unless other nodes fail in the meantime.
pub(super) const VOTER_CHANGE_TIMEOUT: Millis = 3000;
/// Time within which the tail has to acknowledge a change. After that a message is assumed lost, and the view is broken.
pub(super) const REPLICATION_TIMEOUT: Millis = 1500;
/// Time after which a call that has no outcome yet is answered with `Unavailable`. It is shorter than the timeout of the
/// callers.
pub(super) const CALL_TIMEOUT: Millis = 900;
/// Maximum number of calls that are pending at a node, and of changes that are queued at the head. There are few
/// operators.
pub(super) const MAX_CALLS: usize = 64;
/// Maximum number of voters. More voters would only make each change slower.
pub(super) const MAX_VOTERS: usize = 16;
/// Maximum number of control nodes.
pub(super) const MAX_NODES: usize = 64;

/// The repair after all losses that have to be tolerated takes longer than [`ChainSettings::sync`] allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("repair after {losses} losses in succession takes {needed} ms, but only {sync} ms are configured")]
pub struct SyncTooShort {
    /// Number of losses to tolerate.
    pub losses: usize,
    /// Time that the repair takes, in milliseconds.
    pub needed: Millis,
    /// Time that [`ChainSettings::sync`] allows, in milliseconds.
    pub sync: Millis,
}

/// Settings of the chain at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainSettings {
    /// Number of losses to tolerate: this many machines may fail together, with their disks, without the loss of an
    /// acknowledged change.
    pub tolerated_losses: usize,
    /// Whether this node may become a voter.
    pub eligible: bool,
    /// Time for catching up, in milliseconds: a failed machine counts as a loss until its replacement has been running
    /// for this time.
    pub sync: Millis,
}

impl Default for ChainSettings {
    fn default() -> Self {
        ChainSettings { tolerated_losses: 0, eligible: false, sync: DEFAULT_SYNC }
    }
}

impl ChainSettings {
    /// Number of voters that are needed so that a majority remains after all tolerated losses.
    pub(super) fn voters_needed(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Number of further losses that may happen during the reconfiguration after the first loss.
    fn further_losses(&self) -> Millis {
        self.tolerated_losses.saturating_sub(1) as Millis
    }

    /// Time that the views of a reconfiguration take, with all further losses during it, but without the time to detect
    /// the losses.
    fn view_changes_time(&self) -> Millis {
        RECONFIGURATION_TIME + self.further_losses() * FURTHER_VIEW_TIME
    }

    /// Time without a message after which a peer counts as failed. All tolerated losses may happen one after another,
    /// and have to be detected within `sync`: more losses, or a shorter `sync`, need a shorter timeout.
    pub(super) fn peer_timeout(&self) -> Millis {
        let detections = (self.tolerated_losses as Millis).max(1);
        let time_left = self.sync.saturating_sub(self.view_changes_time());
        (time_left / detections).clamp(MIN_PEER_TIMEOUT, MAX_PEER_TIMEOUT)
    }

    /// Upper bound of the time from the start of a standby until the machine that it replaces is no longer a voter,
    /// with all further losses during the reconfiguration. It has to be within `sync`.
    pub fn replacement_time(&self) -> Millis {
        self.replacement_delay() + self.view_changes_time() + self.further_losses() * self.peer_timeout()
    }

    /// Checks that all tolerated losses can be repaired within `sync`, even if they happen one after another.
    ///
    /// # Errors
    ///
    /// [`SyncTooShort`] with the time that the repair needs.
    pub fn check(&self) -> Result<(), SyncTooShort> {
        let (needed, sync) = (self.replacement_time(), self.sync);
        if self.tolerated_losses == 0 || needed <= sync {
            return Ok(());
        }
        Err(SyncTooShort { losses: self.tolerated_losses, needed, sync })
    }

    /// Time without a message after which a voter is replaced by a standby. The standby may have started at the time of
    /// the loss, so the reconfiguration, with all other losses during it, has to fit into the rest of `sync`. If `sync`
    /// leaves enough time, a machine that only restarts keeps its vote.
    pub fn replacement_delay(&self) -> Millis {
        let reconfiguration = self.view_changes_time() + self.further_losses() * self.peer_timeout();
        let time_left = self.sync.saturating_sub(reconfiguration);
        time_left.min(self.sync / 2).max(self.peer_timeout())
    }
}
