//! What troubles a play of the soak has, and when: drawn from its seed alone, so that the same seed gives the same
//! troubles. The processes, the sockets and this machine are real, and what follows may differ from run to run.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// The first trouble begins so long after the start of the load, in seconds.
const FIRST: f64 = 1.0;
/// Troubles a second of the time that has any, and how long one lasts: two or three overlap most of the time.
const PER_S: f64 = 0.7;
const SHORTEST: f64 = 0.3;
const LONGEST: f64 = 5.0;

/// Which processes of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    Both,
    /// The edge or the shield.
    Proxy,
    /// The agent or the control node.
    Control,
}

/// Whom a machine is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CutKind {
    Both,
    /// Only what it says is lost.
    Says,
    /// Only what it hears is lost.
    Hears,
}

/// One trouble. Machines are numbered from 1, those of the core first; servers are numbered within their service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Trouble {
    /// SIGKILL, and started again at the end.
    Kill { machine: u8, part: Part },
    /// The same for one role on all machines of the core.
    KillCore { part: Part },
    /// SIGSTOP, and SIGCONT at the end.
    Freeze { machine: u8, part: Part },
    /// SIGTERM, and started again once it has ended.
    Leave { machine: u8, part: Part },
    /// SIGHUP, several times.
    Hangup { machine: u8 },
    /// Killed, and its disk lost.
    Wipe { machine: u8 },
    /// Cut off from all core machines but itself.
    Cut { machine: u8, kind: CutKind },
    /// Two core machines are cut off from each other.
    CutPair { first: u8, second: u8, kind: CutKind },
    /// A server says that it drains, and a new one comes.
    Drain { service: usize },
    /// The same, but it says goodbye at once, and serves on.
    Goodbye { service: usize },
    /// It crashes, and a new one comes.
    Crash { service: usize },
    /// It takes so many times as long.
    Slow { service: usize, times: f64 },
    /// It says nothing.
    Silent { service: usize },
    /// It runs requests, and its connections are reset in place of answers.
    LosesAnswers { service: usize },
    /// It resets connections.
    Refuses { service: usize },
    /// Clients go away in the middle of requests.
    ClientsLeave,
    /// The operators' answers are lost, and they send again.
    AnswersLost,
}

/// A trouble and its time, in seconds from the start of the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Timed {
    pub at: f64,
    pub for_s: f64,
    pub trouble: Trouble,
}

/// The size of what is played.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Size {
    pub cores: u8,
    pub edges: u8,
    pub services: usize,
}

/// All troubles of a play.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Schedule {
    pub seed: u64,
    pub size: Size,
    pub seconds: f64,
    pub troubles: Vec<Timed>,
}

impl Schedule {
    /// The troubles of a seed, all over after so many seconds.
    pub fn draw(seed: u64, seconds: f64, edges: u8, services: usize) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = Size { cores: if rng.random_bool(0.3) { 4 } else { 3 }, edges, services };
        let mut troubles = Vec::new();
        let mut wiped = false;
        for _ in 0..((seconds - FIRST) * PER_S).ceil() as usize {
            let at = rng.random_range(FIRST..(seconds - SHORTEST).max(FIRST + SHORTEST));
            let for_s = rng.random_range(SHORTEST..LONGEST).min(seconds - at);
            let mut trouble = draw_trouble(&mut rng, size);
            // As many disks are lost as may be.
            if matches!(trouble, Trouble::Wipe { .. }) && std::mem::replace(&mut wiped, true) {
                trouble = Trouble::AnswersLost;
            }
            troubles.push(Timed { at, for_s, trouble });
        }
        troubles.sort_by(|a, b| a.at.total_cmp(&b.at));
        Schedule { seed, size, seconds, troubles }
    }
}

fn draw_trouble(rng: &mut ChaCha8Rng, size: Size) -> Trouble {
    let any = rng.random_range(1..=size.cores + size.edges);
    let core = rng.random_range(1..=size.cores);
    let other = core % size.cores + 1;
    let service = rng.random_range(0..size.services);
    let part = *[Part::Both, Part::Both, Part::Proxy, Part::Control].choose(rng).unwrap_or(&Part::Both);
    let kind =
        *[CutKind::Both, CutKind::Both, CutKind::Says, CutKind::Hears].choose(rng).unwrap_or(&CutKind::Both);
    match rng.random_range(0..24) {
        0..=2 => Trouble::Kill { machine: any, part },
        3 => Trouble::KillCore { part: Part::Control },
        4 => Trouble::KillCore { part },
        5..=7 => Trouble::Freeze { machine: any, part },
        8 | 9 => Trouble::Leave { machine: any, part },
        10 => Trouble::Hangup { machine: any },
        11 => Trouble::Wipe { machine: core },
        12 | 13 => Trouble::Cut { machine: any, kind },
        14 | 15 => Trouble::CutPair { first: core, second: other, kind },
        16 => Trouble::Drain { service },
        17 => Trouble::Goodbye { service },
        18 => Trouble::Crash { service },
        19 => Trouble::Slow { service, times: rng.random_range(2.0..8.0) },
        20 => Trouble::Silent { service },
        21 => Trouble::LosesAnswers { service },
        22 => Trouble::Refuses { service },
        _ if rng.random_bool(0.5) => Trouble::ClientsLeave,
        _ => Trouble::AnswersLost,
    }
}
