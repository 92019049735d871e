//! The plan of an experiment: the system, the services behind it, the load, and the faults. It is a TOML file.

mod check;

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

pub use check::InvalidPlan;

/// The host of all routes.
pub const ROUTE_HOST: &str = "lab.example";
/// Connections to a server that the configuration permits.
const MAX_CONNECTIONS_PER_SERVER: u32 = 256;

/// Why a plan can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The plan is invalid.
    #[error("{}: {reason}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The reason.
        reason: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// The plan of an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seconds in which load is generated.
    pub seconds: f64,
    /// The seed of the load and of the servers' work.
    pub seed: u64,
    /// The system.
    pub system: SystemPlan,
    /// The services behind it.
    pub services: Vec<ServicePlan>,
    /// The classes of requests.
    pub classes: Vec<ClassPlan>,
    /// Times with another load.
    #[serde(default)]
    pub phases: Vec<Phase>,
    /// Faults that are injected.
    #[serde(default)]
    pub faults: Vec<PlannedFault>,
}

/// The size of the system.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SystemPlan {
    /// Core machines, each with a control node and a shield.
    pub cores: u8,
    /// Machines with an edge and its agent.
    pub edges: u8,
    /// Zones that the machines are distributed over.
    pub zones: u8,
    /// The memory limit of each process, in MB, as its settings have it.
    pub mem_mb: u64,
}

/// A service of emulated servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// How many servers it has.
    pub servers: u8,
    /// Requests that a server works on at the same time.
    pub slots: u32,
    /// Requests that may wait at a server.
    pub queue: u32,
    /// The mean time that a request takes, in milliseconds.
    pub work_ms: f64,
    /// The standard deviation of the logarithm of that time.
    #[serde(rename = "spread")]
    pub work_log_deviation: f64,
    /// The share of requests that end as the server's own 500.
    #[serde(default)]
    pub error_share: f64,
    /// The rate limit of the service, in requests a second.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
}

/// The kind of a route, as the configuration has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum RouteKind {
    /// Responses may be cached.
    Cacheable,
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    Mutating,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// Its name, which is the first part of its paths.
    pub name: String,
    /// The service of its route.
    pub service: String,
    /// The kind of its route.
    pub kind: RouteKind,
    /// Requests a second.
    pub per_s: f64,
    /// How many objects there are.
    #[serde(default = "one")]
    pub objects: u32,
    /// How much the first objects are preferred: the exponent of a Zipf law.
    #[serde(default)]
    pub skew: f64,
    /// Bytes of a response.
    pub bytes: usize,
    /// The latency target, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: u64,
    /// The deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The value of a request that is served within the latency target.
    #[serde(rename = "worth")]
    pub value: f64,
    /// The value of a request that is served later.
    #[serde(rename = "late_worth")]
    pub late_value: f64,
    /// The priority of the route.
    #[serde(rename = "prio")]
    pub priority: u32,
    /// Servers that the system may send one attempt of a client to.
    #[serde(rename = "tries")]
    pub max_servers_tried: u32,
    /// Retries of a client.
    pub retries: u32,
    /// How long responses may be cached, in seconds.
    #[serde(default)]
    pub max_age_s: f64,
    /// Objects that change and are purged in a second.
    #[serde(default)]
    pub changes_per_s: f64,
}

fn one() -> u32 {
    1
}

/// A time in which the load is a multiple of the usual one.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// When it begins, in seconds from the start of the load.
    pub at: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// The multiple.
    pub factor: f64,
}

/// A fault and its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlannedFault {
    /// When it begins, in seconds from the start of the load.
    pub at: f64,
    /// Seconds until a process goes on or is started again, or a server is as fast as before; 0 where that never happens.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// What happens.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What happens by a fault. Where a role is missing, all processes of the machine are concerned.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "camelCase")]
pub enum FaultKind {
    /// Processes are killed.
    Kill {
        /// The machine.
        node: String,
        /// The role of the process.
        role: Option<String>,
    },
    /// Processes are paused.
    #[serde(rename = "freeze")]
    Pause {
        /// The machine.
        node: String,
        /// The role of the process.
        role: Option<String>,
    },
    /// Processes are ended by SIGTERM.
    #[serde(rename = "leave")]
    Terminate {
        /// The machine.
        node: String,
        /// The role of the process.
        role: Option<String>,
    },
    /// Servers are slower.
    Slow {
        /// Their service.
        service: String,
        /// How many of them.
        count: u8,
        /// How many times as long their work takes.
        #[serde(rename = "x")]
        factor: f64,
    },
    /// Servers drain.
    Drain {
        /// Their service.
        service: String,
        /// How many of them.
        count: u8,
    },
    /// Servers crash.
    Crash {
        /// Their service.
        service: String,
        /// How many of them.
        count: u8,
    },
}

impl Plan {
    /// Loads a plan from a file, and checks it.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be read, or the plan is invalid.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| PlanError::File { path: path.to_owned(), source })?;
        Plan::read(&text)
            .map_err(|reason| PlanError::Invalid { path: path.to_owned(), reason: reason.into() })
    }

    /// Reads a plan from a text, and checks it.
    ///
    /// # Errors
    ///
    /// Returns the first mistake; its message is one line.
    pub fn read(text: &str) -> Result<Plan, InvalidPlan> {
        let plan: Plan = toml::from_str(text).map_err(|error| InvalidPlan::syntax(text, &error))?;
        plan.check()?;
        Ok(plan)
    }

    /// Returns how many times the usual load is generated at a time, in seconds from the start of the load.
    pub fn load_factor(&self, at: f64) -> f64 {
        let is_active = |phase: &&Phase| at >= phase.at && at < phase.at + phase.duration_s;
        self.phases.iter().filter(is_active).map(|phase| phase.factor).product()
    }

    /// Returns the configuration of the system.
    pub fn document(&self) -> serde_json::Value {
        serde_json::json!({
            "rev": 1,
            "paths": self.classes.iter().map(ClassPlan::route).collect::<Vec<_>>(),
            "backends": self.services.iter().map(ServicePlan::backend).collect::<Vec<_>>(),
        })
    }
}

impl ClassPlan {
    fn route(&self) -> serde_json::Value {
        serde_json::json!({
            "name": self.name, "hostname": ROUTE_HOST, "pathPrefix": format!("/{}/", self.name),
            "type": self.kind, "deadlineMs": self.deadline_ms, "targetMs": self.latency_target_ms,
            "prio": self.priority, "backend": self.service, "tries": self.max_servers_tried,
            "maxAgeS": self.max_age_s,
        })
    }
}

impl ServicePlan {
    fn backend(&self) -> serde_json::Value {
        let mut backend = serde_json::json!({ "name": self.name, "maxConns": MAX_CONNECTIONS_PER_SERVER });
        if let Some(rate) = self.rate_per_s {
            backend["ratePerS"] = rate.into();
        }
        backend
    }
}
