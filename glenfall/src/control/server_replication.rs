//! Replicates the registration, draining and deregistration of servers to all control nodes, and acknowledges those
//! that peers replicate.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{CallId, PeerMessage};
use glenfall_control_plane::registry::{EntryStatus, HeartbeatOutcome, ObservedServer, ServerEntry};
use glenfall_control_plane::Millis;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::chain_driver::ChainDriver;
use super::clock::Clock;
use super::departure_log::DepartureLog;
use super::fleet_publisher::FleetPublisher;
use super::heartbeat_relay::HeartbeatRelay;
use super::peers::links::PeerLinks;
use super::peers::requests::{PeerRequests, RequestError};
use super::quorum_reads::QuorumReads;
use super::server_registry::ServerRegistry;
use crate::session::publisher::Sessions;

/// Time limit for replicating the draining or deregistration of a server to all control nodes. After that the request
/// of the server is answered with 503.
const DRAIN_REPLICATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for a status that a peer replicates, at this node and at the peers that it is forwarded to. It is shorter
/// than [`DRAIN_REPLICATION_TIMEOUT`], so that the acknowledgement reaches the peer in time.
const PEER_REPLICATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for a status that a peer has forwarded. It is shorter than [`PEER_REPLICATION_TIMEOUT`], so that the
/// acknowledgement reaches the forwarding node in time.
const FORWARDED_REPLICATION_TIMEOUT: Duration = Duration::from_millis(225);

/// Why a status was not replicated to all control nodes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicationError {
    /// A peer did not acknowledge it. The inner error lists all such peers.
    #[error(transparent)]
    Unacknowledged(#[from] RequestError),
    /// All connected peers have acknowledged it, but do not form a quorum together with this node.
    #[error("connected peers {connected:?} and this node do not form a quorum")]
    NoQuorum {
        /// The connected peers.
        connected: Vec<Ipv4Addr>,
    },
    /// It is known to all control nodes, but not on the disks of a quorum: it would be lost if all processes were killed.
    #[error("durable on {durable_on:?}, which do not form a quorum")]
    NotDurable {
        /// The nodes that have it on disk.
        durable_on: Vec<Ipv4Addr>,
    },
    /// It was replicated earlier, but a quorum read did not confirm in time that this node is still in contact with a
    /// quorum.
    #[error("quorum read not completed within the time limit")]
    QuorumReadTimedOut,
    /// The registry can't record the deregistration of a server that it does not have: it is full, or the id is invalid.
    #[error("the registry is full: the deregistration can't be recorded")]
    RegistryFull,
}

/// The parts of a control node that [`ServerReplication`] uses.
pub struct ReplicationDependencies {
    pub clock: Clock,
    /// The chain, which knows the voters and which nodes each peer is connected to.
    pub chain: Rc<ChainDriver>,
    pub links: Rc<PeerLinks>,
    pub requests: Rc<PeerRequests>,
    /// Quorum reads, which prove that this node is in contact with a quorum.
    pub quorum_reads: Rc<QuorumReads>,
    pub registry: Rc<ServerRegistry>,
    pub fleet: Rc<FleetPublisher>,
    pub sessions: Rc<Sessions>,
    /// The log of departures on the disk of this node.
    pub departure_log: DepartureLog,
}

/// The peers that have a departure on disk.
struct DurablePeers(Vec<Ipv4Addr>);

/// Replicates heartbeats, draining and deregistration of servers.
///
/// Owns the heartbeats that wait to be relayed, and the log of departures. A server's draining or deregistration is
/// acknowledged only once all connected peers, and the peers that only those reach, have acknowledged it, as this node
/// may fail right after, and once it is on the disks of a quorum, as all nodes may be killed at once. A node that has
/// contact with a quorum again then learns of it from one of these disks.
pub struct ServerReplication {
    dependencies: ReplicationDependencies,
    heartbeats: HeartbeatRelay,
}

impl ServerReplication {
    /// Starts without pending heartbeats.
    pub fn new(dependencies: ReplicationDependencies) -> Self {
        ServerReplication { dependencies, heartbeats: HeartbeatRelay::default() }
    }

    /// Records a heartbeat that a server has sent to this node.
    ///
    /// # Errors
    ///
    /// When the server is draining or deregistered and not all control nodes have acknowledged that.
    pub async fn heartbeat(&self, entry: ServerEntry) -> Result<HeartbeatOutcome, ReplicationError> {
        let ReplicationDependencies { clock, registry, links, fleet, .. } = &self.dependencies;
        let outcome = registry.observe(0, entry.clone());
        if entry.status != EntryStatus::Ready {
            // This heartbeat may arrive out of order, so that the latest known status is replicated.
            if let Some(latest) = registry.draining_or_deregistered(&entry.id) {
                self.replicate_status(&latest).await?;
                return Ok(outcome);
            }
        }
        match outcome {
            HeartbeatOutcome::Stale | HeartbeatOutcome::RegistryFull => {}
            HeartbeatOutcome::Changed => {
                links.broadcast(&PeerMessage::Servers(vec![ObservedServer::now(entry)]));
                fleet.notify_changed();
            }
            HeartbeatOutcome::Refreshed => self.heartbeats.add(clock.now(), entry),
        }
        Ok(outcome)
    }

    /// Records that a server has deregistered itself at this node.
    ///
    /// # Errors
    ///
    /// When not all control nodes have acknowledged it, or the registry can't record it.
    pub async fn deregister(&self, id: &str) -> Result<(), ReplicationError> {
        let entry = self.dependencies.registry.deregister(id).ok_or(ReplicationError::RegistryFull)?;
        self.replicate_status(&entry).await
    }

    /// Sends peers the heartbeats that were collected.
    pub fn relay_heartbeats(&self, now: Millis) {
        if let Some(message) = self.heartbeats.take(now) {
            self.dependencies.links.broadcast(&message);
        }
    }

    /// Sends a request to all connected peers, which forward it to the peers that only they reach, and waits until each
    /// has acknowledged this request. The connected peers and this node must form a quorum. A control node that none of
    /// them reaches has no contact with a quorum: it closes its sessions, or learns of the change when it reconnects.
    ///
    /// # Errors
    ///
    /// When a peer does not acknowledge the request in time, or the peers are no quorum.
    async fn replicate_to_all_peers(
        &self,
        request: impl Fn(CallId) -> PeerMessage,
        time_limit: Duration,
    ) -> Result<DurablePeers, ReplicationError> {
        let connected = self.dependencies.links.connected();
        let durable_on = self.dependencies.requests.send_to_all(&connected, request, time_limit).await?;
        if self.dependencies.chain.state().is_quorum(&connected) {
            Ok(DurablePeers(durable_on))
        } else {
            Err(ReplicationError::NoQuorum { connected })
        }
    }

    /// Queues the departure of a server, as this node knows it, for the log. `None` if the server has not departed, by a
    /// later call.
    fn log_departure(&self, id: &str) -> Option<oneshot::Receiver<()>> {
        let departed = self.dependencies.registry.draining_or_deregistered(id)?;
        Some(self.dependencies.departure_log.write(vec![departed]))
    }

    /// Waits until a departure is on disk. A server that has not departed needs no record.
    async fn wait_until_durable(written: Option<oneshot::Receiver<()>>, time_limit: Duration) -> bool {
        match written {
            Some(written) => timeout(time_limit, written).await.is_ok_and(|result| result.is_ok()),
            None => true,
        }
    }

    fn check_durable(&self, own: bool, peers: DurablePeers) -> Result<(), ReplicationError> {
        let DurablePeers(mut durable_on) = peers;
        if own && self.dependencies.chain.state().is_quorum(&durable_on) {
            return Ok(());
        }
        if own {
            durable_on.push(self.dependencies.links.local().ip);
        }
        Err(ReplicationError::NotDurable { durable_on })
    }

    /// Replicates the status of a server that is draining or deregistered to all control nodes and proxies.
    async fn replicate_status(&self, entry: &ServerEntry) -> Result<(), ReplicationError> {
        let ReplicationDependencies { registry, links, quorum_reads, fleet, sessions, .. } =
            &self.dependencies;
        if registry.is_replicated(&entry.id) {
            links.broadcast(&PeerMessage::Servers(vec![ObservedServer::now(entry.clone())]));
            // All control nodes already know the status, but only a node in contact with a quorum may acknowledge it.
            return timeout(DRAIN_REPLICATION_TIMEOUT, quorum_reads.wait_for_newest())
                .await
                .map_err(|_| ReplicationError::QuorumReadTimedOut);
        }
        fleet.publish_now();
        let written = self.log_departure(&entry.id);
        let request = |id| PeerMessage::ReplicateServer { id, entry: entry.clone(), forward: true };
        // A proxy that exceeds the time limit does not fail the replication: it receives the update as long as its
        // session lasts, and when its session ends it connects to another node.
        let (replicated, is_durable, _applied) = tokio::join!(
            self.replicate_to_all_peers(request, DRAIN_REPLICATION_TIMEOUT),
            Self::wait_until_durable(written, DRAIN_REPLICATION_TIMEOUT),
            sessions.wait_until_applied(DRAIN_REPLICATION_TIMEOUT)
        );
        let replicated = replicated.and_then(|peers| self.check_durable(is_durable, peers));
        match &replicated {
            Ok(()) => {
                let is_listed = fleet.published().servers.iter().any(|s| s.id == entry.id && s.ready);
                Invariant::DrainIsTold.check(!is_listed, || entry.id.clone());
                registry.set_replicated(entry);
            }
            Err(error) => tracing::warn!(
                server = %entry.id,
                %error,
                "server draining or deregistration not acknowledged: not replicated to all control nodes"
            ),
        }
        replicated
    }

    /// Records entries that a peer has sent, and forwards those that are new to the peers that the sender does not
    /// reach. Otherwise servers that send their heartbeats only to the sender would expire at those peers.
    pub fn entries_received(&self, from: Ipv4Addr, entries: Vec<ObservedServer>) {
        let ReplicationDependencies { registry, links, fleet, .. } = &self.dependencies;
        let forward_to = self.peers_not_reached_by(from);
        let mut new = Vec::new();
        let mut changed = false;
        for server in entries {
            if !forward_to.is_empty() && registry.is_newer(&server.entry) {
                new.push(server.clone());
            }
            let id = server.entry.id.clone();
            if registry.observe(server.age_ms, server.entry) == HeartbeatOutcome::Changed {
                changed = true;
                // The node that has it on disk may be lost later. Nobody waits for this write.
                let _ = self.log_departure(&id);
            }
        }
        if !new.is_empty() {
            for peer in forward_to {
                links.send(peer, PeerMessage::Servers(new.clone()));
            }
        }
        if changed {
            fleet.notify_changed();
        }
    }

    /// Records a status that a peer replicates, and acknowledges it once all sessions at this node have applied it and it
    /// is on the disk of this node, or the time limit has passed. The acknowledgement is complete if it is on disk. With
    /// `forward`, the peers that this node reaches and the sender does not must also have acknowledged it.
    pub fn replicate_for_peer(
        self: &Rc<Self>,
        from: Ipv4Addr,
        id: CallId,
        entry: ServerEntry,
        forward: bool,
    ) {
        let ReplicationDependencies { registry, fleet, .. } = &self.dependencies;
        if registry.observe(0, entry.clone()) == HeartbeatOutcome::Changed {
            fleet.publish_now();
        }
        let written = self.log_departure(&entry.id);
        // Selected by the connections of the sender at the time of its request: it notifies peers that connect to it
        // later.
        let forward_to = if forward { self.peers_not_reached_by(from) } else { Vec::new() };
        let time_limit = if forward { PEER_REPLICATION_TIMEOUT } else { FORWARDED_REPLICATION_TIMEOUT };
        let replication = Rc::clone(self);
        spawn_local(async move {
            let ReplicationDependencies { links, sessions, .. } = &replication.dependencies;
            let (_applied, is_durable, forwarded) = tokio::join!(
                sessions.wait_until_applied(time_limit),
                Self::wait_until_durable(written, time_limit),
                replication.forward(&forward_to, &entry)
            );
            if forwarded.is_ok() {
                links.send(from, PeerMessage::Acknowledged { id, complete: is_durable });
            }
        });
    }

    async fn forward(&self, peers: &[Ipv4Addr], entry: &ServerEntry) -> Result<(), RequestError> {
        if peers.is_empty() {
            return Ok(());
        }
        let request = |id| PeerMessage::ReplicateServer { id, entry: entry.clone(), forward: false };
        self.dependencies.requests.send_to_all(peers, request, PEER_REPLICATION_TIMEOUT).await.map(drop)
    }

    /// The peers that are connected to this node but not to `node`, according to the last heartbeat of `node`.
    fn peers_not_reached_by(&self, node: Ipv4Addr) -> Vec<Ipv4Addr> {
        let chain = self.dependencies.chain.state();
        let reached = chain.connected_peers_of(node);
        let mut peers = self.dependencies.links.connected();
        peers.retain(|peer| *peer != node && !reached.contains(peer));
        peers
    }
}
