//! Division of targets' rate limits among entry VMs, by the owner of each limit.
//!
//! Each entry VM with requests for a limited target claims a share with a weight, the rate of its requests for
//! the target's service. Shares are proportional to the weights, so that a limit is used up however unevenly
//! callers are spread, and a share of less than one request in some seconds still accumulates.
//!
//! Entry VMs that differ in their view of the fleet may choose different owners. An owner whose view may be
//! outdated therefore grants a part of the limit only: see [`MembershipView`].
//!
//! Invariant: the valid shares of a target never add up to more than its limit. A claim gets at most what the
//! other valid shares leave, and the holders of larger shares give way when they renew them.

use crate::ids::{IncarnationId, InstanceName};
use crate::rate_limit::{LimitObservation, LimitShare, SHARE_LIFETIME};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after the last claim for which what is known about a limit is kept.
const ENTRY_LIFETIME: Duration = Duration::from_secs(10);
/// Minimum weight of a claim, in requests per second.
const MIN_WEIGHT: f64 = 0.1;

/// How reliable the owner's view of the fleet is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipView {
    /// The entry VMs that started together have not been read yet: each one may take itself for the only owner.
    Unsettled,
    /// There has been no contact with the store for a while: some changes may have reached some entry VMs only.
    Outdated,
    /// Up to date.
    Current,
}

impl MembershipView {
    /// Returns the part of a limit that may be granted. Two owners with outdated views grant no more than all of it
    /// together.
    fn grantable_part(self) -> f64 {
        match self {
            Self::Unsettled => 0.0,
            Self::Outdated => 0.5,
            Self::Current => 1.0,
        }
    }
}

/// Claim of an entry VM for a share of a target's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitClaim {
    /// The entry VM that claims the share.
    pub claimant: IncarnationId,
    /// Rate of its requests for the target's service, in requests per second.
    pub weight: f64,
    /// Its observation of the limit.
    pub observation: LimitObservation,
}

/// Shares of the limits that this entry VM owns.
#[derive(Debug, Default)]
pub struct LimitLedger {
    entries: HashMap<InstanceName, LedgerEntry>,
}

#[derive(Debug)]
struct LedgerEntry {
    observation: LimitObservation,
    claimed_at: Instant,
    shares: HashMap<IncarnationId, ClaimedShare>,
}

#[derive(Debug)]
struct ClaimedShare {
    weight: f64,
    share: LimitShare,
}

impl LimitLedger {
    /// Grants a share of a target's limit. Returns what is known about the limit and the share, which is `None`
    /// if the limit has ended.
    pub fn grant(
        &mut self,
        instance: &InstanceName,
        claim: &LimitClaim,
        view: MembershipView,
        now: Instant,
    ) -> (LimitObservation, Option<LimitShare>) {
        self.remove_expired(now);
        let entry = self.entries.entry(instance.clone()).or_insert_with(|| LedgerEntry {
            observation: claim.observation,
            claimed_at: now,
            shares: HashMap::new(),
        });
        entry.claimed_at = now;
        entry.observation = entry.observation.latest(claim.observation);
        let Some(limit) = entry.observation.per_second else { return (entry.observation, None) };
        let share = entry.divide(limit * view.grantable_part(), claim, now);
        (entry.observation, Some(share))
    }

    /// Returns whether no limit has been claimed recently.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now.saturating_duration_since(entry.claimed_at) < ENTRY_LIFETIME);
    }
}

impl LedgerEntry {
    fn divide(&mut self, limit: f64, claim: &LimitClaim, now: Instant) -> LimitShare {
        self.shares.retain(|_, claimed| claimed.share.expires_at > now);
        self.shares.remove(&claim.claimant);
        let weight = claim.weight.max(MIN_WEIGHT);
        let other_weight: f64 = self.shares.values().map(|claimed| claimed.weight).sum();
        let granted: f64 = self.shares.values().map(|claimed| claimed.share.per_second).sum();
        let fair_rate = limit * weight / (weight + other_weight);
        let per_second = fair_rate.min(limit - granted).max(0.0);
        let share = LimitShare { per_second, expires_at: now + SHARE_LIFETIME };
        self.shares.insert(claim.claimant, ClaimedShare { weight, share });
        share
    }
}
