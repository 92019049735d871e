//! Proxies and origin servers, as control describes them to the other processes. Depends on no other module of this
//! crate.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// The role of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyRole {
    /// Takes clients' requests.
    Edge,
    /// Caches answers of the origin servers.
    Shield,
}

/// A proxy, as it describes itself in its session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of its machine.
    pub node: String,
    /// Zone of its machine.
    pub zone: String,
    /// Its role.
    pub proxy: ProxyRole,
    /// Where a shield takes reads.
    pub http: SocketAddrV4,
    /// It takes requests.
    pub ready: bool,
    /// Tells this process from the last one on its machine.
    pub incarnation: u64,
}

/// An origin server, as proxies know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its id, unique among all servers.
    pub id: String,
    /// Name of its service.
    pub backend: String,
    /// Where it takes requests.
    pub addr: SocketAddrV4,
    /// Zone of its machine.
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// It takes requests.
    pub ready: bool,
    /// How much longer it is slow from its start.
    pub warmup_left_ms: u64,
}
