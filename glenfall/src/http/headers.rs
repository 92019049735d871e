//! Names of the system's own headers, and the filter for headers that a proxy forwards.

use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The id that a client gave its attempt.
pub const TRY_ID_HEADER: HeaderName = HeaderName::from_static("x-glenfall-try-id");
/// How long the sender of a request waits for its response, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-glenfall-deadline");

/// Headers with which processes of the system communicate with each other and with servers. They are never forwarded, so
/// that nobody can pass forged ones through a proxy.
const SYSTEM_HEADERS: [&str; 9] = [
    "x-glenfall-deadline",
    "x-glenfall-want-server",
    "x-glenfall-not-run",
    "x-glenfall-rev",
    "x-glenfall-again",
    "x-glenfall-sends",
    "x-glenfall-shield",
    "x-glenfall-failure",
    "x-glenfall-age-ms",
];
/// The labels of an object, for caches. Clients never receive them.
const LABELS_HEADER: &str = "x-glenfall-tags";
/// Headers that concern one connection (RFC 9110, section 7.6.1), or the length and coding of a body, which are set
/// again for the forwarded message.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
/// Hop-by-hop headers that are not standardized.
const LEGACY_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// The headers that a proxy forwards: all except hop-by-hop headers and those of the system.
pub fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name, &connection_options))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The names listed in `Connection`: the headers with these names are hop-by-hop headers too.
fn connection_options(headers: &HeaderMap) -> Vec<&str> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',').map(str::trim)).collect()
}

fn is_forwarded(name: &HeaderName, connection_options: &[&str]) -> bool {
    let text = name.as_str();
    let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
        || LEGACY_HOP_BY_HOP_HEADERS.contains(&text)
        || connection_options.iter().any(|option| text.eq_ignore_ascii_case(option));
    let is_internal = SYSTEM_HEADERS.contains(&text) || text == LABELS_HEADER;
    !is_hop_by_hop && !is_internal
}

/// The value of `Retry-After` in seconds with a fraction, which the system's own clients read.
pub fn retry_after_value(retry_after: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())).ok()
}
