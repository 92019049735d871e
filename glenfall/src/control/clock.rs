//! The monotonic clock of a control process, in milliseconds as the state machines expect.

use std::time::Duration;

use glenfall_control_plane::purge_history::PURGE_RETENTION;
use glenfall_control_plane::Millis;
use tokio::time::Instant;

/// Reading of the clock when the process starts. It is above zero, because events from before the start, which peers
/// and the disk report by their age, must also have a valid reading.
pub const PROCESS_START: Millis = 10 * PURGE_RETENTION;

/// The monotonic clock of this process.
///
/// Its first reading is [`PROCESS_START`], and readings never decrease.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock at [`PROCESS_START`].
    pub fn start() -> Self {
        Clock { started: Instant::now() }
    }

    /// The current reading.
    pub fn now(&self) -> Millis {
        PROCESS_START + self.uptime().as_millis() as Millis
    }

    /// Time since the start of the process.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// The instant of a reading. Readings from before the start map to the start.
    pub fn instant_of(&self, reading: Millis) -> Instant {
        self.started + Duration::from_millis(reading.saturating_sub(PROCESS_START))
    }
}
