//! The invariants that a schedule may violate.

use glenfall_control_plane::Millis;

/// An invariant that was violated, with the figures of the case. Versions are those of configuration documents; a
/// sequence number counts the committed changes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A process published an older change after a newer one.
    #[error("node {node} published change {seq} after change {before}")]
    PublishedOutOfOrder {
        /// The machine of the process.
        node: u8,
        /// The sequence number of the change that was published last.
        seq: u64,
        /// The sequence number of the change that was published before it.
        before: u64,
    },
    /// Two documents were committed under one sequence number.
    #[error("versions {first} and {second}, or two contents of one, were committed as change {seq}")]
    TwoCommitted {
        /// The sequence number.
        seq: u64,
        /// The version that was committed first.
        first: u64,
        /// The version that was committed second.
        second: u64,
    },
    /// A committed version is not above the one before it.
    #[error("change {seq} was committed as version {rev}, which is not above the one before")]
    VersionNotIncreased {
        /// The sequence number of the change.
        seq: u64,
        /// Its version.
        rev: u64,
    },
    /// A change was committed on top of a version other than the one that its request named.
    #[error("version {rev}, which builds on {builds_on}, was committed upon another")]
    WrongBaseVersion {
        /// The committed version.
        rev: u64,
        /// The version that the request named.
        builds_on: u64,
    },
    /// Two changes of one version were acknowledged.
    #[error("versions {first} and {second}, which both build on {builds_on}, were acknowledged")]
    TwoAcknowledged {
        /// The version that both build on.
        builds_on: u64,
        /// The version that was acknowledged first.
        first: u64,
        /// The version that was acknowledged second.
        second: u64,
    },
    /// Two requests with different contents were acknowledged as the same version.
    #[error("two orders of version {rev} with other contents were acknowledged")]
    TwoContentsOfOneVersion {
        /// The version.
        rev: u64,
    },
    /// An acknowledgement names a version other than the requested one.
    #[error("version {answered} was acknowledged to the order of version {ordered}")]
    WrongVersionAcknowledged {
        /// The version that was requested.
        ordered: u64,
        /// The version that was acknowledged.
        answered: u64,
    },
    /// A change was acknowledged before any node published it.
    #[error("version {rev} was acknowledged, and no node had published it by then")]
    AcknowledgedUncommitted {
        /// The version.
        rev: u64,
    },
    /// A document that is no valid configuration was committed.
    #[error("version {rev} was taken, which is no configuration")]
    InvalidCommitted {
        /// The version.
        rev: u64,
    },
    /// A committed change was rejected when its request was sent again.
    #[error("the order of version {rev} was taken, and refused when it was sent again")]
    CommittedThenRejected {
        /// The version.
        rev: u64,
    },
    /// A rejected change was committed later.
    #[error("the order of version {rev} was refused, and taken after that")]
    RejectedThenCommitted {
        /// The version.
        rev: u64,
    },
    /// A request was rejected for a conflict although the version that it builds on was the newest throughout the call.
    #[error("an order upon version {builds_on} was refused, while that was the newest")]
    FalseConflict {
        /// The version that the request builds on.
        builds_on: u64,
    },
    /// A rejection names a version older than one that was acknowledged before the call.
    #[error("a refusal named version {current} after version {acknowledged} was acknowledged")]
    StaleRejection {
        /// The version that the rejection names.
        current: u64,
        /// The newest version that was acknowledged before the call.
        acknowledged: u64,
    },
    /// A rejection names a version that was not committed.
    #[error("a refusal named version {current}, which was not in force by then")]
    UncommittedRejection {
        /// The version that the rejection names.
        current: u64,
    },
    /// A read returned a version older than one that was acknowledged before the call.
    #[error("a read gave version {read} after version {acknowledged} was acknowledged")]
    StaleRead {
        /// The version that was read.
        read: u64,
        /// The newest version that was acknowledged before the call.
        acknowledged: u64,
    },
    /// A read returned a version that was not committed.
    #[error("a read gave version {read}, which was not in force by then")]
    UncommittedRead {
        /// The version that was read.
        read: u64,
    },
    /// A session was handed a version older than one that was acknowledged before it opened.
    #[error("a session was handed version {given} after version {acknowledged} was acknowledged")]
    StaleSession {
        /// The version that the session was handed.
        given: u64,
        /// The newest version that was acknowledged before the session opened.
        acknowledged: u64,
    },
    /// A voter change that was accepted results in fewer voters than are needed.
    #[error("{voters} voters were promised to an operator, {needed} are needed")]
    TooFewVoters {
        /// The voters after the change.
        voters: usize,
        /// The voters that are needed.
        needed: usize,
    },
    /// A rejected voter change has no error text.
    #[error("a refusal says nothing")]
    EmptyRejection,
    /// No change was committed within this time, in milliseconds, after all faults had ended.
    #[error("no change went through in {0} ms after all was mended")]
    NoProgress(Millis),
    /// The voters are not all in one chain again after all faults had ended.
    #[error("not all are in one chain again")]
    NotReunited,
    /// A node panicked with this message.
    #[error("a node panicked: {0}")]
    Panic(String),
}

impl Violation {
    /// Whether the same invariant is violated, whatever the figures.
    pub fn is_same_kind(&self, other: &Violation) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}
