//! The origin servers as one process observes them, and the choice among those of a service.
//!
//! Nothing here reads a clock for a decision: callers pass the current time, so that simulations can run on their own.

mod latency_estimate;
mod load_balancer;
mod local_subsets;
mod origin;
mod outlier_ejection;
mod scoring;

pub use self::load_balancer::{InFlight, OriginBalancer, SelectedOrigin};
pub use self::outlier_ejection::{SendOutcome, EJECTION_TIME};
