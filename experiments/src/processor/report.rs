//! The report of processor costs: a table, and the system calls by name.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::cost::Cost;
use super::MEASURED_ROLES;

/// System calls that are made less often for each request are not listed.
const MIN_LISTED_CALLS: f64 = 0.05;

/// What one case costs, by role.
#[derive(Clone, Debug, Serialize)]
pub struct CaseReport {
    /// The name of the case.
    pub name: &'static str,
    /// The costs by role.
    pub costs: BTreeMap<&'static str, Cost>,
}

/// The costs of all cases.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessorReport {
    /// Requests of each case.
    pub requests: u32,
    /// Seconds without requests.
    pub idle_s: f64,
    /// Whether system calls were counted.
    pub traced: bool,
    /// Threads of a process of each role after all requests, the most of any.
    pub threads: BTreeMap<&'static str, usize>,
    /// The cases.
    pub cases: Vec<CaseReport>,
}

impl ProcessorReport {
    /// Returns a table of wake-ups, system calls, kilobytes and processor time, and the calls by name.
    pub fn markdown(&self) -> String {
        let mut text = format!(
            "Each cell: wake-ups, system calls, kB through the kernel, processor µs; {} requests, {} s at rest.\n\n",
            self.requests, self.idle_s
        );
        let _ = writeln!(text, "| | {} |", MEASURED_ROLES.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(MEASURED_ROLES.len()));
        for case in &self.cases {
            let cells: Vec<String> = MEASURED_ROLES.iter().map(|role| self.cell(&case.costs[role])).collect();
            let _ = writeln!(text, "| {} | {} |", case.name, cells.join(" | "));
        }
        let threads: Vec<String> =
            self.threads.iter().map(|(role, count)| format!("{role} {count}")).collect();
        let _ = writeln!(text, "\nThreads of a process: {}.", threads.join(", "));
        if self.traced {
            self.list_calls(&mut text);
        }
        text
    }

    fn cell(&self, cost: &Cost) -> String {
        let (wakeups, processor) = (cost.wakeups, cost.processor_us);
        if self.traced {
            let (calls, kilobytes) = (cost.all_calls(), cost.kilobytes);
            format!("{wakeups:.1}, {calls:.1}, {kilobytes:.1}, {processor:.0}")
        } else {
            format!("{wakeups:.1}, -, -, {processor:.0}")
        }
    }

    fn list_calls(&self, text: &mut String) {
        text.push_str("\nSystem calls by name:\n\n");
        for case in &self.cases {
            for (role, cost) in &case.costs {
                let _ = writeln!(text, "- {}, {role}: {}", case.name, calls_by_name(cost));
            }
        }
    }
}

fn calls_by_name(cost: &Cost) -> String {
    let mut calls: Vec<_> = cost.calls.iter().filter(|(_, count)| **count >= MIN_LISTED_CALLS).collect();
    calls.sort_by(|a, b| b.1.total_cmp(a.1));
    calls.iter().map(|(name, count)| format!("{name} {count:.1}")).collect::<Vec<_>>().join(", ")
}
