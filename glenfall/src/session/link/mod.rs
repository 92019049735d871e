//! Long-lived connections between the system's processes, which carry `postcard` messages in length-prefixed frames.

mod connect;
mod frames;
mod liveness;
mod outbox;
mod traffic;

pub use connect::{configure_socket, open};
pub use frames::FrameReader;
pub use liveness::{KEEPALIVE_INTERVAL, LINK_TIMEOUT};
pub use outbox::Outbox;
pub use traffic::{report, traffic};
