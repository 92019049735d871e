//! The send budget of a client request: the number of servers that all processes together may still send it to.
//!
//! The setting `tries` of a route limits the number of servers that one request may run on. The edge that receives the
//! request owns its budget. It reserves sends for each shield that it uses, as an [`Allowance`] in the request, and the
//! shield reports in its response how many of them it has used ([`SendReport`]). Without a report, all of them count as
//! used, unless the request was certainly sent to no server.
//!
//! A read that joins a fetch in flight uses no send: servers see the id of the request that began the fetch.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The header that carries an [`Allowance`] to a shield and a [`SendReport`] back.
pub const SENDS_HEADER: HeaderName = HeaderName::from_static("x-glenfall-sends");

/// How many sends a process may use for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The number of servers that it may send the request to. With 0, only a stored response or a fetch in flight can
    /// provide the response.
    pub sends: u32,
    /// The number of sends that the edge keeps in reserve for another process. If there are any, the holder of the
    /// allowance does not wait until the deadline for a server that does not respond.
    pub reserved_sends: u32,
}

impl Allowance {
    /// All sends that the route allows, at least one, with none kept in reserve.
    pub fn all(tries: u32) -> Self {
        Allowance { sends: tries.max(1), reserved_sends: 0 }
    }

    /// The value of [`SENDS_HEADER`] in a request.
    pub fn encode(self) -> HeaderValue {
        header_value(&format!("allowed={}, held-back={}", self.sends, self.reserved_sends))
    }

    /// Reads the allowance of a request, limited to the route's `tries`. A request without one comes from an edge of an
    /// earlier release, and may use all `tries`.
    pub fn from_request(headers: &HeaderMap, tries: u32) -> Self {
        let all = Allowance::all(tries);
        let Some(text) = text(headers) else { return all };
        let number = |name| member(text, name)?.parse::<u32>().ok();
        Allowance {
            sends: number("allowed=").unwrap_or(all.sends).min(all.sends),
            reserved_sends: number("held-back=").unwrap_or(0),
        }
    }
}

/// How an allowance was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendReport {
    /// The number of servers that the request was sent to with its own id.
    pub used: u32,
    /// Whether the request got no successful response because the allowance was used up.
    pub exhausted: bool,
}

impl SendReport {
    /// The value of [`SENDS_HEADER`] in a response.
    pub fn encode(self) -> HeaderValue {
        let suffix = if self.exhausted { ", short" } else { "" };
        header_value(&format!("used={}{suffix}", self.used))
    }

    /// Reads the report of a response; `None` if it has no valid one.
    pub fn from_response(headers: &HeaderMap) -> Option<Self> {
        let text = text(headers)?;
        let used = member(text, "used=")?.parse().ok()?;
        Some(SendReport { used, exhausted: member(text, "short").is_some() })
    }
}

/// Converts a text to a header value. The fallback is never used, as the callers pass ASCII only.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("used=0"))
}

fn text(headers: &HeaderMap) -> Option<&str> {
    headers.get(SENDS_HEADER)?.to_str().ok()
}

/// The text after a prefix, in the first member of a comma-separated list that begins with the prefix.
fn member<'a>(list: &'a str, prefix: &str) -> Option<&'a str> {
    list.split(',').find_map(|member| member.trim().strip_prefix(prefix))
}

/// What is known about the use of an allowance once the shield has responded or the request to it has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// The request was certainly sent to no server.
    Unused,
    /// The shield's response reports the use.
    Reported(SendReport),
    /// There is no report: all sends of the allowance may have been used.
    Unknown,
}

/// The sends that remain for a request.
#[derive(Debug)]
pub struct SendBudget {
    left: u32,
}

/// Sends reserved in a [`SendBudget`]. They count as used unless they are returned by [`SendBudget::settle_reservation`].
#[derive(Debug)]
pub struct Reservation {
    sends: u32,
}

impl SendBudget {
    /// The budget of a request that may be sent to `tries` servers; at least one.
    pub fn new(tries: u32) -> Self {
        SendBudget { left: tries.max(1) }
    }

    /// The number of sends that are neither used nor reserved.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Reserves this many sends, or all that are left.
    pub fn reserve(&mut self, sends: u32) -> Reservation {
        let reserved = sends.min(self.left);
        self.left -= reserved;
        Reservation { sends: reserved }
    }

    /// Returns to the budget the sends of a reservation that were certainly not used.
    pub fn settle_reservation(&mut self, reservation: Reservation, usage: Usage) {
        self.left += match usage {
            Usage::Unused => reservation.sends,
            Usage::Reported(report) => reservation.sends.saturating_sub(report.used),
            Usage::Unknown => 0,
        };
    }
}
