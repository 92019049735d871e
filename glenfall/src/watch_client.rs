//! A proxy's view of the system: the configuration, the servers and the shields, as received from its publisher. The
//! publisher of an edge is the agent on its machine; that of a shield is the control node.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_control_plane::config::Config;
use glenfall_control_plane::fleet::{Fleet, FleetUpdate};
use glenfall_control_plane::known_fleet::KnownFleet;
use glenfall_control_plane::messages::{
    AgedPurge, ConnectionOpening, Member, ProxyRole, PublisherMessage, SubscriberMessage, Update,
};
use glenfall_control_plane::Millis;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, Instant};

use crate::session::lease::HeldLease;
use crate::session::link::{self, FrameReader, Outbox};
use crate::session::subscriber;
use crate::settings::Settings;

/// Pause before reconnecting to the publisher, which may be starting up like this proxy, or may have been killed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// The callbacks by which a proxy reacts to updates.
pub trait WatchHandler {
    /// Called before a configuration is applied.
    fn config_changed(&self, config: &Arc<Config>);
    /// Called after servers, shields or edges have changed; `fleet` is the complete list.
    fn fleet_changed(&self, fleet: &Fleet);
    /// Called for purges: stored responses that they match must not be served any more.
    fn purge(&self, purges: &[AgedPurge]);
    /// Called when the publisher begins or ceases to send all updates, and when the connection to it is lost.
    fn connection_changed(&self, is_connected: bool);
    /// The counters of the proxy for `status`.
    fn counters(&self) -> Vec<(String, u64)>;
}

/// The state that a proxy has received from its publisher, and its lease.
pub struct WatchClient {
    settings: Rc<Settings>,
    proxy: ProxyRole,
    incarnation: u64,
    config: RefCell<Option<Arc<Config>>>,
    fleet: RefCell<KnownFleet>,
    /// When requests that have no response yet are aborted; `None` unless the process is draining.
    drain_deadline: Cell<Option<Instant>>,
    /// Notified when the content of the hello message has changed.
    member_changed: Notify,
    /// The version of the applied configuration, 0 without one; tasks can wait for a version.
    rev: watch::Sender<u64>,
    /// Whether the publisher has sent all updates that may have been missed.
    is_connected: Cell<bool>,
    lease: HeldLease,
}

impl WatchClient {
    /// The client of a proxy that has received nothing yet.
    pub fn new(settings: Rc<Settings>, proxy: ProxyRole) -> Rc<Self> {
        Rc::new(WatchClient {
            settings,
            proxy,
            incarnation: crate::session::incarnation(),
            config: RefCell::default(),
            fleet: RefCell::default(),
            drain_deadline: Cell::new(None),
            member_changed: Notify::new(),
            rev: watch::Sender::new(0),
            is_connected: Cell::new(false),
            lease: HeldLease::default(),
        })
    }

    /// The applied configuration; `None` until one is known.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Waits until the applied configuration has version `rev` or a newer one.
    pub async fn wait_for_version(&self, rev: u64) {
        // The wait can't fail, as `self` owns the sender.
        let _ = self.rev.subscribe().wait_for(|applied| *applied >= rev).await;
    }

    /// Whether the proxy knows enough to serve requests, and is not draining.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && self.fleet.borrow().fleet().is_some() && !self.is_draining()
    }

    /// Whether stored responses may be served: this process has applied every purge that has been acknowledged to its
    /// sender. Must be checked whenever a stored response is served.
    pub fn may_serve_stored_responses(&self) -> bool {
        self.is_connected.get() && self.lease.is_valid()
    }

    /// Whether [`WatchClient::start_draining`] was called.
    pub fn is_draining(&self) -> bool {
        self.drain_deadline.get().is_some()
    }

    /// When a draining process aborts requests that have no response yet; `None` if it is not draining.
    pub fn drain_deadline(&self) -> Option<Instant> {
        self.drain_deadline.get()
    }

    /// Starts draining. The publisher is notified, so that new requests go to other proxies.
    pub fn start_draining(&self) {
        self.drain_deadline.set(Some(Instant::now() + self.settings.grace()));
        self.member_changed.notify_one();
    }

    /// Handles a message from the publisher; false if it does not build on the known state, so that a new session is needed.
    pub fn handle_message(&self, message: PublisherMessage, handler: &impl WatchHandler) -> bool {
        match message {
            PublisherMessage::Push { update, .. } => return self.apply_update(update, handler),
            PublisherMessage::LeaseGranted { sent_at, duration } => self.renew_lease(sent_at, duration),
            PublisherMessage::ControlNodes(_) | PublisherMessage::Draining | PublisherMessage::Ping => {}
        }
        true
    }

    /// Applies an update; false if it does not build on the known state.
    pub fn apply_update(&self, update: Update, handler: &impl WatchHandler) -> bool {
        let was_ready = self.is_ready();
        match update {
            Update::Config { rev, document } => self.apply_config(rev, &document, handler),
            Update::Fleet(update) => {
                if !self.apply_fleet(update, handler) {
                    return false;
                }
            }
            Update::Purges(purges) => handler.purge(&purges),
            Update::Connected(is_connected) => self.set_connected(is_connected, handler),
        }
        if self.is_ready() != was_ready {
            self.member_changed.notify_one();
        }
        true
    }

    fn apply_config(&self, rev: u64, document: &[u8], handler: &impl WatchHandler) {
        // A process never returns to an older version, whichever control node the update comes from.
        if rev <= *self.rev.borrow() {
            return;
        }
        match Config::parse(document) {
            Ok(config) => {
                let config = Arc::new(config);
                handler.config_changed(&config);
                self.config.replace(Some(config));
                self.rev.send_replace(rev);
                tracing::info!(rev, "configuration applied");
            }
            Err(error) => tracing::error!(rev, %error, "configuration rejected"),
        }
    }

    /// Applies an update of the fleet; false if it builds on an unknown version. The list of a control node that has just
    /// started may be incomplete, and has to be merged with the known one. The agent does that for an edge; for a shield,
    /// which has no agent, [`KnownFleet`] does it here.
    fn apply_fleet(&self, update: FleetUpdate, handler: &impl WatchHandler) -> bool {
        match self.fleet.borrow_mut().apply_update(update) {
            Ok(None) => return true,
            Ok(Some(_)) => {}
            Err(gap) => {
                tracing::warn!(%gap, "fleet update out of order: restarting the watch stream");
                return false;
            }
        }
        if let Some(fleet) = self.fleet.borrow().fleet() {
            handler.fleet_changed(fleet);
        }
        true
    }

    fn renew_lease(&self, sent_at: Millis, duration: Millis) {
        let had_lease = self.lease.is_valid();
        self.lease.renew(sent_at, duration);
        if !had_lease && self.lease.is_valid() {
            tracing::info!("lease acquired: stored responses may be served");
        }
    }

    /// Ends the lease if the connection is lost. The next one is granted after all missed updates are applied.
    fn set_connected(&self, is_connected: bool, handler: &impl WatchHandler) {
        if !is_connected {
            self.lease.end();
        }
        self.is_connected.set(is_connected);
        handler.connection_changed(is_connected);
    }

    /// Keeps a session with the publisher for as long as the process runs.
    pub async fn run(&self, handler: &impl WatchHandler) {
        loop {
            if let Ok((read, write)) =
                link::open(self.settings.watch_address(), &ConnectionOpening::Session).await
            {
                self.run_session(FrameReader::new(read), Outbox::start(write), handler).await;
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn run_session(
        &self,
        frames: FrameReader,
        outbox: Outbox<SubscriberMessage>,
        handler: &impl WatchHandler,
    ) {
        let counters = || handler.counters().into_iter().chain(link::report("")).collect();
        tokio::select! {
            () = subscriber::run_session(
                frames,
                outbox.clone(),
                || self.hello(),
                || self.lease.now(),
                &self.member_changed,
                async |message| self.handle_message(message, handler),
            ) => {}
            () = subscriber::send_counters(&outbox, counters) => {}
        }
        // This must happen before the connection is closed and before any other task runs: the publisher takes a closed
        // connection to mean that no stored response is served.
        self.set_connected(false, handler);
        tracing::warn!("watch stream lost");
    }

    fn hello(&self) -> SubscriberMessage {
        let member = Member {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            proxy: self.proxy,
            http: self.http_address(),
            ready: self.is_ready(),
            incarnation: self.incarnation,
        };
        SubscriberMessage::Hello { node: self.settings.node.clone(), member: Some(member) }
    }

    /// The address at which the proxy accepts requests.
    fn http_address(&self) -> SocketAddrV4 {
        let shield_address = self.settings.shield_address();
        match self.proxy {
            ProxyRole::Shield => shield_address,
            ProxyRole::Edge => self.settings.listeners.http.unwrap_or(shield_address),
        }
    }
}
