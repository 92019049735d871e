//! A simulated machine: the node's state machine, its disk, and the faults that were injected on it.

pub(crate) mod disk;
pub(crate) mod sessions;

use glenfall_control_plane::chain::{Call, Chain};
use glenfall_control_plane::Millis;
use rand_chacha::ChaCha8Rng;

use crate::network::Endpoint;
use crate::rng;
use disk::Disk;
use sessions::SessionQueue;

/// A call that waits for a paused process to go on.
pub(crate) struct QueuedCall {
    pub(crate) number: u64,
    pub(crate) call: Call,
}

/// A machine of a simulated cluster.
pub struct Machine {
    /// The state machine of its process; `None` while no process runs.
    pub chain: Option<Chain>,
    /// Its disk.
    pub disk: Disk,
    /// Whether its disk was ever lost: a machine without state that was wiped is no node that starts for the first time.
    pub wiped: bool,
    /// When its disk was lost last.
    pub(crate) wiped_at: Option<Millis>,
    /// Whether it is lost for good: it does not start again until an empty machine replaces it.
    pub removed: bool,
    pub(crate) removed_at: Millis,
    pub(crate) first_started_at: Option<Millis>,
    /// When the last fault that was injected here ends.
    pub(crate) faulty_until: Millis,
    /// When its process goes on; in the past unless it is paused.
    pub paused_until: Millis,
    pub(crate) paused_since: Millis,
    pub(crate) queued_calls: Vec<QueuedCall>,
    pub(crate) sessions: SessionQueue,
    /// Counts its processes.
    pub(crate) incarnation: u64,
    /// The sequence number of the newest change that this process has published.
    pub(crate) published: u64,
    /// Draws the durations of its disk writes, and the order in which it handles simultaneous inputs.
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

    /// Returns what the network has to know of the machine.
    pub(crate) fn endpoint(&self, now: Millis) -> Endpoint {
        let paused_since = self.is_paused(now).then_some(self.paused_since);
        Endpoint { running: self.chain.is_some(), paused_since }
    }

    /// Ends the process; what it had not written yet is lost.
    pub(crate) fn stop(&mut self) {
        self.chain = None;
        self.incarnation += 1;
        self.published = 0;
        self.queued_calls.clear();
        self.sessions = SessionQueue::default();
    }
}
