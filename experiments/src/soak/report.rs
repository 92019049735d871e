//! The report of a soak: a line for each seed, totals, and the files of the seeds that failed.

use std::collections::BTreeMap;
use std::path::Path;

use super::oracle::Invariant;
use super::run::Outcome;
use crate::error::LabError;

/// Totals of all seeds.
#[derive(Default)]
pub struct SoakReport {
    failed_seeds: Vec<u64>,
    violations: BTreeMap<Invariant, u64>,
    counts: BTreeMap<&'static str, u64>,
    causes: BTreeMap<String, u64>,
    faults: usize,
}

impl SoakReport {
    /// Adds and prints the outcome of a seed. Where an invariant was violated, writes its files to a folder in `out`.
    pub fn add(&mut self, seed: u64, outcome: Result<Outcome, LabError>, out: &Path) {
        match outcome {
            Ok(outcome) => self.add_outcome(seed, &outcome, out),
            Err(error) => {
                println!("seed {seed}: {error}");
                self.failed_seeds.push(seed);
            }
        }
    }

    fn add_outcome(&mut self, seed: u64, outcome: &Outcome, out: &Path) {
        self.faults += outcome.schedule.faults.len();
        for (how, count) in &outcome.counts {
            *self.counts.entry(how).or_default() += count;
        }
        for (cause, count) in &outcome.causes {
            *self.causes.entry(cause.clone()).or_default() += count;
        }
        let counts = list(&outcome.counts);
        if outcome.violations.is_empty() {
            println!("seed {seed}: holds; {counts}; {:?}", outcome.causes);
            return;
        }
        self.failed_seeds.push(seed);
        println!("seed {seed}: broken; {counts}; {:?}", outcome.causes);
        for violation in &outcome.violations {
            *self.violations.entry(violation.invariant).or_default() += 1;
            println!("  {:.2} s: {:?}: {}", violation.at, violation.invariant, violation.details);
        }
        if let Err(error) = write_files(&out.join(format!("seed-{seed}")), outcome) {
            println!("  not kept: {error}");
        }
    }

    /// Prints the totals of `count` seeds from `first`.
    pub fn print_summary(&self, count: u64, first: u64) {
        println!("{count} seeds from {first}, {} faults; {}", self.faults, list(&self.counts));
        println!("failures by cause: {:?}", self.causes);
        for (invariant, count) in &self.violations {
            println!("broken: {invariant:?} {count} times");
        }
        println!("{} seeds failed: {:?}", self.failed_seeds.len(), self.failed_seeds);
    }

    /// Whether no seed failed.
    pub fn has_no_failures(&self) -> bool {
        self.failed_seeds.is_empty()
    }
}

fn list(counts: &BTreeMap<&'static str, u64>) -> String {
    counts.iter().map(|(how, count)| format!("{how} {count}")).collect::<Vec<_>>().join(", ")
}

/// Writes an outcome into a folder, and moves the logs there.
fn write_files(folder: &Path, outcome: &Outcome) -> std::io::Result<()> {
    // The files of an earlier soak are replaced.
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
