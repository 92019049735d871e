//! Keeps a session with one of the control nodes.

use std::net::SocketAddrV4;
use std::time::Duration;

use glenfall_control_plane::messages::{ConnectionOpening, SubscriberMessage};
use tokio::time::sleep;

use super::relay::Relay;
use crate::session::link::{self, FrameReader, Outbox};
use crate::session::subscriber;
use crate::settings::Settings;

/// Initial pause before the control nodes are tried again. It doubles each time that none of them can be reached.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the pause before the control nodes are tried again.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(800);

struct ControlConnection {
    addr: SocketAddrV4,
    frames: FrameReader,
    outbox: Outbox<SubscriberMessage>,
}

/// The agent's session with control. When it is lost, the next one is opened with another node.
pub(super) struct ControlLink<'a> {
    relay: &'a Relay,
    /// Index of the next control node to try, modulo the number of nodes. It starts with a number derived from the
    /// machine's name, so that agents begin at different nodes.
    next_node: usize,
}

impl<'a> ControlLink<'a> {
    pub(super) fn new(relay: &'a Relay) -> Self {
        let name_sum = relay.settings().node.bytes().map(usize::from).sum();
        ControlLink { relay, next_node: name_sum }
    }

    /// Runs sessions with control for as long as the process runs.
    pub(super) async fn run(&mut self) {
        let mut backoff = RECONNECT_BACKOFF;
        loop {
            match self.connect().await {
                Some(connection) => {
                    self.run_session(connection).await;
                    backoff = RECONNECT_BACKOFF;
                }
                None => backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF),
            }
            sleep(backoff).await;
        }
    }

    /// Connects to the first node that can be reached; `None` if there is none. The next call begins with the node after
    /// that one.
    async fn connect(&mut self) -> Option<ControlConnection> {
        let addrs = self.control_addrs();
        for step in 0..addrs.len() {
            let addr = addrs[(self.next_node + step) % addrs.len()];
            if let Ok((read, write)) = link::open(addr, &ConnectionOpening::Session).await {
                self.next_node += step + 1;
                let (frames, outbox) = (FrameReader::new(read), Outbox::start(write));
                return Some(ControlConnection { addr, frames, outbox });
            }
        }
        None
    }

    /// The nodes that control has announced, then the seeds in the settings file, which is read again for each call.
    fn control_addrs(&self) -> Vec<SocketAddrV4> {
        let settings = self.relay.settings();
        let reloaded = Settings::load();
        let seeds = reloaded.as_ref().map_or(&settings.seed_nodes, |reloaded| &reloaded.seed_nodes);
        let known = self.relay.known().borrow();
        let seed_ips = seeds.iter().map(|seed| *seed.ip());
        let mut addrs: Vec<SocketAddrV4> = Vec::new();
        for ip in known.control_nodes().iter().copied().chain(seed_ips) {
            let addr = settings.link_address(ip);
            if !addrs.contains(&addr) {
                addrs.push(addr);
            }
        }
        addrs
    }

    /// Runs a session until it is lost, and ends the leases that depend on it.
    async fn run_session(&self, connection: ControlConnection) {
        let ControlConnection { addr, frames, outbox } = connection;
        let relay = self.relay;
        tracing::info!(control = %addr, "connected to control");
        tokio::select! {
            () = subscriber::run_session(
                frames,
                outbox.clone(),
                || relay.hello(),
                || relay.now(),
                relay.members_changed(),
                async |message| relay.handle(message).await,
            ) => {}
            () = subscriber::send_counters(&outbox, || relay.counters()) => {}
        }
        tracing::warn!(control = %addr, "connection to control lost");
        if relay.release_leases().await {
            // If the control node can no longer be reached, it waits for the end of the lease instead.
            let _ = outbox.send(SubscriberMessage::LeaseReleased);
        }
    }
}
