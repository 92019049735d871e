//! Wake-ups and processor time of a process, read from `/proc`.

use std::fs::{read_dir, read_to_string};
use std::path::PathBuf;

/// Totals over the current threads of a process, each since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessTotals {
    /// Number of voluntary context switches: each is a wait after which the thread is woken.
    pub wakeups: u64,
    /// Processor time, in nanoseconds.
    pub processor_ns: u64,
}

/// Returns the totals of a process; zeros if it has exited.
pub fn totals(pid: u32) -> ProcessTotals {
    let mut totals = ProcessTotals::default();
    for thread in threads(pid) {
        let status = read_to_string(thread.join("status")).unwrap_or_default();
        let waits = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        totals.wakeups += waits.and_then(|count| count.trim().parse::<u64>().ok()).unwrap_or(0);
        let scheduled = read_to_string(thread.join("schedstat")).unwrap_or_default();
        let processor_ns = scheduled.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok());
        totals.processor_ns += processor_ns.unwrap_or(0);
    }
    totals
}

/// Returns the `/proc` folders of the threads of a process; empty if it has exited.
pub fn threads(pid: u32) -> Vec<PathBuf> {
    let tasks = read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    tasks.map(|task| task.path()).collect()
}
