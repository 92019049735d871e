//! What the kernel counts of a process: wake-ups and processor time, from `/proc`.

use std::fs::{read_dir, read_to_string};
use std::path::PathBuf;

/// Totals of a process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessTotals {
    /// Times that a thread gave up the processor to wait, and so has been or will be woken.
    pub wakeups: u64,
    /// Processor time, in nanoseconds.
    pub processor_ns: u64,
}

/// Returns the totals of all threads of a process; zeros for one that has exited.
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

/// Returns the threads of a process, as folders in `/proc`.
pub fn threads(pid: u32) -> Vec<PathBuf> {
    let tasks = read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    tasks.map(|task| task.path()).collect()
}
