//! The balancer's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use glenfall_balancer::Seconds;

/// Unix seconds at the node's start, and from then on monotonic.
///
/// Start times of servers are Unix times. One fixed relation between the two clocks makes an unchanged start
/// time stay unchanged for the balancer, which takes a later one for a new process.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Seconds,
}

impl Clock {
    /// A clock that shows the time of day from now on, and is never set back.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: Instant::now(), unix_at_start: unix.as_secs_f64() }
    }

    /// Seconds since 1970.
    pub fn now(&self) -> Seconds {
        self.unix_at_start + self.started.elapsed().as_secs_f64()
    }
}
