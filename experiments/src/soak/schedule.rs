//! The faults of a soak run and their times, derived only from a seed: the same seed gives the same schedule. The
//! outcome may still differ from run to run, because processes, sockets and the machine are real.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// No fault begins before this time, in seconds from the start of the load.
const FIRST_FAULT_AT_S: f64 = 1.0;
/// Faults per second. With the durations below, two or three overlap most of the time.
const FAULTS_PER_S: f64 = 0.7;
/// Minimum duration of a fault, in seconds.
const MIN_DURATION_S: f64 = 0.3;
/// Maximum duration of a fault, in seconds.
const MAX_DURATION_S: f64 = 5.0;
/// Probability that a run has four core machines instead of three.
const FOUR_CORES_PROBABILITY: f64 = 0.3;

/// The processes of a machine that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessSet {
    /// All processes of the machine.
    Both,
    /// The edge or the shield only.
    Proxy,
    /// The agent or the control node only.
    Control,
}

/// The direction of traffic that a partition blocks, as seen from the partitioned machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionDirection {
    /// Traffic in both directions is lost.
    Both,
    /// Traffic from the machine is lost.
    #[serde(rename = "Says")]
    Outgoing,
    /// Traffic to the machine is lost.
    #[serde(rename = "Hears")]
    Incoming,
}

/// A fault. Machine numbers start at 1, with the core machines first; services are indexes into the services of the
/// plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// Kills processes of a machine with SIGKILL, and restarts them at the end.
    Kill {
        /// Number of the affected machine.
        machine: u8,
        /// The affected processes.
        #[serde(rename = "part")]
        processes: ProcessSet,
    },
    /// Kills processes of all core machines with SIGKILL, and restarts them at the end.
    KillCore {
        /// The affected processes of each machine.
        #[serde(rename = "part")]
        processes: ProcessSet,
    },
    /// Pauses processes with SIGSTOP, and resumes them with SIGCONT at the end.
    #[serde(rename = "Freeze")]
    Pause {
        /// Number of the affected machine.
        machine: u8,
        /// The affected processes.
        #[serde(rename = "part")]
        processes: ProcessSet,
    },
    /// Terminates processes with SIGTERM, and restarts them at the end, once they have exited.
    #[serde(rename = "Leave")]
    Terminate {
        /// Number of the affected machine.
        machine: u8,
        /// The affected processes.
        #[serde(rename = "part")]
        processes: ProcessSet,
    },
    /// Sends SIGHUP to all processes of a machine repeatedly.
    Hangup {
        /// Number of the affected machine.
        machine: u8,
    },
    /// Kills the processes of a machine with SIGKILL, erases its disk, and restarts them at the end.
    Wipe {
        /// Number of the affected machine.
        machine: u8,
    },
    /// Partitions a machine, which may be an edge, from all core machines other than itself.
    #[serde(rename = "Cut")]
    Partition {
        /// Number of the affected machine.
        machine: u8,
        /// The blocked direction.
        #[serde(rename = "kind")]
        direction: PartitionDirection,
    },
    /// Partitions two core machines from each other.
    #[serde(rename = "CutPair")]
    PartitionPair {
        /// The machine that `direction` refers to.
        first: u8,
        /// The machine on the other side of the partition.
        second: u8,
        /// The blocked direction.
        #[serde(rename = "kind")]
        direction: PartitionDirection,
    },
    /// Drains a server, and starts a replacement.
    Drain {
        /// Index of the server's service.
        service: usize,
    },
    /// Deregisters a server without draining it first, and starts a replacement. The deregistered server continues to
    /// serve for a while.
    #[serde(rename = "Goodbye")]
    Deregister {
        /// Index of the server's service.
        service: usize,
    },
    /// Crashes a server, and starts a replacement.
    Crash {
        /// Index of the server's service.
        service: usize,
    },
    /// Slows down a server.
    Slow {
        /// Index of the server's service.
        service: usize,
        /// Factor by which the processing time of each request is multiplied.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Blocks all traffic to and from a server.
    #[serde(rename = "Silent")]
    Unresponsive {
        /// Index of the server's service.
        service: usize,
    },
    /// Delivers requests to a server, and resets the connections instead of delivering its responses.
    #[serde(rename = "LosesAnswers")]
    LosesResponses {
        /// Index of the server's service.
        service: usize,
    },
    /// Resets connections to a server.
    #[serde(rename = "Refuses")]
    ResetsConnections {
        /// Index of the server's service.
        service: usize,
    },
    /// Disconnects clients while their requests are in flight.
    #[serde(rename = "ClientsLeave")]
    ClientsDisconnect,
    /// Loses most responses to operators, which have to retry.
    #[serde(rename = "AnswersLost")]
    OperatorResponsesLost,
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// When the fault begins, in seconds from the start of the load.
    pub at: f64,
    /// Duration of the fault, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// What is injected.
    #[serde(rename = "trouble")]
    pub fault: Fault,
}

/// The size of the system under test.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SystemSize {
    /// Number of core machines.
    pub cores: u8,
    /// Number of machines with an edge.
    pub edges: u8,
    /// Number of services.
    pub services: usize,
}

/// All faults of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Schedule {
    /// Seed of the random generators for faults, load and operators.
    pub seed: u64,
    /// The machines and services of the system.
    pub size: SystemSize,
    /// Seconds from the start of the load within which all faults begin and end.
    pub seconds: f64,
    /// The faults, ordered by start time.
    #[serde(rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Generates the schedule of a seed. All faults end within `seconds`.
    pub fn draw(seed: u64, seconds: f64, edges: u8, services: usize) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let cores = if rng.random_bool(FOUR_CORES_PROBABILITY) { 4 } else { 3 };
        let size = SystemSize { cores, edges, services };
        let mut faults = Vec::new();
        let mut has_wiped = false;
        for _ in 0..((seconds - FIRST_FAULT_AT_S) * FAULTS_PER_S).ceil() as usize {
            let last_start = (seconds - MIN_DURATION_S).max(FIRST_FAULT_AT_S + MIN_DURATION_S);
            let at = rng.random_range(FIRST_FAULT_AT_S..last_start);
            let duration_s = rng.random_range(MIN_DURATION_S..MAX_DURATION_S).min(seconds - at);
            let mut fault = draw_fault(&mut rng, size);
            // The system tolerates the loss of one disk only, so further wipes are replaced by another fault.
            if matches!(fault, Fault::Wipe { .. }) && std::mem::replace(&mut has_wiped, true) {
                fault = Fault::OperatorResponsesLost;
            }
            faults.push(ScheduledFault { at, duration_s, fault });
        }
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        Schedule { seed, size, seconds, faults }
    }
}

fn draw_processes(rng: &mut ChaCha8Rng) -> ProcessSet {
    let weighted = [ProcessSet::Both, ProcessSet::Both, ProcessSet::Proxy, ProcessSet::Control];
    *weighted.choose(rng).unwrap_or(&ProcessSet::Both)
}

fn draw_direction(rng: &mut ChaCha8Rng) -> PartitionDirection {
    let weighted = [
        PartitionDirection::Both,
        PartitionDirection::Both,
        PartitionDirection::Outgoing,
        PartitionDirection::Incoming,
    ];
    *weighted.choose(rng).unwrap_or(&PartitionDirection::Both)
}

/// Draws a fault. Every parameter is drawn in the same order for each kind of fault, so that a seed always gives the
/// same faults.
fn draw_fault(rng: &mut ChaCha8Rng, size: SystemSize) -> Fault {
    let machine = rng.random_range(1..=size.cores + size.edges);
    let core = rng.random_range(1..=size.cores);
    let other_core = core % size.cores + 1;
    let service = rng.random_range(0..size.services);
    let processes = draw_processes(rng);
    let direction = draw_direction(rng);
    match rng.random_range(0..24) {
        0..=2 => Fault::Kill { machine, processes },
        3 => Fault::KillCore { processes: ProcessSet::Control },
        4 => Fault::KillCore { processes },
        5..=7 => Fault::Pause { machine, processes },
        8 | 9 => Fault::Terminate { machine, processes },
        10 => Fault::Hangup { machine },
        11 => Fault::Wipe { machine: core },
        12 | 13 => Fault::Partition { machine, direction },
        14 | 15 => Fault::PartitionPair { first: core, second: other_core, direction },
        16 => Fault::Drain { service },
        17 => Fault::Deregister { service },
        18 => Fault::Crash { service },
        19 => Fault::Slow { service, factor: rng.random_range(2.0..8.0) },
        20 => Fault::Unresponsive { service },
        21 => Fault::LosesResponses { service },
        22 => Fault::ResetsConnections { service },
        _ if rng.random_bool(0.5) => Fault::ClientsDisconnect,
        _ => Fault::OperatorResponsesLost,
    }
}
