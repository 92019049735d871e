//! Changes of the file, queued for the writer thread.

use bytes::Bytes;

use super::clock::Timestamp;
use crate::cache::backlog::Reservation;

/// A change of one or several rows.
pub enum Change {
    /// Writes a row, replacing the one with the same id.
    Put {
        /// The row's primary key.
        id: String,
        /// The encoded row head: key, headers and labels.
        head: Vec<u8>,
        /// The complete object.
        body: Bytes,
        /// When its request was sent, in milliseconds of the monotonic clock.
        requested_at_ms: i64,
    },
    /// Sets the request time of a response that was revalidated and has not changed.
    Revalidate {
        /// The row's primary key.
        id: String,
        /// When the revalidating request was sent, in milliseconds of the monotonic clock.
        requested_at_ms: i64,
    },
    /// Removes rows.
    Remove(Vec<String>),
}

impl Change {
    fn row_count(&self) -> usize {
        match self {
            Change::Put { .. } | Change::Revalidate { .. } => 1,
            Change::Remove(ids) => ids.len(),
        }
    }
}

/// A change in the queue. It keeps its reservations in the backlogs until it is dropped.
pub struct QueuedChange {
    change: Change,
    queued_at: Timestamp,
    _rows: Reservation,
    _body: Option<Reservation>,
}

impl QueuedChange {
    /// A change that is queued now.
    pub fn new(change: Change, rows: Reservation, body: Option<Reservation>) -> Self {
        QueuedChange { change, queued_at: Timestamp::now(), _rows: rows, _body: body }
    }

    /// The change to write.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// When it was added to the queue, by both clocks.
    pub fn queued_at(&self) -> Timestamp {
        self.queued_at
    }
}

/// Total number of rows that the changes write or remove.
pub fn row_count(changes: &[QueuedChange]) -> usize {
    changes.iter().map(|queued| queued.change.row_count()).sum()
}
