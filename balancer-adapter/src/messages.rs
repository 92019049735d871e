//! Parses the messages of the text protocol.

use std::io::BufRead;

use glenfall_balancer::{
    AttemptId, CacheStatus, Event, Key, NewRequest, Outcome, RequestId, RosterEntry, RosterUpdate, Seconds,
    ServerState, Settings, Status, TimerToken,
};
use glenfall_balancer_settings::Names;

use crate::error::AdapterError;
use crate::input::{Fields, Lines};

/// Bits of the bitmap in an `arrival` message.
const HAS_WORK_HINT: u64 = 1;
const IS_WRITE: u64 = 4;

/// One message of a batch.
pub enum Message {
    /// Starts a node.
    Attach {
        /// The node's number.
        node: u64,
        /// The seed of the node's random numbers.
        seed: u64,
        settings: Settings,
    },
    /// Removes a node.
    Detach {
        /// The node's number.
        node: u64,
    },
    /// Passes an event to a node.
    Event {
        /// The node's number.
        node: u64,
        event: Event,
    },
}

/// Parses the first line of a batch, `sync`, and returns the clock time on it.
pub fn parse_sync(line: &str) -> Result<Seconds, AdapterError> {
    let mut fields = Fields::of(line);
    if fields.text() != Some("sync") {
        return Err(AdapterError::Missing("`sync` with the clock time"));
    }
    fields.number("the clock time")?.ok_or(AdapterError::Missing("the clock time"))
}

/// Parses a message; the entries of a server list are read from the lines that follow. `names` returns the
/// names of an attached node's classes and tenants.
pub fn parse<'n, R: BufRead>(
    line: &str,
    lines: &mut Lines<R>,
    names: impl Fn(u64) -> Option<&'n Names>,
) -> Result<Message, AdapterError> {
    let mut fields = Fields::of(line);
    let kind = fields.text().ok_or(AdapterError::Missing("a message name"))?;
    let node: u64 = fields.required("a node number")?;
    let names = || names(node).ok_or(AdapterError::UnknownNode(node));
    let event = match kind {
        "attach" => return attach(node, &mut fields),
        "down" => return Ok(Message::Detach { node }),
        "roster_change" => Event::Roster(roster(&mut fields, lines)?),
        "arrival" => Event::Request(arrival(&mut fields, names()?)?),
        "head_received" => stream_started(&mut fields)?,
        "outcome" => Event::Outcome(outcome(&mut fields)?),
        "withdrawn" => Event::RequestCancelled(RequestId(fields.required("a request id")?)),
        "ring" => Event::Timer(TimerToken(fields.required("a timer token")?)),
        "checked" => health_check(&mut fields)?,
        "message" => peer_message(&mut fields)?,
        other => return Err(unreadable("a known message name", other)),
    };
    names()?;
    Ok(Message::Event { node, event })
}

fn unreadable(expected: &'static str, found: &str) -> AdapterError {
    AdapterError::Unreadable { expected, found: found.to_owned() }
}

fn attach(node: u64, fields: &mut Fields) -> Result<Message, AdapterError> {
    let seed = fields.required("a random seed")?;
    let json = serde_json::from_str(fields.remaining())?;
    let settings = glenfall_balancer_settings::parse(&json)?;
    Ok(Message::Attach { node, seed, settings })
}

/// Parses a server list or changes to one. The entries are on the lines that follow.
fn roster<R: BufRead>(fields: &mut Fields, lines: &mut Lines<R>) -> Result<RosterUpdate, AdapterError> {
    let mode = fields.text();
    fields.optional::<u64>("a list version")?;
    let count = fields.optional::<usize>("the number of entries")?.unwrap_or(0);
    let mut entries = Vec::new();
    for _ in 0..count {
        let line = lines.next()?.ok_or(AdapterError::Missing("a server list entry"))?;
        entries.push(entry(&line)?);
    }
    match mode {
        Some("delta") => Ok(RosterUpdate::Delta(entries)),
        Some("full") => Ok(RosterUpdate::Complete(entries)),
        Some("cached") => Ok(RosterUpdate::Cached(entries)),
        Some("failed") => Ok(RosterUpdate::Failed),
        _ => Err(AdapterError::Missing("delta, full, cached or failed")),
    }
}

fn entry(line: &str) -> Result<RosterEntry, AdapterError> {
    let mut fields = Fields::of(line);
    if fields.text() != Some("m") {
        return Err(AdapterError::Missing("a server list entry (`m`)"));
    }
    let state = match fields.text() {
        Some("Ready") => ServerState::Ready,
        Some("Gone") => ServerState::Gone,
        _ => ServerState::Draining,
    };
    Ok(RosterEntry {
        state,
        server: fields.server()?,
        zone: fields.text().unwrap_or("").into(),
        weight: fields.number("a server weight")?.unwrap_or(1.0),
        kind: fields.text().unwrap_or("").into(),
        started: fields.number("a start time")?.filter(|&at| at > 0.0),
        cell: fields.optional("a cell number")?.unwrap_or(0),
    })
}

fn arrival(fields: &mut Fields, names: &Names) -> Result<NewRequest, AdapterError> {
    let id = RequestId(fields.required("a request id")?);
    let time_left = fields.number("the time left")?.unwrap_or(0.0);
    let work = fields.number("a work hint")?;
    let bitmap = fields.optional::<u64>("a bitmap of flags")?.unwrap_or(0);
    let tenant = fields.text().and_then(|name| names.tenant(name));
    let class = fields.text().and_then(|name| names.class(name));
    fields.number("an object size")?;
    let key = fields.optional("a key")?.map(Key);
    Ok(NewRequest {
        id,
        time_left,
        class,
        tenant,
        key,
        write: bitmap & IS_WRITE != 0,
        work_hint: work.filter(|_| bitmap & HAS_WORK_HINT != 0),
    })
}

fn stream_started(fields: &mut Fields) -> Result<Event, AdapterError> {
    let request = RequestId(fields.required("a request id")?);
    let attempt = AttemptId(fields.required("an attempt number")?);
    Ok(Event::StreamStarted { request, attempt })
}

fn outcome(fields: &mut Fields) -> Result<Outcome, AdapterError> {
    let request = RequestId(fields.required("a request id")?);
    let elapsed = fields.number("the time spent")?.unwrap_or(0.0);
    let finished = fields.optional::<u8>("0 or 1")?.unwrap_or(0) != 0;
    fields.server()?;
    let attempt = AttemptId(fields.required("an attempt number")?);
    let status = status(fields.text());
    let cache_status = match fields.optional::<u64>("a cache status (`remark`)")? {
        Some(1) => Some(CacheStatus::Hit),
        Some(2) => Some(CacheStatus::Miss),
        Some(3) => Some(CacheStatus::MissInProgress),
        _ => None,
    };
    let load = fields.text().and_then(|report| glenfall_balancer_settings::parse_load_report(report, ':'));
    Ok(Outcome { request, attempt, status, elapsed, finished, cache_status, load })
}

fn status(word: Option<&str>) -> Status {
    match word {
        Some("success") => Status::Success,
        Some("failure") => Status::Error,
        Some("overloaded") => Status::Overloaded,
        Some("timed_out") => Status::TimedOut,
        Some("unreachable") => Status::Unreachable,
        Some("broken") => Status::Broken,
        Some("withdrawn") => Status::Cancelled,
        Some("void") => Status::NotSent,
        Some("absent") => Status::NotCached,
        _ => Status::Unknown,
    }
}

fn health_check(fields: &mut Fields) -> Result<Event, AdapterError> {
    let status = status(fields.text());
    fields.number("the time spent")?;
    Ok(Event::HealthChecked { server: fields.server()?, status })
}

fn peer_message(fields: &mut Fields) -> Result<Event, AdapterError> {
    let from = fields.required("the number of the sending node")?;
    let bytes = hex(fields.text().unwrap_or(""))?;
    Ok(Event::Message { from, bytes })
}

fn hex(digits: &str) -> Result<Vec<u8>, AdapterError> {
    const HEX_DIGITS: &str = "an even number of hexadecimal digits";
    if !digits.len().is_multiple_of(2) || !digits.is_ascii() {
        return Err(unreadable(HEX_DIGITS, digits));
    }
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16);
    let bytes: Result<_, _> = (0..digits.len()).step_by(2).map(byte).collect();
    bytes.map_err(|_| unreadable(HEX_DIGITS, digits))
}
