//! Pace of calls: a token bucket for the call rate, and a circuit breaker that opens after a
//! failure for a random part of an exponentially growing pause (full jitter), so that the entry
//! VMs do not return together when an outage ends.

use rand::Rng;
use std::time::{Duration, Instant};

/// First upper bound of the pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Largest upper bound of the pause.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Why a call must wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceRefusal {
    /// The call rate is used up.
    Rate,
    /// The platform failed lately.
    Open,
}

/// Pace of one entry VM's calls to the platform.
#[derive(Debug)]
pub struct CallPace {
    rate: f64,
    saved: f64,
    refilled_at: Option<Instant>,
    failures: u32,
    open_until: Option<Instant>,
    max_pause: Duration,
}

impl CallPace {
    /// A pace of `calls_per_second` that starts without saved calls beyond one.
    pub fn new(calls_per_second: u32) -> Self {
        Self {
            rate: f64::from(calls_per_second),
            saved: 1.0,
            refilled_at: None,
            failures: 0,
            open_until: None,
            max_pause: MAX_PAUSE,
        }
    }

    /// Allows the calls of one second at once, as a process needs them that starts.
    pub fn with_full_start(mut self) -> Self {
        self.saved = self.rate;
        self
    }

    /// Shortens the largest upper bound of the pause after failures.
    pub fn with_max_pause(mut self, max_pause: Duration) -> Self {
        self.max_pause = max_pause;
        self
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// Why the call must not be made now.
    pub fn try_take(&mut self, now: Instant) -> Result<(), PaceRefusal> {
        self.refill(now);
        if self.open_until.is_some_and(|until| now < until) {
            return Err(PaceRefusal::Open);
        }
        if self.saved < 1.0 {
            return Err(PaceRefusal::Rate);
        }
        self.saved -= 1.0;
        Ok(())
    }

    /// Accounts for an answered call.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.open_until = None;
    }

    /// Accounts for a call without an answer.
    pub fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        let bound = (FIRST_PAUSE * 2u32.pow(self.failures.min(10))).min(self.max_pause);
        self.failures += 1;
        self.open_until = Some(now + bound.mul_f64(rng.random_range(0.05..1.0)));
    }

    fn refill(&mut self, now: Instant) {
        let last = *self.refilled_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        self.refilled_at = Some(now);
        self.saved = (self.saved + elapsed * self.rate).min(self.rate.max(1.0));
    }
}
