//! Validates a plan; the error names the first invalid field.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use super::{ClassPlan, FaultKind, Plan, ServicePlan};

/// The most servers of all services together, as each has its own machine number.
const MAX_SERVERS: u32 = 100;

/// Why a plan is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidPlan {
    /// The text is not valid TOML, or does not have the fields of a plan.
    #[error("{}{message}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
    Syntax {
        /// The line number, from 1; `None` if the parser doesn't state it.
        line: Option<usize>,
        /// The message of the parser, without line breaks.
        message: String,
    },
    /// A number is out of range.
    #[error("{field}: expected {min} to {max}, got {value}")]
    OutOfRange {
        /// The path of the field in the plan.
        field: String,
        /// The least valid value.
        min: f64,
        /// The greatest valid value.
        max: f64,
        /// The value in the plan.
        value: f64,
    },
    /// Two services or classes have the same name.
    #[error("{field}: duplicate name")]
    DuplicateName {
        /// The service or class.
        field: String,
    },
    /// The services have too many servers in total.
    #[error("services: expected at most {MAX_SERVERS} servers in total")]
    TooManyServers,
    /// A class or fault names a service that does not exist.
    #[error("{field}: no service is named {name:?}")]
    UnknownService {
        /// The class or fault.
        field: String,
        /// The name of the missing service.
        name: String,
    },
    /// A fault names a machine that does not exist.
    #[error("fault: no machine is named {name:?}")]
    UnknownMachine {
        /// The name of the missing machine.
        name: String,
    },
}

impl InvalidPlan {
    /// Converts an error of the TOML parser.
    pub(super) fn syntax(text: &str, error: &toml::de::Error) -> InvalidPlan {
        let line_of = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
        let line = error.span().map(|span| line_of(span.start));
        InvalidPlan::Syntax { line, message: error.message().replace('\n', " ") }
    }
}

fn check_range(field: impl Into<String>, value: f64, range: RangeInclusive<f64>) -> Result<(), InvalidPlan> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(InvalidPlan::OutOfRange { field: field.into(), min: *range.start(), max: *range.end(), value })
}

impl Plan {
    pub(super) fn check(&self) -> Result<(), InvalidPlan> {
        check_range("seconds", self.seconds, 1.0..=3600.0)?;
        check_range("system.cores", self.system.cores.into(), 1.0..=9.0)?;
        check_range("system.edges", self.system.edges.into(), 1.0..=40.0)?;
        check_range("system.zones", self.system.zones.into(), 1.0..=9.0)?;
        let services = self.check_services()?;
        self.check_classes(&services)?;
        for phase in &self.phases {
            check_range("phase: factor", phase.factor, 0.0..=100.0)?;
        }
        self.check_faults(&services)
    }

    /// Validates the services and returns their names.
    fn check_services(&self) -> Result<BTreeSet<&str>, InvalidPlan> {
        let mut names = BTreeSet::new();
        for service in &self.services {
            if !names.insert(service.name.as_str()) {
                return Err(InvalidPlan::DuplicateName { field: service.field("") });
            }
            service.check()?;
        }
        if self.services.iter().map(|service| u32::from(service.servers)).sum::<u32>() > MAX_SERVERS {
            return Err(InvalidPlan::TooManyServers);
        }
        Ok(names)
    }

    fn check_classes(&self, services: &BTreeSet<&str>) -> Result<(), InvalidPlan> {
        let mut names = BTreeSet::new();
        for class in &self.classes {
            if !names.insert(class.name.as_str()) {
                return Err(InvalidPlan::DuplicateName { field: class.field("") });
            }
            check_service(services, &class.service, || class.field(""))?;
            class.check()?;
        }
        Ok(())
    }

    /// Returns the names of all machines that faults can refer to.
    fn machines(&self) -> BTreeSet<String> {
        let cores = (1..=self.system.cores).map(|number| format!("core-{number}"));
        let edges = (1..=self.system.edges).map(|number| format!("edge-{number}"));
        cores.chain(edges).collect()
    }

    fn check_faults(&self, services: &BTreeSet<&str>) -> Result<(), InvalidPlan> {
        let machines = self.machines();
        for fault in &self.faults {
            check_range("fault: at", fault.at, 0.0..=self.seconds)?;
            match &fault.kind {
                FaultKind::Kill { node, .. }
                | FaultKind::Pause { node, .. }
                | FaultKind::Terminate { node, .. } => {
                    if !machines.contains(node) {
                        return Err(InvalidPlan::UnknownMachine { name: node.clone() });
                    }
                }
                FaultKind::Slow { service, .. }
                | FaultKind::Drain { service, .. }
                | FaultKind::Crash { service, .. } => {
                    check_service(services, service, || "fault".to_owned())?;
                }
            }
        }
        Ok(())
    }
}

fn check_service(
    services: &BTreeSet<&str>,
    name: &str,
    field: impl FnOnce() -> String,
) -> Result<(), InvalidPlan> {
    match services.contains(name) {
        true => Ok(()),
        false => Err(InvalidPlan::UnknownService { field: field(), name: name.to_owned() }),
    }
}

impl ServicePlan {
    /// Returns the path of a field of the service in messages, or that of the service if `field` is empty.
    fn field(&self, field: &str) -> String {
        named_field("service", &self.name, field)
    }

    fn check(&self) -> Result<(), InvalidPlan> {
        check_range(self.field("servers"), self.servers.into(), 1.0..=40.0)?;
        check_range(self.field("slots"), self.slots.into(), 1.0..=1000.0)?;
        check_range(self.field("work_ms"), self.work_ms, 0.1..=10_000.0)?;
        check_range(self.field("spread"), self.work_log_deviation, 0.0..=3.0)?;
        check_range(self.field("error_share"), self.error_share, 0.0..=1.0)
    }
}

impl ClassPlan {
    /// Returns the path of a field of the class in messages, or that of the class if `field` is empty.
    fn field(&self, field: &str) -> String {
        named_field("class", &self.name, field)
    }

    fn check(&self) -> Result<(), InvalidPlan> {
        check_range(self.field("per_s"), self.per_s, 0.01..=5000.0)?;
        check_range(self.field("objects"), self.objects.into(), 1.0..=100_000.0)?;
        check_range(self.field("skew"), self.skew, 0.0..=5.0)?;
        check_range(self.field("bytes"), self.bytes as f64, 64.0..=1e6)?;
        let max_target = self.deadline_ms as f64;
        check_range(self.field("aim_ms"), self.latency_target_ms as f64, 1.0..=max_target)?;
        check_range(self.field("deadline_ms"), self.deadline_ms as f64, 1.0..=60_000.0)?;
        check_range(self.field("retries"), self.retries.into(), 0.0..=10.0)?;
        check_range(self.field("changes_per_s"), self.changes_per_s, 0.0..=20.0)
    }
}

fn named_field(kind: &str, name: &str, field: &str) -> String {
    match field {
        "" => format!("{kind} {name:?}"),
        _ => format!("{kind} {name:?}: {field}"),
    }
}
