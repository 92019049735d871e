//! Opens links.

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

/// The kernel repeats a SYN that gets no answer only after a second. A second connection attempt goes out after this pause,
/// which is longer than a round trip within a region.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// A connection that is not established by then is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Configures the socket of a link. Both ends send all the time, and a pause tells that the other end is lost. Where what
/// is sent does not arrive either, the kernel gives the connection up after the same time, so that the data in its send
/// buffer is dropped as well.
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

/// Connects, with another attempt behind each that gets no answer soon. The first that ends decides.
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
