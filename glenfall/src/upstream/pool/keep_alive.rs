//! How long a connection may stay idle after a response, by the headers of the response.

use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName};

/// The header in which a server states its limits for a persistent connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Idle timeout if the server states none.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Upper bound of the idle timeout that a server states, in seconds.
const MAX_STATED_TIMEOUT_S: u64 = 3600;
/// Idle connections are closed this long before the server closes them, as a request sent while the server closes the
/// connection is answered with a reset.
const CLOSE_MARGIN: Duration = Duration::from_millis(1500);

/// How long a connection may stay idle after a response with these headers; `None` if it has to be closed immediately.
pub fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    if closes_connection(headers) {
        return None;
    }
    let timeout = match stated_timeout(headers) {
        Some(stated) => stated.saturating_sub(CLOSE_MARGIN),
        None => DEFAULT_IDLE_TIMEOUT,
    };
    (!timeout.is_zero()).then_some(timeout)
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let mut options = list_members(headers, &header::CONNECTION);
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

fn stated_timeout(headers: &HeaderMap) -> Option<Duration> {
    let seconds: u64 = list_members(headers, &KEEP_ALIVE).find_map(parse_timeout)?;
    Some(Duration::from_secs(seconds.min(MAX_STATED_TIMEOUT_S)))
}

/// Parses the seconds of a list member `timeout=SECONDS`.
fn parse_timeout(member: &str) -> Option<u64> {
    let (name, value) = member.split_once('=')?;
    if !name.trim().eq_ignore_ascii_case("timeout") {
        return None;
    }
    value.trim().parse().ok()
}

/// The members of a header that is a list separated by commas.
fn list_members<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(','))
}
