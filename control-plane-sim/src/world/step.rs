//! Steps of time: in each step, every running node handles the inputs that have arrived by then.

use glenfall_control_plane::chain::Chain;
use glenfall_control_plane::Millis;
use rand::Rng;

use super::{NewestView, World};
use crate::cluster::node;
use crate::injected_bug::InjectedBug;
use crate::machine::Machine;
use crate::network::Endpoint;
use crate::violation::Violation;

/// The simulated time that a step takes, in milliseconds.
pub const STEP_INTERVAL: Millis = 10;
/// How often a process ticks its state machine; the production process does so every 25 ms.
const CHAIN_TICK_INTERVAL: Millis = 2 * STEP_INTERVAL;

impl World {
    /// Advances the time by [`STEP_INTERVAL`], and handles all actions and inputs that are due by then.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that was violated so far.
    pub fn step(&mut self) -> Result<(), Violation> {
        self.now += STEP_INTERVAL;
        let now = self.now;
        while let Some(due) = self.pending_actions.iter().position(|pending| pending.due_at <= now) {
            let pending = self.pending_actions.remove(due);
            self.perform(&pending.action);
        }
        let endpoints: Vec<Endpoint> = self.machines.iter().map(|machine| machine.endpoint(now)).collect();
        self.network.tick(now, &endpoints);
        for number in self.nodes() {
            if !self.is_paused(number) && self.chain(number).is_some() {
                self.run_node(number);
            }
        }
        self.retry_requests();
        self.check()
    }

    fn run_node(&mut self, number: u8) {
        self.finish_writes(number);
        self.read_for_sessions(number);
        // Simultaneous inputs are handled in random order.
        let calls_first = !self.machine(number).queued_calls.is_empty() && self.machine(number).rng.random();
        if calls_first {
            self.handle_queued_calls(number);
        }
        let notifications_first = self.network.has_notification(number) && self.machine(number).rng.random();
        if notifications_first {
            self.handle_notifications(number);
        }
        self.handle_messages(number);
        self.handle_notifications(number);
        self.handle_queued_calls(number);
        if self.now.is_multiple_of(CHAIN_TICK_INTERVAL) {
            self.with_chain(number, glenfall_control_plane::chain::Chain::tick);
        }
        self.record_view(number);
    }

    /// Handles the calls that arrived while the process was paused.
    fn handle_queued_calls(&mut self, number: u8) {
        for queued in std::mem::take(&mut self.machine(number).queued_calls) {
            self.with_chain(number, |chain, now| chain.call(now, queued.number, queued.call));
        }
    }

    fn handle_messages(&mut self, number: u8) {
        for from in self.peers(number) {
            while let Some(message) = self.network.receive(self.now, from, number) {
                self.with_chain(number, |chain, now| chain.message_received(now, node(from), message));
            }
        }
    }

    /// Handles the notifications that links are up or lost.
    fn handle_notifications(&mut self, number: u8) {
        while let Some(notification) = self.network.next_notification(self.now, number) {
            let peer = node(notification.peer);
            self.with_chain(number, |chain, now| match notification.up {
                true => chain.peer_connected(now, peer),
                false => chain.peer_disconnected(now, peer),
            });
        }
    }

    fn finish_writes(&mut self, number: u8) {
        let (now, reports_early) = (self.now, self.injected_bug == Some(InjectedBug::EarlySyncReport));
        let take_synced =
            |machine: &mut Machine| machine.disk.take_synced(now, reports_early, &mut machine.rng);
        while let Some(write) = take_synced(self.machine(number)) {
            self.with_chain(number, |chain, now| chain.write_completed(now, write));
        }
        self.machine(number).disk.release_withheld(now);
    }

    fn record_view(&mut self, number: u8) {
        let Some(view) = self.chain(number).and_then(Chain::view) else { return };
        if view.number <= self.newest_view.number {
            return;
        }
        let newest = NewestView { number: view.number, members: view.members.clone() };
        self.coverage.views += 1;
        self.coverage.member_changes += u64::from(newest.members != self.newest_view.members);
        self.newest_view = newest;
    }
}
