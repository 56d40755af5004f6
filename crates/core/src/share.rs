//! Slot time owed to each rank.
//!
//! Whenever a request starts, each waiting rank earns its kept share of the slot time spent, and
//! the started rank pays for it. A rank that is owed time goes before more urgent ranks that are
//! not, so that a flood of any rank leaves the others their share; time that nobody is owed goes
//! by urgency. Balances are clamped, so that neither credit nor debt outlives a flood.

use crate::ids::RankId;
use std::time::Duration;

/// Largest balance, as a multiple of the cost of the started request.
const MAX_BALANCE_COSTS: f64 = 8.0;

/// Balance of slot time per rank.
#[derive(Debug)]
pub struct FairShareScheduler {
    kept_shares: Vec<f64>,
    /// Slot time owed, in seconds.
    balances: Vec<f64>,
}

impl FairShareScheduler {
    /// A ledger for ranks with these kept shares.
    pub fn new(kept_shares: Vec<f64>) -> Self {
        let balances = vec![0.0; kept_shares.len()];
        Self { kept_shares, balances }
    }

    /// The rank to serve next among those with waiting requests.
    pub fn next_rank(&self, is_waiting: impl Fn(RankId) -> bool) -> Option<RankId> {
        let waiting = || (0..self.balances.len()).filter(|rank| is_waiting(*rank));
        let entitled = waiting().find(|rank| self.balances[*rank] >= 0.0 && self.kept_shares[*rank] > 0.0);
        entitled.or_else(|| waiting().next())
    }

    /// Accounts for a started request of `rank` that is expected to hold a slot for `cost`.
    pub fn charge(&mut self, rank: RankId, cost: Duration, is_waiting: impl Fn(RankId) -> bool) {
        let cost = cost.as_secs_f64();
        let limit = cost * MAX_BALANCE_COSTS;
        for (other, balance) in self.balances.iter_mut().enumerate() {
            if other == rank || is_waiting(other) {
                *balance += self.kept_shares[other] * cost;
            }
        }
        self.balances[rank] -= cost;
        for balance in &mut self.balances {
            *balance = balance.clamp(-limit, limit);
        }
    }
}
