//! Lists of servers in the JSON format of discovery.

use std::net::SocketAddr;

use glenfall_balancer::{RosterEntry, ServerId, ServerState};
use serde_json::Value;

/// A complete list of servers, or the changed entries of one.
#[derive(Debug)]
pub struct ServerList {
    /// The version of the list, which rises with each change.
    pub version: u64,
    /// Whether this is the complete list, or the changed entries only.
    pub is_complete: bool,
    /// All servers of the list, or the changed ones.
    pub servers: Vec<ListedServer>,
}

/// A server with what discovery states about it.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The entry for the balancer.
    pub entry: RosterEntry,
    /// The address at which this node connects to the server.
    pub addr: SocketAddr,
}

impl ServerList {
    /// Reads a list. `None` if any part cannot be read: a truncated list taken for a complete one would remove
    /// servers that are running.
    pub fn read(json: &Value) -> Option<ServerList> {
        Some(ServerList {
            version: json["version"].as_u64()?,
            is_complete: json["full"].as_bool()?,
            servers: json["servers"].as_array()?.iter().map(ListedServer::read).collect::<Option<_>>()?,
        })
    }
}

impl ListedServer {
    fn read(json: &Value) -> Option<ListedServer> {
        let text = |name: &str| json[name].as_str();
        // Unix time, as on the balancer's clock; 0 means that the server started long ago.
        let started = json["started_ms"].as_f64().filter(|&ms| ms > 0.0).map(|ms| ms / 1000.0);
        let entry = RosterEntry {
            server: ServerId(text("id")?.into()),
            state: match text("state") {
                Some("active") => ServerState::Ready,
                Some("left") => ServerState::Gone,
                _ => ServerState::Draining,
            },
            zone: text("zone").unwrap_or_default().to_owned(),
            weight: json["weight"].as_f64().unwrap_or(1.0),
            kind: text("kind").unwrap_or_default().to_owned(),
            started,
            cell: json["cell"].as_u64().unwrap_or(0),
        };
        Some(ListedServer { entry, addr: text("addr")?.parse().ok()? })
    }
}
