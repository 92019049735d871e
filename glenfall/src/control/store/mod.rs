//! The durable state of the chain: the hard state in one SQLite file, written atomically.
//!
//! The hard state has one row with a checksum. Full chunks of idempotency keys have rows of their own, so that a change
//! does not rewrite the thousands of orders before it. A file that can't be trusted is set aside, and its content is
//! not used.

mod error;
mod hard_state_row;
mod idempotency_keys;
mod layout;
mod legacy;
mod schema;
mod state_folder;
pub mod writer;

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::time::Duration;

use glenfall_control_plane::chain::HardState;
use rusqlite::{Connection, OpenFlags};

use crate::disk;
pub use error::StoreError;
use idempotency_keys::Chunk;
use layout::Layout;
use state_folder::StateFolder;

/// How long [`verify`] waits for the lock of a file. A running control node holds the lock for as long as it runs, so
/// that a longer wait would not help.
const VERIFY_BUSY_TIMEOUT: Duration = Duration::from_millis(100);

/// What was found on disk at the start.
#[derive(Debug, PartialEq)]
pub enum RecoveredState {
    /// No state was ever written here.
    Missing,
    /// The last state that was written.
    Intact(HardState),
    /// The file held no valid state and was set aside, or was lost. The text describes the damage.
    Damaged(String),
}

/// An open store. No other process can use its file.
pub struct Store {
    db: Connection,
    /// The chunks of idempotency keys that have a row.
    written_chunks: RefCell<Vec<Chunk>>,
}

/// A store, and the state that was read from its file.
struct OpenedStore {
    store: Store,
    state: Option<HardState>,
}

/// The path of the state database in a state directory.
pub fn database_path(folder: &Path) -> PathBuf {
    StateFolder::new(folder).database()
}

impl Store {
    /// Opens the store in a folder, or creates it. The file is locked for as long as the store is open, and each commit
    /// is synced to disk.
    pub fn open(path: &Path) -> Result<(Store, RecoveredState), StoreError> {
        disk::create_folder(path)?;
        let folder = StateFolder::new(path);
        if folder.is_database_lost() {
            folder.set_aside()?;
        }
        let (store, recovered) = match Store::open_database(&folder) {
            Ok(OpenedStore { store, state }) => (store, recovered_state(&folder, state)),
            Err(error) if error.is_damage() => {
                folder.set_aside()?;
                let store = Store::open_database(&folder)?.store;
                (store, RecoveredState::Damaged(error.to_string()))
            }
            Err(error) => return Err(error),
        };
        // The directory entries must be durable before this node acknowledges anything that it writes to the files.
        disk::sync_folder(path)?;
        folder.record_creation()?;
        Ok((store, recovered))
    }

    fn open_database(folder: &StateFolder) -> Result<OpenedStore, StoreError> {
        folder.check_length()?;
        let mut db = schema::connect(&folder.database())?;
        if schema::is_new(&db)? {
            schema::create(&mut db)?;
            let store = Store { db, written_chunks: RefCell::default() };
            return Ok(OpenedStore { store, state: None });
        }
        let state = read_database(&db)?;
        let store = Store { db, written_chunks: RefCell::new(state.as_ref().map_or(vec![], full_chunks)) };
        if Layout::of(&store.db)? != Layout::Current {
            store.upgrade(state.as_ref())?;
        }
        Ok(OpenedStore { store, state })
    }

    /// Rewrites a state that was read in a legacy layout in the current layout, in one transaction.
    fn upgrade(&self, state: Option<&HardState>) -> Result<(), StoreError> {
        let transaction = self.db.unchecked_transaction()?;
        transaction.execute_batch(idempotency_keys::CREATE_TABLE)?;
        if let Some(state) = state {
            self.write_rows(state)?;
        }
        schema::set_current(&transaction)?;
        Ok(transaction.commit()?)
    }

    /// Reads the state from the file. `None` if none was written yet.
    pub fn read(&self) -> Result<Option<HardState>, StoreError> {
        read_database(&self.db)
    }

    /// The number of rows that were written or deleted since the store was opened.
    pub fn rows_changed(&self) -> u64 {
        self.db.total_changes()
    }

    /// Replaces the state and its idempotency keys, in one transaction.
    pub fn save(&self, state: &HardState) -> Result<(), StoreError> {
        // A transaction that is dropped before its commit is rolled back.
        let transaction = self.db.unchecked_transaction()?;
        self.write_rows(state)?;
        transaction.commit()?;
        self.written_chunks.replace(full_chunks(state));
        Ok(())
    }

    /// Writes all rows of a state. Must be called in a transaction.
    fn write_rows(&self, state: &HardState) -> Result<(), StoreError> {
        let orders = &state.record.applied_orders;
        let table = idempotency_keys::write(&self.db, &self.written_chunks.borrow(), orders)?;
        hard_state_row::write(&self.db, state, table)
    }
}

fn full_chunks(state: &HardState) -> Vec<Chunk> {
    state.record.applied_orders.full_chunks().to_vec()
}

fn recovered_state(folder: &StateFolder, state: Option<HardState>) -> RecoveredState {
    match state {
        Some(state) => RecoveredState::Intact(state),
        None if folder.has_damaged() => {
            RecoveredState::Damaged("database set aside or missing at this start or an earlier one".into())
        }
        None => RecoveredState::Missing,
    }
}

/// Reads the state; fails if the file is damaged. `None` if no state was written yet.
fn read_database(db: &Connection) -> Result<Option<HardState>, StoreError> {
    let layout = Layout::of(db)?;
    schema::check_integrity(db)?;
    hard_state_row::read(db, layout)
}

/// Reads and checks the state in a folder that no process uses, without changing it.
pub fn verify(folder: &Path) -> Result<Option<HardState>, StoreError> {
    let db = Connection::open_with_flags(database_path(folder), OpenFlags::SQLITE_OPEN_READ_ONLY)?;
    db.busy_timeout(VERIFY_BUSY_TIMEOUT)?;
    read_database(&db)
}

/// Creates a store with this state in a folder that has none. Fails if a database exists there.
pub fn create(path: &Path, state: &HardState) -> Result<(), StoreError> {
    let folder = StateFolder::new(path);
    folder.check_vacant()?;
    disk::create_folder(path)?;
    // Until the state is written, a control node that starts here must treat the state as lost, not as a first start.
    folder.record_damage()?;
    let (store, _) = Store::open(path)?;
    store.save(state)?;
    drop(store);
    folder.clear_damage()
}
