//! Runs thousands of schedules of all kinds, and verifies that injected bugs are detected. The environment variable
//! `SCHEDULES` sets the number of random schedules, and `AIMED_SCHEDULES` that of targeted ones. A failing seed replays
//! with `glenfall-lab schedules`.

use glenfall_control_plane_sim::{
    shrink, Action, Coverage, Event, InjectedBug, InvalidSchedule, Schedule, Violation,
};

/// A schedule with one event of each kind, in the file format of earlier versions: the names in it must not change.
const SCHEDULE_FILE: &str = include_str!("fixtures/schedule.json");

/// The combined results of the schedules of several seeds.
#[derive(Default)]
struct Runs {
    coverage: Coverage,
    failed: Vec<(u64, Violation)>,
}

impl Runs {
    fn add(mut self, other: Runs) -> Runs {
        self.coverage += other.coverage;
        self.failed.extend(other.failed);
        self
    }
}

/// Runs the schedules of a range of seeds, with one thread for each processor.
fn run_all(seeds: std::ops::Range<u64>, schedule: impl Fn(u64) -> Schedule + Sync) -> Runs {
    let threads = std::thread::available_parallelism().map_or(1, |threads| threads.get() as u64);
    let run_every_nth = |first: u64| {
        let mut runs = Runs::default();
        for seed in (seeds.start + first..seeds.end).step_by(threads as usize) {
            match schedule(seed).run() {
                Ok(coverage) => runs.coverage += coverage,
                Err(failed) => runs.failed.push((seed, failed.violation)),
            }
        }
        runs
    };
    std::thread::scope(|scope| {
        let run_every_nth = &run_every_nth;
        let workers: Vec<_> = (0..threads).map(|first| scope.spawn(move || run_every_nth(first))).collect();
        let results = workers.into_iter().map(|worker| worker.join().expect("a worker thread panicked"));
        results.fold(Runs::default(), Runs::add)
    })
}

fn count_from_environment(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn all_invariants_hold_in_thousands_of_random_schedules() {
    let count = count_from_environment("SCHEDULES").unwrap_or(4000);
    let Runs { coverage, failed } = run_all(0..count, Schedule::generate);
    println!("{count} schedules: {coverage:?}");
    assert_eq!(failed, [], "seeds that failed");
    let each = [
        coverage.changes,
        coverage.reads,
        coverage.refusals,
        coverage.repeats,
        coverage.sessions,
        coverage.views,
    ];
    assert!(each.iter().all(|sum| *sum > 2 * count), "{coverage:?} in {count} schedules");
    assert!(
        coverage.member_changes + coverage.requested_voter_changes > count / 4,
        "{coverage:?} in {count} schedules"
    );
}

#[test]
fn all_invariants_hold_in_targeted_schedules() {
    let count = count_from_environment("AIMED_SCHEDULES").unwrap_or(1600);
    let Runs { coverage, failed } = run_all(0..count, Schedule::targeted);
    println!("{count} targeted schedules: {coverage:?}");
    assert_eq!(failed, [], "seeds that failed");
    let each = [
        coverage.changes,
        coverage.reads,
        coverage.refusals,
        coverage.repeats,
        coverage.sessions,
        coverage.views,
    ];
    assert!(each.iter().all(|sum| *sum > 5 * count), "{coverage:?} in {count} schedules");
    assert!(coverage.member_changes > count / 2, "{coverage:?} in {count} schedules");
}

#[test]
fn a_schedule_replays_exactly_and_so_does_a_subset_of_its_events() {
    let schedules = (0..40).flat_map(|seed| [Schedule::generate(seed), Schedule::targeted(seed)]);
    for schedule in schedules {
        let seed = schedule.seed;
        assert_eq!(schedule.check(), Ok(()), "seed {seed}");
        assert_eq!(schedule.run(), schedule.run(), "seed {seed}");
        let events: Vec<Event> = schedule.events.iter().skip(1).step_by(2).cloned().collect();
        let partial = Schedule { events, ..schedule };
        assert_eq!(partial.run(), partial.run(), "seed {seed}, every second event");
        let read: Schedule = serde_json::from_str(&serde_json::to_string(&partial).unwrap()).unwrap();
        assert_eq!((read.check(), &read), (Ok(()), &partial), "seed {seed}, written and read");
    }
}

#[test]
fn a_schedule_file_keeps_its_text() {
    let schedule: Schedule = serde_json::from_str(SCHEDULE_FILE).expect("the file is not a schedule");
    assert_eq!(schedule.check(), Ok(()));
    let text = serde_json::to_string_pretty(&schedule).expect("the schedule can't be serialized");
    assert_eq!(text, SCHEDULE_FILE.trim_end());
}

#[test]
fn an_invalid_schedule_file_is_rejected() {
    let check_changed = |change: fn(&mut Schedule)| {
        let mut schedule = Schedule::generate(1);
        change(&mut schedule);
        schedule.check()
    };
    assert_eq!(check_changed(|s| s.size.losses = 0), Err(InvalidSchedule::Size));
    assert_eq!(check_changed(|s| s.faults_end_at = u64::MAX), Err(InvalidSchedule::Time));
    assert_eq!(
        check_changed(|s| s.events[0] = event_at(3, Action::Read { receiver: 0 })),
        Err(InvalidSchedule::Machine(3))
    );
    let lose = |s: &mut Schedule| {
        s.events[0] = event_at(3, Action::OnAcknowledged { then: Box::new(Action::Lose { node: 99 }) });
    };
    assert_eq!(check_changed(lose), Err(InvalidSchedule::Machine(3)));
    let endless_pause =
        |s: &mut Schedule| s.events[0] = event_at(3, Action::Pause { nodes: vec![1], duration: u64::MAX });
    assert_eq!(check_changed(endless_pause), Err(InvalidSchedule::FieldValue(3)));
    assert!(matches!(check_changed(|s| s.events.reverse()), Err(InvalidSchedule::Order(_))));
}

fn event_at(at: u64, action: Action) -> Event {
    Event { at, action }
}

/// Returns the first generated schedule that detects a bug, shrunk, and the invariant that it violates.
fn detect(bug: InjectedBug) -> (Schedule, Violation) {
    let with_bug = |seed| Schedule { injected_bug: Some(bug), ..Schedule::generate(seed) };
    let failed = run_all(0..200, with_bug).failed;
    let seed = failed.iter().map(|(seed, _)| *seed).min().expect("no seed detects the bug");
    let schedule = with_bug(seed);
    let failed_run = schedule.run().expect_err("the schedule does not fail again");
    let shrunk = shrink(&schedule).expect("the schedule does not fail when it is shrunk");
    let short = shrunk.schedule;
    let violation = short.run().expect_err("the shrunk schedule does not fail").violation;
    println!(
        "{bug:?}: seed {seed}, {} events, {} after {} attempts: {violation}",
        schedule.events.len(),
        short.events.len(),
        shrunk.attempts
    );
    assert!(
        violation.is_same_kind(&failed_run.violation),
        "the shrunk schedule violates another invariant: {violation}, instead of {}",
        failed_run.violation
    );
    // The bug is the cause: without it, the shrunk schedule violates nothing.
    assert_eq!(Schedule { injected_bug: None, ..short.clone() }.run().err(), None);
    (short, violation)
}

#[test]
fn a_disk_that_reports_syncs_too_early_is_detected_and_the_schedule_shrunk_to_a_few_events() {
    let (short, _) = detect(InjectedBug::EarlySyncReport);
    assert!(short.events.len() <= 8, "{:?}", short.events);
    let cuts_power =
        |event: &Event| matches!(event.action, Action::PowerOff { .. } | Action::OnAcknowledged { .. });
    assert!(short.events.iter().any(cuts_power), "{:?}", short.events);
}

#[test]
fn a_wiped_disk_mistaken_for_a_first_start_is_detected() {
    let (short, _) = detect(InjectedBug::FreshAfterWipe);
    assert!(short.events.len() <= 12, "{:?}", short.events);
    let loses_disk = |action: &Action| matches!(action, Action::Wipe { .. } | Action::Lose { .. });
    let event_loses_disk = |event: &Event| match &event.action {
        Action::OnAcknowledged { then } => loses_disk(then),
        action => loses_disk(action),
    };
    assert!(short.events.iter().any(event_loses_disk), "{:?}", short.events);
}

#[test]
fn a_session_served_without_a_quorum_read_is_detected() {
    let (short, violation) = detect(InjectedBug::SessionWithoutQuorumRead);
    assert!(matches!(violation, Violation::StaleSession { .. }), "{violation}");
    assert!(short.events.len() <= 6, "{:?}", short.events);
}
