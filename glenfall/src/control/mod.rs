//! A control node: a replica of the chain, the registry of servers, and the sessions to which it publishes both.
//!
//! Each module owns the state listed here, and no other module can change it. `node` holds one instance of each and
//! connects them; a module uses only the modules above it in this table.
//!
//! | module | owns |
//! | --- | --- |
//! | `clock` | the start time of the process, to which all clock readings are relative |
//! | `store`, `backup` | the hard state of the chain: on disk, and as a backup file for operators |
//! | `disk_log` | the database of a log on disk, and the queue of writes to it |
//! | `purge_log`, `departure_log` | the logs of recent purges and of departed servers on disk |
//! | `peers` | links to other control nodes, requests to them, and the members whose sessions are at them |
//! | `chain_driver` | the chain, the queue of its writes, and the calls that wait for an outcome |
//! | `quorum_contact` | the last contact with a quorum, and whether this node is isolated |
//! | `quorum_reads` | the callers that wait for a quorum read |
//! | `voter_leases` | leases that this node holds and has granted, and the sets of voters that they depend on |
//! | `purge_log_completeness` | which peers have sent their purge history, and whether that of this node is complete |
//! | `purge_durability` | which nodes have each pending purge on disk |
//! | `purge_coordinator` | the purge history and the numbers of purges |
//! | `server_registry` | the servers that this node knows |
//! | `fleet_publisher` | the fleet as published to sessions |
//! | `local_members` | the members whose sessions are at this node, as reported to peers |
//! | `heartbeat_relay` | heartbeats that wait to be sent to peers |
//! | `server_replication` | the heartbeat relay; replicates draining and deregistration to all control nodes |
//! | `node` | one instance of each of these, and whether the node is shutting down |
//! | `peer_events` | no state; dispatches messages of peers to the modules |
//! | `session_publisher` | no state; provides the initial state for sessions |
//! | `inbound` | no state; accepts connections of sessions and peers |
//! | `api` | the HTTP interface for servers and operators, and the limit on log lines about rejected requests |

pub mod api;
pub mod backup;
mod chain_driver;
mod clock;
pub mod departure_log;
pub mod disk_log;
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
use crate::session::publisher::SubscriberLocation;
use crate::settings::Settings;
use node::Control;

/// File descriptors reserved for sessions, peers and files. All others are for HTTP connections: servers keep their
/// connections open between heartbeats, and with too low a limit each heartbeat would open a new one.
const RESERVED_DESCRIPTORS: usize = 1500;
/// Lower bound of the limit on HTTP connections, however few descriptors the settings allow.
const MIN_HTTP_CONNECTIONS: usize = 256;
/// Limit on the total bytes of request bodies that are being received. Several documents of the largest accepted size
/// fit.
const MAX_BODY_BYTES_IN_FLIGHT: usize = 32 << 20;
/// How long new requests are accepted after the termination signal, while the chain replaces this node.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(600);

/// Runs a control node until it receives the termination signal.
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
    spawn_local(inbound::accept(Rc::clone(&control), network_listener, SubscriberLocation::Network));
    spawn_local(inbound::accept(Rc::clone(&control), local_listener, SubscriberLocation::SameMachine));
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
