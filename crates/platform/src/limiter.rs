//! Pace of calls: a token bucket for the call rate, and a circuit breaker that opens after a
//! failure for a random part of an exponentially growing pause (full jitter), so that the entry
//! VMs do not return together when an outage ends.

use rand::Rng;
use std::time::{Duration, Instant};

/// First upper bound of the pause after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Largest upper bound of the pause.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Why a call must wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterRefusal {
    /// The call rate is used up.
    RateExceeded,
    /// The platform failed lately.
    CircuitOpen,
}

/// Pace of one entry VM's calls to the platform.
#[derive(Debug)]
pub struct CallLimiter {
    rate: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
    failures: u32,
    open_until: Option<Instant>,
    max_backoff: Duration,
}

impl CallLimiter {
    /// A pace of `calls_per_second` that starts without saved calls beyond one.
    pub fn new(calls_per_second: u32) -> Self {
        Self {
            rate: f64::from(calls_per_second),
            tokens: 1.0,
            refilled_at: None,
            failures: 0,
            open_until: None,
            max_backoff: MAX_BACKOFF,
        }
    }

    /// Allows the calls of one second at once, as a process needs them that starts.
    pub fn with_full_bucket(mut self) -> Self {
        self.tokens = self.rate;
        self
    }

    /// Shortens the largest upper bound of the pause after failures.
    pub fn with_max_backoff(mut self, max_backoff: Duration) -> Self {
        self.max_backoff = max_backoff;
        self
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// Why the call must not be made now.
    pub fn try_acquire(&mut self, now: Instant) -> Result<(), LimiterRefusal> {
        self.refill(now);
        if self.open_until.is_some_and(|until| now < until) {
            return Err(LimiterRefusal::CircuitOpen);
        }
        if self.tokens < 1.0 {
            return Err(LimiterRefusal::RateExceeded);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Accounts for an answered call.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.open_until = None;
    }

    /// Accounts for a call without an answer.
    pub fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        let bound = (INITIAL_BACKOFF * 2u32.pow(self.failures.min(10))).min(self.max_backoff);
        self.failures += 1;
        self.open_until = Some(now + bound.mul_f64(rng.random_range(0.05..1.0)));
    }

    fn refill(&mut self, now: Instant) {
        let last = *self.refilled_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate.max(1.0));
    }
}
