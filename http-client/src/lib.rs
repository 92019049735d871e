//! HTTP/1.1 client connections to servers. A connection carries one request at a time, records how much of it has been
//! written, and never accepts unsolicited bytes as a response.

mod body_framing;
mod connection;
mod progress;
pub mod send;
mod socket;

pub use body_framing::BodyFraming;
pub use connection::{is_invalid_response, Connection, ExchangeError};
pub use progress::{Progress, RequestProgress};
pub use socket::OpenSocket;
