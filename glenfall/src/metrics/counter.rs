//! Counters for `status`; one thread adds to them.

use std::cell::Cell;

/// Counts something since the start of the process.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Counts so many.
    pub fn add_all(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }

    /// How many were counted.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}
