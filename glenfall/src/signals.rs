//! Signals that a process takes.

use tokio::signal::unix::{signal, SignalKind};

/// Takes SIGHUP for as long as the process runs: it may come before the settings are read, and would end it.
pub fn survive_hangup() {
    // Once there was a receiver, the signal no longer has its default effect, also after the receiver is dropped.
    if let Err(error) = signal(SignalKind::hangup()) {
        tracing::warn!(%error, "a hangup would end this process");
    }
}

/// Ends with SIGTERM or SIGINT.
pub async fn terminated() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    // Settings are read anew where they are used; the signal itself must not end the process.
    let mut hangup = signal(SignalKind::hangup()).ok();
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = async {
                match &mut hangup {
                    Some(hangup) => hangup.recv().await,
                    None => std::future::pending().await,
                }
            } => tracing::info!("settings may have changed"),
        }
    }
}
