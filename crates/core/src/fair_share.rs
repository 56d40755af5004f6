//! Fair sharing of slot time between ranks.
//!
//! Each rank has a guaranteed share of the slot time (its kept share) and a balance. Whenever a
//! request starts, its rank and each rank with queued requests are credited with their shares of
//! the slot time spent, and the rank of the started request is charged for it. Among the
//! ranks with queued requests, the most urgent one that has a guaranteed share and is not in debt is
//! served first, so that a flood of requests in any rank leaves the other ranks their share. If
//! there is none, the most urgent rank is served. Balances are clamped, so that neither credit nor
//! debt outlives a flood.

use crate::ids::RankId;
use std::time::Duration;

/// Maximum absolute balance, as a multiple of the cost of the started request.
const MAX_BALANCE_COSTS: f64 = 8.0;

/// Chooses the rank to serve next, by balances of slot time.
#[derive(Debug)]
pub struct FairShareScheduler {
    kept_shares: Vec<f64>,
    /// Slot time credited to each rank, in seconds; negative if the rank is in debt.
    balances: Vec<f64>,
}

impl FairShareScheduler {
    /// Creates a scheduler for ranks with the given guaranteed shares, the most urgent rank first.
    pub fn new(kept_shares: Vec<f64>) -> Self {
        let balances = vec![0.0; kept_shares.len()];
        Self { kept_shares, balances }
    }

    /// Returns the rank to serve next among those with queued requests.
    pub fn next_rank(&self, has_queued: impl Fn(RankId) -> bool) -> Option<RankId> {
        let queued = || (0..self.balances.len()).filter(|rank| has_queued(*rank));
        let entitled = queued().find(|rank| self.balances[*rank] >= 0.0 && self.kept_shares[*rank] > 0.0);
        entitled.or_else(|| queued().next())
    }

    /// Charges `rank` for a started request that is expected to hold a slot for `cost`, and credits
    /// it and the ranks with queued requests with their shares.
    pub fn charge(&mut self, rank: RankId, cost: Duration, has_queued: impl Fn(RankId) -> bool) {
        let cost = cost.as_secs_f64();
        let limit = cost * MAX_BALANCE_COSTS;
        for (other, balance) in self.balances.iter_mut().enumerate() {
            if other == rank || has_queued(other) {
                *balance += self.kept_shares[other] * cost;
            }
        }
        self.balances[rank] -= cost;
        for balance in &mut self.balances {
            *balance = balance.clamp(-limit, limit);
        }
    }
}
