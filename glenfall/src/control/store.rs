//! The chain's state on disk: one row of SQLite with a checksum, and those of `taken.rs`, written by a thread of its own, as a sync takes
//! its time. What can't be trusted is set aside, never read as if it were whole.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use glenfall_control_plane::chain::{HardState, JointConfig, NodeId, Record};
use glenfall_control_plane::deduplication::{AppliedOrder, DeduplicationTable};
use rusqlite::{Connection, ErrorCode, OpenFlags, OptionalExtension};
use serde::{Deserialize, Serialize};

use super::idempotency_keys;
use crate::disk;

/// Pause before a write that the disk refused is tried again; what waits for it waits on.
const AGAIN: Duration = Duration::from_millis(200);
/// The layout of the file. A file that says another is not read, but for those before.
const LAYOUT: i64 = 3;
/// The layout in which taken orders were known by weak prints, which are not read any more.
const PRINTS: i64 = 2;
/// The layout in which the voters were fixed.
const FIXED: i64 = 1;
/// The row that the store was made with. It holds nothing; where it is missing, others may be as well.
const MADE: i64 = 0;
const STATE: i64 = 1;
/// Bytes of the shortest file that holds anything, in SQLite's smallest page.
const SHORTEST: u64 = 512;
const FILE: &str = "state.sqlite";
/// A damaged file is kept under this name for whoever wants to know what came of it.
const DAMAGED: &str = "state.sqlite.damaged";
const JOURNAL: &str = "state.sqlite-journal";
/// Tells that there was a store here: without one beside it, the store is lost, and this is no first start.
const WAS_MADE: &str = "state.made";

/// Why state can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database refused something.
    #[error("state on disk: {0}")]
    Sqlite(#[from] rusqlite::Error),
    /// So did the disk.
    #[error("state on disk: {0}")]
    Io(#[from] std::io::Error),
    /// A row does not hold what it should.
    #[error("state on disk: row can't be read: {0}")]
    Row(#[from] postcard::Error),
    /// What is there does not match its checksum, or is incomplete.
    #[error("state on disk: {0}")]
    Damaged(String),
    /// A file that was set aside earlier lies where this one should go.
    #[error("{} is in the way: state is put only where there is none", .0.display())]
    InTheWay(PathBuf),
}

impl StoreError {
    /// The file is not what was written, rather than the disk not answering.
    fn is_damage(&self) -> bool {
        match self {
            StoreError::Sqlite(rusqlite::Error::SqliteFailure(e, _)) => {
                // A page that the file should have lies beyond its end.
                let cut = e.extended_code == rusqlite::ffi::SQLITE_IOERR_SHORT_READ;
                cut || matches!(e.code, ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase)
            }
            // No such table, or a column of another type: the file is whole, and not ours any more.
            StoreError::Sqlite(_) | StoreError::Row(_) | StoreError::Damaged(_) => true,
            StoreError::Io(_) | StoreError::InTheWay(_) => false,
        }
    }
}

/// What was on disk at the start.
#[derive(Debug, PartialEq)]
pub enum Found {
    /// No state was ever written here.
    Nothing,
    /// The last state that was written whole.
    Kept(HardState),
    /// Something that is no state; it was set aside.
    Damaged(String),
}

/// An open store; nothing else can use its file.
pub struct Store {
    db: Connection,
    /// Chunks of taken orders that have a row.
    written: RefCell<Vec<Arc<[AppliedOrder]>>>,
}

/// The database in a folder.
pub fn path_in(folder: &Path) -> PathBuf {
    folder.join(FILE)
}

impl Store {
    /// Opens the database in a folder, or makes it. Nothing else uses the file: with the lock held from the
    /// start there is no index in shared memory, and a full sync covers each commit.
    pub fn open(folder: &Path) -> Result<(Store, Found), StoreError> {
        disk::make_folder(folder)?;
        let (path, made) = (path_in(folder), folder.join(WAS_MADE));
        let empty = std::fs::metadata(&path).map_or(0, |file| file.len()) == 0;
        if empty && made.exists() {
            set_aside(folder)?;
        }
        let (store, found) = match Store::open_whole(&path) {
            Ok((store, None)) if folder.join(DAMAGED).exists() => {
                (store, Found::Damaged("set aside, or gone, at this start or an earlier one".into()))
            }
            Ok((store, None)) => (store, Found::Nothing),
            Ok((store, Some(state))) => (store, Found::Kept(state)),
            Err(error) if error.is_damage() => {
                set_aside(folder)?;
                let (store, _) = Store::open_whole(&path)?;
                (store, Found::Damaged(error.to_string()))
            }
            Err(error) => return Err(error),
        };
        // Nothing is promised before the names of the files are as safe as what will be in them.
        disk::sync_folder(folder)?;
        if !made.exists() {
            std::fs::File::create(&made)?.sync_all()?;
            disk::sync_folder(folder)?;
        }
        Ok((store, found))
    }

    fn open_whole(path: &Path) -> Result<(Store, Option<HardState>), StoreError> {
        // SQLite takes what is too short for a header for an empty file.
        let size = std::fs::metadata(path).map_or(0, |file| file.len());
        // With a journal beside it, it is put back to what it was.
        let journal = std::fs::metadata(path.with_file_name(JOURNAL)).map_or(0, |file| file.len());
        if (1..SHORTEST).contains(&size) && journal == 0 {
            return Err(StoreError::Damaged(format!("{size} bytes left")));
        }
        let mut db = Connection::open(path)?;
        db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
        db.pragma_update(None, "journal_mode", "TRUNCATE")?;
        db.pragma_update(None, "synchronous", "FULL")?;
        db.pragma_update(None, "mmap_size", 0)?;
        let tables: i64 = db.query_row("SELECT count(*) FROM sqlite_master", [], |row| row.get(0))?;
        if tables == 0 && layout(&db)? == 0 {
            let making = db.transaction()?;
            making.execute_batch(
                "CREATE TABLE chain (id INTEGER PRIMARY KEY, state BLOB NOT NULL, crc INTEGER NOT NULL)",
            )?;
            making.execute("INSERT INTO chain (id, state, crc) VALUES (?1, x'', 0)", [MADE])?;
            making.execute_batch(idempotency_keys::TABLE)?;
            making.pragma_update(None, "user_version", LAYOUT)?;
            making.commit()?;
            return Ok((Store { db, written: RefCell::default() }, None));
        }
        let state = read_whole(&db)?;
        let taken = state.as_ref().map(|state| state.record.applied_orders.chunks().0.to_vec());
        let store = Store { db, written: RefCell::new(taken.unwrap_or_default()) };
        if layout(&store.db)? != LAYOUT {
            store.take_over(state.as_ref())?;
        }
        Ok((store, state))
    }

    /// Writes what was found in a layout before in this one, both or neither.
    fn take_over(&self, state: Option<&HardState>) -> Result<(), StoreError> {
        let whole = self.db.unchecked_transaction()?;
        whole.execute_batch(idempotency_keys::TABLE)?;
        if let Some(state) = state {
            self.write(state)?;
        }
        whole.pragma_update(None, "user_version", LAYOUT)?;
        Ok(whole.commit()?)
    }

    /// The state as the file has it.
    pub fn read(&self) -> Result<Option<HardState>, StoreError> {
        read_whole(&self.db)
    }

    /// Rows written and deleted since it was opened.
    pub fn rows_changed(&self) -> u64 {
        self.db.total_changes()
    }

    /// Writes a state in place of the one before, both its rows and those of the orders, or none.
    pub fn save(&self, state: &HardState) -> Result<(), StoreError> {
        // Undone where it is dropped before its end.
        let whole = self.db.unchecked_transaction()?;
        self.write(state)?;
        whole.commit()?;
        self.written.replace(state.record.applied_orders.chunks().0.to_vec());
        Ok(())
    }

    fn write(&self, state: &HardState) -> Result<(), StoreError> {
        let table = idempotency_keys::write(&self.db, &self.written.borrow(), &state.record.applied_orders)?;
        let bytes = postcard::to_stdvec(&Row::of(state, table))?;
        let crc = i64::from(crc32fast::hash(&bytes));
        self.db.execute(
            "INSERT OR REPLACE INTO chain (id, state, crc) VALUES (?1, ?2, ?3)",
            (STATE, bytes, crc),
        )?;
        Ok(())
    }
}

/// The state as its row has it.
#[derive(Serialize, Deserialize)]
struct Row {
    members: JointConfig,
    votes: bool,
    promised: u64,
    accepted: u64,
    seq: u64,
    rev: u64,
    document: Vec<u8>,
    taken: idempotency_keys::Named,
}

impl Row {
    fn of(state: &HardState, taken: idempotency_keys::Named) -> Row {
        let HardState { members, votes, promised, accepted, record } = state.clone();
        let (seq, rev, document) = (record.seq, record.rev, record.document.clone());
        Row { members, votes, promised, accepted, seq, rev, document, taken }
    }

    fn state(self, taken: DeduplicationTable) -> HardState {
        let Row { members, votes, promised, accepted, seq, rev, document, .. } = self;
        let record = Arc::new(Record { seq, rev, document, applied_orders: taken });
        HardState { members, votes, promised, accepted, record }
    }
}

/// Keeps a file that is no state under another name, or notes that there is none any more. Its old name is free for
/// good before a new store is made: else a loss of power could leave the new one without a word of the old.
fn set_aside(folder: &Path) -> Result<(), StoreError> {
    match std::fs::rename(path_in(folder), folder.join(DAMAGED)) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
            std::fs::File::create(folder.join(DAMAGED))?.sync_all()?;
        }
        renamed => renamed?,
    }
    disk::sync_folder(folder)?;
    match std::fs::remove_file(folder.join(JOURNAL)) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(e.into()),
        _ => Ok(disk::sync_folder(folder)?),
    }
}

fn layout(db: &Connection) -> Result<i64, rusqlite::Error> {
    db.query_row("PRAGMA user_version", [], |row| row.get(0))
}

/// Reads the state, or says why the file can't be trusted. `None` where none was written yet.
fn read_whole(db: &Connection) -> Result<Option<HardState>, StoreError> {
    let damaged = |what: &str| StoreError::Damaged(what.into());
    let layout = layout(db)?;
    if !matches!(layout, LAYOUT | PRINTS | FIXED) {
        return Err(StoreError::Damaged(format!("layout {LAYOUT} expected, got {layout}")));
    }
    let checked: String = db.query_row("PRAGMA integrity_check(1)", [], |row| row.get(0))?;
    if checked != "ok" {
        return Err(StoreError::Damaged(checked.replace('\n', " ")));
    }
    let row = |id: i64| {
        let read = |row: &rusqlite::Row| Ok((row.get::<_, Vec<u8>>(0)?, row.get::<_, i64>(1)?));
        db.query_row("SELECT state, crc FROM chain WHERE id = ?1", [id], read).optional()
    };
    if row(MADE)?.is_none() {
        return Err(damaged("its first row is missing"));
    }
    let Some((bytes, crc)) = row(STATE)? else { return Ok(None) };
    if crc != i64::from(crc32fast::hash(&bytes)) {
        return Err(damaged("checksum does not match"));
    }
    Ok(Some(match layout {
        FIXED => postcard::from_bytes::<WithFixedVoters>(&bytes)?.into(),
        PRINTS => postcard::from_bytes::<WithPrints>(&bytes)?.into(),
        _ => {
            let row = postcard::from_bytes::<Row>(&bytes)?;
            let taken = idempotency_keys::read(db, &row.taken)?;
            row.state(taken)
        }
    }))
}

/// A record as it was while taken orders were known by prints of 64 bits.
#[derive(Serialize, Deserialize)]
struct PrintsRecord {
    seq: u64,
    rev: u64,
    document: Vec<u8>,
    prints: Vec<(u64, u64)>,
}

impl From<PrintsRecord> for Arc<Record> {
    /// A print is not enough to confirm an order by, and its absence none to refuse one.
    fn from(old: PrintsRecord) -> Arc<Record> {
        let taken = DeduplicationTable::forgotten(old.rev);
        Arc::new(Record { seq: old.seq, rev: old.rev, document: old.document, applied_orders: taken })
    }
}

/// The state as it was then.
#[derive(Serialize, Deserialize)]
struct WithPrints {
    members: JointConfig,
    votes: bool,
    promised: u64,
    accepted: u64,
    record: PrintsRecord,
}

impl From<WithPrints> for HardState {
    fn from(old: WithPrints) -> HardState {
        let WithPrints { members, votes, promised, accepted, record } = old;
        HardState { members, votes, promised, accepted, record: record.into() }
    }
}

/// The state as it was while the voters were fixed.
#[derive(Serialize, Deserialize)]
struct WithFixedVoters {
    voters: Vec<NodeId>,
    promised: u64,
    accepted: u64,
    record: PrintsRecord,
}

impl From<WithFixedVoters> for HardState {
    fn from(old: WithFixedVoters) -> HardState {
        let WithFixedVoters { voters, promised, accepted, record } = old;
        HardState { members: JointConfig::of(voters), votes: true, promised, accepted, record: record.into() }
    }
}

/// Reads the state in a folder that no process uses, and changes nothing.
pub fn verify(folder: &Path) -> Result<Option<HardState>, StoreError> {
    let db = Connection::open_with_flags(path_in(folder), OpenFlags::SQLITE_OPEN_READ_ONLY)?;
    // A running process holds it for as long as it runs.
    db.busy_timeout(Duration::from_millis(100))?;
    read_whole(&db)
}

/// Makes a store with this state in a folder that has none.
pub fn create(folder: &Path, state: &HardState) -> Result<(), StoreError> {
    for name in [FILE, DAMAGED] {
        if folder.join(name).exists() {
            return Err(StoreError::InTheWay(folder.join(name)));
        }
    }
    disk::make_folder(folder)?;
    // Until the state is whole, whoever starts here has lost something, and does not start for the first time.
    std::fs::File::create(folder.join(DAMAGED))?.sync_all()?;
    disk::sync_folder(folder)?;
    Store::open(folder)?.0.save(state)?;
    std::fs::remove_file(folder.join(DAMAGED))?;
    Ok(disk::sync_folder(folder)?)
}

/// Writes in order, on a thread; each number comes back through `synced` once it is on disk.
pub fn start(
    store: Store,
    synced: tokio::sync::mpsc::UnboundedSender<u64>,
) -> std::io::Result<mpsc::Sender<(u64, HardState)>> {
    let (sender, writes) = mpsc::channel::<(u64, HardState)>();
    std::thread::Builder::new().name("store".into()).spawn(move || {
        while let Ok(mut newest) = writes.recv() {
            // One write covers all that came meanwhile.
            while let Ok(next) = writes.try_recv() {
                newest = next;
            }
            while let Err(error) = store.save(&newest.1) {
                tracing::error!(%error, "state not written; trying again");
                std::thread::sleep(AGAIN);
            }
            if synced.send(newest.0).is_err() {
                return;
            }
        }
    })?;
    Ok(sender)
}
