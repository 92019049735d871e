//! Resource usage of processes, and traffic of sessions and links, between two samples.

use glenfall::session::link;
use tokio::time::Instant;

use super::usage::Usage;

/// Bytes sent and received on the links of all control processes.
#[derive(Clone, Copy)]
pub struct LinkBytes {
    /// Bytes sent by control processes.
    pub sent: u64,
    /// Bytes received by control processes.
    pub received: u64,
}

impl LinkBytes {
    /// Returns the bytes since an earlier reading; 0 if the sum has decreased, as a process was restarted in between.
    pub fn since(self, before: LinkBytes) -> LinkBytes {
        LinkBytes {
            sent: self.sent.saturating_sub(before.sent),
            received: self.received.saturating_sub(before.received),
        }
    }
}

/// Traffic of the sessions of all hollow nodes.
#[derive(Clone, Copy)]
pub struct SessionTraffic {
    /// Messages that nodes sent.
    pub messages_sent: u64,
    /// Bytes that nodes sent.
    pub bytes_sent: u64,
    /// Messages that nodes received.
    pub messages_received: u64,
    /// Bytes that nodes received.
    pub bytes_received: u64,
}

impl SessionTraffic {
    /// Reads the session counters of this process, in which the hollow nodes run.
    pub fn read() -> SessionTraffic {
        let [messages_sent, bytes_sent, messages_received, bytes_received] =
            link::traffic().map(|(_, count)| count);
        SessionTraffic { messages_sent, bytes_sent, messages_received, bytes_received }
    }

    fn since(self, before: SessionTraffic) -> SessionTraffic {
        SessionTraffic {
            messages_sent: self.messages_sent.saturating_sub(before.messages_sent),
            bytes_sent: self.bytes_sent.saturating_sub(before.bytes_sent),
            messages_received: self.messages_received.saturating_sub(before.messages_received),
            bytes_received: self.bytes_received.saturating_sub(before.bytes_received),
        }
    }
}

/// Cumulative usage and counts at one point in time.
pub struct Sample {
    /// When the sample was taken.
    pub at: Instant,
    /// Usage of each control process.
    pub controls: Vec<Usage>,
    /// Usage of the real agent.
    pub agent: Usage,
    /// Usage of the real edge.
    pub edge: Usage,
    /// Usage of this process.
    pub lab: Usage,
    /// Traffic of the sessions of hollow nodes.
    pub sessions: SessionTraffic,
    /// Sessions of hollow nodes that were lost.
    pub lost_sessions: u32,
    /// Heartbeats of servers that no control node accepted.
    pub failed_heartbeats: u32,
}

/// Usage between two samples. Cores are processor time divided by elapsed time.
pub struct PhaseUsage {
    /// Elapsed time between the samples.
    pub seconds: f64,
    /// Processor use of each control process, in cores.
    pub control_cores: Vec<f64>,
    /// Peak memory of each control process since its start, in MB.
    pub control_peak_mb: Vec<f64>,
    /// Processor use of the real agent, in cores.
    pub agent_cores: f64,
    /// Peak memory of the real agent since its start, in MB.
    pub agent_peak_mb: f64,
    /// Processor use of the real edge, in cores.
    pub edge_cores: f64,
    /// Peak memory of the real edge since its start, in MB.
    pub edge_peak_mb: f64,
    /// Processor use of this process, in cores.
    pub lab_cores: f64,
    /// Traffic of the sessions of hollow nodes.
    pub sessions: SessionTraffic,
    /// Sessions of hollow nodes that were lost.
    pub lost_sessions: u32,
    /// Heartbeats of servers that no control node accepted.
    pub failed_heartbeats: u32,
}

impl Sample {
    /// Returns the usage from this sample to a later one.
    pub fn usage_until(&self, after: &Sample) -> PhaseUsage {
        let seconds = (after.at - self.at).as_secs_f64();
        let cores = |before: &Usage, after: &Usage| (after.cpu_s - before.cpu_s).max(0.0) / seconds;
        let controls = self.controls.iter().zip(&after.controls);
        PhaseUsage {
            seconds,
            control_cores: controls.map(|(before, after)| cores(before, after)).collect(),
            control_peak_mb: after.controls.iter().map(|usage| usage.peak_mb).collect(),
            agent_cores: cores(&self.agent, &after.agent),
            agent_peak_mb: after.agent.peak_mb,
            edge_cores: cores(&self.edge, &after.edge),
            edge_peak_mb: after.edge.peak_mb,
            lab_cores: cores(&self.lab, &after.lab),
            sessions: after.sessions.since(self.sessions),
            lost_sessions: after.lost_sessions - self.lost_sessions,
            failed_heartbeats: after.failed_heartbeats - self.failed_heartbeats,
        }
    }
}
