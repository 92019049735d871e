//! Soak tests: run the real processes of a system on this machine, over real sockets. A seed determines the faults,
//! of which mostly two or three overlap: kills, pauses, partitions, lost responses, lost disks, reloads, and
//! misbehaving clients and servers. What clients, servers and operators observe is checked against the invariants of
//! the system; runtime assertions that failed in the processes are collected from their logs.

mod active_faults;
mod clients;
mod fault_history;
mod faults;
mod logs;
mod machines;
mod network;
mod operators;
mod oracle;
mod readiness;
mod report;
mod run;
mod schedule;
mod servers;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use tokio::task::LocalSet;

use crate::error::{FileError, LabError};
use report::SoakReport;
use run::Outcome;
use schedule::Schedule;

/// Third octet of the IP addresses of the machines that the first thread starts; each further thread uses the next
/// value.
const FIRST_NET: u8 = 40;
/// Maximum number of concurrent runs.
const MAX_THREADS: usize = 16;

/// Command-line options of `glenfall-lab soak`.
#[derive(clap::Args)]
pub struct SoakOptions {
    /// Number of seeds to run
    #[arg(long, default_value_t = 20)]
    count: u64,
    /// First seed; the others follow consecutively
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Seconds during which faults are injected
    #[arg(long, default_value_t = 14.0)]
    seconds: f64,
    /// Number of concurrent runs (1 to 16)
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// Output folder for failed seeds: schedule, violations and logs
    #[arg(long, default_value = "target/soak")]
    out: PathBuf,
    /// Program under test; by default `glenfall` in the folder of this program
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Run the schedule in this JSON file with each seed, instead of random schedules
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Print the schedules without running them
    #[arg(long)]
    show: bool,
}

impl SoakOptions {
    fn schedule(&self, seed: u64) -> Result<Schedule, LabError> {
        let Some(path) = &self.schedule else {
            return Ok(Schedule::draw(seed, self.seconds, run::EDGE_COUNT, run::SERVICE_COUNT));
        };
        let bytes = std::fs::read(path).map_err(|error| FileError::new(path, error))?;
        let schedule: Schedule =
            serde_json::from_slice(&bytes).map_err(|error| FileError::new(path, error))?;
        Ok(Schedule { seed, ..schedule })
    }

    fn seeds(&self) -> std::ops::Range<u64> {
        self.first..self.first + self.count
    }
}

/// Runs all seeds. Returns false if any seed failed.
///
/// # Errors
///
/// Returns an error if a schedule can't be read or the output folder can't be created. A run that can't be started
/// counts as a failed seed.
pub fn run(options: &SoakOptions, program: &Path) -> Result<bool, LabError> {
    if options.show {
        for seed in options.seeds() {
            println!("{}", serde_json::to_string_pretty(&options.schedule(seed)?)?);
        }
        return Ok(true);
    }
    std::fs::create_dir_all(&options.out)?;
    let next_seed = AtomicU64::new(options.first);
    let report = Mutex::new(SoakReport::default());
    std::thread::scope(|scope| {
        for thread in 0..options.threads.clamp(1, MAX_THREADS) {
            let (next_seed, report) = (&next_seed, &report);
            let net = FIRST_NET + thread as u8;
            scope.spawn(move || run_seeds(options, program, net, next_seed, report));
        }
    });
    let report = report.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    report.print_summary(options.count, options.first);
    Ok(report.has_no_failures())
}

/// Runs seeds one after another until none is left.
fn run_seeds(
    options: &SoakOptions,
    program: &Path,
    net: u8,
    next_seed: &AtomicU64,
    report: &Mutex<SoakReport>,
) {
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if !options.seeds().contains(&seed) {
            return;
        }
        let outcome = options.schedule(seed).and_then(|schedule| run_one(schedule, net, program));
        let mut report = report.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        report.add(seed, outcome, &options.out);
    }
}

fn run_one(schedule: Schedule, net: u8, program: &Path) -> Result<Outcome, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run::run(schedule, net, program))
}
