//! The way to the servers of a service: which one, how often, and what its answer means.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_plane::config::Config;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::Instant;

use crate::origins::{End, Origins};
use crate::pool::{Pool, Reply, Trouble};
use crate::serve::{DEADLINE, TRY_ID};

const WANT_SERVER: HeaderName = HeaderName::from_static("x-glenfall-want-server");
const NOT_RUN: HeaderName = HeaderName::from_static("x-glenfall-not-run");

/// Servers that may be found unreachable for one request: nothing was sent to them, so that they don't count
/// as tries, but each costs the time of a connect.
const UNREACHABLE: usize = 4;
/// When to come back to a service whose servers are full: about when one of their requests ends.
const FULL: Duration = Duration::from_millis(100);
/// When to come back to one that has no server, or is above its ceiling.
const NONE: Duration = Duration::from_millis(400);
/// Part of a service's ceiling that is handed out: shares change hands, and a little is lost in between.
const HANDED_OUT: f64 = 0.95;
/// Requests of a share that may be saved up, in seconds of its rate.
const SAVED: f64 = 0.25;

/// A request for a server.
pub struct Job<'a> {
    pub service: &'a str,
    pub method: &'a Method,
    pub uri: &'a Uri,
    /// As they go on; `Host` among them.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// May it run again?
    pub repeatable: bool,
    /// Servers it may be sent to.
    pub tries: u32,
    pub until: Instant,
}

/// What came of it.
pub enum Outcome {
    /// To be passed on.
    Answered(Reply),
    /// It has not run and will not; it may come again after so long.
    NotRun(Duration),
    /// It may have run.
    Unknown,
    /// The same, and time is up.
    TimedOut,
}

pub struct Direct {
    pub pool: Rc<Pool>,
    pub origins: Origins,
}

impl Direct {
    /// Sends a request to one server of its service, and to others where that can do no harm.
    pub async fn send(&self, mut job: Job<'_>) -> Outcome {
        let own_id = job.headers.get(TRY_ID).cloned();
        let (mut tried, mut sends, mut unreachable) = (Vec::new(), 0, 0);
        let mut fallback = Outcome::NotRun(NONE);
        while sends < job.tries.max(1) && unreachable < UNREACHABLE {
            let Some(server) = self.origins.choose(job.service, &tried) else { break };
            tried.push(server.id.clone());
            let began = Instant::now();
            if began >= job.until {
                break;
            }
            let more = job.repeatable && sends + 1 < job.tries;
            // A dark server must leave time for another; one that may run only once has all the time.
            let until = if more { began + (job.until - began) / 2 } else { job.until };
            let Ok(want) = HeaderValue::from_str(&server.id) else { continue };
            job.headers.insert(WANT_SERVER, want);
            let request = || {
                let mut request = Request::new(Full::new(job.body.clone()));
                *request.method_mut() = job.method.clone();
                *request.uri_mut() = job.uri.clone();
                *request.headers_mut() = job.headers.clone();
                let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
                request.headers_mut().insert(DEADLINE, HeaderValue::from(left.max(1)));
                request
            };
            self.origins.begin(&server.id);
            let still = || self.origins.takes(&server.id);
            let ended = self.pool.exchange(server.addr.into(), request, until, still).await;
            let end = |end| self.origins.end(&server.id, end, began.elapsed());
            match ended {
                Ok(reply)
                    if reply.headers.contains_key(NOT_RUN)
                        || reply.status == StatusCode::MISDIRECTED_REQUEST =>
                {
                    let misdirected = reply.status == StatusCode::MISDIRECTED_REQUEST;
                    end(if misdirected { End::Failed } else { End::TurnedAway });
                    sends += 1;
                    let ceiling = reply.status == StatusCode::TOO_MANY_REQUESTS;
                    if !matches!(fallback, Outcome::Answered(_)) {
                        fallback = Outcome::NotRun(if ceiling { NONE } else { FULL });
                    }
                    if ceiling {
                        // Another server of the service would say the same, and count it.
                        break;
                    }
                }
                Ok(reply)
                    if own_id.is_some()
                        && reply.headers.get(TRY_ID).is_some_and(|id| Some(id) != own_id.as_ref()) =>
                {
                    // The answer to another request: the connection has gone with it.
                    end(End::Failed);
                    self.pool.forget(server.addr.into());
                    sends += 1;
                    fallback = Outcome::Unknown;
                    if !job.repeatable {
                        break;
                    }
                }
                Ok(reply) => {
                    end(End::Answered);
                    sends += 1;
                    let failure = reply.status.is_server_error();
                    fallback = Outcome::Answered(reply);
                    if !(failure && more) {
                        break;
                    }
                }
                Err(Trouble::Unsent) => {
                    end(End::Failed);
                    unreachable += 1;
                }
                Err(trouble) => {
                    end(End::Failed);
                    sends += 1;
                    let timed_out = trouble == Trouble::TimedOut;
                    fallback = if timed_out { Outcome::TimedOut } else { Outcome::Unknown };
                    if !job.repeatable {
                        break;
                    }
                }
            }
        }
        self.promised(fallback, job.repeatable)
    }

    /// These statuses promise that a request has not run. Without the word that it has not, a server's own
    /// don't pass for that promise.
    fn promised(&self, outcome: Outcome, repeatable: bool) -> Outcome {
        match outcome {
            Outcome::Answered(reply)
                if !repeatable && matches!(reply.status.as_u16(), 408 | 421 | 429 | 503) =>
            {
                Outcome::Unknown
            }
            outcome => outcome,
        }
    }
}

/// What this process may ask of services that state a ceiling.
#[derive(Default)]
pub struct Ceiling(RefCell<HashMap<String, (f64, Instant)>>);

impl Ceiling {
    /// Takes one request of the service out of this process's share, where `sharers` share alike.
    pub fn take(&self, config: &Config, service: &str, sharers: f64) -> bool {
        let Some(rate) = config.backend(service).and_then(|backend| backend.rate_per_s) else { return true };
        let rate = rate * HANDED_OUT / sharers.max(1.0);
        let most = (rate * SAVED).max(1.0);
        let now = Instant::now();
        let mut shares = self.0.borrow_mut();
        if !shares.contains_key(service) {
            shares.insert(service.to_owned(), (most, now));
        }
        let Some((saved, at)) = shares.get_mut(service) else { return false };
        *saved = (*saved + rate * now.duration_since(*at).as_secs_f64()).min(most);
        *at = now;
        let enough = *saved >= 1.0;
        *saved -= f64::from(u8::from(enough));
        enough
    }

    /// When to come back once it is spent.
    pub fn again(&self) -> Duration {
        NONE
    }
}
