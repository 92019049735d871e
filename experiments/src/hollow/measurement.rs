//! What processes have used, and the traffic of sessions and links, between two samples.

use glenfall::session::link;
use tokio::time::Instant;

use super::usage::Usage;

/// Bytes on the links of all control processes.
#[derive(Clone, Copy)]
pub struct LinkBytes {
    /// Bytes that they sent.
    pub sent: u64,
    /// Bytes that they received.
    pub received: u64,
}

impl LinkBytes {
    /// Returns the bytes since an earlier time. Counters of a process that was restarted begin anew, and count as 0.
    pub fn since(self, before: LinkBytes) -> LinkBytes {
        LinkBytes {
            sent: self.sent.saturating_sub(before.sent),
            received: self.received.saturating_sub(before.received),
        }
    }
}

/// The traffic of all sessions of hollow nodes.
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
    /// Reads the counters of this process.
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

/// What processes have used so far.
pub struct Sample {
    /// When it was read.
    pub at: Instant,
    /// The control processes.
    pub controls: Vec<Usage>,
    /// The real agent.
    pub agent: Usage,
    /// The real edge.
    pub edge: Usage,
    /// This process.
    pub lab: Usage,
    /// The sessions of hollow nodes.
    pub sessions: SessionTraffic,
    /// Sessions that were lost.
    pub lost_sessions: u32,
    /// Heartbeats of servers that no control node accepted.
    pub failed_heartbeats: u32,
}

/// What processes used between two samples. Cores are processor time divided by time.
pub struct PhaseUsage {
    /// The time between the samples.
    pub seconds: f64,
    /// The cores of each control process.
    pub control_cores: Vec<f64>,
    /// The peak memory of each control process, in MB.
    pub control_peak_mb: Vec<f64>,
    /// The cores of the real agent.
    pub agent_cores: f64,
    /// The peak memory of the real agent, in MB.
    pub agent_peak_mb: f64,
    /// The cores of the real edge.
    pub edge_cores: f64,
    /// The peak memory of the real edge, in MB.
    pub edge_peak_mb: f64,
    /// The cores of this process.
    pub lab_cores: f64,
    /// The sessions of hollow nodes.
    pub sessions: SessionTraffic,
    /// Sessions that were lost.
    pub lost_sessions: u32,
    /// Heartbeats of servers that no control node accepted.
    pub failed_heartbeats: u32,
}

impl Sample {
    /// Returns what processes used until a later sample.
    pub fn until(&self, after: &Sample) -> PhaseUsage {
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
