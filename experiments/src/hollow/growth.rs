//! The report of hollow runs: tables, lines fitted through the sizes, and plots with the bounds of the plan.

use std::path::Path;

use serde::Serialize;

use super::{HollowPlan, Phase, Size};
use crate::plot::{self, Line, PlotError};
use plotters::style::{RGBColor, BLACK, BLUE, GREEN, MAGENTA, RED};

/// What the plan allows: bytes a second and cores of a node for control; milliseconds until a change is in force and
/// until a purge is done, everywhere.
const NODE_B_S: f64 = 5000.0;
const NODE_CORES: f64 = 0.026;
const CHANGE_MS: f64 = 16_000.0;
const PURGE_MS: f64 = 4300.0;

#[derive(Clone, Debug, Serialize)]
pub struct HollowReport {
    pub plan: HollowPlan,
    pub sizes: Vec<Size>,
}

/// A straight line through points, by least squares, and the greatest distance of a point from it over its height there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub base: f64,
    pub slope: f64,
    pub off: f64,
}

impl Fit {
    /// `None` for fewer than two different sizes.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let wide: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        if wide <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / wide;
        let base = y - slope * x;
        let off = |p: &(f64, f64)| (p.1 - (base + slope * p.0)).abs() / p.1.abs().max(1e-12);
        Some(Fit { base, slope, off: points.iter().map(off).fold(0.0, f64::max) })
    }
}

/// A column of the tables: its name, and its figure.
type Column = (&'static str, fn(&Phase) -> f64);

const COLUMNS: [Column; 23] = [
    ("seconds", |p| p.seconds),
    ("control cores", |p| p.control_cores),
    ("control cores, most", |p| p.control_cores_most),
    ("control MB, peak", |p| p.control_peak_mb),
    ("control says kB/s", |p| p.control_said_kb_s),
    ("control hears kB/s", |p| p.control_heard_kb_s),
    ("node down B/s", |p| p.node_down_b_s),
    ("node up B/s", |p| p.node_up_b_s),
    ("node messages/s", |p| p.node_messages_s),
    ("agent cores", |p| p.agent_cores),
    ("agent MB", |p| p.agent_peak_mb),
    ("edge cores", |p| p.edge_cores),
    ("edge MB", |p| p.edge_peak_mb),
    ("lab cores", |p| p.lab_cores),
    ("acknowledged p50 ms", |p| p.acknowledged.p50),
    ("acknowledged most ms", |p| p.acknowledged.most),
    ("in force p99 ms", |p| p.in_force.p99),
    ("in force most ms", |p| p.in_force.most),
    ("failed", |p| f64::from(p.failed)),
    ("early", |p| f64::from(p.early)),
    ("early in touch", |p| f64::from(p.early_in_touch)),
    ("sessions lost", |p| f64::from(p.lost_sessions)),
    ("beats failed", |p| f64::from(p.failed_beats)),
];

/// What lines are fitted through, over the sizes: a phase and a figure of it.
const FITTED: [(&str, Column); 10] = [
    ("rest", ("control cores, sum", |p| p.control_cores)),
    ("changes", ("control cores, sum", |p| p.control_cores)),
    ("purges", ("control cores, sum", |p| p.control_cores)),
    ("restarts", ("control cores, sum", |p| p.control_cores)),
    ("loss", ("control MB, peak", |p| p.control_peak_mb)),
    ("rest", ("node B/s", |p| p.node_down_b_s + p.node_up_b_s)),
    ("changes", ("node B/s", |p| p.node_down_b_s + p.node_up_b_s)),
    ("purges", ("node B/s", |p| p.node_down_b_s + p.node_up_b_s)),
    ("changes", ("in force most ms", |p| p.in_force.most)),
    ("purges", ("acknowledged most ms", |p| p.acknowledged.most)),
];

impl HollowReport {
    pub fn all_in_touch(&self) -> bool {
        self.sizes.iter().all(|size| size.all_in_touch)
    }

    /// The figures of a phase over the sizes.
    fn points(&self, phase: &str, figure: impl Fn(&Phase) -> f64) -> Vec<(f64, f64)> {
        let of = |size: &Size| {
            let phase = size.phases.iter().find(|p| p.name == phase)?;
            Some((f64::from(size.nodes), figure(phase)))
        };
        self.sizes.iter().filter_map(of).collect()
    }

    pub fn csv(&self) -> String {
        let names: Vec<&str> = COLUMNS.iter().map(|(name, _)| *name).collect();
        let mut text = format!("nodes,phase,{}\n", names.join(",").replace(", ", " "));
        for size in &self.sizes {
            for phase in &size.phases {
                let cells: Vec<String> = COLUMNS.iter().map(|(_, of)| format!("{:.4}", of(phase))).collect();
                text += &format!("{},{},{}\n", size.nodes, phase.name, cells.join(","));
            }
        }
        text
    }

    pub fn markdown(&self) -> String {
        let plan = &self.plan;
        let mut text = format!(
            "{} control nodes, {} of them voters, {} servers, {} routes; {} changes, {} purges, {} restarts a second.\n",
            plan.controls, plan.seeds, plan.servers, plan.routes, plan.changes, plan.purges, plan.restarts
        );
        for size in &self.sizes {
            let names: Vec<&str> = size.phases.iter().map(|phase| phase.name).collect();
            text += &format!(
                "\n{} nodes: {} to {} sessions at a control node, a configuration of {} bytes{}.\n\n| | {} |\n| --- |{}\n",
                size.nodes,
                size.sessions_least,
                size.sessions_most,
                size.document_bytes,
                if size.all_in_touch { "" } else { ", **not all in touch at the end**" },
                names.join(" | "),
                " --- |".repeat(names.len()),
            );
            for (name, of) in COLUMNS {
                let cells: Vec<String> =
                    size.phases.iter().map(|phase| format!("{:.4}", of(phase))).collect();
                text += &format!("| {name} | {} |\n", cells.join(" | "));
            }
        }
        text += "\n| phase | figure | base | for 1,000 nodes more | greatest distance |\n";
        text += "| --- | --- | --- | --- | --- |\n";
        for (phase, (name, of)) in FITTED {
            let sum = if name.ends_with("sum") { f64::from(plan.controls) } else { 1.0 };
            if let Some(Fit { base, slope, off }) = Fit::of(&self.points(phase, |p| of(p) * sum)) {
                text += &format!(
                    "| {phase} | {name} | {base:.3} | {:.3} | {:.0} % |\n",
                    slope * 1000.0,
                    off * 100.0
                );
            }
        }
        text
    }

    /// Plots over the number of nodes, with what the plan allows.
    pub fn draw(&self, folder: &Path) -> Result<(), PlotError> {
        let bound = |name, most: f64| -> Line {
            (name, RED, self.sizes.iter().map(|size| (f64::from(size.nodes), most)).collect())
        };
        let line = |name, color: RGBColor, phase: &str, of: fn(&Phase) -> f64| -> Line {
            (name, color, self.points(phase, of))
        };
        let node = |p: &Phase| p.node_down_b_s + p.node_up_b_s;
        let control = |p: &Phase| p.control_cores_most;
        let pages = [
            (
                "hollow-node.svg",
                "bytes a second of a node's session",
                vec![
                    bound("bound", NODE_B_S),
                    line("at rest", BLACK, "rest", node),
                    line("changes", BLUE, "changes", node),
                    line("purges", GREEN, "purges", node),
                    line("restarts", MAGENTA, "restarts", node),
                ],
            ),
            (
                "hollow-cores.svg",
                "cores: the busiest control process, and an agent",
                vec![
                    bound("bound of a node", NODE_CORES),
                    line("control at rest", BLACK, "rest", control),
                    line("control, changes", BLUE, "changes", control),
                    line("control, purges", GREEN, "purges", control),
                    line("agent and edge, purges", MAGENTA, "purges", |p| p.agent_cores + p.edge_cores),
                ],
            ),
            (
                "hollow-times.svg",
                "milliseconds until all have it",
                vec![
                    bound("bound of a change", CHANGE_MS),
                    bound("bound of a purge", PURGE_MS),
                    line("start of all", BLACK, "start", |p| p.in_force.most),
                    line("changes", BLUE, "changes", |p| p.in_force.most),
                    line("purges", GREEN, "purges", |p| p.acknowledged.most),
                    line("loss of a control process", MAGENTA, "loss", |p| p.in_force.most),
                ],
            ),
        ];
        for (name, caption, lines) in pages {
            plot::draw_growth(&folder.join(name), caption, "nodes", lines)?;
        }
        Ok(())
    }
}
