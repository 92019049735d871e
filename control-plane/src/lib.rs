//! Control plane of Glenfall: configuration documents, the replicated chain that stores them, the registry of servers,
//! and the messages between processes.
//!
//! The crate does no input or output and reads no clock. Callers pass in events and the time, and carry out the outputs.
//! `docs/glossary.md` defines the terms.

pub mod chain;
pub mod config;
pub mod deduplication;
pub mod fleet;
pub mod ids;
pub mod invariant;
pub mod known_fleet;
pub mod lease;
pub mod messages;
pub mod nodes;
pub mod purge_history;
pub mod rate_limit;
pub mod record;
pub mod registry;
pub mod retry_budget;
pub mod subset;

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;
