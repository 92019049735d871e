//! Tracks which control nodes have the record of a purge on disk.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

/// The purges that this node has not acknowledged yet, each with the control nodes that have its record on disk.
///
/// A purge is tracked from the call of [`PurgeDurability::track`] until the returned [`TrackedPurge`] is dropped.
/// Reports about other purges are ignored.
#[derive(Default)]
pub struct PurgeDurability {
    durable_on: RefCell<BTreeMap<u64, BTreeSet<Ipv4Addr>>>,
    reported: Notify,
}

/// Guard of a tracked purge. Tracking ends when the guard is dropped, also when the caller's future is cancelled.
pub struct TrackedPurge<'a> {
    durability: &'a PurgeDurability,
    number: u64,
}

impl Drop for TrackedPurge<'_> {
    fn drop(&mut self) {
        self.durability.durable_on.borrow_mut().remove(&self.number);
    }
}

impl PurgeDurability {
    /// Starts tracking the purge of this node that has this number.
    pub fn track(&self, number: u64) -> TrackedPurge<'_> {
        self.durable_on.borrow_mut().insert(number, BTreeSet::new());
        TrackedPurge { durability: self, number }
    }

    /// Records that `node` has a purge of this node on disk.
    pub fn record_durable(&self, node: Ipv4Addr, number: u64) {
        if let Some(nodes) = self.durable_on.borrow_mut().get_mut(&number) {
            nodes.insert(node);
            self.reported.notify_waiters();
        }
    }

    fn disk_count(&self, number: u64) -> usize {
        self.durable_on.borrow().get(&number).map_or(0, BTreeSet::len)
    }
}

impl TrackedPurge<'_> {
    /// Waits until the purge is on at least `disks` disks. False if that takes longer than `time_limit`.
    pub async fn wait_for_disks(&self, disks: usize, time_limit: Duration) -> bool {
        let durable = async {
            loop {
                let reported = self.durability.reported.notified();
                if self.durability.disk_count(self.number) >= disks {
                    return;
                }
                reported.await;
            }
        };
        timeout(time_limit, durable).await.is_ok()
    }
}
