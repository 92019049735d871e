//! Relays what control publishes to the proxies on this machine, and their state and counters to control.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::lease::{granter_wait, SESSION_LEASE};
use glenfall_control_plane::messages::{AgedPurge, PublisherMessage, SubscriberMessage, Update};
use glenfall_control_plane::Millis;
use tokio::sync::Notify;

use super::known_state::KnownState;
use crate::session::lease::HeldLease;
use crate::session::link;
use crate::session::publisher::{
    Greeting, Publisher, Sessions, SubscriberConnection, MAX_ACKNOWLEDGEMENT_DELAY,
};
use crate::settings::Settings;

/// How long the agent waits for its proxies to apply an update before it acknowledges the update.
const APPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// A proxy that does not apply a purge, or is lost, can't serve stored responses after this time, as its lease has ended.
const LEASE_END_TIMEOUT: Duration = Duration::from_millis(granter_wait(SESSION_LEASE) + 100);
/// How long proxies have to acknowledge that they serve no stored responses any more.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);

/// The state that the agent has from control, and its sessions with proxies.
pub(super) struct Relay {
    settings: Rc<Settings>,
    known: RefCell<KnownState>,
    proxies: Sessions,
    /// The lease of which the leases of the proxies are part. The agent itself serves nothing.
    lease: HeldLease,
    members_changed: Notify,
}

impl Relay {
    pub(super) fn new(settings: Rc<Settings>) -> Self {
        Relay {
            settings,
            known: RefCell::default(),
            proxies: Sessions::for_relay(),
            lease: HeldLease::default(),
            members_changed: Notify::new(),
        }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn known(&self) -> &RefCell<KnownState> {
        &self.known
    }

    /// Notified when the content of [`Relay::hello`] has changed.
    pub(super) fn members_changed(&self) -> &Notify {
        &self.members_changed
    }

    /// The reading of the clock by which the agent holds its lease.
    pub(super) fn clock(&self) -> Millis {
        self.lease.now()
    }

    /// Serves the session of a proxy until it ends.
    pub(super) async fn serve(&self, connection: SubscriberConnection) {
        self.proxies.serve(connection, self).await;
    }

    /// How the agent introduces itself to control: for the proxy on this machine.
    pub(super) fn hello(&self) -> SubscriberMessage {
        let member = self.proxies.members().into_iter().next();
        SubscriberMessage::Hello { node: self.settings.node.clone(), member }
    }

    /// The counters of the proxies and of the agent itself.
    pub(super) fn counters(&self) -> Vec<(String, u64)> {
        let sessions = self.proxies.statuses().into_iter();
        let of_proxies = sessions.flat_map(|session| session.counters);
        let of_proxies = of_proxies.map(|counter| (counter.name, counter.value));
        of_proxies.chain(link::report("agent_")).collect()
    }

    /// Handles a message of control; false where it does not build on what is known, so that a new session is needed.
    pub(super) async fn handle(&self, message: PublisherMessage) -> bool {
        match message {
            PublisherMessage::ControlNodes(nodes) => self.known.borrow_mut().set_control_nodes(nodes),
            PublisherMessage::LeaseGranted { sent_at, duration } => {
                self.lease.renew(sent_at, duration);
                self.proxies.set_own_lease_end(self.lease.until());
            }
            PublisherMessage::Push { update, .. } => return self.apply(update).await,
            PublisherMessage::Draining | PublisherMessage::Ping => {}
        }
        true
    }

    /// Applies an update and passes it on; false where it does not build on what is known.
    async fn apply(&self, update: Update) -> bool {
        match update {
            Update::Config { rev, document } => {
                let change = self.known.borrow_mut().apply_config(rev, document);
                self.pass_on(change).await;
            }
            Update::Fleet(update) => {
                let change = self.known.borrow_mut().apply_fleet(update);
                match change {
                    Ok(change) => self.pass_on(change).await,
                    Err(gap) => {
                        tracing::warn!(%gap, "fleet update out of order: restarting the session with control");
                        return false;
                    }
                }
            }
            // The first update of a session has all purges that may have been missed.
            Update::Purges(purges) => self.purge(purges).await,
            Update::Connected(is_connected) => self.set_connected(is_connected),
        }
        true
    }

    /// Pushes an update to the proxies, if there is one, and waits until they have applied it.
    async fn pass_on(&self, update: Option<Update>) {
        let Some(update) = update else { return };
        self.proxies.push(&update);
        if !self.proxies.wait_until_applied(APPLY_TIMEOUT).await {
            self.proxies.end_overdue(MAX_ACKNOWLEDGEMENT_DELAY);
        }
    }

    /// Returns once no proxy can serve what these purges end.
    async fn purge(&self, purges: Vec<AgedPurge>) {
        self.proxies.push(&Update::Purges(purges));
        if !self.proxies.wait_until_purged(APPLY_TIMEOUT).await {
            self.proxies.end_overdue(MAX_ACKNOWLEDGEMENT_DELAY);
            // A proxy that is overdue is granted no further lease.
            let _ = self.proxies.wait_until_purged(LEASE_END_TIMEOUT).await;
        }
    }

    /// Ends the leases that are part of one from control. True once no proxy can use its lease any more, false where that
    /// takes longer than [`RELEASE_TIMEOUT`].
    pub(super) async fn release_leases(&self) -> bool {
        self.set_connected(false);
        self.proxies.wait_until_purged(RELEASE_TIMEOUT).await
    }

    fn set_connected(&self, is_connected: bool) {
        if !is_connected {
            self.lease.end();
            self.proxies.set_own_lease_end(self.lease.until());
        }
        self.known.borrow_mut().set_connected(is_connected);
        self.proxies.push(&Update::Connected(is_connected));
    }
}

impl Publisher for Relay {
    fn greeting(&self) -> Greeting {
        Greeting { messages: Vec::new(), updates: self.known.borrow().snapshot() }
    }

    /// The greeting has the newest configuration that the agent knows.
    async fn newest_config(&self) -> Option<Vec<Update>> {
        Some(Vec::new())
    }

    fn members_changed(&self) {
        self.members_changed.notify_one();
    }
}
