//! The HTTP/1.1 server of every role: accepts connections, reads complete requests, and drains on shutdown.
//!
//! | module | job |
//! | --- | --- |
//! | `listener` | accepts connections until the process stops, then waits until the open ones are drained |
//! | `connection_limit` | bounds the open connections, and evicts the one that has been idle longest |
//! | `connection` | serves one connection |
//! | `deadlines`, `timed_stream` | how long a client may take for a head, stay idle, or take to read a response |
//! | `request_body`, `body_memory` | reads bodies completely, within a memory budget of all connections |
//! | `shutdown` | what an open connection does when the process stops |
//! | `handler`, `message` | what a role implements, with the complete requests and responses that it sees |

mod body_memory;
mod connection;
mod connection_limit;
mod deadlines;
mod handler;
mod listener;
mod message;
mod request_body;
mod shutdown;
mod timed_stream;

pub use handler::Handler;
pub use listener::{serve, serve_at, ServerConfig};
pub use message::{plain_response, retry_later_response, FullRequest, FullResponse};
pub use shutdown::stop_requested;
