//! Plays random schedules of the core in parallel, names those that fail, and cuts them down.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use glenfall_control_plane_sim::{shrink, Coverage, Schedule, ShrunkSchedule};

use crate::Failure;

/// How often progress is told.
const PROGRESS: Duration = Duration::from_secs(10);
/// A machine whose every schedule fails fills no disk: so many are named and cut down.
const MOST_FAILED: usize = 20;

#[derive(clap::Args)]
pub struct Wanted {
    /// How many schedules
    #[arg(long, default_value_t = 10_000)]
    count: u64,
    /// Seed of the first; the others follow it
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Aimed at rare moments of views, in a seed space of their own
    #[arg(long)]
    aimed: bool,
    /// In so many threads; one for each processor if not given
    #[arg(long)]
    threads: Option<usize>,
    /// Cut failing schedules down, and write each as a file
    #[arg(long)]
    shrink: bool,
    /// Folder of the files; it is made
    #[arg(long, default_value = "target/schedules")]
    out: PathBuf,
    /// Play one schedule from its file, exactly as it was
    #[arg(long, conflicts_with_all = ["count", "first", "shrink", "aimed"])]
    replay: Option<PathBuf>,
}

impl Wanted {
    fn schedule(&self, seed: u64) -> Schedule {
        match self.aimed {
            true => Schedule::targeted(seed),
            false => Schedule::generate(seed),
        }
    }

    fn kind(&self) -> &'static str {
        match self.aimed {
            true => "aimed",
            false => "random",
        }
    }
}

/// False where a schedule failed.
pub fn play(wanted: &Wanted) -> Result<bool, Failure> {
    // A node that panics is a property broken, and told as one.
    std::panic::set_hook(Box::new(|_| {}));
    match &wanted.replay {
        Some(file) => replay(file),
        None => play_many(wanted),
    }
}

fn replay(file: &Path) -> Result<bool, Failure> {
    let wrong = |what: &dyn std::fmt::Display| format!("{}: {what}", file.display());
    let bytes = std::fs::read(file).map_err(|e| wrong(&e))?;
    let schedule: Schedule = serde_json::from_slice(&bytes).map_err(|e| wrong(&e))?;
    schedule.check().map_err(|e| wrong(&e))?;
    print!("{}", described(&schedule));
    match schedule.run() {
        Ok(played) => {
            println!("holds; {}", described_coverage(&played));
            Ok(true)
        }
        Err(broken) => {
            print!("{} ms: {}\n{}", broken.at, broken.violation, broken.nodes);
            Ok(false)
        }
    }
}

fn described_coverage(sum: &Coverage) -> String {
    let Coverage {
        changes,
        reads,
        refusals,
        repeats,
        sessions,
        views,
        member_changes,
        requested_voter_changes,
    } = sum;
    format!(
        "{changes} changes acknowledged, {reads} reads, {refusals} refusals, {repeats} orders sent again, {sessions} sessions opened, {views} views, \
         {member_changes} changes of who counts, {requested_voter_changes} asked for by operators"
    )
}

fn described(schedule: &Schedule) -> String {
    let Schedule { seed, size, faults_end_at, events, .. } = schedule;
    let (losses, spare) = (size.losses, size.spare);
    let mut lines = format!(
        "seed {seed}: {} voters that outlive {losses} losses, {spare} standing by, troubles for {faults_end_at} ms\n",
        size.voters()
    );
    for event in events {
        lines += &format!("{:>7} {:?}\n", event.at, event.action);
    }
    lines
}

/// Schedules that are played by several threads.
struct Batch<'a> {
    wanted: &'a Wanted,
    next: AtomicU64,
    ended: AtomicBool,
    coverage: Mutex<Coverage>,
    failed: Mutex<Vec<u64>>,
    began: Instant,
}

impl Batch<'_> {
    /// Plays one schedule after the other until all have been taken.
    fn work(&self) {
        let mut own = Coverage::default();
        loop {
            let n = self.next.fetch_add(1, Ordering::Relaxed);
            if n >= self.wanted.count {
                break;
            }
            let seed = self.wanted.first.wrapping_add(n);
            match self.wanted.schedule(seed).run() {
                Ok(coverage) => own += coverage,
                Err(broken) => {
                    println!("seed {seed} failed at {} ms: {}", broken.at, broken.violation);
                    if let Ok(mut failed) = self.failed.lock() {
                        failed.push(seed);
                    }
                }
            }
        }
        if let Ok(mut coverage) = self.coverage.lock() {
            *coverage += own;
        }
    }

    fn report_progress(&self) {
        let mut reported = Instant::now();
        while !self.ended.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
            if reported.elapsed() >= PROGRESS {
                reported = Instant::now();
                let played = self.next.load(Ordering::Relaxed).min(self.wanted.count);
                eprintln!(
                    "{played} of {} schedules, {} s",
                    self.wanted.count,
                    self.began.elapsed().as_secs()
                );
            }
        }
    }

    fn play(&self, threads: usize) {
        std::thread::scope(|scope| {
            let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(|| self.work())).collect();
            scope.spawn(|| self.report_progress());
            for worker in workers {
                // What panicked is not a schedule, which would have been caught.
                if worker.join().is_err() {
                    eprintln!("a thread ended early");
                }
            }
            self.ended.store(true, Ordering::Relaxed);
        });
    }
}

fn play_many(wanted: &Wanted) -> Result<bool, Failure> {
    let threads =
        wanted.threads.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, Into::into));
    let batch = Batch {
        wanted,
        next: AtomicU64::new(0),
        ended: AtomicBool::new(false),
        coverage: Mutex::default(),
        failed: Mutex::default(),
        began: Instant::now(),
    };
    batch.play(threads);
    let took = batch.began.elapsed().as_secs_f64();
    let coverage = batch.coverage.into_inner().unwrap_or_default();
    let mut failed = batch.failed.into_inner().unwrap_or_default();
    failed.sort();
    println!(
        "{} {} schedules from seed {} in {took:.1} s with {threads} threads: {} failed; {}",
        wanted.count,
        wanted.kind(),
        wanted.first,
        failed.len(),
        described_coverage(&coverage)
    );
    for seed in failed.iter().take(MOST_FAILED) {
        if wanted.shrink {
            cut_down(wanted, *seed)?;
        }
    }
    Ok(failed.is_empty())
}

fn cut_down(wanted: &Wanted, seed: u64) -> Result<(), Failure> {
    let whole = wanted.schedule(seed);
    let Some(ShrunkSchedule { schedule: short, attempts }) = shrink(&whole) else { return Ok(()) };
    let Err(broken) = short.run() else { return Ok(()) };
    std::fs::create_dir_all(&wanted.out)?;
    let file = wanted.out.join(format!("{}-{seed}.json", wanted.kind()));
    std::fs::write(&file, serde_json::to_string_pretty(&short)?)?;
    println!(
        "\nseed {seed}, {} events cut down to {} in {attempts} tries",
        whole.events.len(),
        short.events.len()
    );
    print!("{}{} ms: {}\n{}", described(&short), broken.at, broken.violation, broken.nodes);
    println!("replay with: glenfall-lab schedules --replay {}", file.display());
    Ok(())
}
