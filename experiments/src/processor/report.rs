//! The report of processor costs: a table of totals, and a list of system calls by name.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::cost::Cost;
use super::MEASURED_ROLES;

/// System calls that occur less often per request than this are not listed.
const MIN_LISTED_CALLS: f64 = 0.05;

/// The costs of one case.
#[derive(Clone, Debug, Serialize)]
pub struct CaseReport {
    /// Name of the case, which identifies it in reports.
    pub name: &'static str,
    /// The costs of each measured role.
    pub costs: BTreeMap<&'static str, Cost>,
}

/// The result of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessorReport {
    /// Number of requests of each case.
    pub requests: u32,
    /// Duration of the idle measurement, in seconds.
    pub idle_s: f64,
    /// Whether system calls were counted.
    pub traced: bool,
    /// Maximum number of threads in a process of each role, read after all requests of the shield cases.
    pub threads: BTreeMap<&'static str, usize>,
    /// The idle costs, followed by the costs of each case.
    pub cases: Vec<CaseReport>,
}

impl ProcessorReport {
    /// Formats the report as Markdown: a table of costs, and the system calls by name if they were traced.
    pub fn markdown(&self) -> String {
        let mut text = format!(
            "Each cell: wake-ups, system calls, kB copied, processor time in µs; {} requests, {} s idle.\n\n",
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
        let _ = writeln!(text, "\nThreads per process: {}.", threads.join(", "));
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
