//! The send budget of one client request: how many servers it may still be sent to, by all processes together.
//!
//! A route's setting `tries` bounds the servers that one request may run on. The edge that receives a request owns its
//! budget. It lends sends to each shield that it uses, as an [`Allowance`] in the request, and the shield's response
//! reports in a [`SendReport`] how many of them it has used. Sends that are returned without a report count as used, unless
//! it is certain that the request was sent to no server.
//!
//! A read that joins the fetch of another request uses no send: servers see the id of the request that began the fetch.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The header that carries an [`Allowance`] to a shield and a [`SendReport`] back.
pub const SENDS_HEADER: HeaderName = HeaderName::from_static("x-glenfall-sends");

/// How many sends a process may use for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The number of servers that it may send the request to. With 0 only stored responses and fetches in flight can
    /// answer it.
    pub sends: u32,
    /// The number of servers that the lender of the allowance may still have the request sent to by another process. While
    /// there are any, a server that does not respond is not waited for until the deadline.
    pub reserved_sends: u32,
}

impl Allowance {
    /// All sends that a route allows, with none reserved by a lender.
    pub fn all(tries: u32) -> Self {
        Allowance { sends: tries.max(1), reserved_sends: 0 }
    }

    /// The value of its header.
    pub fn encode(self) -> HeaderValue {
        header_value(&format!("allowed={}, held-back={}", self.sends, self.reserved_sends))
    }

    /// Reads the allowance of a request, bounded by the route's `tries`. A request without one comes from an edge of an
    /// earlier release, and may use all of them.
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
    /// The number of servers that the request was sent to under its own id.
    pub used: u32,
    /// Whether it got no successful response because the allowance was used up.
    pub exhausted: bool,
}

impl SendReport {
    /// The value of its header.
    pub fn encode(self) -> HeaderValue {
        let short = if self.exhausted { ", short" } else { "" };
        header_value(&format!("used={}{short}", self.used))
    }

    /// Reads the report of a response; `None` where it has no valid one.
    pub fn from_response(headers: &HeaderMap) -> Option<Self> {
        let text = text(headers)?;
        let used = member(text, "used=")?.parse().ok()?;
        Some(SendReport { used, exhausted: member(text, "short").is_some() })
    }
}

/// A header value; the fallback can't occur, as the texts above are ASCII.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("used=0"))
}

/// The text of the header.
fn text(headers: &HeaderMap) -> Option<&str> {
    headers.get(SENDS_HEADER)?.to_str().ok()
}

/// The text after a name in a comma-separated list.
fn member<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').find_map(|member| member.trim().strip_prefix(name))
}

/// What is known about the use of an allowance once the shield has responded, or will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// The request was certainly sent to no server.
    Unused,
    /// As the shield reported it.
    Reported(SendReport),
    /// There is no report: all of the allowance may be used.
    Unknown,
}

/// The sends that a request has left.
#[derive(Debug)]
pub struct SendBudget {
    left: u32,
}

/// Sends that were lent from a [`SendBudget`]. They count as used if this is dropped without being settled.
#[derive(Debug)]
pub struct Loan {
    sends: u32,
}

impl SendBudget {
    /// The budget of a request that may be sent to this many servers, at least one.
    pub fn new(tries: u32) -> Self {
        SendBudget { left: tries.max(1) }
    }

    /// The number of sends that are neither used nor lent.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Lends this many sends, or all that are left.
    pub fn lend(&mut self, sends: u32) -> Loan {
        let lent = sends.min(self.left);
        self.left -= lent;
        Loan { sends: lent }
    }

    /// Adds the sends of a loan that were certainly not used to the budget again.
    pub fn repay(&mut self, loan: Loan, usage: Usage) {
        self.left += match usage {
            Usage::Unused => loan.sends,
            Usage::Reported(report) => loan.sends.saturating_sub(report.used),
            Usage::Unknown => 0,
        };
    }
}
