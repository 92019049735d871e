//! Processor time and memory of a process, read from `/proc`.

use std::fs::read_to_string;

/// Clock ticks per second of the times in `/proc/PID/stat`: `USER_HZ`, which is 100 on all Linux machines.
const TICKS_PER_S: f64 = 100.0;
/// The index of user time among the fields after the process name in `/proc/PID/stat`; system time is next.
const USER_TIME_FIELD: usize = 11;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// User and system time, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MB.
    pub peak_mb: f64,
}

impl Usage {
    /// Reads the usage of a process; all zeros if it has exited.
    pub fn of(pid: u32) -> Usage {
        let stat = read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let status = read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        Usage { cpu_s: cpu_seconds(&stat), peak_mb: peak_megabytes(&status) }
    }
}

fn cpu_seconds(stat: &str) -> f64 {
    // The process name is in parentheses and may itself contain spaces and parentheses.
    let after_name = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let fields = after_name.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}

fn peak_megabytes(status: &str) -> f64 {
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}
