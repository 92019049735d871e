//! Shared observations of all hollow nodes of a run: connections, applied versions and purges. The nodes run in several
//! threads, so counts and flags are atomic.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use glenfall_control_plane::messages::{AgedPurge, Purge};

/// The prefix of purge labels; the number of the purge follows it.
pub const PURGE_LABEL_PREFIX: &str = "hollow-";
/// Purges with this number or a higher one are not tracked.
const MAX_PURGES: usize = 1 << 16;
/// Bits of an atomic word, one for each node.
const BITS_PER_WORD: usize = u64::BITS as usize;

/// The connection of a node to control, as the node sees it.
#[derive(Default)]
struct ConnectionState {
    /// Whether it considers its session alive.
    connected: AtomicBool,
    /// When the lease ends that permits it to serve stored responses, in microseconds since the start of the run.
    lease_until: AtomicU64,
}

/// An application of a configuration version by a node.
#[derive(Clone, Copy)]
struct AppliedVersion {
    rev: u64,
    /// Seconds since the start of the run.
    at: f64,
}

/// Counts of nodes that had not applied a purge when it was acknowledged.
#[derive(Clone, Copy, Default)]
pub struct EarlyAcknowledgement {
    /// Nodes with a valid lease, which could serve stored responses.
    pub leased: u32,
    /// Nodes that considered their session alive, with or without a valid lease.
    pub connected: u32,
}

/// Observations of all hollow nodes of a run.
pub struct Observations {
    began_at: Instant,
    /// Nodes that are connected and have received the configuration and the fleet.
    pub connected: AtomicU32,
    /// Connected nodes that know every server and every edge.
    pub with_full_fleet: AtomicU32,
    /// Sessions that were lost since the start of the run.
    pub lost_sessions: AtomicU32,
    /// Which nodes have applied each purge, by its number: one bit per node.
    purges: Vec<Vec<AtomicU64>>,
    connection_states: Vec<ConnectionState>,
    applied: Mutex<Vec<AppliedVersion>>,
    servers: usize,
    edges: usize,
}

impl Observations {
    /// Starts a run. `edges` counts hollow nodes and real edges.
    pub fn new(servers: u32, nodes: u32, edges: u32) -> Arc<Observations> {
        let words_per_purge = nodes.div_ceil(u64::BITS);
        let empty_bits = || (0..words_per_purge).map(|_| AtomicU64::new(0)).collect();
        Arc::new(Observations {
            began_at: Instant::now(),
            connected: AtomicU32::new(0),
            with_full_fleet: AtomicU32::new(0),
            lost_sessions: AtomicU32::new(0),
            purges: (0..MAX_PURGES).map(|_| empty_bits()).collect(),
            connection_states: (0..nodes).map(|_| ConnectionState::default()).collect(),
            applied: Mutex::default(),
            servers: servers as usize,
            edges: edges as usize,
        })
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.began_at.elapsed().as_secs_f64()
    }

    /// Whether these counts include all servers and edges of the run.
    pub fn is_full_fleet(&self, servers: usize, edges: usize) -> bool {
        servers >= self.servers && edges >= self.edges
    }

    // ---- Connections ----

    fn microseconds(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.began_at).as_micros() as u64
    }

    /// Records whether a node is connected, and when its lease ends.
    pub fn set_connection_state(&self, node: usize, connected: bool, lease_until: Instant) {
        let Some(state) = self.connection_states.get(node) else { return };
        state.lease_until.store(self.microseconds(lease_until), Ordering::SeqCst);
        state.connected.store(connected, Ordering::SeqCst);
    }

    // ---- Versions ----

    /// Records that a node has applied a configuration version now.
    pub fn add_applied(&self, rev: u64) {
        let applied = AppliedVersion { rev, at: self.now() };
        self.applied.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(applied);
    }

    /// Returns when each node applied a version, in seconds since the start of the run.
    pub fn applied_at(&self, rev: u64) -> Vec<f64> {
        let applied = self.applied.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        applied.iter().filter(|version| version.rev == rev).map(|version| version.at).collect()
    }

    // ---- Purges ----

    /// Records purges that a node has applied.
    pub fn add_purges(&self, purges: &[AgedPurge], node: usize) {
        for purge in purges {
            let Purge::Label(label) = &purge.purge else { continue };
            let number = label.strip_prefix(PURGE_LABEL_PREFIX).and_then(|number| number.parse().ok());
            if let Some(bits) = number.and_then(|number| self.purge_bits(number, node)) {
                bits.fetch_or(1 << (node % BITS_PER_WORD), Ordering::SeqCst);
            }
        }
    }

    fn purge_bits(&self, number: usize, node: usize) -> Option<&AtomicU64> {
        self.purges.get(number)?.get(node / BITS_PER_WORD)
    }

    fn has_purged(&self, number: usize, node: usize) -> bool {
        let bits = self.purge_bits(number, node);
        bits.is_some_and(|bits| bits.load(Ordering::SeqCst) >> (node % BITS_PER_WORD) & 1 == 1)
    }

    /// Counts the nodes that have not applied a purge that has just been acknowledged. The connection of a node is read
    /// before its purges, as nodes write them in the opposite order.
    pub fn early_acknowledgement(&self, number: usize) -> EarlyAcknowledgement {
        let mut early = EarlyAcknowledgement::default();
        let now = self.microseconds(Instant::now());
        for (node, state) in self.connection_states.iter().enumerate() {
            let connected = state.connected.load(Ordering::SeqCst);
            let leased = connected && now < state.lease_until.load(Ordering::SeqCst);
            if connected && !self.has_purged(number, node) {
                early.connected += 1;
                early.leased += u32::from(leased);
            }
        }
        early
    }
}
