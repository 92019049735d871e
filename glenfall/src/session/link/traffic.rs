//! Counts the messages and bytes that this process has sent and received on links since its start.
//!
//! One thread updates the counters. They are only reported in `status`, so that relaxed ordering is enough.

use std::sync::atomic::{AtomicU64, Ordering};

use glenfall_control_plane::invariant;

pub(super) static SENT_TRAFFIC: Traffic = Traffic::new();
pub(super) static RECEIVED_TRAFFIC: Traffic = Traffic::new();

/// The traffic in one direction.
pub(super) struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    const fn new() -> Self {
        Traffic { messages: AtomicU64::new(0), bytes: AtomicU64::new(0) }
    }

    pub(super) fn add(&self, messages: u64, bytes: usize) {
        self.messages.fetch_add(messages, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// The counters of the traffic on all links of this process since its start, with their names in `status`.
pub fn traffic() -> [(&'static str, u64); 4] {
    [
        ("messages_said", &SENT_TRAFFIC.messages),
        ("message_bytes_said", &SENT_TRAFFIC.bytes),
        ("messages_heard", &RECEIVED_TRAFFIC.messages),
        ("message_bytes_heard", &RECEIVED_TRAFFIC.bytes),
    ]
    .map(|(name, count)| (name, count.load(Ordering::Relaxed)))
}

/// Counters of this process for `status`, with a prefix to each name: its traffic, and the invariants broken in it.
pub fn report(prefix: &str) -> Vec<(String, u64)> {
    let traffic = traffic().into_iter().map(|(name, count)| (name.to_owned(), count));
    traffic.chain(invariant::report()).map(|(name, count)| (format!("{prefix}{name}"), count)).collect()
}
