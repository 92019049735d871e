//! The report of hollow runs: tables, lines that are fitted through the sizes, and plots with the bounds of the plan.

mod linear_fit;
mod plots;

use serde::Serialize;

use super::measurement::{LinkBytes, PhaseUsage};
use super::workload::OperatorMeasurements;
use super::HollowOptions;
use linear_fit::{LinearFit, Point};

/// Quantiles of times in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    /// How many times there are.
    pub count: usize,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The longest.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Times {
    fn of(mut times: Vec<f64>) -> Times {
        times.sort_by(f64::total_cmp);
        let quantile = |quantile: f64| {
            let rank = (times.len() as f64 * quantile).ceil() as usize;
            times.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Times { count: times.len(), p50: quantile(0.5), p99: quantile(0.99), max: quantile(1.0) }
    }
}

/// What was measured in a phase; heartbeats go on in all of them.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseReport {
    /// Its name.
    pub name: &'static str,
    /// How long it took, in seconds.
    pub seconds: f64,
    /// Cores of a control process, mean.
    pub control_cores: f64,
    /// Cores of the busiest control process.
    #[serde(rename = "control_cores_most")]
    pub max_control_cores: f64,
    /// The highest peak memory of a control process, in MB.
    pub control_peak_mb: f64,
    /// Kilobytes a second that a control process sent on its links, mean.
    #[serde(rename = "control_said_kb_s")]
    pub control_sent_kb_s: f64,
    /// Kilobytes a second that a control process received on its links, mean.
    #[serde(rename = "control_heard_kb_s")]
    pub control_received_kb_s: f64,
    /// Bytes a second that a hollow node received.
    pub node_down_b_s: f64,
    /// Bytes a second that a hollow node sent.
    pub node_up_b_s: f64,
    /// Messages a second of a hollow node, in both directions.
    pub node_messages_s: f64,
    /// Cores of the real agent.
    pub agent_cores: f64,
    /// Peak memory of the real agent, in MB.
    pub agent_peak_mb: f64,
    /// Cores of the real edge.
    pub edge_cores: f64,
    /// Peak memory of the real edge, in MB.
    pub edge_peak_mb: f64,
    /// Cores of this process, with hollow nodes, servers and operators together.
    pub lab_cores: f64,
    /// From a call until it was acknowledged, or from the start until all nodes were in contact.
    pub acknowledged: Times,
    /// From a call, the start or the loss until all nodes had applied it, knew everything, or were in contact.
    #[serde(rename = "in_force")]
    pub applied: Times,
    /// Calls that failed.
    pub failed: u32,
    /// Purges that were acknowledged before a node had applied them which could serve stored responses.
    pub early: u32,
    /// Purges that were acknowledged before a node had applied them which took its session for alive.
    #[serde(rename = "early_in_touch")]
    pub early_in_contact: u32,
    /// Sessions that were lost.
    pub lost_sessions: u32,
    /// Heartbeats of servers that no control node accepted.
    #[serde(rename = "failed_beats")]
    pub failed_heartbeats: u32,
}

impl PhaseReport {
    /// Creates the report of a phase with this number of hollow nodes.
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
            acknowledged: Times::of(measurements.acknowledged),
            applied: Times::of(measurements.applied),
            failed: measurements.failed,
            early: measurements.early.leased,
            early_in_contact: measurements.early.in_contact,
            lost_sessions: usage.lost_sessions,
            failed_heartbeats: usage.failed_heartbeats,
        }
    }

    /// Returns the bytes a second of a hollow node, in both directions.
    fn node_bytes_per_s(&self) -> f64 {
        self.node_down_b_s + self.node_up_b_s
    }
}

/// What was measured at one number of nodes.
#[derive(Clone, Debug, Serialize)]
pub struct SizeReport {
    /// Hollow nodes.
    pub nodes: u32,
    /// The length of the configuration.
    pub document_bytes: usize,
    /// The most sessions of a control node, once all nodes were in contact.
    #[serde(rename = "sessions_most")]
    pub max_sessions: usize,
    /// The least sessions of a control node, once all nodes were in contact.
    #[serde(rename = "sessions_least")]
    pub min_sessions: usize,
    /// Whether all nodes were in contact at the end.
    #[serde(rename = "all_in_touch")]
    pub all_in_contact: bool,
    /// The phases.
    pub phases: Vec<PhaseReport>,
}

/// What was measured at all numbers of nodes.
#[derive(Clone, Debug, Serialize)]
pub struct HollowReport {
    /// The options of the run.
    #[serde(rename = "plan")]
    pub options: HollowOptions,
    /// The sizes, as the options have them.
    pub sizes: Vec<SizeReport>,
}

/// A column of the tables.
struct Column {
    name: &'static str,
    figure: fn(&PhaseReport) -> f64,
}

const fn column(name: &'static str, figure: fn(&PhaseReport) -> f64) -> Column {
    Column { name, figure }
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
    column("early in touch", |phase| f64::from(phase.early_in_contact)),
    column("sessions lost", |phase| f64::from(phase.lost_sessions)),
    column("beats failed", |phase| f64::from(phase.failed_heartbeats)),
];

/// A figure of a phase that a line is fitted through, over the sizes.
struct FittedFigure {
    phase: &'static str,
    name: &'static str,
    figure: fn(&PhaseReport) -> f64,
    /// Whether the figure is the mean of the control processes, and their sum is fitted.
    sums_controls: bool,
}

const fn fitted(phase: &'static str, name: &'static str, figure: fn(&PhaseReport) -> f64) -> FittedFigure {
    FittedFigure { phase, name, figure, sums_controls: false }
}

const fn fitted_control_cores(phase: &'static str) -> FittedFigure {
    let figure = |phase: &PhaseReport| phase.control_cores;
    FittedFigure { phase, name: "control cores, sum", figure, sums_controls: true }
}

const FITTED_FIGURES: [FittedFigure; 10] = [
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
    /// Whether all nodes were in contact at the end of each size.
    pub fn all_in_contact(&self) -> bool {
        self.sizes.iter().all(|size| size.all_in_contact)
    }

    /// Returns a figure of a phase over the sizes.
    fn points(&self, phase: &str, figure: impl Fn(&PhaseReport) -> f64) -> Vec<Point> {
        let point = |size: &SizeReport| {
            let phase = size.phases.iter().find(|report| report.name == phase)?;
            Some(Point { x: f64::from(size.nodes), y: figure(phase) })
        };
        self.sizes.iter().filter_map(point).collect()
    }

    /// Returns all figures as comma-separated values.
    pub fn csv(&self) -> String {
        let names: Vec<&str> = TABLE_COLUMNS.iter().map(|column| column.name).collect();
        let mut text = format!("nodes,phase,{}\n", names.join(",").replace(", ", " "));
        for size in &self.sizes {
            for phase in &size.phases {
                let cells: Vec<String> =
                    TABLE_COLUMNS.iter().map(|column| format!("{:.4}", (column.figure)(phase))).collect();
                text += &format!("{},{},{}\n", size.nodes, phase.name, cells.join(","));
            }
        }
        text
    }

    /// Returns a page with all figures, and the lines that are fitted through them.
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
        let mut text = "\n| phase | figure | base | for 1,000 nodes more | greatest distance |\n".to_owned();
        text += "| --- | --- | --- | --- | --- |\n";
        for FittedFigure { phase, name, figure, sums_controls } in FITTED_FIGURES {
            let factor = if sums_controls { f64::from(self.options.controls) } else { 1.0 };
            let points = self.points(phase, |report| figure(report) * factor);
            if let Some(LinearFit { base, slope, max_relative_distance }) = LinearFit::through(&points) {
                let (per_1000, percent) = (slope * 1000.0, max_relative_distance * 100.0);
                text += &format!("| {phase} | {name} | {base:.3} | {per_1000:.3} | {percent:.0} % |\n");
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
        if size.all_in_contact { "" } else { ", **not all in touch at the end**" },
        names.join(" | "),
        " --- |".repeat(names.len()),
    );
    for Column { name, figure } in TABLE_COLUMNS {
        let cells: Vec<String> = size.phases.iter().map(|phase| format!("{:.4}", figure(phase))).collect();
        text += &format!("| {name} | {} |\n", cells.join(" | "));
    }
    text
}
