//! The phases of a run: start, idle, changes, purges, restarts, and the loss of a control process.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use glenfall::operator::commands::ControlAddresses;
use glenfall::operator::local_system::LocalSystem;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::time::{sleep, Instant};

use super::measurement::{LinkBytes, Sample, SessionTraffic};
use super::nodes::NodeThreads;
use super::observations::Observations;
use super::report::PhaseReport;
use super::usage::Usage;
use super::waiting::{milliseconds_since, wait_until, READY_TIMEOUT};
use super::workload::{change_config, purge, OperatorMeasurements, HEARTBEAT_INTERVAL};
use crate::status::control_nodes;

/// Pause between phases, so that the effects of one are not measured in the next.
const PHASE_PAUSE: Duration = Duration::from_secs(2);
/// The machine whose control process is killed: the first seed, which is usually the head of the chain, and where
/// sessions would concentrate if nodes preferred the first seed.
pub const KILLED_MACHINE: &str = "core-1";
/// Nodes whose number is a multiple of this are restarted, so that restarts are spread over all nodes.
const RESTART_STEP: usize = 7;

/// A running system with hollow nodes.
pub struct HollowRun {
    /// The processes of the system.
    pub local: LocalSystem,
    /// The addresses of the control nodes.
    pub controls: ControlAddresses,
    /// The observations of all hollow nodes.
    pub observations: Arc<Observations>,
    /// The number of hollow nodes.
    pub nodes: u32,
    /// Heartbeats of servers that no control node accepted.
    pub failed_heartbeats: Rc<Cell<u32>>,
}

/// How sessions are distributed over the control nodes.
pub struct SessionDistribution {
    /// The most sessions at a control node.
    pub max: usize,
    /// The fewest sessions at a control node.
    pub min: usize,
}

impl HollowRun {
    // ---- Phases ----

    /// Starts all nodes at once, and waits until each knows the whole fleet.
    pub async fn start(&self, threads: &NodeThreads) -> PhaseReport {
        let before = self.sample();
        let links_before = self.link_bytes().await;
        let began_at = Instant::now();
        threads.start();
        let connected_ms = wait_until(READY_TIMEOUT, || self.all_connected()).await;
        wait_until(READY_TIMEOUT, || self.all_have_full_fleet()).await;
        let measurements = OperatorMeasurements {
            acknowledged: connected_ms.into_iter().collect(),
            applied: vec![milliseconds_since(began_at)],
            failed: u32::from(!self.all_have_full_fleet()),
            ..OperatorMeasurements::default()
        };
        self.report("start", &before, links_before, measurements).await
    }

    /// Waits without changes, purges or restarts.
    pub async fn idle(&self, duration: Duration) -> OperatorMeasurements {
        sleep(duration).await;
        OperatorMeasurements::default()
    }

    /// Changes the configuration at a constant rate, starting from version `base_rev`.
    pub async fn change(&self, base_rev: u64, per_s: f64, duration: Duration) -> OperatorMeasurements {
        let changes =
            change_config(&self.controls, &self.observations, self.nodes, base_rev, per_s, duration);
        changes.await.unwrap_or_else(|error| {
            eprintln!("{} nodes: configuration change failed: {error}", self.nodes);
            OperatorMeasurements { failed: 1, ..OperatorMeasurements::default() }
        })
    }

    /// Sends purges at a constant rate; `next` is the number of the next purge.
    pub async fn purge(&self, next: &Cell<usize>, per_s: f64, duration: Duration) -> OperatorMeasurements {
        purge(&self.controls, &self.observations, next, per_s, duration).await
    }

    /// Restarts nodes at a constant rate, and waits until all are connected.
    pub async fn restart(
        &self,
        threads: &NodeThreads,
        per_s: f64,
        duration: Duration,
    ) -> OperatorMeasurements {
        let pause = Duration::from_secs_f64(1.0 / per_s);
        let began_at = Instant::now();
        for number in (0..self.nodes).step_by(RESTART_STEP) {
            if began_at.elapsed() >= duration {
                break;
            }
            threads.restart(number);
            sleep(pause).await;
        }
        let connected_ms = wait_until(READY_TIMEOUT, || self.all_connected()).await;
        OperatorMeasurements {
            acknowledged: connected_ms.into_iter().collect(),
            ..OperatorMeasurements::default()
        }
    }

    /// Kills a control process while purges are sent, and waits until its sessions have moved to other control nodes.
    pub async fn kill_control_during_purges(
        &self,
        next_purge: &Cell<usize>,
        purges_per_s: f64,
        duration: Duration,
    ) -> OperatorMeasurements {
        let purges = self.purge(next_purge, purges_per_s, duration);
        let (measurements, reconnected_ms) = tokio::join!(purges, self.kill_control());
        OperatorMeasurements { applied: reconnected_ms.into_iter().collect(), ..measurements }
    }

    /// Kills a control process, and returns the milliseconds until all nodes are connected; `None` after
    /// [`READY_TIMEOUT`].
    async fn kill_control(&self) -> Option<f64> {
        let lost_sessions = || self.observations.lost_sessions.load(Ordering::Relaxed);
        let lost_before = lost_sessions();
        for pid in self.local.pids(KILLED_MACHINE, Some("control")) {
            // Fails if the process has already exited, which is fine.
            let _ = kill(Pid::from_raw(pid as i32), Signal::SIGKILL);
        }
        let began_at = Instant::now();
        wait_until(HEARTBEAT_INTERVAL, || lost_sessions() > lost_before).await;
        wait_until(READY_TIMEOUT, || self.all_connected()).await?;
        Some(milliseconds_since(began_at))
    }

    // ---- States ----

    /// Whether all hollow nodes are connected and ready to serve.
    pub fn all_connected(&self) -> bool {
        self.observations.connected.load(Ordering::Relaxed) == self.nodes
    }

    /// Whether all hollow nodes know every server and every edge.
    pub fn all_have_full_fleet(&self) -> bool {
        self.observations.with_full_fleet.load(Ordering::Relaxed) == self.nodes
    }

    async fn status(&self) -> Vec<Value> {
        control_nodes(&self.controls).await.unwrap_or_default()
    }

    /// Returns how sessions are distributed over the control nodes.
    pub async fn session_distribution(&self) -> SessionDistribution {
        let nodes = self.status().await;
        let counts = || nodes.iter().filter_map(|node| node["sessions"].as_array().map(Vec::len));
        SessionDistribution { max: counts().max().unwrap_or(0), min: counts().min().unwrap_or(usize::MAX) }
    }

    // ---- Measurements ----

    /// Measures the usage and traffic of a phase, after a pause.
    pub async fn measure(
        &self,
        name: &'static str,
        work: impl Future<Output = OperatorMeasurements>,
    ) -> PhaseReport {
        sleep(PHASE_PAUSE).await;
        // Counters are read before the sample, as reading them uses processor time of the control processes.
        let links_before = self.link_bytes().await;
        let before = self.sample();
        let measurements = work.await;
        self.report(name, &before, links_before, measurements).await
    }

    async fn report(
        &self,
        name: &'static str,
        before: &Sample,
        links_before: LinkBytes,
        measurements: OperatorMeasurements,
    ) -> PhaseReport {
        let after = self.sample();
        let links_after = self.link_bytes().await;
        let usage = before.usage_until(&after);
        let links = links_after.since(links_before);
        PhaseReport::new(name, &usage, links, self.nodes, measurements)
    }

    fn sample(&self) -> Sample {
        let usage_of = |machine: &str, role| {
            let pids = self.local.pids(machine, Some(role));
            pids.into_iter().next().map(Usage::of).unwrap_or_default()
        };
        let controls = 1..=self.controls.controls.len();
        Sample {
            at: Instant::now(),
            controls: controls.map(|number| usage_of(&format!("core-{number}"), "control")).collect(),
            agent: usage_of("edge-1", "agent"),
            edge: usage_of("edge-1", "edge"),
            lab: Usage::of(std::process::id()),
            sessions: SessionTraffic::read(),
            lost_sessions: self.observations.lost_sessions.load(Ordering::Relaxed),
            failed_heartbeats: self.failed_heartbeats.get(),
        }
    }

    /// Returns the bytes sent and received on the links of all control processes since their start.
    async fn link_bytes(&self) -> LinkBytes {
        let nodes = self.status().await;
        let sum = |name: &str| nodes.iter().filter_map(|node| node["counters"][name].as_u64()).sum();
        LinkBytes { sent: sum("message_bytes_said"), received: sum("message_bytes_heard") }
    }
}
