//! Request rate limits that targets state in their responses.

use std::time::Instant;

/// What a target stated about its limit at some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// Requests per second that the target accepts from all entry VMs together; `None` if it has ended its
    /// limit.
    pub per_second: Option<f64>,
    /// Time of the response with this statement.
    pub observed_at: Instant,
}

/// Effect of a response on what is known about a target's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// Nothing has changed.
    Unchanged,
    /// The target states a limit for the first time, or another one, in requests per second.
    Stated(f64),
    /// The target no longer states a limit.
    Ended,
}

/// Limit of one target, as known to one entry VM.
#[derive(Debug, Clone, Copy)]
pub struct TargetLimit {
    observation: LimitObservation,
}

impl TargetLimit {
    /// Creates the limit of a target that has stated `per_second` for the first time.
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self { observation: LimitObservation { per_second: Some(per_second), observed_at: now } }
    }

    /// Returns what the target has stated last.
    pub fn observation(&self) -> LimitObservation {
        self.observation
    }

    /// Records what a response states. `sent_at` is the time at which its request was sent: a response
    /// without a limit ends the limit only if its request was sent after the limit was stated.
    pub fn record_response(
        &mut self,
        per_second: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> LimitChange {
        let is_older = sent_at < self.observation.observed_at;
        let previous = self.observation.per_second;
        if per_second.is_none() && (previous.is_none() || is_older) {
            return LimitChange::Unchanged;
        }
        self.observation = LimitObservation { per_second, observed_at: now };
        match per_second {
            None => LimitChange::Ended,
            Some(_) if per_second == previous => LimitChange::Unchanged,
            Some(per_second) => LimitChange::Stated(per_second),
        }
    }
}
