//! TCP relays, which forward bytes between the two ends of a connection and apply the injected network faults.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::partitions::{MachineDirection, Partitions};
use super::server_faults::ServerNetwork;
use super::socket_owner::machine_of_caller;

/// Name for all callers outside the machines of the system: clients, servers and operators.
const OUTSIDE_CALLER: &str = "outside";
/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Pause before a listener accepts again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// The network between the two ends of a connection.
#[derive(Clone)]
enum NetworkPath {
    Machines { partitions: Rc<Partitions>, to_callee: Rc<MachineDirection>, to_caller: Rc<MachineDirection> },
    Server(ServerNetwork),
}

impl NetworkPath {
    fn between(partitions: Rc<Partitions>, caller: &str, callee: &str) -> NetworkPath {
        let direction =
            |from: &str, to: &str| Rc::new(MachineDirection { from: from.to_owned(), to: to.to_owned() });
        NetworkPath::Machines {
            partitions,
            to_callee: direction(caller, callee),
            to_caller: direction(callee, caller),
        }
    }

    /// Waits until data from the caller can be delivered. Returns false if the connection is to be reset instead.
    async fn delivered_to_callee(&self) -> bool {
        match self {
            NetworkPath::Machines { partitions, to_callee, .. } => partitions.delivered(to_callee).await,
            NetworkPath::Server(network) => network.request_delivered().await,
        }
    }

    /// Waits until data from the callee can be delivered. Returns false if the connection is to be reset instead.
    async fn delivered_to_caller(&self) -> bool {
        match self {
            NetworkPath::Machines { partitions, to_caller, .. } => partitions.delivered(to_caller).await,
            NetworkPath::Server(network) => network.response_delivered().await,
        }
    }
}

/// Forwards connections made to `announced` to `target`, a process of the machine `callee`.
///
/// # Errors
///
/// Returns an error if `announced` can't be bound.
pub async fn relay_to_machine(
    partitions: Rc<Partitions>,
    announced: SocketAddrV4,
    target: SocketAddrV4,
    callee: &str,
) -> io::Result<()> {
    let listener = TcpListener::bind(announced).await?;
    let callee = callee.to_owned();
    spawn_local(async move {
        loop {
            let Ok((stream, caller_address)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            let caller = caller_of(&partitions, caller_address, announced);
            let path = NetworkPath::between(Rc::clone(&partitions), &caller, &callee);
            spawn_local(relay_connection(stream, target, path));
        }
    });
    Ok(())
}

fn caller_of(partitions: &Partitions, caller: SocketAddr, announced: SocketAddrV4) -> String {
    let SocketAddr::V4(caller) = caller else { return OUTSIDE_CALLER.to_owned() };
    partitions.with_processes(|processes| {
        machine_of_caller(caller, announced, processes).unwrap_or(OUTSIDE_CALLER).to_owned()
    })
}

/// Forwards connections accepted by a listener to a server.
pub fn relay_to_server(listener: TcpListener, target: SocketAddrV4, network: ServerNetwork) {
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let path = NetworkPath::Server(network.clone());
                    spawn_local(relay_connection(stream, target, path));
                }
                Err(_) => sleep(ACCEPT_RETRY_PAUSE).await,
            }
        }
    });
}

async fn relay_connection(stream: TcpStream, target: SocketAddrV4, path: NetworkPath) {
    // Resets the connection when it is dropped: an orderly close would signal that all data was sent.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    if !path.delivered_to_callee().await {
        return;
    }
    let Ok(callee) = TcpStream::connect(target).await else { return };
    let _ = (stream.set_nodelay(true), callee.set_nodelay(true));
    let (from_caller, to_caller) = stream.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let requests = forward_bytes(from_caller, to_callee, || path.delivered_to_callee());
    let responses = forward_bytes(from_callee, to_caller, || path.delivered_to_caller());
    tokio::pin!(requests, responses);
    tokio::select! {
        closed_in_order = &mut requests => if closed_in_order {
            // The caller has closed its sending side only, and may still receive.
            responses.await;
        },
        closed_in_order = &mut responses => if closed_in_order {
            requests.await;
        },
    }
}

/// Forwards bytes until the sender closes the connection or it fails. Returns true after an orderly close.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delivered: impl AsyncFn() -> bool,
) -> bool {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut chunk).await else { return false };
        if !delivered().await {
            return false;
        }
        if length == 0 {
            return to.shutdown().await.is_ok();
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return false;
        }
    }
}
