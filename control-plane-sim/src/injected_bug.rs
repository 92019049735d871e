//! Bugs that the simulated machines can be given on purpose, to verify that the invariants detect them.

/// A bug of the simulated machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InjectedBug {
    /// A sync is reported as done at once; the state reaches the disk half a second later.
    LyingDisk,
    /// A machine that lost its disk starts as if for the first time, and votes.
    FreshAfterWipe,
    /// A session is handed what its node knows at once, without a quorum read.
    UnprovenSession,
}
