//! Cuts a failing schedule down to a short one in which the same invariant is broken.

use glenfall_control_plane::Millis;

use crate::{Action, Event, Schedule, Violation, TICK};

/// Schedules that are tried at most.
const ATTEMPTS: usize = 5000;

struct Shrinking {
    shortest: Schedule,
    violation: Violation,
    attempts: usize,
}

impl Shrinking {
    /// Takes a shorter schedule if it breaks the same invariant.
    fn take(&mut self, shorter: Schedule) -> bool {
        if self.attempts == 0 || shorter == self.shortest {
            return false;
        }
        self.attempts -= 1;
        match shorter.play() {
            Err(broken) if broken.violation.is_like(&self.violation) => {
                self.shortest = shorter;
                true
            }
            _ => false,
        }
    }

    fn take_events(&mut self, events: Vec<Event>) -> bool {
        self.take(Schedule { events, ..self.shortest.clone() })
    }

    /// Delta debugging: parts of the events are left out, half of them first, single ones in the end.
    fn drop_events(&mut self) {
        let mut part = self.shortest.events.len().div_ceil(2);
        while part > 0 {
            let mut from = 0;
            while from < self.shortest.events.len() {
                let mut left = self.shortest.events.clone();
                left.drain(from..(from + part).min(left.len()));
                if !self.take_events(left) {
                    from += part;
                }
            }
            part /= 2;
        }
    }

    /// Each event becomes a simpler one.
    fn simplify(&mut self) {
        for place in 0..self.shortest.events.len() {
            let mut again = true;
            while again {
                let simpler = simpler(&self.shortest.events[place].action);
                again = simpler.into_iter().any(|action| {
                    let mut events = self.shortest.events.clone();
                    events[place].action = action;
                    self.take_events(events)
                });
            }
        }
    }

    /// Faults end with the last event, or soon after it.
    fn shorten(&mut self) {
        let last = self.shortest.events.last().map_or(0, |event| event.at);
        for after in [0, 500, 1500, 4000] {
            let troubles = (last / TICK + 1) * TICK + after;
            if troubles < self.shortest.troubles && self.take(Schedule { troubles, ..self.shortest.clone() })
            {
                return;
            }
        }
    }
}

fn without_one<T: Clone>(list: &[T]) -> impl Iterator<Item = Vec<T>> + '_ {
    let places = if list.len() > 1 { 0..list.len() } else { 0..0 };
    places.map(|place| {
        let mut left = list.to_vec();
        left.remove(place);
        left
    })
}

fn shorter(lasts: Millis) -> Option<Millis> {
    (lasts >= 100).then_some(lasts / 20 * 10)
}

/// Simpler forms of an event.
fn simpler(action: &Action) -> Vec<Action> {
    match action.clone() {
        Action::Kill { nodes } => without_one(&nodes).map(|nodes| Action::Kill { nodes }).collect(),
        Action::PowerOff { nodes } => without_one(&nodes).map(|nodes| Action::PowerOff { nodes }).collect(),
        Action::PowerOn { nodes } => without_one(&nodes).map(|nodes| Action::PowerOn { nodes }).collect(),
        Action::Wipe { nodes } => without_one(&nodes).map(|nodes| Action::Wipe { nodes }).collect(),
        Action::WipeAfterRepair { nodes } => {
            without_one(&nodes).map(|nodes| Action::WipeAfterRepair { nodes }).collect()
        }
        Action::Partition { pairs, lasts } => {
            let fewer = without_one(&pairs).map(|pairs| Action::Partition { pairs, lasts });
            fewer
                .chain(shorter(lasts).map(|lasts| Action::Partition { pairs: pairs.clone(), lasts }))
                .collect()
        }
        Action::PartitionOneWay { channels, lasts } => {
            let fewer = without_one(&channels).map(|channels| Action::PartitionOneWay { channels, lasts });
            fewer
                .chain(
                    shorter(lasts).map(|lasts| Action::PartitionOneWay { channels: channels.clone(), lasts }),
                )
                .collect()
        }
        Action::Delay { channels, by, lasts } => {
            let fewer = without_one(&channels).map(|channels| Action::Delay { channels, by, lasts });
            let shorter = shorter(lasts).map(|lasts| Action::Delay { channels: channels.clone(), by, lasts });
            fewer.chain(shorter).collect()
        }
        Action::Pause { nodes, lasts } => {
            let fewer = without_one(&nodes).map(|nodes| Action::Pause { nodes, lasts });
            fewer.chain(shorter(lasts).map(|lasts| Action::Pause { nodes: nodes.clone(), lasts })).collect()
        }
        Action::StallDisk { node, lasts } => {
            shorter(lasts).map(|lasts| Action::StallDisk { node, lasts }).into_iter().collect()
        }
        Action::Change { at, raise, .. } => vec![Action::ChangeOnce { at, raise }],
        Action::OnAcknowledged { then } => vec![*then],
        _ => Vec::new(),
    }
}

/// A short schedule that breaks the same invariant, and how many were tried for it; `None` where this one holds.
pub fn shrunk(schedule: &Schedule) -> Option<(Schedule, usize)> {
    let broken = schedule.play().err()?;
    // What comes after the moment can be left out, if it was not found at the end.
    let mut shrinking =
        Shrinking { shortest: schedule.clone(), violation: broken.violation, attempts: ATTEMPTS };
    if broken.at < schedule.troubles {
        let events = schedule.events.iter().filter(|event| event.at <= broken.at).cloned().collect();
        shrinking.take(Schedule { troubles: broken.at, events, ..schedule.clone() });
    }
    loop {
        let before = shrinking.shortest.clone();
        shrinking.drop_events();
        shrinking.simplify();
        shrinking.shorten();
        if shrinking.shortest == before {
            return Some((before, ATTEMPTS - shrinking.attempts));
        }
    }
}
