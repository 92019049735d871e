//! Accepts connections to a control node: sessions of agents and shields, and connections of peers.

use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::messages::ConnectionOpening;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::node::{Control, TICK_INTERVAL};
use super::session_publisher::SessionPublisher;
use crate::session::link::{self, FrameReader, Outbox};
use crate::session::publisher::{SubscriberConnection, SubscriberLocation};

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = TICK_INTERVAL;

/// Accepts connections for as long as the process runs. `location` is where the subscribers of this listener are.
pub async fn accept(control: Rc<Control>, listener: TcpListener, location: SubscriberLocation) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(Rc::clone(&control), stream, location));
            }
            Err(_) => sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve(control: Rc<Control>, stream: TcpStream, location: SubscriberLocation) {
    if link::configure_socket(&stream).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let mut frames = FrameReader::new(read);
    match frames.next_or_timeout().await {
        Ok(ConnectionOpening::Session) => serve_session(&control, frames, write, location).await,
        Ok(ConnectionOpening::Peer { ip, incarnation, known_peers }) => {
            control.connect_to(&known_peers);
            control.connect_to(&[ip]);
            let outbox = Outbox::start(write);
            control.peers.connections.run_inbound(ip, incarnation, frames, &outbox, &*control).await;
        }
        Err(_) => {}
    }
}

/// Serves a session until it ends or, if it is over the network, until this node is isolated. The session of the shield
/// on the same machine stays open, as the shield has no other control node to connect to.
async fn serve_session(
    control: &Control,
    frames: FrameReader,
    write: OwnedWriteHalf,
    location: SubscriberLocation,
) {
    let is_local = location == SubscriberLocation::SameMachine;
    if control.is_shutting_down() || !is_local && control.quorum.update() {
        return;
    }
    let connection = SubscriberConnection { location, frames, outbox: Outbox::start(write) };
    let publisher = SessionPublisher::new(control, location);
    let serving = control.sessions.serve(connection, &publisher);
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
