//! The chain's state on disk: one row of SQLite, written by a thread of its own, as a sync takes its time.

use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;

use glenfall_plane::chain::Durable;
use rusqlite::{Connection, OptionalExtension};

/// Pause before a write that the disk refused is tried again; what waits for it waits on.
const AGAIN: Duration = Duration::from_millis(200);

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("state on disk: {0}")]
    Sqlite(#[from] rusqlite::Error),
    #[error("state on disk: {0}")]
    Io(#[from] std::io::Error),
    #[error("state on disk: row can't be read: {0}")]
    Row(#[from] postcard::Error),
}

pub struct Store(Connection);

impl Store {
    /// Opens the database in a folder, or makes it. Nothing else uses the file: with the lock held from the
    /// start there is no index in shared memory, and a full sync covers each commit.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder)?;
        let db = Connection::open(folder.join("state.sqlite"))?;
        db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
        db.pragma_update(None, "journal_mode", "TRUNCATE")?;
        db.pragma_update(None, "synchronous", "FULL")?;
        db.pragma_update(None, "mmap_size", 0)?;
        db.execute_batch("CREATE TABLE IF NOT EXISTS chain (id INTEGER PRIMARY KEY, state BLOB NOT NULL)")?;
        Ok(Store(db))
    }

    pub fn load(&self) -> Result<Option<Durable>, StoreError> {
        let row: Option<Vec<u8>> =
            self.0.query_row("SELECT state FROM chain WHERE id = 1", [], |row| row.get(0)).optional()?;
        Ok(row.map(|state| postcard::from_bytes(&state)).transpose()?)
    }

    fn save(&self, state: &Durable) -> Result<(), StoreError> {
        let bytes = postcard::to_stdvec(state)?;
        self.0.execute("INSERT OR REPLACE INTO chain (id, state) VALUES (1, ?1)", [bytes])?;
        Ok(())
    }
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
    use glenfall_plane::chain::Record;
    use std::sync::Arc;

    #[test]
    fn what_was_written_last_is_read_back() {
        let folder = std::env::temp_dir().join(format!("glenfall-store-{}", std::process::id()));
        let record = Record { seq: 3, rev: 9, document: b"{}".to_vec(), taken: vec![(9, 1)] };
        let state = |promised| Durable {
            voters: vec![[10, 0, 0, 1].into()],
            promised,
            accepted: 16,
            record: Arc::new(record.clone()),
        };
        let store = Store::open(&folder).unwrap();
        assert_eq!(store.load().unwrap(), None);
        let (tell, mut synced) = tokio::sync::mpsc::unbounded_channel();
        let writes = start(store, tell).unwrap();
        for number in 1..=5 {
            writes.send((number, state(number * 16))).unwrap();
        }
        while synced.blocking_recv() != Some(5) {}
        drop(writes);
        assert_eq!(synced.blocking_recv(), None);
        assert_eq!(Store::open(&folder).unwrap().load().unwrap(), Some(state(80)));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
