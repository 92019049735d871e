//! Accepts connections until the process stops, and then waits until the open connections are drained.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::http_server::body_memory::BodyMemory;
use crate::http_server::connection::ClientConnection;
use crate::http_server::connection_limit::{ConnectionLimit, ConnectionSlot};
use crate::http_server::handler::Handler;
use crate::http_server::shutdown::stop_requested;

/// The pause after a failed accept, which usually means that no file descriptor is left.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// The address of a server and its limits.
pub struct ServerConfig {
    /// The address to listen on.
    pub listen: SocketAddrV4,
    /// Maximum number of open connections. At the limit, a new connection evicts the one that has been idle longest.
    pub max_connections: usize,
    /// Maximum bytes of request bodies in memory, over all connections.
    pub max_body_bytes: usize,
    /// How long after the stop signal connections are still accepted, as load balancers and edges are notified of the
    /// shutdown with a delay.
    pub drain_accept_time: Duration,
    /// How long after the stop signal the server waits for open connections, including `drain_accept_time`.
    pub shutdown_timeout: Duration,
}

/// Binds the listening socket, and serves until the process stops and the open connections are drained. Fails if the
/// socket can't be bound.
pub async fn serve<H: Handler>(
    config: ServerConfig,
    handler: Rc<H>,
    stopping: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    serve_at(listener, config, handler, stopping).await;
    Ok(())
}

/// Like [`serve`], on a listener that is already bound.
pub async fn serve_at<H: Handler>(
    listener: TcpListener,
    config: ServerConfig,
    handler: Rc<H>,
    stopping: watch::Receiver<bool>,
) {
    // Accepted sockets inherit this option, which saves a system call for each. A failure is ignored: responses are then
    // slower, but correct.
    let _ = SockRef::from(&listener).set_tcp_nodelay(true);
    let limit = Rc::new(ConnectionLimit::new(config.max_connections));
    let body_memory = Rc::new(BodyMemory::new(config.max_body_bytes));
    tokio::select! {
        () = accept_connections(&listener, &handler, &limit, &body_memory, &stopping) => {}
        () = async {
            stop_requested(stopping.clone()).await;
            sleep(config.drain_accept_time).await;
        } => {}
    }
    drop(listener);
    let drain_time = config.shutdown_timeout.saturating_sub(config.drain_accept_time);
    if timeout(drain_time, limit.all_closed()).await.is_err() {
        tracing::warn!(
            open_connections = limit.open(),
            listen = %config.listen,
            "connections abandoned: shutdown grace period ended"
        );
    }
}

async fn accept_connections<H: Handler>(
    listener: &TcpListener,
    handler: &Rc<H>,
    limit: &Rc<ConnectionLimit>,
    body_memory: &Rc<BodyMemory>,
    stopping: &watch::Receiver<bool>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_ERROR_BACKOFF).await;
            continue;
        };
        limit.capacity_available().await;
        let slot = ConnectionSlot::claim(limit);
        let connection = ClientConnection::new(Rc::clone(handler), slot, Rc::clone(body_memory));
        spawn_local(connection.serve(stream, stopping.clone()));
    }
}
