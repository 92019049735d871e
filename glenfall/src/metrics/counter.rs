//! Counters for `status`. A counter is used by one thread only.

use std::cell::Cell;

/// Counts events since the start of the process.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one event.
    pub fn increment(&self) {
        self.increment_by(1);
    }

    /// Adds this many events.
    pub fn increment_by(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }

    /// The number of events so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}
