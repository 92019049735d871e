//! Copies of objects: bounded in bytes, the least recently used go first; ended by age and by purges.

pub mod backlog;
pub mod disk;

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::messages::{AgedPurge, Purge};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::StatusCode;
use lru::LruCache;
use tokio::time::Instant;

use crate::http::headers::{passed_on, TRY_ID};
use crate::http::response::{CachedResponse, ProxyResponse, ServerResponse, AGE_MS, SEAL, TAGS};

/// What a copy costs beside its body: headers, names, places in the tables.
pub const OVERHEAD: usize = 1024;
/// A copy is taken for older than a purge unless it is younger by more than this: what an age took on its way counts
/// for none of them.
const ORDER: Duration = Duration::from_secs(1);
/// No copy takes more than this part of all room.
const LARGEST_PART: usize = 8;

/// A whole answer that may be given again.
#[derive(Debug)]
pub struct Copy {
    /// The server's, without those of one connection.
    pub headers: HeaderMap,
    /// All of the object.
    pub body: Bytes,
    /// When the fetch was sent: it is no younger than that.
    pub born: Cell<Instant>,
    /// By which it can be purged.
    pub labels: Vec<Box<str>>,
}

impl Copy {
    /// A copy of an answer, if it may be kept.
    pub fn of(response: &ServerResponse, born: Instant) -> Option<Copy> {
        let headers = response.headers();
        let spared = headers.get_all(header::CACHE_CONTROL).iter().any(|value| {
            let value = value.to_str().unwrap_or("no-store").to_ascii_lowercase();
            value.contains("no-store") || value.contains("private")
        });
        let whole = response.status() == StatusCode::OK
            && headers.contains_key(SEAL)
            && !headers.contains_key(header::CONTENT_ENCODING)
            && !headers.contains_key(header::CONTENT_RANGE);
        if spared || !whole {
            return None;
        }
        let tags = headers.get_all(TAGS).iter().filter_map(|value| value.to_str().ok());
        let labels = tags.flat_map(str::split_whitespace).map(Box::from).collect();
        let mut headers = passed_on(headers);
        headers.remove(TRY_ID);
        headers.remove(header::AGE);
        Some(Copy { headers, body: response.body().clone(), born: Cell::new(born), labels })
    }

    /// Tells an edge what it has to know to keep the copy as well.
    pub fn hand_on(&self, response: &mut ProxyResponse) {
        response.set_copy_details(self.age(), &self.labels.join(" "));
    }

    /// When a copy was born that a shield handed on in answer to a request sent at this time.
    pub fn handed_on(response: &ServerResponse, asked: Instant) -> Option<Instant> {
        let age = response.headers().get(AGE_MS)?.to_str().ok()?.parse().ok()?;
        asked.checked_sub(Duration::from_millis(age))
    }

    fn size(&self) -> usize {
        self.body.len() + OVERHEAD
    }

    /// How long ago its fetch was sent.
    pub fn age(&self) -> Duration {
        self.born.get().elapsed()
    }

    /// Whether it bears a label.
    pub fn labelled(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }

    /// The answer to a request with these headers: all of the object, the range that it names, or the word
    /// that it has not changed.
    pub fn answer(&self, request: &HeaderMap) -> CachedResponse {
        let mut headers = self.headers.clone();
        headers.insert(header::AGE, HeaderValue::from(self.age().as_secs()));
        if let Some(id) = request.get(TRY_ID) {
            headers.insert(TRY_ID, id.clone());
        }
        let etag = self.headers.get(header::ETAG);
        let text = |name| request.get(name).and_then(|value| value.to_str().ok());
        if etag.is_some() && request.get(header::IF_NONE_MATCH) == etag {
            return CachedResponse::not_modified(headers);
        }
        let length = self.body.len();
        let current = request.get(header::IF_RANGE).is_none_or(|given| Some(given) == etag);
        match text(header::RANGE).filter(|_| current).and_then(|range| range_of(range, length)) {
            None => CachedResponse::whole(headers, self.body.clone()),
            Some(Err(Beyond)) => CachedResponse::range_not_satisfiable(length),
            Some(Ok((first, last))) => CachedResponse::range(headers, &self.body, first, last),
        }
    }
}

/// A range that begins past the end.
#[derive(Debug, PartialEq, Eq)]
struct Beyond;

/// First and last byte of a single range that names its first; `None` where the whole is to be given.
fn range_of(range: &str, length: usize) -> Option<Result<(usize, usize), Beyond>> {
    let (first, last) = range.trim().strip_prefix("bytes=")?.split_once('-')?;
    let first: usize = first.trim().parse().ok()?;
    let last = match last.trim() {
        "" => usize::MAX,
        last => last.parse().ok()?,
    };
    if last < first {
        return None;
    }
    Some(if first >= length { Err(Beyond) } else { Ok((first, last.min(length - 1))) })
}

/// What a copy is known by: service, host, path and query.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObjectKey {
    /// The service of its servers.
    pub service: Arc<str>,
    /// As the client named it.
    pub host: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
}

impl ObjectKey {
    /// Whether a purge by place names it, whatever its query.
    pub fn at(&self, hostname: &str, path: &str) -> bool {
        let own = self.path.split_once('?').map_or(&*self.path, |(path, _)| path);
        own == path && self.host.eq_ignore_ascii_case(hostname)
    }
}

/// Copies, by object and by label.
pub struct Cache {
    copies: LruCache<ObjectKey, Rc<Copy>>,
    labels: HashMap<Box<str>, HashSet<ObjectKey>>,
    bytes: usize,
    most: usize,
}

impl Cache {
    /// An empty cache that holds no more than `most` bytes.
    pub fn new(most: usize) -> Self {
        Cache { copies: LruCache::unbounded(), labels: HashMap::new(), bytes: 0, most }
    }

    /// A copy, which counts as used now.
    pub fn get(&mut self, key: &ObjectKey) -> Option<Rc<Copy>> {
        self.copies.get(key).cloned()
    }

    /// Takes a copy; returns what had to go for it, itself where it is too large.
    pub fn insert(&mut self, key: ObjectKey, copy: Rc<Copy>) -> Vec<ObjectKey> {
        if copy.size() > self.most / LARGEST_PART {
            self.remove(&key);
            return vec![key];
        }
        self.bytes += copy.size();
        for label in &copy.labels {
            self.labels.entry(label.clone()).or_default().insert(key.clone());
        }
        if let Some((old_key, old)) = self.copies.push(key.clone(), copy) {
            // What was there before under the same name.
            self.let_go(&old_key, &old);
            let now: Vec<Box<str>> = self.copies.peek(&key).map(|c| c.labels.clone()).unwrap_or_default();
            for label in now {
                self.labels.entry(label).or_default().insert(key.clone());
            }
        }
        let mut gone = Vec::new();
        while self.bytes > self.most {
            let Some((key, copy)) = self.copies.pop_lru() else { break };
            self.let_go(&key, &copy);
            gone.push(key);
        }
        gone
    }

    /// All that it holds, the least recently used first.
    pub fn into_all(self) -> impl Iterator<Item = (ObjectKey, Rc<Copy>)> {
        self.copies.into_iter()
    }

    fn remove(&mut self, key: &ObjectKey) {
        if let Some(copy) = self.copies.pop(key) {
            self.let_go(key, &copy);
        }
    }

    /// Counts out a copy that is no longer among the copies.
    fn let_go(&mut self, key: &ObjectKey, copy: &Copy) {
        self.bytes -= copy.size();
        for label in &copy.labels {
            if let Some(keys) = self.labels.get_mut(label) {
                keys.remove(key);
                if keys.is_empty() {
                    self.labels.remove(label);
                }
            }
        }
    }

    /// Ends all copies that a purge names, but for those asked for after it was taken; returns which.
    pub fn purge(&mut self, aged: &AgedPurge) -> Vec<ObjectKey> {
        let mut named: Vec<ObjectKey> = match &aged.purge {
            Purge::Everything => self.copies.iter().map(|(key, _)| key.clone()).collect(),
            Purge::Label(label) => {
                self.labels.get(label.as_str()).map(|keys| keys.iter().cloned().collect()).unwrap_or_default()
            }
            Purge::Object { hostname, path } => {
                self.copies.iter().map(|(key, _)| key).filter(|key| key.at(hostname, path)).cloned().collect()
            }
        };
        let age = Duration::from_millis(aged.age_ms);
        named.retain(|key| self.copies.peek(key).is_none_or(|copy| copy.age() + ORDER >= age));
        for key in &named {
            self.remove(key);
        }
        named
    }

    /// Copies that it holds.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Labels that some copy has.
    pub fn labels(&self) -> usize {
        self.labels.len()
    }

    /// What all copies cost.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
