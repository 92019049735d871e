//! Proxies and origin servers, as control nodes describe them to other processes. This module depends on no other module of
//! the crate.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// The role of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyRole {
    /// Accepts the requests of clients.
    Edge,
    /// Caches responses of the origin servers for the edges.
    Shield,
}

/// A proxy, as it describes itself on its session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of its machine.
    pub node: String,
    /// Zone of its machine.
    pub zone: String,
    /// Its role.
    pub proxy: ProxyRole,
    /// Address where a shield accepts the requests of edges.
    pub http: SocketAddrV4,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Distinguishes this process from the earlier ones on its machine.
    pub incarnation: u64,
}

/// An origin server, as proxies know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Id of the server, unique among all servers.
    pub id: String,
    /// Name of the server's service.
    pub backend: String,
    /// Address where the server accepts requests.
    pub addr: SocketAddrV4,
    /// Zone of the server's machine.
    pub zone: String,
    /// Number of requests that the server processes concurrently.
    pub capacity: u32,
    /// Whether the server accepts new requests.
    pub ready: bool,
    /// Remaining time of the server's slow start, in milliseconds.
    pub warmup_left_ms: u64,
}
