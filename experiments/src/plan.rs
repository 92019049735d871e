//! What an experiment is: the system, the services behind it, the load, and the troubles. A TOML file.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    #[error("{}: {what}", path.display())]
    File { path: PathBuf, what: std::io::Error },
    #[error("{}: {what}", path.display())]
    Wrong { path: PathBuf, what: String },
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// How long load is offered.
    pub seconds: f64,
    pub seed: u64,
    pub system: SystemPlan,
    pub services: Vec<ServicePlan>,
    pub classes: Vec<ClassPlan>,
    #[serde(default)]
    pub phases: Vec<Phase>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SystemPlan {
    pub cores: u8,
    pub edges: u8,
    pub zones: u8,
    /// What each process may take, as its settings say.
    pub mem_mb: u64,
}

/// Servers that are emulated.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    pub name: String,
    pub servers: u8,
    /// Requests that a server works on at once, and those that may wait.
    pub slots: u32,
    pub queue: u32,
    /// Mean of the work, and the spread of its logarithm.
    pub work_ms: f64,
    pub spread: f64,
    /// Part of the requests that end as the server's own 500.
    #[serde(default)]
    pub error_share: f64,
    #[serde(default)]
    pub rate_per_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum Kind {
    Cacheable,
    Idempotent,
    Mutating,
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    pub name: String,
    pub service: String,
    pub kind: Kind,
    pub per_s: f64,
    /// Different objects, and how much the first are preferred (exponent of a Zipf law).
    #[serde(default = "one")]
    pub objects: u32,
    #[serde(default)]
    pub skew: f64,
    /// Bytes of an answer.
    pub bytes: usize,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub worth: f64,
    pub late_worth: f64,
    pub prio: u32,
    /// Servers that the system may send one try to; tries that a client adds.
    pub tries: u32,
    pub retries: u32,
    #[serde(default)]
    pub max_age_s: f64,
    /// Objects that change, and are purged, each second.
    #[serde(default)]
    pub changes_per_s: f64,
}

fn one() -> u32 {
    1
}

/// The load is so many times as high for a while.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    pub at: f64,
    pub for_s: f64,
    pub factor: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    pub at: f64,
    /// Until a process is woken or started again, a server is as fast as before; 0 for good.
    #[serde(default)]
    pub for_s: f64,
    #[serde(flatten)]
    pub what: Trouble,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "camelCase")]
pub enum Trouble {
    /// Processes of a machine, of one role or all, are killed; or stopped and woken; or told to leave.
    Kill {
        node: String,
        role: Option<String>,
    },
    Freeze {
        node: String,
        role: Option<String>,
    },
    Leave {
        node: String,
        role: Option<String>,
    },
    /// Servers take so many times as long.
    Slow {
        service: String,
        count: u8,
        x: f64,
    },
    /// Servers leave in order; servers crash.
    Drain {
        service: String,
        count: u8,
    },
    Crash {
        service: String,
        count: u8,
    },
}

fn within(what: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    let fits = value >= least && value <= most;
    fits.then_some(()).ok_or_else(|| format!("{what}: {least} to {most} expected, got {value}"))
}

impl Plan {
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let text =
            std::fs::read_to_string(path).map_err(|what| PlanError::File { path: path.to_owned(), what })?;
        Plan::read(&text).map_err(|what| PlanError::Wrong { path: path.to_owned(), what })
    }

    /// Reads a plan and checks it; an error is one line.
    pub fn read(text: &str) -> Result<Plan, String> {
        let plan: Plan = toml::from_str(text).map_err(|e| {
            let line = e.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            let place = line.map(|line| format!("line {line}: ")).unwrap_or_default();
            format!("{place}{}", e.message().replace('\n', " "))
        })?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), String> {
        within("seconds", self.seconds, 1.0, 3600.0)?;
        within("system.cores", self.system.cores.into(), 1.0, 9.0)?;
        within("system.edges", self.system.edges.into(), 1.0, 40.0)?;
        within("system.zones", self.system.zones.into(), 1.0, 9.0)?;
        let services = self.check_services()?;
        self.check_classes(&services)?;
        for phase in &self.phases {
            within("phase: factor", phase.factor, 0.0, 100.0)?;
        }
        self.check_faults(&services)
    }

    /// Gives the services' names.
    fn check_services(&self) -> Result<BTreeSet<&str>, String> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            let at = |field: &str| format!("service {:?}: {field}", service.name);
            if !services.insert(service.name.as_str()) {
                return Err(at("named twice"));
            }
            within(&at("servers"), service.servers.into(), 1.0, 40.0)?;
            within(&at("slots"), service.slots.into(), 1.0, 1000.0)?;
            within(&at("work_ms"), service.work_ms, 0.1, 10_000.0)?;
            within(&at("spread"), service.spread, 0.0, 3.0)?;
            within(&at("error_share"), service.error_share, 0.0, 1.0)?;
        }
        if self.services.iter().map(|service| u32::from(service.servers)).sum::<u32>() > 100 {
            return Err("services: 100 servers at most".into());
        }
        Ok(services)
    }

    fn check_classes(&self, services: &BTreeSet<&str>) -> Result<(), String> {
        let mut classes = BTreeSet::new();
        for class in &self.classes {
            let at = |field: &str| format!("class {:?}: {field}", class.name);
            if !classes.insert(class.name.as_str()) {
                return Err(at("named twice"));
            }
            if !services.contains(class.service.as_str()) {
                return Err(at(&format!("no service is named {:?}", class.service)));
            }
            within(&at("per_s"), class.per_s, 0.01, 5000.0)?;
            within(&at("objects"), class.objects.into(), 1.0, 100_000.0)?;
            within(&at("skew"), class.skew, 0.0, 5.0)?;
            within(&at("bytes"), class.bytes as f64, 64.0, 1e6)?;
            within(&at("aim_ms"), class.aim_ms as f64, 1.0, class.deadline_ms as f64)?;
            within(&at("deadline_ms"), class.deadline_ms as f64, 1.0, 60_000.0)?;
            within(&at("retries"), class.retries.into(), 0.0, 10.0)?;
            within(&at("changes_per_s"), class.changes_per_s, 0.0, 20.0)?;
        }
        Ok(())
    }

    fn check_faults(&self, services: &BTreeSet<&str>) -> Result<(), String> {
        let last = self.system.cores + self.system.edges;
        let nodes: BTreeSet<String> = (1..=last)
            .map(|n| match n.checked_sub(self.system.cores) {
                Some(edge) if edge > 0 => format!("edge-{edge}"),
                _ => format!("core-{n}"),
            })
            .collect();
        for fault in &self.faults {
            within("fault: at", fault.at, 0.0, self.seconds)?;
            match &fault.what {
                Trouble::Kill { node, .. } | Trouble::Freeze { node, .. } | Trouble::Leave { node, .. } => {
                    if !nodes.contains(node) {
                        return Err(format!("fault: no machine is named {node:?}"));
                    }
                }
                Trouble::Slow { service, .. }
                | Trouble::Drain { service, .. }
                | Trouble::Crash { service, .. } => {
                    if !services.contains(service.as_str()) {
                        return Err(format!("fault: no service is named {service:?}"));
                    }
                }
            }
        }
        Ok(())
    }

    /// How many times the usual load is offered at a time.
    pub fn factor(&self, at: f64) -> f64 {
        let now = self.phases.iter().filter(|phase| at >= phase.at && at < phase.at + phase.for_s);
        now.map(|phase| phase.factor).product()
    }

    /// The configuration that the system is given.
    pub fn document(&self) -> serde_json::Value {
        let path = |class: &ClassPlan| {
            serde_json::json!({
                "name": class.name, "hostname": crate::HOST, "pathPrefix": format!("/{}/", class.name),
                "type": class.kind, "deadlineMs": class.deadline_ms, "targetMs": class.aim_ms,
                "prio": class.prio, "backend": class.service, "tries": class.tries, "maxAgeS": class.max_age_s,
            })
        };
        let backend = |service: &ServicePlan| {
            let mut backend = serde_json::json!({ "name": service.name, "maxConns": 256 });
            if let Some(rate) = service.rate_per_s {
                backend["ratePerS"] = rate.into();
            }
            backend
        };
        serde_json::json!({
            "rev": 1,
            "paths": self.classes.iter().map(path).collect::<Vec<_>>(),
            "backends": self.services.iter().map(backend).collect::<Vec<_>>(),
        })
    }
}
