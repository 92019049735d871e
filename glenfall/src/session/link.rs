//! Held connections between the system's processes: `postcard` in frames with a length in front.

use std::io;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use glenfall_control_plane::invariant;
use glenfall_control_plane::messages::MAX_FRAME_BYTES;
use serde::de::DeserializeOwned;
use serde::Serialize;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Silence on a link after which the other side is taken for lost, and how often something is said. A dark
/// machine answers nothing, not even a reset.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often something is said on a link, so that it does not count as lost.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Frames that may wait to be written; a reader that is further behind than this is cut off, and catches up
/// on a new link.
const WAITING: usize = 1024;
/// An opening packet that meets a dark machine is sent again only after a second: another one goes out after this
/// pause, which is longer than a way there and back within a region.
const PACKET: Duration = Duration::from_millis(50);
/// A connection not up by then is given up.
const CONNECT: Duration = Duration::from_millis(250);

/// What this process has said and heard on held connections since its start. Whoever writes and reads them is one
/// thread; the figures are for people.
static SAID: Traffic = Traffic::new();
static HEARD: Traffic = Traffic::new();

struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    const fn new() -> Self {
        Traffic { messages: AtomicU64::new(0), bytes: AtomicU64::new(0) }
    }

    fn add(&self, messages: u64, bytes: usize) {
        self.messages.fetch_add(messages, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// What this process has said and heard on held connections since its start.
pub fn traffic() -> [(&'static str, u64); 4] {
    [
        ("messages_said", &SAID.messages),
        ("message_bytes_said", &SAID.bytes),
        ("messages_heard", &HEARD.messages),
        ("message_bytes_heard", &HEARD.bytes),
    ]
    .map(|(name, count)| (name, count.load(Ordering::Relaxed)))
}

/// Counters of this process for `status`, with a word in front of each name: its traffic, and the invariants broken in it.
pub fn report(before: &str) -> Vec<(String, u64)> {
    let traffic = traffic().into_iter().map(|(name, count)| (name.to_owned(), count));
    traffic.chain(invariant::report()).map(|(name, count)| (format!("{before}{name}"), count)).collect()
}

fn invalid(what: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// Settings of all held connections. Both ends say something all the time, and silence tells that the other side is
/// lost. Where what is said does not arrive either, the kernel gives the connection up after the same time, so that
/// what waits in it goes with it.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(LINK_TIMEOUT))
}

/// Connects, with another opening packet behind each that is not answered soon.
async fn connect(addr: SocketAddrV4) -> io::Result<TcpStream> {
    let after = async |pauses: u32| {
        sleep(PACKET * pauses).await;
        TcpStream::connect(addr).await
    };
    tokio::select! {
        connected = TcpStream::connect(addr) => connected,
        connected = after(1) => connected,
        connected = after(2) => connected,
        connected = after(3) => connected,
    }
}

/// Opens a held connection and says what it is for.
pub async fn open(addr: SocketAddrV4, first: &impl Serialize) -> io::Result<(OwnedReadHalf, OwnedWriteHalf)> {
    let stream = timeout(CONNECT, connect(addr)).await??;
    tune(&stream)?;
    let (read, mut write) = stream.into_split();
    let mut buffer = Vec::new();
    encode(first, &mut buffer)?;
    write.write_all(&buffer).await?;
    Ok((read, write))
}

fn encode(message: &impl Serialize, buffer: &mut Vec<u8>) -> io::Result<()> {
    let at = buffer.len();
    buffer.extend_from_slice(&[0; 4]);
    let taken = std::mem::take(buffer);
    *buffer = postcard::to_extend(message, taken).map_err(invalid)?;
    let length = buffer.len() - at - 4;
    if length > MAX_FRAME_BYTES {
        return Err(invalid("frame too long"));
    }
    buffer[at..at + 4].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(())
}

/// Reads frames. Cancelling a read loses nothing.
pub struct FrameReader {
    read: OwnedReadHalf,
    buffer: BytesMut,
    /// When something last came.
    heard: Instant,
}

impl FrameReader {
    /// The reading side of a link.
    pub fn new(read: OwnedReadHalf) -> Self {
        FrameReader { read, buffer: BytesMut::new(), heard: Instant::now() }
    }

    /// The next message; an error where the other side is gone or says nothing that can be read.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        loop {
            if let Some(length) = self.buffer.first_chunk::<4>() {
                let length = u32::from_le_bytes(*length) as usize;
                if length > MAX_FRAME_BYTES {
                    return Err(invalid("frame too long"));
                }
                if self.buffer.len() >= 4 + length {
                    self.buffer.advance(4);
                    let frame = self.buffer.split_to(length);
                    HEARD.add(1, 4 + length);
                    return postcard::from_bytes(&frame).map_err(invalid);
                }
            }
            if self.read.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.heard = Instant::now();
        }
    }

    /// The same, where silence means that the other side is lost. It counts from what came last, however
    /// often the wait is begun anew.
    pub async fn next_in_time<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        timeout_at(self.heard + LINK_TIMEOUT, self.next()).await?
    }
}

/// The sending side of a link, for any number of senders. Dropping all of them closes it.
pub struct Outbox<T>(mpsc::Sender<T>);

impl<T> Clone for Outbox<T> {
    fn clone(&self) -> Self {
        Outbox(self.0.clone())
    }
}

impl<T: Serialize + 'static> Outbox<T> {
    /// The sending side of a link.
    pub fn start(write: OwnedWriteHalf) -> Self {
        let (sender, waiting) = mpsc::channel(WAITING);
        spawn_local(send_all(write, waiting));
        Outbox(sender)
    }

    /// Queues a message. False where the link is lost or too far behind: the caller lets go of it.
    #[must_use]
    pub fn send(&self, message: T) -> bool {
        self.0.try_send(message).is_ok()
    }

    /// Ends once the link can take no more messages.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

async fn send_all<T: Serialize>(mut write: OwnedWriteHalf, mut waiting: mpsc::Receiver<T>) {
    let mut buffer = Vec::new();
    while let Some(message) = waiting.recv().await {
        buffer.clear();
        if encode(&message, &mut buffer).is_err() {
            return;
        }
        let mut messages = 1;
        while buffer.len() < 64 << 10 {
            let Ok(message) = waiting.try_recv() else { break };
            if encode(&message, &mut buffer).is_err() {
                return;
            }
            messages += 1;
        }
        SAID.add(messages, buffer.len());
        // The other side reads what it is sent within this time, or it is lost.
        if !matches!(timeout(LINK_TIMEOUT, write.write_all(&buffer)).await, Ok(Ok(()))) {
            return;
        }
    }
}
