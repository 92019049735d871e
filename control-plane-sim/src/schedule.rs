//! A schedule: which faults happen and what operators do, each at its time. It is generated from a seed before it is
//! played, and what it says of a machine holds whatever else happens, so that some of it can be left out.

use std::panic::{catch_unwind, AssertUnwindSafe};

use glenfall_control_plane::Millis;
use serde::{Deserialize, Serialize};

use crate::{Event, Fault, Size, Violation, World};

/// How long the mended cluster has to take one more change and to be in one chain.
pub(crate) const MENDED: Millis = 8_000;
/// Operators act so often in long schedules, and once all faults have ended.
pub(crate) const OPERATE: Millis = 250;

/// What a file may ask for.
const MOST_LOSSES: u8 = 3;
const MOST_SPARE: u8 = 3;
const LONGEST: Millis = 600_000;

/// Events at their times, and how long they are followed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Of delays and of what operators do once all faults have ended.
    pub seed: u64,
    pub size: Size,
    /// What the simulated machines do wrong on purpose.
    pub fault: Option<Fault>,
    /// Faults end then.
    pub troubles: Millis,
    /// The mended cluster is watched for so long, if nothing is wrong.
    pub watched: Millis,
    pub events: Vec<Event>,
}

/// Why a schedule can't be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSchedule {
    #[error("size: 1 to {MOST_LOSSES} losses and at most {MOST_SPARE} machines that stand by expected")]
    Size,
    #[error("troubles, watched: {LONGEST} ms at most expected")]
    Time,
    #[error("event at {0} ms: no machine has that number")]
    Machine(Millis),
    #[error("event at {0} ms: out of order")]
    Order(Millis),
    #[error("event at {0} ms: lasts, raise, lost: {LONGEST} at most expected")]
    Figure(Millis),
}

/// What a schedule that held brought about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Coverage {
    /// Changes acknowledged, reads answered, orders refused, orders sent again.
    pub changes: u64,
    pub reads: u64,
    pub refusals: u64,
    pub repeats: u64,
    /// Sessions that were handed a configuration.
    pub sessions: u64,
    /// Views that stood, changes of who counts, and changes of voters begun at an operator's word.
    pub views: u64,
    pub member_changes: u64,
    pub seats: u64,
}

impl std::ops::AddAssign for Coverage {
    fn add_assign(&mut self, other: Coverage) {
        self.changes += other.changes;
        self.reads += other.reads;
        self.refusals += other.refusals;
        self.repeats += other.repeats;
        self.sessions += other.sessions;
        self.views += other.views;
        self.member_changes += other.member_changes;
        self.seats += other.seats;
    }
}

/// An invariant that was broken, when, and the state of all nodes at that moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub violation: Violation,
    pub at: Millis,
    pub nodes: String,
}

impl Schedule {
    /// Whether it can be played, where it was not generated.
    pub fn check(&self) -> Result<(), InvalidSchedule> {
        if !(1..=MOST_LOSSES).contains(&self.size.losses) || self.size.spare > MOST_SPARE {
            return Err(InvalidSchedule::Size);
        }
        if self.troubles.max(self.watched) > LONGEST {
            return Err(InvalidSchedule::Time);
        }
        let nodes = 1..=self.size.nodes();
        let unknown = |event: &&Event| !event.action.machines().iter().all(|n| nodes.contains(n));
        if let Some(event) = self.events.iter().find(unknown) {
            return Err(InvalidSchedule::Machine(event.at));
        }
        if let Some(event) = self.events.iter().find(|event| event.action.figure() > LONGEST) {
            return Err(InvalidSchedule::Figure(event.at));
        }
        let out_of_order = self.events.windows(2).find(|pair| pair[0].at > pair[1].at);
        out_of_order.map_or(Ok(()), |pair| Err(InvalidSchedule::Order(pair[1].at)))
    }

    /// Plays it from the start.
    pub fn play(&self) -> Result<Coverage, Broken> {
        let mut world = World::new(self.seed, self.size);
        world.fault = self.fault;
        let run = catch_unwind(AssertUnwindSafe(|| self.run(&mut world)));
        let run = run.unwrap_or_else(|panic| {
            let message = panic.downcast_ref::<String>().cloned();
            let message = message.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
            Err(Violation::Panic(message.unwrap_or_default()))
        });
        match run {
            Ok(()) => Ok(world.counts),
            Err(violation) => Err(Broken { violation, at: world.now, nodes: world.describe() }),
        }
    }

    fn run(&self, world: &mut World) -> Result<(), Violation> {
        let mut events = self.events.iter().peekable();
        while world.now < self.troubles {
            world.step()?;
            while let Some(event) = events.next_if(|event| event.at <= world.now) {
                world.act(&event.action);
            }
        }
        world.settle();
        let (changes, from) = (world.counts.changes, world.now);
        while world.now < from + MENDED {
            world.step()?;
            if world.now.is_multiple_of(OPERATE) {
                world.operate();
            }
            let watched = world.now >= from + self.watched;
            if watched && world.counts.changes > changes && world.in_one_view() {
                break;
            }
        }
        world.check()?;
        if world.counts.changes == changes {
            return Err(Violation::Stuck(MENDED));
        }
        world.in_one_view().then_some(()).ok_or(Violation::Apart)
    }
}
