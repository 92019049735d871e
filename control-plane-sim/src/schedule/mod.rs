//! Schedules: lists of faults and operator requests, each with its time. A schedule is generated from a seed before it
//! runs, and its events do not refer to each other, so that any of them can be left out.

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

/// After all faults have ended, the cluster has to commit a change and return to one view within this time.
const RECOVERY_TIMEOUT: Millis = 8_000;
/// Interval of the operators' requests in long schedules, and after all faults have ended.
const OPERATOR_INTERVAL: Millis = 250;

/// The most tolerated losses that a schedule file may specify.
const MAX_LOSSES: u8 = 3;
/// The most spare machines that a schedule file may specify.
const MAX_SPARE_MACHINES: u8 = 3;
/// Upper bound of the durations and delays, in milliseconds, and of the version steps and numbers of lost answers that a
/// schedule file may specify.
const MAX_FIELD_VALUE: Millis = 600_000;

/// A list of events, and the cluster that they happen in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed of the simulated delays, and of the operators' requests after all faults have ended.
    pub seed: u64,
    /// How many machine losses the cluster has to tolerate, and how many spare machines it has.
    pub size: ClusterSize,
    /// The bug that all machines are given, if any.
    #[serde(rename = "fault")]
    pub injected_bug: Option<InjectedBug>,
    /// When all faults end, in milliseconds since the start.
    #[serde(rename = "troubles")]
    pub faults_end_at: Millis,
    /// The minimum time that the cluster runs after all faults have ended, in milliseconds.
    #[serde(rename = "watched")]
    pub min_recovery: Millis,
    /// The events, sorted by time.
    pub events: Vec<Event>,
}

/// Why a schedule file can't run. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSchedule {
    /// The number of losses or of spare machines is out of bounds.
    #[error("size: losses must be between 1 and {MAX_LOSSES}, spare at most {MAX_SPARE_MACHINES}")]
    Size,
    /// The time of the faults or of the recovery is too long.
    #[error("troubles and watched must be at most {MAX_FIELD_VALUE} ms")]
    Time,
    /// The event at this time names a machine that does not exist.
    #[error("event at {0} ms: names a machine that the cluster does not have")]
    Machine(Millis),
    /// The event at this time is listed after one of a later time.
    #[error("event at {0} ms: listed after an event of a later time")]
    Order(Millis),
    /// A duration, delay, version step or number of lost answers of the event at this time is too large.
    #[error("event at {0} ms: lasts, by, raise and lost must be at most {MAX_FIELD_VALUE}")]
    FieldValue(Millis),
}

/// A run that violated an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedRun {
    /// The violated invariant.
    pub violation: Violation,
    /// When it was violated, in milliseconds since the start.
    pub at: Millis,
    /// A human-readable description of the state of all nodes at that time.
    pub nodes: String,
}

impl Schedule {
    /// Checks a schedule that was read from a file.
    ///
    /// # Errors
    ///
    /// Returns the first reason why it can't run.
    pub fn check(&self) -> Result<(), InvalidSchedule> {
        if !(1..=MAX_LOSSES).contains(&self.size.losses) || self.size.spare > MAX_SPARE_MACHINES {
            return Err(InvalidSchedule::Size);
        }
        if self.faults_end_at.max(self.min_recovery) > MAX_FIELD_VALUE {
            return Err(InvalidSchedule::Time);
        }
        let machines = 1..=self.size.nodes();
        let is_unknown =
            |event: &&Event| !event.action.machines().iter().all(|machine| machines.contains(machine));
        if let Some(event) = self.events.iter().find(is_unknown) {
            return Err(InvalidSchedule::Machine(event.at));
        }
        if let Some(event) =
            self.events.iter().find(|event| event.action.largest_field_value() > MAX_FIELD_VALUE)
        {
            return Err(InvalidSchedule::FieldValue(event.at));
        }
        let out_of_order = self.events.windows(2).find(|pair| pair[0].at > pair[1].at);
        out_of_order.map_or(Ok(()), |pair| Err(InvalidSchedule::Order(pair[1].at)))
    }

    /// Runs the schedule in a new cluster.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that was violated. A panic of a node counts as a violation.
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
                world.perform(&event.action);
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
        world.in_one_view().then_some(()).ok_or(Violation::NotInOneView)
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let message = panic.downcast_ref::<String>().cloned();
    let message = message.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    message.unwrap_or_default()
}
