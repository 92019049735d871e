//! Server list (roster): subscribing to it, and applying updates to servers, connections and queued requests.

use super::Balancer;
use crate::interface::{Action, RosterEntry, RosterUpdate};
use crate::node_config::HOUSEKEEPING_INTERVAL;
use crate::settings::Membership;

/// How many times idle connections to draining servers are closed within the time `close_on_drain`.
const CLOSES_PER_DRAIN: f64 = 4.0;

impl Balancer {
    /// Subscribes to the server list if that is due.
    pub(super) fn subscribe_if_due(&mut self) {
        let is_on_request = self.config.settings().membership == Membership::OnRequest;
        if is_on_request && self.subscription.subscribe_is_due(self.now, &self.config) {
            self.subscription.record_subscribe(self.now);
            self.actions.push(Action::Subscribe);
        }
    }

    pub(super) fn on_roster(&mut self, update: RosterUpdate) {
        match update {
            RosterUpdate::Failed => {
                let random = self.jitter.next_fraction();
                self.subscription.record_failure(self.now, random, &self.config);
            }
            RosterUpdate::Cached(entries) => self.apply_complete_list(entries),
            RosterUpdate::Complete(entries) => {
                self.subscription.record_update();
                self.apply_complete_list(entries);
            }
            RosterUpdate::Delta(entries) => {
                self.subscription.record_update();
                self.apply_entries(entries);
            }
        }
    }

    fn apply_complete_list(&mut self, entries: Vec<RosterEntry>) {
        self.servers.mark_unlisted_as_gone(&entries);
        self.apply_entries(entries);
    }

    fn apply_entries(&mut self, entries: Vec<RosterEntry>) {
        for entry in entries {
            let allowance = self.jitter.next_fraction();
            self.servers.apply_entry(entry, allowance, &self.config, self.now);
        }
        self.servers.refresh(&self.config, self.now);
        self.close_draining_connections();
        self.servers.remove_gone();
        self.dispatch_queued(usize::MAX);
    }

    /// Closes idle connections to draining servers (the `close_on_drain` rule). This happens at the drain
    /// notice, after each outcome and periodically while the server is listed, because a connection may
    /// become idle after its outcome: after a timeout it is still busy, and answers may be delivered in
    /// order.
    pub(super) fn close_draining_connections(&mut self) {
        let Some(within) = self.config.settings().guarantees.close_on_drain else { return };
        self.connections
            .schedule_drain_close(self.now + (within / CLOSES_PER_DRAIN).max(HOUSEKEEPING_INTERVAL));
        let draining = self.servers.iter().filter(|(_, server)| !server.is_ready());
        self.actions.extend(draining.map(|(id, _)| Action::CloseIdle(id.clone())));
    }
}
