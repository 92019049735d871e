//! Lists of servers in the form in which discovery gives them.

use std::net::SocketAddr;

use glenfall_balancer::{RosterEntry, ServerId, ServerState};
use serde_json::Value;

/// A list of servers, or the changes of one.
#[derive(Debug)]
pub struct ServerList {
    /// Rises with each change of the list.
    pub version: u64,
    /// Whether this is the complete list, or the changed entries only.
    pub is_complete: bool,
    /// The entries.
    pub servers: Vec<ListedServer>,
}

/// One server of a list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The entry as the balancer takes it.
    pub entry: RosterEntry,
    /// Where this node connects to the server.
    pub addr: SocketAddr,
}

impl ServerList {
    /// Reads a list. `None` if any part cannot be read: half of a list that passes for a complete one would
    /// remove servers that run.
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
        // Unix time, as on the balancer's clock; 0 is long ago.
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
