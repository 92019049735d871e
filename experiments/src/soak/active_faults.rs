//! A counter of faults of one kind that are active: several may overlap.

use std::cell::Cell;
use std::rc::Rc;

/// How many faults of a kind are active.
#[derive(Clone, Default)]
pub struct ActiveFaults(Rc<Cell<u32>>);

impl ActiveFaults {
    /// Begins a fault, which ends when the guard is dropped.
    pub fn begin(&self) -> ActiveFault {
        self.0.set(self.0.get() + 1);
        ActiveFault(Rc::clone(&self.0))
    }

    /// Whether any fault of the kind is active.
    pub fn any(&self) -> bool {
        self.0.get() > 0
    }
}

/// A fault that ends when this is dropped.
pub struct ActiveFault(Rc<Cell<u32>>);

impl Drop for ActiveFault {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
