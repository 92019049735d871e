//! Invariants that are checked at run time, in every build.
//!
//! A violation is counted and logged, and the process continues, as its other functions may still be correct. `status`
//! shows the counts, and a test that runs real processes fails if a log contains a violation.
//!
//! A check tests a consequence of the invariant, independently of the mechanism that maintains the invariant. It costs
//! no more than a few comparisons, and its result does not depend on the speed of the process.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! invariants {
    ($($(#[$doc:meta])* $invariant:ident = $name:literal,)+) => {
        /// An invariant of the system that is checked at run time.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Invariant {
            $($(#[$doc])* $invariant,)+
        }

        impl Invariant {
            /// All invariants, in the order of their discriminants.
            pub const ALL: &[Invariant] = &[$(Invariant::$invariant),+];

            /// The name in logs and counters.
            pub fn name(self) -> &'static str {
                match self {
                    $(Invariant::$invariant => $name,)+
                }
            }
        }

        static VIOLATION_COUNTS: [AtomicU64; Invariant::ALL.len()] =
            [const { AtomicU64::new(0) }; Invariant::ALL.len()];
    };
}

invariants! {
    /// A process handles no request with an older configuration than that of an earlier request.
    ConfigOrder = "config_order",
    /// The version and log index of the records that a control node commits never decrease.
    CommittedOrder = "committed_order",
    /// Each version has the same document in all processes.
    OneDocument = "one_document",
    /// A request that must be executed at most once is not sent to another server once a server may have executed it.
    SingleRun = "single_run",
    /// A request that must be executed at most once is reported as not executed only if no server has executed it.
    RefusedNotRun = "refused_not_run",
    /// A request is sent to no more servers than its number of attempts allows.
    SendsAllowed = "sends_allowed",
    /// A response that a proxy generates itself does not carry the seal header, which only servers set.
    SealIsServers = "seal_is_servers",
    /// A server that has been published as draining is never published as ready again.
    DrainIsFinal = "drain_is_final",
    /// A server is not published as ready after its draining has been acknowledged.
    DrainIsTold = "drain_is_told",
    /// An edge serves no stored response that matches a recent purge.
    CopyNotPurged = "copy_not_purged",
    /// A purge is acknowledged only once each session with a lease has applied it, or its lease has expired.
    PurgeIsApplied = "purge_is_applied",
    /// No lease is valid for longer than the maximum lease duration.
    LeaseIsBounded = "lease_is_bounded",
    /// The updates pushed on a session are numbered consecutively.
    PushesInOrder = "pushes_in_order",
    /// A subscriber acknowledges only updates that were sent on its session.
    AppliedWasSent = "applied_was_sent",
}

impl Invariant {
    /// Counts and logs a violation if the invariant does not hold. `details` is called only then.
    pub fn check(self, holds: bool, details: impl FnOnce() -> String) {
        if !holds {
            VIOLATION_COUNTS[self as usize].fetch_add(1, Ordering::Relaxed);
            tracing::error!(invariant = self.name(), details = details(), "{VIOLATION_MESSAGE}");
        }
    }

    /// Number of violations in this process.
    pub fn violations(self) -> u64 {
        VIOLATION_COUNTS[self as usize].load(Ordering::Relaxed)
    }
}

/// Message of the log line of a violation. Tests and the soak test search the logs for it.
pub const VIOLATION_MESSAGE: &str = "invariant broken";
/// Prefix of the names of violation counters in `status`.
pub const COUNTER_PREFIX: &str = "broken_";

/// Number of violations of all invariants in this process.
pub fn violations() -> u64 {
    Invariant::ALL.iter().map(|invariant| invariant.violations()).sum()
}

/// Counters of the invariants with violations, for `status`.
pub fn report() -> impl Iterator<Item = (String, u64)> {
    let counts = Invariant::ALL.iter().map(|invariant| (invariant.name(), invariant.violations()));
    counts.filter(|(_, count)| *count > 0).map(|(name, count)| (format!("{COUNTER_PREFIX}{name}"), count))
}
