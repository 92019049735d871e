//! Names of the system's own headers, and which headers a proxy passes on.

use hyper::header::{self, HeaderMap, HeaderName};

/// The id of a try, as its client gave it.
pub const TRY_ID: HeaderName = HeaderName::from_static("x-glenfall-try-id");
/// How long the sender of a request waits, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-glenfall-deadline");
/// Headers that the system sets itself, on its own ways or for servers: what others say under these names goes no further.
const OWN: [&str; 9] = [
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
/// Labels of an object go as far as copies are kept, and not to clients.
const TAGS: &str = "x-glenfall-tags";

/// Headers that go on to the other side: all but those that concern one connection, and the system's own.
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(str::trim))
        .collect();
    let stays = |name: &HeaderName| {
        let hop = [
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
        hop.contains(name)
            || matches!(name.as_str(), "keep-alive" | "proxy-connection")
            || OWN.contains(&name.as_str())
            || name.as_str() == TAGS
            || named.iter().any(|word| name.as_str().eq_ignore_ascii_case(word))
    };
    headers
        .iter()
        .filter(|(name, _)| !stays(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
