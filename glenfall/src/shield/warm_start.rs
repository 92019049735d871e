//! Stored responses that were on disk when the process started. They are used only once they have been read and control
//! has published all purges from before the start; until then, purges are applied to them here.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use glenfall_control_plane::messages::AgedPurge;
use tokio::time::Instant;

use crate::cache::disk::StoredRow;
use crate::cache::{Cache, ObjectKey, StoredResponse};

/// The stored responses found on disk, until they are moved to the cache.
pub(super) struct WarmStart {
    /// `None` without a disk cache, and once the responses are in use.
    responses: RefCell<Option<Cache>>,
    is_loaded: Cell<bool>,
    /// Purges received while the disk was being read.
    purges_while_loading: RefCell<Vec<AgedPurge>>,
    /// Whether control has published all purges from before this process began.
    is_caught_up: Cell<bool>,
}

impl WarmStart {
    /// An empty warm start. Responses are loaded only if there is a disk cache, up to `max_bytes`.
    pub fn new(has_disk: bool, max_bytes: usize) -> Self {
        WarmStart {
            responses: RefCell::new(has_disk.then(|| Cache::new(max_bytes))),
            is_loaded: Cell::new(false),
            purges_while_loading: RefCell::default(),
            is_caught_up: Cell::new(false),
        }
    }

    /// Stores what was read from disk, and applies the purges received meanwhile. Returns the keys of the rows that are
    /// not used: they have to be removed from the disk, where no later purge would find them.
    pub fn load(&self, rows: Vec<StoredRow>) -> Vec<ObjectKey> {
        let now = Instant::now();
        let stored = rows.len();
        let mut unused = Vec::new();
        if let Some(responses) = self.responses.borrow_mut().as_mut() {
            for row in rows {
                let requested_at = now.checked_sub(row.age).filter(|_| row.key.is_canonical());
                let Some(requested_at) = requested_at else {
                    unused.push(row.key);
                    continue;
                };
                let response = StoredResponse {
                    headers: row.headers,
                    body: row.body,
                    requested_at: Cell::new(requested_at),
                    labels: row.labels,
                };
                unused.extend(responses.insert(row.key, Rc::new(response)));
            }
            for purge in self.purges_while_loading.take() {
                unused.extend(responses.purge(&purge));
            }
        }
        tracing::info!(
            stored,
            "disk cache read: its responses stay unused until control has sent all purges"
        );
        self.is_loaded.set(true);
        unused
    }

    /// Records that control has published all purges from before this process began.
    pub fn set_caught_up(&self) {
        self.is_caught_up.set(true);
    }

    /// Removes the responses that a purge covers; returns their keys.
    pub fn purge(&self, purge: &AgedPurge) -> Vec<ObjectKey> {
        let mut responses = self.responses.borrow_mut();
        let Some(responses) = responses.as_mut() else { return Vec::new() };
        if !self.is_loaded.get() {
            self.purges_while_loading.borrow_mut().push(purge.clone());
        }
        responses.purge(purge)
    }

    /// Takes the responses out, once they are loaded and control has published all purges; `None` before that, and once
    /// they have been taken.
    pub fn take_ready(&self) -> Option<Cache> {
        if !(self.is_loaded.get() && self.is_caught_up.get()) {
            return None;
        }
        self.responses.borrow_mut().take()
    }
}
