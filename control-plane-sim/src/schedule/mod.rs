//! A schedule: which faults happen and what operators do, each at its time. It is generated from a seed before it runs,
//! and no event depends on another, so that some of them can be left out.

mod generator;
pub(crate) mod shrink;
mod targeted;

use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

use glenfall_control_plane::Millis;
use serde::{Deserialize, Serialize};

use crate::action::Event;
use crate::cluster::ClusterSize;
use crate::coverage::Coverage;
use crate::injected_bug::InjectedBug;
use crate::violation::Violation;
use crate::world::World;

/// After all faults have ended, the cluster has to commit a change and to be in one chain within this time.
const RECOVERY_TIMEOUT: Millis = 8_000;
/// Operators act at this interval in long schedules, and once all faults have ended.
const OPERATOR_INTERVAL: Millis = 250;

/// A schedule file may ask for so many losses.
const MAX_LOSSES: u8 = 3;
/// A schedule file may ask for so many spare machines.
const MAX_SPARE_MACHINES: u8 = 3;
/// A schedule file may name no longer time, in milliseconds, and no larger figure in an event.
const MAX_FIGURE: Millis = 600_000;

/// Events at their times, and how long the cluster runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed of delays, and of what operators do once all faults have ended.
    pub seed: u64,
    /// The size of the cluster.
    pub size: ClusterSize,
    /// The bug that the simulated machines have, if any.
    #[serde(rename = "fault")]
    pub injected_bug: Option<InjectedBug>,
    /// When all faults end, in milliseconds since the start.
    #[serde(rename = "troubles")]
    pub faults_end_at: Millis,
    /// How long the cluster runs at least after all faults have ended, in milliseconds.
    #[serde(rename = "watched")]
    pub min_recovery: Millis,
    /// The events, by time.
    pub events: Vec<Event>,
}

/// Why a schedule can't run. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSchedule {
    /// The size is out of bounds.
    #[error(
        "size: 1 to {MAX_LOSSES} losses and at most {MAX_SPARE_MACHINES} machines that stand by expected"
    )]
    Size,
    /// A time of the schedule is too long.
    #[error("troubles, watched: {MAX_FIGURE} ms at most expected")]
    Time,
    /// The event at this time names a machine that does not exist.
    #[error("event at {0} ms: no machine has that number")]
    Machine(Millis),
    /// The event at this time comes after a later one.
    #[error("event at {0} ms: out of order")]
    Order(Millis),
    /// The event at this time has a figure that is too large.
    #[error("event at {0} ms: lasts, raise, lost: {MAX_FIGURE} at most expected")]
    Figure(Millis),
}

/// A run that violated an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRun {
    /// The invariant.
    pub violation: Violation,
    /// When it was violated, in milliseconds since the start.
    pub at: Millis,
    /// The state of all nodes at that time, for people.
    pub nodes: String,
}

impl Schedule {
    /// Checks a schedule that was not generated.
    ///
    /// # Errors
    ///
    /// Returns the first reason why it can't run.
    pub fn check(&self) -> Result<(), InvalidSchedule> {
        if !(1..=MAX_LOSSES).contains(&self.size.losses) || self.size.spare > MAX_SPARE_MACHINES {
            return Err(InvalidSchedule::Size);
        }
        if self.faults_end_at.max(self.min_recovery) > MAX_FIGURE {
            return Err(InvalidSchedule::Time);
        }
        let machines = 1..=self.size.nodes();
        let is_unknown =
            |event: &&Event| !event.action.machines().iter().all(|machine| machines.contains(machine));
        if let Some(event) = self.events.iter().find(is_unknown) {
            return Err(InvalidSchedule::Machine(event.at));
        }
        if let Some(event) = self.events.iter().find(|event| event.action.largest_figure() > MAX_FIGURE) {
            return Err(InvalidSchedule::Figure(event.at));
        }
        let out_of_order = self.events.windows(2).find(|pair| pair[0].at > pair[1].at);
        out_of_order.map_or(Ok(()), |pair| Err(InvalidSchedule::Order(pair[1].at)))
    }

    /// Runs the schedule from the start.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that was violated; a node that panics counts as one.
    pub fn run(&self) -> Result<Coverage, FailedRun> {
        let mut world = World::new(self.seed, self.size);
        world.injected_bug = self.injected_bug;
        let result = catch_unwind(AssertUnwindSafe(|| self.run_in(&mut world)));
        match result.unwrap_or_else(|panic| Err(Violation::Panic(panic_message(&*panic)))) {
            Ok(()) => Ok(world.coverage),
            Err(violation) => Err(FailedRun { violation, at: world.now, nodes: world.describe() }),
        }
    }

    fn run_in(&self, world: &mut World) -> Result<(), Violation> {
        let mut events = self.events.iter().peekable();
        while world.now < self.faults_end_at {
            world.step()?;
            while let Some(event) = events.next_if(|event| event.at <= world.now) {
                world.act(&event.action);
            }
        }
        world.end_faults();
        self.run_recovery(world)
    }

    fn run_recovery(&self, world: &mut World) -> Result<(), Violation> {
        let (changes, started_at) = (world.coverage.changes, world.now);
        while world.now < started_at + RECOVERY_TIMEOUT {
            world.step()?;
            if world.now.is_multiple_of(OPERATOR_INTERVAL) {
                world.run_operators();
            }
            let is_long_enough = world.now >= started_at + self.min_recovery;
            if is_long_enough && world.coverage.changes > changes && world.in_one_view() {
                break;
            }
        }
        world.check()?;
        if world.coverage.changes == changes {
            return Err(Violation::NoProgress(RECOVERY_TIMEOUT));
        }
        world.in_one_view().then_some(()).ok_or(Violation::NotReunited)
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let message = panic.downcast_ref::<String>().cloned();
    let message = message.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    message.unwrap_or_default()
}
