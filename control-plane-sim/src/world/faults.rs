//! Fault injection: killed processes, lost power and disks, partitions, pauses, and stalled disks.

use glenfall_control_plane::chain::{Chain, Start};
use glenfall_control_plane::Millis;

use super::World;
use crate::cluster::{node, seeds};
use crate::injected_bug::InjectedBug;
use crate::machine::Machine;

impl World {
    /// Records a fault: the machine counts as lost until the fault ends, and for `SYNC_TIME` after that.
    fn record_fault(&mut self, number: u8, until: Millis) {
        let machine = self.machine(number);
        machine.faulty_until = machine.faulty_until.max(until);
    }

    // ---- Network ----

    /// Resets the connection between two machines; the messages in flight on it are lost.
    pub fn reset_link(&mut self, a: u8, b: u8) {
        self.network.reset(self.now, a, b);
    }

    /// Partitions two machines in both directions for `duration`.
    pub fn partition(&mut self, a: u8, b: u8, duration: Millis) {
        let now = self.now;
        self.record_fault(a, now + duration);
        self.record_fault(b, now + duration);
        self.network.partition(now, a, b, duration);
    }

    /// Partitions a machine from all others, in both directions.
    pub fn isolate(&mut self, number: u8, duration: Millis) {
        for peer in self.peers(number) {
            self.partition(number, peer, duration);
        }
    }

    /// Blocks everything that one machine sends to another for `duration`; the opposite direction still works.
    pub fn partition_one_way(&mut self, from: u8, to: u8, duration: Millis) {
        let now = self.now;
        self.record_fault(from, now + duration);
        self.record_fault(to, now + duration);
        self.network.block(now, from, to, duration);
    }

    /// Adds `extra_delay` to each message that one machine sends to another within `duration`. Neither machine counts
    /// as lost for this.
    pub fn delay(&mut self, from: u8, to: u8, extra_delay: Millis, duration: Millis) {
        self.network.delay(from, to, extra_delay, self.now + duration);
    }

    // ---- Machines ----

    /// Pauses a process for `duration`.
    pub fn pause(&mut self, number: u8, duration: Millis) {
        let now = self.now;
        self.record_fault(number, now + duration);
        let machine = self.machine(number);
        if !machine.is_paused(now) {
            machine.paused_since = now;
        }
        machine.paused_until = now + duration;
    }

    /// Stalls a disk: writes that are in progress or begin within `duration` do not complete before its end.
    pub fn stall_disk(&mut self, number: u8, duration: Millis) {
        let until = self.now + duration;
        self.record_fault(number, until);
        self.machine(number).disk.stall(until);
    }

    /// Kills a process. Messages that it has sent still arrive, and the operating system closes its connections.
    pub fn kill(&mut self, number: u8) {
        self.network.kill(self.now, number);
        let Machine { disk, rng, .. } = self.machine(number);
        disk.process_ended(rng);
        self.machine(number).stop();
    }

    /// Cuts the power of a machine: all state that is not on disk is lost, and with `wipe` the disk too. Its peers are
    /// not notified and detect the loss by their read timeouts.
    pub fn power_off(&mut self, number: u8, wipe: bool) {
        let now = self.now;
        self.network.power_off(now, number);
        let Machine { disk, rng, .. } = self.machine(number);
        disk.power_off(rng);
        let machine = self.machine(number);
        machine.stop();
        if wipe {
            machine.disk.durable = None;
            machine.wiped = true;
            machine.wiped_at = Some(now);
        }
    }

    /// Starts a machine from the state on its disk, unless its process runs or the machine was removed.
    pub fn power_on(&mut self, number: u8) {
        let (now, settings) = (self.now, self.settings);
        let ignores_wipe = self.injected_bug == Some(InjectedBug::FreshAfterWipe);
        let machine = self.machine(number);
        if machine.chain.is_some() || machine.removed {
            return;
        }
        let start = match machine.disk.durable.clone() {
            Some(state) => Start::Recovered(state),
            None if machine.wiped && !ignores_wipe => Start::Wiped,
            // The process ended before its first write was durable, so the node has not promised anything.
            None => Start::Fresh(seeds()),
        };
        machine.chain = Some(Chain::new(node(number), settings, start));
        machine.paused_until = 0;
        machine.first_started_at.get_or_insert(now);
        machine.faulty_until = machine.faulty_until.max(now);
        self.network.start(now, number);
    }

    /// Removes a machine and its disk permanently.
    pub fn remove(&mut self, number: u8) {
        let now = self.now;
        self.power_off(number, true);
        let machine = self.machine(number);
        machine.removed = true;
        machine.removed_at = now;
    }

    /// Cuts the power of a machine and wipes its disk; the machine restarts at once.
    pub fn wipe(&mut self, number: u8) {
        self.power_off(number, true);
        self.power_on(number);
    }

    /// Ends all faults, cancels pending actions, and starts all machines that do not run. Removed ones come back empty.
    pub fn end_faults(&mut self) {
        self.on_acknowledged.clear();
        self.pending_actions.clear();
        self.network.heal(self.now);
        for number in self.nodes() {
            self.machine(number).removed = false;
            self.power_on(number);
            let machine = self.machine(number);
            machine.paused_until = 0;
            machine.disk.end_stall();
        }
    }
}
