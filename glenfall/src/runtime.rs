//! The single-threaded runtime that the programs run on.

use std::future::Future;

use tokio::task::LocalSet;

/// Runs a future to completion on a single-threaded runtime, with `spawn_local` available. A process has a fraction of
/// one core, so that more threads would only add locking. Fails if the runtime can't be created.
pub fn block_on_local<F: Future>(future: F) -> std::io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}
