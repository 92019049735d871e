//! The plan of a fleet simulation, a TOML file: the fleet sizes, and the load per edge, so that the total load grows
//! with the fleet.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::plan::PlanError;

/// The largest fleet size, in edges; one of this size is simulated within a minute.
const MAX_EDGES: u32 = 5000;
/// Exclusive upper bound of `writes.spread` and `reads.skew`.
const MAX_EXPONENT: f64 = 4.0;

/// The sizes of a simulated fleet and its load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    /// Fleet sizes in edges; each is simulated separately.
    pub sizes: Vec<u32>,
    /// How long requests arrive, in virtual seconds.
    pub seconds: f64,
    /// The seed of the random arrivals, objects and service times.
    pub seed: u64,
    /// Control nodes, each with a co-located shield: the same number at every size.
    pub cores: u8,
    /// The write load, and the servers that receive it.
    pub writes: WritePlan,
    /// The read load, and the origin that is behind the shields.
    pub reads: ReadPlan,
}

/// The write load of one edge, and the servers that receive it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WritePlan {
    /// Writes per second of one edge.
    pub per_s: f64,
    /// Servers per edge; may be below 1.
    pub servers: f64,
    /// Writes that a server processes concurrently.
    pub slots: u32,
    /// Writes that may wait in the queue of a server.
    pub queue: u32,
    /// The mean service time of a write, in milliseconds.
    pub work_ms: f64,
    /// The standard deviation of the logarithm of the service time.
    #[serde(rename = "spread")]
    pub work_log_deviation: f64,
    /// How long an edge keeps an idle connection open, in seconds.
    #[serde(rename = "keep_s")]
    pub idle_timeout_s: f64,
    /// The connection limit of a server.
    #[serde(rename = "max_conns")]
    pub max_connections: u32,
    /// The heartbeat interval of servers, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
}

/// The read load of one edge, and the origin of the objects.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReadPlan {
    /// Reads per second of one edge.
    pub per_s: f64,
    /// The number of objects; the same at every fleet size.
    pub objects: u32,
    /// The exponent of the Zipf distribution by which objects are requested.
    pub skew: f64,
    /// The freshness lifetime of an object, in seconds.
    pub max_age_s: f64,
    /// The rate limit of the origin, in requests per second and edge.
    pub rate_per_s: f64,
}

/// Why a plan is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidFleetPlan {
    /// The text is not valid TOML, or does not have the fields of a plan.
    #[error("{0}")]
    Syntax(String),
    /// A number is not above 0, or not finite.
    #[error("{0}: expected a number above 0")]
    NotPositive(&'static str),
    /// A count is 0.
    #[error("{0}: expected at least 1")]
    Zero(&'static str),
    /// The list of sizes is empty, or a size is out of range.
    #[error("sizes: expected numbers from 1 to {MAX_EDGES}")]
    Sizes,
    /// `writes.spread` or `reads.skew` is out of range.
    #[error("writes.spread, reads.skew: expected at least 0 and below {MAX_EXPONENT}")]
    Exponent,
}

impl FleetPlan {
    /// Reads a plan from a file and validates it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or the plan is invalid.
    pub fn load(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| PlanError::File { path: path.to_owned(), source })?;
        FleetPlan::read(&text)
            .map_err(|reason| PlanError::Invalid { path: path.to_owned(), reason: reason.into() })
    }

    fn read(text: &str) -> Result<Self, InvalidFleetPlan> {
        let plan: FleetPlan =
            toml::from_str(text).map_err(|error| InvalidFleetPlan::Syntax(error.to_string()))?;
        plan.check()?;
        Ok(plan)
    }

    /// Validates the plan.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), InvalidFleetPlan> {
        let positive = [
            ("seconds", self.seconds),
            ("writes.per_s", self.writes.per_s),
            ("writes.servers", self.writes.servers),
            ("writes.work_ms", self.writes.work_ms),
            ("writes.keep_s", self.writes.idle_timeout_s),
            ("reads.per_s", self.reads.per_s),
            ("reads.max_age_s", self.reads.max_age_s),
            ("reads.rate_per_s", self.reads.rate_per_s),
        ];
        if let Some((name, _)) = positive.iter().find(|(_, value)| !(*value > 0.0 && value.is_finite())) {
            return Err(InvalidFleetPlan::NotPositive(name));
        }
        if self.sizes.is_empty() || self.sizes.iter().any(|size| !(1..=MAX_EDGES).contains(size)) {
            return Err(InvalidFleetPlan::Sizes);
        }
        let counts = [
            ("cores", u64::from(self.cores)),
            ("writes.slots", u64::from(self.writes.slots)),
            ("writes.max_conns", u64::from(self.writes.max_connections)),
            ("writes.beat_ms", self.writes.heartbeat_ms),
            ("reads.objects", u64::from(self.reads.objects)),
        ];
        if let Some((name, _)) = counts.iter().find(|(_, count)| *count == 0) {
            return Err(InvalidFleetPlan::Zero(name));
        }
        let exponents = 0.0..MAX_EXPONENT;
        if !exponents.contains(&self.writes.work_log_deviation) || !exponents.contains(&self.reads.skew) {
            return Err(InvalidFleetPlan::Exponent);
        }
        Ok(())
    }

    /// Returns the number of servers of a fleet of `edges` edges: at least 1.
    pub(super) fn servers(&self, edges: u32) -> u32 {
        (f64::from(edges) * self.writes.servers).round().max(1.0) as u32
    }
}
