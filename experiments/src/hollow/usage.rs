//! What a process has used, as the kernel tells.

use std::fs::read_to_string;

/// Ticks of processor time in a second, as Linux tells it on all machines.
const TICKS: f64 = 100.0;

/// Processor time in seconds and memory in MB, at its peak.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu_s: f64,
    pub peak_mb: f64,
}

/// Nothing for a process that is gone.
pub fn of(pid: u32) -> Usage {
    let stat = read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name stands in brackets and may hold anything; user and system time are the 12th and 13th after it.
    let after = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks: f64 = after.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok()).sum();
    let status = read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok());
    Usage { cpu_s: ticks / TICKS, peak_mb: peak.unwrap_or(0.0) / 1024.0 }
}
