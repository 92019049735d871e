//! The soak: the system's own processes on this machine, over real sockets, under faults that a seed draws: kills, pauses,
//! partitions, lost responses, lost disks, reloads, and clients and servers that misbehave, two or three at a time. What
//! clients, servers and operators observe is checked against the invariants of the system, and the code checks its own.

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

/// Third byte of the addresses of the first thread's machines; the next threads have the next ones.
const FIRST_NET: u8 = 40;
/// Runs at the same time at most.
const MAX_THREADS: usize = 16;

/// The options of a soak.
#[derive(clap::Args)]
pub struct SoakOptions {
    /// How many seeds
    #[arg(long, default_value_t = 20)]
    count: u64,
    /// The first of them; the others follow it
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Seconds in which there are faults
    #[arg(long, default_value_t = 14.0)]
    seconds: f64,
    /// Runs at the same time
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// Folder of what failed: the schedule, the violations, and the logs
    #[arg(long, default_value = "target/soak")]
    out: PathBuf,
    /// The program under test; the one beside this one if not given
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Run this schedule (JSON) under each seed in place of drawn ones
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Print the faults of the seeds, and run nothing
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

/// Runs the seeds; false where an invariant was violated.
///
/// # Errors
///
/// Returns an error where a schedule can't be read or the folder of the output can't be made. A run that can't be started
/// is a failed seed.
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

/// Runs one seed after the other until all have been started.
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
