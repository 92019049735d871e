//! Validation of a parsed configuration document.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::config::document::{Backend, Route};
use crate::config::MAX_DOCUMENT_BYTES;

/// Why a document or a change is rejected. The texts are part of the HTTP interface and of the output of commands.
///
/// Control nodes exchange this type: the order of the variants and of their fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum InvalidConfig {
    /// The text is not JSON, or the JSON does not have the structure of a document or patch; with the reason.
    #[error("not a configuration: {0}")]
    Unreadable(String),
    /// The version of the change is not above the current one.
    #[error("rev: a version above {current} expected, got {got}")]
    OldVersion {
        /// The current version.
        current: u64,
        /// The version in the document.
        got: u64,
    },
    /// Two routes have this name.
    #[error("paths: {0:?} is named twice")]
    DuplicateRoute(String),
    /// Two backends have this name.
    #[error("backends: {0:?} is named twice")]
    DuplicateBackend(String),
    /// A route refers to a backend that is not in the document.
    #[error("path {path:?}: no backend is named {backend:?}")]
    UnknownBackend {
        /// Name of the route.
        path: String,
        /// Name of the missing backend.
        backend: String,
    },
    /// Two routes have the same hostname and path prefix.
    #[error("path {path:?}: {other:?} has the same hostname and pathPrefix")]
    DuplicatePrefix {
        /// Name of the later route in the document.
        path: String,
        /// Name of the earlier one.
        other: String,
    },
    /// No backend in the split of this route has a positive weight.
    #[error("path {0:?}: the weights of its split sum to 0")]
    ZeroWeight(String),
    /// The deadline of this route is 0.
    #[error("path {0:?}: deadlineMs above 0 expected")]
    ZeroDeadline(String),
    /// The prefix of this route does not begin and end with a slash.
    #[error("path {0:?}: pathPrefix must begin and end with a slash")]
    InvalidPrefix(String),
    /// This route has both `backend` and `split`, or neither.
    #[error("path {0:?}: exactly one of backend and split expected")]
    BackendOrSplit(String),
    /// The document is larger than [`MAX_DOCUMENT_BYTES`]; with its size in bytes.
    #[error("{MAX_DOCUMENT_BYTES} bytes are the most, got {0}")]
    TooLarge(usize),
}

/// The criteria by which a route matches requests. The hostname is in lower case.
#[derive(PartialEq, Eq, Hash)]
struct MatchKey<'a> {
    hostname: String,
    path_prefix: &'a str,
}

/// Checks the routes and backends of a document, and returns the first error that it finds. Duplicate backends are
/// reported first, then errors of routes in the order of the document.
pub(super) fn check(routes: &[Route], backends: &[Backend]) -> Result<(), InvalidConfig> {
    let backend_names = unique_backend_names(backends)?;
    let mut route_names = HashSet::new();
    let mut routes_by_match = HashMap::new();
    for route in routes {
        if !route_names.insert(route.name.as_str()) {
            return Err(InvalidConfig::DuplicateRoute(route.name.clone()));
        }
        check_route(route, &backend_names)?;
        let key = MatchKey { hostname: route.hostname.to_ascii_lowercase(), path_prefix: &route.path_prefix };
        if let Some(other) = routes_by_match.insert(key, route) {
            let (path, other) = (route.name.clone(), other.name.clone());
            return Err(InvalidConfig::DuplicatePrefix { path, other });
        }
    }
    Ok(())
}

fn unique_backend_names(backends: &[Backend]) -> Result<HashSet<&str>, InvalidConfig> {
    let mut names = HashSet::new();
    for backend in backends {
        if !names.insert(backend.name.as_str()) {
            return Err(InvalidConfig::DuplicateBackend(backend.name.clone()));
        }
    }
    Ok(names)
}

/// Checks one route independently of the other routes.
fn check_route(route: &Route, backend_names: &HashSet<&str>) -> Result<(), InvalidConfig> {
    let name = || route.name.clone();
    if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
        return Err(InvalidConfig::InvalidPrefix(name()));
    }
    if route.deadline_ms == 0 {
        return Err(InvalidConfig::ZeroDeadline(name()));
    }
    if route.backend.is_some() != route.split.is_empty() {
        return Err(InvalidConfig::BackendOrSplit(name()));
    }
    let mut named = route.backend.iter().chain(route.split.iter().map(|share| &share.backend));
    if let Some(unknown) = named.find(|backend| !backend_names.contains(backend.as_str())) {
        return Err(InvalidConfig::UnknownBackend { path: name(), backend: unknown.clone() });
    }
    if !route.split.is_empty() && route.split_weight() <= 0.0 {
        return Err(InvalidConfig::ZeroWeight(name()));
    }
    Ok(())
}
