//! What the system costs the processor: wake-ups, system calls, kilobytes through the kernel and processor time, for one
//! request of each kind and for each idle process. The system runs as processes on loopback; the servers and the
//! client are in this process, and are not counted.

mod cases;
mod cost;
mod process;
mod report;
mod system;
mod trace;

use std::path::Path;

use clap::Args;

use crate::error::LabError;
use cases::{EDGE_CASES, SHIELD_CASES};
use report::CaseReport;
pub use report::ProcessorReport;
use system::SystemUnderTest;

/// The roles of processes that are measured.
const MEASURED_ROLES: [&str; 4] = ["edge", "agent", "shield", "control"];
/// Third byte of the addresses of the first system's machines; the second system has the next.
const FIRST_NET: u8 = 12;
/// Edges store only responses whose shield is in another zone: with one zone they store none.
const ONE_ZONE: u8 = 1;
/// With this many zones no edge is in the zone of a shield, so that edges store responses.
const SEPARATE_ZONES: u8 = 5;

/// The options of the measurement.
#[derive(Args, Clone, Debug)]
pub struct ProcessorOptions {
    /// Requests of each case, one after the other
    #[arg(long, default_value_t = 300)]
    requests: u32,
    /// Seconds without requests
    #[arg(long, default_value_t = 10.0)]
    idle_s: f64,
    /// Count no system calls, where there is no `strace`
    #[arg(long)]
    no_trace: bool,
}

/// Measures all cases with this program.
///
/// # Errors
///
/// Returns an error where the system can't be started, or its processes can't be traced.
pub async fn run(options: &ProcessorOptions, program: &Path) -> Result<ProcessorReport, LabError> {
    let mut cases = Vec::new();
    let mut one_zone = SystemUnderTest::start(ONE_ZONE, FIRST_NET, program).await?;
    let idle = one_zone.measure_idle(options).await?;
    cases.push(CaseReport { name: "at rest, a process and second", costs: idle.clone() });
    for case in SHIELD_CASES {
        cases.push(one_zone.measure(case, options, &idle).await?);
    }
    let threads = one_zone.threads_by_role();
    drop(one_zone);
    let mut separate_zones = SystemUnderTest::start(SEPARATE_ZONES, FIRST_NET + 1, program).await?;
    for case in EDGE_CASES {
        cases.push(separate_zones.measure(case, options, &idle).await?);
    }
    Ok(ProcessorReport {
        requests: options.requests,
        idle_s: options.idle_s,
        traced: !options.no_trace,
        threads,
        cases,
    })
}
