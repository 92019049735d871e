//! The fields of the settings file and their defaults.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use serde::Deserialize;

use super::port_range::PortRange;

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "GLENFALL_CONFIG";

/// The settings of all processes on a machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The machine's name, unique in the system.
    pub node: String,
    /// The failure domain that the machine is in.
    pub zone: String,
    /// The machine's address for the other machines of the system.
    pub bind_ip: Ipv4Addr,
    /// The ports that the system's processes have for each other.
    pub port_range: PortRange,
    /// `controlAddr` of some control nodes.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder in which control and shield keep their state.
    #[serde(default)]
    pub state_dir: Option<PathBuf>,
    /// The interval of the heartbeats of servers, in milliseconds.
    #[serde(default = "default_beat_ms")]
    pub beat_ms: u64,
    /// The address at which agent and control publish to the proxy on this machine. It differs from 127.0.0.1 only where
    /// several machines are simulated on one.
    #[serde(default = "default_feed_ip")]
    pub feed_ip: Ipv4Addr,
    /// The address at which control accepts links and shields accept reads, if not `bindIp`. It is set only where a relay
    /// that simulates network faults listens at that address.
    #[serde(default)]
    pub listen_ip: Option<Ipv4Addr>,
    /// Whether this machine's control node may vote. The seeds of the first start vote in any case.
    #[serde(default)]
    pub voter: bool,
    /// The losses that the system has to tolerate.
    #[serde(default)]
    pub survive: Survive,
    /// The addresses for clients, servers and operators.
    pub listeners: Listeners,
    /// Limits of each process.
    #[serde(default)]
    pub req_limits: ProcessLimits,
    /// Times, and bounds over windows of time.
    #[serde(default)]
    pub timing: Timing,
}

/// The addresses at which processes accept requests from outside of the system. Each role needs some of them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Listeners {
    /// Where an edge accepts the requests of clients.
    pub http: Option<SocketAddrV4>,
    /// Where an edge reports whether it is ready.
    pub ready_addr: Option<SocketAddrV4>,
    /// Where control accepts the requests of servers and operators.
    pub control_addr: Option<SocketAddrV4>,
}

/// The losses that the system has to tolerate at once.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Survive {
    /// Machines that vote.
    pub hosts: usize,
}

/// Limits of each process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ProcessLimits {
    /// Memory in MiB.
    pub mem_mb: u64,
    /// Open file descriptors.
    pub max_fds: usize,
    /// Disk space under `stateDir` in MiB.
    pub disk_mb: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits { mem_mb: 256, max_fds: 1024, disk_mb: 256 }
    }
}

/// Times, and bounds over windows of time.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Timing {
    /// Time after SIGTERM until a process is killed, in seconds.
    pub grace_s: f64,
    /// Time that a machine that starts or returns has for catching up, in seconds.
    pub sync_s: f64,
    /// Retries allowed over all machines, as a part of the requests in a window.
    pub retry_ratio: f64,
    /// Length of that window, in seconds.
    pub retry_window_s: f64,
    /// Retries allowed in a window in any case.
    pub retry_slack: f64,
    /// Length of the window over which the rate limit of a service is enforced, in seconds.
    pub ceiling_window_s: f64,
    /// What all machines together may send to a service over any such window, as a multiple of its `ratePerS`.
    pub ceiling_over: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            grace_s: 6.0,
            sync_s: 4.0,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 60.0,
            ceiling_window_s: 5.0,
            ceiling_over: 1.1,
        }
    }
}

fn default_beat_ms() -> u64 {
    1500
}

fn default_feed_ip() -> Ipv4Addr {
    Ipv4Addr::LOCALHOST
}
