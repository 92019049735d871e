//! The plan of a fleet: its sizes, and rates of one edge, so that the load grows with the fleet. It is a TOML file.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::plan::PlanError;

/// Edges of a size at most: a session is a row in a table, and a minute is long enough for them.
const MAX_EDGES: u32 = 5000;
/// The deviation of work and the skew of objects are below this.
const MAX_EXPONENT: f64 = 4.0;

/// What grows, and by what.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    /// Numbers of edges, each of which is run by itself.
    pub sizes: Vec<u32>,
    /// Virtual seconds of requests.
    pub seconds: f64,
    /// The seed of requests.
    pub seed: u64,
    /// Control nodes, each with a co-located shield; they don't grow with the edges.
    pub cores: u8,
    /// The writes of an edge.
    pub writes: WritePlan,
    /// The reads of an edge.
    pub reads: ReadPlan,
}

/// The writes of an edge, and the servers that receive them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WritePlan {
    /// Writes a second of an edge.
    pub per_s: f64,
    /// Servers for each edge.
    pub servers: f64,
    /// Writes that a server works on at the same time.
    pub slots: u32,
    /// Writes that may wait at a server.
    pub queue: u32,
    /// The mean time that a write takes, in milliseconds.
    pub work_ms: f64,
    /// The standard deviation of the logarithm of that time.
    #[serde(rename = "spread")]
    pub work_log_deviation: f64,
    /// How long an edge retains an idle connection, in seconds.
    #[serde(rename = "keep_s")]
    pub idle_timeout_s: f64,
    /// Connections that a server accepts.
    #[serde(rename = "max_conns")]
    pub max_connections: u32,
    /// How often servers send a heartbeat, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
}

/// The reads of an edge, and the origin of their objects.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReadPlan {
    /// Reads a second of an edge.
    pub per_s: f64,
    /// How many objects there are, whatever the size.
    pub objects: u32,
    /// How much the first objects are preferred: the exponent of a Zipf law.
    pub skew: f64,
    /// How long an object is fresh, in seconds.
    pub max_age_s: f64,
    /// The rate limit of the origin, in requests a second for each edge.
    pub rate_per_s: f64,
}

/// A mistake in a plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidFleetPlan {
    /// The text is no TOML, or not that of a plan.
    #[error("{0}")]
    Syntax(String),
    /// A figure is not above 0.
    #[error("{0}: a figure above 0 expected")]
    NotPositive(&'static str),
    /// A count is 0.
    #[error("{0}: at least 1 expected")]
    Zero(&'static str),
    /// There are no sizes, or one is out of range.
    #[error("sizes: numbers from 1 to {MAX_EDGES} expected")]
    Sizes,
    /// The deviation of work or the skew of objects is out of range.
    #[error("writes.spread, reads.skew: from 0 to {MAX_EXPONENT} expected")]
    Exponent,
}

impl FleetPlan {
    /// Loads a plan from a file, and checks it.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be read, or the plan is invalid.
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

    /// Checks the plan.
    ///
    /// # Errors
    ///
    /// Returns the first mistake.
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

    /// Returns the number of servers for a number of edges.
    pub(super) fn servers(&self, edges: u32) -> u32 {
        (f64::from(edges) * self.writes.servers).round().max(1.0) as u32
    }
}
