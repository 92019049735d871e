//! A simulated disk with one write in progress at a time. Of the states that are queued during a write only the newest
//! is written. Writes are atomic: after a crash a write is either complete or has no effect.

use std::collections::VecDeque;
use std::ops::Range;

use glenfall_control_plane::chain::HardState;
use glenfall_control_plane::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How long after the report of a sync the state becomes durable, on a disk that reports syncs too early.
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

/// A state that the disk has reported as written although it is not durable yet.
struct WithheldState {
    durable_at: Millis,
    state: HardState,
}

/// The disk of one machine.
pub struct Disk {
    /// The state that survives a crash; `None` before the first write, and after a wipe.
    pub durable: Option<HardState>,
    writing: Option<Write>,
    queued: Option<QueuedWrite>,
    withheld: VecDeque<WithheldState>,
    stalled_until: Millis,
    /// The range from which the duration of each sync is drawn, in milliseconds.
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

    /// Returns the durable state, the one being written, and the queued one.
    pub(crate) fn states(&self) -> impl Iterator<Item = &HardState> {
        let writing = self.writing.as_ref().map(|write| &write.state);
        let queued = self.queued.as_ref().map(|write| &write.state);
        self.durable.iter().chain(writing).chain(queued)
    }

    /// Queues a state to be written once the write in progress is complete. Replaces a state that is still queued.
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

    /// Returns the number of the write in progress if it is complete by now. With `reports_early`, its state becomes
    /// durable only after [`WITHHOLD_DURATION`].
    pub(crate) fn take_synced(
        &mut self,
        now: Millis,
        reports_early: bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<u64> {
        let Write { number, state, .. } = self.writing.take_if(|write| write.done_at <= now)?;
        if reports_early {
            self.withheld.push_back(WithheldState { durable_at: now + WITHHOLD_DURATION, state });
        } else {
            self.durable = Some(state);
        }
        self.begin_write(now, rng);
        Some(number)
    }

    /// Makes the states durable that have been withheld for [`WITHHOLD_DURATION`].
    pub(crate) fn release_withheld(&mut self, now: Millis) {
        while let Some(withheld) = self.withheld.pop_front_if(|withheld| withheld.durable_at <= now) {
            self.durable = Some(withheld.state);
        }
    }

    /// Delays the completion of the write in progress, and of writes that begin before `until`, until that time.
    pub(crate) fn stall(&mut self, until: Millis) {
        self.stalled_until = until;
        if let Some(write) = &mut self.writing {
            write.done_at = write.done_at.max(until);
        }
    }

    pub(crate) fn end_stall(&mut self) {
        self.stalled_until = 0;
    }

    /// Ends the process that writes. The disk keeps its power, so a withheld state becomes durable.
    pub(crate) fn process_ended(&mut self, rng: &mut ChaCha8Rng) {
        if let Some(newest) = self.withheld.pop_back() {
            self.durable = Some(newest.state);
            self.withheld.clear();
        }
        self.crash(rng);
    }

    /// Cuts the power: withheld states are lost.
    pub(crate) fn power_off(&mut self, rng: &mut ChaCha8Rng) {
        self.crash(rng);
        self.withheld.clear();
    }

    /// Drops the queued write; the write in progress either completes or has no effect, at random.
    fn crash(&mut self, rng: &mut ChaCha8Rng) {
        self.queued = None;
        if let Some(write) = self.writing.take().filter(|_| rng.random()) {
            self.durable = Some(write.state);
        }
    }
}
