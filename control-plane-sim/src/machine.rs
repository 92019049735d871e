//! A simulated machine: the node's state machine, its disk, and the faults that have met it.

use glenfall_control_plane::chain::{Call, Chain};
use glenfall_control_plane::Millis;
use rand_chacha::ChaCha8Rng;

use crate::disk::Disk;
use crate::network::Endpoint;
use crate::rng;
use crate::sessions::Sessions;

pub struct Machine {
    /// `None` while its process does not run.
    pub chain: Option<Chain>,
    pub disk: Disk,
    /// Its disk was lost once: without state it is no node that starts for the first time.
    pub wiped: bool,
    /// When that was last.
    pub(crate) wiped_at: Option<Millis>,
    /// Lost for good: it does not start again until an empty machine takes its place.
    pub gone: bool,
    pub(crate) removed_at: Millis,
    pub(crate) first_started: Option<Millis>,
    /// Until when some fault was injected here.
    pub(crate) faulty_until: Millis,
    /// Its process does nothing before then.
    pub paused_until: Millis,
    pub(crate) paused_since: Millis,
    /// Calls that its process finds when it goes on.
    pub(crate) calls: Vec<(u64, Call)>,
    pub(crate) sessions: Sessions,
    /// Counts its processes.
    pub(crate) incarnation: u64,
    /// The newest change that this process has published.
    pub(crate) published: u64,
    /// Of its disk, and of the order in which it handles what came at once.
    pub(crate) rng: ChaCha8Rng,
}

impl Machine {
    /// A machine with an empty disk, with a process that runs from the start, or none yet.
    pub(crate) fn new(seed: u64, n: u8, chain: Option<Chain>) -> Machine {
        Machine {
            disk: Disk::new(),
            wiped: chain.is_none(),
            wiped_at: None,
            gone: false,
            removed_at: 0,
            first_started: chain.is_some().then_some(0),
            chain,
            faulty_until: 0,
            paused_until: 0,
            paused_since: 0,
            calls: Vec::new(),
            sessions: Sessions::default(),
            incarnation: 0,
            published: 0,
            rng: rng::stream(seed, rng::MACHINES + u64::from(n)),
        }
    }

    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        self.paused_until > now
    }

    pub(crate) fn endpoint(&self, now: Millis) -> Endpoint {
        let paused_since = self.is_paused(now).then_some(self.paused_since);
        Endpoint { running: self.chain.is_some(), paused_since }
    }

    /// The process ends; what it had not written yet is lost.
    pub(crate) fn stop(&mut self) {
        self.chain = None;
        self.incarnation += 1;
        self.published = 0;
        self.calls.clear();
        self.sessions = Sessions::default();
    }
}
