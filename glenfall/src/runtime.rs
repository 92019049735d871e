//! The single-threaded runtime that the programs run on.

use std::future::Future;

use tokio::task::LocalSet;

/// Runs a future to its end on a runtime of one thread, where `spawn_local` is available. A process has a fraction of
/// one core, so that more threads would only add locks. Fails where the runtime can't be set up.
pub fn block_on_local<F: Future>(future: F) -> std::io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}
