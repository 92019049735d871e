//! Connections between control nodes. Each node opens a connection to every other node and sends on that connection
//! only. A peer counts as connected while the connections in both directions are open.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::messages::{ConnectionOpening, PeerMessage};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::links::{InboundId, PeerLinks};
use crate::session::link::{self, FrameReader, Outbox, KEEPALIVE_INTERVAL};
use crate::settings::Settings;

/// Initial pause before a failed or closed connection is reopened. It doubles with each failure.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(30);
/// Upper limit of the pause between two attempts to open a connection.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(800);

/// Handler of events on the links to peers.
pub trait PeerEvents: 'static {
    /// Both connections to a peer are open.
    fn peer_connected(&self, peer: Ipv4Addr);
    /// One of the connections to a connected peer has closed. Messages that were sent on it may be lost.
    fn peer_disconnected(&self, peer: Ipv4Addr);
    /// A message of a peer has arrived on its current connection.
    fn message_received(&self, peer: Ipv4Addr, message: PeerMessage);
}

/// Opens, accepts and reads the connections to peers.
///
/// The state of the links is in [`PeerLinks`]. This type owns only the signal that makes waiting tasks reconnect at
/// once.
pub struct PeerConnections {
    settings: Rc<Settings>,
    links: Rc<PeerLinks>,
    /// Signals that a peer has opened a connection and so is reachable: tasks that wait for their backoff retry at
    /// once.
    peer_available: Notify,
}

impl PeerConnections {
    /// Opens no connection yet. The state of connections is recorded in `links`.
    pub fn new(settings: Rc<Settings>, links: Rc<PeerLinks>) -> Self {
        PeerConnections { settings, links, peer_available: Notify::new() }
    }

    /// Opens connections to those of `nodes` that are not known yet, and reopens them for as long as the process runs.
    pub fn connect_to(self: &Rc<Self>, nodes: &[Ipv4Addr], events: &Rc<impl PeerEvents>) {
        for node in nodes {
            if self.links.add(*node) {
                spawn_local(Rc::clone(self).keep_outbound_open(*node, Rc::clone(events)));
            }
        }
    }

    async fn keep_outbound_open(self: Rc<Self>, peer: Ipv4Addr, events: Rc<impl PeerEvents>) {
        let mut backoff = RECONNECT_BACKOFF;
        loop {
            if let Ok((read, write)) =
                link::open(self.settings.link_address(peer), &self.opening_message()).await
            {
                backoff = RECONNECT_BACKOFF;
                self.run_outbound(peer, FrameReader::new(read), Outbox::start(write), &*events).await;
            } else {
                backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF);
            }
            tokio::select! {
                () = sleep(backoff) => {}
                () = self.peer_available.notified() => {}
            }
        }
    }

    fn opening_message(&self) -> ConnectionOpening {
        let local = self.links.local();
        ConnectionOpening::Peer {
            ip: local.ip,
            incarnation: local.incarnation,
            known_peers: self.links.control_nodes(),
        }
    }

    /// Sends on a connection that this node has opened, until the connection closes.
    async fn run_outbound(
        &self,
        peer: Ipv4Addr,
        mut frames: FrameReader,
        outbox: Outbox<PeerMessage>,
        events: &impl PeerEvents,
    ) {
        self.links.outbound_opened(peer, outbox.clone());
        self.report_if_connected(peer, events);
        // The peer sends only keepalives on this connection.
        let keepalives = async { while frames.next_or_timeout::<PeerMessage>().await.is_ok() {} };
        tokio::select! {
            () = keepalives => {}
            () = outbox.closed() => {}
        }
        if self.links.outbound_closed(peer) {
            report_disconnected(peer, events);
        }
    }

    /// Receives on a connection that a peer has opened, until it closes or the peer opens another one.
    pub async fn run_inbound(
        &self,
        peer: Ipv4Addr,
        incarnation: u64,
        mut frames: FrameReader,
        outbox: &Outbox<PeerMessage>,
        events: &impl PeerEvents,
    ) {
        let Some(opened) = self.links.inbound_opened(peer, incarnation) else { return };
        if opened.disconnected {
            report_disconnected(peer, events);
        }
        tracing::debug!(%peer, incarnation, "peer opened a connection");
        self.peer_available.notify_waiters();
        self.report_if_connected(peer, events);
        tokio::select! {
            () = self.receive(peer, opened.connection, &mut frames, events) => {}
            () = send_keepalives(outbox) => {}
        }
        if self.links.inbound_closed(peer, opened.connection) {
            report_disconnected(peer, events);
        }
    }

    async fn receive(
        &self,
        peer: Ipv4Addr,
        connection: InboundId,
        frames: &mut FrameReader,
        events: &impl PeerEvents,
    ) {
        while let Ok(message) = frames.next_or_timeout().await {
            if !self.links.is_current_inbound(peer, connection) {
                return;
            }
            events.message_received(peer, message);
        }
    }

    fn report_if_connected(&self, peer: Ipv4Addr, events: &impl PeerEvents) {
        if self.links.mark_connected(peer) {
            tracing::info!(%peer, "peer connected");
            events.peer_connected(peer);
        }
    }
}

fn report_disconnected(peer: Ipv4Addr, events: &impl PeerEvents) {
    tracing::warn!(%peer, "peer disconnected");
    events.peer_disconnected(peer);
}

async fn send_keepalives(outbox: &Outbox<PeerMessage>) {
    while outbox.send(PeerMessage::KeepAlive) {
        sleep(KEEPALIVE_INTERVAL).await;
    }
}
