//! The form of a host by which routes, stored objects and purges are compared.

use std::borrow::Cow;

/// The part of a `Host` header that identifies a route or an object: the name without the port, in lower case (RFC 9110,
/// 4.2.3). The port is that of the proxy to which the client connects, and the routes have none.
pub fn canonical_host(host: &str) -> Cow<'_, str> {
    let name = without_port(host);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
