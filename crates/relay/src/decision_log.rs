//! Log lines of decisions on requests.
//!
//! Each refusal, failure, late answer and further attempt gets a line with the request's id and the
//! figures that decided, up to a stated rate; of routine answers, one a second and rank. A line
//! says how many of its kind were left out since the last one.

use sniperelay_core::reason::RetryReason;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines of one kind per second; beyond, lines are left out and counted.
const MAX_LINES_PER_SECOND: f64 = 20.0;
/// Lines of routine answers per second and rank.
const MAX_ON_TIME_LINES_PER_SECOND: f64 = 1.0;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DecisionKind {
    /// Refused without having run.
    Refused,
    /// Ended without a target's answer, perhaps run.
    Failed,
    /// Answered after its target time.
    Late,
    /// Sent to a target once more.
    Retried,
    /// Answered on time.
    OnTime,
}

impl DecisionKind {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::Retried => "repeated",
            Self::OnTime => "answered",
        }
    }
}

/// Allowance of one kind of line.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
    suppressed_lines: u64,
}

/// Keeps the number of lines within their rates.
#[derive(Debug, Default)]
pub struct DecisionLog {
    buckets: Mutex<HashMap<(DecisionKind, String), TokenBucket>>,
}

impl DecisionLog {
    /// Whether a line of this kind may be written now, and how many were left out before it.
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

/// One attempt as log lines show it.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// Address of the target.
    pub address: SocketAddr,
    /// Time from the request's arrival to its start.
    pub started_after: Duration,
    /// Expected time of work there relative to usual, by the last report.
    pub slowdown: f64,
    /// Age of that report.
    pub slowdown_age: Option<Duration>,
    /// Requests of this entry VM at the target, this one included, and of others as last reported.
    pub load: (u32, u32),
    /// Why it is not the first.
    pub retry: Option<RetryReason>,
    /// How and when it ended, as the time since the request's arrival.
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
