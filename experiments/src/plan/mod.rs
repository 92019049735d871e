//! The plan of an experiment, a TOML file: the system, the services behind it, the load, and the injected faults.

mod check;

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

pub use check::InvalidPlan;

/// The hostname of all routes.
pub const ROUTE_HOST: &str = "lab.example";
/// The connection limit per server in the configuration of each service.
const MAX_CONNECTIONS_PER_SERVER: u32 = 256;

/// Why a plan can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the plan.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The plan is invalid.
    #[error("{}: {reason}", path.display())]
    Invalid {
        /// The path of the plan.
        path: PathBuf,
        /// The first error in the plan.
        reason: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// The plan of an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// How long load is generated, in seconds.
    pub seconds: f64,
    /// The seed of the random load and service times.
    pub seed: u64,
    /// The size of the system under test.
    pub system: SystemPlan,
    /// The services behind the system.
    pub services: Vec<ServicePlan>,
    /// The classes of requests.
    pub classes: Vec<ClassPlan>,
    /// Periods with a different load.
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
    /// The number of zones; machines are distributed over them.
    pub zones: u8,
    /// The memory limit in the settings of each process, in MB.
    pub mem_mb: u64,
}

/// A service with emulated servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// The name of the service, unique in the plan.
    pub name: String,
    /// The number of servers.
    pub servers: u8,
    /// Requests that a server processes concurrently.
    pub slots: u32,
    /// Requests that may wait in the queue of a server.
    pub queue: u32,
    /// The mean service time of a request, in milliseconds.
    pub work_ms: f64,
    /// The standard deviation of the logarithm of the service time.
    #[serde(rename = "spread")]
    pub work_log_deviation: f64,
    /// The share of requests to which the server itself responds with status 500.
    #[serde(default)]
    pub error_share: f64,
    /// The rate limit of the service, in requests per second; `None` for no limit.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
}

/// The type of a route, as in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum RouteKind {
    /// Responses may be cached.
    Cacheable,
    /// Requests may be executed more than once.
    Idempotent,
    /// Requests may be executed at most once.
    Mutating,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// The name of the class, unique in the plan; it is the first segment of its paths.
    pub name: String,
    /// The name of the service that its route leads to.
    pub service: String,
    /// The type of its route.
    pub kind: RouteKind,
    /// Mean requests per second, outside of phases.
    pub per_s: f64,
    /// The number of objects.
    #[serde(default = "default_object_count")]
    pub objects: u32,
    /// The exponent of the Zipf distribution by which objects are requested.
    #[serde(default)]
    pub skew: f64,
    /// The size of a response body, in bytes.
    pub bytes: usize,
    /// The latency target, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: u64,
    /// The deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The value of a request that is served within the latency target.
    #[serde(rename = "worth")]
    pub value: f64,
    /// The value of a request that is served after the latency target.
    #[serde(rename = "late_worth")]
    pub late_value: f64,
    /// The priority of the route in the configuration.
    #[serde(rename = "prio")]
    pub priority: u32,
    /// The most servers to which the system sends one attempt of a client.
    #[serde(rename = "tries")]
    pub max_servers_tried: u32,
    /// The most retries by a client.
    pub retries: u32,
    /// How long responses may be cached, in seconds.
    #[serde(default)]
    pub max_age_s: f64,
    /// Objects that are changed and purged per second.
    #[serde(default)]
    pub changes_per_s: f64,
}

fn default_object_count() -> u32 {
    1
}

/// A period in which the load is a multiple of the base load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// The start, in seconds since the start of the load.
    pub at: f64,
    /// The duration, in seconds.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// What the base load is multiplied by.
    pub factor: f64,
}

/// A fault, and when it is injected.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlannedFault {
    /// When it is injected, in seconds since the start of the load.
    pub at: f64,
    /// Seconds until a process is resumed or restarted, or a server regains its speed. 0 means never for killed and
    /// terminated processes; drained and crashed servers never recover.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// What is injected.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of faults. Without a role, a fault affects all processes of the machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "camelCase")]
pub enum FaultKind {
    /// Processes are killed by SIGKILL.
    Kill {
        /// The name of the machine, such as `core-1` or `edge-2`.
        node: String,
        /// The role of the process; all processes of the machine if `None`.
        role: Option<String>,
    },
    /// Processes are paused by SIGSTOP.
    #[serde(rename = "freeze")]
    Pause {
        /// The name of the machine, such as `core-1` or `edge-2`.
        node: String,
        /// The role of the process; all processes of the machine if `None`.
        role: Option<String>,
    },
    /// Processes are terminated by SIGTERM.
    #[serde(rename = "leave")]
    Terminate {
        /// The name of the machine, such as `core-1` or `edge-2`.
        node: String,
        /// The role of the process; all processes of the machine if `None`.
        role: Option<String>,
    },
    /// Servers slow down.
    Slow {
        /// The name of their service.
        service: String,
        /// The number of servers, taken from those without a fault.
        count: u8,
        /// What the service time is multiplied by.
        #[serde(rename = "x")]
        factor: f64,
    },
    /// Servers drain.
    Drain {
        /// The name of their service.
        service: String,
        /// The number of servers, taken from those without a fault.
        count: u8,
    },
    /// Servers crash.
    Crash {
        /// The name of their service.
        service: String,
        /// The number of servers, taken from those without a fault.
        count: u8,
    },
}

impl Plan {
    /// Reads a plan from a file and validates it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or the plan is invalid.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| PlanError::File { path: path.to_owned(), source })?;
        Plan::parse(&text)
            .map_err(|reason| PlanError::Invalid { path: path.to_owned(), reason: reason.into() })
    }

    /// Parses and validates a plan.
    ///
    /// # Errors
    ///
    /// Returns the first error found; its message is a single line.
    pub fn parse(text: &str) -> Result<Plan, InvalidPlan> {
        let plan: Plan = toml::from_str(text).map_err(|error| InvalidPlan::syntax(text, &error))?;
        plan.check()?;
        Ok(plan)
    }

    /// Returns the multiple of the base load at `at`, in seconds since the start of the load. The factors of overlapping
    /// phases are multiplied.
    pub fn load_factor(&self, at: f64) -> f64 {
        let is_active = |phase: &&Phase| at >= phase.at && at < phase.at + phase.duration_s;
        self.phases.iter().filter(is_active).map(|phase| phase.factor).product()
    }

    /// Returns the configuration of the system as JSON, with a route for each class.
    pub fn configuration(&self) -> serde_json::Value {
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
