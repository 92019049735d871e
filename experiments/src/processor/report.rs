//! The report of processor costs: a table for each figure, and the system calls by name.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::ROLES;

/// What one request, or one second without requests, costs the processes of a role.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    pub wakeups: f64,
    pub processor_us: f64,
    /// System calls by name; empty where they were not traced.
    pub calls: BTreeMap<String, f64>,
    pub kilobytes: f64,
}

impl Cost {
    fn all_calls(&self) -> f64 {
        self.calls.values().sum()
    }
}

/// What one case costs, by role.
#[derive(Clone, Debug, Serialize)]
pub struct CaseReport {
    pub name: &'static str,
    pub costs: BTreeMap<&'static str, Cost>,
}

#[derive(Clone, Debug, Serialize)]
pub struct ProcessorReport {
    /// Requests of each case, and seconds without any.
    pub requests: u32,
    pub idle_s: f64,
    pub traced: bool,
    /// Threads of a process of each role after all requests, the most of any.
    pub threads: BTreeMap<&'static str, usize>,
    pub cases: Vec<CaseReport>,
}

impl ProcessorReport {
    /// Tables of wake-ups, system calls, kilobytes and processor time, and the calls by name.
    pub fn markdown(&self) -> String {
        let mut text = format!(
            "Each cell: wake-ups, system calls, kB through the kernel, processor µs; {} requests, {} s at rest.\n\n",
            self.requests, self.idle_s
        );
        let _ = writeln!(text, "| | {} |", ROLES.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(ROLES.len()));
        for case in &self.cases {
            let cells: Vec<String> = ROLES.iter().map(|role| self.cell(&case.costs[role])).collect();
            let _ = writeln!(text, "| {} | {} |", case.name, cells.join(" | "));
        }
        let threads: Vec<String> =
            self.threads.iter().map(|(role, count)| format!("{role} {count}")).collect();
        let _ = writeln!(text, "\nThreads of a process: {}.", threads.join(", "));
        if self.traced {
            text.push_str("\nSystem calls by name:\n\n");
            for case in &self.cases {
                for (role, cost) in &case.costs {
                    let _ = writeln!(text, "- {}, {role}: {}", case.name, by_name(cost));
                }
            }
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
}

fn by_name(cost: &Cost) -> String {
    let mut calls: Vec<_> = cost.calls.iter().filter(|(_, count)| **count >= 0.05).collect();
    calls.sort_by(|a, b| b.1.total_cmp(a.1));
    calls.iter().map(|(name, count)| format!("{name} {count:.1}")).collect::<Vec<_>>().join(", ")
}
