//! Fault injection: crashes, losses of power and disks, partitions, pauses, and disks that stall.

use glenfall_control_plane::chain::{Chain, Start};
use glenfall_control_plane::Millis;

use crate::cluster::{node, seeds};
use crate::machine::Machine;
use crate::world::World;

/// What the simulated machines do wrong on purpose, to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A sync is reported as done at once; the state reaches the disk half a second later.
    LyingDisk,
    /// A machine that lost its disk takes that for a first start, and votes.
    FreshAfterWipe,
    /// A session is handed what its node knows at once, without a quorum read.
    UnprovenSession,
}

impl World {
    /// A machine counts as lost until then, and for a time after that.
    fn note_fault(&mut self, n: u8, until: Millis) {
        let machine = self.machine(n);
        machine.faulty_until = machine.faulty_until.max(until);
    }

    // ---- Network ----

    /// A connection is reset, with what is under way on it.
    pub fn reset_link(&mut self, a: u8, b: u8) {
        self.network.reset(self.now, a, b);
    }

    /// Two machines hear nothing of each other for so long.
    pub fn partition(&mut self, a: u8, b: u8, lasts: Millis) {
        let now = self.now;
        self.note_fault(a, now + lasts);
        self.note_fault(b, now + lasts);
        self.network.partition(now, a, b, lasts);
    }

    /// A machine hears nothing of any other, and no other hears of it.
    pub fn isolate(&mut self, n: u8, lasts: Millis) {
        for other in self.others(n) {
            self.partition(n, other, lasts);
        }
    }

    /// Nothing of one machine arrives at another for so long; the other direction works.
    pub fn partition_one_way(&mut self, from: u8, to: u8, lasts: Millis) {
        let now = self.now;
        self.note_fault(from, now + lasts);
        self.note_fault(to, now + lasts);
        self.network.silence(now, from, to, lasts);
    }

    /// What one machine sends to another within this time takes so much longer. No machine counts as lost for it.
    pub fn delay(&mut self, from: u8, to: u8, by: Millis, lasts: Millis) {
        self.network.delay(from, to, by, self.now + lasts);
    }

    // ---- Machines ----

    /// The process does nothing for so long.
    pub fn pause(&mut self, n: u8, lasts: Millis) {
        let now = self.now;
        self.note_fault(n, now + lasts);
        let machine = self.machine(n);
        if !machine.is_paused(now) {
            machine.paused_since = now;
        }
        machine.paused_until = now + lasts;
    }

    /// No write that is under way, or begins in this time, is done before its end.
    pub fn stall_disk(&mut self, n: u8, lasts: Millis) {
        let until = self.now + lasts;
        self.note_fault(n, until);
        self.machine(n).disk.stall(until);
    }

    /// The process dies; what it sent is still on its way, and the operating system ends its connections.
    pub fn kill(&mut self, n: u8) {
        self.network.kill(self.now, n);
        let Machine { disk, rng, .. } = self.machine(n);
        disk.process_ends(rng);
        self.machine(n).stop();
    }

    /// Power goes: what is not on disk is lost. The disk may go with it. No peer is notified.
    pub fn power_off(&mut self, n: u8, wipe: bool) {
        let now = self.now;
        self.network.power_off(now, n);
        let Machine { disk, rng, .. } = self.machine(n);
        disk.power_off(rng);
        let machine = self.machine(n);
        machine.stop();
        if wipe {
            machine.disk.durable = None;
            (machine.wiped, machine.wiped_at) = (true, Some(now));
        }
    }

    /// A machine whose process does not run starts, from what is on its disk.
    pub fn power_on(&mut self, n: u8) {
        let (now, terms) = (self.now, self.terms);
        let forgets = self.fault == Some(Fault::FreshAfterWipe);
        let machine = self.machine(n);
        if machine.chain.is_some() || machine.gone {
            return;
        }
        let start = match machine.disk.durable.clone() {
            Some(kept) => Start::Kept(kept),
            None if machine.wiped && !forgets => Start::Wiped,
            // It died before its first write: it has promised nothing.
            None => Start::Fresh(seeds()),
        };
        machine.chain = Some(Chain::new(node(n), terms, start));
        machine.paused_until = 0;
        machine.first_started.get_or_insert(now);
        machine.faulty_until = machine.faulty_until.max(now);
        self.network.start(now, n);
    }

    /// A machine is lost for good, with its disk.
    pub fn remove(&mut self, n: u8) {
        let now = self.now;
        self.power_off(n, true);
        let machine = self.machine(n);
        (machine.gone, machine.removed_at) = (true, now);
    }

    /// A machine loses its disk, and starts again at once.
    pub fn wipe(&mut self, n: u8) {
        self.power_off(n, true);
        self.power_on(n);
    }

    /// All faults end.
    pub fn settle(&mut self) {
        self.on_acknowledged.clear();
        self.pending_actions.clear();
        self.network.heal(self.now);
        for n in self.nodes() {
            self.machine(n).gone = false;
            self.power_on(n);
            let machine = self.machine(n);
            machine.paused_until = 0;
            machine.disk.end_stall();
        }
    }
}
