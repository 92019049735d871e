//! Shrinks a failing schedule to a shorter one that violates the same invariant.

use glenfall_control_plane::Millis;

use super::Schedule;
use crate::action::{Action, Event, MachinePair};
use crate::violation::Violation;
use crate::world::STEP_INTERVAL;

/// At most this many schedules are run to shrink one.
const MAX_ATTEMPTS: usize = 5000;
/// Halved durations are rounded down to a multiple of this, in milliseconds.
const DURATION_UNIT: Millis = 10;
/// Durations below this, in milliseconds, are not shortened.
const MIN_SHORTENED_DURATION: Millis = 100;
/// Candidate times between the last event and the end of all faults, in milliseconds. The shortest one with which the
/// schedule still fails is used.
const TIMES_AFTER_LAST_EVENT: [Millis; 4] = [0, 500, 1500, 4000];

/// The result of [`shrink`].
pub struct ShrunkSchedule {
    /// The shortest schedule found that violates the same invariant.
    pub schedule: Schedule,
    /// How many schedules were run to find it.
    pub attempts: usize,
}

struct Shrinker {
    shortest: Schedule,
    violation: Violation,
    attempts: usize,
}

impl Shrinker {
    /// Runs a simpler schedule and keeps it if it violates the same invariant. Returns whether it was kept.
    fn try_schedule(&mut self, shorter: Schedule) -> bool {
        if self.attempts == MAX_ATTEMPTS || shorter == self.shortest {
            return false;
        }
        self.attempts += 1;
        match shorter.run() {
            Err(failed) if failed.violation.is_same_kind(&self.violation) => {
                self.shortest = shorter;
                true
            }
            _ => false,
        }
    }

    fn try_events(&mut self, events: Vec<Event>) -> bool {
        self.try_schedule(Schedule { events, ..self.shortest.clone() })
    }

    /// Drops the events after the violation, if that occurred before all faults had ended.
    fn drop_later_events(&mut self, violated_at: Millis) {
        let before = self.shortest.clone();
        if violated_at < before.faults_end_at {
            let events = before.events.iter().filter(|event| event.at <= violated_at).cloned().collect();
            self.try_schedule(Schedule { faults_end_at: violated_at, events, ..before });
        }
    }

    /// Delta debugging: tries to drop ranges of events. A range is half of all events at first, and one event at last.
    fn drop_events(&mut self) {
        let mut length = self.shortest.events.len().div_ceil(2);
        while length > 0 {
            let mut from = 0;
            while from < self.shortest.events.len() {
                let mut remaining = self.shortest.events.clone();
                remaining.drain(from..(from + length).min(remaining.len()));
                if !self.try_events(remaining) {
                    from += length;
                }
            }
            length /= 2;
        }
    }

    /// Replaces each event by simpler ones for as long as the schedule still fails.
    fn simplify_events(&mut self) {
        for index in 0..self.shortest.events.len() {
            while self.simplify_event(index) {}
        }
    }

    fn simplify_event(&mut self, index: usize) -> bool {
        let simpler = simpler_actions(&self.shortest.events[index].action);
        simpler.into_iter().any(|action| {
            let mut events = self.shortest.events.clone();
            events[index].action = action;
            self.try_events(events)
        })
    }

    /// Ends all faults with the last event, or soon after it.
    fn end_faults_earlier(&mut self) {
        let last = self.shortest.events.last().map_or(0, |event| event.at);
        for time_after in TIMES_AFTER_LAST_EVENT {
            let faults_end_at = (last / STEP_INTERVAL + 1) * STEP_INTERVAL + time_after;
            let is_earlier = faults_end_at < self.shortest.faults_end_at;
            if is_earlier && self.try_schedule(Schedule { faults_end_at, ..self.shortest.clone() }) {
                return;
            }
        }
    }
}

/// The machines that an action names in a list.
enum Targets<'a> {
    Nodes(&'a mut Vec<u8>),
    Pairs(&'a mut Vec<MachinePair>),
}

fn targets_of(action: &mut Action) -> Option<Targets<'_>> {
    match action {
        Action::Kill { nodes }
        | Action::PowerOff { nodes }
        | Action::PowerOn { nodes }
        | Action::Wipe { nodes }
        | Action::WipeAfterRepair { nodes }
        | Action::Pause { nodes, .. } => Some(Targets::Nodes(nodes)),
        Action::Partition { pairs, .. }
        | Action::PartitionOneWay { pairs, .. }
        | Action::Delay { pairs, .. } => Some(Targets::Pairs(pairs)),
        _ => None,
    }
}

fn duration_of(action: &mut Action) -> Option<&mut Millis> {
    match action {
        Action::Partition { duration, .. }
        | Action::PartitionOneWay { duration, .. }
        | Action::Delay { duration, .. }
        | Action::Pause { duration, .. }
        | Action::StallDisk { duration, .. } => Some(duration),
        _ => None,
    }
}

/// Returns variants of an action that each lack one of its machines or pairs; none if it has fewer than two.
fn with_fewer_targets(action: &Action) -> Vec<Action> {
    let count = match targets_of(&mut action.clone()) {
        Some(Targets::Nodes(nodes)) => nodes.len(),
        Some(Targets::Pairs(pairs)) => pairs.len(),
        None => 0,
    };
    let without = |index| {
        let mut fewer = action.clone();
        match targets_of(&mut fewer) {
            Some(Targets::Nodes(nodes)) => {
                nodes.remove(index);
            }
            Some(Targets::Pairs(pairs)) => {
                pairs.remove(index);
            }
            None => {}
        }
        fewer
    };
    match count {
        0 | 1 => Vec::new(),
        _ => (0..count).map(without).collect(),
    }
}

/// Returns the action with half its duration, or `None` if it has none or that is short already.
fn with_shorter_duration(action: &Action) -> Option<Action> {
    let mut shorter = action.clone();
    let duration = duration_of(&mut shorter).filter(|duration| **duration >= MIN_SHORTENED_DURATION)?;
    *duration = *duration / (2 * DURATION_UNIT) * DURATION_UNIT;
    Some(shorter)
}

/// Returns simpler forms of an action.
fn simpler_actions(action: &Action) -> Vec<Action> {
    match action {
        Action::Change { receiver, version_step, .. } => {
            vec![Action::ChangeOnce { receiver: *receiver, version_step: *version_step }]
        }
        Action::OnAcknowledged { then } => vec![(**then).clone()],
        _ => with_fewer_targets(action).into_iter().chain(with_shorter_duration(action)).collect(),
    }
}

/// Shrinks a failing schedule. Returns `None` if the schedule does not fail.
pub fn shrink(schedule: &Schedule) -> Option<ShrunkSchedule> {
    let failed = schedule.run().err()?;
    let mut shrinker = Shrinker { shortest: schedule.clone(), violation: failed.violation, attempts: 0 };
    shrinker.drop_later_events(failed.at);
    loop {
        let before = shrinker.shortest.clone();
        shrinker.drop_events();
        shrinker.simplify_events();
        shrinker.end_faults_earlier();
        if shrinker.shortest == before {
            return Some(ShrunkSchedule { schedule: before, attempts: shrinker.attempts });
        }
    }
}
