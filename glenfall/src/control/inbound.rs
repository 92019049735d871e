//! Connections to a control node: sessions of agents and shields, and links of peers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_control_plane::messages::{ConnectionOpening, PublisherMessage, Update};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::chain_driver::config_update;
use super::node::{Control, TICK_INTERVAL};
use crate::session::link::{self, FrameReader, Outbox};
use crate::session::publisher::Reach;

/// How long an agent waits until the configuration for it is proved to be the newest. The first view after the loss of all
/// control nodes takes 0.2 to 0.7 s, and the replacement of a node in the chain 1.2 s. An agent that waits longer had better
/// try another node.
const SESSION_OPENING_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = TICK_INTERVAL;

/// Accepts connections for as long as the process runs. `reach` tells where their other ends are.
pub async fn accept(control: Rc<Control>, listener: TcpListener, reach: Reach) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(Rc::clone(&control), stream, reach));
            }
            Err(_) => sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve(control: Rc<Control>, stream: TcpStream, reach: Reach) {
    if link::tune(&stream).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let mut frames = FrameReader::new(read);
    match frames.next_in_time().await {
        Ok(ConnectionOpening::Session) => serve_session(&control, frames, write, reach).await,
        Ok(ConnectionOpening::Peer { ip, incarnation, known_peers }) => {
            control.connect_to(&known_peers);
            control.connect_to(&[ip]);
            let outbox = Outbox::start(write);
            control.peers.connections.run_inbound(ip, incarnation, frames, &outbox, &*control).await;
        }
        Err(_) => {}
    }
}

/// Serves a session until it ends or, for a session over the network, this node is isolated. The shield on the same
/// machine knows no other control node, and its session stays open.
async fn serve_session(control: &Control, frames: FrameReader, write: OwnedWriteHalf, reach: Reach) {
    let is_local = reach == Reach::SameMachine;
    if control.is_shutting_down() || !is_local && control.quorum.update() {
        return;
    }
    let serving = control.sessions.serve(
        reach,
        frames,
        Outbox::start(write),
        || greeting(control),
        newest_config(control, reach),
        || control.local_members.update(),
    );
    let isolated = async {
        control.quorum.isolated().await;
        if is_local {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = serving => {}
        () = isolated => tracing::warn!("session closed: this node is not in contact with a quorum"),
    }
}

/// What a session is sent first.
fn greeting(control: &Control) -> (Vec<PublisherMessage>, Vec<Update>) {
    let updates = vec![
        Update::Purges(control.purges.missed()),
        control.fleet.snapshot(),
        Update::Connected(control.purge_log_completeness.is_complete()),
    ];
    (vec![PublisherMessage::ControlNodes(control.peers.links.control_nodes())], updates)
}

/// The newest configuration, if there is one, proved by a quorum read that begins after the session has. `None` if that
/// takes too long for an agent, which can turn to another node.
async fn newest_config(control: &Control, reach: Reach) -> Option<Vec<Update>> {
    let limit = if reach == Reach::SameMachine { Duration::MAX } else { SESSION_OPENING_TIMEOUT };
    timeout(limit, control.quorum_reads.wait_for_newest()).await.ok()?;
    let record = Arc::clone(control.chain.state().committed());
    Some((record.rev > 0).then(|| config_update(&record)).into_iter().collect())
}
