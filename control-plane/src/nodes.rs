//! Descriptions of proxies and origin servers that control nodes exchange with other processes. This module depends on
//! no other module of the crate.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// The tier of the cache that a proxy belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyRole {
    /// Accepts requests from clients.
    Edge,
    /// Caches responses of the origin servers for the edges.
    Shield,
}

/// A proxy, as it describes itself when it opens a session with a control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the proxy's machine.
    pub node: String,
    /// Zone of the proxy's machine.
    pub zone: String,
    /// Whether the proxy is an edge or a shield.
    pub proxy: ProxyRole,
    /// Address where a shield accepts requests from edges.
    pub http: SocketAddrV4,
    /// Whether the proxy accepts requests.
    pub ready: bool,
    /// Distinguishes this process from earlier processes on the same machine.
    pub incarnation: u64,
}

/// An origin server, as it is published to proxies.
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
