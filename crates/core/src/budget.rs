//! Budgets of extra attempts as a share of first attempts.

/// Largest number of saved extra attempts.
const MAX_SAVED: f64 = 10.0;

/// Token bucket filled by first attempts; each extra attempt takes one token.
#[derive(Debug)]
pub struct AttemptBudget {
    share: f64,
    saved: f64,
    max_saved: f64,
}

impl AttemptBudget {
    /// A budget that allows `share` extra attempts per first attempt, and none before the first.
    pub fn new(share: f64) -> Self {
        Self { share, saved: 0.0, max_saved: MAX_SAVED }
    }

    /// Limits the extra attempts that are saved up.
    pub fn set_reserve(&mut self, attempts: f64) {
        self.max_saved = attempts;
        self.saved = self.saved.min(attempts);
    }

    /// Accounts for a first attempt.
    pub fn record_first(&mut self) {
        self.saved = (self.saved + self.share).min(self.max_saved.max(self.share));
    }

    /// Takes one extra attempt if at least half of what may be saved up stays.
    pub fn try_take_spare(&mut self) -> bool {
        self.saved >= (1.0 + self.max_saved) / 2.0 && self.try_take()
    }

    /// Takes one extra attempt if the budget allows it.
    pub fn try_take(&mut self) -> bool {
        let is_allowed = self.saved >= 1.0;
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }
}
