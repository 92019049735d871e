//! Relays what control publishes to the proxies on this machine, and their state and counters to control.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use glenfall_control_plane::lease::{granter_wait, MAX_SESSION_LEASE_DURATION};
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
/// Time after which a proxy that is lost or has not applied a purge can't serve stored responses: its lease has ended.
const LEASE_END_TIMEOUT: Duration = Duration::from_millis(granter_wait(MAX_SESSION_LEASE_DURATION) + 100);
/// How long to wait for proxies to acknowledge that they no longer serve stored responses.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);

/// The state received from control, and the sessions with the proxies to which it is forwarded.
pub(super) struct Relay {
    settings: Rc<Settings>,
    known: RefCell<KnownState>,
    proxies: Sessions,
    /// The agent's own lease, which bounds the leases of the proxies. The agent itself serves no responses.
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

    /// The reading of the clock on which the agent's lease is measured.
    pub(super) fn now(&self) -> Millis {
        self.lease.now()
    }

    /// Serves the session of a proxy until it ends.
    pub(super) async fn serve(&self, connection: SubscriberConnection) {
        self.proxies.serve(connection, self).await;
    }

    /// The message that opens the agent's session with control, on behalf of the proxy on this machine.
    pub(super) fn hello(&self) -> SubscriberMessage {
        let member = self.proxies.members().into_iter().next();
        SubscriberMessage::Hello { node: self.settings.node.clone(), member }
    }

    /// The counters of the proxies and of the agent itself.
    pub(super) fn counters(&self) -> Vec<(String, u64)> {
        let sessions = self.proxies.statuses().into_iter();
        let proxy_counters = sessions.flat_map(|session| session.counters);
        let proxy_counters = proxy_counters.map(|counter| (counter.name, counter.value));
        proxy_counters.chain(link::report("agent_")).collect()
    }

    /// Handles a message from control; false if it does not build on the known state, so that a new session is needed.
    pub(super) async fn handle(&self, message: PublisherMessage) -> bool {
        match message {
            PublisherMessage::ControlNodes(nodes) => self.known.borrow_mut().set_control_nodes(nodes),
            PublisherMessage::LeaseGranted { sent_at, duration } => {
                self.lease.renew(sent_at, duration);
                self.proxies.set_own_lease_end(self.lease.expires_at());
            }
            PublisherMessage::Push { update, .. } => return self.apply(update).await,
            PublisherMessage::Draining | PublisherMessage::Ping => {}
        }
        true
    }

    /// Applies an update and forwards it; false if it does not build on the known state.
    async fn apply(&self, update: Update) -> bool {
        match update {
            Update::Config { rev, document } => {
                let change = self.known.borrow_mut().apply_config(rev, document);
                self.forward(change).await;
            }
            Update::Fleet(update) => {
                let change = self.known.borrow_mut().apply_fleet(update);
                match change {
                    Ok(change) => self.forward(change).await,
                    Err(gap) => {
                        tracing::warn!(%gap, "fleet update out of order: restarting the session with control");
                        return false;
                    }
                }
            }
            // Purges are not recorded: the first update of a proxy's session purges everything.
            Update::Purges(purges) => self.purge(purges).await,
            Update::Connected(is_connected) => self.set_connected(is_connected),
        }
        true
    }

    /// Pushes an update to the proxies, if there is one, and waits until they have applied it.
    async fn forward(&self, update: Option<Update>) {
        let Some(update) = update else { return };
        self.proxies.push(&update);
        if !self.proxies.wait_until_applied(APPLY_TIMEOUT).await {
            self.proxies.end_overdue(MAX_ACKNOWLEDGEMENT_DELAY);
        }
    }

    /// Forwards purges. Returns once no proxy can serve a response that they remove.
    async fn purge(&self, purges: Vec<AgedPurge>) {
        self.proxies.push(&Update::Purges(purges));
        if !self.proxies.wait_until_purged(APPLY_TIMEOUT).await {
            self.proxies.end_overdue(MAX_ACKNOWLEDGEMENT_DELAY);
            // A proxy that is overdue is granted no further lease.
            let _ = self.proxies.wait_until_purged(LEASE_END_TIMEOUT).await;
        }
    }

    /// Ends the agent's lease and those of its proxies. Returns true once no proxy can use its lease any more, and false if
    /// that takes longer than [`RELEASE_TIMEOUT`].
    pub(super) async fn release_leases(&self) -> bool {
        self.set_connected(false);
        self.proxies.wait_until_purged(RELEASE_TIMEOUT).await
    }

    fn set_connected(&self, is_connected: bool) {
        if !is_connected {
            self.lease.end();
            self.proxies.set_own_lease_end(self.lease.expires_at());
        }
        self.known.borrow_mut().set_connected(is_connected);
        self.proxies.push(&Update::Connected(is_connected));
    }
}

impl Publisher for Relay {
    fn greeting(&self) -> Greeting {
        Greeting { messages: Vec::new(), updates: self.known.borrow().snapshot() }
    }

    /// Nothing is left to send: the greeting has the newest configuration that the agent knows.
    async fn newest_config(&self) -> Option<Vec<Update>> {
        Some(Vec::new())
    }

    fn members_changed(&self) {
        self.members_changed.notify_one();
    }
}
