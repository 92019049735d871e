//! The bounds of values in the settings.

/// The largest `survive.hosts`: the number of losses at once that 15 voters tolerate.
pub(super) const MAX_TOLERATED_LOSSES: usize = 7;
/// The largest time in seconds, ratio or count in `timing`; a larger one is a mistake.
pub(super) const MAX_TIMING_VALUE: f64 = 1e6;
