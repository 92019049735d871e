//! How long a stored response is fresh, the same at edges and shields.

use std::time::Duration;

use glenfall_control_plane::config::Route;

/// Upper bound of a route's `maxAgeS`, in seconds, so that every value makes a valid duration.
const MAX_AGE_LIMIT_S: f64 = 1e6;

/// The age up to which a stored response is served on a route without asking a server.
pub(crate) fn max_age(route: &Route) -> Duration {
    Duration::from_secs_f64(route.max_age_s.clamp(0.0, MAX_AGE_LIMIT_S))
}
