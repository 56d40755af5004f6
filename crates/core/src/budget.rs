//! Budgets of extra attempts as a share of first attempts.

/// Largest number of saved extra attempts.
const DEFAULT_CAPACITY: f64 = 10.0;

/// Token bucket filled by first attempts; each extra attempt takes one token.
#[derive(Debug)]
pub struct AttemptBudget {
    share: f64,
    tokens: f64,
    capacity: f64,
}

impl AttemptBudget {
    /// A budget that allows `share` extra attempts per first attempt, and none before the first.
    pub fn new(share: f64) -> Self {
        Self { share, tokens: 0.0, capacity: DEFAULT_CAPACITY }
    }

    /// Limits the extra attempts that are saved up.
    pub fn set_capacity(&mut self, attempts: f64) {
        self.capacity = attempts;
        self.tokens = self.tokens.min(attempts);
    }

    /// Accounts for a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity.max(self.share));
    }

    /// Takes one extra attempt if at least half of what may be saved up stays.
    pub fn try_take_keeping_half(&mut self) -> bool {
        self.tokens >= (1.0 + self.capacity) / 2.0 && self.try_take()
    }

    /// Takes one extra attempt if the budget allows it.
    pub fn try_take(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
