//! Simulates random schedules of the replicated control plane in parallel, reports the seeds that fail, and shrinks
//! their schedules.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use glenfall_control_plane_sim::{shrink, Coverage, FailedRun, Schedule, ShrunkSchedule};

use crate::error::{FileError, LabError};

/// Interval between progress messages.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between checks whether all schedules have run.
const END_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of failing schedules that are shrunk and written, so that the disk does not fill up if all
/// schedules fail.
const MAX_SHRUNK: usize = 20;

/// Command-line options of `glenfall-lab schedules`.
#[derive(clap::Args)]
pub struct ScheduleOptions {
    /// Number of schedules to run
    #[arg(long, default_value_t = 10_000)]
    count: u64,
    /// Seed of the first schedule; the others follow consecutively
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Run schedules that target rare situations in view changes; they have their own seed space
    #[arg(long)]
    aimed: bool,
    /// Number of threads; by default one per processor
    #[arg(long)]
    threads: Option<usize>,
    /// Shrink failing schedules, and write each to a file
    #[arg(long)]
    shrink: bool,
    /// Folder for the shrunk schedules; created if missing
    #[arg(long, default_value = "target/schedules")]
    out: PathBuf,
    /// Replay a single schedule from its file
    #[arg(long, conflicts_with_all = ["count", "first", "shrink", "aimed"])]
    replay: Option<PathBuf>,
}

impl ScheduleOptions {
    fn schedule(&self, seed: u64) -> Schedule {
        match self.aimed {
            true => Schedule::targeted(seed),
            false => Schedule::generate(seed),
        }
    }

    /// Returns the kind of schedules, as named in file names and summaries.
    fn kind(&self) -> &'static str {
        match self.aimed {
            true => "aimed",
            false => "random",
        }
    }

    fn threads(&self) -> usize {
        let available = || std::thread::available_parallelism().map_or(1, Into::into);
        self.threads.unwrap_or_else(available)
    }
}

/// Runs or replays schedules. Returns false if one failed.
///
/// # Errors
///
/// Returns an error if a file can't be read or written, or if a schedule file is invalid.
pub fn run(options: &ScheduleOptions) -> Result<bool, LabError> {
    // A panic of a simulated node is reported as a violated invariant, so its message is not printed.
    std::panic::set_hook(Box::new(|_| {}));
    match &options.replay {
        Some(file) => replay(file),
        None => run_many(options),
    }
}

fn replay(file: &Path) -> Result<bool, LabError> {
    let bytes = std::fs::read(file).map_err(|error| FileError::new(file, error))?;
    let schedule: Schedule = serde_json::from_slice(&bytes).map_err(|error| FileError::new(file, error))?;
    schedule.check().map_err(|error| FileError::new(file, error))?;
    print!("{}", describe(&schedule));
    match schedule.run() {
        Ok(coverage) => {
            println!("all invariants hold; {}", describe_coverage(&coverage));
            Ok(true)
        }
        Err(failed) => {
            print!("{}", describe_failure(&failed));
            Ok(false)
        }
    }
}

fn describe_coverage(coverage: &Coverage) -> String {
    let Coverage {
        changes,
        reads,
        refusals,
        repeats,
        sessions,
        views,
        member_changes,
        requested_voter_changes,
    } = coverage;
    format!(
        "{changes} changes acknowledged, {reads} reads, {refusals} rejections, {repeats} retried changes, {sessions} sessions opened, {views} views, \
         {member_changes} membership changes, {requested_voter_changes} voter changes requested by operators"
    )
}

fn describe(schedule: &Schedule) -> String {
    let Schedule { seed, size, faults_end_at, events, .. } = schedule;
    let (voters, losses, spare) = (size.voters(), size.losses, size.spare);
    let mut lines = format!(
        "seed {seed}: {voters} voters tolerating {losses} losses, {spare} standbys, faults until {faults_end_at} ms\n"
    );
    for event in events {
        lines += &format!("{:>7} {:?}\n", event.at, event.action);
    }
    lines
}

fn describe_failure(failed: &FailedRun) -> String {
    format!("failed at {} ms: {}\n{}", failed.at, failed.violation, failed.nodes)
}

/// A batch of schedules run by several threads.
struct Batch<'a> {
    options: &'a ScheduleOptions,
    /// Number of schedules started; may exceed the total at the end.
    started: AtomicU64,
    ended: AtomicBool,
    coverage: Mutex<Coverage>,
    failed_seeds: Mutex<Vec<u64>>,
    began_at: Instant,
}

impl<'a> Batch<'a> {
    fn new(options: &'a ScheduleOptions) -> Self {
        Batch {
            options,
            started: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            coverage: Mutex::default(),
            failed_seeds: Mutex::default(),
            began_at: Instant::now(),
        }
    }

    fn run(&self, threads: usize) {
        std::thread::scope(|scope| {
            let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(|| self.run_worker())).collect();
            scope.spawn(|| self.report_progress());
            for worker in workers {
                // Panics of simulated nodes are caught by their schedule: this is a panic of the worker itself.
                if worker.join().is_err() {
                    eprintln!("a worker thread panicked; its coverage is missing from the summary");
                }
            }
            self.ended.store(true, Ordering::Relaxed);
        });
    }

    /// Runs schedules one after another until none is left.
    fn run_worker(&self) {
        let mut worker_coverage = Coverage::default();
        loop {
            let number = self.started.fetch_add(1, Ordering::Relaxed);
            if number >= self.options.count {
                break;
            }
            let seed = self.options.first.wrapping_add(number);
            match self.options.schedule(seed).run() {
                Ok(coverage) => worker_coverage += coverage,
                Err(failed) => self.add_failure(seed, &failed),
            }
        }
        if let Ok(mut coverage) = self.coverage.lock() {
            *coverage += worker_coverage;
        }
    }

    fn add_failure(&self, seed: u64, failed: &FailedRun) {
        println!("seed {seed} failed at {} ms: {}", failed.at, failed.violation);
        if let Ok(mut failed_seeds) = self.failed_seeds.lock() {
            failed_seeds.push(seed);
        }
    }

    fn report_progress(&self) {
        let mut reported_at = Instant::now();
        while !self.ended.load(Ordering::Relaxed) {
            std::thread::sleep(END_POLL_INTERVAL);
            if reported_at.elapsed() >= PROGRESS_INTERVAL {
                reported_at = Instant::now();
                let count = self.options.count;
                let started = self.started.load(Ordering::Relaxed).min(count);
                eprintln!(
                    "{started} of {count} schedules started, {} s elapsed",
                    self.began_at.elapsed().as_secs()
                );
            }
        }
    }
}

fn run_many(options: &ScheduleOptions) -> Result<bool, LabError> {
    let threads = options.threads();
    let batch = Batch::new(options);
    batch.run(threads);
    let seconds = batch.began_at.elapsed().as_secs_f64();
    let coverage = batch.coverage.into_inner().unwrap_or_default();
    let mut failed_seeds = batch.failed_seeds.into_inner().unwrap_or_default();
    failed_seeds.sort_unstable();
    println!(
        "{} {} schedules from seed {} in {seconds:.1} s with {threads} threads: {} failed; {}",
        options.count,
        options.kind(),
        options.first,
        failed_seeds.len(),
        describe_coverage(&coverage)
    );
    if options.shrink {
        for seed in failed_seeds.iter().take(MAX_SHRUNK) {
            shrink_and_write(options, *seed)?;
        }
    }
    Ok(failed_seeds.is_empty())
}

fn shrink_and_write(options: &ScheduleOptions, seed: u64) -> Result<(), LabError> {
    let complete = options.schedule(seed);
    let Some(ShrunkSchedule { schedule: shrunk, attempts }) = shrink(&complete) else { return Ok(()) };
    let Err(failed) = shrunk.run() else { return Ok(()) };
    std::fs::create_dir_all(&options.out)?;
    let file = options.out.join(format!("{}-{seed}.json", options.kind()));
    std::fs::write(&file, serde_json::to_string_pretty(&shrunk)?)?;
    println!(
        "\nseed {seed}: {} events shrunk to {} in {attempts} attempts",
        complete.events.len(),
        shrunk.events.len()
    );
    print!("{}{}", describe(&shrunk), describe_failure(&failed));
    println!("replay with: glenfall-lab schedules --replay {}", file.display());
    Ok(())
}
