//! What servers ran and clients saw, and what of it breaks a promise.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::time::Instant;

/// A purge that was acknowledged takes effect everywhere within this time.
pub const PURGED: Duration = Duration::from_secs(2);

/// Broken promises, counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// A request that may run at most once ran more than once.
    pub twice: u64,
    /// One was answered as not run, and had run.
    pub refused: u64,
    /// A success that is not the server's whole answer.
    pub mixed: u64,
    /// An object's old version, long after its purge.
    pub stale: u64,
}

/// What an answer is, held against what servers hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    Sound,
    /// Not the server's whole answer.
    Mixed,
    /// An old version, long after its purge.
    Stale,
}

#[derive(Default)]
struct Object {
    version: u64,
    /// When the purge was acknowledged that ended each older version.
    ended: HashMap<u64, Instant>,
}

#[derive(Default)]
pub struct Ledger {
    objects: RefCell<HashMap<String, Object>>,
    runs: RefCell<HashMap<String, u32>>,
    broken: RefCell<Broken>,
}

/// The body of an object's version: its name, so that it can be told apart, and filled up.
pub fn body(path: &str, version: u64, length: usize) -> Bytes {
    let mut body = format!("{path} v{version}\n").into_bytes();
    let mut fill = glenfall_balancer::mix(version ^ path.len() as u64);
    while body.len() < length {
        fill = glenfall_balancer::mix(fill);
        body.extend_from_slice(&fill.to_le_bytes());
    }
    body.truncate(length);
    body.into()
}

impl Ledger {
    pub fn version(&self, path: &str) -> u64 {
        self.objects.borrow().get(path).map_or(0, |object| object.version)
    }

    /// An object changes; returns the version that is no longer good.
    pub fn change(&self, path: &str) -> u64 {
        let mut objects = self.objects.borrow_mut();
        let object = objects.entry(path.to_owned()).or_default();
        object.version += 1;
        object.version - 1
    }

    /// The purge of a version was acknowledged.
    pub fn purged(&self, path: &str, version: u64) {
        if let Some(object) = self.objects.borrow_mut().get_mut(path) {
            object.ended.insert(version, Instant::now());
        }
    }

    /// A server begins to work on a try that may run once.
    pub fn ran(&self, id: &str) {
        let mut runs = self.runs.borrow_mut();
        let times = runs.entry(id.to_owned()).or_default();
        *times += 1;
        if *times == 2 {
            self.broken.borrow_mut().twice += 1;
        }
    }

    /// Whether a try that may run once has run.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.borrow().contains_key(id)
    }

    /// A client was told that a try had not run.
    pub fn told_not_run(&self, id: &str) {
        if self.runs.borrow().contains_key(id) {
            self.broken.borrow_mut().refused += 1;
        }
    }

    /// A client got a success for a request that it sent at `sent`.
    pub fn got(&self, path: &str, sent: Instant, sealed: bool, got: &[u8], length: usize) {
        match self.judge(path, sent, sealed, got, length) {
            Judgement::Sound => {}
            Judgement::Mixed => self.broken.borrow_mut().mixed += 1,
            Judgement::Stale => self.broken.borrow_mut().stale += 1,
        }
    }

    /// What a success is that a client got for a request that it sent at `sent`.
    pub fn judge(&self, path: &str, sent: Instant, sealed: bool, got: &[u8], length: usize) -> Judgement {
        let head = format!("{path} v");
        let text = got.split(|byte| *byte == b'\n').next().and_then(|line| std::str::from_utf8(line).ok());
        let version = text.and_then(|line| line.strip_prefix(&head)?.parse::<u64>().ok());
        let Some(version) = version.filter(|v| sealed && got == &body(path, *v, length)[..]) else {
            return Judgement::Mixed;
        };
        let objects = self.objects.borrow();
        let ended = objects.get(path).and_then(|object| object.ended.get(&version));
        if ended.is_some_and(|ended| sent >= *ended + PURGED) {
            return Judgement::Stale;
        }
        Judgement::Sound
    }

    pub fn broken(&self) -> Broken {
        self.broken.borrow().clone()
    }
}
