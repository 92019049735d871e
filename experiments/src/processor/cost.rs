//! Processor costs by process role: totals over a measurement, and costs per request or per idle second.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::process::ProcessTotals;
use super::trace::SystemCalls;
use super::MEASURED_ROLES;

/// Cost for the processes of a role: an average per request or idle second, or the total of a measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Number of thread wake-ups.
    pub wakeups: f64,
    /// Processor time, in microseconds.
    pub processor_us: f64,
    /// Number of system calls by name; empty without tracing.
    pub calls: BTreeMap<String, f64>,
    /// Data copied by system calls, in units of 1000 bytes.
    pub kilobytes: f64,
}

impl Cost {
    /// Returns the total number of system calls.
    pub fn all_calls(&self) -> f64 {
        self.calls.values().sum()
    }
}

/// Total costs over a period, by role.
pub struct Measurement {
    seconds: f64,
    costs: BTreeMap<&'static str, Cost>,
}

impl Measurement {
    /// Creates a measurement of a period of this length, with all costs zero.
    pub fn new(duration: Duration) -> Measurement {
        let costs = MEASURED_ROLES.iter().map(|role| (*role, Cost::default())).collect();
        Measurement { seconds: duration.as_secs_f64(), costs }
    }

    /// Adds the difference between two readings of the totals of a process.
    pub fn add_totals(&mut self, role: &'static str, before: ProcessTotals, after: ProcessTotals) {
        let cost = self.costs.entry(role).or_default();
        cost.wakeups += after.wakeups.saturating_sub(before.wakeups) as f64;
        cost.processor_us += after.processor_ns.saturating_sub(before.processor_ns) as f64 / 1000.0;
    }

    /// Adds the traced system calls of a process.
    pub fn add_calls(&mut self, role: &'static str, calls: SystemCalls) {
        let cost = self.costs.entry(role).or_default();
        cost.kilobytes += calls.bytes_copied as f64 / 1000.0;
        for (name, count) in calls.by_name {
            *cost.calls.entry(name).or_default() += count as f64;
        }
    }
}

/// The same work measured without and with `strace`, because tracing slows a process down and changes its wake-ups.
pub struct MeasuredWork {
    /// The run that gives wake-ups and processor time.
    pub untraced: Measurement,
    /// The run that gives system calls and copied data. Has a duration of zero without tracing.
    pub traced: Measurement,
}

/// Number of units of work in each measurement, by which total costs are divided.
struct Units {
    untraced: f64,
    traced: f64,
}

/// The idle costs to be subtracted.
struct IdleProcesses<'a> {
    /// Cost of one idle process per second.
    cost: &'a Cost,
    processes: f64,
}

impl MeasuredWork {
    /// Returns the cost of one process of a role per second. `processes` is the number of processes of the role.
    pub fn per_second(&self, role: &str, processes: f64) -> Cost {
        let units =
            Units { untraced: self.untraced.seconds * processes, traced: self.traced.seconds * processes };
        let idle = IdleProcesses { cost: &Cost::default(), processes: 0.0 };
        self.per_unit(role, &units, &idle)
    }

    /// Returns the cost of one request for all processes of a role, without their idle cost. `processes` is the
    /// number of processes of the role.
    pub fn per_request(&self, role: &str, requests: f64, idle_cost: &Cost, processes: f64) -> Cost {
        let units = Units { untraced: requests, traced: requests };
        self.per_unit(role, &units, &IdleProcesses { cost: idle_cost, processes })
    }

    fn per_unit(&self, role: &str, units: &Units, idle: &IdleProcesses) -> Cost {
        let (untraced, traced) = (&self.untraced.costs[role], &self.traced.costs[role]);
        let untraced_idle_s = idle.processes * self.untraced.seconds;
        let traced_idle_s = idle.processes * self.traced.seconds;
        let calls = traced.calls.iter().map(|(name, count)| {
            let idle_count = idle.cost.calls.get(name).copied().unwrap_or(0.0) * traced_idle_s;
            (name.clone(), (count - idle_count) / units.traced)
        });
        Cost {
            wakeups: (untraced.wakeups - idle.cost.wakeups * untraced_idle_s) / units.untraced,
            processor_us: (untraced.processor_us - idle.cost.processor_us * untraced_idle_s) / units.untraced,
            calls: calls.collect(),
            kilobytes: (traced.kilobytes - idle.cost.kilobytes * traced_idle_s) / units.traced,
        }
    }
}
