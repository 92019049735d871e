//! Measures the processor cost of the system: wake-ups, system calls, data copied by the kernel and processor time, per
//! request of each kind and per second of an idle process. The system runs as separate processes on loopback; origin
//! servers and the client run in this process and are not measured.

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

/// The process roles that are measured.
const MEASURED_ROLES: [&str; 4] = ["edge", "agent", "shield", "control"];
/// Third octet of the IP addresses of the machines of the first system; the second system uses the next value.
const FIRST_NET: u8 = 12;
/// A single zone, in which edges store no responses: they store only those of shields in other zones.
const ONE_ZONE: u8 = 1;
/// Enough zones that no edge is in the zone of a shield, so that edges store responses.
const SEPARATE_ZONES: u8 = 5;

/// Command-line options of `glenfall-lab processor`.
#[derive(Args, Clone, Debug)]
pub struct ProcessorOptions {
    /// Number of sequential requests of each case
    #[arg(long, default_value_t = 300)]
    requests: u32,
    /// Duration of the idle measurement, in seconds
    #[arg(long, default_value_t = 10.0)]
    idle_s: f64,
    /// Do not count system calls, for machines without `strace`
    #[arg(long)]
    no_trace: bool,
}

/// Measures all cases with systems that run `program`.
///
/// # Errors
///
/// Returns an error if a system can't be started or its processes can't be traced.
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
