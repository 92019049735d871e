//! The invariants that a schedule may break.

use glenfall_control_plane::Millis;

/// An invariant that was broken, with the figures of the case.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    #[error("node {node} published change {seq} after change {before}")]
    WentBack { node: u8, seq: u64, before: u64 },
    #[error("versions {first} and {second}, or two contents of one, were committed as change {seq}")]
    TwoCommitted { seq: u64, first: u64, second: u64 },
    #[error("change {seq} was committed as version {rev}, which is not above the one before")]
    NotAbove { seq: u64, rev: u64 },
    #[error("version {rev}, which builds on {builds_on}, was committed upon another")]
    BuiltOnOther { rev: u64, builds_on: u64 },
    #[error("versions {first} and {second}, which both build on {builds_on}, were acknowledged")]
    TwoAcknowledged { builds_on: u64, first: u64, second: u64 },
    #[error("two orders of version {rev} with other contents were acknowledged")]
    TwoUnderOneNumber { rev: u64 },
    #[error("version {answered} was acknowledged to the order of version {ordered}")]
    OtherAcknowledged { ordered: u64, answered: u64 },
    #[error("version {rev} was acknowledged, and no node had published it by then")]
    AcknowledgedUncommitted { rev: u64 },
    #[error("version {rev} was taken, which is no configuration")]
    InvalidTaken { rev: u64 },
    #[error("the order of version {rev} was taken, and refused when it was sent again")]
    TakenRefused { rev: u64 },
    #[error("the order of version {rev} was refused, and taken after that")]
    RefusedThenTaken { rev: u64 },
    #[error("an order upon version {builds_on} was refused, while that was the newest")]
    FalseRefusal { builds_on: u64 },
    #[error("a refusal named version {current} after version {acknowledged} was acknowledged")]
    OldRefusal { current: u64, acknowledged: u64 },
    #[error("a refusal named version {current}, which was not in force by then")]
    UncommittedRefusal { current: u64 },
    #[error("a read gave version {read} after version {acknowledged} was acknowledged")]
    OldRead { read: u64, acknowledged: u64 },
    #[error("a read gave version {read}, which was not in force by then")]
    UncommittedRead { read: u64 },
    #[error("a session was handed version {given} after version {acknowledged} was acknowledged")]
    OldSession { given: u64, acknowledged: u64 },
    #[error("{voters} voters were promised to an operator, {needed} are needed")]
    FewVoters { voters: usize, needed: usize },
    #[error("a refusal says nothing")]
    SilentRefusal,
    #[error("no change went through in {0} ms after all was mended")]
    Stuck(Millis),
    #[error("not all are in one chain again")]
    Apart,
    #[error("a node panicked: {0}")]
    Panic(String),
}

impl Violation {
    /// Whether it is the same invariant that is broken, whatever the figures.
    pub fn is_like(&self, other: &Violation) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}
