//! Promises that are checked where they could break, in every build. A violation is counted and logged; the process goes
//! on, as what it serves otherwise may be sound. `status` shows the counts, and tests fail where there is one.
//!
//! A check looks at what follows from a promise by another way than the mechanism that is to keep it, costs no more than a few
//! comparisons, and does not depend on how fast the process runs.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! invariants {
    ($($(#[$doc:meta])* $invariant:ident = $name:literal,)+) => {
        /// A promise that is checked while the system runs.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Invariant {
            $($(#[$doc])* $invariant,)+
        }

        impl Invariant {
            /// All of them, in the order of their numbers.
            pub const ALL: &[Invariant] = &[$(Invariant::$invariant),+];

            /// As logs and counters have it.
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
    /// A process decides no request by an older configuration than it has decided one by before.
    ConfigOrder = "config_order",
    /// What a control node commits rises in version and sequence.
    CommittedOrder = "committed_order",
    /// One version has one document.
    OneDocument = "one_document",
    /// A request that may run once is sent to no server after one at which it may have run.
    SingleRun = "single_run",
    /// A request that may run once is refused with a promise only if it has run at no server.
    RefusedNotRun = "refused_not_run",
    /// A try is sent to no more servers than it is allowed.
    SendsAllowed = "sends_allowed",
    /// An answer of the system's own bears no server's seal.
    SealIsServers = "seal_is_servers",
    /// A server that has been told of as leaving is never told of as ready again.
    DrainIsFinal = "drain_is_final",
    /// A server whose leaving is acknowledged is not among the ready ones that proxies are told of.
    DrainIsTold = "drain_is_told",
    /// An edge serves no copy of its own that a purge of the last moments names.
    CopyNotPurged = "copy_not_purged",
    /// A purge is acknowledged only once each session that held a lease has applied it, or that lease is over.
    PurgeIsApplied = "purge_is_applied",
    /// No lease stands for longer than leases last.
    LeaseIsBounded = "lease_is_bounded",
    /// The changes pushed on a session are numbered without a gap.
    PushesInOrder = "pushes_in_order",
    /// A session has applied no more than it was sent.
    AppliedWasSent = "applied_was_sent",
}

impl Invariant {
    /// Counts and logs a violation where the promise does not hold; `details` is asked for only then.
    pub fn check(self, holds: bool, details: impl FnOnce() -> String) {
        if !holds {
            VIOLATIONS[self as usize].fetch_add(1, Ordering::Relaxed);
            tracing::error!(invariant = self.name(), details = details(), "{BROKEN}");
        }
    }

    /// Violations in this process.
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }
}

/// What the log line of a violation says.
pub const BROKEN: &str = "invariant broken";
/// What the names of counters of violations begin with.
pub const COUNTER: &str = "broken_";

/// Violations of all invariants in this process.
pub fn violations() -> u64 {
    Invariant::ALL.iter().map(|invariant| invariant.violations()).sum()
}

/// Counters of the invariants that were broken, for `status`.
pub fn report() -> impl Iterator<Item = (String, u64)> {
    let counts = Invariant::ALL.iter().map(|invariant| (invariant.name(), invariant.violations()));
    counts.filter(|(_, count)| *count > 0).map(|(name, count)| (format!("{COUNTER}{name}"), count))
}
