//! When a link counts as lost.

use std::time::Duration;

/// A link on which nothing was received for so long is lost: a machine that has lost its power or its network answers
/// nothing, not even a reset.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often something is sent on a link, so that it does not count as lost. Two messages in a row may be lost.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
