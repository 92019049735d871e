//! Invariants that are checked at run time, in every build.
//!
//! A violation is counted and logged, and the process goes on, as its other functions may be correct. `status` shows
//! the counts, and a test over processes fails where there is a violation in a log.
//!
//! A check tests a consequence of the invariant that does not depend on the mechanism which maintains it. It costs no more
//! than a few comparisons, and its result does not depend on the speed of the process.

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

        static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];
    };
}

invariants! {
    /// A process handles no request by an older configuration than an earlier request.
    ConfigOrder = "config_order",
    /// The records that a control node commits rise in version and log index.
    CommittedOrder = "committed_order",
    /// All processes have the same document under the same version.
    OneDocument = "one_document",
    /// A request that may run at most once is sent to no other server after one where it may have run.
    SingleRun = "single_run",
    /// A request that may run at most once is answered as not run only if no server has run it.
    RefusedNotRun = "refused_not_run",
    /// A request is sent to no more servers than its number of attempts allows.
    SendsAllowed = "sends_allowed",
    /// A response that a proxy makes itself does not carry the seal of a server.
    SealIsServers = "seal_is_servers",
    /// A server that was published as draining is never published as ready again.
    DrainIsFinal = "drain_is_final",
    /// A server whose drain is acknowledged is not published as ready.
    DrainIsTold = "drain_is_told",
    /// An edge serves no stored response that a recent purge selects.
    CopyNotPurged = "copy_not_purged",
    /// A purge is acknowledged only once each session with a lease has applied it, or its lease has expired.
    PurgeIsApplied = "purge_is_applied",
    /// No lease is valid for longer than the length of leases.
    LeaseIsBounded = "lease_is_bounded",
    /// The updates pushed on a session are numbered without a gap.
    PushesInOrder = "pushes_in_order",
    /// A session acknowledges no update that it was not sent.
    AppliedWasSent = "applied_was_sent",
}

impl Invariant {
    /// Counts and logs a violation if the invariant does not hold. `details` is called only then.
    pub fn check(self, holds: bool, details: impl FnOnce() -> String) {
        if !holds {
            VIOLATIONS[self as usize].fetch_add(1, Ordering::Relaxed);
            tracing::error!(invariant = self.name(), details = details(), "{VIOLATION_MESSAGE}");
        }
    }

    /// Number of violations in this process.
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }
}

/// Message of the log line of a violation. Tests and the soak search logs for it.
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
