//! The HTTP/1.1 server of every role: accepts connections, reads complete requests, and drains on shutdown.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `listener` | accepts connections until the process stops, then waits until the open ones are drained |
//! | `connection_limit` | limits the open connections, and evicts the one that has been idle longest |
//! | `connection` | serves one connection |
//! | `deadlines`, `timed_stream` | how long a client may take for a head or a response, and may be idle |
//! | `request_body`, `body_memory` | reads bodies completely, within a memory budget shared by all connections |
//! | `shutdown` | what an open connection does when the process stops |
//! | `handler`, `message` | the interface that a role implements, and its complete requests and responses |

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
