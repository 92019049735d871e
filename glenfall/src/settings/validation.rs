//! Checks the values of settings after parsing.

use super::addresses::WATCH_PORT_OFFSET;
use super::bounds::{MAX_TIMING_VALUE, MAX_TOLERATED_LOSSES};
use super::error::InvalidSettings;
use super::model::{Settings, Timing};

/// Number of ports of the range that are in use.
const USED_PORT_COUNT: u16 = WATCH_PORT_OFFSET + 1;

/// Checks that each value is within its bounds.
pub(super) fn check(settings: &Settings) -> Result<(), InvalidSettings> {
    let ports = settings.port_range;
    if ports.last < ports.first.saturating_add(USED_PORT_COUNT - 1) {
        return Err(InvalidSettings::PortRange { expected: USED_PORT_COUNT, got: ports });
    }
    if settings.seed_nodes.is_empty() {
        return Err(InvalidSettings::NoSeedNodes);
    }
    if settings.survive.hosts > MAX_TOLERATED_LOSSES {
        return Err(InvalidSettings::TooManyLosses(settings.survive.hosts));
    }
    check_timing(&settings.timing)
}

fn check_timing(timing: &Timing) -> Result<(), InvalidSettings> {
    let named_values = [
        ("graceS", timing.grace_s),
        ("syncS", timing.sync_s),
        ("retryRatio", timing.retry_ratio),
        ("retryWindowS", timing.retry_window_s),
        ("retrySlack", timing.retry_slack),
        ("ceilingWindowS", timing.ceiling_window_s),
        ("ceilingOver", timing.ceiling_over),
    ];
    match named_values.into_iter().find(|(_, value)| !(0.0..=MAX_TIMING_VALUE).contains(value)) {
        Some((name, value)) => Err(InvalidSettings::Timing { name, value }),
        None => Ok(()),
    }
}
