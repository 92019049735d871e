//! Opens a link: connects with parallel attempts and sends the first message.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Serialize;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::frames::encode;
use super::liveness::LINK_TIMEOUT;

/// Time between parallel connection attempts, longer than a round trip within a region. The kernel retransmits an
/// unanswered SYN only after one second.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for establishing a connection, over all attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Configures the socket of a link. Both ends send keepalives, so that a link on which nothing is received for
/// [`LINK_TIMEOUT`] is lost. If sent data is not acknowledged for as long, the kernel closes the connection, which also
/// drops the data in its send buffer.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(LINK_TIMEOUT))
}

/// Opens a link and sends its first message, which states its purpose.
pub async fn open(addr: SocketAddrV4, first: &impl Serialize) -> io::Result<(OwnedReadHalf, OwnedWriteHalf)> {
    let stream = timeout(CONNECT_TIMEOUT, connect(addr)).await??;
    configure_socket(&stream)?;
    let (read, mut write) = stream.into_split();
    let mut buffer = Vec::new();
    encode(first, &mut buffer)?;
    write.write_all(&buffer).await?;
    Ok((read, write))
}

/// Connects with up to four attempts, begun [`CONNECT_RETRY_INTERVAL`] apart. The first that succeeds or fails decides.
async fn connect(addr: SocketAddrV4) -> io::Result<TcpStream> {
    tokio::select! {
        connected = TcpStream::connect(addr) => connected,
        connected = connect_after(CONNECT_RETRY_INTERVAL, addr) => connected,
        connected = connect_after(2 * CONNECT_RETRY_INTERVAL, addr) => connected,
        connected = connect_after(3 * CONNECT_RETRY_INTERVAL, addr) => connected,
    }
}

async fn connect_after(delay: Duration, addr: SocketAddrV4) -> io::Result<TcpStream> {
    sleep(delay).await;
    TcpStream::connect(addr).await
}
