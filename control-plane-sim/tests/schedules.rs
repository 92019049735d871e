//! Some thousands of schedules, of all kinds; and machines that do wrong on purpose, which must be found.
//! `SCHEDULES=n cargo test -p glenfall-sim` plays more, and `AIMED_SCHEDULES=n` more of those that are aimed at rare
//! moments; a failing seed replays with `glenfall-lab schedules`.

use glenfall_control_plane_sim::{
    shrunk, Action, Coverage, Event, Fault, InvalidSchedule, Schedule, Violation,
};

/// Plays in as many threads as there are; returns what they brought about, and the seeds that failed.
fn play(
    seeds: std::ops::Range<u64>,
    schedule: impl Fn(u64) -> Schedule + Sync,
) -> (Coverage, Vec<(u64, Violation)>) {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let part = |first: u64| {
        let mut sum = (Coverage::default(), Vec::new());
        for seed in (seeds.start + first..seeds.end).step_by(threads as usize) {
            match schedule(seed).play() {
                Ok(played) => sum.0 += played,
                Err(broken) => sum.1.push((seed, broken.violation)),
            }
        }
        sum
    };
    std::thread::scope(|scope| {
        let part = &part;
        let parts: Vec<_> = (0..threads).map(|first| scope.spawn(move || part(first))).collect();
        parts.into_iter().map(|part| part.join().expect("a part ends")).fold(
            (Coverage::default(), Vec::new()),
            |mut sum, (played, failed)| {
                sum.0 += played;
                sum.1.extend(failed);
                sum
            },
        )
    })
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn all_properties_hold_in_thousands_of_schedules() {
    let count = number("SCHEDULES").unwrap_or(4000);
    let (played, failed) = play(0..count, Schedule::generate);
    println!("{count} schedules: {played:?}");
    assert_eq!(failed, [], "seeds that failed");
    let each = [played.changes, played.reads, played.refusals, played.repeats, played.sessions, played.views];
    assert!(each.iter().all(|sum| *sum > 2 * count), "{played:?} in {count} schedules");
    assert!(played.member_changes + played.seats > count / 4, "{played:?} in {count} schedules");
}

#[test]
fn all_properties_hold_at_the_moments_that_random_schedules_seldom_meet() {
    let count = number("AIMED_SCHEDULES").unwrap_or(1600);
    let (played, failed) = play(0..count, Schedule::aimed);
    println!("{count} aimed schedules: {played:?}");
    assert_eq!(failed, [], "seeds that failed");
    let each = [played.changes, played.reads, played.refusals, played.repeats, played.sessions, played.views];
    assert!(each.iter().all(|sum| *sum > 5 * count), "{played:?} in {count} schedules");
    assert!(played.member_changes > count / 2, "{played:?} in {count} schedules");
}

#[test]
fn a_schedule_replays_exactly_and_so_does_a_part_of_it() {
    let schedules = (0..40).flat_map(|seed| [Schedule::generate(seed), Schedule::aimed(seed)]);
    for schedule in schedules {
        let seed = schedule.seed;
        assert_eq!(schedule.check(), Ok(()), "seed {seed}");
        assert_eq!(schedule.play(), schedule.play(), "seed {seed}");
        let events: Vec<Event> = schedule.events.iter().skip(1).step_by(2).cloned().collect();
        let part = Schedule { events, ..schedule };
        assert_eq!(part.play(), part.play(), "seed {seed}, every second event");
        let read: Schedule = serde_json::from_str(&serde_json::to_string(&part).unwrap()).unwrap();
        assert_eq!((read.check(), &read), (Ok(()), &part), "seed {seed}, written and read");
    }
}

#[test]
fn a_file_that_asks_for_what_is_not_there_is_turned_away() {
    let spoilt = |spoil: fn(&mut Schedule)| {
        let mut schedule = Schedule::generate(1);
        spoil(&mut schedule);
        schedule.check()
    };
    assert_eq!(spoilt(|s| s.size.losses = 0), Err(InvalidSchedule::Size));
    assert_eq!(spoilt(|s| s.troubles = u64::MAX), Err(InvalidSchedule::Time));
    assert_eq!(spoilt(|s| s.events[0] = at(3, Action::Read { at: 0 })), Err(InvalidSchedule::Machine(3)));
    let lose = |s: &mut Schedule| {
        s.events[0] = at(3, Action::OnAcknowledged { then: Box::new(Action::Lose { node: 99 }) });
    };
    assert_eq!(spoilt(lose), Err(InvalidSchedule::Machine(3)));
    let forever = |s: &mut Schedule| s.events[0] = at(3, Action::Pause { nodes: vec![1], lasts: u64::MAX });
    assert_eq!(spoilt(forever), Err(InvalidSchedule::Figure(3)));
    assert!(matches!(spoilt(|s| s.events.reverse()), Err(InvalidSchedule::Order(_))));
}

fn at(at: u64, action: Action) -> Event {
    Event { at, action }
}

/// The first failing schedule under a fault, cut down.
fn found(fault: Fault) -> (Schedule, Violation) {
    let (_, failed) = play(0..200, |seed| Schedule { fault: Some(fault), ..Schedule::generate(seed) });
    let seed = failed.iter().map(|(seed, _)| *seed).min().expect("some seed fails");
    let schedule = Schedule { fault: Some(fault), ..Schedule::generate(seed) };
    let broken = schedule.play().expect_err("it fails again");
    let (short, tries) = shrunk(&schedule).expect("it fails");
    let violation = short.play().expect_err("the short one fails").violation;
    println!(
        "{fault:?}: seed {seed}, {} events, {} after {tries} tries: {violation}",
        schedule.events.len(),
        short.events.len()
    );
    assert!(violation.is_like(&broken.violation), "{violation} in place of {}", broken.violation);
    // What holds of the short one holds of it alone: without the fault it plays to its end.
    assert_eq!(Schedule { fault: None, ..short.clone() }.play().err(), None);
    (short, violation)
}

#[test]
fn a_disk_that_lies_about_its_syncs_is_found_and_the_schedule_cut_down_to_a_few_events() {
    let (short, _) = found(Fault::LyingDisk);
    assert!(short.events.len() <= 8, "{:?}", short.events);
    let power =
        |event: &Event| matches!(event.action, Action::PowerOff { .. } | Action::OnAcknowledged { .. });
    assert!(short.events.iter().any(power), "{:?}", short.events);
}

#[test]
fn a_lost_disk_taken_for_a_first_start_is_found() {
    let (short, _) = found(Fault::FreshAfterWipe);
    assert!(short.events.len() <= 12, "{:?}", short.events);
    let lost = |action: &Action| matches!(action, Action::Wipe { .. } | Action::Lose { .. });
    let loses = |event: &Event| match &event.action {
        Action::OnAcknowledged { then } => lost(then),
        action => lost(action),
    };
    assert!(short.events.iter().any(loses), "{:?}", short.events);
}

#[test]
fn a_session_that_is_handed_a_configuration_without_a_quorum_read_is_found() {
    let (short, violation) = found(Fault::UnprovenSession);
    assert!(matches!(violation, Violation::OldSession { .. }), "{violation}");
    assert!(short.events.len() <= 6, "{:?}", short.events);
}
