//! The node's configuration: a few environment variables and a JSON file.

use std::net::SocketAddr;
use std::num::ParseIntError;

use glenfall_balancer::Settings;
use glenfall_balancer_settings::ParseError;
use serde_json::Value;

use crate::server_list::ServerList;

/// Descriptors reserved for everything but clients and upstreams: standard streams, the reactor, signals, the
/// listener, peers, discovery.
const RESERVED_SOCKETS: usize = 24;
/// Limit on descriptors if the configuration sets none.
const DEFAULT_MAX_SOCKETS: usize = 1024;
/// Lowest limit on descriptors: enough for a few clients and a few upstreams.
const MIN_SOCKETS: usize = 64;
/// Highest limit on descriptors; a larger one is lowered to this.
const MAX_SOCKETS: u64 = 1 << 20;
/// The environment variable with the path of the configuration file.
const CONFIG_PATH_VARIABLE: &str = "LB_CONFIG";

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("configuration: LB_CONFIG is not set")]
    NoPath,
    /// The file cannot be read.
    #[error("configuration: {path}: {cause}")]
    UnreadableFile {
        /// Path of the file.
        path: String,
        /// The error of the system.
        cause: std::io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: {path}: {cause}")]
    NotJson {
        /// Path of the file.
        path: String,
        /// Where and why it is not JSON.
        cause: serde_json::Error,
    },
    /// A required value is missing.
    #[error("configuration: {0}: missing")]
    Missing(&'static str),
    /// A value is not an IP address with a port.
    #[error("configuration: {name}: expected an IP address with a port, got `{found}`")]
    Address {
        /// The name of the value.
        name: &'static str,
        /// The value in the configuration.
        found: String,
    },
    /// The limit on descriptors is too low or not a number.
    #[error("configuration: limits.sockets: expected {MIN_SOCKETS} or more, got {0}")]
    SocketLimit(Value),
    /// The list of servers that the node starts with cannot be read.
    #[error("configuration: known: expected a list of servers")]
    KnownServers,
    /// The seed is not a hexadecimal number.
    #[error("configuration: seed: expected a hexadecimal number: {0}")]
    Seed(ParseIntError),
    /// The balancer's settings cannot be read.
    #[error("configuration: {0}")]
    Settings(ParseError),
}

/// The node's configuration.
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address at which the node accepts clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the node's random numbers.
    pub seed: u64,
    /// Limit on connections to upstreams.
    pub upstream_sockets: usize,
    /// Limit on connections from clients.
    pub client_sockets: usize,
    /// The address at which the node receives datagrams from its peers; `None` if it exchanges none.
    pub peer_listen: Option<SocketAddr>,
    /// The peers' addresses by node number.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all peers at once, such as a broadcast address, if there is one.
    pub broadcast_addr: Option<SocketAddr>,
    /// The list of servers that the node starts with.
    pub initial_servers: Option<ServerList>,
    /// The balancer's settings.
    pub settings: Settings,
}

impl Config {
    /// Reads the environment and the configuration file.
    ///
    /// # Errors
    ///
    /// The first value that is missing or cannot be used.
    pub fn load() -> Result<Self, ConfigError> {
        let json = read_file()?;
        let settings = glenfall_balancer_settings::parse(&json["settings"]).map_err(ConfigError::Settings)?;
        let max_sockets = max_sockets(&json["limits"]["sockets"])?;
        let upstream_sockets = (max_sockets - RESERVED_SOCKETS) / 2;
        let initial_servers = initial_servers(&json["known"])?;
        Ok(Config {
            name: setting(&json, "name", "LB_NAME")?,
            listen: address("listen", &setting(&json, "listen", "LB_LISTEN")?)?,
            discovery: address("discovery", &setting(&json, "discovery", "LB_DISCOVERY")?)?,
            seed: seed(&json["seed"])?,
            upstream_sockets,
            client_sockets: max_sockets - RESERVED_SOCKETS - upstream_sockets,
            peer_listen: optional_address(&json, "peer_listen")?,
            peers: peer_addresses(&json["peers"])?,
            broadcast_addr: optional_address(&json, "peers_all")?,
            initial_servers,
            settings,
        })
    }
}

/// Reads the address of discovery from the file again. The process's environment cannot have changed since its
/// start, but the file may have been replaced; so the file has precedence here.
///
/// # Errors
///
/// The file cannot be read, or does not contain the address.
pub fn reload_discovery_address() -> Result<SocketAddr, ConfigError> {
    let json = read_file()?;
    let text = json["discovery"].as_str().ok_or(ConfigError::Missing("discovery"))?;
    address("discovery", text)
}

/// Reads the configuration file, whose path is in `LB_CONFIG`.
fn read_file() -> Result<Value, ConfigError> {
    let path = std::env::var(CONFIG_PATH_VARIABLE).map_err(|_| ConfigError::NoPath)?;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(cause) => return Err(ConfigError::UnreadableFile { path, cause }),
    };
    serde_json::from_str(&text).map_err(|cause| ConfigError::NotJson { path, cause })
}

/// A required value, from the environment variable if it is set, else from the file.
fn setting(json: &Value, name: &'static str, variable: &str) -> Result<String, ConfigError> {
    let text = std::env::var(variable).ok().or_else(|| json[name].as_str().map(str::to_owned));
    text.ok_or(ConfigError::Missing(name))
}

fn address(name: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address { name, found: text.to_owned() })
}

fn optional_address(json: &Value, name: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    match &json[name] {
        Value::Null => Ok(None),
        value => address(name, value.as_str().unwrap_or_default()).map(Some),
    }
}

fn peer_addresses(json: &Value) -> Result<Vec<SocketAddr>, ConfigError> {
    let peers = json.as_array().map_or(&[][..], Vec::as_slice);
    peers.iter().map(|peer| address("peers", peer.as_str().unwrap_or_default())).collect()
}

fn max_sockets(json: &Value) -> Result<usize, ConfigError> {
    if json.is_null() {
        return Ok(DEFAULT_MAX_SOCKETS);
    }
    let stated = json.as_u64().map(|sockets| sockets.min(MAX_SOCKETS) as usize);
    stated.filter(|&sockets| sockets >= MIN_SOCKETS).ok_or_else(|| ConfigError::SocketLimit(json.clone()))
}

fn initial_servers(json: &Value) -> Result<Option<ServerList>, ConfigError> {
    if json.is_null() {
        return Ok(None);
    }
    ServerList::read(json).map(Some).ok_or(ConfigError::KnownServers)
}

fn seed(json: &Value) -> Result<u64, ConfigError> {
    u64::from_str_radix(json.as_str().unwrap_or("0"), 16).map_err(ConfigError::Seed)
}
