//! The socket of a client, which reports reads and writes to the [`Deadlines`] of its connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::http_server::deadlines::Deadlines;

/// A client's socket with the deadlines of its connection.
pub struct TimedStream {
    stream: TcpStream,
    deadlines: Rc<Deadlines>,
    /// Whether the client has closed its side.
    read_closed: bool,
}

impl TimedStream {
    /// The socket of a client that has just connected.
    pub fn new(stream: TcpStream, deadlines: &Rc<Deadlines>) -> Self {
        TimedStream { stream, deadlines: Rc::clone(deadlines), read_closed: false }
    }

    /// Writes the last response before the connection is closed, as far as the socket buffer has space. Errors are
    /// ignored, as the connection is closed anyway.
    pub fn write_final(&self, bytes: &[u8]) {
        let _ = self.stream.try_write(bytes);
    }

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes @ 1..)) = result {
            self.deadlines.record_written(bytes);
        }
        result
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let has_capacity = buffer.remaining() > 0;
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.read_closed |= has_capacity && buffer.filled().len() == filled_before;
            self.deadlines.record_read();
        }
        result
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Shuts down the write side, unless the client has closed its side: the socket is closed next in that case, which
    /// has the same effect and saves a system call.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.read_closed {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
