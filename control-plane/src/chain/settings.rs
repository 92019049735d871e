//! Time-outs and bounds of the chain, and the settings of the operator.

use crate::Millis;

/// Interval between heartbeats, and so the longest delay until a peer learns of a change at another one.
pub const HEARTBEAT_INTERVAL: Millis = 200;
/// Upper bound of the time without a message after which a peer counts as failed: four heartbeats, and a stall of a small
/// machine.
const MAX_PEER_TIMEOUT: Millis = 1000;
/// Lower bound of that time, where `sync` leaves no time for more: two heartbeats, a lost packet that is sent again, and a
/// short stall.
const MIN_PEER_TIMEOUT: Millis = 700;
/// Interval at which a peer whose heartbeats report an older record is sent the newest one again.
pub(super) const RESEND_INTERVAL: Millis = 1000;
/// How long a new view has to be needed before it is proposed. Links come up one after the other, and each would lead to a
/// view of its own otherwise.
pub(super) const PROPOSAL_DELAY: Millis = 60;
/// Proposers are staggered, so that they do not interrupt each other: each voter waits for so long for each voter with a
/// lower address.
pub(super) const PROPOSER_STAGGER: Millis = 200;
/// A proposal that is not installed by then is abandoned, and the peers that did not answer are excluded.
pub(super) const PROPOSAL_TIMEOUT: Millis = 800;
/// First exclusion of a peer that did not answer a proposal. A machine that comes back has to be in a chain within `syncS`.
/// The exclusion doubles with each further time-out, as each proposal interrupts changes.
pub(super) const MIN_EXCLUSION: Millis = 750;
/// Upper bound of the exclusion that doubles.
pub(super) const MAX_EXCLUSION: Millis = 3000;
/// How long a proposer that has promises of a quorum waits for the other ones. A lost packet is sent again after 200 ms, and
/// a slow disk takes 50 ms to sync a promise, at times after another sync.
pub(super) const PROMISE_TIMEOUT: Millis = 350;
/// Exclusion of a peer whose promise came too late for a proposal. A slow machine would lead to view after view otherwise.
pub(super) const SLOW_PEER_EXCLUSION: Millis = 1000;
/// A disk write that takes longer means that the disk stalls: the chain continues without this node.
pub(super) const DISK_STALL_TIMEOUT: Millis = 600;
/// Time that a machine has for catching up, where the settings do not say.
const DEFAULT_SYNC: Millis = 4000;
/// Time of the three views of a reconfiguration on slow disks (50 ms for each sync), each after one stagger: see
/// [`ChainSettings::replaced_after`].
const RECONFIGURATION_TIME: Millis = 1200;
/// Time that another loss during a reconfiguration adds to its detection, at most: that of one more view without the lost
/// node.
const FURTHER_VIEW_TIME: Millis = 300;
/// How long a learner stays in the chain that has added it, also by the decision of nodes that do not know which voter it
/// will replace: time for the next view to give it a vote.
pub(super) const LEARNER_RETENTION: Millis = 1000;
/// How long a node tries to complete a change of the voters that an operator has requested. Two views take less, unless
/// other nodes fail in the meantime.
pub(super) const VOTER_CHANGE_TIMEOUT: Millis = 3000;
/// A change that is not acknowledged by the tail by then is lost, and the view is broken.
pub(super) const REPLICATION_TIMEOUT: Millis = 1500;
/// A call that has no other answer by then is answered with `Unavailable`: callers time out after a second.
pub(super) const CALL_TIMEOUT: Millis = 900;
/// Bound of the calls that are pending at one node, and of the changes queued at the head. Operators are few.
pub(super) const MAX_CALLS: usize = 64;
/// Bound of the voters: more of them only make each change slower.
pub(super) const MAX_VOTERS: usize = 16;
/// Bound of the control nodes.
pub(super) const MAX_NODES: usize = 64;

/// The repair after the promised losses takes longer than the time that a machine has for catching up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{losses} losses, one right after the repair of another, take {needed} ms to be outlived, and the settings give {sync} ms")]
pub struct SyncTooShort {
    /// Number of promised losses.
    pub losses: usize,
    /// Time of the repair, in milliseconds.
    pub needed: Millis,
    /// Time that the settings give, in milliseconds.
    pub sync: Millis,
}

/// Settings of the chain at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainSettings {
    /// Promised losses: number of machines that may fail together, with their disks, without the loss of an acknowledged
    /// change.
    pub losses: usize,
    /// Whether this node may become a voter.
    pub eligible: bool,
    /// A failed machine counts as a loss until its replacement has been running for this time, in milliseconds.
    pub sync: Millis,
}

impl Default for ChainSettings {
    fn default() -> Self {
        ChainSettings { losses: 0, eligible: false, sync: DEFAULT_SYNC }
    }
}

impl ChainSettings {
    /// Number of voters that survive the promised losses: the others are still a majority.
    pub(super) fn voters_needed(&self) -> usize {
        2 * self.losses + 1
    }

    /// Number of losses that may happen during the reconfiguration after the first one.
    fn further_losses(&self) -> Millis {
        self.losses.saturating_sub(1) as Millis
    }

    /// Time of a reconfiguration with all further losses during it, without the time to detect any loss.
    fn view_changes_time(&self) -> Millis {
        RECONFIGURATION_TIME + self.further_losses() * FURTHER_VIEW_TIME
    }

    /// Time without a message after which a peer counts as failed. The promised losses may happen one after the other, and
    /// all have to be detected within `sync`: more losses, or a shorter `sync`, need a shorter time-out.
    pub(super) fn peer_timeout(&self) -> Millis {
        let detections = (self.losses as Millis).max(1);
        let time_left = self.sync.saturating_sub(self.view_changes_time());
        (time_left / detections).clamp(MIN_PEER_TIMEOUT, MAX_PEER_TIMEOUT)
    }

    /// Upper bound of the time from the start of a standby until the machine that it replaces is no voter, with all further
    /// promised losses during the reconfiguration. It has to be within `sync`.
    pub fn replacement_time(&self) -> Millis {
        self.replaced_after() + self.view_changes_time() + self.further_losses() * self.peer_timeout()
    }

    /// Checks that the promised losses can be repaired within `sync`, one after the other.
    ///
    /// # Errors
    ///
    /// [`SyncTooShort`] with the time that the repair needs.
    pub fn check(&self) -> Result<(), SyncTooShort> {
        let (needed, sync) = (self.replacement_time(), self.sync);
        if self.losses == 0 || needed <= sync {
            return Ok(());
        }
        Err(SyncTooShort { losses: self.losses, needed, sync })
    }

    /// Time without a message after which a voter is replaced by a standby. The standby may have started at the moment of the
    /// loss, so that the remaining part of `sync` has to suffice for the reconfiguration, with all other promised losses
    /// during it. Where there is time, a machine that only restarts keeps its vote.
    pub fn replaced_after(&self) -> Millis {
        let reconfiguration = self.view_changes_time() + self.further_losses() * self.peer_timeout();
        let time_left = self.sync.saturating_sub(reconfiguration);
        time_left.min(self.sync / 2).max(self.peer_timeout())
    }
}
