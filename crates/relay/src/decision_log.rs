//! Rate-limited log lines about decisions on requests.
//!
//! Each refusal, failure, late response and additional attempt is logged with the request's id and
//! the figures that led to the decision, up to a maximum rate. Responses that are on time are
//! sampled at a lower rate. Each line states how many lines of its kind have been suppressed since
//! the previous one.

use sniperelay_core::reason::RetryReason;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum rate of lines of one kind and scope, per second. Lines above the rate are suppressed and
/// counted.
const MAX_LINES_PER_SECOND: f64 = 20.0;
/// Maximum rate of lines about responses that are on time, per second and scope.
const MAX_ON_TIME_LINES_PER_SECOND: f64 = 1.0;

/// Kind of a decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DecisionKind {
    /// The request was refused and did not run.
    Refused,
    /// The request ended without a target's response and may have run.
    Failed,
    /// The response came after the latency target.
    Late,
    /// The request was sent to a target again.
    Retried,
    /// The request waits for another service, as its route was changed.
    Moved,
    /// The response came within the latency target.
    OnTime,
    /// The request's connection ended without a response.
    Unanswered,
    /// A target states another limit than before.
    LimitChanged,
    /// A target has turned cold or warm.
    WarmUpChanged,
    /// The limit of caller connections is reached.
    ConnectionLimit,
}

impl DecisionKind {
    /// Returns the name that is used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Retried => "repeated",
            Self::Moved => "moved",
            Self::OnTime => "answered",
            Self::Unanswered => "unanswered",
            Self::LimitChanged => "limit changed",
            Self::WarmUpChanged => "warm-up changed",
            Self::ConnectionLimit => "connection limit reached",
        }
    }
}

/// Rate limit for one kind of line in one scope.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
    suppressed_lines: u64,
}

/// Rate limiter for log lines about decisions.
#[derive(Debug, Default)]
pub struct DecisionLog {
    buckets: Mutex<HashMap<(DecisionKind, String), TokenBucket>>,
}

impl DecisionLog {
    /// Checks whether a line may be written now. `scope` is the name of the service, or the reason of a
    /// refusal that precedes the choice of a service. Returns the number of lines suppressed since the
    /// previous one, or `None` if this line is suppressed too.
    pub fn admit(&self, kind: DecisionKind, scope: &str, now: Instant) -> Option<u64> {
        let rate =
            if kind == DecisionKind::OnTime { MAX_ON_TIME_LINES_PER_SECOND } else { MAX_LINES_PER_SECOND };
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let full_bucket = || TokenBucket { tokens: rate, refilled_at: now, suppressed_lines: 0 };
        let bucket = buckets.entry((kind, scope.to_owned())).or_insert_with(full_bucket);
        let elapsed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(rate);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed_lines += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed_lines))
    }
}

/// Record of one attempt for log lines.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// Address of the target.
    pub address: SocketAddr,
    /// Time from the arrival of the request to the start of the attempt.
    pub started_after: Duration,
    /// Expected slowdown of the target, based on its last report; 1.0 is the usual speed.
    pub slowdown: f64,
    /// Age of the last report.
    pub slowdown_age: Option<Duration>,
    /// Number of requests at the target: those from this entry VM, including this one, and those from
    /// others as last reported.
    pub load: (u32, u32),
    /// Reason for the attempt; `None` for the first attempt of a request.
    pub retry: Option<RetryReason>,
    /// How the attempt ended, and the time from the arrival of the request to that end.
    pub end: Option<(&'static str, Duration)>,
}

impl std::fmt::Display for AttemptRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let reason = self.retry.map_or("first", RetryReason::as_str);
        write!(f, "{reason} at {} from {} ms", self.address, self.started_after.as_millis())?;
        write!(f, " (pace {:.2}", self.slowdown)?;
        if let Some(age) = self.slowdown_age {
            write!(f, " of {} ms ago", age.as_millis())?;
        }
        write!(f, ", own {} others {})", self.load.0, self.load.1)?;
        match &self.end {
            Some((end, after)) => write!(f, " {end} at {} ms", after.as_millis()),
            None => write!(f, " open"),
        }
    }
}
