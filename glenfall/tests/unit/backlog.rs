//! Backlogs between threads, where another thread runs between any two steps of the first.

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::thread;

use glenfall::cache::backlog::{Backlog, Reservation, SharedCount};

const CAPACITY: usize = 100;

type Step = Box<dyn FnOnce() + Send>;

/// A count whose reader is interrupted after it has read, while the other thread does something.
#[derive(Default)]
struct InterruptedCount {
    count: AtomicUsize,
    meanwhile: Mutex<Option<Step>>,
}

impl SharedCount for InterruptedCount {
    fn load(&self) -> usize {
        let read = SharedCount::load(&self.count);
        let step = self.meanwhile.lock().expect("no panic in between").take();
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

/// Reserves units while the other thread, in the middle of it, does something.
fn reserve_interrupted(
    backlog: &Backlog<InterruptedCount>,
    count: &InterruptedCount,
    units: usize,
    step: Step,
) -> Option<Reservation<InterruptedCount>> {
    *count.meanwhile.lock().expect("no panic in between") = Some(step);
    let reserved = backlog.reserve(units);
    assert!(count.meanwhile.lock().expect("no panic in between").is_none(), "it was not interrupted");
    reserved
}

fn interrupted_backlog() -> (Backlog<InterruptedCount>, Arc<InterruptedCount>) {
    let count = Arc::new(InterruptedCount::default());
    (Backlog::with_count(Arc::clone(&count), CAPACITY), count)
}

#[test]
fn a_concurrent_reservation_is_not_overlooked() {
    let (backlog, count) = interrupted_backlog();
    let others = Arc::new(Mutex::new(None));
    // Each of the two fits, both together do not.
    let (other, held) = (backlog.clone(), Arc::clone(&others));
    let step = move || *held.lock().expect("no panic in between") = other.reserve(60);
    let reserved = reserve_interrupted(&backlog, &count, 60, Box::new(step));
    let others = others.lock().expect("no panic in between");
    assert!(reserved.is_none() && others.is_some(), "only the one that came first");
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
    let backlog = Backlog::new(CAPACITY);
    thread::scope(|scope| {
        for number in 0..4 {
            let backlog = backlog.clone();
            scope.spawn(move || {
                for turn in 0..5000 {
                    let reserved = backlog.reserve(30 + (turn + number) % 30);
                    thread::yield_now();
                    assert!(backlog.queued() <= CAPACITY);
                    drop(reserved);
                    thread::yield_now();
                }
            });
        }
    });
    assert_eq!(backlog.queued(), 0);
}
