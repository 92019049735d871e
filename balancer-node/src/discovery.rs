//! Gets the list of servers from discovery: with one call for the complete list, or with a watch on changes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};

use crate::log::log;
use crate::server_list::ServerList;

/// How long discovery may delay the response to the first call of a watch. Short, as the balancer treats a call
/// without a response after some seconds as lost.
const FIRST_LONG_POLL_DELAY: Duration = Duration::from_secs(1);
/// The same for each later call of a watch. Long, as each call costs discovery work.
const LONG_POLL_DELAY: Duration = Duration::from_secs(20);
/// Time limit for a response, in addition to its permitted delay. Discovery handles calls one after another;
/// later than this no response can be expected any more.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Pause before the next call if the last one returned early without any change. A watch counts as
/// uninterrupted while the gaps between calls are below 200 ms.
const EMPTY_RESPONSE_PAUSE: Duration = Duration::from_millis(100);
/// Largest accepted response, in bytes; far larger than any list.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a call returned no list. The balancer learns only that the call failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("response status {0}")]
    Status(StatusCode),
    #[error("the response is not a valid list of servers")]
    NotAList,
    #[error("no response in time")]
    TimedOut,
}

/// Receives the results of calls to discovery.
pub trait ServerListObserver {
    /// Called when a complete list, or changes to it, arrived.
    fn on_list(self: Rc<Self>, list: ServerList);
    /// Called when a call failed, which also ends the watch that made it.
    fn on_call_failed(self: Rc<Self>);
}

/// An address of discovery. Versions of lists are comparable only within one source, as another address may
/// number its lists differently.
struct Source {
    addr: SocketAddr,
    /// The version of the newest list from this source; `None` before the first one.
    version: Cell<Option<u64>>,
}

/// A running watch on a source.
struct Watch {
    source: Rc<Source>,
    task: JoinHandle<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The node's client of discovery.
pub struct Discovery {
    source: RefCell<Rc<Source>>,
    /// The watch on the current source and, until that has returned its first list, the watches on earlier
    /// sources.
    watches: RefCell<Vec<Watch>>,
}

impl Discovery {
    /// Creates the client without making a call. `initial_list` is the list that the node starts with; the first watch
    /// requests changes to it.
    pub fn new(addr: SocketAddr, initial_list: Option<&ServerList>) -> Self {
        let source = Source { addr, version: Cell::new(initial_list.map(|list| list.version)) };
        Discovery { source: RefCell::new(Rc::new(source)), watches: RefCell::default() }
    }

    /// Starts a watch on the current source, which passes each change to the observer until a call fails. It
    /// replaces an earlier watch on the same source.
    pub fn subscribe(self: &Rc<Self>, observer: Rc<dyn ServerListObserver>) {
        let source = self.current_source();
        let mut watches = self.watches.borrow_mut();
        watches.retain(|watch| !Rc::ptr_eq(&watch.source, &source) && !watch.task.is_finished());
        let task = spawn_local(watch(Rc::clone(self), observer, Rc::clone(&source)));
        watches.push(Watch { source, task });
    }

    /// Fetches the complete list once.
    pub fn fetch(self: &Rc<Self>, observer: Rc<dyn ServerListObserver>) {
        let (discovery, source) = (Rc::clone(self), self.current_source());
        spawn_local(async move {
            let result = source.call(None).await;
            discovery.deliver(observer, &source, result);
        });
    }

    /// Moves to another address, beginning with the complete list there. The watch on the old address continues
    /// until that list has arrived, so that no change in between is missed.
    pub fn move_to(self: &Rc<Self>, addr: SocketAddr, observer: Rc<dyn ServerListObserver>) {
        if self.source.borrow().addr == addr {
            return;
        }
        self.source.replace(Rc::new(Source { addr, version: Cell::default() }));
        self.subscribe(observer);
    }

    fn current_source(&self) -> Rc<Source> {
        Rc::clone(&self.source.borrow())
    }

    /// Passes the result of a call to the observer. Returns whether the watch can continue.
    fn deliver(
        &self,
        observer: Rc<dyn ServerListObserver>,
        source: &Rc<Source>,
        result: Result<ServerList, CallError>,
    ) -> bool {
        let current = self.current_source();
        let has_moved = !Rc::ptr_eq(&current, source);
        // A delayed response from an old address must not overwrite a list from the new one, and a failed call
        // to an old address is not reported.
        if has_moved && (result.is_err() || current.version.get().is_some()) {
            return false;
        }
        match result {
            Ok(list) => {
                source.version.set(Some(list.version));
                if !has_moved {
                    self.watches.borrow_mut().retain(|watch| Rc::ptr_eq(&watch.source, source));
                }
                observer.on_list(list);
                true
            }
            Err(error) => {
                log(format_args!("discovery at {}: {error}", source.addr));
                observer.on_call_failed();
                false
            }
        }
    }
}

/// The parameters of a long poll: it requests changes after a version, and permits a delay of the response.
#[derive(Clone, Copy)]
struct LongPoll {
    after_version: u64,
    max_delay: Duration,
}

impl Source {
    /// Makes one call, either for the complete list or for changes after a version as soon as there are any.
    async fn call(&self, long_poll: Option<LongPoll>) -> Result<ServerList, CallError> {
        let max_delay = long_poll.map_or(Duration::ZERO, |poll| poll.max_delay);
        let result = tokio::time::timeout(max_delay + RESPONSE_TIMEOUT, self.exchange(long_poll)).await;
        result.unwrap_or(Err(CallError::TimedOut))
    }

    /// Each call opens its own connection: calls are rare, and a new connection cannot be stale.
    async fn exchange(&self, long_poll: Option<LongPoll>) -> Result<ServerList, CallError> {
        let stream = TcpStream::connect(self.addr).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let request = self.request(long_poll)?;
        let exchange = async {
            let response = sender.send_request(request).await?;
            if response.status() != StatusCode::OK {
                return Err(CallError::Status(response.status()));
            }
            let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
            let body = body.map_err(|_| CallError::NotAList)?.to_bytes();
            let json = serde_json::from_slice(&body).map_err(|_| CallError::NotAList)?;
            ServerList::read(&json).ok_or(CallError::NotAList)
        };
        // The connection is polled here, not in its own task, so that dropping the call closes it.
        let mut exchange = std::pin::pin!(exchange);
        tokio::select! {
            list = &mut exchange => list,
            _ = connection => exchange.await,
        }
    }

    fn request(&self, long_poll: Option<LongPoll>) -> Result<Request<Empty<Bytes>>, CallError> {
        let uri = match long_poll {
            Some(LongPoll { after_version, max_delay }) => {
                format!("/registry/instances?from={after_version}&hold_ms={}", max_delay.as_millis())
            }
            None => "/registry/instances".to_owned(),
        };
        Request::get(uri)
            .header(header::HOST, self.addr.to_string())
            .header(header::CONNECTION, "close")
            .body(Empty::new())
            .map_err(|_| CallError::NotAList)
    }
}

async fn watch(discovery: Rc<Discovery>, observer: Rc<dyn ServerListObserver>, source: Rc<Source>) {
    let mut max_delay = FIRST_LONG_POLL_DELAY;
    loop {
        let called = Instant::now();
        let long_poll = source.version.get().map(|after_version| LongPoll { after_version, max_delay });
        let result = source.call(long_poll).await;
        let is_empty = result.as_ref().is_ok_and(|list| list.servers.is_empty());
        let is_early = called.elapsed() < max_delay / 2;
        if !discovery.deliver(Rc::clone(&observer), &source, result) {
            return;
        }
        if is_empty && is_early {
            tokio::time::sleep(EMPTY_RESPONSE_PAUSE).await;
        }
        max_delay = LONG_POLL_DELAY;
    }
}
