//! Connections to origin servers and shields, with one request at a time on each, and complete responses read from
//! them.

mod connection_pool;
mod error;
mod exchange;
mod keep_alive;
mod response_reader;

pub use self::connection_pool::{Pool, UpstreamKind, MAX_TRUSTED_IDLE_TIME};
pub use self::error::SendError;
pub use self::exchange::{ExchangeParams, RESPONSE_COMPLETION_TIMEOUT};
pub use self::keep_alive::{idle_timeout, DEFAULT_IDLE_TIMEOUT};
