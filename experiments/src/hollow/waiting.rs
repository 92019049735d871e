//! Waits for conditions by polling.

use std::time::Duration;

use tokio::time::{sleep, Instant};

/// The time limit for all nodes to become connected.
pub const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// The interval between checks of a condition; times measured by polling are no more precise than this.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds, and returns how long that took, in milliseconds; `None` after `timeout`.
pub async fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> Option<f64> {
    let began_at = Instant::now();
    while began_at.elapsed() < timeout {
        if condition() {
            return Some(milliseconds_since(began_at));
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Returns the time since `began_at`, in milliseconds with a fraction.
pub fn milliseconds_since(began_at: Instant) -> f64 {
    began_at.elapsed().as_secs_f64() * 1000.0
}
