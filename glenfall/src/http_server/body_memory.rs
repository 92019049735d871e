//! The memory budget for request bodies, shared by all connections of a server.

use std::cell::Cell;

/// The budget of memory that request bodies may use.
pub struct BodyMemory {
    capacity: usize,
    reserved: Cell<usize>,
}

/// The reservation exceeds the memory that is left in the budget.
#[derive(Debug, thiserror::Error)]
#[error("not enough memory left for the body: it is used by the bodies of other requests")]
pub struct BodyMemoryExhausted;

impl BodyMemory {
    /// A budget of this many bytes.
    pub fn new(capacity: usize) -> Self {
        BodyMemory { capacity, reserved: Cell::new(0) }
    }

    /// The size of the budget in bytes. No body can be larger.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// A reservation of 0 bytes, which can be resized.
    pub fn reservation(&self) -> BodyReservation<'_> {
        BodyReservation { memory: self, bytes: 0 }
    }
}

/// The memory reserved for one body. Dropping it returns the memory.
pub struct BodyReservation<'a> {
    memory: &'a BodyMemory,
    bytes: usize,
}

impl BodyReservation<'_> {
    /// Sets the reservation to this many bytes in total. On failure it is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BodyMemoryExhausted> {
        let reserved_by_others = self.memory.reserved.get() - self.bytes;
        let total = reserved_by_others + bytes;
        if total > self.memory.capacity {
            return Err(BodyMemoryExhausted);
        }
        self.memory.reserved.set(total);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.memory.reserved.set(self.memory.reserved.get() - self.bytes);
    }
}
