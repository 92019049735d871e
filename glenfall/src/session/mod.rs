//! Watch streams between control, agents and proxies: numbered changes pushed over a held connection and acknowledged.

pub mod lease;
pub mod link;
pub mod publisher;
pub mod subscriber;

/// Anything that differs from one process to the next one at the same address.
pub fn incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let random = std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), since.as_nanos());
    random ^ since.as_nanos() as u64
}
