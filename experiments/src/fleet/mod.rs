//! A fleet of any size in one process: the same state machines and decisions as in the system's processes, without
//! sockets, under virtual time. Tells what grows with the number of edges: what control says, how edges go to
//! servers, what reaches an origin under its ceiling.

mod reads;
mod telling;
mod writes;

use std::path::Path;

use plotters::style::{BLACK, BLUE, GREEN, RED};
use serde::{Deserialize, Serialize};

use crate::plan::PlanError;
use crate::plot::{draw_growth, Line, PlotError};

/// Edges that a plan may ask for: a session is a line in a table, and a minute is long enough.
const MOST_EDGES: u32 = 5000;

/// What grows, and by what. Rates are those of one edge, so that load grows with the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    /// Numbers of edges that are played, each by itself.
    pub sizes: Vec<u32>,
    /// Virtual seconds of requests.
    pub seconds: f64,
    pub seed: u64,
    /// Control nodes, each with a shield beside it; they don't grow with the edges.
    pub cores: u8,
    pub writes: WritePlan,
    pub reads: ReadPlan,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WritePlan {
    pub per_s: f64,
    /// Servers for each edge.
    pub servers: f64,
    pub slots: u32,
    pub queue: u32,
    pub work_ms: f64,
    /// Spread of the logarithm of the work.
    pub spread: f64,
    /// How long an edge keeps an idle connection, and how many a server accepts.
    pub keep_s: f64,
    pub max_conns: u32,
    /// How often servers call control.
    pub beat_ms: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReadPlan {
    pub per_s: f64,
    /// Objects, whatever the size, and the exponent of the Zipf law that prefers the first.
    pub objects: u32,
    pub skew: f64,
    pub max_age_s: f64,
    /// What the origin takes a second for each edge.
    pub rate_per_s: f64,
}

impl FleetPlan {
    pub fn load(path: &Path) -> Result<Self, PlanError> {
        let text =
            std::fs::read_to_string(path).map_err(|what| PlanError::File { path: path.to_owned(), what })?;
        let wrong = |what: String| PlanError::Wrong { path: path.to_owned(), what };
        let plan: FleetPlan = toml::from_str(&text).map_err(|e| wrong(e.to_string()))?;
        plan.check().map_err(wrong)?;
        Ok(plan)
    }

    /// Names the first mistake.
    pub fn check(&self) -> Result<(), String> {
        let positive = [
            ("seconds", self.seconds),
            ("writes.per_s", self.writes.per_s),
            ("writes.servers", self.writes.servers),
            ("writes.work_ms", self.writes.work_ms),
            ("writes.keep_s", self.writes.keep_s),
            ("reads.per_s", self.reads.per_s),
            ("reads.max_age_s", self.reads.max_age_s),
            ("reads.rate_per_s", self.reads.rate_per_s),
        ];
        if let Some((name, _)) = positive.iter().find(|(_, value)| !(*value > 0.0 && value.is_finite())) {
            return Err(format!("{name}: a figure above 0 expected"));
        }
        if self.sizes.is_empty() || self.sizes.iter().any(|size| !(1..=MOST_EDGES).contains(size)) {
            return Err(format!("sizes: numbers from 1 to {MOST_EDGES} expected"));
        }
        let counts = [
            ("cores", u32::from(self.cores)),
            ("writes.slots", self.writes.slots),
            ("writes.max_conns", self.writes.max_conns),
            ("writes.beat_ms", self.writes.beat_ms.min(u64::from(u32::MAX)) as u32),
            ("reads.objects", self.reads.objects),
        ];
        match counts.iter().find(|(_, count)| *count == 0) {
            Some((name, _)) => Err(format!("{name}: at least 1 expected")),
            None if !(0.0..4.0).contains(&self.writes.spread) || !(0.0..4.0).contains(&self.reads.skew) => {
                Err("writes.spread, reads.skew: from 0 to 4 expected".into())
            }
            None => Ok(()),
        }
    }

    fn servers(&self, edges: u32) -> u32 {
        (f64::from(edges) * self.writes.servers).round().max(1.0) as u32
    }
}

/// What was found at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Found {
    pub edges: u32,
    pub servers: u32,
    pub telling: Vec<telling::Phase>,
    pub writes: writes::Writes,
    pub reads: reads::Reads,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    pub sizes: Vec<Found>,
}

/// Plays all sizes, each in a thread of its own.
pub fn play(plan: &FleetPlan) -> std::io::Result<FleetReport> {
    let one = |edges: u32| Found {
        edges,
        servers: plan.servers(edges),
        telling: telling::play(plan, edges),
        writes: writes::play(plan, edges),
        reads: reads::play(plan, edges),
    };
    let found = std::thread::scope(|scope| {
        let threads: Vec<_> = plan.sizes.iter().map(|edges| scope.spawn(move || one(*edges))).collect();
        let broken = |_| std::io::Error::other("a size could not be played");
        threads.into_iter().map(|thread| thread.join().map_err(broken)).collect::<Result<_, _>>()
    });
    Ok(FleetReport { sizes: found? })
}

/// A row of the report: its name, and its figure at a size.
type Row = (&'static str, fn(&Found) -> f64);

const ROWS: [Row; 11] = [
    ("connections opened for each write", |f| f.writes.opened_per_write),
    ("connections at a server at once, most", |f| f64::from(f.writes.most_at_a_server)),
    ("beyond what a server accepts", |f| f.writes.over_cap as f64),
    ("writes a server has, busiest over mean", |f| f.writes.busiest),
    ("writes turned away by a server, part", |f| f.writes.turned_away),
    ("writes not served, part", |f| f.writes.not_served),
    ("subsets, most over mean servers", |f| f.writes.subset_most),
    ("reads refused under the ceiling, part", |f| f.reads.refused),
    ("origin requests for each read", |f| f.reads.fetched),
    ("most in a window over what is allowed", |f| f.reads.most_over_allowed),
    ("reads a shield has, busiest over mean", |f| f.reads.busiest),
];

impl FleetReport {
    pub fn markdown(&self) -> String {
        let line = |name: &str, cells: Vec<String>| format!("| {name} | {} |\n", cells.join(" | "));
        let each = |name: &str, figure: &dyn Fn(&Found) -> String| {
            line(name, self.sizes.iter().map(figure).collect())
        };
        let mut text = each("edges", &|f| f.edges.to_string());
        text += &line("---", vec!["---".to_owned(); self.sizes.len()]);
        text += &each("servers", &|f| f.servers.to_string());
        for (name, figure) in ROWS {
            text += &each(name, &|f| format!("{:.3}", figure(f)));
        }
        let phases = self.sizes.first().map_or(0, |found| found.telling.len());
        for at in 0..phases {
            let name = &self.sizes[0].telling[at].name;
            let told = |f: &Found| f.telling[at].clone();
            text += &each(&format!("{name}: messages to each edge"), &|f| format!("{:.1}", told(f).to_edge));
            text +=
                &each(&format!("{name}: bytes to each edge"), &|f| format!("{:.0}", told(f).bytes_to_edge));
            text += &each(&format!("{name}: the same, told whole each time"), &|f| {
                format!("{:.0}", told(f).whole_bytes_to_edge)
            });
            text += &each(&format!("{name}: bytes between control nodes"), &|f| {
                format!("{}", told(f).bytes_between_controls)
            });
        }
        text
    }

    /// Draws how figures grow with the number of edges, each against its value at the smallest size.
    pub fn draw(&self, path: &Path) -> Result<(), PlotError> {
        let roll = |f: &Found, whole: bool| {
            f.telling.last().map_or(0.0, |p| if whole { p.whole_bytes_to_edge } else { p.bytes_to_edge })
        };
        let line = |name, color, figure: &dyn Fn(&Found) -> f64| -> Line {
            let first = self.sizes.first().map_or(1.0, figure).max(1e-9);
            let points = self.sizes.iter().map(|f| (f64::from(f.edges), (figure(f) / first).max(1e-3)));
            (name, color, points.collect())
        };
        let lines = [
            line("connections for each write", BLACK, &|f| f.writes.opened_per_write),
            line("most connections at a server", BLUE, &|f| f64::from(f.writes.most_at_a_server)),
            line("bytes to an edge at a roll", GREEN, &|f| roll(f, false)),
            line("the same, told whole", RED, &|f| roll(f, true)),
        ];
        let caption = "growth with the number of edges, smallest size = 1";
        draw_growth(path, caption, "edges", lines.into())
    }
}
