//! TCP relays, which pass bytes between the two ends of a connection as long as the network between them lets them.

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

/// The name of all callers that are no machine of the system: clients, servers and operators.
const OUTSIDE_CALLER: &str = "outside";
/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;
/// How long a listener pauses when no file descriptor is left for a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// What is between the two ends of a connection.
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

    /// Waits until what the caller sends passes; false where the connection breaks.
    async fn passes_to_callee(&self) -> bool {
        match self {
            NetworkPath::Machines { partitions, to_callee, .. } => partitions.arrives(to_callee).await,
            NetworkPath::Server(network) => network.passes_request().await,
        }
    }

    /// Waits until what the callee sends passes; false where the connection breaks.
    async fn passes_to_caller(&self) -> bool {
        match self {
            NetworkPath::Machines { partitions, to_caller, .. } => partitions.arrives(to_caller).await,
            NetworkPath::Server(network) => network.passes_response().await,
        }
    }
}

/// Relays connections to `announced` to `target`, a process of the machine `callee`.
///
/// # Errors
///
/// Returns an error where `announced` can't be bound.
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

/// Relays connections to a listener to a server.
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
    // A dropped connection is reset: an orderly close would mean that everything was sent.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    if !path.passes_to_callee().await {
        return;
    }
    let Ok(callee) = TcpStream::connect(target).await else { return };
    let _ = (stream.set_nodelay(true), callee.set_nodelay(true));
    let (from_caller, to_caller) = stream.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let requests = pass_bytes(from_caller, to_callee, || path.passes_to_callee());
    let responses = pass_bytes(from_callee, to_caller, || path.passes_to_caller());
    tokio::pin!(requests, responses);
    tokio::select! {
        closed_in_order = &mut requests => if closed_in_order {
            // The caller sends nothing more, and may still receive.
            responses.await;
        },
        closed_in_order = &mut responses => if closed_in_order {
            requests.await;
        },
    }
}

/// Passes bytes until one side ends; true where it closed the connection in order.
async fn pass_bytes(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, passes: impl AsyncFn() -> bool) -> bool {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut chunk).await else { return false };
        if !passes().await {
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
