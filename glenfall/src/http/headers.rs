//! Names of the system's own headers, and which headers a proxy forwards.

use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The id of a client's attempt, as the client gave it.
pub const TRY_ID_HEADER: HeaderName = HeaderName::from_static("x-glenfall-try-id");
/// How long the sender of a request waits for its response, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-glenfall-deadline");

/// Headers that the system sets itself, between its processes or for servers. They are never forwarded, so that nobody
/// else can set them.
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
/// The labels of an object. Caches read them; clients never receive them.
const LABELS_HEADER: &str = "x-glenfall-tags";
/// Headers that concern one connection (RFC 9110, section 7.6.1), or the length and coding of a body, which the forwarded
/// message gets anew.
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
/// Hop-by-hop headers that are not standardised.
const LEGACY_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// The headers that a proxy forwards: all but those of one connection, and the system's own.
pub fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name, &connection_options))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The names in `Connection`: headers with these names concern one connection too.
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
