//! Reservations in a backlog that threads share, also where another thread runs between two steps of one reservation.

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::thread;

use glenfall::cache::backlog::{Backlog, Reservation, SharedCount};

const BACKLOG_CAPACITY: usize = 100;

type Step = Box<dyn FnOnce() + Send>;

/// A count that runs a step of another thread after it was read, before the reader gets the value.
#[derive(Default)]
struct InterruptedCount {
    count: AtomicUsize,
    interleaved_step: Mutex<Option<Step>>,
}

impl SharedCount for InterruptedCount {
    fn load(&self) -> usize {
        let read = SharedCount::load(&self.count);
        let step = self.interleaved_step.lock().expect("a lock that is not poisoned").take();
        if let Some(step) = step {
            step();
        }
        read
    }

    fn compare_exchange(&self, current: usize, new: usize) -> Result<(), usize> {
        SharedCount::compare_exchange(&self.count, current, new)
    }

    fn subtract(&self, units: usize) {
        SharedCount::subtract(&self.count, units);
    }
}

/// Reserves units while another thread runs `step` between the read of the count and its update.
fn reserve_interrupted(
    backlog: &Backlog<InterruptedCount>,
    count: &InterruptedCount,
    units: usize,
    step: Step,
) -> Option<Reservation<InterruptedCount>> {
    *count.interleaved_step.lock().expect("a lock that is not poisoned") = Some(step);
    let reserved = backlog.reserve(units);
    assert!(
        count.interleaved_step.lock().expect("a lock that is not poisoned").is_none(),
        "the step has not run"
    );
    reserved
}

fn interrupted_backlog() -> (Backlog<InterruptedCount>, Arc<InterruptedCount>) {
    let count = Arc::new(InterruptedCount::default());
    (Backlog::with_count(Arc::clone(&count), BACKLOG_CAPACITY), count)
}

#[test]
fn a_concurrent_reservation_is_not_overlooked() {
    let (backlog, count) = interrupted_backlog();
    let other_reservation = Arc::new(Mutex::new(None));
    // Each of the two fits, both together do not.
    let (other_backlog, result) = (backlog.clone(), Arc::clone(&other_reservation));
    let step = move || *result.lock().expect("a lock that is not poisoned") = other_backlog.reserve(60);
    let reserved = reserve_interrupted(&backlog, &count, 60, Box::new(step));
    let other_reservation = other_reservation.lock().expect("a lock that is not poisoned");
    assert!(reserved.is_none() && other_reservation.is_some(), "only the first of the two is admitted");
    assert_eq!(backlog.queued(), 60);
}

#[test]
fn a_concurrent_release_is_not_lost() {
    let (backlog, count) = interrupted_backlog();
    let first = backlog.reserve(40).expect("it fits");
    let reserved = reserve_interrupted(&backlog, &count, 60, Box::new(move || drop(first)));
    assert_eq!(backlog.queued(), 60);
    drop(reserved.expect("it fits"));
    assert_eq!(backlog.queued(), 0);
}

#[test]
fn concurrent_threads_never_exceed_the_capacity_and_release_everything() {
    let backlog = Backlog::new(BACKLOG_CAPACITY);
    thread::scope(|scope| {
        for number in 0..4 {
            let backlog = backlog.clone();
            scope.spawn(move || {
                for round in 0..5000 {
                    let reserved = backlog.reserve(30 + (round + number) % 30);
                    thread::yield_now();
                    assert!(backlog.queued() <= BACKLOG_CAPACITY);
                    drop(reserved);
                    thread::yield_now();
                }
            });
        }
    });
    assert_eq!(backlog.queued(), 0);
}
