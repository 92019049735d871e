//! Accepts the proxy on this machine and serves its session.

use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::messages::ConnectionOpening;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::relay::Relay;
use crate::session::link::{self, FrameReader, Outbox};
use crate::session::publisher::{SubscriberConnection, SubscriberLocation};

/// Pause after accepting a connection has failed. The usual reason is that no file descriptor is left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(relay: &Rc<Relay>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(Rc::clone(relay), stream));
            }
            Err(_) => sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve(relay: Rc<Relay>, stream: TcpStream) {
    if link::configure_socket(&stream).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let mut frames = FrameReader::new(read);
    if !matches!(frames.next_or_timeout().await, Ok(ConnectionOpening::Session)) {
        return;
    }
    let outbox = Outbox::start(write);
    relay.serve(SubscriberConnection { location: SubscriberLocation::SameMachine, frames, outbox }).await;
}
