//! HTTP/1.1 towards servers: a connection carries one request at a time, knows how far it has been written,
//! and never takes what came unasked for an answer.

mod connection;
pub mod send;
mod socket;

pub use connection::{is_unreadable, BodyEnd, Connection, ExchangeError};
pub use socket::{OpenSocket, Progress, RequestProgress, Socket};
