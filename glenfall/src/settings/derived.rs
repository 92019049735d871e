//! Settings of the components of a process, derived from the settings file.

use std::time::Duration;

use glenfall_control_plane::chain::ChainSettings;
use glenfall_control_plane::rate_limit::RateLimitSettings;
use glenfall_control_plane::retry_budget::RetryBudgetSettings;
use glenfall_control_plane::Millis;

use super::error::SettingsError;
use super::model::Settings;

/// Part of the grace period that is kept for the exit of the process, in seconds.
const EXIT_TIME_S: f64 = 0.7;
/// The shortest time for draining, in seconds, even if `graceS` is shorter.
const MIN_GRACE_S: f64 = 0.3;
const BYTES_PER_MIB: f64 = (1 << 20) as f64;
const MS_PER_S: f64 = 1000.0;

impl Settings {
    /// The settings of the replication chain.
    ///
    /// # Errors
    ///
    /// When the repair after `survive.hosts` losses takes longer than `timing.syncS`.
    pub fn chain_settings(&self) -> Result<ChainSettings, SettingsError> {
        let (hosts, sync_s) = (self.survive.hosts, self.timing.sync_s);
        let settings = ChainSettings {
            tolerated_losses: hosts,
            eligible: self.voter,
            sync: (sync_s * MS_PER_S) as Millis,
        };
        settings.check().map_err(|error| SettingsError::SyncTooShort { hosts, sync_s, error })?;
        Ok(settings)
    }

    /// The bound on the retries of all machines together.
    pub fn retry_budget(&self) -> RetryBudgetSettings {
        RetryBudgetSettings {
            ratio: self.timing.retry_ratio,
            window: (self.timing.retry_window_s * MS_PER_S) as Millis,
            slack: self.timing.retry_slack,
        }
    }

    /// The bound on the requests of all machines together to a service that sets `ratePerS`.
    pub fn rate_limit(&self) -> RateLimitSettings {
        RateLimitSettings {
            window: (self.timing.ceiling_window_s * MS_PER_S) as Millis,
            overshoot_factor: self.timing.ceiling_over,
        }
    }

    /// A fraction, from 0 to 1, of the memory that each process may use (`reqLimits.memMb`), in bytes.
    pub fn memory_share(&self, share: f64) -> usize {
        (self.req_limits.mem_mb as f64 * share * BYTES_PER_MIB) as usize
    }

    /// How long a process may drain after SIGTERM: the grace period less the time for its exit.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64((self.timing.grace_s - EXIT_TIME_S).max(MIN_GRACE_S))
    }
}
