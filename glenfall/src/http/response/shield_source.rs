//! The source of a shield's response, which the shield reports to its edge.

use hyper::header::{HeaderName, HeaderValue};

/// Carries a [`ShieldSource`]. A response without it was not sent by a shield.
pub(super) const SHIELD_HEADER: HeaderName = HeaderName::from_static("x-glenfall-shield");

/// Where a shield's response comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShieldSource {
    /// A stored response.
    Hit,
    /// A response that the shield fetched and stored.
    Miss,
    /// A stored response, or the response to a fetch that began before the request. The shield holds no lease, so it may
    /// have missed purges.
    WithoutLease,
    /// A server's response that can't be stored.
    Uncacheable,
    /// The shield made the response itself.
    Local,
    /// The shield made the response itself: it has not received the edge's configuration yet, and has sent the request
    /// to no server.
    ConfigOutdated,
}

impl ShieldSource {
    const ALL: [ShieldSource; 6] = [
        ShieldSource::Hit,
        ShieldSource::Miss,
        ShieldSource::WithoutLease,
        ShieldSource::Uncacheable,
        ShieldSource::Local,
        ShieldSource::ConfigOutdated,
    ];

    /// The value of the header.
    pub(super) fn name(self) -> &'static str {
        match self {
            ShieldSource::Hit => "hit",
            ShieldSource::Miss => "miss",
            ShieldSource::WithoutLease => "unvouched",
            ShieldSource::Uncacheable => "pass",
            ShieldSource::Local => "own",
            ShieldSource::ConfigOutdated => "behind",
        }
    }

    /// Reads the header; `None` for an unknown value.
    pub(super) fn parse(value: &HeaderValue) -> Option<Self> {
        Self::ALL.into_iter().find(|source| value.as_bytes() == source.name().as_bytes())
    }
}
