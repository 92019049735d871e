//! A shield's copies on disk, so that they outlive its process and a loss of power: SQLite on a thread of its own,
//! behind the copies in memory by a moment. It is a cache: what can't be read is thrown away, never waited for.
//!
//! What is read at a start may have been purged meanwhile. It is of use only once control has told of all purges of
//! the last while (see [`Shield`](crate::shield::Shield)), and only if it was written within that while.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::purge_history::PURGE_RETENTION;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use nix::time::{clock_gettime, ClockId};
use rusqlite::{Connection, OptionalExtension};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::cache::backlog::{Backlog, Reserved};
use crate::cache::ObjectKey;
use crate::disk::{self, now_ms};

/// The file's name in its folder.
pub const FILE: &str = "copies.sqlite";
/// Changes within this time are written as one, with one sync.
const GATHER: Duration = Duration::from_millis(300);
/// Bytes of copies that wait to be written; what comes beyond is kept in memory only.
pub const MOST_WAITING: usize = 8 << 20;
/// Rows that changes wait for at most, of all kinds: a disk that hangs must not fill the memory with them.
pub const MOST_ENTRIES: usize = 1 << 16;
/// Pages of the file, and of the log before it, in bytes: a copy takes few of them.
const PAGE: usize = 16 << 10;
/// The log goes into the file when it has so many pages, and is cut back to that where it was longer.
const LOG_PAGES: usize = 512;
/// Changes that are written as one: each may take a page of the log, which then has twice [`LOG_PAGES`] at most, and
/// the pages of [`MOST_WAITING`].
const MOST_AT_ONCE: usize = 256;
/// Part of the disk that the file may take: copies by their number in memory, and what is free within it.
const PART_OF_DISK: f64 = 0.55;
/// Ages are told by the steady clock. Where that has begun anew since, or the time of day does not agree with it, the time
/// of day tells how long ago the file was written last. It may be off by so much: copies are taken for older.
const CLOCK_OFF: Duration = Duration::from_secs(3);
/// What was written longer ago than this before a start is not used: purges of that time are not remembered. Less
/// than that time, by what a start takes.
const FRESH: Duration = Duration::from_millis(PURGE_RETENTION - 20_000);
/// Pause after the disk refused something.
const AGAIN: Duration = Duration::from_millis(500);

/// A copy as it lies on disk.
pub struct Row {
    /// What it is a copy of.
    pub key: ObjectKey,
    /// The server's, as they are kept.
    pub headers: HeaderMap,
    /// By which it can be purged.
    pub labels: Vec<Box<str>>,
    /// All of the object.
    pub body: Bytes,
    /// How old it is.
    pub age: Duration,
}

/// The part of a row that is no body.
#[derive(Serialize, Deserialize)]
struct Head {
    service: String,
    host: String,
    path: String,
    headers: Vec<(String, Vec<u8>)>,
    labels: Vec<String>,
}

enum Change {
    Put { id: String, head: Vec<u8>, body: Bytes, born: i64 },
    Born { id: String, born: i64 },
    Remove(Vec<String>),
}

/// A moment by the time of day and by the steady clock, in milliseconds.
#[derive(Clone, Copy)]
struct Clocks {
    day: i64,
    steady: i64,
}

impl Clocks {
    fn now() -> Clocks {
        Clocks { day: now_ms(), steady: steady_ms() }
    }
}

/// A change on its way to the thread that writes, and its part of the backlogs.
struct Queued {
    change: Change,
    at: Clocks,
    _entries: Reserved,
    _body: Option<Reserved>,
}

impl Change {
    fn rows(&self) -> usize {
        match self {
            Change::Put { .. } | Change::Born { .. } => 1,
            Change::Remove(ids) => ids.len(),
        }
    }
}

/// The way to the thread that writes.
pub struct DiskCache {
    changes: mpsc::Sender<Queued>,
    /// Bytes of bodies that wait, and rows of all changes.
    bodies: Backlog,
    entries: Backlog,
    /// A removal found no place in the queue: all that was queued before it, and the file, is thrown away.
    removal_lost: Arc<AtomicBool>,
}

/// The steady clock, which goes on while the machine runs, whatever becomes of the process.
fn steady_ms() -> i64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC);
    now.map_or(0, |now| now.tv_sec() * 1000 + now.tv_nsec() / 1_000_000)
}

fn id(key: &ObjectKey) -> String {
    // None of the three holds a line break: they come from a head.
    format!("{}\n{}\n{}", key.service, key.host, key.path)
}

fn born(age: Duration) -> i64 {
    steady_ms() - age.as_millis() as i64
}

impl DiskCache {
    /// Opens the copies in a folder; what is there comes through the receiver.
    pub fn open(folder: &Path, disk_mb: u64) -> std::io::Result<(DiskCache, oneshot::Receiver<Vec<Row>>)> {
        let (kept, mut writer, found) = DiskCache::prepare(folder, disk_mb);
        std::thread::Builder::new().name("copies".into()).spawn(move || writer.run())?;
        Ok((kept, found))
    }

    /// The same, for a caller that runs the writer itself.
    pub fn prepare(folder: &Path, disk_mb: u64) -> (DiskCache, Writer, oneshot::Receiver<Vec<Row>>) {
        let (changes, queue) = mpsc::channel();
        let (tell, found) = oneshot::channel();
        let (bodies, entries) = (Backlog::new(MOST_WAITING), Backlog::new(MOST_ENTRIES));
        let removal_lost = Arc::new(AtomicBool::new(false));
        let file = File {
            path: folder.join(FILE),
            most_pages: (disk_mb as f64 * PART_OF_DISK * f64::from(1 << 20)) as usize / PAGE,
        };
        let writer = Writer {
            file,
            queue,
            bodies: bodies.clone(),
            removal_lost: Arc::clone(&removal_lost),
            tell: Some(tell),
        };
        (DiskCache { changes, bodies, entries, removal_lost }, writer, found)
    }

    /// Bytes of copies that wait to be written.
    pub fn waiting(&self) -> usize {
        self.bodies.waiting()
    }

    /// Writes a copy, in place of what lay there under its name.
    pub fn put(
        &self,
        key: &ObjectKey,
        headers: &HeaderMap,
        labels: &[Box<str>],
        body: &Bytes,
        age: Duration,
    ) {
        let rooms = self.bodies.reserve(body.len()).zip(self.entries.reserve(1));
        let Some((room, entries)) = rooms else {
            // What lay there before is another version.
            return self.remove(std::slice::from_ref(key));
        };
        let text = |(name, value): (&HeaderName, &HeaderValue)| (name.to_string(), value.as_bytes().to_vec());
        let head = Head {
            service: key.service.to_string(),
            host: key.host.to_string(),
            path: key.path.to_string(),
            headers: headers.iter().map(text).collect(),
            labels: labels.iter().map(ToString::to_string).collect(),
        };
        let Ok(head) = postcard::to_stdvec(&head) else { return };
        let change = Change::Put { id: id(key), head, body: body.clone(), born: born(age) };
        self.send(change, entries, Some(room));
    }

    /// A copy was asked for again, and has not changed.
    pub fn refreshed(&self, key: &ObjectKey, age: Duration) {
        // Without it the copy is taken for older than it is.
        if let Some(entries) = self.entries.reserve(1) {
            self.send(Change::Born { id: id(key), born: born(age) }, entries, None);
        }
    }

    /// Removes copies that are there.
    pub fn remove(&self, keys: &[ObjectKey]) {
        for some in keys.chunks(MOST_AT_ONCE) {
            match self.entries.reserve(some.len()) {
                Some(entries) => self.send(Change::Remove(some.iter().map(id).collect()), entries, None),
                None => self.removal_lost.store(true, Ordering::Release),
            }
        }
    }

    fn send(&self, change: Change, entries: Reserved, body: Option<Reserved>) {
        // The thread ends with the process only.
        let _ = self.changes.send(Queued { change, at: Clocks::now(), _entries: entries, _body: body });
    }
}

struct File {
    path: PathBuf,
    most_pages: usize,
}

impl File {
    fn open(&self) -> rusqlite::Result<Connection> {
        if let Some(folder) = self.path.parent() {
            // Where that fails, so does the next step.
            let _ = std::fs::create_dir_all(folder);
        }
        let db = disk::open(&self.path, PAGE)?;
        db.pragma_update(None, "wal_autocheckpoint", LOG_PAGES)?;
        db.pragma_update(None, "journal_size_limit", LOG_PAGES * PAGE)?;
        db.pragma_update(None, "max_page_count", self.most_pages)?;
        db.execute_batch(
            "CREATE TABLE IF NOT EXISTS copies (id TEXT PRIMARY KEY, head BLOB NOT NULL, body BLOB NOT NULL, \
             born INTEGER NOT NULL, crc INTEGER NOT NULL) WITHOUT ROWID; \
             CREATE TABLE IF NOT EXISTS written \
             (id INTEGER PRIMARY KEY, at INTEGER NOT NULL, steady INTEGER NOT NULL)",
        )?;
        Ok(db)
    }

    /// Opens the file, or a new one where it is no use.
    fn open_anew(&self) -> Option<Connection> {
        match self.open() {
            Ok(db) => Some(db),
            Err(error) => {
                tracing::warn!(%error, "copies on disk can't be opened; they are thrown away");
                disk::throw_away(&self.path);
                self.open().ok()
            }
        }
    }
}

fn crc(head: &[u8], body: &[u8]) -> i64 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(head);
    hash.update(body);
    i64::from(hash.finalize())
}

/// How long ago the file was written last, by the time of day and by the steady clock. `None` where it was too long ago,
/// or nothing can be told: the time of day was set back.
pub fn since_written(by_day: i64, by_steady: i64) -> Option<Duration> {
    let off = CLOCK_OFF.as_millis() as i64;
    let agree = by_steady >= 0 && (by_day - by_steady).abs() <= off;
    let since = if agree { by_steady } else { by_day + off };
    let told = (agree || by_day >= 0) && (0..FRESH.as_millis() as i64).contains(&since);
    told.then(|| Duration::from_millis(since as u64))
}

/// Reads all copies that are whole and not too old.
fn read_all(db: &Connection) -> rusqlite::Result<Vec<Row>> {
    let last = |row: &rusqlite::Row| Ok((row.get::<_, i64>(0)?, row.get::<_, i64>(1)?));
    let Some((at, steady)) = db.query_row("SELECT at, steady FROM written", [], last).optional()? else {
        return Ok(Vec::new());
    };
    let Some(since) = since_written(now_ms() - at, steady_ms() - steady) else { return Ok(Vec::new()) };
    let mut all = db.prepare("SELECT head, body, born, crc FROM copies")?;
    let rows = all.query_map([], |row| {
        Ok((
            row.get::<_, Vec<u8>>(0)?,
            row.get::<_, Vec<u8>>(1)?,
            row.get::<_, i64>(2)?,
            row.get::<_, i64>(3)?,
        ))
    })?;
    let mut found = Vec::new();
    for row in rows {
        let (head, body, born, sum) = row?;
        if sum != crc(&head, &body) || born > steady {
            continue;
        }
        let Ok(head) = postcard::from_bytes::<Head>(&head) else { continue };
        let mut headers = HeaderMap::new();
        for (name, value) in &head.headers {
            if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        found.push(Row {
            key: ObjectKey { service: head.service.into(), host: head.host.into(), path: head.path.into() },
            headers,
            labels: head.labels.into_iter().map(Box::from).collect(),
            body: body.into(),
            age: Duration::from_millis((steady - born) as u64) + since,
        });
    }
    Ok(found)
}

fn write(db: &mut Connection, changes: &[Queued]) -> rusqlite::Result<()> {
    let transaction = db.transaction()?;
    {
        let mut put = transaction.prepare_cached(
            "INSERT OR REPLACE INTO copies (id, head, body, born, crc) VALUES (?1, ?2, ?3, ?4, ?5)",
        )?;
        let mut age = transaction.prepare_cached("UPDATE copies SET born = ?2 WHERE id = ?1")?;
        let mut remove = transaction.prepare_cached("DELETE FROM copies WHERE id = ?1")?;
        for queued in changes {
            match &queued.change {
                Change::Put { id, head, body, born } => {
                    put.execute((id, head, &body[..], born, crc(head, body)))?;
                }
                Change::Born { id, born } => {
                    age.execute((id, born))?;
                }
                Change::Remove(ids) => {
                    for id in ids {
                        remove.execute([id])?;
                    }
                }
            }
        }
        // The file is as of then: what was removed since waits in the queue, however long this write takes.
        if let Some(Clocks { day, steady }) = changes.last().map(|last| last.at) {
            let written = "INSERT OR REPLACE INTO written (id, at, steady) VALUES (1, ?1, ?2)";
            transaction.execute(written, [day, steady])?;
        }
    }
    transaction.commit()
}

/// The side that reads and writes the file.
pub struct Writer {
    file: File,
    queue: mpsc::Receiver<Queued>,
    bodies: Backlog,
    removal_lost: Arc<AtomicBool>,
    tell: Option<oneshot::Sender<Vec<Row>>>,
}

impl Writer {
    /// Bytes of copies that wait to be written.
    pub fn waiting(&self) -> usize {
        self.bodies.waiting()
    }

    /// Tells what is there, then writes until nobody can put or remove any more.
    pub fn run(&mut self) {
        let mut db = self.read();
        let mut behind = false;
        while let Ok(first) = self.queue.recv() {
            if !behind {
                std::thread::sleep(GATHER);
            }
            let changes = self.gather(first);
            behind = rows(&changes) >= MOST_AT_ONCE;
            // Asked for after the changes were taken: a removal that was lost before one of them shows here.
            if self.removal_lost.swap(false, Ordering::AcqRel) {
                db = None;
                self.throw_all_away();
                continue;
            }
            db = db.or_else(|| self.file.open_anew());
            let written = db.as_mut().map(|db| write(db, &changes));
            drop(changes);
            if let Some(Err(error)) = written {
                // Full, or the disk refuses: what should have gone may still lie there, so that all of it goes.
                tracing::warn!(%error, "copies not written to disk; those there are thrown away");
                db = None;
                disk::throw_away(&self.file.path);
                std::thread::sleep(AGAIN);
            }
        }
    }

    /// Lets go of what is queued and what lies in the file, as a removal among it was lost.
    fn throw_all_away(&self) {
        tracing::warn!("too many changes wait for the disk; the copies there are thrown away");
        while self.queue.try_recv().is_ok() {}
        disk::throw_away(&self.file.path);
    }

    /// Opens the file and tells what is there.
    fn read(&mut self) -> Option<Connection> {
        let mut db = self.file.open_anew();
        let found = db.as_ref().map(read_all);
        if let Some(Err(error)) = &found {
            tracing::warn!(%error, "copies on disk can't be read; they are thrown away");
            db = None;
            disk::throw_away(&self.file.path);
        }
        if let Some(tell) = self.tell.take() {
            // Nobody may wait for them any more.
            let _ = tell.send(found.and_then(Result::ok).unwrap_or_default());
        }
        db
    }

    /// Changes that are written as one.
    fn gather(&self, first: Queued) -> Vec<Queued> {
        let mut changes = vec![first];
        while rows(&changes) < MOST_AT_ONCE {
            let Ok(next) = self.queue.try_recv() else { break };
            changes.push(next);
        }
        changes
    }
}

/// Rows that changes touch.
fn rows(changes: &[Queued]) -> usize {
    changes.iter().map(|queued| queued.change.rows()).sum()
}
