//! Watch streams between control, agents and proxies: numbered changes pushed over a held connection and acknowledged.

pub mod lease;
pub mod link;
pub mod publisher;
pub mod subscriber;
