//! The report of an experiment, as JSON and Markdown.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::execution_log::ViolationCounts;
use crate::plan::Plan;

/// The highest recorded latency, in microseconds; deadlines are shorter.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// How a request of a client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It succeeded within its latency target.
    WithinTarget,
    /// It succeeded after its latency target.
    Late,
    /// The last attempt was rejected as not executed, and the client does not retry it again.
    Rejected,
    /// The last attempt ended in any other error status, or without a response: for example, its edge could not be
    /// reached, or the deadline passed.
    Failed,
}

/// Counts of requests by outcome, in one second or in total.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were sent, whatever their outcome.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Those that succeeded within their latency target.
    #[serde(rename = "in_aim")]
    pub within_target: u64,
    /// Those that succeeded after their latency target.
    pub late: u64,
    /// Those that were rejected as not executed.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Those that neither succeeded nor were rejected as not executed: see [`RequestOutcome::Failed`].
    pub failed: u64,
}

impl Counts {
    fn add(&mut self, outcome: RequestOutcome) {
        self.requests += 1;
        match outcome {
            RequestOutcome::WithinTarget => self.within_target += 1,
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::Rejected => self.rejected += 1,
            RequestOutcome::Failed => self.failed += 1,
        }
    }
}

struct ClassMeasurements {
    total: Counts,
    seconds: Vec<Counts>,
    /// Latencies of successful requests, in microseconds.
    latencies: Histogram<u64>,
}

/// The measurements of all clients.
pub struct Measurements {
    classes: Vec<ClassMeasurements>,
    /// Requests that were not sent because too many were in flight in the load generator.
    pub not_sent: u64,
    /// Purges that were sent.
    pub purges: u64,
    /// Purges that were not acknowledged.
    pub failed_purges: u64,
}

impl Measurements {
    /// Creates empty measurements for the classes of a plan.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram can't be created.
    pub fn new(plan: &Plan) -> Result<Measurements, hdrhistogram::CreationError> {
        let mut classes = Vec::new();
        for _ in &plan.classes {
            let seconds = vec![Counts::default(); plan.seconds.ceil() as usize];
            let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)?;
            classes.push(ClassMeasurements { total: Counts::default(), seconds, latencies });
        }
        Ok(Measurements { classes, not_sent: 0, purges: 0, failed_purges: 0 })
    }

    /// Records the outcome of a request. `class` is its index in the plan, `second` the second of its arrival.
    pub fn add(&mut self, class: usize, second: usize, outcome: RequestOutcome, latency: Duration) {
        let class = &mut self.classes[class];
        class.total.add(outcome);
        if let Some(counts) = class.seconds.get_mut(second) {
            counts.add(outcome);
        }
        if matches!(outcome, RequestOutcome::WithinTarget | RequestOutcome::Late) {
            class.latencies.saturating_record(latency.as_micros() as u64);
        }
    }
}

/// The results of one class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassReport {
    /// The name of the class.
    pub name: String,
    /// Counts over the whole experiment.
    pub counts: Counts,
    /// The value earned by served requests, divided by the value possible if all requests had met the latency target; 1
    /// without requests.
    #[serde(rename = "worth")]
    pub value_share: f64,
    /// The median latency of successful requests, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latencies of successful requests, in milliseconds.
    pub p99_ms: f64,
    /// Counts by the second in which requests arrived.
    pub seconds: Vec<Counts>,
}

/// The results of one service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Requests that arrived at the servers of the service.
    pub arrivals: u64,
    /// Requests that the servers rejected.
    #[serde(rename = "turned_away")]
    pub rejections: u64,
}

/// The results of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The value earned by served requests of all classes, divided by the value possible if all requests had met the
    /// latency target; 1 without requests.
    #[serde(rename = "worth")]
    pub value_share: f64,
    /// The classes, in the order of the plan.
    pub classes: Vec<ClassReport>,
    /// The services, by name.
    pub services: BTreeMap<String, ServiceReport>,
    /// The counters of the system's processes, summed over all sessions.
    pub counters: BTreeMap<String, u64>,
    /// How often each guarantee was violated, by its name in reports.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<String, u64>,
    /// Purges that were sent.
    pub purges: u64,
    /// Purges that were not acknowledged.
    #[serde(rename = "purges_failed")]
    pub failed_purges: u64,
    /// Requests that were not sent because too many were in flight in the load generator.
    #[serde(rename = "overrun")]
    pub not_sent: u64,
    /// The plan of the experiment, as JSON.
    pub plan: serde_json::Value,
}

/// The value earned by requests, and the value if all had met their latency target.
#[derive(Clone, Copy, Default)]
struct Value {
    earned: f64,
    possible: f64,
}

impl Value {
    fn add(&mut self, other: Value) {
        self.earned += other.earned;
        self.possible += other.possible;
    }

    fn share(self) -> f64 {
        if self.possible > 0.0 {
            self.earned / self.possible
        } else {
            1.0
        }
    }
}

impl Report {
    /// Creates a report from the measurements of an experiment.
    pub fn new(
        plan: &Plan,
        measurements: &Measurements,
        services: BTreeMap<String, ServiceReport>,
        counters: BTreeMap<String, u64>,
        violations: &ViolationCounts,
    ) -> Report {
        let mut total_value = Value::default();
        let mut classes = Vec::new();
        for (class, measured) in plan.classes.iter().zip(&measurements.classes) {
            let counts = measured.total.clone();
            let earned = counts.within_target as f64 * class.value + counts.late as f64 * class.late_value;
            let value = Value { earned, possible: counts.requests as f64 * class.value };
            total_value.add(value);
            let quantile_ms = |quantile| measured.latencies.value_at_quantile(quantile) as f64 / 1000.0;
            classes.push(ClassReport {
                name: class.name.clone(),
                value_share: value.share(),
                p50_ms: quantile_ms(0.5),
                p99_ms: quantile_ms(0.99),
                counts,
                seconds: measured.seconds.clone(),
            });
        }
        Report {
            value_share: total_value.share(),
            classes,
            services,
            counters,
            violations: violations_by_name(violations),
            purges: measurements.purges,
            failed_purges: measurements.failed_purges,
            not_sent: measurements.not_sent,
            plan: serde_json::to_value(plan).unwrap_or_default(),
        }
    }

    /// Whether any guarantee was violated.
    pub fn has_violations(&self) -> bool {
        self.violations.values().any(|count| *count > 0)
    }

    /// Returns the report as Markdown.
    pub fn markdown(&self) -> String {
        let mut text = format!(
            "# Experiment\n\nValue earned, as a share of the possible value: {:.3}.\n\n",
            self.value_share
        );
        // Writing to a `String` never fails.
        let mut line = |content: std::fmt::Arguments| {
            let _ = writeln!(text, "{content}");
        };
        line(format_args!(
            "| class | requests | within target | late | rejected | failed | value share | p50 ms | p99 ms |"
        ));
        line(format_args!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |"));
        for class in &self.classes {
            let Counts { requests, within_target, late, rejected, failed } = class.counts;
            line(format_args!(
                "| {} | {requests} | {within_target} | {late} | {rejected} | {failed} | {:.3} | {:.1} | {:.1} |",
                class.name, class.value_share, class.p50_ms, class.p99_ms
            ));
        }
        line(format_args!("\n| service | arrivals | rejected |\n| --- | --- | --- |"));
        for (name, service) in &self.services {
            line(format_args!("| {name} | {} | {} |", service.arrivals, service.rejections));
        }
        line(format_args!("\nPurges: {}, not acknowledged: {}.", self.purges, self.failed_purges));
        for (name, count) in self.violations.iter().filter(|(_, count)| **count > 0) {
            line(format_args!("\n**Violated guarantee** `{name}`: {count} times."));
        }
        if self.not_sent > 0 {
            line(format_args!(
                "\nThe load generator was overloaded: {} requests were not sent.",
                self.not_sent
            ));
        }
        line(format_args!("\n| counter | sum over machines |\n| --- | --- |"));
        for (name, value) in &self.counters {
            line(format_args!("| {name} | {value} |"));
        }
        text.push_str("\n![requests per second](answers.svg)\n");
        text
    }

    /// Returns the changes from an earlier report to this one: a line for all classes together, and one for each class
    /// that both reports have.
    pub fn comparison_with(&self, before: &Report) -> String {
        let mut text = format!("all: value share {:.3} -> {:.3}\n", before.value_share, self.value_share);
        for class in &self.classes {
            let Some(old) = before.classes.iter().find(|old| old.name == class.name) else { continue };
            let _ = writeln!(
                text,
                "{}: value share {:.3} -> {:.3}, p50 {:.1} -> {:.1} ms, p99 {:.1} -> {:.1} ms, rejected {} -> {}",
                class.name,
                old.value_share,
                class.value_share,
                old.p50_ms,
                class.p50_ms,
                old.p99_ms,
                class.p99_ms,
                old.counts.rejected,
                class.counts.rejected
            );
        }
        text
    }
}

/// Returns the violation counts by their names in reports.
fn violations_by_name(violations: &ViolationCounts) -> BTreeMap<String, u64> {
    let named = [
        ("twice", violations.executed_twice),
        ("refused", violations.rejected_after_execution),
        ("mixed", violations.incomplete),
        ("stale", violations.stale),
    ];
    named.map(|(name, count)| (name.to_owned(), count)).into()
}
