//! The balancer's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use glenfall_balancer::Seconds;

/// Shows Unix time, read once at the node's start and advanced by a monotonic clock from then on.
///
/// Servers report their start as Unix time, and the balancer treats a later start time as a restart. With a
/// fixed offset between the two clocks, an unchanged start time stays unchanged for the balancer.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Seconds,
}

impl Clock {
    /// Starts the clock at the system's time. Later changes of the system's time have no effect.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: Instant::now(), unix_at_start: unix.as_secs_f64() }
    }

    /// Unix time in seconds.
    pub fn now(&self) -> Seconds {
        self.unix_at_start + self.started.elapsed().as_secs_f64()
    }
}
