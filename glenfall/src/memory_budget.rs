//! A memory budget for responses. A proxy holds complete responses in memory, in its cache and until its clients have
//! received them. Without a bound, a few slow clients of large objects could use up all memory. Memory is reserved
//! before a response is read, and returned once the last slice of its body is dropped, whichever component holds it.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory is reserved in multiples of this many bytes.
pub const UNIT_BYTES: usize = 1024;
/// The divisor of the budget that gives the reserve for responses in flight: no new request is sent while only an eighth
/// of the budget or less is free.
const RESERVE_DIVISOR: usize = 8;

/// The memory that one process has for responses.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// One permit for each unit that is free.
    free_units: Arc<Semaphore>,
    total_units: usize,
}

/// The memory reserved for one response. Dropping it returns the memory to the budget.
#[derive(Debug)]
pub struct Reservation {
    permit: OwnedSemaphorePermit,
    free_units: Arc<Semaphore>,
}

/// A body together with its reservation, which is dropped with the last slice of the body.
struct AccountedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for AccountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// The number of units that this many bytes need.
fn units(bytes: usize) -> u32 {
    bytes.div_ceil(UNIT_BYTES).try_into().unwrap_or(u32::MAX)
}

impl MemoryBudget {
    /// A budget of this many bytes, at least one unit.
    pub fn new(bytes: usize) -> Self {
        let total_units = (bytes / UNIT_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        MemoryBudget { free_units: Arc::new(Semaphore::new(total_units)), total_units }
    }

    /// Whether there is memory for new requests, beyond the reserve for responses in flight.
    pub fn has_capacity(&self) -> bool {
        self.free_units.available_permits() > self.total_units / RESERVE_DIVISOR
    }

    /// How many bytes are reserved, over all reservations.
    pub fn reserved_bytes(&self) -> usize {
        let free_units = self.free_units.available_permits().min(self.total_units);
        (self.total_units - free_units) * UNIT_BYTES
    }

    /// Waits until this many bytes are free, and reserves them. Calls are served in the order in which they were made.
    /// `None` if the total budget is smaller than that.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let units = units(bytes);
        if units as usize > self.total_units {
            return None;
        }
        let free_units = Arc::clone(&self.free_units);
        let permit = Arc::clone(&free_units).acquire_many_owned(units).await.ok()?;
        Some(Reservation { permit, free_units })
    }
}

impl Reservation {
    /// How many bytes this reservation holds; a multiple of [`UNIT_BYTES`].
    pub fn bytes(&self) -> usize {
        self.permit.num_permits() * UNIT_BYTES
    }

    /// Waits until the reservation can grow to this many bytes in total. If the budget is smaller this never returns, so
    /// the caller has to set a timeout. `None` only if the budget was closed, which does not happen.
    pub async fn grow_to(&mut self, bytes: usize) -> Option<()> {
        let additional_units = units(bytes).saturating_sub(units(self.bytes()));
        let additional = Arc::clone(&self.free_units).acquire_many_owned(additional_units).await.ok()?;
        self.permit.merge(additional);
        Some(())
    }

    /// Attaches the reservation to the body that it was made for. The memory is returned once the last slice of the
    /// body is dropped, or at once if the body is empty.
    pub fn attach_to(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(AccountedBody { body, _reservation: self })
    }
}
