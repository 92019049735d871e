//! Backlogs between threads, where one of them is stopped between any two steps of the other.

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::thread;

use glenfall::cache::backlog::{Backlog, Reserved, SharedCount};

const MOST: usize = 100;

type Step = Box<dyn FnOnce() + Send>;

/// A count whose reader is stopped after it has read, while the other side does something.
#[derive(Default)]
struct Stopped {
    count: AtomicUsize,
    meanwhile: Mutex<Option<Step>>,
}

impl SharedCount for Stopped {
    fn load(&self) -> usize {
        let read = SharedCount::load(&self.count);
        let step = self.meanwhile.lock().expect("no panic in between").take();
        if let Some(step) = step {
            step();
        }
        read
    }

    fn replace(&self, read: usize, by: usize) -> Result<(), usize> {
        SharedCount::replace(&self.count, read, by)
    }

    fn subtract(&self, units: usize) {
        SharedCount::subtract(&self.count, units);
    }
}

/// Reserves units while the other side, in the middle of it, does something.
fn reserve_beside(
    backlog: &Backlog<Stopped>,
    count: &Stopped,
    units: usize,
    step: Step,
) -> Option<Reserved<Stopped>> {
    *count.meanwhile.lock().expect("no panic in between") = Some(step);
    let reserved = backlog.reserve(units);
    assert!(count.meanwhile.lock().expect("no panic in between").is_none(), "it was not stopped");
    reserved
}

fn stopped() -> (Backlog<Stopped>, Arc<Stopped>) {
    let count = Arc::new(Stopped::default());
    (Backlog::counted_by(Arc::clone(&count), MOST), count)
}

#[test]
fn what_another_thread_reserves_in_between_is_not_overlooked() {
    let (backlog, count) = stopped();
    let others = Arc::new(Mutex::new(None));
    // Each alone has room, both together have not.
    let (other, held) = (backlog.clone(), Arc::clone(&others));
    let step = move || *held.lock().expect("no panic in between") = other.reserve(60);
    let reserved = reserve_beside(&backlog, &count, 60, Box::new(step));
    let others = others.lock().expect("no panic in between");
    assert!(reserved.is_none() && others.is_some(), "who came first alone");
    assert_eq!(backlog.waiting(), 60);
}

#[test]
fn what_another_thread_frees_in_between_is_not_forgotten() {
    let (backlog, count) = stopped();
    let waiting = backlog.reserve(40).expect("room");
    let reserved = reserve_beside(&backlog, &count, 60, Box::new(move || drop(waiting)));
    assert_eq!(backlog.waiting(), 60);
    drop(reserved.expect("room"));
    assert_eq!(backlog.waiting(), 0);
}

#[test]
fn threads_that_take_turns_at_any_point_never_exceed_it_and_leave_nothing_behind() {
    let backlog = Backlog::new(MOST);
    thread::scope(|scope| {
        for number in 0..4 {
            let backlog = backlog.clone();
            scope.spawn(move || {
                for turn in 0..5000 {
                    let reserved = backlog.reserve(30 + (turn + number) % 30);
                    thread::yield_now();
                    assert!(backlog.waiting() <= MOST);
                    drop(reserved);
                    thread::yield_now();
                }
            });
        }
    });
    assert_eq!(backlog.waiting(), 0);
}
