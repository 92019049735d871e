//! The signals that a process handles.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Ignores SIGHUP for as long as the process runs: it may come before the settings are read, and would end the process.
pub fn ignore_hangup() {
    // Once a receiver was installed, the signal has no default effect any more, also after the receiver is dropped.
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

/// Logs each SIGHUP, and never ends. Settings are read again where they are used, so that nothing else has to be done.
async fn log_hangups(hangup: Option<Signal>) {
    if let Some(mut hangup) = hangup {
        while hangup.recv().await.is_some() {
            tracing::info!("SIGHUP received: settings may have changed");
        }
    }
    std::future::pending::<()>().await;
}
