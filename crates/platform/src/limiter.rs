//! Limiter for calls to the platform: a token bucket for the call rate, and a circuit breaker.
//!
//! After a failure, the breaker stays open for a random part of an exponentially growing backoff
//! (full jitter), so that the entry VMs do not all retry at the same time when an outage ends.

use rand::Rng;
use std::time::{Duration, Instant};

/// Upper bound of the backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Default maximum of the upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Reason why the limiter rejects a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterRefusal {
    /// The call rate is exceeded.
    RateExceeded,
    /// The circuit breaker is open because of a recent failure.
    CircuitOpen,
}

/// Limits the calls of one entry VM to the platform. After each failure in a row, the upper bound of
/// the backoff doubles.
#[derive(Debug)]
pub struct CallLimiter {
    tokens_per_second: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
    failures: u32,
    open_until: Option<Instant>,
    max_backoff: Duration,
}

impl CallLimiter {
    /// Creates a limiter for `calls_per_second` that starts with a single token.
    pub fn new(calls_per_second: u32) -> Self {
        Self {
            tokens_per_second: f64::from(calls_per_second),
            tokens: 1.0,
            refilled_at: None,
            failures: 0,
            open_until: None,
            max_backoff: MAX_BACKOFF,
        }
    }

    /// Starts with the tokens of one second, for the burst of calls of a starting process.
    pub fn with_full_bucket(mut self) -> Self {
        self.tokens = self.tokens_per_second;
        self
    }

    /// Replaces the default maximum of the upper bound of the backoff.
    pub fn with_max_backoff(mut self, max_backoff: Duration) -> Self {
        self.max_backoff = max_backoff;
        self
    }

    /// Acquires permission for one call.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call must not be sent now.
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

    /// Records a call that got a response; closes the circuit breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.open_until = None;
    }

    /// Records a call that was refused or got no response; opens the circuit breaker.
    pub fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        let bound = (INITIAL_BACKOFF * 2u32.pow(self.failures.min(10))).min(self.max_backoff);
        self.failures += 1;
        self.open_until = Some(now + bound.mul_f64(rng.random_range(0.05..1.0)));
    }

    fn refill(&mut self, now: Instant) {
        let last = *self.refilled_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed * self.tokens_per_second).min(self.tokens_per_second.max(1.0));
    }
}
