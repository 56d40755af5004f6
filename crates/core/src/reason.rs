//! Outcomes of requests, and one enum each for refusal and retry reasons.
//!
//! Counters are indexed by these enums, so that no reason can lack a counter.

/// What is known of a request that the system answered itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A target ran it.
    Ran,
    /// No target ran it and none will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Header value of the outcome.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident => $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name { $($(#[$vdoc])* $variant,)+ }

        impl $name {
            /// Every reason, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Name in headers and counters.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }

            /// Position in [`Self::ALL`].
            pub fn index(self) -> usize {
                self as usize
            }
        }
    };
}

reasons! {
    /// Why a request was refused or given up.
    RefusalReason {
        /// No document for the service is in force here.
        UnknownService => "unknown-service",
        /// No rank of the document matches method and path.
        UnknownRank => "unknown-rank",
        /// The request is malformed or uses a refused HTTP feature.
        BadRequest => "bad-request",
        /// The request body is larger than the limit.
        BodyTooLarge => "body-too-large",
        /// The caller sent its body too slowly.
        SlowCaller => "slow-caller",
        /// A non-idempotent request carried no idempotency key.
        KeyMissing => "key-missing",
        /// The idempotency key is malformed or its ticket was never issued.
        KeyInvalid => "key-invalid",
        /// The key is older than the claim table remembers.
        KeyExpired => "key-expired",
        /// The key belongs to an incarnation that could not be asked.
        KeyElsewhere => "key-elsewhere",
        /// The same key is in flight.
        DuplicateInFlight => "duplicate-in-flight",
        /// The same key has finished.
        DuplicateFinished => "duplicate-finished",
        /// The claim table is full.
        ClaimTableFull => "claim-table-full",
        /// The deadline cannot be met.
        DeadlineUnreachable => "deadline-unreachable",
        /// The deadline passed while waiting.
        DeadlinePassed => "deadline-passed",
        /// The queue of the rank is full.
        QueueFull => "queue-full",
        /// No target of the service is usable.
        NoTarget => "no-target",
        /// A target refused the request and no retry was allowed.
        TargetRefused => "target-refused",
        /// No connection to a target could be made.
        ConnectFailed => "connect-failed",
        /// The connection to the target was lost after bytes were sent.
        ConnectionLost => "connection-lost",
        /// The target did not answer before the deadline.
        TargetTimeout => "target-timeout",
        /// The caller went away.
        CallerGone => "caller-gone",
        /// The entry VM is stopping.
        Stopping => "stopping",
        /// Too many caller connections.
        ConnectionLimit => "connection-limit",
    }
}

reasons! {
    /// Why another attempt was made.
    RetryReason {
        /// No connection to the first target could be made.
        ConnectFailed => "connect-failed",
        /// The first target said that it refused the request.
        TargetRefused => "target-refused",
        /// The connection broke before an answer began.
        ConnectionLost => "connection-lost",
        /// The first target answered with a server error.
        TargetError => "target-error",
        /// The first target is slower than its peers; a second attempt runs beside it.
        Hedge => "hedge",
    }
}
