//! A simulated disk: one write is in progress at a time. Of the states that are queued meanwhile only the newest is
//! written next, and after a crash a write is either complete or without effect.

use std::collections::VecDeque;
use std::ops::Range;

use glenfall_control_plane::chain::HardState;
use glenfall_control_plane::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How long a disk that reports syncs too early withholds what it has reported as written.
const WITHHOLD_DURATION: Millis = 500;
/// How long a sync takes unless a test changes it.
const SYNC_DURATION: Range<Millis> = 1..20;

/// A write that is in progress.
struct Write {
    done_at: Millis,
    number: u64,
    state: HardState,
}

/// A write that waits for the one in progress.
struct QueuedWrite {
    number: u64,
    state: HardState,
}

/// A state that a disk has reported as written too early.
struct WithheldState {
    durable_at: Millis,
    state: HardState,
}

/// The disk of one machine.
pub struct Disk {
    /// The state that has reached it.
    pub durable: Option<HardState>,
    writing: Option<Write>,
    queued: Option<QueuedWrite>,
    withheld: VecDeque<WithheldState>,
    stalled_until: Millis,
    /// How long a sync takes: each duration is drawn from this range.
    pub sync_duration: Range<Millis>,
}

impl Disk {
    pub(crate) fn new() -> Disk {
        Disk {
            durable: None,
            writing: None,
            queued: None,
            withheld: VecDeque::new(),
            stalled_until: 0,
            sync_duration: SYNC_DURATION,
        }
    }

    /// Returns all states that the disk holds or is to hold.
    pub(crate) fn states(&self) -> impl Iterator<Item = &HardState> {
        let writing = self.writing.as_ref().map(|write| &write.state);
        let queued = self.queued.as_ref().map(|write| &write.state);
        self.durable.iter().chain(writing).chain(queued)
    }

    /// Writes a state, once the write in progress is complete.
    pub(crate) fn write(&mut self, now: Millis, number: u64, state: HardState, rng: &mut ChaCha8Rng) {
        self.queued = Some(QueuedWrite { number, state });
        self.begin_write(now, rng);
    }

    fn begin_write(&mut self, now: Millis, rng: &mut ChaCha8Rng) {
        if self.writing.is_some() {
            return;
        }
        if let Some(QueuedWrite { number, state }) = self.queued.take() {
            let duration = rng.random_range(self.sync_duration.clone());
            let done_at = (now + duration).max(self.stalled_until);
            self.writing = Some(Write { done_at, number, state });
        }
    }

    /// Returns the number of a write that is complete by now. With `withholds`, its state is not durable yet.
    pub(crate) fn take_synced(&mut self, now: Millis, withholds: bool, rng: &mut ChaCha8Rng) -> Option<u64> {
        let Write { number, state, .. } = self.writing.take_if(|write| write.done_at <= now)?;
        if withholds {
            self.withheld.push_back(WithheldState { durable_at: now + WITHHOLD_DURATION, state });
        } else {
            self.durable = Some(state);
        }
        self.begin_write(now, rng);
        Some(number)
    }

    /// Makes durable what was withheld for long enough.
    pub(crate) fn release_withheld(&mut self, now: Millis) {
        while let Some(withheld) = self.withheld.pop_front_if(|withheld| withheld.durable_at <= now) {
            self.durable = Some(withheld.state);
        }
    }

    /// Delays the completion of the write in progress, and of those that begin meanwhile, until then.
    pub(crate) fn stall(&mut self, until: Millis) {
        self.stalled_until = until;
        if let Some(write) = &mut self.writing {
            write.done_at = write.done_at.max(until);
        }
    }

    pub(crate) fn end_stall(&mut self) {
        self.stalled_until = 0;
    }

    /// Ends the process that writes, while the disk goes on.
    pub(crate) fn process_ended(&mut self, rng: &mut ChaCha8Rng) {
        if let Some(newest) = self.withheld.pop_back() {
            self.durable = Some(newest.state);
            self.withheld.clear();
        }
        self.crash(rng);
    }

    /// Takes the power, and with it what was withheld.
    pub(crate) fn power_off(&mut self, rng: &mut ChaCha8Rng) {
        self.crash(rng);
        self.withheld.clear();
    }

    /// The write in progress is either complete or without effect.
    fn crash(&mut self, rng: &mut ChaCha8Rng) {
        self.queued = None;
        if let Some(write) = self.writing.take().filter(|_| rng.random()) {
            self.durable = Some(write.state);
        }
    }
}
