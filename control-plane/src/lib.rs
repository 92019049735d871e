//! Control state of the glenfall system: configuration documents, the replicated chain that keeps them, the registry of
//! servers, and the messages between processes. No sockets, no disk and no clock: callers pass events and the time in,
//! and carry out what comes out. `docs/glossary.md` defines the terms.

pub mod chain;
#[allow(missing_docs)]
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
#[allow(missing_docs)]
pub mod rate_limit;
pub mod record;
pub mod registry;
#[allow(missing_docs)]
pub mod retry_budget;
#[allow(missing_docs)]
pub mod subset;

/// Milliseconds on the caller's steady clock.
pub type Millis = u64;
