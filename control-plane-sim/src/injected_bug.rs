//! Bugs that can be injected into the simulated machines, to verify that the invariants detect them.

/// A bug of the simulated machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InjectedBug {
    /// A sync is reported as complete half a second before the state is durable.
    #[serde(rename = "lying_disk")]
    EarlySyncReport,
    /// A machine that lost its disk starts as if for the first time, so that it votes although its promises are lost.
    FreshAfterWipe,
    /// A session is served at once with the configuration that its node knows, without a quorum read.
    #[serde(rename = "unproven_session")]
    SessionWithoutQuorumRead,
}
