//! Bounds on a queue between two threads, in bytes or entries. The sender reserves units before it queues something,
//! and the reservation travels with the queued item: the units become free when the receiver drops it, never before it
//! was received.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The number of queued units of a backlog, shared between threads.
pub trait SharedCount {
    /// Returns the current count.
    fn load(&self) -> usize;
    /// Replaces the count if it is still `current`; otherwise returns the actual count.
    fn compare_exchange(&self, current: usize, new: usize) -> Result<(), usize>;
    /// Subtracts units that were added to the count before.
    fn subtract(&self, units: usize);
}

impl SharedCount for AtomicUsize {
    fn load(&self) -> usize {
        AtomicUsize::load(self, Ordering::Acquire)
    }

    fn compare_exchange(&self, current: usize, new: usize) -> Result<(), usize> {
        AtomicUsize::compare_exchange(self, current, new, Ordering::AcqRel, Ordering::Acquire).map(drop)
    }

    fn subtract(&self, units: usize) {
        self.fetch_sub(units, Ordering::AcqRel);
    }
}

/// The number of units that are queued, and their maximum.
pub struct Backlog<C: SharedCount = AtomicUsize> {
    queued: Arc<C>,
    capacity: usize,
}

impl Backlog {
    /// An empty backlog of at most `capacity` units.
    pub fn new(capacity: usize) -> Backlog {
        Backlog::with_count(Arc::default(), capacity)
    }
}

impl<C: SharedCount> Clone for Backlog<C> {
    fn clone(&self) -> Self {
        Backlog { queued: Arc::clone(&self.queued), capacity: self.capacity }
    }
}

impl<C: SharedCount> Backlog<C> {
    /// A backlog that uses the caller's implementation of the count.
    pub fn with_count(queued: Arc<C>, capacity: usize) -> Self {
        Backlog { queued, capacity }
    }

    /// Number of units that are queued.
    pub fn queued(&self) -> usize {
        self.queued.load()
    }

    /// Reserves units; `None` if the capacity would be exceeded.
    pub fn reserve(&self, units: usize) -> Option<Reservation<C>> {
        let mut queued = self.queued.load();
        loop {
            let sum = queued.checked_add(units).filter(|sum| *sum <= self.capacity)?;
            match self.queued.compare_exchange(queued, sum) {
                Ok(()) => return Some(Reservation { units, queued: Arc::clone(&self.queued) }),
                Err(actual) => queued = actual,
            }
        }
    }
}

/// Reserved units of a backlog, which are free again when this is dropped.
pub struct Reservation<C: SharedCount = AtomicUsize> {
    units: usize,
    queued: Arc<C>,
}

impl<C: SharedCount> Drop for Reservation<C> {
    fn drop(&mut self) {
        self.queued.subtract(self.units);
    }
}
