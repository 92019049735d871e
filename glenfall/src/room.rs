//! Room for answers. A proxy holds answers whole, in its copies and until their clients have taken them; a few slow
//! clients of large objects would otherwise take all its memory. What is held counts from before it is read until the
//! last piece of it is dropped, wherever it has gone meanwhile.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Room is counted in pieces of this size.
const UNIT: usize = 1024;
/// While less than this part of the room is left, nothing new is asked for: what is under way needs it.
const RESERVED: usize = 8;

/// All the room that one process has for answers.
#[derive(Clone, Debug)]
pub struct Room {
    left: Arc<Semaphore>,
    all: usize,
}

/// Room taken for one answer.
#[derive(Debug)]
pub struct Held {
    permit: OwnedSemaphorePermit,
    left: Arc<Semaphore>,
}

struct Owner {
    body: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn units(bytes: usize) -> u32 {
    bytes.div_ceil(UNIT).try_into().unwrap_or(u32::MAX)
}

impl Room {
    pub fn new(bytes: usize) -> Self {
        let all = (bytes / UNIT).clamp(1, Semaphore::MAX_PERMITS);
        Room { left: Arc::new(Semaphore::new(all)), all }
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
    pub async fn hold(&self, bytes: usize) -> Option<Held> {
        let units = units(bytes);
        if units as usize > self.all {
            return None;
        }
        let left = Arc::clone(&self.left);
        let permit = Arc::clone(&self.left).acquire_many_owned(units).await.ok()?;
        Some(Held { permit, left })
    }
}

impl Held {
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tokio::time::timeout;

    #[tokio::test(start_paused = true)]
    async fn room_is_held_until_the_last_piece_of_an_answer_is_dropped() {
        let room = Room::new(100 * UNIT);
        let body = room.hold(90 * UNIT).await.expect("room").keeping(Bytes::from(vec![7; 90 * UNIT]));
        assert_eq!((room.held(), room.is_free()), (90 * UNIT, false));
        let piece = body.slice(5..9);
        drop(body);
        assert_eq!((&piece[..], room.held()), (&[7; 4][..], 90 * UNIT));
        // Who comes meanwhile waits, and gets it when the piece goes.
        let wait = timeout(Duration::from_secs(1), room.hold(20 * UNIT));
        assert!(wait.await.is_err());
        let (held, ()) = tokio::join!(room.hold(20 * UNIT), async { drop(piece) });
        assert_eq!(held.expect("room").bytes(), 20 * UNIT);
        assert_eq!((room.held(), room.is_free()), (0, true));
    }

    #[tokio::test(start_paused = true)]
    async fn what_has_no_stated_length_grows_and_more_than_all_is_refused_at_once() {
        let room = Room::new(10 * UNIT);
        assert!(room.hold(10 * UNIT + 1).await.is_none());
        let mut held = room.hold(1).await.expect("room");
        held.grow(3 * UNIT + 1).await.expect("room");
        assert_eq!((held.bytes(), room.held()), (4 * UNIT, 4 * UNIT));
        assert!(timeout(Duration::from_secs(1), held.grow(11 * UNIT)).await.is_err());
        drop(held.keeping(Bytes::new()));
        assert_eq!(room.held(), 0);
    }
}
