//! The send budget of one try of a client: how many servers it may still reach, whoever sends.
//!
//! A route's `tries` bounds the servers that one try may run on. An edge owns the budget of the tries it takes. It
//! lends a part of it to each shield that it asks, as an [`Allowance`] in the request, and the shield's answer says in
//! a [`SendReport`] what became of it. A part that comes back without a report counts as used, unless it is certain
//! that no server was asked.
//!
//! A read that joins another try's fetch reaches no server: servers see the id of the try that began the fetch.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The header that carries an [`Allowance`] to a shield and a [`SendReport`] back.
pub const SENDS: HeaderName = HeaderName::from_static("x-glenfall-sends");

/// What a sender may do for a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Servers that it may send the request to. With 0 only copies and fetches under way can answer.
    pub sends: u32,
    /// Servers that whoever lent the allowance may still have the request sent to on another way. While there are any,
    /// a silent server is not waited for until the deadline.
    pub held_back: u32,
}

impl Allowance {
    /// All that a route allows, with nothing held back.
    pub fn all(tries: u32) -> Self {
        Allowance { sends: tries.max(1), held_back: 0 }
    }

    /// The value of its header.
    pub fn encode(self) -> HeaderValue {
        header_value(&format!("allowed={}, held-back={}", self.sends, self.held_back))
    }

    /// Reads the allowance of a request, bounded by the route's `tries`. An edge of an earlier release states none.
    pub fn of_request(headers: &HeaderMap, tries: u32) -> Self {
        let all = Allowance::all(tries);
        let Some(text) = text(headers) else { return all };
        let number = |name| member(text, name)?.parse::<u32>().ok();
        Allowance {
            sends: number("allowed=").unwrap_or(all.sends).min(all.sends),
            held_back: number("held-back=").unwrap_or(0),
        }
    }
}

/// What became of an allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendReport {
    /// Servers that the request was sent to under this try's id.
    pub used: u32,
    /// It ended without a good answer for want of further sends.
    pub short: bool,
}

impl SendReport {
    /// The value of its header.
    pub fn encode(self) -> HeaderValue {
        let short = if self.short { ", short" } else { "" };
        header_value(&format!("used={}{short}", self.used))
    }

    /// Reads the report of an answer; `None` where it has none that can be read.
    pub fn of_answer(headers: &HeaderMap) -> Option<Self> {
        let text = text(headers)?;
        let used = member(text, "used=")?.parse().ok()?;
        Some(SendReport { used, short: member(text, "short").is_some() })
    }
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("used=0"))
}

fn text(headers: &HeaderMap) -> Option<&str> {
    headers.get(SENDS)?.to_str().ok()
}

/// What follows a name in a list that is separated by commas.
fn member<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').find_map(|member| member.trim().strip_prefix(name))
}

/// What is known of an allowance once the shield that had it has answered, or will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// It is certain that no server was asked.
    Unused,
    /// The shield's own word.
    Reported(SendReport),
    /// Nobody knows.
    Unknown,
}

/// What is left of a try's sends.
#[derive(Debug)]
pub struct SendBudget {
    left: u32,
}

/// A part of a [`SendBudget`] that is lent out. Dropped without being settled, it counts as used.
#[derive(Debug)]
pub struct Loan(u32);

impl SendBudget {
    /// The budget of a try that may be sent to so many servers.
    pub fn new(tries: u32) -> Self {
        SendBudget { left: tries.max(1) }
    }

    /// Sends that are neither used nor lent out.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Lends out as many sends, or what is left.
    pub fn lend(&mut self, sends: u32) -> Loan {
        let lent = sends.min(self.left);
        self.left -= lent;
        Loan(lent)
    }

    /// Takes back what of a loan was certainly not used.
    pub fn settle(&mut self, loan: Loan, usage: Usage) {
        self.left += match usage {
            Usage::Unused => loan.0,
            Usage::Reported(report) => loan.0.saturating_sub(report.used),
            Usage::Unknown => 0,
        };
    }
}
