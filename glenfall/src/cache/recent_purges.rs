//! The purges that a process has received recently. A response is checked against those that it may be older than: the
//! ones received after its fetch began.
//!
//! The comparison is one of order, so that it holds however long a fetch takes. Purges that were evicted to bound the
//! memory count as covering everything that was fetched before them.

use std::collections::VecDeque;
use std::time::Duration;

use glenfall_control_plane::messages::{AgedPurge, Purge};
use glenfall_control_plane::purge_history::MAX_PURGES;
use tokio::time::Instant;

use super::object_key::ObjectKey;

/// A purge also covers responses whose request was sent up to this long after it. The age of a purge does not include
/// the transit time of its message, so that the order of purge and request is not known more precisely.
const PURGE_ORDER_TOLERANCE: Duration = Duration::from_secs(1);
/// Maximum number of purges that are kept: as many as a session receives when it begins.
pub const MAX_RECENT_PURGES: usize = MAX_PURGES;
/// Maximum total size of the hosts, paths and labels that are kept.
const MAX_RECENT_PURGE_BYTES: usize = 1 << 20;

/// The latest time at which a purge may have been accepted by control; `None` if that was before any time that an
/// `Instant` can represent. A response covered by the purge is outdated if its request was sent by then.
pub(super) fn latest_acceptance(purge: &AgedPurge, received: Instant) -> Option<Instant> {
    received.checked_sub(Duration::from_millis(purge.age_ms).saturating_sub(PURGE_ORDER_TOLERANCE))
}

/// A position in the sequence of purges that this process has received: the number of purges before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurgePosition(u64);

/// When a fetch of this process began: by the clock, and by its position in the sequence of received purges.
#[derive(Clone, Copy, Debug)]
pub struct FetchStart {
    /// The time at which it began.
    pub at: Instant,
    position: PurgePosition,
}

/// What a purge is compared with: the key and the labels of a response.
#[derive(Clone, Copy, Debug)]
pub struct PurgeTarget<'a, Label> {
    /// The object of the response.
    pub object: &'a ObjectKey,
    /// The labels of the response.
    pub labels: &'a [Label],
}

impl<Label: AsRef<str>> PurgeTarget<'_, Label> {
    fn is_covered_by(&self, purge: &Purge) -> bool {
        match purge {
            Purge::Everything => true,
            Purge::Label(label) => self.labels.iter().any(|own| own.as_ref() == label),
            Purge::Object { hostname, path } => self.object.matches_location(hostname, path),
        }
    }
}

struct ReceivedPurge {
    position: PurgePosition,
    accepted_by: Instant,
    purge: Purge,
}

/// The purges that a process has received recently, in the order of arrival.
#[derive(Default)]
pub struct RecentPurges {
    purges: VecDeque<ReceivedPurge>,
    received_count: u64,
    /// Total size of the texts of `purges`.
    text_bytes: usize,
    /// The latest acceptance time among the evicted purges.
    evicted_accepted_by: Option<Instant>,
}

impl RecentPurges {
    /// Records a purge that was received now. Returns the latest time at which it may have been accepted; `None` if it is
    /// older than any response.
    pub fn record(&mut self, aged: &AgedPurge) -> Option<Instant> {
        let position = self.position();
        let accepted_by = latest_acceptance(aged, Instant::now())?;
        self.received_count += 1;
        self.text_bytes += aged.purge.text_bytes();
        self.purges.push_back(ReceivedPurge { position, accepted_by, purge: aged.purge.clone() });
        while self.purges.len() > MAX_RECENT_PURGES || self.text_bytes > MAX_RECENT_PURGE_BYTES {
            self.evict_oldest();
        }
        Some(accepted_by)
    }

    fn evict_oldest(&mut self) {
        if let Some(oldest) = self.purges.pop_front() {
            self.text_bytes -= oldest.purge.text_bytes();
            self.evicted_accepted_by = self.evicted_accepted_by.max(Some(oldest.accepted_by));
        }
    }

    /// The position of the next purge: all purges that were received so far come before it.
    pub fn position(&self) -> PurgePosition {
        PurgePosition(self.received_count)
    }

    /// The start of a fetch that begins now.
    pub fn fetch_start(&self) -> FetchStart {
        FetchStart { at: Instant::now(), position: self.position() }
    }

    /// Whether a response may be outdated by a purge that was received between the start of its fetch and `end`.
    pub fn cover_fetch<Label: AsRef<str>>(
        &self,
        target: PurgeTarget<'_, Label>,
        start: FetchStart,
        end: PurgePosition,
    ) -> bool {
        let oldest_kept = self.purges.front().map_or(self.position(), |oldest| oldest.position);
        // Evicted purges that were received within the span may have covered it.
        if start.position < oldest_kept.min(end) && self.may_be_evicted(start.at) {
            return true;
        }
        let within_span = self.purges.iter().rev().skip_while(|received| received.position >= end);
        within_span
            .take_while(|received| received.position >= start.position)
            .any(|received| received.accepted_by >= start.at && target.is_covered_by(&received.purge))
    }

    /// Whether a response that was fetched at `fetched_at` may be outdated by any purge that was received so far.
    pub fn cover_fetched_at<Label: AsRef<str>>(
        &self,
        target: PurgeTarget<'_, Label>,
        fetched_at: Instant,
    ) -> bool {
        self.may_be_evicted(fetched_at) || self.newest_cover_fetched_at(target, fetched_at, self.purges.len())
    }

    /// As [`cover_fetched_at`](Self::cover_fetched_at), but by the `count` newest purges only.
    pub fn newest_cover_fetched_at<Label: AsRef<str>>(
        &self,
        target: PurgeTarget<'_, Label>,
        fetched_at: Instant,
        count: usize,
    ) -> bool {
        let newest = self.purges.iter().rev().take(count);
        newest
            .filter(|received| received.accepted_by >= fetched_at)
            .any(|received| target.is_covered_by(&received.purge))
    }

    /// Whether a purge that was accepted at `since` or later may have been evicted.
    fn may_be_evicted(&self, since: Instant) -> bool {
        self.evicted_accepted_by.is_some_and(|accepted_by| accepted_by >= since)
    }

    /// The number of purges that are kept.
    pub fn len(&self) -> usize {
        self.purges.len()
    }

    /// Whether no purge is kept.
    pub fn is_empty(&self) -> bool {
        self.purges.is_empty()
    }
}
