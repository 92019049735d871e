//! Why requests fail: a typed cause for each, counted and logged under the id of its try, so that a failed request can be
//! explained afterwards.

use std::borrow::Cow;
use std::cell::RefCell;

use hyper::header::{HeaderName, HeaderValue};
use tokio::time::Instant;

use crate::metrics::log_limit::LogLimit;

/// The header in which a shield tells its edge why it has no better answer. Clients never see it.
pub const FAILURE: HeaderName = HeaderName::from_static("x-glenfall-failure");
/// Longest description of the way that a request took, in bytes.
const LONGEST_WAY: usize = 400;
/// Longest text of a client's that a log line quotes, in bytes.
const LONGEST_QUOTE: usize = 160;
/// Lines of one cause that may be written at once, and from then on in a second: what one cause floods the log with must
/// not hide another, nor cost the processor's time.
const LINES_AT_ONCE: f64 = 64.0;
const LINES_PER_S: f64 = 4.0;

macro_rules! causes {
    ($($(#[$doc:meta])* $cause:ident = $name:literal,)+) => {
        /// Why a request got no answer of a server, or a server's failure.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Cause {
            $($(#[$doc])* $cause,)+
        }

        impl Cause {
            /// All causes, in the order of their numbers.
            pub const ALL: &[Cause] = &[$(Cause::$cause),+];

            /// As logs, counters and the header between shield and edge have it.
            pub fn name(self) -> &'static str {
                match self {
                    $(Cause::$cause => $name,)+
                }
            }
        }
    };
}

causes! {
    /// This process has been told of no configuration yet.
    NoConfiguration = "no-configuration",
    /// No route takes the request.
    NoRoute = "no-route",
    /// The route's split names no service.
    NoService = "no-service",
    /// There is no memory for another answer.
    NoMemory = "no-memory",
    /// There is no memory for the request's body.
    NoBodyMemory = "no-body-memory",
    /// The service answers late, and this machine has as much out at it as it may.
    ConcurrencyLimit = "concurrency-limit",
    /// This machine's part of the service's request rate is spent.
    RateLimit = "rate-limit",
    /// No server of the service is known, or none that has not been tried.
    NoServer = "no-server",
    /// The deadline passed before it could be sent.
    DeadlineBeforeSend = "deadline-before-send",
    /// It could be sent once more, and the retry budget is spent.
    RetryBudget = "retry-budget",
    /// No server that was tried could be connected to.
    NoConnection = "no-connection",
    /// The servers that were tried have turned it away as full.
    ServersFull = "servers-full",
    /// The service says that its request rate is spent.
    ServerRateLimit = "server-rate-limit",
    /// It was sent, and the connection was lost before a whole answer came, or what came is no answer to it.
    AnswerLost = "answer-lost",
    /// The server's whole answer promises by its status that the request has not run, without the word that it has not.
    UnprovenRefusal = "unproven-refusal",
    /// It was sent, and no answer came in time.
    NoAnswer = "no-answer",
    /// A server answered with an error of its own.
    ServerError = "server-error",
    /// The shield has not been told of the configuration that the edge decided under.
    ShieldBehind = "shield-behind",
    /// The shield has as many fetches under way as it may.
    TooManyFetches = "too-many-fetches",
    /// The shield was asked with no send left, and has no copy.
    NoSendLeft = "no-send-left",
    /// No shield gave an answer, and no server could be asked in their place.
    NoShield = "no-shield",
    /// The shield gave no cause.
    Unstated = "unstated",
    /// The request is not one that a proxy takes.
    BadRequest = "bad-request",
    /// The body is longer than is taken.
    BodyTooLarge = "body-too-large",
    /// The body did not come whole in time.
    BodyTooSlow = "body-too-slow",
    /// The client's connection ended before the answer was ready.
    ClientGone = "client-gone",
    /// The head did not come whole in time.
    HeadTooSlow = "head-too-slow",
}

impl Cause {
    fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|cause| cause.name() == name)
    }
}

/// Why a request failed, and the way that it took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What ended it.
    pub cause: Cause,
    /// Whom it was sent to, in order, and how that ended; empty where it was sent to nobody.
    pub way: Cow<'static, str>,
}

impl From<Cause> for Failure {
    fn from(cause: Cause) -> Self {
        Failure { cause, way: Cow::Borrowed("") }
    }
}

impl Failure {
    /// A failure after these steps.
    pub fn after(cause: Cause, way: String) -> Self {
        Failure { cause, way: Cow::Owned(way) }
    }

    /// The same with what came before.
    pub fn preceded_by(mut self, way: &str) -> Self {
        if !way.is_empty() {
            let separator = if self.way.is_empty() { "" } else { ", " };
            self.way = Cow::Owned(format!("{way}{separator}{}", self.way));
        }
        self
    }

    /// The value of its header.
    pub fn encode(&self) -> HeaderValue {
        let text = format!("{} {}", self.cause.name(), shortened(&self.way, LONGEST_WAY));
        HeaderValue::from_str(text.trim_end()).unwrap_or_else(|_| HeaderValue::from_static(self.cause.name()))
    }

    /// Reads the header of a shield's answer.
    pub fn decode(value: Option<&HeaderValue>) -> Self {
        let Some(text) = value.and_then(|value| value.to_str().ok()) else { return Cause::Unstated.into() };
        let (cause, way) = text.split_once(' ').unwrap_or((text, ""));
        Failure::after(Cause::parse(cause).unwrap_or(Cause::Unstated), way.to_owned())
    }
}

/// The first bytes of a text, cut between characters.
fn shortened(text: &str, most: usize) -> &str {
    &text[..text.floor_char_boundary(most)]
}

/// What the log tells of a request that failed.
pub struct FailedRequest<'a> {
    /// The id of its try.
    pub try_id: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Its host.
    pub host: &'a str,
    /// Its path and query.
    pub path: &'a str,
    /// The route that takes it; empty where none does.
    pub route: &'a str,
    /// The status that its client gets; 0 where it gets none.
    pub status: u16,
    /// The version of the configuration that it was decided under; 0 where there was none.
    pub rev: u64,
    /// Whether this process was told all that control tells, and by a lease knew of all purges.
    pub in_touch: bool,
    /// When it had been read.
    pub began: Instant,
}

struct CauseCount {
    count: u64,
    lines: LogLimit,
}

/// Counts failures by their causes, and writes a line for each, as far as lines of its cause may be written.
pub struct FailureLog {
    causes: RefCell<Vec<CauseCount>>,
}

impl Default for FailureLog {
    fn default() -> Self {
        let count = |_: &Cause| CauseCount { count: 0, lines: LogLimit::new(LINES_AT_ONCE, LINES_PER_S) };
        FailureLog { causes: RefCell::new(Cause::ALL.iter().map(count).collect()) }
    }
}

impl FailureLog {
    /// Counts a failure and writes its line. `request` is asked for only where a line is written.
    pub fn note<'a>(&self, failure: &Failure, request: impl FnOnce() -> FailedRequest<'a>) {
        let mut causes = self.causes.borrow_mut();
        let Some(known) = causes.get_mut(failure.cause as usize) else { return };
        known.count += 1;
        let Some(not_logged) = known.lines.admit(Instant::now()) else { return };
        let request = request();
        let quoted = |text| shortened(text, LONGEST_QUOTE);
        tracing::warn!(
            try_id = ?quoted(request.try_id),
            status = request.status,
            cause = failure.cause.name(),
            way = ?shortened(&failure.way, LONGEST_WAY),
            method = ?quoted(request.method),
            host = ?quoted(request.host),
            path = ?quoted(request.path),
            route = ?quoted(request.route),
            rev = request.rev,
            in_touch = request.in_touch,
            after_ms = request.began.elapsed().as_millis() as u64,
            not_logged,
            "request failed"
        );
    }

    /// How many requests failed by each cause that there was, for `status`.
    pub fn report(&self) -> Vec<(String, u64)> {
        let causes = self.causes.borrow();
        let counts = Cause::ALL.iter().zip(causes.iter().map(|known| known.count));
        counts
            .filter(|(_, count)| *count > 0)
            .map(|(cause, count)| (format!("failed_{}", cause.name().replace('-', "_")), count))
            .collect()
    }
}
