//! Waits for states that are polled.

use std::time::Duration;

use tokio::time::{sleep, Instant};

/// Control is up, and all nodes are in contact, within this time.
pub const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// How often a state that is waited for is polled; where nodes do not measure times themselves, they are no finer.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a state holds, and returns how long that took, in milliseconds; `None` where it took longer than `timeout`.
pub async fn wait_until(timeout: Duration, holds: impl Fn() -> bool) -> Option<f64> {
    let began_at = Instant::now();
    while began_at.elapsed() < timeout {
        if holds() {
            return Some(milliseconds_since(began_at));
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Returns the milliseconds since an instant.
pub fn milliseconds_since(began_at: Instant) -> f64 {
    began_at.elapsed().as_secs_f64() * 1000.0
}
