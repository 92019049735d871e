//! Watch streams between control, agents and proxies: numbered updates that a publisher pushes over a long-lived connection
//! and a subscriber acknowledges.

pub mod lease;
pub mod link;
pub mod publisher;
pub mod subscriber;

use std::hash::{BuildHasher, RandomState};
use std::time::{SystemTime, UNIX_EPOCH};

/// A random number that distinguishes this process from earlier and later ones at the same address.
pub fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random = RandomState::new().hash_one(since_epoch.as_nanos());
    random ^ since_epoch.as_nanos() as u64
}
