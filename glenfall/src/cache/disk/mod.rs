//! The disk tier of a shield's cache: stored responses that outlast the process and a loss of power.
//!
//! A thread of its own writes them to an SQLite file, slightly behind the cache in memory. As it is a cache, contents
//! that can't be read are discarded, and nothing ever waits for the disk.
//!
//! What is read at a start may have been purged meanwhile. It may be used only once control has sent all purges of the
//! retention period (see [`Shield`](crate::shield::Shield)), and only if it was written within that period.

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
