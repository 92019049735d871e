//! HTTP caching: stored responses in memory and on disk, bounded in bytes, which expire by age and are removed by
//! purges.

pub mod backlog;
pub mod disk;

mod byte_range;
mod memory_cache;
mod object_key;
mod recent_purges;
mod stored_response;

pub use self::memory_cache::Cache;
pub use self::object_key::ObjectKey;
pub use self::recent_purges::{FetchStart, PurgePosition, PurgeTarget, RecentPurges, MAX_RECENT_PURGES};
pub use self::stored_response::{StoredResponse, ENTRY_OVERHEAD_BYTES};
