//! What requests cost the processes of each role: sums over a time, and the cost of a unit of it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::process::ProcessTotals;
use super::trace::SystemCalls;
use super::MEASURED_ROLES;

/// What one request, or one second without requests, costs the processes of a role.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Times that a thread was woken.
    pub wakeups: f64,
    /// Processor time, in microseconds.
    pub processor_us: f64,
    /// System calls by name; empty where they were not traced.
    pub calls: BTreeMap<String, f64>,
    /// Bytes that the kernel copied, in thousands.
    pub kilobytes: f64,
}

impl Cost {
    /// Returns the number of all system calls.
    pub fn all_calls(&self) -> f64 {
        self.calls.values().sum()
    }
}

/// The costs of a time, by role.
pub struct Measurement {
    seconds: f64,
    costs: BTreeMap<&'static str, Cost>,
}

impl Measurement {
    /// Creates a measurement without costs of a time.
    pub fn new(duration: Duration) -> Measurement {
        let costs = MEASURED_ROLES.iter().map(|role| (*role, Cost::default())).collect();
        Measurement { seconds: duration.as_secs_f64(), costs }
    }

    /// Adds what a process has used between two readings of its totals.
    pub fn add_totals(&mut self, role: &'static str, before: ProcessTotals, after: ProcessTotals) {
        let cost = self.costs.entry(role).or_default();
        cost.wakeups += after.wakeups.saturating_sub(before.wakeups) as f64;
        cost.processor_us += after.processor_ns.saturating_sub(before.processor_ns) as f64 / 1000.0;
    }

    /// Adds the system calls of a process.
    pub fn add_calls(&mut self, role: &'static str, calls: SystemCalls) {
        let cost = self.costs.entry(role).or_default();
        cost.kilobytes += calls.bytes_copied as f64 / 1000.0;
        for (name, count) in calls.by_name {
            *cost.calls.entry(name).or_default() += count as f64;
        }
    }
}

/// The same work, measured without and with a trace: a traced process is slower, and is woken at other times.
pub struct MeasuredWork {
    /// Wake-ups and processor time.
    pub untraced: Measurement,
    /// System calls and bytes.
    pub traced: Measurement,
}

/// How many units of work there were in each measurement, which a cost is divided by.
struct Units {
    untraced: f64,
    traced: f64,
}

/// What idle processes cost.
struct IdleProcesses<'a> {
    /// The cost of one of them in a second.
    cost: &'a Cost,
    processes: f64,
}

impl MeasuredWork {
    /// Returns what one process of a role costs in a second, where a role has this many `processes`.
    pub fn per_second(&self, role: &str, processes: f64) -> Cost {
        let units =
            Units { untraced: self.untraced.seconds * processes, traced: self.traced.seconds * processes };
        let idle = IdleProcesses { cost: &Cost::default(), processes: 0.0 };
        self.per_unit(role, &units, &idle)
    }

    /// Returns what one of so many requests costs a role, less what its processes cost while idle.
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
