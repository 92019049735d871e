//! The control state of the glenfall system: configuration documents, the chain that keeps them, the view
//! that mends the chain, the registry of servers, and the messages between processes. No sockets, no disk and
//! no clock: callers pass the time in and carry out what comes out.

#![forbid(unsafe_code)]

pub mod budget;
pub mod ceiling;
pub mod chain;
pub mod config;
pub mod fleet;
pub mod ids;
pub mod lease;
pub mod messages;
pub mod orders;
pub mod purges;
pub mod record;
pub mod registry;
pub mod subset;

/// Milliseconds on the caller's steady clock.
pub type Millis = u64;
