//! What waits in a queue between two threads, bounded in bytes or entries. Whoever queues something reserves its units
//! first, and the reservation travels with it: they are free again when the other thread drops it, never before they were
//! taken.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The count of a backlog's units, which threads share.
pub trait SharedCount {
    /// The count as it is now.
    fn load(&self) -> usize;
    /// Replaces a count that is still what it was when it was read; else gives the count as it is now.
    fn replace(&self, read: usize, by: usize) -> Result<(), usize>;
    /// Takes units off.
    fn subtract(&self, units: usize);
}

impl SharedCount for AtomicUsize {
    fn load(&self) -> usize {
        AtomicUsize::load(self, Ordering::Acquire)
    }

    fn replace(&self, read: usize, by: usize) -> Result<(), usize> {
        self.compare_exchange(read, by, Ordering::AcqRel, Ordering::Acquire).map(drop)
    }

    fn subtract(&self, units: usize) {
        self.fetch_sub(units, Ordering::AcqRel);
    }
}

/// The units that wait, and how many may.
pub struct Backlog<C: SharedCount = AtomicUsize> {
    waiting: Arc<C>,
    most: usize,
}

impl Backlog {
    /// An empty one in which so many units may wait.
    pub fn new(most: usize) -> Backlog {
        Backlog::counted_by(Arc::default(), most)
    }
}

impl<C: SharedCount> Clone for Backlog<C> {
    fn clone(&self) -> Self {
        Backlog { waiting: Arc::clone(&self.waiting), most: self.most }
    }
}

impl<C: SharedCount> Backlog<C> {
    /// The same with a count of another kind.
    pub fn counted_by(waiting: Arc<C>, most: usize) -> Self {
        Backlog { waiting, most }
    }

    /// Units that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load()
    }

    /// Reserves units; `None` where more would wait than may.
    pub fn reserve(&self, units: usize) -> Option<Reserved<C>> {
        let mut waiting = self.waiting.load();
        loop {
            let more = waiting.checked_add(units).filter(|more| *more <= self.most)?;
            match self.waiting.replace(waiting, more) {
                Ok(()) => return Some(Reserved { units, waiting: Arc::clone(&self.waiting) }),
                Err(now) => waiting = now,
            }
        }
    }
}

/// Units of a backlog, until this is dropped.
pub struct Reserved<C: SharedCount = AtomicUsize> {
    units: usize,
    waiting: Arc<C>,
}

impl<C: SharedCount> Drop for Reserved<C> {
    fn drop(&mut self) {
        self.waiting.subtract(self.units);
    }
}
