//! Control state of the glenfall system: configuration documents, the replicated chain that keeps them, the registry of
//! servers, and the messages between processes. No sockets, no disk and no clock: callers pass events and the time in,
//! and carry out what comes out. `docs/glossary.md` defines the terms.

#[allow(missing_docs)]
pub mod budget;
#[allow(missing_docs)]
pub mod ceiling;
pub mod chain;
#[allow(missing_docs)]
pub mod config;
#[allow(missing_docs)]
pub mod fleet;
pub mod ids;
pub mod invariant;
pub mod known_fleet;
pub mod lease;
#[allow(missing_docs)]
pub mod messages;
pub mod nodes;
pub mod orders;
#[allow(missing_docs)]
pub mod purges;
pub mod record;
#[allow(missing_docs)]
pub mod registry;
#[allow(missing_docs)]
pub mod subset;

/// Milliseconds on the caller's steady clock.
pub type Millis = u64;
