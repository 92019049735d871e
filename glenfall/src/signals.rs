//! Handling of SIGHUP, SIGTERM and SIGINT.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Ignores SIGHUP for as long as the process runs. The signal may arrive before the settings are read, and would end the
/// process by default.
pub fn ignore_hangup() {
    // Installing a receiver disables the signal's default action for good, also after the receiver is dropped.
    if let Err(error) = signal(SignalKind::hangup()) {
        tracing::warn!(%error, "SIGHUP handler not installed: SIGHUP will end this process");
    }
}

/// Resolves when SIGTERM or SIGINT is received.
pub async fn wait_for_termination() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending::<()>().await;
    };
    let hangup = signal(SignalKind::hangup()).ok();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = log_hangups(hangup) => {}
    }
}

/// Logs each SIGHUP, and never returns. Code that depends on changed settings reads them again itself.
async fn log_hangups(hangup: Option<Signal>) {
    if let Some(mut hangup) = hangup {
        while hangup.recv().await.is_some() {
            tracing::info!("SIGHUP received: settings may have changed");
        }
    }
    std::future::pending::<()>().await;
}
