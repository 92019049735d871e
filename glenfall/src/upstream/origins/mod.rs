//! Origin servers as one process observes them, and load balancing among those of a service.
//!
//! No decision here depends on reading a clock: callers pass the current time, so that simulations can use simulated
//! time.

mod latency_estimate;
mod load_balancer;
mod local_subsets;
mod origin;
mod outlier_ejection;
mod scoring;

pub use self::load_balancer::{InFlight, OriginBalancer, SelectedOrigin};
pub use self::outlier_ejection::{SendOutcome, EJECTION_TIME};
