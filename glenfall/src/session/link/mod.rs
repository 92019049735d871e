//! Long-lived connections between the system's processes: `postcard` messages in frames with a length in front.

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
