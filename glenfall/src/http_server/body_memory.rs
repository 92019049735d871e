//! The memory budget of request bodies, over all connections of a server.

use std::cell::Cell;

/// The memory that request bodies may use.
pub struct BodyMemory {
    capacity: usize,
    reserved: Cell<usize>,
}

/// The budget has not enough memory left.
#[derive(Debug, thiserror::Error)]
#[error("request bodies in flight use all of the memory for bodies")]
pub struct BodyMemoryExhausted;

impl BodyMemory {
    /// A budget of this many bytes.
    pub fn new(capacity: usize) -> Self {
        BodyMemory { capacity, reserved: Cell::new(0) }
    }

    /// The budget in bytes: no body can be larger.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// A reservation of no bytes yet.
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
    /// Sets the reservation to this many bytes in total. On failure it stays as it was.
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
