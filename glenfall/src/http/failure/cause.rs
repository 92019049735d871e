//! The causes of failed requests.

/// Defines [`Cause`] together with the names of its variants, so that a new one is added in a single place.
macro_rules! causes {
    ($($(#[$doc:meta])* $cause:ident = $name:literal,)+) => {
        /// Why a request got no response from a server, or got an error from it.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Cause {
            $($(#[$doc])* $cause,)+
        }

        impl Cause {
            /// All causes, in the order of their discriminants.
            pub const ALL: &[Cause] = &[$(Cause::$cause),+];

            /// The name in logs, in counters, and in the header between shield and edge.
            pub fn name(self) -> &'static str {
                match self {
                    $(Cause::$cause => $name,)+
                }
            }
        }
    };
}

causes! {
    /// This process has received no configuration yet.
    NoConfiguration = "no-configuration",
    /// No route matches the request.
    NoRoute = "no-route",
    /// The route's traffic split names no service.
    NoService = "no-service",
    /// There is no memory for another response.
    NoMemory = "no-memory",
    /// There is no memory for the request's body.
    NoBodyMemory = "no-body-memory",
    /// The service responds slowly, and this machine's concurrency limit for it is reached.
    ConcurrencyLimit = "concurrency-limit",
    /// This machine's share of the service's rate limit is used up.
    RateLimit = "rate-limit",
    /// No server of the service is known, or all were tried already.
    NoServer = "no-server",
    /// The deadline passed before the request could be sent.
    DeadlineBeforeSend = "deadline-before-send",
    /// The request could be retried, but the retry budget is used up.
    RetryBudget = "retry-budget",
    /// None of the servers that were tried could be connected to.
    NoConnection = "no-connection",
    /// The servers that were tried rejected the request because they are overloaded.
    ServersOverloaded = "servers-full",
    /// The service reports that its rate limit is used up.
    ServerRateLimit = "server-rate-limit",
    /// The request was sent, but the connection was lost before the response was complete, or the bytes that were
    /// received are not a valid response to it.
    ResponseLost = "answer-lost",
    /// The status of the server's response suggests that the request has not run, but the response does not confirm it.
    UnconfirmedRejection = "unproven-refusal",
    /// The request was sent, but no response was received before the deadline.
    NoResponse = "no-answer",
    /// A server responded with an error.
    ServerError = "server-error",
    /// The shield has not yet received the configuration with which the edge routed the request.
    ShieldConfigOutdated = "shield-behind",
    /// The shield has reached its limit of fetches in flight.
    TooManyFetches = "too-many-fetches",
    /// The request reached the shield with an allowance of no sends, and there is no stored response.
    NoSendLeft = "no-send-left",
    /// No shield responded, and the edge could not send the request to a server itself.
    NoShield = "no-shield",
    /// The shield reported no cause, or one that this release does not know.
    Unspecified = "unstated",
    /// The request is invalid.
    BadRequest = "bad-request",
    /// The body is longer than the limit.
    BodyTooLarge = "body-too-large",
    /// The body was not complete in time.
    BodyTooSlow = "body-too-slow",
    /// The client's connection was closed before the response was ready.
    ClientDisconnected = "client-gone",
    /// The head was not complete in time.
    HeadTooSlow = "head-too-slow",
}

impl Cause {
    /// The cause with this name, if there is one.
    pub(super) fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|cause| cause.name() == name)
    }
}
