//! The frames of a link: a four-byte little-endian length, then a message encoded with `postcard`.

use std::fmt::Display;
use std::io;

use bytes::{Buf, Bytes, BytesMut};
use glenfall_control_plane::messages::MAX_FRAME_BYTES;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{timeout_at, Instant};

use super::liveness::LINK_TIMEOUT;
use super::traffic::RECEIVED_TRAFFIC;

/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

fn invalid_data(error: impl Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

fn check_length(length: usize) -> io::Result<()> {
    if length > MAX_FRAME_BYTES {
        return Err(invalid_data("frame too long"));
    }
    Ok(())
}

/// Appends a message with its length to a buffer.
pub(super) fn encode(message: &impl Serialize, buffer: &mut Vec<u8>) -> io::Result<()> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    *buffer = postcard::to_extend(message, std::mem::take(buffer)).map_err(invalid_data)?;
    let length = buffer.len() - start - LENGTH_BYTES;
    check_length(length)?;
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(())
}

/// The receiving side of a link. Its methods are cancel-safe: the bytes received so far stay in the buffer.
pub struct FrameReader {
    read: OwnedReadHalf,
    buffer: BytesMut,
    last_received: Instant,
}

impl FrameReader {
    /// Reads frames from the receiving half of a connection.
    pub fn new(read: OwnedReadHalf) -> Self {
        FrameReader { read, buffer: BytesMut::new(), last_received: Instant::now() }
    }

    /// Receives the next message. Fails if the link is closed or the message can't be decoded.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return postcard::from_bytes(&frame).map_err(invalid_data);
            }
            if self.read.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.last_received = Instant::now();
        }
    }

    /// Receives the next message. Fails also if nothing is received for [`LINK_TIMEOUT`], which counts from the last
    /// bytes received, even if earlier calls were cancelled.
    pub async fn next_or_timeout<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        timeout_at(self.last_received + LINK_TIMEOUT, self.next()).await?
    }

    /// Removes the first frame from the buffer and returns its encoded message; `None` while the frame is incomplete.
    fn take_frame(&mut self) -> io::Result<Option<Bytes>> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*length) as usize;
        check_length(length)?;
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        RECEIVED_TRAFFIC.add(1, LENGTH_BYTES + length);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}
