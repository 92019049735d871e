//! The settings file that a process starts with.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use glenfall_control_plane::chain::{ChainSettings, SyncTooShort};
use glenfall_control_plane::{rate_limit, retry_budget, Millis};
use serde::Deserialize;

/// Names the settings file.
pub const VARIABLE: &str = "GLENFALL_CONFIG";

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    pub node: String,
    pub zone: String,
    pub bind_ip: Ipv4Addr,
    /// First and last port that the system's processes have for each other.
    pub port_range: (u16, u16),
    /// `controlAddr` of some control nodes.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// The whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub state_dir: Option<PathBuf>,
    /// How often servers call.
    #[serde(default = "default_beat")]
    pub beat_ms: u64,
    /// Where agent and control feed the proxy beside them; another than 127.0.0.1 only where several machines
    /// are played on one.
    #[serde(default = "default_feed_ip")]
    pub feed_ip: Ipv4Addr,
    /// Where control's links and shields' reads are taken, if not at `bindIp`; only where a relay that plays troubles of the
    /// network stands at that address.
    #[serde(default)]
    pub listen_ip: Option<Ipv4Addr>,
    /// This machine's control node may vote; the seeds of the first start do whatever is said here.
    #[serde(default)]
    pub voter: bool,
    #[serde(default)]
    pub survive: Survive,
    pub listeners: Listeners,
    #[serde(default)]
    pub req_limits: ProcessLimits,
    #[serde(default)]
    pub timing: Timing,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Listeners {
    pub http: Option<SocketAddrV4>,
    pub ready_addr: Option<SocketAddrV4>,
    pub control_addr: Option<SocketAddrV4>,
}

/// What may be lost at once.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Survive {
    /// Machines that vote.
    pub hosts: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ProcessLimits {
    pub mem_mb: u64,
    pub max_fds: usize,
    /// MemoryBudget under `stateDir`.
    pub disk_mb: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits { mem_mb: 256, max_fds: 1024, disk_mb: 256 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Timing {
    pub grace_s: f64,
    /// How long a machine that starts or is back has for catching up.
    pub sync_s: f64,
    /// Further tries allowed, over all machines: this part of the requests in a window, and the slack.
    pub retry_ratio: f64,
    pub retry_window_s: f64,
    pub retry_slack: f64,
    /// What all machines together may ask of a service over any such window: so many times its `ratePerS`.
    pub ceiling_window_s: f64,
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

fn default_beat() -> u64 {
    1500
}

fn default_feed_ip() -> Ipv4Addr {
    Ipv4Addr::LOCALHOST
}

/// Why the settings can't be used; one line.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{VARIABLE} is not set: the path of the settings file expected")]
    NoPath,
    #[error("{path}: {what}")]
    Unreadable { path: String, what: std::io::Error },
    #[error("{path}: {what}")]
    Wrong { path: String, what: String },
    #[error("survive.hosts {hosts} with timing.syncS {sync_s}: {why}")]
    Promise { hosts: usize, sync_s: f64, why: SyncTooShort },
}

impl Settings {
    /// Reads the file that the environment names.
    pub fn load() -> Result<Settings, SettingsError> {
        let path = std::env::var(VARIABLE).map_err(|_| SettingsError::NoPath)?;
        let text = std::fs::read_to_string(&path)
            .map_err(|what| SettingsError::Unreadable { path: path.clone(), what })?;
        Settings::parse(&text).map_err(|what| SettingsError::Wrong { path, what })
    }

    /// Reads settings; an error names the place.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let boot: Settings = toml::from_str(text).map_err(|e| {
            let place = e.span().map(|span| {
                let before = &text[..span.start.min(text.len())];
                let line = before.matches('\n').count() + 1;
                let column = before.len() - before.rfind('\n').map_or(0, |at| at + 1) + 1;
                format!("line {line}, column {column}: ")
            });
            format!("{}{}", place.unwrap_or_default(), e.message().replace('\n', " "))
        })?;
        if boot.port_range.1 < boot.port_range.0.saturating_add(FEED) {
            return Err(format!("portRange: {} ports expected, got {:?}", FEED + 1, boot.port_range));
        }
        if boot.seed_nodes.is_empty() {
            return Err("seedNodes: one address at least expected, got none".into());
        }
        if boot.survive.hosts > MOST_LOSSES {
            let got = boot.survive.hosts;
            return Err(format!("survive.hosts: {MOST_LOSSES} at most expected, got {got}"));
        }
        let timing = &boot.timing;
        for (name, value) in [
            ("graceS", timing.grace_s),
            ("syncS", timing.sync_s),
            ("retryRatio", timing.retry_ratio),
            ("retryWindowS", timing.retry_window_s),
            ("retrySlack", timing.retry_slack),
            ("ceilingWindowS", timing.ceiling_window_s),
            ("ceilingOver", timing.ceiling_over),
        ] {
            if !(0.0..=LARGEST).contains(&value) {
                return Err(format!("timing.{name}: a number from 0 to {LARGEST} expected, got {value}"));
            }
        }
        Ok(boot)
    }

    /// The settings of the core; an error where it can't outlive the promised losses in the time that it has.
    pub fn chain_settings(&self) -> Result<ChainSettings, SettingsError> {
        let sync = (self.timing.sync_s * 1000.0) as Millis;
        let settings = ChainSettings { losses: self.survive.hosts, eligible: self.voter, sync };
        let (hosts, sync_s) = (self.survive.hosts, self.timing.sync_s);
        settings.check().map_err(|why| SettingsError::Promise { hosts, sync_s, why })?;
        Ok(settings)
    }

    /// What all machines together may send beyond the first try of each request.
    pub fn retry_budget(&self) -> retry_budget::RetryBudgetSettings {
        retry_budget::RetryBudgetSettings {
            ratio: self.timing.retry_ratio,
            window: (self.timing.retry_window_s * 1000.0) as u64,
            slack: self.timing.retry_slack,
        }
    }

    /// What all machines together may ask of a service that states a rate.
    pub fn rate_limit(&self) -> rate_limit::RateLimitSettings {
        let timing = &self.timing;
        rate_limit::RateLimitSettings {
            window: (timing.ceiling_window_s * 1000.0) as u64,
            over: timing.ceiling_over,
        }
    }

    /// A listener that the role can't do without.
    pub fn require_listener(
        &self,
        what: &str,
        pick: impl Fn(&Listeners) -> Option<SocketAddrV4>,
    ) -> Result<SocketAddrV4, SettingsError> {
        let path = std::env::var(VARIABLE).unwrap_or_default();
        let wrong = || SettingsError::Wrong { path, what: format!("listeners.{what}: missing") };
        pick(&self.listeners).ok_or_else(wrong)
    }

    /// Where the control node on a machine takes links; ports are alike on all machines.
    pub fn link_address(&self, machine: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.port_range.0)
    }

    /// Where this machine's shield takes reads.
    pub fn shield_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.bind_ip, self.port_range.0 + SHIELD)
    }

    /// The address to listen at for what comes to one of this machine's.
    pub fn listen_address(&self, announced: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(self.listen_ip.unwrap_or(*announced.ip()), announced.port())
    }

    /// Where the proxy of this machine is fed.
    pub fn watch_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.feed_ip, self.port_range.0 + FEED)
    }

    /// Bytes of a part of the memory that a process may take.
    pub fn memory_share(&self, part: f64) -> usize {
        (self.req_limits.mem_mb as f64 * part * f64::from(1 << 20)) as usize
    }

    /// How long after SIGTERM a process may go on before it is killed, less what ending takes.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64((self.timing.grace_s - 0.7).max(0.3))
    }
}

/// More losses at once than 15 voters outlive are not promised.
const MOST_LOSSES: usize = 7;
/// Beyond it no time and no bound makes sense.
const LARGEST: f64 = 1e6;

/// Ports, counted from the first of the range, which takes links.
const SHIELD: u16 = 1;
const FEED: u16 = 2;
