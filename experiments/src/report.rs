//! What came of an experiment: figures as JSON, a page as Markdown.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::ledger::Broken;
use crate::plan::Plan;

/// In microseconds; beyond it nothing is waited for.
const LONGEST: u64 = 120_000_000;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    InAim,
    Late,
    /// Told that it has not run, also after the tries that the client added.
    Refused,
    Failed,
}

/// Counts of one second, or of all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    pub asked: u64,
    pub in_aim: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
}

impl Counts {
    fn add(&mut self, ended: Ended) {
        self.asked += 1;
        *match ended {
            Ended::InAim => &mut self.in_aim,
            Ended::Late => &mut self.late,
            Ended::Refused => &mut self.refused,
            Ended::Failed => &mut self.failed,
        } += 1;
    }
}

struct Class {
    all: Counts,
    seconds: Vec<Counts>,
    /// Of those that were answered, in microseconds.
    took: Histogram<u64>,
}

/// What clients have seen so far.
pub struct Seen {
    classes: Vec<Class>,
    /// Requests that were not sent, as too many were under way in the tool itself.
    pub overrun: u64,
    pub purges: u64,
    pub purges_failed: u64,
}

impl Seen {
    pub fn new(plan: &Plan) -> Result<Seen, hdrhistogram::CreationError> {
        let mut classes = Vec::new();
        for _ in &plan.classes {
            let seconds = vec![Counts::default(); plan.seconds.ceil() as usize];
            let took = Histogram::new_with_bounds(1, LONGEST, 3)?;
            classes.push(Class { all: Counts::default(), seconds, took });
        }
        Ok(Seen { classes, overrun: 0, purges: 0, purges_failed: 0 })
    }

    pub fn add(&mut self, class: usize, second: usize, ended: Ended, took: Duration) {
        let class = &mut self.classes[class];
        class.all.add(ended);
        if let Some(counts) = class.seconds.get_mut(second) {
            counts.add(ended);
        }
        if matches!(ended, Ended::InAim | Ended::Late) {
            class.took.saturating_record(took.as_micros() as u64);
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassReport {
    pub name: String,
    pub counts: Counts,
    /// Worth earned over worth owed.
    pub worth: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub seconds: Vec<Counts>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceReport {
    pub arrivals: u64,
    pub turned_away: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Worth earned over worth owed, of all classes.
    pub worth: f64,
    pub classes: Vec<ClassReport>,
    pub services: BTreeMap<String, ServiceReport>,
    /// The system's own counters, summed over its machines.
    pub counters: BTreeMap<String, u64>,
    pub broken: BTreeMap<String, u64>,
    pub purges: u64,
    pub purges_failed: u64,
    pub overrun: u64,
    pub plan: serde_json::Value,
}

impl Report {
    pub fn new(
        plan: &Plan,
        seen: &Seen,
        services: BTreeMap<String, ServiceReport>,
        counters: BTreeMap<String, u64>,
        broken: &Broken,
    ) -> Report {
        let (mut owed, mut earned) = (0.0, 0.0);
        let classes = plan.classes.iter().zip(&seen.classes).map(|(class, seen)| {
            let counts = seen.all.clone();
            let got = counts.in_aim as f64 * class.worth + counts.late as f64 * class.late_worth;
            let due = counts.asked as f64 * class.worth;
            owed += due;
            earned += got;
            let ms = |q| seen.took.value_at_quantile(q) as f64 / 1000.0;
            ClassReport {
                name: class.name.clone(),
                worth: if due > 0.0 { got / due } else { 1.0 },
                p50_ms: ms(0.5),
                p99_ms: ms(0.99),
                counts,
                seconds: seen.seconds.clone(),
            }
        });
        let classes: Vec<ClassReport> = classes.collect();
        let broken = [
            ("twice", broken.twice),
            ("refused", broken.refused),
            ("mixed", broken.mixed),
            ("stale", broken.stale),
        ];
        Report {
            worth: if owed > 0.0 { earned / owed } else { 1.0 },
            classes,
            services,
            counters,
            broken: broken.map(|(name, count)| (name.to_owned(), count)).into(),
            purges: seen.purges,
            purges_failed: seen.purges_failed,
            overrun: seen.overrun,
            plan: serde_json::to_value(plan).unwrap_or_default(),
        }
    }

    pub fn any_broken(&self) -> bool {
        self.broken.values().any(|count| *count > 0)
    }

    /// A page to read.
    pub fn markdown(&self) -> String {
        let mut text = format!("# Experiment\n\nWorth earned over worth owed: {:.3}.\n\n", self.worth);
        // Writing to a string does not fail.
        let mut line = |what: std::fmt::Arguments| {
            let _ = writeln!(text, "{what}");
        };
        line(format_args!("| class | asked | in aim | late | refused | failed | worth | p50 ms | p99 ms |"));
        line(format_args!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |"));
        for class in &self.classes {
            let Counts { asked, in_aim, late, refused, failed } = class.counts;
            line(format_args!(
                "| {} | {asked} | {in_aim} | {late} | {refused} | {failed} | {:.3} | {:.1} | {:.1} |",
                class.name, class.worth, class.p50_ms, class.p99_ms
            ));
        }
        line(format_args!("\n| service | arrivals | turned away |\n| --- | --- | --- |"));
        for (name, service) in &self.services {
            line(format_args!("| {name} | {} | {} |", service.arrivals, service.turned_away));
        }
        line(format_args!("\nPurges: {}, not acknowledged: {}.", self.purges, self.purges_failed));
        for (name, count) in self.broken.iter().filter(|(_, count)| **count > 0) {
            line(format_args!("\n**Broken promise** `{name}`: {count} times."));
        }
        if self.overrun > 0 {
            line(format_args!("\nThe tool could not keep up: {} requests were not sent.", self.overrun));
        }
        line(format_args!("\n| counter | sum over machines |\n| --- | --- |"));
        for (name, value) in &self.counters {
            line(format_args!("| {name} | {value} |"));
        }
        text.push_str("\n![answers a second](answers.svg)\n");
        text
    }

    /// One line for each class: what changed from an earlier report to this one.
    pub fn compared(&self, before: &Report) -> String {
        let mut text = format!("all: worth {:.3} -> {:.3}\n", before.worth, self.worth);
        for class in &self.classes {
            let Some(old) = before.classes.iter().find(|old| old.name == class.name) else { continue };
            let _ = writeln!(
                text,
                "{}: worth {:.3} -> {:.3}, p50 {:.1} -> {:.1} ms, p99 {:.1} -> {:.1} ms, refused {} -> {}",
                class.name,
                old.worth,
                class.worth,
                old.p50_ms,
                class.p50_ms,
                old.p99_ms,
                class.p99_ms,
                old.counts.refused,
                class.counts.refused
            );
        }
        text
    }
}
