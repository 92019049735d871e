//! Which headers a proxy forwards.

use glenfall::http::headers::forwardable_headers;
use hyper::header::{HeaderMap, HeaderValue};

#[test]
fn headers_are_forwarded_except_hop_by_hop_and_internal_ones() {
    let forwarded = ["x-glenfall-try-id", "x-glenfall-seal", "x-glenfall-key", "x-other", "host", "etag"];
    let removed = [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "x-named",
        "x-glenfall-deadline",
        "x-glenfall-want-server",
        "x-glenfall-rev",
        "x-glenfall-sends",
        "x-glenfall-again",
        "x-glenfall-failure",
        "x-glenfall-shield",
    ];
    let mut headers = HeaderMap::new();
    for name in forwarded.iter().chain(&removed) {
        headers.insert(*name, HeaderValue::from_static("x-named"));
    }
    let names: Vec<String> = forwardable_headers(&headers).keys().map(ToString::to_string).collect();
    let expected = forwarded.map(str::to_owned);
    assert!(names.len() == expected.len() && expected.iter().all(|name| names.contains(name)), "{names:?}");
}
