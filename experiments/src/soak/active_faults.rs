//! Counts active faults of one kind, several of which may overlap.

use std::cell::Cell;
use std::rc::Rc;

/// The number of active faults of one kind. Clones share the count.
#[derive(Clone, Default)]
pub struct ActiveFaults(Rc<Cell<u32>>);

impl ActiveFaults {
    /// Begins a fault, which ends when the returned guard is dropped.
    pub fn begin(&self) -> ActiveFault {
        self.0.set(self.0.get() + 1);
        ActiveFault(Rc::clone(&self.0))
    }

    /// Whether at least one fault is active.
    pub fn any_active(&self) -> bool {
        self.0.get() > 0
    }
}

/// Guard of an active fault, which ends when the guard is dropped.
pub struct ActiveFault(Rc<Cell<u32>>);

impl Drop for ActiveFault {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
