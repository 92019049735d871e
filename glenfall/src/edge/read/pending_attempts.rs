//! The attempts of one read that are in flight, polled together.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{Context, Poll};

use glenfall_balancer::ServerId;
use tokio::time::Instant;

use crate::http::response::ServerResponse;
use crate::http::send_budget::SendReport;
use crate::upstream::forward::Outcome;
use crate::upstream::pool::SendError;

/// The result of a request to a shield, and when the request was sent.
pub(super) struct ShieldAttemptEnd {
    pub shield: ServerId,
    pub sent: Instant,
    pub result: Result<ServerResponse, SendError>,
}

/// The outcome at the servers, and the sends that it used.
pub(super) struct ServerAttemptEnd {
    pub outcome: Outcome,
    pub report: SendReport,
}

/// How an attempt ended, by the kind of its target.
pub(super) enum AttemptResult {
    Shield(ShieldAttemptEnd),
    Servers(ServerAttemptEnd),
}

/// An attempt that has ended, by its number in the read's plan.
pub(super) struct EndedAttempt {
    pub number: usize,
    pub result: AttemptResult,
}

struct PendingAttempt<'a> {
    number: usize,
    future: Pin<Box<dyn Future<Output = AttemptResult> + 'a>>,
}

#[derive(Default)]
pub(super) struct PendingAttempts<'a>(Vec<PendingAttempt<'a>>);

impl<'a> PendingAttempts<'a> {
    /// Adds an attempt; it begins with the next call of [`PendingAttempts::next_ended`].
    pub fn push(&mut self, number: usize, attempt: impl Future<Output = AttemptResult> + 'a) {
        self.0.push(PendingAttempt { number, future: Box::pin(attempt) });
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits for the next attempt to end. It is cancel-safe: the attempts continue with the next call.
    pub async fn next_ended(&mut self) -> EndedAttempt {
        poll_fn(|context| self.poll_ended(context)).await
    }

    fn poll_ended(&mut self, context: &mut Context<'_>) -> Poll<EndedAttempt> {
        for index in 0..self.0.len() {
            if let Poll::Ready(result) = self.0[index].future.as_mut().poll(context) {
                let attempt = self.0.swap_remove(index);
                return Poll::Ready(EndedAttempt { number: attempt.number, result });
            }
        }
        Poll::Pending
    }
}
