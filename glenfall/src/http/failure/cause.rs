//! The causes for which requests fail.

/// Defines [`Cause`] with the name of each cause, so that a new one has to be added in one place only.
macro_rules! causes {
    ($($(#[$doc:meta])* $cause:ident = $name:literal,)+) => {
        /// Why a request got no response of a server, or got a server's failure.
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
    /// The service is slow, and this machine has as many requests in flight to it as its concurrency limit allows.
    ConcurrencyLimit = "concurrency-limit",
    /// This machine's share of the service's rate limit is used up.
    RateLimit = "rate-limit",
    /// No server of the service is known, or each was tried already.
    NoServer = "no-server",
    /// The deadline passed before the request could be sent.
    DeadlineBeforeSend = "deadline-before-send",
    /// The request could be retried, but the retry budget is used up.
    RetryBudget = "retry-budget",
    /// None of the servers that were tried could be connected to.
    NoConnection = "no-connection",
    /// The servers that were tried have rejected the request as overloaded.
    ServersFull = "servers-full",
    /// The service reports that its rate limit is used up.
    ServerRateLimit = "server-rate-limit",
    /// The request was sent, and the connection was lost before the response was complete, or what was received is no
    /// response to it.
    AnswerLost = "answer-lost",
    /// The status of the server's response suggests that the request has not run, but the response does not state it.
    UnprovenRefusal = "unproven-refusal",
    /// The request was sent, and no response was received in time.
    NoAnswer = "no-answer",
    /// A server responded with an error of its own.
    ServerError = "server-error",
    /// The shield has not received the configuration that the edge used for its decision.
    ShieldBehind = "shield-behind",
    /// The shield has reached its limit of fetches in flight.
    TooManyFetches = "too-many-fetches",
    /// The request reached the shield with no send left in its budget, and there is no stored response.
    NoSendLeft = "no-send-left",
    /// No shield responded, and the request could be sent to no server instead.
    NoShield = "no-shield",
    /// The shield stated no cause.
    Unstated = "unstated",
    /// The request is invalid.
    BadRequest = "bad-request",
    /// The body is longer than the limit.
    BodyTooLarge = "body-too-large",
    /// The body was not complete in time.
    BodyTooSlow = "body-too-slow",
    /// The client's connection was closed before the response was ready.
    ClientGone = "client-gone",
    /// The head was not complete in time.
    HeadTooSlow = "head-too-slow",
}

impl Cause {
    /// The cause with this name, if there is one.
    pub(super) fn parse(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|cause| cause.name() == name)
    }
}
