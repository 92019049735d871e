//! An open connection to a server, and one exchange on it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Request, Response};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

use crate::socket::{OpenSocket, Progress, RequestProgress, Socket};

/// A connection whose answer has been read whole is free at once; one that is not is of no further use.
const SETTLE: Duration = Duration::from_millis(5);
/// A reset of what is sent on a forgotten connection is back after one way there and back. Twice that, measured when
/// the connection was opened, and what the two machines take to wake up; where it took long, the opening packet was
/// lost or a machine was busy.
const RESET_BACK: u32 = 2;
const WAKE_UP: Duration = Duration::from_millis(1);
const LONGEST_PAUSE: Duration = Duration::from_millis(20);

/// An open connection. Dropping it closes it, whatever is out on it.
pub struct Connection {
    /// The server's address.
    pub addr: SocketAddr,
    /// How far the request on it has come.
    pub progress: Rc<Progress>,
    /// How long it took to open.
    opened_in: Duration,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why there is no head of an answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// Not all of the request was written: it has not run.
    Unsent,
    /// It was written whole and may have run.
    Broken(hyper::Error),
    /// The same, and what came is the answer to another request.
    Foreign,
}

impl Connection {
    /// Opens a connection; `None` where that fails. The caller bounds its time.
    pub async fn open(addr: SocketAddr, open: OpenSocket, longest_head: usize) -> Option<Self> {
        let began = Instant::now();
        let stream = TcpStream::connect(addr).await.ok()?;
        let opened_in = began.elapsed();
        stream.set_nodelay(true).ok()?;
        let (socket, progress) = Socket::new(stream, open);
        let mut builder = http1::Builder::new();
        let (sender, driving) = builder.max_buf_size(longest_head).handshake(socket).await.ok()?;
        let driver = spawn_local(async move {
            // How it ended shows in the answers of `sender`.
            let _ = driving.await;
        });
        Some(Connection { addr, progress, opened_in, sender, driver })
    }

    /// Sends a request and waits for the head of its answer. `id` is the header that an answer repeats, where the
    /// servers do that: the order on the connection does not tell a surplus answer that comes late from the one that is
    /// due.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        id: Option<&HeaderName>,
        sent: &RequestProgress,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let own = id.and_then(|id| Some((id, request.headers().get(id)?.clone())));
        sent.begin(&self.progress);
        self.progress.watch(&mut request);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                let is_own = match &own {
                    Some((id, own)) => response.headers().get_all(*id).iter().eq([own]),
                    // Only its place on the connection says so.
                    None => self.progress.in_turn(),
                };
                match is_own {
                    true => Ok(response),
                    false if sent.whole() => Err(ExchangeError::Foreign),
                    false => Err(ExchangeError::Unsent),
                }
            }
            Err(e) if sent.whole() => Err(ExchangeError::Broken(e.into_error())),
            Err(_) => Err(ExchangeError::Unsent),
        }
    }

    /// The next request is held short of its last byte until a server that has forgotten this connection would have
    /// reset it: it then has certainly not run, and may go elsewhere.
    pub fn be_wary(&self) {
        self.progress.be_wary((self.opened_in * RESET_BACK + WAKE_UP).min(LONGEST_PAUSE));
    }

    /// Whether the other side has closed it, as far as this one has seen.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it can carry another request, its last answer having been read whole and not before its turn.
    pub async fn is_free(&mut self) -> bool {
        self.progress.in_turn()
            && matches!(tokio::time::timeout(SETTLE, self.sender.ready()).await, Ok(Ok(())))
    }
}

/// How the end of a response's body is known (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length, or by its last chunk.
    Stated,
    /// By the orderly close of the connection. After a reset the body is incomplete.
    Close,
    /// With two lengths the two sides may not mean the same end; with a coding other than `chunked` the bytes are not the
    /// body's own.
    Unclear,
}

impl BodyEnd {
    /// What the head of a response says of the end of its body.
    pub fn of(headers: &HeaderMap) -> Self {
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        let mut codings = codings.iter().map(|coding| coding.as_bytes().trim_ascii());
        let has_length = headers.contains_key(header::CONTENT_LENGTH);
        match (codings.next(), codings.next()) {
            (None, _) if has_length => BodyEnd::Stated,
            (None, _) => BodyEnd::Close,
            (Some(coding), None) if !has_length && coding.eq_ignore_ascii_case(b"chunked") => BodyEnd::Stated,
            _ => BodyEnd::Unclear,
        }
    }
}

/// Whether what came on a connection is no answer, rather than the connection having been lost: the first
/// does not tell of the server's process, the second does.
pub fn is_unreadable(error: &hyper::Error) -> bool {
    let io = std::error::Error::source(error).and_then(|e| e.downcast_ref::<std::io::Error>());
    error.is_parse()
        || io.is_some_and(|e| matches!(e.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData))
}
