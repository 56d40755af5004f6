//! Budgets for further attempts, as a share of first attempts.

/// Default capacity of a budget, in attempts.
const DEFAULT_CAPACITY: f64 = 10.0;

/// Token bucket that is filled by first attempts. Each further attempt takes one token.
#[derive(Debug)]
pub struct AttemptBudget {
    share: f64,
    tokens: f64,
    capacity: f64,
}

impl AttemptBudget {
    /// Creates an empty budget that gains `share` tokens per first attempt.
    pub fn new(share: f64) -> Self {
        Self { share, tokens: 0.0, capacity: DEFAULT_CAPACITY }
    }

    /// Sets the maximum number of accumulated tokens.
    pub fn set_capacity(&mut self, attempts: f64) {
        self.capacity = attempts;
        self.tokens = self.tokens.min(attempts);
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity.max(self.share));
    }

    /// Takes one token if that leaves at least half of the capacity, less half a token.
    pub fn try_take_keeping_half(&mut self) -> bool {
        self.tokens >= (1.0 + self.capacity) / 2.0 && self.try_take()
    }

    /// Takes one token if there is one.
    pub fn try_take(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
