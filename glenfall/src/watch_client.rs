//! What a proxy knows of the system: the configuration, the servers and the shields, as its agent feeds them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_control_plane::config::Config;
use glenfall_control_plane::fleet::{Fleet, FleetUpdate};
use glenfall_control_plane::known_fleet::KnownFleet;
use glenfall_control_plane::messages::{
    AgedPurge, ConnectionOpening, Member, ProxyRole, PublisherMessage, SubscriberMessage, Update,
};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, Instant};

use crate::session::lease::HeldLease;
use crate::session::link::{self, FrameReader, Outbox};
use crate::session::subscriber;
use crate::settings::Settings;

/// Pause before the agent is called again: it starts beside the proxy, or has just been killed.
const AGAIN: Duration = Duration::from_millis(100);

/// What follows from news, for the proxy that it concerns.
pub trait WatchHandler {
    /// A configuration is in force.
    fn config(&self, config: &Arc<Config>);
    /// The servers, shields and edges are these.
    fn fleet(&self, fleet: &Fleet);
    /// Copies that these purges name are no longer good.
    fn purge(&self, purges: &[AgedPurge]);
    /// Whether control tells of all that happens.
    fn in_touch(&self, yes: bool);
    /// Counters for `status`.
    fn report(&self) -> Vec<(String, u64)>;
}

/// What a proxy has been told.
pub struct WatchClient {
    boot: Rc<Settings>,
    proxy: ProxyRole,
    incarnation: u64,
    config: RefCell<Option<Arc<Config>>>,
    fleet: RefCell<KnownFleet>,
    /// Once the process is told to stop: when it gives up what is not answered.
    grace_ends: Cell<Option<Instant>>,
    changed: Notify,
    /// The version in force, for those who wait for one.
    rev: watch::Sender<u64>,
    /// Control has told all that was missed.
    in_touch: Cell<bool>,
    lease: HeldLease,
}

impl WatchClient {
    /// A proxy that knows nothing yet.
    pub fn new(boot: Rc<Settings>, proxy: ProxyRole) -> Rc<Self> {
        Rc::new(WatchClient {
            boot,
            proxy,
            incarnation: crate::session::incarnation(),
            config: RefCell::default(),
            fleet: RefCell::default(),
            grace_ends: Cell::new(None),
            changed: Notify::new(),
            rev: watch::Sender::new(0),
            in_touch: Cell::new(false),
            lease: HeldLease::default(),
        })
    }

    /// The configuration in force; `None` until one is known.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Waits until the version in force is `rev` or newer.
    pub async fn reaches(&self, rev: u64) {
        // It can't fail while the sender is here.
        let _ = self.rev.subscribe().wait_for(|now| *now >= rev).await;
    }

    /// Knows enough to serve, and does not leave.
    pub fn ready(&self) -> bool {
        self.config.borrow().is_some() && self.fleet.borrow().fleet().is_some() && !self.leaving()
    }

    /// Whether no purge can have been acknowledged that this process has not taken: looked at whenever a copy is served.
    pub fn vouches(&self) -> bool {
        self.in_touch.get() && self.lease.is_valid()
    }

    /// The process has been told to stop.
    pub fn leaving(&self) -> bool {
        self.grace_ends.get().is_some()
    }

    /// When a process that has been told to stop gives up what is not answered.
    pub fn grace_ends(&self) -> Option<Instant> {
        self.grace_ends.get()
    }

    /// The process stops soon: members are told, new work goes elsewhere.
    pub fn leave(&self) {
        self.grace_ends.set(Some(Instant::now() + self.boot.grace()));
        self.changed.notify_one();
    }

    fn hello(&self) -> SubscriberMessage {
        let http = match self.proxy {
            ProxyRole::Shield => self.boot.shield_address(),
            ProxyRole::Edge => self.boot.listeners.http.unwrap_or(self.boot.shield_address()),
        };
        let member = Member {
            node: self.boot.node.clone(),
            zone: self.boot.zone.clone(),
            proxy: self.proxy,
            http,
            ready: self.ready(),
            incarnation: self.incarnation,
        };
        SubscriberMessage::Hello { node: self.boot.node.clone(), member: Some(member) }
    }

    /// Takes what the agent says; false where it does not build on what is known.
    pub fn hear(&self, down: PublisherMessage, follower: &impl WatchHandler) -> bool {
        match down {
            PublisherMessage::Push { update: news, .. } => self.take(news, follower),
            PublisherMessage::LeaseGranted { sent_at, duration: lasts } => {
                let stood = self.lease.is_valid();
                self.lease.renew(sent_at, lasts);
                if !stood && self.lease.is_valid() {
                    tracing::info!("lease acquired: stored responses may be served");
                }
                true
            }
            PublisherMessage::ControlNodes(_) | PublisherMessage::Draining | PublisherMessage::Ping => true,
        }
    }

    /// Without contact there is no lease: another one is granted after all that was missed.
    fn touch(&self, yes: bool, follower: &impl WatchHandler) {
        if !yes {
            self.lease.end();
        }
        self.in_touch.set(yes);
        follower.in_touch(yes);
    }

    /// Takes what the agent tells; false where it does not build on what is known.
    pub fn take(&self, news: Update, follower: &impl WatchHandler) -> bool {
        let was_ready = self.ready();
        match news {
            Update::Config { rev, document } => self.take_config(rev, &document, follower),
            Update::Fleet(told) => {
                if !self.take_fleet(told, follower) {
                    return false;
                }
            }
            Update::Purges(purges) => follower.purge(&purges),
            Update::Connected(yes) => self.touch(yes, follower),
        }
        if self.ready() != was_ready {
            self.changed.notify_one();
        }
        true
    }

    /// A shield has no agent beside it: the lists of a control node that has just started come here as they are.
    fn take_fleet(&self, told: FleetUpdate, follower: &impl WatchHandler) -> bool {
        match self.fleet.borrow_mut().apply_update(told) {
            Ok(None) => return true,
            Ok(Some(_)) => {}
            Err(gap) => {
                tracing::warn!(%gap, "fleet update out of order: restarting the watch stream");
                return false;
            }
        }
        if let Some(fleet) = self.fleet.borrow().fleet() {
            follower.fleet(fleet);
        }
        true
    }

    fn take_config(&self, rev: u64, document: &[u8], follower: &impl WatchHandler) {
        // Never backwards in one life, whoever is asked.
        if rev <= *self.rev.borrow() {
            return;
        }
        match Config::read(document) {
            Ok(config) => {
                let config = Arc::new(config);
                follower.config(&config);
                self.config.replace(Some(config));
                self.rev.send_replace(rev);
                tracing::info!(rev, "configuration applied");
            }
            Err(e) => tracing::error!(rev, error = %e, "configuration rejected"),
        }
    }

    /// Follows the agent for as long as the process runs.
    pub async fn run(&self, follower: &impl WatchHandler) {
        loop {
            if let Ok((read, write)) =
                link::open(self.boot.watch_address(), &ConnectionOpening::Session).await
            {
                let outbox = Outbox::start(write);
                let take = async |down| self.hear(down, follower);
                let (hello, now) = (|| self.hello(), || self.lease.now());
                let report = || follower.report().into_iter().chain(link::report("")).collect();
                tokio::select! {
                    () = subscriber::follow(FrameReader::new(read), outbox.clone(), hello, now, &self.changed, take) => {}
                    () = subscriber::send_reports(&outbox, report) => {}
                }
                // Before anything else runs in this process: that the connection is closed says that no copy is served.
                self.touch(false, follower);
                tracing::warn!("watch stream lost");
            }
            sleep(AGAIN).await;
        }
    }
}
