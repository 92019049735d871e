//! The monotonic clock of a control process, in the milliseconds that the state machines count in.

use std::time::Duration;

use glenfall_control_plane::purge_history::PURGE_RETENTION;
use glenfall_control_plane::Millis;
use tokio::time::Instant;

/// Reading of the clock when the process starts. It is above zero, because peers and the disk report events from before
/// the start by their age, and the times of these events must be readings of the clock as well.
pub const PROCESS_START: Millis = 10 * PURGE_RETENTION;

/// The monotonic clock of this process.
///
/// It owns the moment of the start. Its first reading is [`PROCESS_START`], and readings never decrease.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock at [`PROCESS_START`].
    pub fn start() -> Self {
        Clock { started: Instant::now() }
    }

    /// The present reading.
    pub fn now(&self) -> Millis {
        PROCESS_START + self.uptime().as_millis() as Millis
    }

    /// Time since the start of the process.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// The moment of a reading. Readings from before the start count as the start.
    pub fn instant_of(&self, reading: Millis) -> Instant {
        self.started + Duration::from_millis(reading.saturating_sub(PROCESS_START))
    }
}
