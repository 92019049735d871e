//! A control node: a replica of the chain, the registry of servers, and the sessions that it publishes both to.
//!
//! Each module owns the state that its type names, and no other module can change it. `node` holds one value of each
//! and connects them; a module uses only those that stand above it here.
//!
//! | module | owns |
//! | --- | --- |
//! | `clock` | the moment of the start, from which all readings count |
//! | `store`, `backup` | the hard state of the chain on disk, and as a file for operators |
//! | `purge_log` | the recent purges on disk |
//! | `peers` | links to other control nodes, requests to them, and the members whose sessions are there |
//! | `chain_driver` | the chain, the queue of its writes, and the calls that wait for an outcome |
//! | `quorum_contact` | the last contact with a quorum, and whether this node is isolated |
//! | `quorum_reads` | which callers a quorum read has covered |
//! | `voter_leases` | leases that this node holds and has granted, and the voters that they count by |
//! | `purge_log_completeness` | which peers have sent their purges, and whether no acknowledged one is missing |
//! | `purge_durability` | on how many disks each pending purge is |
//! | `purge_coordinator` | the purge history and the numbers of purges |
//! | `server_registry` | the servers that this node knows |
//! | `fleet_publisher` | the fleet as published to sessions |
//! | `local_members` | the members whose sessions are here, as peers know them |
//! | `heartbeat_relay` | heartbeats that wait to be sent to peers |
//! | `server_replication` | no state but the relay: how draining and deregistration reach all control nodes |
//! | `node` | one value of each of these, and whether the node is shutting down |
//! | `peer_events` | no state: which module handles which message of a peer |
//! | `session_publisher` | no state: what sessions are sent first |
//! | `inbound` | no state: connections of sessions and peers to this node |
//! | `api` | the limit on log lines about rejected calls of servers and operators |

pub mod api;
pub mod backup;
mod chain_driver;
mod clock;
mod fleet_publisher;
pub mod heartbeat_relay;
mod inbound;
mod local_members;
mod node;
mod peer_events;
pub mod peers;
mod purge_coordinator;
mod purge_durability;
pub mod purge_log;
mod purge_log_completeness;
mod quorum_contact;
mod quorum_reads;
mod server_registry;
mod server_replication;
mod session_publisher;
pub mod store;
mod voter_leases;

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::http_server;
use crate::session::publisher::Reach;
use crate::settings::Settings;
use node::Control;

/// File descriptors that are reserved for sessions, peers and files. All others are for HTTP connections: servers keep
/// theirs open between heartbeats, and with a lower limit each heartbeat would open a new one.
const RESERVED_DESCRIPTORS: usize = 1500;
/// HTTP connections that are accepted however few descriptors the settings allow.
const MIN_HTTP_CONNECTIONS: usize = 256;
/// Limit on the bytes of request bodies that are being received: several of the largest documents that are accepted.
const MAX_BODY_BYTES_IN_FLIGHT: usize = 32 << 20;
/// How long new calls are accepted after the signal to stop. The chain replaces this node meanwhile.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(600);

/// Runs a control node until it receives the signal to stop.
///
/// # Errors
///
/// When settings are missing, its state can't be opened, or an address can't be listened on.
pub async fn run(settings: Rc<Settings>) -> Result<(), Box<dyn std::error::Error>> {
    let listen = settings.require_listener("controlAddr", |listeners| listeners.control_addr)?;
    let seeds = node::seed_addresses(&settings);
    let (completed_write_sender, completed_writes) = mpsc::unbounded_channel();
    let control = Rc::new(Control::open(Rc::clone(&settings), &seeds, completed_write_sender)?);
    let network_listener =
        TcpListener::bind(settings.listen_address(settings.link_address(settings.bind_ip))).await?;
    let local_listener = TcpListener::bind(settings.watch_address()).await?;
    spawn_local(inbound::accept(Rc::clone(&control), network_listener, Reach::Network));
    spawn_local(inbound::accept(Rc::clone(&control), local_listener, Reach::SameMachine));
    control.connect_to(&seeds);
    control.start(completed_writes);
    let server = http_server::ServerConfig {
        listen,
        max_connections: settings
            .req_limits
            .max_fds
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_HTTP_CONNECTIONS),
        max_body_bytes: MAX_BODY_BYTES_IN_FLIGHT,
        drain_accept_time: DRAIN_ACCEPT_TIME,
        shutdown_timeout: settings.grace(),
    };
    let api = Rc::new(api::Api::new(Rc::clone(&control)));
    let serving = http_server::serve(server, api, control.subscribe_to_shutdown());
    let (served, ()) = tokio::join!(serving, control.shut_down_on_signal());
    Ok(served?)
}
