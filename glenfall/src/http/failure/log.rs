//! Counts failures by cause, and logs each failed request within a rate limit.

use std::cell::RefCell;

use tokio::time::Instant;

use super::cause::Cause;
use super::description::{shortened, Failure};
use crate::metrics::log_limit::LogLimit;

/// The longest quotation of a text from a client in a log line.
const MAX_QUOTED_BYTES: usize = 160;
/// How many lines of one cause may be written at once. A flood of one cause must not hide another one in the log, nor
/// use up the processor.
const LOG_BURST_LINES: f64 = 64.0;
/// How many lines of one cause may be written per second after a burst.
const LOG_LINES_PER_S: f64 = 4.0;

/// The properties of a failed request that are logged.
pub struct FailedRequest<'a> {
    /// The id of the client's attempt.
    pub try_id: &'a str,
    /// The method of the request line.
    pub method: &'a str,
    /// The value of the `Host` header.
    pub host: &'a str,
    /// Path and query, as in the request line.
    pub path: &'a str,
    /// The route that matches the request; empty if none does.
    pub route: &'a str,
    /// The status that the client receives; 0 if it receives none.
    pub status: u16,
    /// The version of the active configuration; 0 if there was none.
    pub rev: u64,
    /// Whether this process held a lease, and so had received all updates and purges of control.
    pub holds_lease: bool,
    /// When the request had been received.
    pub started: Instant,
}

struct CauseState {
    count: u64,
    log_limit: LogLimit,
}

/// Counts failures by cause, and logs each failure unless the rate limit of its cause is exceeded.
pub struct FailureLog {
    /// Indexed by the discriminant of the cause.
    causes: RefCell<Vec<CauseState>>,
}

impl Default for FailureLog {
    fn default() -> Self {
        let new_state =
            |_: &Cause| CauseState { count: 0, log_limit: LogLimit::new(LOG_BURST_LINES, LOG_LINES_PER_S) };
        FailureLog { causes: RefCell::new(Cause::ALL.iter().map(new_state).collect()) }
    }
}

impl FailureLog {
    /// Counts a failure and logs it. `request` is called only if the line is written.
    pub fn record<'a>(&self, failure: &Failure, request: impl FnOnce() -> FailedRequest<'a>) {
        if let Some(suppressed_lines) = self.count(failure.cause) {
            log_failure(failure, &request(), suppressed_lines);
        }
    }

    /// Counts a failure. If its line may be written, returns how many lines were suppressed before it.
    fn count(&self, cause: Cause) -> Option<u64> {
        let mut causes = self.causes.borrow_mut();
        let state = causes.get_mut(cause as usize)?;
        state.count += 1;
        state.log_limit.admit(Instant::now())
    }

    /// The counters of `status`: the number of failed requests for each cause that has occurred.
    pub fn report(&self) -> Vec<(String, u64)> {
        let causes = self.causes.borrow();
        let counts = Cause::ALL.iter().zip(causes.iter().map(|state| state.count));
        counts
            .filter(|(_, count)| *count > 0)
            .map(|(cause, count)| (format!("failed_{}", cause.name().replace('-', "_")), count))
            .collect()
    }
}

fn log_failure(failure: &Failure, request: &FailedRequest<'_>, suppressed_lines: u64) {
    let quoted = |text| shortened(text, MAX_QUOTED_BYTES);
    tracing::warn!(
        try_id = ?quoted(request.try_id),
        status = request.status,
        cause = failure.cause.name(),
        attempts = ?failure.shortened_attempts(),
        method = ?quoted(request.method),
        host = ?quoted(request.host),
        path = ?quoted(request.path),
        route = ?quoted(request.route),
        rev = request.rev,
        holds_lease = request.holds_lease,
        elapsed_ms = request.started.elapsed().as_millis() as u64,
        not_logged = suppressed_lines,
        "request failed"
    );
}
