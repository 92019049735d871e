//! MemoryBudget for answers. A proxy holds answers whole, in its copies and until their clients have taken them; a few slow
//! clients of large objects would otherwise take all its memory. What is held counts from before it is read until the
//! last piece of it is dropped, wherever it has gone meanwhile.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// MemoryBudget is counted in pieces of this size.
pub const UNIT: usize = 1024;
/// While less than this part of the room is left, nothing new is asked for: what is under way needs it.
const RESERVED: usize = 8;

/// All the room that one process has for answers.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    left: Arc<Semaphore>,
    all: usize,
}

/// MemoryBudget taken for one answer.
#[derive(Debug)]
pub struct Reservation {
    permit: OwnedSemaphorePermit,
    left: Arc<Semaphore>,
}

struct Owner {
    body: Bytes,
    _held: Reservation,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn units(bytes: usize) -> u32 {
    bytes.div_ceil(UNIT).try_into().unwrap_or(u32::MAX)
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        let all = (bytes / UNIT).clamp(1, Semaphore::MAX_PERMITS);
        MemoryBudget { left: Arc::new(Semaphore::new(all)), all }
    }

    /// Whether there is room for more than what is under way.
    pub fn is_free(&self) -> bool {
        self.left.available_permits() > self.all / RESERVED
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        (self.all - self.left.available_permits().min(self.all)) * UNIT
    }

    /// Waits until there is room for so much, those who came first before others. `None` where there is not as much
    /// at all.
    pub async fn hold(&self, bytes: usize) -> Option<Reservation> {
        let units = units(bytes);
        if units as usize > self.all {
            return None;
        }
        let left = Arc::clone(&self.left);
        let permit = Arc::clone(&self.left).acquire_many_owned(units).await.ok()?;
        Some(Reservation { permit, left })
    }
}

impl Reservation {
    /// How much is reserved.
    pub fn bytes(&self) -> usize {
        self.permit.num_permits() * UNIT
    }

    /// Waits for room for so much in all.
    pub async fn grow(&mut self, bytes: usize) -> Option<()> {
        let more = units(bytes).saturating_sub(units(self.bytes()));
        self.permit.merge(Arc::clone(&self.left).acquire_many_owned(more).await.ok()?);
        Some(())
    }

    /// The body that the room was taken for; the room is free again once nobody holds any of it.
    pub fn keeping(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(Owner { body, _held: self })
    }
}
