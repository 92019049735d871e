//! Time limits and bounds of the chain, and the settings that the operator gives it.

use crate::Millis;

/// Interval between heartbeats, and so the longest wait for news of a peer.
pub const HEARTBEAT_INTERVAL: Millis = 200;
/// A peer that was not heard for so long counts as failed: four heartbeats, and a stall of a small machine.
const LONGEST_PEER_TIMEOUT: Millis = 1000;
/// Where `sync` has no time for that: two heartbeats, a lost packet that comes again, and a short stall.
const SHORTEST_PEER_TIMEOUT: Millis = 700;
/// A peer that is behind is sent the same record again after so long.
pub(super) const RESEND_INTERVAL: Millis = 1000;
/// How long a change of who is reachable must last before a view is proposed: links come up one after the other.
pub(super) const SETTLE_TIME: Millis = 60;
/// Proposers are staggered: each voter lets those with lower addresses propose first, for so long apiece.
pub(super) const PROPOSER_STAGGER: Millis = 200;
/// A proposal that has not been installed by then is given up, and who did not answer is left out.
pub(super) const PROPOSAL_TIMEOUT: Millis = 800;
/// How long a peer that did not answer a proposal is left out, the first time: a machine that comes back has to be in
/// a chain within `syncS`. It doubles with each further time, as each attempt holds changes up.
pub(super) const FIRST_EXCLUSION: Millis = 750;
/// Upper bound of the doubling.
pub(super) const LONGEST_EXCLUSION: Millis = 3000;
/// With a majority of promises, the others are waited for no longer than this: a lost packet comes again in 200 ms, and
/// a slow disk takes 50 ms to sync a promise, at times behind another sync.
pub(super) const PROMISE_TIMEOUT: Millis = 350;
/// How long a peer is left out whose promise came too late: a slow machine would cause view after view.
pub(super) const LATE_EXCLUSION: Millis = 1000;
/// A sync that takes longer means a stalled disk: the chain goes on without this node.
pub(super) const DISK_STALL: Millis = 600;
/// Time that a machine has for catching up, where the settings do not say it.
const DEFAULT_SYNC: Millis = 4000;
/// What three views take on slow disks (50 ms a sync), each after one stagger: see [`ChainSettings::replaced_after`].
const RECONFIGURATION_TIME: Millis = 1200;
/// What a further loss in the middle of them adds to its detection at most: the view that goes on without it.
const FURTHER_VIEW_TIME: Millis = 300;
/// A learner stays in a chain that has taken it in for so long, also for nodes that do not know whose place it is to
/// take: time for the next view to give it a vote.
pub(super) const LEARNER_TIME: Millis = 1000;
/// How long a voter change that an operator requested is tried; two views take less, unless others fail meanwhile.
pub(super) const VOTER_CHANGE_TIMEOUT: Millis = 3000;
/// A change that has not come through the chain by then was lost on the way.
pub(super) const REPLICATION_TIMEOUT: Millis = 1500;
/// A call is answered by then, if only with `Unavailable`: callers move on after a second.
pub(super) const CALL_TIMEOUT: Millis = 900;
/// Bound of the calls that wait at one node, and of the changes queued at the head; operators are few.
pub(super) const MAX_CALLS: usize = 64;
/// Bound of the voters: more only make each change slower.
pub(super) const MAX_VOTERS: usize = 16;
/// Bound of the control nodes.
pub(super) const MAX_NODES: usize = 64;

/// The promised losses take longer to be outlived than a machine has for catching up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{losses} losses, one right after the repair of another, take {needed} ms to be outlived, and the settings give {sync} ms")]
pub struct SyncTooShort {
    /// The promised losses.
    pub losses: usize,
    /// The time that they take.
    pub needed: Millis,
    /// The time that the settings give.
    pub sync: Millis,
}

/// What the settings of a node say of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainSettings {
    /// Machines that may fail at once, with their disks, without anything acknowledged being lost.
    pub losses: usize,
    /// This node may become a voter.
    pub eligible: bool,
    /// From so long after the start of its successor on, a machine that was removed no longer counts as a loss.
    pub sync: Millis,
}

impl Default for ChainSettings {
    fn default() -> Self {
        ChainSettings { losses: 0, eligible: false, sync: DEFAULT_SYNC }
    }
}

impl ChainSettings {
    /// The number of voters that outlive the promised losses.
    pub(super) fn voters_needed(&self) -> usize {
        2 * self.losses + 1
    }

    /// Losses that may come in the middle of a reconfiguration, one after the other.
    fn further_losses(&self) -> Millis {
        self.losses.saturating_sub(1) as Millis
    }

    /// What a reconfiguration takes with all further losses in the middle of it, without the detection of any loss.
    fn views_time(&self) -> Millis {
        RECONFIGURATION_TIME + self.further_losses() * FURTHER_VIEW_TIME
    }

    /// A peer that was not heard for so long counts as failed. Each promised loss has to be detected within `sync`, one
    /// after the other, so that many losses in little time are detected sooner.
    pub(super) fn peer_timeout(&self) -> Millis {
        let detections = (self.losses as Millis).max(1);
        let time_left = self.sync.saturating_sub(self.views_time());
        (time_left / detections).clamp(SHORTEST_PEER_TIMEOUT, LONGEST_PEER_TIMEOUT)
    }

    /// The longest time from the start of a successor until the machine that it replaces has no vote any more, with all
    /// further promised losses in the middle of the change. It has to be within `sync`.
    pub fn replacement_time(&self) -> Millis {
        self.replaced_after() + self.views_time() + self.further_losses() * self.peer_timeout()
    }

    /// Whether the promised losses can be outlived in the time that `sync` gives, one after the other.
    pub fn check(&self) -> Result<(), SyncTooShort> {
        let (needed, sync) = (self.replacement_time(), self.sync);
        if self.losses == 0 || needed <= sync {
            return Ok(());
        }
        Err(SyncTooShort { losses: self.losses, needed, sync })
    }

    /// A voter that has been silent for so long is replaced by a machine that stands by. That may have started in the
    /// moment of the loss, so that the rest of `sync` has to suffice for the change, with all other promised losses in
    /// the middle of it; a machine that merely restarts keeps its vote where there is time.
    pub fn replaced_after(&self) -> Millis {
        let change = self.views_time() + self.further_losses() * self.peer_timeout();
        let time_left = self.sync.saturating_sub(change);
        time_left.min(self.sync / 2).max(self.peer_timeout())
    }
}
