//! The disk tier of a shield's cache: stored responses that survive a restart of the process and a power failure.
//!
//! A dedicated thread writes them to an SQLite file, slightly later than they are stored in memory. As this is only a
//! cache, contents that can't be read are discarded, and no request ever waits for the disk.
//!
//! Responses that are read at a start may have been purged meanwhile. They may be used only once control has sent all
//! purges of the retention period (see [`Shield`](crate::shield::Shield)), and only if the file was written within that
//! period.

mod cache_file;
mod change;
mod clock;
mod disk_cache;
mod row;
mod writer;

pub use self::cache_file::FILE_NAME;
pub use self::clock::TimeSinceWrite;
pub use self::disk_cache::{DiskCache, MAX_QUEUED_BODY_BYTES, MAX_QUEUED_ROWS};
pub use self::row::StoredRow;
pub use self::writer::Writer;
