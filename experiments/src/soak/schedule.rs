//! The faults of a soak run and their times, drawn from a seed alone: the same seed gives the same schedule. The
//! processes, the sockets and this machine are real, and what follows from a schedule may differ from run to run.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// The first fault begins at this time, in seconds from the start of the load.
const FIRST_FAULT_AT_S: f64 = 1.0;
/// Faults in a second: with the durations below, two or three overlap most of the time.
const FAULTS_PER_S: f64 = 0.7;
/// The shortest fault, in seconds.
const MIN_DURATION_S: f64 = 0.3;
/// The longest fault, in seconds.
const MAX_DURATION_S: f64 = 5.0;
/// How often a run has four core machines in place of three.
const FOUR_CORES_PROBABILITY: f64 = 0.3;

/// Which processes of a machine a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessSet {
    /// Both processes.
    Both,
    /// The edge or the shield.
    Proxy,
    /// The agent or the control node.
    Control,
}

/// The direction in which a partition blocks a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionDirection {
    /// Both directions.
    Both,
    /// What the machine sends is lost.
    #[serde(rename = "Says")]
    Outgoing,
    /// What the machine receives is lost.
    #[serde(rename = "Hears")]
    Incoming,
}

/// A fault. Machines are numbered from 1, those of the core first; services are numbered as in the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// Processes of a machine are killed, and started again at the end.
    Kill {
        /// The machine.
        machine: u8,
        /// Which of its processes.
        #[serde(rename = "part")]
        processes: ProcessSet,
    },
    /// Processes of all core machines are killed, and started again at the end.
    KillCore {
        /// Which processes of each machine.
        #[serde(rename = "part")]
        processes: ProcessSet,
    },
    /// Processes are paused by SIGSTOP, and go on by SIGCONT at the end.
    #[serde(rename = "Freeze")]
    Pause {
        /// The machine.
        machine: u8,
        /// Which of its processes.
        #[serde(rename = "part")]
        processes: ProcessSet,
    },
    /// Processes are ended by SIGTERM, and started again once they have ended.
    #[serde(rename = "Leave")]
    Terminate {
        /// The machine.
        machine: u8,
        /// Which of its processes.
        #[serde(rename = "part")]
        processes: ProcessSet,
    },
    /// Processes receive SIGHUP several times.
    Hangup {
        /// The machine.
        machine: u8,
    },
    /// The processes of a machine are killed, and its disk is lost.
    Wipe {
        /// The machine.
        machine: u8,
    },
    /// A machine is partitioned from all core machines but itself.
    #[serde(rename = "Cut")]
    Partition {
        /// The machine.
        machine: u8,
        /// In which direction.
        #[serde(rename = "kind")]
        direction: PartitionDirection,
    },
    /// Two core machines are partitioned from each other.
    #[serde(rename = "CutPair")]
    PartitionPair {
        /// The machine that the direction is seen from.
        first: u8,
        /// The other machine.
        second: u8,
        /// In which direction.
        #[serde(rename = "kind")]
        direction: PartitionDirection,
    },
    /// A server drains, and a new one starts.
    Drain {
        /// The service of the server.
        service: usize,
    },
    /// A server deregisters without draining first and serves on for a while, and a new one starts.
    #[serde(rename = "Goodbye")]
    Deregister {
        /// The service of the server.
        service: usize,
    },
    /// A server crashes, and a new one starts.
    Crash {
        /// The service of the server.
        service: usize,
    },
    /// A server is slower.
    Slow {
        /// The service of the server.
        service: usize,
        /// How many times as long its work takes.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Nothing reaches a server or comes from it.
    #[serde(rename = "Silent")]
    Unresponsive {
        /// The service of the server.
        service: usize,
    },
    /// A server runs requests, and its connections are reset in place of responses.
    #[serde(rename = "LosesAnswers")]
    LosesResponses {
        /// The service of the server.
        service: usize,
    },
    /// A server resets connections.
    #[serde(rename = "Refuses")]
    ResetsConnections {
        /// The service of the server.
        service: usize,
    },
    /// Clients disconnect while their requests are in flight.
    #[serde(rename = "ClientsLeave")]
    ClientsDisconnect,
    /// Responses to operators are lost, and the operators retry.
    #[serde(rename = "AnswersLost")]
    OperatorResponsesLost,
}

/// A fault and its time, in seconds from the start of the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: f64,
    /// How long it lasts.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// The fault.
    #[serde(rename = "trouble")]
    pub fault: Fault,
}

/// The size of the system under test.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SystemSize {
    /// Core machines.
    pub cores: u8,
    /// Machines with an edge.
    pub edges: u8,
    /// Services.
    pub services: usize,
}

/// All faults of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed of the faults and of the load.
    pub seed: u64,
    /// The size of the system.
    pub size: SystemSize,
    /// Seconds of load in which there are faults.
    pub seconds: f64,
    /// The faults, by time.
    #[serde(rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Draws the faults of a seed; all end within `seconds`.
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
            // The system tolerates the loss of one disk.
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

/// Draws a fault. All parts are drawn in the same order whatever the kind, so that a seed keeps its faults.
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
