//! The soak: the system's own processes on this machine, over real sockets, under troubles that a seed draws: kills,
//! pauses, cuts, lost answers, lost disks, reloads, clients and servers that misbehave, two or three at a time. What clients,
//! servers and operators see is held against the promises, and the invariants of the code are on.

mod clients;
mod logs;
mod observed;
mod operators;
mod owner;
mod play;
mod relay;
mod schedule;
mod servers;
mod troubles;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use tokio::task::LocalSet;

use crate::Failure;
use observed::Promise;
use play::Outcome;
pub use schedule::Schedule;

/// Third byte of the addresses of the first thread's machines; the next threads have the next ones.
const NET: u8 = 40;
/// Plays at the same time at most.
const MOST_THREADS: usize = 16;

#[derive(clap::Args)]
pub struct SoakPlan {
    /// How many seeds
    #[arg(long, default_value_t = 20)]
    count: u64,
    /// The first of them; the others follow it
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Seconds in which there are troubles
    #[arg(long, default_value_t = 14.0)]
    seconds: f64,
    /// Plays at the same time
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// Folder of what failed: the schedule, what was broken, and the logs
    #[arg(long, default_value = "target/soak")]
    out: PathBuf,
    /// The program under test; the one beside this one if not given
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Play this schedule (JSON) under each seed in place of drawn ones
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Print the troubles of the seeds, and play nothing
    #[arg(long)]
    show: bool,
}

impl SoakPlan {
    fn schedule(&self, seed: u64) -> Result<Schedule, Failure> {
        let Some(path) = &self.schedule else {
            return Ok(Schedule::draw(seed, self.seconds, play::EDGES, play::SERVICES));
        };
        let wrong = |what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
        let bytes = std::fs::read(path).map_err(|what| wrong(&what))?;
        let schedule: Schedule = serde_json::from_slice(&bytes).map_err(|what| wrong(&what))?;
        Ok(Schedule { seed, ..schedule })
    }

    fn seeds(&self) -> std::ops::Range<u64> {
        self.first..self.first + self.count
    }
}

/// What came of all seeds.
#[derive(Default)]
struct Totals {
    failed: Vec<u64>,
    broken: BTreeMap<Promise, u64>,
    counts: BTreeMap<&'static str, u64>,
    causes: BTreeMap<String, u64>,
    troubles: usize,
}

/// Plays the seeds; false where a promise was broken.
pub fn run(plan: &SoakPlan, program: &Path) -> Result<bool, Failure> {
    if plan.show {
        for seed in plan.seeds() {
            println!("{}", serde_json::to_string_pretty(&plan.schedule(seed)?)?);
        }
        return Ok(true);
    }
    std::fs::create_dir_all(&plan.out)?;
    let (next, totals) = (AtomicU64::new(plan.first), Mutex::new(Totals::default()));
    std::thread::scope(|scope| {
        let threads = plan.threads.clamp(1, MOST_THREADS);
        for thread in 0..threads {
            let (next, totals) = (&next, &totals);
            scope.spawn(move || {
                while let Some(seed) =
                    Some(next.fetch_add(1, Ordering::Relaxed)).filter(|s| plan.seeds().contains(s))
                {
                    let outcome = plan
                        .schedule(seed)
                        .and_then(|schedule| play_one(schedule, NET + thread as u8, program));
                    let mut totals = totals.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    tell(plan, seed, outcome, &mut totals);
                }
            });
        }
    });
    let totals = totals.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    println!(
        "{} seeds from {}, {} troubles; {}",
        plan.count,
        plan.first,
        totals.troubles,
        listed(&totals.counts)
    );
    println!("failures by cause: {:?}", totals.causes);
    for (promise, count) in &totals.broken {
        println!("broken: {promise:?} {count} times");
    }
    println!("{} seeds failed: {:?}", totals.failed.len(), totals.failed);
    Ok(totals.failed.is_empty())
}

fn listed(counts: &BTreeMap<&'static str, u64>) -> String {
    counts.iter().map(|(how, count)| format!("{how} {count}")).collect::<Vec<_>>().join(", ")
}

fn play_one(schedule: Schedule, net: u8, program: &Path) -> Result<Outcome, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, play::play(schedule, net, program))?)
}

/// Tells what came of a seed, and keeps what failed.
fn tell(plan: &SoakPlan, seed: u64, outcome: Result<Outcome, Failure>, totals: &mut Totals) {
    let outcome = match outcome {
        Ok(outcome) => outcome,
        Err(error) => {
            println!("seed {seed}: {error}");
            totals.failed.push(seed);
            return;
        }
    };
    totals.troubles += outcome.schedule.troubles.len();
    for (how, count) in &outcome.counts {
        *totals.counts.entry(how).or_default() += count;
    }
    for (cause, count) in &outcome.causes {
        *totals.causes.entry(cause.clone()).or_default() += count;
    }
    if outcome.violations.is_empty() {
        println!("seed {seed}: holds; {}; {:?}", listed(&outcome.counts), outcome.causes);
        return;
    }
    totals.failed.push(seed);
    println!("seed {seed}: broken; {}; {:?}", listed(&outcome.counts), outcome.causes);
    for violation in &outcome.violations {
        *totals.broken.entry(violation.promise).or_default() += 1;
        println!("  {:.2} s: {:?}: {}", violation.at, violation.promise, violation.details);
    }
    if let Err(error) = keep(&plan.out.join(format!("seed-{seed}")), &outcome) {
        println!("  not kept: {error}");
    }
}

/// Writes what failed into a folder, and moves the logs there.
fn keep(folder: &Path, outcome: &Outcome) -> std::io::Result<()> {
    // What an earlier run left there.
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("outcome.json"), serde_json::to_string_pretty(outcome)?)?;
    let Some(logs) = &outcome.logs else { return Ok(()) };
    for entry in std::fs::read_dir(logs)?.flatten() {
        let path = entry.path();
        if path.is_file() {
            std::fs::copy(&path, folder.join(entry.file_name()))?;
        }
    }
    std::fs::remove_dir_all(logs)
}
