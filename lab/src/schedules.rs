//! Plays random schedules of the core in parallel, names those that fail, and cuts them down.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use glenfall_sim::{shrunk, Broken, Coverage, Schedule};

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
    #[arg(long, conflicts_with_all = ["count", "first", "shrink"])]
    replay: Option<PathBuf>,
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
    match schedule.play() {
        Ok(played) => {
            println!("holds; {}", told(&played));
            Ok(true)
        }
        Err(broken) => {
            print!("{} ms: {}\n{}", broken.at, broken.violation, broken.nodes);
            Ok(false)
        }
    }
}

fn told(sum: &Coverage) -> String {
    let Coverage { changes, reads, refusals, repeats, views, member_changes, seats } = sum;
    format!(
        "{changes} changes acknowledged, {reads} reads, {refusals} refusals, {repeats} orders sent again, {views} views, \
         {member_changes} changes of who counts, {seats} asked for by operators"
    )
}

fn described(schedule: &Schedule) -> String {
    let Schedule { seed, size, troubles, events, .. } = schedule;
    let (losses, spare) = (size.losses, size.spare);
    let mut lines = format!(
        "seed {seed}: {} voters that outlive {losses} losses, {spare} standing by, troubles for {troubles} ms\n",
        size.voters()
    );
    for event in events {
        lines += &format!("{:>7} {:?}\n", event.at, event.action);
    }
    lines
}

fn play_many(wanted: &Wanted) -> Result<bool, Failure> {
    let threads =
        wanted.threads.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, Into::into));
    let (next, ended) = (AtomicU64::new(0), AtomicBool::new(false));
    let (sum, failed) = (Mutex::new(Coverage::default()), Mutex::new(Vec::<(u64, Broken)>::new()));
    let began = Instant::now();
    std::thread::scope(|scope| {
        let work = || {
            let mut own = Coverage::default();
            loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                if n >= wanted.count {
                    break;
                }
                let seed = wanted.first.wrapping_add(n);
                match Schedule::generate(seed).play() {
                    Ok(played) => own += played,
                    Err(broken) => {
                        println!("seed {seed} failed at {} ms: {}", broken.at, broken.violation);
                        if let Ok(mut failed) = failed.lock() {
                            failed.push((seed, broken));
                        }
                    }
                }
            }
            if let Ok(mut sum) = sum.lock() {
                *sum += own;
            }
        };
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        scope.spawn(|| {
            let mut told = Instant::now();
            while !ended.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(50));
                if told.elapsed() >= PROGRESS {
                    told = Instant::now();
                    let played = next.load(Ordering::Relaxed).min(wanted.count);
                    eprintln!("{played} of {} schedules, {} s", wanted.count, began.elapsed().as_secs());
                }
            }
        });
        for worker in workers {
            // What panicked is not a schedule, which would have been caught.
            if worker.join().is_err() {
                eprintln!("a thread ended early");
            }
        }
        ended.store(true, Ordering::Relaxed);
    });
    let sum = sum.into_inner().unwrap_or_default();
    let mut failed = failed.into_inner().unwrap_or_default();
    failed.sort_by_key(|(seed, _)| *seed);
    println!(
        "{} schedules from seed {} in {:.1} s with {threads} threads: {} failed; {}",
        wanted.count,
        wanted.first,
        began.elapsed().as_secs_f64(),
        failed.len(),
        told(&sum)
    );
    for (seed, _) in failed.iter().take(MOST_FAILED) {
        if wanted.shrink {
            cut_down(*seed, &wanted.out)?;
        }
    }
    Ok(failed.is_empty())
}

fn cut_down(seed: u64, out: &Path) -> Result<(), Failure> {
    let whole = Schedule::generate(seed);
    let Some((short, tries)) = shrunk(&whole) else { return Ok(()) };
    let Err(broken) = short.play() else { return Ok(()) };
    std::fs::create_dir_all(out)?;
    let file = out.join(format!("seed-{seed}.json"));
    std::fs::write(&file, serde_json::to_string_pretty(&short)?)?;
    println!(
        "\nseed {seed}, {} events cut down to {} in {tries} tries",
        whole.events.len(),
        short.events.len()
    );
    print!("{}{} ms: {}\n{}", described(&short), broken.at, broken.violation, broken.nodes);
    println!("replay with: glenfall-lab schedules --replay {}", file.display());
    Ok(())
}
