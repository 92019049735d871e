//! Owns the node's balancer: translates what happens on sockets into its events, and executes its actions.
//!
//! Everything runs on one thread. A call to the balancer never awaits, and executing its actions never calls
//! the balancer again: anything that follows from an action runs in its own task.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use glenfall_balancer::{
    Action, AttemptId, Balancer, Event, NewRequest, Outcome, RequestId, RosterEntry, RosterUpdate, Seconds,
    ServerId, SettingsError, Status, TimerToken,
};
use glenfall_http_client::RequestProgress;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::{Discovery, ServerListObserver};
use crate::log::log;
use crate::open_requests::{Accepted, Answer, NextAttempt, OpenRequests};
use crate::peers::PeerSocket;
use crate::request::ClientRequest;
use crate::response::AttemptResult;
use crate::server_list::{ListedServer, ServerList};
use crate::upstream::Upstreams;

/// Replaces a time that is too long for `Duration`.
const MAX_DURATION: Duration = Duration::from_secs(u64::MAX / 4);

/// Why a host cannot start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The balancer rejects the value of a setting.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The socket for peers cannot be opened.
    #[error("cannot open the socket for peers: {0}")]
    PeerSocket(std::io::Error),
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptKey {
    request: RequestId,
    index: u32,
}

/// The balancer of this node, and the components that its actions use.
pub struct Host {
    clock: Clock,
    balancer: RefCell<Balancer>,
    requests: OpenRequests,
    /// The attempts in flight, each with the channel that cancels it. An attempt may end later than its
    /// request.
    attempts: RefCell<HashMap<AttemptKey, oneshot::Sender<()>>>,
    upstreams: Rc<Upstreams>,
    discovery: Rc<Discovery>,
    peers: Option<PeerSocket>,
}

impl Host {
    /// Starts the balancer with the list of servers in the configuration.
    ///
    /// # Errors
    ///
    /// The balancer rejects a setting, or the socket for peers cannot be opened.
    pub async fn start(config: &Config) -> Result<Rc<Self>, HostError> {
        let settings = &config.settings;
        let host = Rc::new(Host {
            clock: Clock::start(),
            balancer: RefCell::new(Balancer::new(settings.clone(), config.seed)?),
            requests: OpenRequests::default(),
            attempts: RefCell::default(),
            upstreams: Upstreams::start(&settings.limits, settings.nodes, config.upstream_sockets),
            discovery: Rc::new(Discovery::new(config.discovery, config.initial_servers.as_ref())),
            peers: PeerSocket::bind(config).await.map_err(HostError::PeerSocket)?,
        });
        if host.peers.is_some() {
            spawn_local(Rc::clone(&host).receive_peer_messages());
        }
        // The balancer starts with its first event, so it gets one even if no server is known.
        let servers = config.initial_servers.as_ref().map_or(Vec::new(), |list| list.servers.clone());
        let initial_list = ServerList { version: 0, is_complete: true, servers };
        host.upstreams.update(&initial_list);
        host.handle_event(Event::Roster(RosterUpdate::Cached(entries(initial_list.servers))));
        Ok(host)
    }

    /// Moves to another address of discovery.
    pub fn move_discovery_to(self: &Rc<Self>, addr: std::net::SocketAddr) {
        self.discovery.move_to(addr, self.as_observer());
    }

    /// Whether at least one server accepts requests.
    pub fn is_ready(&self) -> bool {
        self.upstreams.any_ready()
    }

    fn as_observer(self: &Rc<Self>) -> Rc<dyn ServerListObserver> {
        Rc::<Host>::clone(self)
    }

    async fn receive_peer_messages(self: Rc<Self>) {
        let Some(peers) = &self.peers else { return };
        loop {
            let message = peers.receive().await;
            self.handle_event(Event::Message { from: message.from, bytes: message.bytes });
        }
    }

    /// Passes an event to the balancer and executes the resulting actions.
    fn handle_event(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.start_attempt(request, server, timeout),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Refuse { request, retry_after } => {
                self.requests.answer(request, Answer::Refused(retry_after));
            }
            Action::Fail(request) => self.requests.answer(request, Answer::Failed),
            Action::SetTimer { token, after } => self.set_timer(token, after),
            Action::HealthCheck(server) => self.check_health(server),
            Action::CloseIdle(server) => self.upstreams.close_idle(&server),
            Action::NotifyPeers(bytes) => self.notify_peers(&bytes),
            Action::Subscribe => self.discovery.subscribe(self.as_observer()),
            Action::FetchRoster => self.discovery.fetch(self.as_observer()),
            Action::Log(text) => log(format_args!("{text}")),
        }
    }

    fn set_timer(self: &Rc<Self>, token: TimerToken, after: Seconds) {
        let host = Rc::clone(self);
        spawn_local(async move {
            sleep(to_duration(after)).await;
            host.handle_event(Event::Timer(token));
        });
    }

    fn check_health(self: &Rc<Self>, server: ServerId) {
        let host = Rc::clone(self);
        spawn_local(async move {
            let status = host.upstreams.check_health(&server).await;
            host.handle_event(Event::HealthChecked { server, status });
        });
    }

    fn notify_peers(&self, message: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.broadcast(message);
        }
    }

    /// Accepts a request and returns its pending answer. `None` if a request with the same client-supplied id
    /// is in progress.
    pub fn accept(self: &Rc<Self>, request: ClientRequest) -> Option<PendingAnswer> {
        let deadline = Instant::now() + request.time_left;
        let Accepted { id, answer } = self.requests.accept(request.payload, deadline)?;
        let pending = PendingAnswer { id, host: Rc::clone(self), answer, deadline };
        self.handle_event(Event::Request(NewRequest {
            id,
            time_left: request.time_left.as_secs_f64(),
            class: Some(request.class),
            tenant: request.tenant,
            key: Some(request.key),
            write: request.is_write,
            work_hint: request.work_hint,
        }));
        Some(pending)
    }

    /// Called when a client has disconnected. Notifies the balancer if the request had no final answer.
    fn cancel_request(self: &Rc<Self>, request: RequestId) {
        if self.requests.cancel(request) {
            self.handle_event(Event::RequestCancelled(request));
        }
    }

    fn start_attempt(self: &Rc<Self>, request: RequestId, server: ServerId, timeout: Option<Seconds>) {
        // The balancer handles the end of a request before it sends anything more, so no attempt starts after
        // it.
        let Some(NextAttempt { index, payload, deadline }) = self.requests.begin_attempt(request) else {
            debug_assert!(false, "attempt started for a request that has ended");
            return;
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let timeout = timeout.map_or(time_left, |timeout| to_duration(timeout).min(time_left));
        let key = AttemptKey { request, index };
        let (cancel, cancelled) = oneshot::channel::<()>();
        self.attempts.borrow_mut().insert(key, cancel);
        let attempt = Attempt {
            host: Rc::clone(self),
            key,
            started: Instant::now(),
            progress: RequestProgress::default(),
            is_reported: false,
        };
        spawn_local(async move {
            let upstreams = &attempt.host.upstreams;
            let result = tokio::select! {
                biased;
                result = upstreams.exchange(&server, &payload, timeout, &attempt.progress) => result,
                () = sleep(timeout) => attempt.aborted(Status::TimedOut, Status::Unreachable),
                _ = cancelled => attempt.aborted(Status::Cancelled, Status::NotSent),
            };
            attempt.report(result);
        });
    }

    fn cancel_attempt(&self, request: RequestId, attempt: AttemptId) {
        let key = AttemptKey { request, index: attempt.0 };
        if let Some(cancel) = self.attempts.borrow_mut().remove(&key) {
            let _ = cancel.send(());
        }
    }

    fn on_attempt_ended(self: &Rc<Self>, attempt: &Attempt, result: AttemptResult) {
        let AttemptKey { request, index } = attempt.key;
        self.attempts.borrow_mut().remove(&attempt.key);
        if let Some(response) = result.response {
            self.requests.answer(request, Answer::Served(response));
        }
        self.handle_event(Event::Outcome(Outcome {
            request,
            attempt: AttemptId(index),
            status: result.status,
            elapsed: attempt.started.elapsed().as_secs_f64(),
            finished: !self.requests.contains(request),
            cache_status: result.cache_status,
            load: result.load,
        }));
    }
}

impl ServerListObserver for Host {
    /// Applies new addresses and server states to the connections before the balancer can act on them.
    fn on_list(self: Rc<Self>, list: ServerList) {
        self.upstreams.update(&list);
        let is_complete = list.is_complete;
        let entries = entries(list.servers);
        let update = if is_complete { RosterUpdate::Complete(entries) } else { RosterUpdate::Delta(entries) };
        self.handle_event(Event::Roster(update));
    }

    fn on_call_failed(self: Rc<Self>) {
        self.handle_event(Event::Roster(RosterUpdate::Failed));
    }
}

fn entries(servers: Vec<ListedServer>) -> Vec<RosterEntry> {
    servers.into_iter().map(|server| server.entry).collect()
}

/// An attempt in flight. It reports exactly one outcome, even if its task panics.
struct Attempt {
    host: Rc<Host>,
    key: AttemptKey,
    started: Instant,
    progress: RequestProgress,
    is_reported: bool,
}

impl Attempt {
    /// The result of an attempt that the node has ended. A request that was not written completely cannot have
    /// run.
    fn aborted(&self, if_written: Status, if_not_written: Status) -> AttemptResult {
        let status = if self.progress.is_sent() { if_written } else { if_not_written };
        AttemptResult::without_response(status)
    }

    fn report(mut self, result: AttemptResult) {
        self.is_reported = true;
        let host = Rc::clone(&self.host);
        host.on_attempt_ended(&self, result);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_reported {
            let host = Rc::clone(&self.host);
            host.on_attempt_ended(self, self.aborted(Status::Broken, Status::NotSent));
        }
    }
}

/// The final answer that a client waits for. Dropping this before the answer means that the client has
/// disconnected.
pub struct PendingAnswer {
    id: RequestId,
    host: Rc<Host>,
    answer: oneshot::Receiver<Answer>,
    deadline: Instant,
}

impl PendingAnswer {
    /// Waits for the balancer's answer, at most until the deadline, so that the client gets an answer even if
    /// the balancer gives none.
    pub async fn wait(mut self) -> Answer {
        match tokio::time::timeout_at(self.deadline.into(), &mut self.answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Answer::Failed,
            Err(_) => Answer::DeadlineExceeded,
        }
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.host.cancel_request(self.id);
    }
}

/// Converts a time stated by the balancer. Never panics: negative times and NaN become zero, and times that are
/// too long become `MAX_DURATION`.
fn to_duration(seconds: Seconds) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_DURATION)
}
