//! The two clocks by which the age of the file's contents is measured.
//!
//! Ages are measured by the monotonic clock, which continues while the machine runs, even if the process restarts. If
//! the monotonic clock has restarted since the last write, or the wall clock disagrees with it, the wall clock is used.

use std::time::Duration;

use glenfall_control_plane::purge_history::PURGE_RETENTION;
use nix::time::{clock_gettime, ClockId};

use crate::disk::now_ms;

/// Maximum error of the wall clock. It is added to the age of responses if the wall clock is used.
const MAX_WALL_CLOCK_ERROR: Duration = Duration::from_secs(3);
/// Time, in milliseconds, that a start of the process may take until control has sent the purges.
const STARTUP_MARGIN_MS: u64 = 20_000;
/// A file that was written longer ago than this is not used, as purges since then may no longer be retained. It is
/// shorter than the retention of purges by the time that a start may take.
const MAX_TIME_SINCE_WRITE: Duration = Duration::from_millis(PURGE_RETENTION - STARTUP_MARGIN_MS);

/// A point in time by both clocks, in milliseconds.
#[derive(Clone, Copy)]
pub struct Timestamp {
    /// By the wall clock, since the Unix epoch.
    pub wall_ms: i64,
    /// By the monotonic clock.
    pub monotonic_ms: i64,
}

impl Timestamp {
    /// The current time.
    pub fn now() -> Self {
        Timestamp { wall_ms: now_ms(), monotonic_ms: monotonic_ms() }
    }

    /// The time from an earlier point until this one, by both clocks.
    pub fn since(self, earlier: Timestamp) -> TimeSinceWrite {
        TimeSinceWrite {
            wall_ms: self.wall_ms - earlier.wall_ms,
            monotonic_ms: self.monotonic_ms - earlier.monotonic_ms,
        }
    }
}

/// The monotonic time, in milliseconds, at which something of this age began.
pub fn monotonic_ms_before(age: Duration) -> i64 {
    monotonic_ms() - age.as_millis() as i64
}

fn monotonic_ms() -> i64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC);
    now.map_or(0, |now| now.tv_sec() * 1000 + now.tv_nsec() / 1_000_000)
}

/// The time since the last write, in milliseconds by each clock.
#[derive(Clone, Copy, Debug)]
pub struct TimeSinceWrite {
    /// By the wall clock.
    pub wall_ms: i64,
    /// By the monotonic clock; meaningless if the machine has restarted since the write.
    pub monotonic_ms: i64,
}

impl TimeSinceWrite {
    /// How long ago the last write was. `None` if that is too long ago, or can't be determined because the wall clock
    /// was set back.
    pub fn resolve(self) -> Option<Duration> {
        let max_error_ms = MAX_WALL_CLOCK_ERROR.as_millis() as i64;
        let clocks_agree = self.monotonic_ms >= 0 && (self.wall_ms - self.monotonic_ms).abs() <= max_error_ms;
        let since_ms = match clocks_agree {
            true => self.monotonic_ms,
            false if self.wall_ms >= 0 => self.wall_ms + max_error_ms,
            false => return None,
        };
        let is_recent = (0..MAX_TIME_SINCE_WRITE.as_millis() as i64).contains(&since_ms);
        is_recent.then(|| Duration::from_millis(since_ms as u64))
    }
}
