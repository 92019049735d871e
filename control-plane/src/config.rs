//! Configuration documents: reading, checking and changing them, and finding the route of a request.
//!
//! A document is kept as the JSON that the operator sent, fields that this version does not know included, so
//! that it is read back whole. [`Config`] is what the data plane makes of it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Largest document, also of one that grows by PATCH: with the table of taken orders and a view it fits into a frame, and
/// what does not could never reach another member of the chain.
pub const MAX_DOCUMENT_BYTES: usize = 3 << 20;

/// Why a document or a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum InvalidConfig {
    #[error("not a configuration: {0}")]
    Unreadable(String),
    #[error("rev: a version above {current} expected, got {got}")]
    OldVersion { current: u64, got: u64 },
    #[error("paths: {0:?} is named twice")]
    DuplicateRoute(String),
    #[error("backends: {0:?} is named twice")]
    DuplicateBackend(String),
    #[error("path {path:?}: no backend is named {backend:?}")]
    UnknownBackend { path: String, backend: String },
    #[error("path {path:?}: {other:?} has the same hostname and pathPrefix")]
    DuplicatePrefix { path: String, other: String },
    #[error("path {0:?}: the weights of its split sum to 0")]
    ZeroWeight(String),
    #[error("path {0:?}: deadlineMs above 0 expected")]
    ZeroDeadline(String),
    #[error("path {0:?}: pathPrefix must begin and end with a slash")]
    InvalidPrefix(String),
    #[error("path {0:?}: exactly one of backend and split expected")]
    BackendOrSplit(String),
    #[error("{MAX_DOCUMENT_BYTES} bytes are the most, got {0}")]
    TooLarge(usize),
}

/// What a route allows to be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum RouteKind {
    /// Object reads: may be repeated, answers may be kept.
    Cacheable,
    /// May be repeated.
    Idempotent,
    /// At most once. What this version does not know is handled as this.
    #[default]
    #[serde(other)]
    Mutating,
}

#[derive(Clone, Debug, Deserialize)]
pub struct WeightedBackend {
    pub backend: String,
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    pub name: String,
    pub hostname: String,
    pub path_prefix: String,
    #[serde(rename = "type", default)]
    pub kind: RouteKind,
    pub deadline_ms: u64,
    #[serde(default)]
    pub target_ms: Option<f64>,
    #[serde(default)]
    pub prio: u32,
    #[serde(default)]
    pub backend: Option<String>,
    #[serde(default)]
    pub split: Vec<WeightedBackend>,
    #[serde(default = "one")]
    pub tries: u32,
    #[serde(default)]
    pub max_age_s: f64,
}

/// Whatever a document says, no answer is waited for longer.
const LONGEST_AIM_MS: f64 = 3_600_000.0;

fn one() -> u32 {
    1
}

impl Route {
    /// The service of a request, by a number from 0 to 1 that stands for it.
    pub fn service(&self, draw: f64) -> Option<&str> {
        if let Some(backend) = &self.backend {
            return Some(backend);
        }
        let sum: f64 = self.split.iter().map(|share| share.weight.max(0.0)).sum();
        let mut left = draw.clamp(0.0, 1.0) * sum;
        let weighed = self.split.iter().filter(|share| share.weight > 0.0);
        let mut last = None;
        for share in weighed {
            last = Some(share.backend.as_str());
            if left < share.weight {
                return last;
            }
            left -= share.weight;
        }
        last
    }

    /// The time within which an answer earns its full worth.
    pub fn latency_target(&self) -> Duration {
        let ms = self.target_ms.unwrap_or(self.deadline_ms as f64);
        Duration::from_secs_f64(ms.clamp(1.0, LONGEST_AIM_MS) / 1000.0)
    }
}

/// A service.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Backend {
    pub name: String,
    #[serde(default)]
    pub health_path: Option<String>,
    #[serde(default)]
    pub max_conns: Option<u32>,
    #[serde(default)]
    pub rate_per_s: Option<f64>,
}

/// What clients may send, and how long they may take.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct RequestLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A document as the data plane uses it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Config {
    pub rev: u64,
    #[serde(default)]
    pub paths: Vec<Route>,
    #[serde(default)]
    pub backends: Vec<Backend>,
    #[serde(default)]
    pub req_limits: RequestLimits,
    /// Places in `paths`, by host and prefix.
    #[serde(skip)]
    places: HashMap<String, HashMap<String, usize>>,
    /// Every `prio` there is, the highest rank first.
    #[serde(skip)]
    prios: Vec<u32>,
}

impl Config {
    /// Reads a document and checks it.
    pub fn read(document: &[u8]) -> Result<Config, InvalidConfig> {
        let mut config: Config =
            serde_json::from_slice(document).map_err(|e| InvalidConfig::Unreadable(e.to_string()))?;
        config.check()?;
        for (index, route) in config.paths.iter().enumerate() {
            let host = config.places.entry(route.hostname.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), index);
        }
        config.prios = config.paths.iter().map(|route| route.prio).collect();
        config.prios.sort_unstable();
        config.prios.dedup();
        Ok(config)
    }

    fn check(&self) -> Result<(), InvalidConfig> {
        let mut backends = HashSet::new();
        for backend in &self.backends {
            if !backends.insert(backend.name.as_str()) {
                return Err(InvalidConfig::DuplicateBackend(backend.name.clone()));
            }
        }
        let mut names = HashSet::new();
        let mut places = HashMap::new();
        for route in &self.paths {
            let name = || route.name.clone();
            if !names.insert(route.name.as_str()) {
                return Err(InvalidConfig::DuplicateRoute(name()));
            }
            if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
                return Err(InvalidConfig::InvalidPrefix(name()));
            }
            if route.deadline_ms == 0 {
                return Err(InvalidConfig::ZeroDeadline(name()));
            }
            if route.backend.is_some() != route.split.is_empty() {
                return Err(InvalidConfig::BackendOrSplit(name()));
            }
            let named = route.backend.iter().chain(route.split.iter().map(|share| &share.backend));
            for backend in named {
                if !backends.contains(backend.as_str()) {
                    return Err(InvalidConfig::UnknownBackend { path: name(), backend: backend.clone() });
                }
            }
            let weight: f64 = route.split.iter().map(|share| share.weight.max(0.0)).sum();
            if !route.split.is_empty() && weight <= 0.0 {
                return Err(InvalidConfig::ZeroWeight(name()));
            }
            let place = (route.hostname.to_ascii_lowercase(), route.path_prefix.as_str());
            if let Some(other) = places.insert(place, &route.name) {
                return Err(InvalidConfig::DuplicatePrefix { path: name(), other: other.clone() });
            }
        }
        Ok(())
    }

    /// The route of a request: of those of its host the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        // A port is no part of the name.
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let prefixes = match self.places.get(name) {
            Some(prefixes) => prefixes,
            None => self.places.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = prefixes.get(&path[..=slash]) {
                return self.paths.get(*index);
            }
            end = slash;
        }
        None
    }

    /// Where a route stands among all, from 0 for the highest rank to 1 for the lowest.
    pub fn priority_rank(&self, route: &Route) -> f64 {
        let above = self.prios.iter().filter(|prio| **prio < route.prio).count();
        above as f64 / self.prios.len().saturating_sub(1).max(1) as f64
    }

    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.iter().find(|backend| backend.name == name)
    }
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// A whole document.
    Put(Vec<u8>),
    /// Named items.
    Patch(Vec<u8>),
}

impl ConfigChange {
    /// The version that the change makes, where it can be told.
    pub fn rev(&self) -> Option<u64> {
        #[derive(Deserialize)]
        struct Rev {
            rev: u64,
        }
        match self {
            ConfigChange::Put(bytes) => serde_json::from_slice::<Rev>(bytes).ok().map(|r| r.rev),
            // As `apply` reads it: of a field that is there twice, the last counts.
            ConfigChange::Patch(bytes) => object(bytes).ok()?.get("rev")?.as_u64(),
        }
    }

    /// The document that results from the change to `current`, whose version is `rev`.
    pub fn apply(&self, current: &[u8], rev: u64) -> Result<(u64, Vec<u8>), InvalidConfig> {
        let document = match self {
            ConfigChange::Put(bytes) => bytes.clone(),
            ConfigChange::Patch(bytes) => patched(current, bytes)?,
        };
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(InvalidConfig::TooLarge(document.len()));
        }
        let config = Config::read(&document)?;
        if config.rev <= rev {
            return Err(InvalidConfig::OldVersion { current: rev, got: config.rev });
        }
        Ok((config.rev, document))
    }
}

fn object(bytes: &[u8]) -> Result<Map<String, Value>, InvalidConfig> {
    serde_json::from_slice(bytes).map_err(|e| InvalidConfig::Unreadable(e.to_string()))
}

fn patched(current: &[u8], patch: &[u8]) -> Result<Vec<u8>, InvalidConfig> {
    let unreadable = |what: &str| InvalidConfig::Unreadable(what.to_owned());
    let mut document = if current.is_empty() { Map::new() } else { object(current)? };
    let mut patch = object(patch)?;
    let rev = patch.remove("rev").ok_or_else(|| unreadable("missing field `rev`"))?;
    document.insert("rev".to_owned(), rev);
    let section = |patch: &mut Map<String, Value>, name: &str| match patch.remove(name) {
        None | Some(Value::Null) => Ok(Map::new()),
        Some(Value::Object(items)) => Ok(items),
        Some(_) => Err(unreadable(&format!("{name}: an object of lists expected"))),
    };
    for (list, names) in section(&mut patch, "remove")? {
        let Value::Array(names) = names else { return Err(unreadable("remove: lists of names expected")) };
        if let Some(Value::Array(items)) = document.get_mut(&list) {
            items.retain(|item| !names.contains(&item["name"]));
        }
    }
    for (list, news) in section(&mut patch, "upsert")? {
        let Value::Array(news) = news else {
            // Not a list of named items, such as `reqLimits`: replaced whole.
            document.insert(list, news);
            continue;
        };
        let items = document.entry(list).or_insert_with(|| Value::Array(Vec::new()));
        let Value::Array(items) = items else { return Err(unreadable("upsert: not a list")) };
        for new in news {
            if !new["name"].is_string() {
                return Err(unreadable("upsert: an item without a name"));
            }
            match items.iter_mut().find(|item| item["name"] == new["name"]) {
                Some(item) => *item = new,
                None => items.push(new),
            }
        }
    }
    serde_json::to_vec(&document).map_err(|e| InvalidConfig::Unreadable(e.to_string()))
}
