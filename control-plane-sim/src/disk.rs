//! A simulated disk: one write is under way at a time, of what comes meanwhile the newest is written next, and a crash
//! leaves a write done or not.

use std::collections::VecDeque;

use glenfall_control_plane::chain::HardState;
use glenfall_control_plane::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How long a disk that lies about its syncs withholds what it said it had written.
const WITHHELD: Millis = 500;

/// A write that is under way.
struct Write {
    done_at: Millis,
    number: u64,
    state: HardState,
}

/// The disk of one machine.
pub struct Disk {
    /// What has reached it.
    pub durable: Option<HardState>,
    writing: Option<Write>,
    queued: Option<(u64, HardState)>,
    /// What a disk that lies about its syncs has said it had written, and when it is there.
    withheld: VecDeque<(Millis, HardState)>,
    stalled_until: Millis,
    /// How long a sync takes, drawn from below the second.
    pub sync_takes: (Millis, Millis),
}

impl Disk {
    pub(crate) fn new() -> Disk {
        Disk {
            durable: None,
            writing: None,
            queued: None,
            withheld: VecDeque::new(),
            stalled_until: 0,
            sync_takes: (1, 20),
        }
    }

    /// All states that it holds or is to hold.
    pub(crate) fn states(&self) -> impl Iterator<Item = &HardState> {
        let writing = self.writing.as_ref().map(|write| &write.state);
        let queued = self.queued.as_ref().map(|(_, state)| state);
        self.durable.iter().chain(writing).chain(queued)
    }

    /// Writes a state, once what is under way is there.
    pub(crate) fn write(&mut self, now: Millis, number: u64, state: HardState, rng: &mut ChaCha8Rng) {
        self.queued = Some((number, state));
        self.begin_write(now, rng);
    }

    fn begin_write(&mut self, now: Millis, rng: &mut ChaCha8Rng) {
        if self.writing.is_some() {
            return;
        }
        if let Some((number, state)) = self.queued.take() {
            let takes = rng.random_range(self.sync_takes.0..self.sync_takes.1);
            let done_at = (now + takes).max(self.stalled_until);
            self.writing = Some(Write { done_at, number, state });
        }
    }

    /// The number of a write that is done by now; with `lies`, its state is withheld.
    pub(crate) fn synced(&mut self, now: Millis, lies: bool, rng: &mut ChaCha8Rng) -> Option<u64> {
        let Write { number, state, .. } = self.writing.take_if(|write| write.done_at <= now)?;
        match lies {
            true => self.withheld.push_back((now + WITHHELD, state)),
            false => self.durable = Some(state),
        }
        self.begin_write(now, rng);
        Some(number)
    }

    /// What was withheld for long enough reaches the disk.
    pub(crate) fn release_withheld(&mut self, now: Millis) {
        while let Some((_, state)) = self.withheld.pop_front_if(|(at, _)| *at <= now) {
            self.durable = Some(state);
        }
    }

    /// No write that is under way, or begins before then, is done earlier.
    pub(crate) fn stall(&mut self, until: Millis) {
        self.stalled_until = until;
        if let Some(write) = &mut self.writing {
            write.done_at = write.done_at.max(until);
        }
    }

    pub(crate) fn end_stall(&mut self) {
        self.stalled_until = 0;
    }

    /// The process ends, and the disk goes on.
    pub(crate) fn process_ends(&mut self, rng: &mut ChaCha8Rng) {
        if let Some((_, state)) = self.withheld.pop_back() {
            self.durable = Some(state);
            self.withheld.clear();
        }
        self.crash(rng);
    }

    /// Power goes, and what was withheld with it.
    pub(crate) fn power_off(&mut self, rng: &mut ChaCha8Rng) {
        self.crash(rng);
        self.withheld.clear();
    }

    /// What was being written is there, or is not.
    fn crash(&mut self, rng: &mut ChaCha8Rng) {
        self.queued = None;
        if let Some(write) = self.writing.take().filter(|_| rng.random()) {
            self.durable = Some(write.state);
        }
    }
}
