//! The chain's state on disk: one row of SQLite with a checksum, and those of `taken.rs`, written by a thread of its own, as a sync takes
//! its time. What can't be trusted is set aside, never read as if it were whole.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use glenfall_plane::chain::{Durable, Members, NodeId, Record};
use glenfall_plane::orders::{TakenOrder, TakenOrders};
use rusqlite::{Connection, ErrorCode, OpenFlags, OptionalExtension};
use serde::{Deserialize, Serialize};

use super::taken;
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

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("state on disk: {0}")]
    Sqlite(#[from] rusqlite::Error),
    #[error("state on disk: {0}")]
    Io(#[from] std::io::Error),
    #[error("state on disk: row can't be read: {0}")]
    Row(#[from] postcard::Error),
    #[error("state on disk: {0}")]
    Damaged(String),
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
    Nothing,
    Kept(Durable),
    /// Something that is no state; it was set aside.
    Damaged(String),
}

pub struct Store {
    db: Connection,
    /// Chunks of taken orders that have a row.
    written: RefCell<Vec<Arc<[TakenOrder]>>>,
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

    fn open_whole(path: &Path) -> Result<(Store, Option<Durable>), StoreError> {
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
            making.execute_batch(taken::TABLE)?;
            making.pragma_update(None, "user_version", LAYOUT)?;
            making.commit()?;
            return Ok((Store { db, written: RefCell::default() }, None));
        }
        let state = read_whole(&db)?;
        let taken = state.as_ref().map(|state| state.record.taken.chunks().0.to_vec());
        let store = Store { db, written: RefCell::new(taken.unwrap_or_default()) };
        if layout(&store.db)? != LAYOUT {
            store.take_over(state.as_ref())?;
        }
        Ok((store, state))
    }

    /// Writes what was found in a layout before in this one, both or neither.
    fn take_over(&self, state: Option<&Durable>) -> Result<(), StoreError> {
        let whole = self.db.unchecked_transaction()?;
        whole.execute_batch(taken::TABLE)?;
        if let Some(state) = state {
            self.write(state)?;
        }
        whole.pragma_update(None, "user_version", LAYOUT)?;
        Ok(whole.commit()?)
    }

    pub fn save(&self, state: &Durable) -> Result<(), StoreError> {
        // Undone where it is dropped before its end.
        let whole = self.db.unchecked_transaction()?;
        self.write(state)?;
        whole.commit()?;
        self.written.replace(state.record.taken.chunks().0.to_vec());
        Ok(())
    }

    fn write(&self, state: &Durable) -> Result<(), StoreError> {
        let table = taken::write(&self.db, &self.written.borrow(), &state.record.taken)?;
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
    members: Members,
    votes: bool,
    promised: u64,
    accepted: u64,
    seq: u64,
    rev: u64,
    document: Vec<u8>,
    taken: taken::Named,
}

impl Row {
    fn of(state: &Durable, taken: taken::Named) -> Row {
        let Durable { members, votes, promised, accepted, record } = state.clone();
        let (seq, rev, document) = (record.seq, record.rev, record.document.clone());
        Row { members, votes, promised, accepted, seq, rev, document, taken }
    }

    fn state(self, taken: TakenOrders) -> Durable {
        let Row { members, votes, promised, accepted, seq, rev, document, .. } = self;
        let record = Arc::new(Record { seq, rev, document, taken });
        Durable { members, votes, promised, accepted, record }
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
fn read_whole(db: &Connection) -> Result<Option<Durable>, StoreError> {
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
            let taken = taken::read(db, &row.taken)?;
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
        let taken = TakenOrders::forgotten(old.rev);
        Arc::new(Record { seq: old.seq, rev: old.rev, document: old.document, taken })
    }
}

/// The state as it was then.
#[derive(Serialize, Deserialize)]
struct WithPrints {
    members: Members,
    votes: bool,
    promised: u64,
    accepted: u64,
    record: PrintsRecord,
}

impl From<WithPrints> for Durable {
    fn from(old: WithPrints) -> Durable {
        let WithPrints { members, votes, promised, accepted, record } = old;
        Durable { members, votes, promised, accepted, record: record.into() }
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

impl From<WithFixedVoters> for Durable {
    fn from(old: WithFixedVoters) -> Durable {
        let WithFixedVoters { voters, promised, accepted, record } = old;
        Durable { members: Members::of(voters), votes: true, promised, accepted, record: record.into() }
    }
}

/// Reads the state in a folder that no process uses, and changes nothing.
pub fn verify(folder: &Path) -> Result<Option<Durable>, StoreError> {
    let db = Connection::open_with_flags(path_in(folder), OpenFlags::SQLITE_OPEN_READ_ONLY)?;
    // A running process holds it for as long as it runs.
    db.busy_timeout(Duration::from_millis(100))?;
    read_whole(&db)
}

/// Makes a store with this state in a folder that has none.
pub fn create(folder: &Path, state: &Durable) -> Result<(), StoreError> {
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
) -> std::io::Result<mpsc::Sender<(u64, Durable)>> {
    let (sender, writes) = mpsc::channel::<(u64, Durable)>();
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

#[cfg(test)]
mod tests {
    use super::*;
    use glenfall_plane::orders::{OrderKey, CHUNK, MOST_TAKEN};

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("glenfall-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }

    fn state(promised: u64, size: usize) -> Durable {
        let document = (0..size).map(|n| (n * 7 % 251) as u8).collect();
        let order = |rev: u64| TakenOrder { rev, key: OrderKey([rev as u8; 32]) };
        // One chunk that is full, and three orders more.
        let orders: Vec<TakenOrder> = (1..=CHUNK as u64 + 3).map(order).collect();
        let taken = TakenOrders::listed(0, &orders).unwrap();
        let record = Record { seq: 67, rev: 67, document, taken };
        let members = Members::of(vec![[10, 0, 0, 1].into()]);
        Durable { members, votes: true, promised, accepted: 16, record: Arc::new(record) }
    }

    #[test]
    fn each_layout_before_is_taken_over_once_and_its_prints_confirm_and_refuse_nothing() {
        let folder = folder("before");
        let whole = state(64, 100);
        let mut expected = whole.clone();
        let taken = TakenOrders::forgotten(67);
        expected.record = Arc::new(Record { taken, ..(*whole.record).clone() });
        for before in [FIXED, PRINTS] {
            let _ = std::fs::remove_dir_all(&folder);
            {
                let (store, _) = Store::open(&folder).unwrap();
                store.db.execute_batch("DROP TABLE taken").unwrap();
                let Durable { members, votes, promised, accepted, record } = whole.clone();
                let record = PrintsRecord {
                    seq: record.seq,
                    rev: record.rev,
                    document: record.document.clone(),
                    prints: vec![(7, 1), (9, 2)],
                };
                let bytes = if before == FIXED {
                    let voters = members.voters;
                    postcard::to_stdvec(&WithFixedVoters { voters, promised, accepted, record }).unwrap()
                } else {
                    let old = WithPrints { members, votes, promised, accepted, record };
                    postcard::to_stdvec(&old).unwrap()
                };
                let crc = i64::from(crc32fast::hash(&bytes));
                store
                    .db
                    .execute("INSERT INTO chain (id, state, crc) VALUES (?1, ?2, ?3)", (STATE, bytes, crc))
                    .unwrap();
                store.db.pragma_update(None, "user_version", before).unwrap();
            }
            for _ in 0..2 {
                assert_eq!(Store::open(&folder).unwrap().1, Found::Kept(expected.clone()), "{before}");
                let now = layout(&Connection::open(path_in(&folder)).unwrap()).unwrap();
                assert_eq!(now, LAYOUT, "{before}");
            }
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }

    #[test]
    fn what_was_written_last_is_read_back() {
        let folder = folder("back");
        let (store, found) = Store::open(&folder).unwrap();
        assert_eq!(found, Found::Nothing);
        let (tell, mut synced) = tokio::sync::mpsc::unbounded_channel();
        let writes = start(store, tell).unwrap();
        for number in 1..=5 {
            writes.send((number, state(number * 16, 2))).unwrap();
        }
        while synced.blocking_recv() != Some(5) {}
        assert!(verify(&folder).is_err(), "in use");
        drop(writes);
        assert_eq!(synced.blocking_recv(), None);
        assert_eq!(verify(&folder).unwrap(), Some(state(80, 2)));
        assert_eq!(Store::open(&folder).unwrap().1, Found::Kept(state(80, 2)));
        std::fs::remove_dir_all(&folder).unwrap();
    }

    #[test]
    fn taken_orders_are_written_once_and_those_that_leave_the_table_leave_the_file() {
        let folder = folder("taken");
        let (store, _) = Store::open(&folder).unwrap();
        let order = |rev: u64| TakenOrder { rev, key: OrderKey([rev as u8; 32]) };
        let with = |orders: std::ops::RangeInclusive<u64>| {
            let (orders, forgotten): (Vec<_>, u64) =
                (orders.clone().map(order).collect(), orders.start() - 1);
            let (rev, taken) =
                (orders[orders.len() - 1].rev, TakenOrders::listed(forgotten, &orders).unwrap());
            let record = Record { seq: rev, rev, document: b"{}".to_vec(), taken };
            Durable { record: Arc::new(record), ..state(16, 0) }
        };
        let written =
            || store.db.query_row("SELECT total_changes()", [], |row| row.get::<_, u64>(0)).unwrap();
        let (most, chunk) = (MOST_TAKEN as u64, CHUNK as u64);
        // The table grows, is full, lets go of its oldest chunk, and begins anew as a restored one does. Rows that are
        // written or deleted, that of the state included.
        let cases = [
            (1..=chunk - 1, 1),
            (1..=chunk, 2),
            (1..=chunk + 1, 1),
            (1..=most, most / chunk),
            (chunk + 1..=most + 1, 2),
            (chunk + 1..=most + 2, 1),
            (7..=9, most / chunk),
            (1..=chunk, 2),
        ];
        for (orders, rows) in cases {
            let (whole, before) = (with(orders.clone()), written());
            store.save(&whole).unwrap();
            assert_eq!(written() - before, rows, "{orders:?}");
            assert_eq!(read_whole(&store.db).unwrap(), Some(whole), "{orders:?}");
        }
        for spoil in
            ["DELETE FROM taken", "UPDATE taken SET orders = x'00'", "INSERT INTO taken VALUES (-1, x'')"]
        {
            store.db.execute_batch("BEGIN").unwrap();
            store.db.execute(spoil, []).unwrap();
            assert!(read_whole(&store.db).is_err_and(|e| e.is_damage()), "{spoil}");
            store.db.execute_batch("ROLLBACK").unwrap();
        }
        drop(store);
        // What has a row is known after a start as well.
        let (store, found) = Store::open(&folder).unwrap();
        assert_eq!(found, Found::Kept(with(1..=chunk)));
        let before = store.db.query_row("SELECT total_changes()", [], |row| row.get::<_, u64>(0)).unwrap();
        store.save(&with(1..=chunk + 1)).unwrap();
        let after = store.db.query_row("SELECT total_changes()", [], |row| row.get::<_, u64>(0)).unwrap();
        assert_eq!(after - before, 1);
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// Opens a folder whose file holds these bytes. What is found is the state or that it is damaged; then the
    /// file can be written again, and a start after that knows that something was lost.
    fn open_spoilt(folder: &Path, bytes: &[u8], whole: &Durable, case: &str) -> bool {
        let _ = std::fs::remove_dir_all(folder);
        std::fs::create_dir_all(folder).unwrap();
        std::fs::write(path_in(folder), bytes).unwrap();
        let (store, found) = Store::open(folder).unwrap_or_else(|e| panic!("{case}: {e}"));
        match found {
            Found::Kept(state) => {
                assert_eq!(&state, whole, "{case}: read as if it were whole");
                false
            }
            Found::Nothing => {
                assert!(bytes.is_empty(), "{case}: as if nothing had been there");
                false
            }
            Found::Damaged(why) => {
                assert!(!why.contains('\n'), "{case}: {why}");
                drop(store);
                let (store, found) = Store::open(folder).unwrap();
                assert!(matches!(found, Found::Damaged(_)), "{case}: forgotten by the next start");
                store.save(whole).unwrap();
                drop(store);
                assert_eq!(Store::open(folder).unwrap().1, Found::Kept(whole.clone()), "{case}");
                true
            }
        }
    }

    #[test]
    fn cut_torn_and_flipped_files_are_found_out_and_set_aside() {
        let folder = folder("spoilt");
        let whole = state(64, 9000);
        {
            let (store, _) = Store::open(&folder).unwrap();
            store.save(&state(16, 5000)).unwrap();
            store.save(&whole).unwrap();
        }
        let bytes = std::fs::read(path_in(&folder)).unwrap();
        const PAGE: usize = 4096;
        let pages = bytes.len() / PAGE;
        assert!(pages >= 4 && bytes.len().is_multiple_of(PAGE), "{} bytes", bytes.len());
        let (mut found, mut all) = (0, 0);
        let mut spoil = |bytes: &[u8], case: &str| {
            all += 1;
            found += u32::from(open_spoilt(&folder, bytes, &whole, case));
        };
        for page in 0..pages {
            let at = page * PAGE;
            for cut in [at.saturating_sub(1), at, at + 1, at + PAGE / 2] {
                spoil(&bytes[..cut], &format!("cut at {cut}"));
            }
            // A page that was never written, and one of which half was.
            for (from, what) in [(0, "missing"), (PAGE / 2, "torn")] {
                let mut torn = bytes.clone();
                torn[at + from..at + PAGE].fill(0);
                spoil(&torn, &format!("page {page} {what}"));
            }
            let places = (0..16).chain((16..PAGE).step_by(401)).chain([PAGE - 1]);
            for offset in places {
                for bit in [0, 3, 7] {
                    let mut flipped = bytes.clone();
                    flipped[at + offset] ^= 1 << bit;
                    spoil(&flipped, &format!("page {page}, byte {offset}, bit {bit} flipped"));
                }
            }
        }
        assert!(found * 2 > all, "{found} of {all} found; the others lie where nothing is read");
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
