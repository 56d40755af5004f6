//! Request outcomes, refusal reasons and retry reasons.
//!
//! Counters are indexed by these enums, so every reason has a counter.

/// What is known about a request to which sniperelay itself responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A target executed the request.
    Ran,
    /// No target executed the request, and none will.
    NotRun,
    /// A target may have executed the request.
    Unknown,
}

impl Outcome {
    /// Returns the header value of the outcome.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name { $($(#[$variant_doc])* $variant,)+ }

        impl $name {
            /// All reasons, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the name used in headers and counters.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }

            /// Returns the position in [`Self::ALL`].
            pub fn index(self) -> usize {
                self as usize
            }
        }
    };
}

reasons! {
    /// Reason for which a request was refused or cancelled.
    RefusalReason {
        /// This entry VM has no active document for the service.
        UnknownService => "unknown-service",
        /// No rank of the document matches the method and path.
        UnknownRank => "unknown-rank",
        /// The request is malformed or uses an HTTP feature that is not allowed.
        BadRequest => "bad-request",
        /// The request body is larger than the limit.
        BodyTooLarge => "body-too-large",
        /// The bodies of other requests take up the memory for them.
        NoMemory => "no-memory",
        /// The caller sent the request body too slowly.
        SlowCaller => "slow-caller",
        /// A non-idempotent request carried no idempotency key.
        KeyMissing => "key-missing",
        /// The idempotency key is malformed, or its ticket was never issued.
        KeyInvalid => "key-invalid",
        /// The epoch of the key is no longer retained in the claim table.
        KeyExpired => "key-expired",
        /// The key belongs to another incarnation, which could not be reached.
        KeyElsewhere => "key-elsewhere",
        /// A request with the same key is in flight.
        DuplicateInFlight => "duplicate-in-flight",
        /// A request with the same key has finished.
        DuplicateFinished => "duplicate-finished",
        /// The claim table is full.
        ClaimTableFull => "claim-table-full",
        /// The API key is missing or belongs to no client account.
        ApiKeyUnknown => "api-key-unknown",
        /// The configuration may have changed since this entry VM last read it, so that the API key may have been revoked.
        ConfigurationOutdated => "configuration-outdated",
        /// The client account has used up its request limit.
        AccountLimit => "account-limit",
        /// The deadline cannot be met.
        DeadlineUnreachable => "deadline-unreachable",
        /// The deadline passed while the request was waiting.
        DeadlinePassed => "deadline-passed",
        /// All targets state rate limits, which leave no room for the request before its deadline.
        TargetLimit => "target-limit",
        /// The queue of the rank is full.
        QueueFull => "queue-full",
        /// No target of the service is usable.
        NoTarget => "no-target",
        /// This entry VM reaches no target, and no other entry VM has taken the request.
        Isolated => "isolated",
        /// A target refused the request, and no retry was allowed.
        TargetRefused => "target-refused",
        /// No connection to a target could be made.
        ConnectFailed => "connect-failed",
        /// The connection to the target was lost after bytes were sent.
        ConnectionLost => "connection-lost",
        /// The target did not respond before the deadline.
        TargetTimeout => "target-timeout",
        /// The caller disconnected.
        CallerGone => "caller-gone",
        /// Targets have crashed while they ran requests with the same content.
        Quarantined => "quarantined",
        /// The entry VM is stopping.
        Stopping => "stopping",
        /// Too many caller connections are open.
        ConnectionLimit => "connection-limit",
    }
}

reasons! {
    /// Reason for which another attempt was made.
    RetryReason {
        /// No connection to the first target could be made.
        ConnectFailed => "connect-failed",
        /// The first target reported that it refused the request.
        TargetRefused => "target-refused",
        /// The connection was lost before a response began.
        ConnectionLost => "connection-lost",
        /// The first target responded with a server error.
        TargetError => "target-error",
        /// The first target is slower than its peers; a second attempt runs in parallel.
        Hedge => "hedge",
    }
}
