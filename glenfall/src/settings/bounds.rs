//! The bounds of values in the settings.

/// Most losses at once that can be promised: those that 15 voters tolerate.
pub(super) const MAX_TOLERATED_LOSSES: usize = 7;
/// Largest time in seconds, ratio or count: no larger one makes sense.
pub(super) const MAX_TIMING_VALUE: f64 = 1e6;
