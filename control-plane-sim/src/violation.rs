//! The invariants that every run of a schedule has to keep.

use glenfall_control_plane::Millis;

/// A violated invariant, with the values observed. Versions are those of configuration documents; log indexes count
/// the committed changes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A process published an older change after a newer one.
    #[error("node {node} published change {seq} after change {published_before}")]
    PublishedOutOfOrder {
        /// The machine of the process.
        node: u8,
        /// The log index of the change that was published last.
        seq: u64,
        /// The log index of the change that was published before it.
        published_before: u64,
    },
    /// Two documents were committed under one log index.
    #[error(
        "two different documents were committed as change {seq}: version {first}, then version {second}"
    )]
    TwoCommitted {
        /// The log index of both.
        seq: u64,
        /// The version that was committed first.
        first: u64,
        /// The version that was committed second.
        second: u64,
    },
    /// A committed version is not higher than the one before it.
    #[error("change {seq} was committed as version {rev}, which is not higher than the version before it")]
    VersionNotIncreased {
        /// The log index of the change.
        seq: u64,
        /// Its version.
        rev: u64,
    },
    /// A change was committed on top of a version other than the one that its request named.
    #[error("version {rev} was requested on top of version {builds_on} but committed on top of another one")]
    WrongBaseVersion {
        /// The committed version.
        rev: u64,
        /// The version that the request named.
        builds_on: u64,
    },
    /// Two changes that build on the same version were acknowledged.
    #[error("versions {first} and {second}, which both build on version {builds_on}, were acknowledged")]
    TwoAcknowledged {
        /// The version that both build on.
        builds_on: u64,
        /// The version that was acknowledged first.
        first: u64,
        /// The version that was acknowledged second.
        second: u64,
    },
    /// Two requests with different contents were acknowledged as the same version.
    #[error("two requests with different contents were acknowledged as version {rev}")]
    TwoContentsOfOneVersion {
        /// The version.
        rev: u64,
    },
    /// An acknowledgement names a version other than the requested one.
    #[error("the request of version {requested_rev} was acknowledged as version {acknowledged_rev}")]
    WrongVersionAcknowledged {
        /// The version that was requested.
        requested_rev: u64,
        /// The version that was acknowledged.
        acknowledged_rev: u64,
    },
    /// A change was acknowledged before any node published it.
    #[error("version {rev} was acknowledged before any node published it")]
    AcknowledgedUncommitted {
        /// The version.
        rev: u64,
    },
    /// A document that is not a valid configuration was committed.
    #[error("version {rev} was committed although its document is not a valid configuration")]
    InvalidCommitted {
        /// The version.
        rev: u64,
    },
    /// A committed change was rejected when its request was sent again.
    #[error("the request of version {rev} was committed, and rejected when it was sent again")]
    CommittedThenRejected {
        /// The version.
        rev: u64,
    },
    /// A rejected change was committed later.
    #[error("the request of version {rev} was rejected, and committed later")]
    RejectedThenCommitted {
        /// The version.
        rev: u64,
    },
    /// A request was rejected for a conflict although the version that it builds on was the newest throughout the call.
    #[error("a request was rejected for a conflict although version {builds_on}, which it builds on, was the newest")]
    FalseConflict {
        /// The version that the request builds on.
        builds_on: u64,
    },
    /// A rejection names a version older than one that was acknowledged before the call.
    #[error("a rejection named version {current} after version {acknowledged} was acknowledged")]
    StaleRejection {
        /// The version that the rejection names.
        current: u64,
        /// The newest version that was acknowledged before the call.
        acknowledged: u64,
    },
    /// A rejection names a version that was not committed.
    #[error("a rejection named version {current}, which was not committed")]
    UncommittedRejection {
        /// The version that the rejection names.
        current: u64,
    },
    /// A read returned a version older than one that was acknowledged before the call.
    #[error("a read returned version {read} after version {acknowledged} was acknowledged")]
    StaleRead {
        /// The version that was read.
        read: u64,
        /// The newest version that was acknowledged before the call.
        acknowledged: u64,
    },
    /// A read returned a version that was not committed.
    #[error("a read returned version {read}, which was not committed")]
    UncommittedRead {
        /// The version that was read.
        read: u64,
    },
    /// A session received a version older than one that was acknowledged before the session opened.
    #[error("a session received version {served_rev}, but version {acknowledged} was acknowledged before it opened")]
    StaleSession {
        /// The version that the session received.
        served_rev: u64,
        /// The newest version that was acknowledged before the session opened.
        acknowledged: u64,
    },
    /// An accepted voter change results in fewer voters than are needed to tolerate the losses.
    #[error("an accepted voter change results in {voters} voters, at least {needed} are needed")]
    TooFewVoters {
        /// The number of voters after the change.
        voters: usize,
        /// The minimum number of voters.
        needed: usize,
    },
    /// A rejected voter change has no error text.
    #[error("a voter change was rejected with an empty error text")]
    RejectionWithoutReason,
    /// No change was committed within this time, in milliseconds, after all faults had ended.
    #[error("no change was committed within {0} ms after all faults had ended")]
    NoProgress(Millis),
    /// The nodes did not all return to one view, with all voters in its chain, after all faults had ended.
    #[error("the nodes did not return to one view with all voters after all faults had ended")]
    NotInOneView,
    /// A node panicked with this message.
    #[error("a node panicked: {0}")]
    Panic(String),
}

impl Violation {
    /// Whether both violate the same invariant, regardless of the values.
    pub fn is_same_kind(&self, other: &Violation) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}
