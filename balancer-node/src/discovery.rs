//! The list of servers: one call for the complete list, or a watch on its changes.

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

/// How long discovery may delay the answer to the first call of a watch. It is short, as the balancer counts
/// a call that has no answer after some seconds as lost.
const FIRST_LONG_POLL: Duration = Duration::from_secs(1);
/// The same for every later call: each costs discovery work.
const LONG_POLL: Duration = Duration::from_secs(20);
/// Discovery works through calls in turn; beyond this time no answer can be expected any more.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Pause before the next call when one has ended early and empty. A watch lasts while gaps stay under 200 ms.
const EMPTY_ANSWER_PAUSE: Duration = Duration::from_millis(100);
/// Far above the size of any list, in bytes; what is larger is not one.
const MAX_LIST_SIZE: usize = 4 << 20;

/// Why a call brought no list. The balancer learns only that it failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("the answer is not a list of servers")]
    NotAList,
    #[error("time-out")]
    TimedOut,
}

/// Receives what discovery brings.
pub trait ServerListObserver {
    /// A list, or changes of one, has arrived.
    fn on_list(self: Rc<Self>, list: ServerList);
    /// A call has failed, which ends the watch that made it.
    fn on_call_failed(self: Rc<Self>);
}

/// One address of discovery. Its versions count for itself alone: another address may count otherwise.
struct Source {
    addr: SocketAddr,
    /// The version of the newest list from here; `None` before the first one.
    version: Cell<Option<u64>>,
}

/// A watch in progress at a source.
struct Watch {
    source: Rc<Source>,
    task: JoinHandle<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The calls of this node to discovery.
pub struct Discovery {
    source: RefCell<Rc<Source>>,
    /// The watch at the source and, until it has brought its first list, those at the sources before it.
    watches: RefCell<Vec<Watch>>,
}

impl Discovery {
    /// No call is made yet. `known` is the list that the node starts with.
    pub fn new(addr: SocketAddr, known: Option<&ServerList>) -> Self {
        let source = Source { addr, version: Cell::new(known.map(|list| list.version)) };
        Discovery { source: RefCell::new(Rc::new(source)), watches: RefCell::default() }
    }

    /// Watches for changes, and hands the observer each until the watch fails. It replaces an older watch.
    pub fn subscribe(self: &Rc<Self>, observer: Rc<dyn ServerListObserver>) {
        let source = self.current_source();
        let mut watches = self.watches.borrow_mut();
        watches.retain(|watch| !Rc::ptr_eq(&watch.source, &source) && !watch.task.is_finished());
        let task = spawn_local(watch(Rc::clone(self), observer, Rc::clone(&source)));
        watches.push(Watch { source, task });
    }

    /// Calls once for the complete list.
    pub fn fetch(self: &Rc<Self>, observer: Rc<dyn ServerListObserver>) {
        let (discovery, source) = (Rc::clone(self), self.current_source());
        spawn_local(async move {
            let answer = source.call(None).await;
            discovery.deliver(observer, &source, answer);
        });
    }

    /// Continues at another address, from the complete list there. The watch at the old one continues until
    /// that list has arrived, so that nothing is missed between the two.
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

    /// Hands the observer what a call brought. Returns whether the watch can continue.
    fn deliver(
        &self,
        observer: Rc<dyn ServerListObserver>,
        source: &Rc<Source>,
        answer: Result<ServerList, CallError>,
    ) -> bool {
        let current = self.current_source();
        let has_moved = !Rc::ptr_eq(&current, source);
        // A delayed answer of an old address must not overwrite a list of the new one, and its end is
        // expected.
        if has_moved && (answer.is_err() || current.version.get().is_some()) {
            return false;
        }
        match answer {
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

/// What a call of a watch requests: changes after a version, and the time for which the answer may be
/// delayed.
#[derive(Clone, Copy)]
struct LongPoll {
    after_version: u64,
    max_delay: Duration,
}

impl Source {
    /// One call: for the complete list, or for what is newer than a version as soon as there is something.
    async fn call(&self, long_poll: Option<LongPoll>) -> Result<ServerList, CallError> {
        let max_delay = long_poll.map_or(Duration::ZERO, |poll| poll.max_delay);
        let answer = tokio::time::timeout(max_delay + ANSWER_TIMEOUT, self.exchange(long_poll)).await;
        answer.unwrap_or(Err(CallError::TimedOut))
    }

    /// Calls are rare, so each has a connection of its own: none can turn out stale.
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
            let body = Limited::new(response.into_body(), MAX_LIST_SIZE).collect().await;
            let body = body.map_err(|_| CallError::NotAList)?.to_bytes();
            let json = serde_json::from_slice(&body).map_err(|_| CallError::NotAList)?;
            ServerList::read(&json).ok_or(CallError::NotAList)
        };
        // Driven here, not in a task of its own, so that dropping the call closes its connection.
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
    let mut max_delay = FIRST_LONG_POLL;
    loop {
        let called = Instant::now();
        let long_poll = source.version.get().map(|after_version| LongPoll { after_version, max_delay });
        let answer = source.call(long_poll).await;
        let is_empty = answer.as_ref().is_ok_and(|list| list.servers.is_empty());
        let is_early = called.elapsed() < max_delay / 2;
        if !discovery.deliver(Rc::clone(&observer), &source, answer) {
            return;
        }
        if is_empty && is_early {
            tokio::time::sleep(EMPTY_ANSWER_PAUSE).await;
        }
        max_delay = LONG_POLL;
    }
}
