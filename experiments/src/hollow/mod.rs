//! Hollow nodes at real control processes: sessions and frames as in the system, but no traffic. Tells what control
//! costs at each number of nodes, itself and at a node, and how long a change, a purge and the loss of a control
//! process take until all have it.

mod growth;
mod load;
mod nodes;
mod usage;

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use clap::Args;
use glenfall::operator::commands::{self, ControlAddresses};
use glenfall::operator::local_system::{LocalSystem, SystemLayout};
use hyper::Method;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

use crate::experiment::LabError;
pub use growth::HollowReport;
use load::{Told, BEAT};
use nodes::Seen;
use usage::Usage;

/// Third byte of the machines' addresses; servers that nobody calls have one of their own there.
const NET: u8 = 11;
const SERVERS: u8 = 200;
const FIRST_PORT: u16 = 20_000;
/// Threads that the nodes are spread over: a quarter of the cores that the largest runs are meant for, less this one.
const THREADS: u32 = 3;
/// Real edges, each with its agent, beside the hollow nodes: what they use is measured too.
const EDGES: u8 = 1;
/// Control is up by then, and all nodes are in touch.
const UP: Duration = Duration::from_secs(60);
/// So many beats later control has heard of every server.
const HEARD_ALL: u32 = 5;
/// Between phases, so that one does not run into the next.
const PAUSE: Duration = Duration::from_secs(2);

#[derive(Args, Clone, Debug, Serialize)]
pub struct HollowPlan {
    /// Numbers of hollow nodes, each played by itself
    #[arg(long, value_delimiter = ',', default_value = "300,1000,2200")]
    sessions: Vec<u32>,
    /// Control nodes, each with a shield beside it
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(1..=60))]
    controls: u8,
    /// Those of them that the settings name and that vote
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u8).range(1..=15))]
    seeds: u8,
    /// Servers that beat every 1.5 s
    #[arg(long, default_value_t = 780, value_parser = clap::value_parser!(u32).range(0..=4000))]
    servers: u32,
    /// Routes of the configuration
    #[arg(long, default_value_t = 700, value_parser = clap::value_parser!(u32).range(1..=4000))]
    routes: u32,
    /// Seconds of each phase
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Changes of the configuration a second, while there are any; the plan has 0.037
    #[arg(long, default_value_t = 1.0, value_parser = rate)]
    changes: f64,
    /// Purges a second, while there are any
    #[arg(long, default_value_t = 26.0, value_parser = rate)]
    purges: f64,
    /// Nodes that start again a second, while there are any
    #[arg(long, default_value_t = 2.0, value_parser = rate)]
    restarts: f64,
    /// Nodes share themselves out over all control nodes: a trial of what agents don't do yet
    #[arg(long)]
    spread: bool,
}

fn rate(text: &str) -> Result<f64, String> {
    let rate: f64 = text.parse().map_err(|_| "a number expected".to_owned())?;
    (0.01..=1000.0).contains(&rate).then_some(rate).ok_or_else(|| "0.01 to 1000 expected".to_owned())
}

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    pub count: usize,
    pub p50: f64,
    pub p99: f64,
    pub most: f64,
}

impl Times {
    fn of(mut times: Vec<f64>) -> Times {
        times.sort_by(f64::total_cmp);
        let at = |q: f64| times.get(((times.len() as f64 * q).ceil() as usize).saturating_sub(1)).copied();
        Times {
            count: times.len(),
            p50: at(0.5).unwrap_or(0.0),
            p99: at(0.99).unwrap_or(0.0),
            most: at(1.0).unwrap_or(0.0),
        }
    }
}

/// What was measured while one thing went on; beats go on all the time.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    pub name: &'static str,
    pub seconds: f64,
    /// Of the control processes: cores used, mean and most; memory at the peak, most; kB a second on links, mean.
    pub control_cores: f64,
    pub control_cores_most: f64,
    pub control_peak_mb: f64,
    pub control_said_kb_s: f64,
    pub control_heard_kb_s: f64,
    /// Of a hollow node: bytes and messages a second of its session.
    pub node_down_b_s: f64,
    pub node_up_b_s: f64,
    pub node_messages_s: f64,
    /// Of the real agent and edge.
    pub agent_cores: f64,
    pub agent_peak_mb: f64,
    pub edge_cores: f64,
    pub edge_peak_mb: f64,
    /// Of this process, hollow nodes, servers and operators together.
    pub lab_cores: f64,
    /// From a call, the start or the loss until it is acknowledged or all are in touch; until all have it.
    pub acknowledged: Times,
    pub in_force: Times,
    pub failed: u32,
    /// Purges acknowledged that a node had not taken which could serve from copies; which took its session for alive.
    pub early: u32,
    pub early_in_touch: u32,
    pub lost_sessions: u32,
    pub failed_beats: u32,
}

#[derive(Clone, Debug, Serialize)]
pub struct Size {
    pub nodes: u32,
    pub document_bytes: usize,
    /// Sessions at the control nodes, most and least, once all stood.
    pub sessions_most: usize,
    pub sessions_least: usize,
    /// All nodes were in touch at the end.
    pub all_in_touch: bool,
    pub phases: Vec<Phase>,
}

/// The control node that is killed. The first seed: the head of the chain as a rule, and where sessions pile up if they do.
const LOST: &str = "core-1";

/// Plays all sizes, one after the other.
pub async fn play(plan: &HollowPlan, program: &Path) -> Result<HollowReport, LabError> {
    let mut sizes = Vec::new();
    for nodes in &plan.sessions {
        sizes.push(play_size(plan, *nodes, program).await?);
    }
    Ok(HollowReport { plan: plan.clone(), sizes })
}

struct Run {
    local: LocalSystem,
    controls: ControlAddresses,
    seen: Arc<Seen>,
    nodes: u32,
    failed_beats: Rc<Cell<u32>>,
}

/// What processes have used and said so far.
struct Sample {
    at: Instant,
    controls: Vec<Usage>,
    agent: Usage,
    edge: Usage,
    lab: Usage,
    /// Messages, bytes: said and heard by the nodes.
    said: [u64; 4],
    lost: u32,
    failed_beats: u32,
}

/// Threads of hollow nodes; they end when this is dropped.
struct Threads {
    restarts: Vec<mpsc::UnboundedSender<u32>>,
    threads: Vec<JoinHandle<std::io::Result<()>>>,
}

impl Threads {
    fn start(control: &nodes::Control, seen: &Arc<Seen>, nodes: u32) -> Threads {
        let mut started = Threads { restarts: Vec::new(), threads: Vec::new() };
        for first in 0..THREADS {
            let (restart, restarts) = mpsc::unbounded_channel();
            let (control, seen) = (control.clone(), Arc::clone(seen));
            let run = move || nodes::run(control, seen, (first, THREADS, nodes), restarts);
            started.threads.push(std::thread::spawn(run));
            started.restarts.push(restart);
        }
        started
    }

    fn restart(&self, number: u32) {
        // A thread that has ended shows in the nodes that are in touch.
        let _ = self.restarts[(number % THREADS) as usize].send(number);
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.restarts.clear();
        for thread in self.threads.drain(..) {
            if !matches!(thread.join(), Ok(Ok(()))) {
                eprintln!("a thread of hollow nodes broke");
            }
        }
    }
}

async fn play_size(plan: &HollowPlan, nodes: u32, program: &Path) -> Result<Size, LabError> {
    let layout = SystemLayout {
        net: NET,
        cores: plan.controls,
        seeds: plan.seeds,
        edges: EDGES,
        zones: 3,
        beat_ms: BEAT.as_millis() as u64,
        mem_mb: 256,
        losses: 0,
        relayed: false,
    };
    let local = LocalSystem::start(layout, program).await?;
    let controls = local.controls();
    let document = load::document(plan.routes).to_string();
    let document_bytes = document.len();
    put(&controls, document).await?;
    let seen = Seen::new(plan.servers, nodes, nodes + u32::from(EDGES));
    let failed_beats = Rc::new(Cell::new(0));
    let addr = SocketAddrV4::new(local.machine(SERVERS), FIRST_PORT);
    let servers = load::servers(plan.servers, &controls, addr, &failed_beats);
    sleep(BEAT * HEARD_ALL).await;
    let (seeds, port) = local.links();
    let mut run = Run { local, controls, seen, nodes, failed_beats };
    let lasts = Duration::from_secs(plan.seconds);

    let control = nodes::Control { seeds, port, zones: 3, spread: plan.spread };
    let (threads, started) = run.start(&control).await;
    let mut phases = vec![started];
    if plan.spread {
        sleep(nodes::MOVES * 2).await;
        load::until(UP, || run.know_all()).await;
    }
    let (sessions_most, sessions_least) = run.spread().await;
    phases.push(run.measured("rest", run.rest(lasts)).await);
    phases.push(run.measured("changes", run.change(plan.changes, lasts)).await);
    let purge = Cell::new(0);
    let purging = load::purge(&run.controls, &run.seen, &purge, plan.purges, lasts);
    phases.push(run.measured("purges", purging).await);
    phases.push(run.measured("restarts", run.restart(&threads, plan.restarts, lasts)).await);
    phases.push(run.measured("loss", run.lose_a_control(&purge, plan.purges, lasts)).await);
    run.local.start_again(LOST)?;
    let all_in_touch = load::until(UP, || run.in_touch()).await.is_some();
    servers.iter().for_each(tokio::task::JoinHandle::abort);
    drop(threads);
    Ok(Size { nodes, document_bytes, sessions_most, sessions_least, all_in_touch, phases })
}

/// The phases of a size.
impl Run {
    /// Starts all nodes at once, and waits until each knows of all.
    async fn start(&self, control: &nodes::Control) -> (Threads, Phase) {
        let before = self.sample();
        let (link_before, began) = (self.link_bytes().await, Instant::now());
        let threads = Threads::start(control, &self.seen, self.nodes);
        let in_touch = load::until(UP, || self.in_touch()).await;
        load::until(UP, || self.know_all()).await;
        let know_all = began.elapsed().as_secs_f64() * 1000.0;
        let told = Told {
            acknowledged: in_touch.into_iter().collect(),
            in_force: vec![know_all],
            failed: u32::from(!self.know_all()),
            ..Told::default()
        };
        (threads, self.phase("start", &before, link_before, told).await)
    }

    async fn rest(&self, lasts: Duration) -> Told {
        sleep(lasts).await;
        Told::default()
    }

    async fn change(&self, per_s: f64, lasts: Duration) -> Told {
        let rev = Cell::new(1);
        let changing = load::change(&self.controls, &self.seen, self.nodes, &rev, per_s, lasts);
        changing.await.unwrap_or_else(|error| {
            eprintln!("{} nodes: a change failed: {error}", self.nodes);
            Told { failed: 1, ..Told::default() }
        })
    }

    async fn restart(&self, threads: &Threads, per_s: f64, lasts: Duration) -> Told {
        let gap = Duration::from_secs_f64(1.0 / per_s);
        let began = Instant::now();
        // Spread over all nodes, whatever their number.
        for number in (0..self.nodes).step_by(7) {
            if began.elapsed() >= lasts {
                break;
            }
            threads.restart(number);
            sleep(gap).await;
        }
        let in_touch = load::until(UP, || self.in_touch()).await;
        Told { acknowledged: in_touch.into_iter().collect(), ..Told::default() }
    }

    /// Kills a control process amid purges, and waits until its sessions are elsewhere.
    async fn lose_a_control(&self, purge: &Cell<usize>, purges: f64, lasts: Duration) -> Told {
        let purging = load::purge(&self.controls, &self.seen, purge, purges, lasts);
        let moving = async {
            let sessions = self.seen.lost.load(Ordering::Relaxed);
            for pid in self.local.pids(LOST, Some("control")) {
                // Gone already where it is not there.
                let _ = kill(Pid::from_raw(pid as i32), Signal::SIGKILL);
            }
            let began = Instant::now();
            load::until(BEAT, || self.seen.lost.load(Ordering::Relaxed) > sessions).await;
            load::until(UP, || self.in_touch()).await.map(|_| began.elapsed().as_secs_f64() * 1000.0)
        };
        let (told, moved) = tokio::join!(purging, moving);
        Told { in_force: moved.into_iter().collect(), ..told }
    }
}

async fn put(controls: &ControlAddresses, document: String) -> Result<(), LabError> {
    let began = Instant::now();
    loop {
        match commands::call_control(controls, Method::PUT, "/api/config", Some(0), document.clone().into())
            .await
        {
            Ok(_) => return Ok(()),
            Err(commands::OperatorError::NoAnswer) if began.elapsed() < UP => sleep(BEAT).await,
            Err(error) => return Err(error.into()),
        }
    }
}

impl Run {
    fn in_touch(&self) -> bool {
        self.seen.in_touch.load(Ordering::Relaxed) == self.nodes
    }

    fn know_all(&self) -> bool {
        self.seen.know_all.load(Ordering::Relaxed) == self.nodes
    }

    fn sample(&self) -> Sample {
        let of = |node: &str, role| self.local.pids(node, Some(role)).into_iter().next().map(usage::of);
        let core = |n| of(&format!("core-{n}"), "control").unwrap_or_default();
        Sample {
            at: Instant::now(),
            controls: (1..=self.controls.controls.len()).map(core).collect(),
            agent: of("edge-1", "agent").unwrap_or_default(),
            edge: of("edge-1", "edge").unwrap_or_default(),
            lab: usage::of(std::process::id()),
            said: glenfall::session::link::traffic().map(|(_, count)| count),
            lost: self.seen.lost.load(Ordering::Relaxed),
            failed_beats: self.failed_beats.get(),
        }
    }

    async fn status(&self) -> Vec<serde_json::Value> {
        let told = commands::status(&self.controls).await.unwrap_or_default();
        serde_json::from_str(&told).unwrap_or_default()
    }

    /// Bytes that control processes have said and heard, together.
    async fn link_bytes(&self) -> [u64; 2] {
        let nodes = self.status().await;
        let sum = |name: &str| nodes.iter().filter_map(|node| node["counters"][name].as_u64()).sum();
        [sum("message_bytes_said"), sum("message_bytes_heard")]
    }

    async fn spread(&self) -> (usize, usize) {
        let nodes = self.status().await;
        let sessions = nodes.iter().filter_map(|node| node["sessions"].as_array().map(Vec::len));
        let (mut most, mut least) = (0, usize::MAX);
        for count in sessions {
            (most, least) = (most.max(count), least.min(count));
        }
        (most, least)
    }

    async fn measured(&self, name: &'static str, work: impl Future<Output = Told>) -> Phase {
        sleep(PAUSE).await;
        // Counters first: telling them costs control time of its own.
        let link = self.link_bytes().await;
        let before = self.sample();
        let told = work.await;
        self.phase(name, &before, link, told).await
    }

    async fn phase(&self, name: &'static str, before: &Sample, link: [u64; 2], told: Told) -> Phase {
        let after = self.sample();
        let link_after = self.link_bytes().await;
        let seconds = (after.at - before.at).as_secs_f64();
        let per_s = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        let controls = self.controls.controls.len() as f64;
        let kb_s = |at: usize| per_s(link[at], link_after[at]) / controls / 1000.0;
        let cores = |before: &Usage, after: &Usage| (after.cpu_s - before.cpu_s).max(0.0) / seconds;
        let used: Vec<f64> =
            before.controls.iter().zip(&after.controls).map(|(before, after)| cores(before, after)).collect();
        let node = |at: usize| per_s(before.said[at], after.said[at]) / f64::from(self.nodes.max(1));
        Phase {
            name,
            seconds,
            control_cores: used.iter().sum::<f64>() / controls,
            control_cores_most: used.iter().copied().fold(0.0, f64::max),
            control_peak_mb: after.controls.iter().map(|usage| usage.peak_mb).fold(0.0, f64::max),
            control_said_kb_s: kb_s(0),
            control_heard_kb_s: kb_s(1),
            node_down_b_s: node(3),
            node_up_b_s: node(1),
            node_messages_s: node(0) + node(2),
            agent_cores: cores(&before.agent, &after.agent),
            agent_peak_mb: after.agent.peak_mb,
            edge_cores: cores(&before.edge, &after.edge),
            edge_peak_mb: after.edge.peak_mb,
            lab_cores: cores(&before.lab, &after.lab),
            acknowledged: Times::of(told.acknowledged),
            in_force: Times::of(told.in_force),
            failed: told.failed,
            early: told.early.leased,
            early_in_touch: told.early.in_touch,
            lost_sessions: after.lost - before.lost,
            failed_beats: after.failed_beats - before.failed_beats,
        }
    }
}
