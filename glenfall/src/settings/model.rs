//! The fields of the settings file, and their defaults.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use serde::Deserialize;

use super::port_range::PortRange;

/// The environment variable that holds the path of the settings file.
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
    /// The ports on which processes of the system connect to each other.
    pub port_range: PortRange,
    /// `controlAddr` of the control nodes that a process contacts first; at least one. Only the IP addresses are used:
    /// links go to the first port of `port_range`.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether this is the first start of the system, not only of this machine.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder in which control and shield keep their state.
    #[serde(default)]
    pub state_dir: Option<PathBuf>,
    /// The interval at which servers send heartbeats, in milliseconds.
    #[serde(default = "default_beat_ms")]
    pub beat_ms: u64,
    /// The address on which agent and control publish to the proxy on this machine. It differs from 127.0.0.1 only if
    /// several machines are simulated on one.
    #[serde(default = "default_feed_ip")]
    pub feed_ip: Ipv4Addr,
    /// The address on which control accepts links and shields accept reads, if not `bindIp`. It is set only if a relay
    /// that simulates network faults listens on `bindIp`.
    #[serde(default)]
    pub listen_ip: Option<Ipv4Addr>,
    /// Whether this machine's control node may become a voter. At the first start the seed nodes are voters in any case.
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

/// The addresses on which processes accept requests from outside the system. Each role requires some of them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Listeners {
    /// Address on which an edge accepts requests of clients.
    pub http: Option<SocketAddrV4>,
    /// Address on which an edge reports whether it is ready.
    pub ready_addr: Option<SocketAddrV4>,
    /// Address on which control accepts requests of servers and operators.
    pub control_addr: Option<SocketAddrV4>,
}

/// The losses that the system has to tolerate at once.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Survive {
    /// Number of voters that may be lost with their disks.
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
    /// Time that a machine has for catching up after a start or an outage, in seconds.
    pub sync_s: f64,
    /// Retries that all machines together may send in a window, as a fraction of the requests in it.
    pub retry_ratio: f64,
    /// Length of the window for retries, in seconds.
    pub retry_window_s: f64,
    /// Retries that all machines together may send in a window in addition to that fraction.
    pub retry_slack: f64,
    /// Length of the window over which the rate limit of a service is enforced, in seconds.
    pub ceiling_window_s: f64,
    /// The rate that all machines together may reach in any such window, as a multiple of the service's `ratePerS`.
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
