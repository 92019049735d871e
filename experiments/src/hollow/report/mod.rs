//! The report of hollow runs: tables, straight lines fitted over the sizes, and plots with the bounds of the capacity
//! plan.

mod linear_fit;
mod plots;

use serde::Serialize;

use super::measurement::{LinkBytes, PhaseUsage};
use super::workload::OperatorMeasurements;
use super::HollowOptions;
use linear_fit::{LinearFit, Point};

/// Count and quantiles of times, which are in milliseconds; 0 if there are none.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TimeQuantiles {
    /// The number of measured times.
    pub count: usize,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: f64,
}

impl TimeQuantiles {
    fn of(mut times: Vec<f64>) -> TimeQuantiles {
        times.sort_by(f64::total_cmp);
        let quantile = |quantile: f64| {
            let rank = (times.len() as f64 * quantile).ceil() as usize;
            times.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        TimeQuantiles { count: times.len(), p50: quantile(0.5), p99: quantile(0.99), max: quantile(1.0) }
    }
}

/// The measurements of one phase. Servers send heartbeats in all phases.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseReport {
    /// The name of the phase: `start`, `rest` (idle), `changes`, `purges`, `restarts` or `loss` (of a control process).
    pub name: &'static str,
    /// The duration of the phase.
    pub seconds: f64,
    /// Processor use of a control process in cores, mean.
    pub control_cores: f64,
    /// Processor use of the busiest control process, in cores.
    #[serde(rename = "control_cores_most")]
    pub max_control_cores: f64,
    /// The highest peak memory of a control process, in MB.
    pub control_peak_mb: f64,
    /// Kilobytes per second sent by a control process on its links, mean.
    #[serde(rename = "control_said_kb_s")]
    pub control_sent_kb_s: f64,
    /// Kilobytes per second received by a control process on its links, mean.
    #[serde(rename = "control_heard_kb_s")]
    pub control_received_kb_s: f64,
    /// Bytes per second received by a hollow node, mean.
    pub node_down_b_s: f64,
    /// Bytes per second sent by a hollow node, mean.
    pub node_up_b_s: f64,
    /// Messages per second of a hollow node, sent and received, mean.
    pub node_messages_s: f64,
    /// Processor use of the real agent, in cores.
    pub agent_cores: f64,
    /// Peak memory of the real agent, in MB.
    pub agent_peak_mb: f64,
    /// Processor use of the real edge, in cores.
    pub edge_cores: f64,
    /// Peak memory of the real edge, in MB.
    pub edge_peak_mb: f64,
    /// Processor use of this process, which runs the hollow nodes, servers and operators, in cores.
    pub lab_cores: f64,
    /// Time from a call to its acknowledgement; in `start` and `restarts`, time until all nodes were connected.
    pub acknowledged: TimeQuantiles,
    /// Time until a change was applied, for each change and node; in `start`, until all nodes knew the whole fleet; in
    /// `loss`, until all nodes were connected again.
    #[serde(rename = "in_force")]
    pub applied: TimeQuantiles,
    /// Calls that were not acknowledged, or not applied on all nodes in time.
    pub failed: u32,
    /// Nodes with a valid lease, which could serve stored responses, that had not applied a purge when it was
    /// acknowledged, summed over all purges.
    pub early: u32,
    /// Connected nodes, with or without a valid lease, that had not applied a purge when it was acknowledged, summed
    /// over all purges.
    #[serde(rename = "early_in_touch")]
    pub early_connected: u32,
    /// Sessions of hollow nodes that were lost.
    pub lost_sessions: u32,
    /// Heartbeats of servers that no control node accepted.
    #[serde(rename = "failed_beats")]
    pub failed_heartbeats: u32,
}

impl PhaseReport {
    /// Creates the report of a phase in a run with `nodes` hollow nodes.
    pub fn new(
        name: &'static str,
        usage: &PhaseUsage,
        links: LinkBytes,
        nodes: u32,
        measurements: OperatorMeasurements,
    ) -> PhaseReport {
        let controls = usage.control_cores.len() as f64;
        let per_s = |count: u64| count as f64 / usage.seconds;
        let node_per_s = |count: u64| per_s(count) / f64::from(nodes.max(1));
        let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
        let sessions = &usage.sessions;
        PhaseReport {
            name,
            seconds: usage.seconds,
            control_cores: usage.control_cores.iter().sum::<f64>() / controls,
            max_control_cores: max(&usage.control_cores),
            control_peak_mb: max(&usage.control_peak_mb),
            control_sent_kb_s: per_s(links.sent) / controls / 1000.0,
            control_received_kb_s: per_s(links.received) / controls / 1000.0,
            node_down_b_s: node_per_s(sessions.bytes_received),
            node_up_b_s: node_per_s(sessions.bytes_sent),
            node_messages_s: node_per_s(sessions.messages_sent) + node_per_s(sessions.messages_received),
            agent_cores: usage.agent_cores,
            agent_peak_mb: usage.agent_peak_mb,
            edge_cores: usage.edge_cores,
            edge_peak_mb: usage.edge_peak_mb,
            lab_cores: usage.lab_cores,
            acknowledged: TimeQuantiles::of(measurements.acknowledged),
            applied: TimeQuantiles::of(measurements.applied),
            failed: measurements.failed,
            early: measurements.early.leased,
            early_connected: measurements.early.connected,
            lost_sessions: usage.lost_sessions,
            failed_heartbeats: usage.failed_heartbeats,
        }
    }

    /// Returns the bytes per second of a hollow node, sent and received.
    fn node_bytes_per_s(&self) -> f64 {
        self.node_down_b_s + self.node_up_b_s
    }
}

/// The measurements at one number of hollow nodes.
#[derive(Clone, Debug, Serialize)]
pub struct SizeReport {
    /// The number of hollow nodes.
    pub nodes: u32,
    /// The length of the initial configuration as JSON.
    pub document_bytes: usize,
    /// The most sessions at a control node once all nodes were connected.
    #[serde(rename = "sessions_most")]
    pub max_sessions: usize,
    /// The fewest sessions at a control node once all nodes were connected.
    #[serde(rename = "sessions_least")]
    pub min_sessions: usize,
    /// Whether all hollow nodes were connected at the end of the run.
    #[serde(rename = "all_in_touch")]
    pub all_connected: bool,
    /// One report per phase, in the order in which they were run.
    pub phases: Vec<PhaseReport>,
}

/// The measurements at all numbers of hollow nodes.
#[derive(Clone, Debug, Serialize)]
pub struct HollowReport {
    /// The options of the run.
    #[serde(rename = "plan")]
    pub options: HollowOptions,
    /// One report per number of nodes, in the order of the options.
    pub sizes: Vec<SizeReport>,
}

/// A column of the CSV file and row of the Markdown tables.
struct Column {
    name: &'static str,
    value: fn(&PhaseReport) -> f64,
}

const fn column(name: &'static str, value: fn(&PhaseReport) -> f64) -> Column {
    Column { name, value }
}

const TABLE_COLUMNS: [Column; 23] = [
    column("seconds", |phase| phase.seconds),
    column("control cores", |phase| phase.control_cores),
    column("control cores, most", |phase| phase.max_control_cores),
    column("control MB, peak", |phase| phase.control_peak_mb),
    column("control says kB/s", |phase| phase.control_sent_kb_s),
    column("control hears kB/s", |phase| phase.control_received_kb_s),
    column("node down B/s", |phase| phase.node_down_b_s),
    column("node up B/s", |phase| phase.node_up_b_s),
    column("node messages/s", |phase| phase.node_messages_s),
    column("agent cores", |phase| phase.agent_cores),
    column("agent MB", |phase| phase.agent_peak_mb),
    column("edge cores", |phase| phase.edge_cores),
    column("edge MB", |phase| phase.edge_peak_mb),
    column("lab cores", |phase| phase.lab_cores),
    column("acknowledged p50 ms", |phase| phase.acknowledged.p50),
    column("acknowledged most ms", |phase| phase.acknowledged.max),
    column("in force p99 ms", |phase| phase.applied.p99),
    column("in force most ms", |phase| phase.applied.max),
    column("failed", |phase| f64::from(phase.failed)),
    column("early", |phase| f64::from(phase.early)),
    column("early in touch", |phase| f64::from(phase.early_connected)),
    column("sessions lost", |phase| f64::from(phase.lost_sessions)),
    column("beats failed", |phase| f64::from(phase.failed_heartbeats)),
];

/// A value of a phase to which a line is fitted over the sizes.
struct FittedValue {
    phase: &'static str,
    name: &'static str,
    value: fn(&PhaseReport) -> f64,
    /// Whether to multiply the value, which is a mean over the control processes, by their number.
    sums_controls: bool,
}

const fn fitted(phase: &'static str, name: &'static str, value: fn(&PhaseReport) -> f64) -> FittedValue {
    FittedValue { phase, name, value, sums_controls: false }
}

const fn fitted_control_cores(phase: &'static str) -> FittedValue {
    let value = |phase: &PhaseReport| phase.control_cores;
    FittedValue { phase, name: "control cores, sum", value, sums_controls: true }
}

const FITTED_VALUES: [FittedValue; 10] = [
    fitted_control_cores("rest"),
    fitted_control_cores("changes"),
    fitted_control_cores("purges"),
    fitted_control_cores("restarts"),
    fitted("loss", "control MB, peak", |phase| phase.control_peak_mb),
    fitted("rest", "node B/s", PhaseReport::node_bytes_per_s),
    fitted("changes", "node B/s", PhaseReport::node_bytes_per_s),
    fitted("purges", "node B/s", PhaseReport::node_bytes_per_s),
    fitted("changes", "in force most ms", |phase| phase.applied.max),
    fitted("purges", "acknowledged most ms", |phase| phase.acknowledged.max),
];

impl HollowReport {
    /// Whether all hollow nodes were connected at the end of the run of each size.
    pub fn all_connected(&self) -> bool {
        self.sizes.iter().all(|size| size.all_connected)
    }

    /// Returns a value of a phase at each size.
    fn points(&self, phase: &str, value: impl Fn(&PhaseReport) -> f64) -> Vec<Point> {
        let point = |size: &SizeReport| {
            let phase = size.phases.iter().find(|report| report.name == phase)?;
            Some(Point { x: f64::from(size.nodes), y: value(phase) })
        };
        self.sizes.iter().filter_map(point).collect()
    }

    /// Returns the measurements as CSV, one line per size and phase.
    pub fn csv(&self) -> String {
        let names: Vec<&str> = TABLE_COLUMNS.iter().map(|column| column.name).collect();
        let mut text = format!("nodes,phase,{}\n", names.join(",").replace(", ", " "));
        for size in &self.sizes {
            for phase in &size.phases {
                let cells: Vec<String> =
                    TABLE_COLUMNS.iter().map(|column| format!("{:.4}", (column.value)(phase))).collect();
                text += &format!("{},{},{}\n", size.nodes, phase.name, cells.join(","));
            }
        }
        text
    }

    /// Returns the measurements and the fitted lines as Markdown tables.
    pub fn markdown(&self) -> String {
        let HollowOptions { controls, seeds, servers, routes, changes, purges, restarts, .. } = &self.options;
        let mut text = format!(
            "{controls} control nodes, {seeds} of them voters, {servers} servers, {routes} routes; {changes} changes, {purges} purges, {restarts} restarts a second.\n",
        );
        for size in &self.sizes {
            text += &size_table(size);
        }
        text += &self.fit_table();
        text
    }

    fn fit_table(&self) -> String {
        let mut text = "\n| phase | value | intercept | per 1,000 nodes | max relative error |\n".to_owned();
        text += "| --- | --- | --- | --- | --- |\n";
        for FittedValue { phase, name, value, sums_controls } in FITTED_VALUES {
            let factor = if sums_controls { f64::from(self.options.controls) } else { 1.0 };
            let points = self.points(phase, |report| value(report) * factor);
            if let Some(LinearFit { intercept, slope, max_relative_error }) = LinearFit::through(&points) {
                let (per_1000, percent) = (slope * 1000.0, max_relative_error * 100.0);
                text += &format!("| {phase} | {name} | {intercept:.3} | {per_1000:.3} | {percent:.0} % |\n");
            }
        }
        text
    }
}

fn size_table(size: &SizeReport) -> String {
    let names: Vec<&str> = size.phases.iter().map(|phase| phase.name).collect();
    let mut text = format!(
        "\n{} nodes: {} to {} sessions at a control node, a configuration of {} bytes{}.\n\n| | {} |\n| --- |{}\n",
        size.nodes,
        size.min_sessions,
        size.max_sessions,
        size.document_bytes,
        if size.all_connected { "" } else { ", **not all nodes connected at the end**" },
        names.join(" | "),
        " --- |".repeat(names.len()),
    );
    for Column { name, value } in TABLE_COLUMNS {
        let cells: Vec<String> = size.phases.iter().map(|phase| format!("{:.4}", value(phase))).collect();
        text += &format!("| {name} | {} |\n", cells.join(" | "));
    }
    text
}
