//! The soak report: one line for each seed, totals, and files for failed seeds.

use std::collections::BTreeMap;
use std::path::Path;

use super::oracle::Invariant;
use super::run::Outcome;
use crate::error::LabError;

/// Totals over all seeds.
#[derive(Default)]
pub struct SoakReport {
    failed_seeds: Vec<u64>,
    violations: BTreeMap<Invariant, u64>,
    counts: BTreeMap<&'static str, u64>,
    causes: BTreeMap<String, u64>,
    faults: usize,
}

impl SoakReport {
    /// Adds and prints the outcome of a seed. If an invariant was violated, writes the outcome and the logs to a
    /// folder in `out`.
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
        for (outcome_name, count) in &outcome.counts {
            *self.counts.entry(outcome_name).or_default() += count;
        }
        for (cause, count) in &outcome.causes {
            *self.causes.entry(cause.clone()).or_default() += count;
        }
        let counts = list(&outcome.counts);
        if outcome.violations.is_empty() {
            println!("seed {seed}: all invariants hold; {counts}; failures by cause: {:?}", outcome.causes);
            return;
        }
        self.failed_seeds.push(seed);
        println!("seed {seed}: invariants violated; {counts}; failures by cause: {:?}", outcome.causes);
        for violation in &outcome.violations {
            *self.violations.entry(violation.invariant).or_default() += 1;
            println!("  {:.2} s: {:?}: {}", violation.at, violation.invariant, violation.details);
        }
        if let Err(error) = write_files(&out.join(format!("seed-{seed}")), outcome) {
            println!("  can't write the files of this seed: {error}");
        }
    }

    /// Prints the totals of `count` seeds, starting with `first`.
    pub fn print_summary(&self, count: u64, first: u64) {
        println!("{count} seeds from {first}, {} faults injected; {}", self.faults, list(&self.counts));
        println!("failures by cause: {:?}", self.causes);
        for (invariant, count) in &self.violations {
            println!("violated: {invariant:?} {count} times");
        }
        println!("{} seeds failed: {:?}", self.failed_seeds.len(), self.failed_seeds);
    }

    /// Whether all seeds could be run and no invariant was violated.
    pub fn has_no_failures(&self) -> bool {
        self.failed_seeds.is_empty()
    }
}

fn list(counts: &BTreeMap<&'static str, u64>) -> String {
    counts
        .iter()
        .map(|(outcome_name, count)| format!("{outcome_name} {count}"))
        .collect::<Vec<_>>()
        .join(", ")
}

/// Writes an outcome to a folder, and moves the logs there.
fn write_files(folder: &Path, outcome: &Outcome) -> std::io::Result<()> {
    // Removes the files of an earlier soak.
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
