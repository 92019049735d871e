//! When a link counts as lost.

use std::time::Duration;

/// Time without received data after which a link counts as lost. A machine that has lost its power or its network sends
/// nothing, not even a TCP reset.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a message is sent on a link, so that it does not count as lost. Two messages in a row may be delayed.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
