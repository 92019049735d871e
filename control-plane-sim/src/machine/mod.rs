//! A simulated machine: the node's state machine, its disk, and the faults injected into it.

pub(crate) mod disk;
pub(crate) mod sessions;

use glenfall_control_plane::chain::{Call, Chain};
use glenfall_control_plane::Millis;
use rand_chacha::ChaCha8Rng;

use crate::network::Endpoint;
use crate::rng;
use disk::Disk;
use sessions::SessionQueue;

/// A call that waits until a paused process resumes.
pub(crate) struct QueuedCall {
    pub(crate) number: u64,
    pub(crate) call: Call,
}

/// A machine of a simulated cluster.
pub struct Machine {
    /// The state machine of its process; `None` while no process runs.
    pub chain: Option<Chain>,
    /// The disk, whose state survives the process unless the machine is wiped.
    pub disk: Disk,
    /// Whether the disk was ever lost, which distinguishes a wiped machine from one that starts for the first time.
    /// Spare machines count as wiped from the start.
    pub wiped: bool,
    /// When the disk was last lost.
    pub(crate) wiped_at: Option<Millis>,
    /// Whether the machine was removed permanently. It does not start again until an empty machine replaces it.
    pub removed: bool,
    pub(crate) removed_at: Millis,
    pub(crate) first_started_at: Option<Millis>,
    /// The latest end of any fault that was injected into this machine; 0 if there was none.
    pub(crate) faulty_until: Millis,
    /// When the process resumes; not in the future unless it is paused.
    pub paused_until: Millis,
    pub(crate) paused_since: Millis,
    pub(crate) queued_calls: Vec<QueuedCall>,
    pub(crate) sessions: SessionQueue,
    /// The number of processes that have ended on this machine; identifies the current process.
    pub(crate) incarnation: u64,
    /// The log index of the newest change that this process has published.
    pub(crate) published: u64,
    /// The random stream of disk write durations, and of the order in which simultaneous inputs are handled.
    pub(crate) rng: ChaCha8Rng,
}

impl Machine {
    /// Creates a machine with an empty disk. Without a `chain` its process does not run yet.
    pub(crate) fn new(seed: u64, number: u8, chain: Option<Chain>) -> Machine {
        Machine {
            disk: Disk::new(),
            wiped: chain.is_none(),
            wiped_at: None,
            removed: false,
            removed_at: 0,
            first_started_at: chain.is_some().then_some(0),
            chain,
            faulty_until: 0,
            paused_until: 0,
            paused_since: 0,
            queued_calls: Vec::new(),
            sessions: SessionQueue::default(),
            incarnation: 0,
            published: 0,
            rng: rng::stream(seed, rng::FIRST_MACHINE_STREAM + u64::from(number)),
        }
    }

    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        self.paused_until > now
    }

    /// Returns the state of the machine that its network links depend on.
    pub(crate) fn endpoint(&self, now: Millis) -> Endpoint {
        let paused_since = self.is_paused(now).then_some(self.paused_since);
        Endpoint { running: self.chain.is_some(), paused_since }
    }

    /// Ends the process; its state in memory is lost.
    pub(crate) fn stop(&mut self) {
        self.chain = None;
        self.incarnation += 1;
        self.published = 0;
        self.queued_calls.clear();
        self.sessions = SessionQueue::default();
    }
}
