//! Owner's part of the request limits of client accounts: token buckets that grant lots of tokens to claimants.
//!
//! Lots are whole requests with a short lifetime rather than shares of the rate (as in
//! [`limit_ledger`](crate::limit_ledger)), as the share of an entry VM of most accounts is below one request in a window.
//!
//! Invariants:
//!
//! - The bucket of an account that this entry VM did not own before starts empty, so that a burst is not granted again
//!   after a restart or a change of owner.
//! - A token is taken back at most once, from the claimant that got it, and no later than the terms allow.
//! - A lot that is smaller than the claim comes with a time before which the claimant does not claim again.

use crate::account::{AccountId, AccountLimit};
use crate::account_terms::{AccountTerms, LimitTolerance};
use crate::ids::IncarnationId;
use crate::limit_ledger::MembershipView;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time on the boot clock.
type BootTime = Duration;

/// Time for which a new owner fills its bucket at half the rate, as some entry VMs may still claim from the earlier one.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// Minimum time between two claims of one claimant while the bucket is exhausted.
const MIN_CLAIM_PAUSE: Duration = Duration::from_millis(100);
/// Maximum time for which a claimant is kept from claiming.
const MAX_CLAIM_PAUSE: Duration = Duration::from_secs(1);
/// Time since its last claim for which a claimant counts as present.
const PRESENCE_TIME: Duration = Duration::from_secs(1);
/// Time since its last claim after which a claimant is removed: longer than it takes to see that the store is away.
const CLAIMANT_LIFETIME: Duration = Duration::from_secs(4);
/// Grants within this time are taken back together, to bound their number.
const GRANT_RESOLUTION: Duration = Duration::from_millis(50);

/// Claim of an entry VM for a lot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LotClaim {
    /// The entry VM that claims the lot.
    pub claimant: IncarnationId,
    /// Number of requests that it asks for.
    pub wanted: u32,
    /// Number of tokens of earlier lots that were not used.
    pub returned: u32,
    /// Limit of the account in its version of the configuration.
    pub limit: AccountLimit,
}

/// Answer to a [`LotClaim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LotGrant {
    /// Number of requests.
    pub tokens: u32,
    /// Time before which the claimant does not claim again; `None` if it got all that it asked for.
    pub pause: Option<Duration>,
}

/// Part of this entry VM in the limit of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerRole {
    /// The owner, with this view of the fleet.
    Owner(MembershipView),
    /// Stands in for an owner that does not respond to the claimant.
    StandIn,
}

/// Buckets of the accounts that this entry VM owns or stands in for.
#[derive(Debug)]
pub struct AccountLedger {
    tolerance: LimitTolerance,
    owned: HashMap<AccountId, OwnedBucket>,
    stand_ins: HashMap<AccountId, TokenBucket>,
}

#[derive(Debug)]
struct OwnedBucket {
    bucket: TokenBucket,
    owned_since: BootTime,
    claimants: HashMap<IncarnationId, Claimant>,
}

#[derive(Debug)]
struct TokenBucket {
    level: f64,
    filled_at: BootTime,
    terms: AccountTerms,
}

#[derive(Debug, Default)]
struct Claimant {
    claimed_at: BootTime,
    wanted: f64,
    /// What it wanted while the view was up to date; 0 if it has not claimed then.
    usual: f64,
    /// Tokens that may be taken back, by the time of their grant.
    grants: Vec<(BootTime, u32)>,
}

impl AccountLedger {
    /// Creates a ledger without accounts.
    pub fn new(tolerance: LimitTolerance) -> Self {
        Self { tolerance, owned: HashMap::new(), stand_ins: HashMap::new() }
    }

    /// Replaces the accounts that this entry VM owns. The bucket of an account that it did not own before starts empty.
    pub fn set_owned(&mut self, accounts: impl Iterator<Item = (AccountId, AccountLimit)>, now: BootTime) {
        let mut listed = HashSet::new();
        for (account, limit) in accounts {
            listed.insert(account);
            let terms = AccountTerms::new(limit, &self.tolerance);
            self.owned.entry(account).or_insert_with(|| OwnedBucket::new(terms, now));
        }
        self.owned.retain(|account, _| listed.contains(account));
    }

    /// Grants a lot. `own_limit` is the limit in the own version of the configuration; if it differs from that of the
    /// claimant, the lower one counts.
    pub fn grant(
        &mut self,
        account: AccountId,
        claim: &LotClaim,
        own_limit: Option<AccountLimit>,
        role: OwnerRole,
        now: BootTime,
    ) -> LotGrant {
        let limit = own_limit.map_or(claim.limit, |own| lower_limit(own, claim.limit));
        let terms = AccountTerms::new(limit, &self.tolerance);
        match role {
            OwnerRole::Owner(view) => {
                let owned = self.owned.entry(account).or_insert_with(|| OwnedBucket::new(terms, now));
                owned.grant(claim, terms, view, now)
            }
            OwnerRole::StandIn => self.grant_as_stand_in(account, claim, terms, now),
        }
    }

    fn grant_as_stand_in(
        &mut self,
        account: AccountId,
        claim: &LotClaim,
        terms: AccountTerms,
        now: BootTime,
    ) -> LotGrant {
        // A bucket that is removed is full again, as the time in which it fills is a window.
        self.stand_ins.retain(|_, bucket| now.saturating_sub(bucket.filled_at) < bucket.terms.window);
        let depth = terms.stand_in_depth;
        let full_bucket = || TokenBucket { level: depth, filled_at: now, terms };
        let bucket = self.stand_ins.entry(account).or_insert_with(full_bucket);
        bucket.fill(terms.stand_in_refill, terms.stand_in_depth, now);
        bucket.terms = terms;
        let tokens = bucket.take(f64::from(claim.wanted));
        LotGrant { tokens, pause: bucket.pause(tokens, claim.wanted, terms.stand_in_refill) }
    }
}

impl OwnedBucket {
    fn new(terms: AccountTerms, now: BootTime) -> Self {
        Self {
            bucket: TokenBucket { level: 0.0, filled_at: now, terms },
            owned_since: now,
            claimants: HashMap::new(),
        }
    }

    fn grant(
        &mut self,
        claim: &LotClaim,
        terms: AccountTerms,
        view: MembershipView,
        now: BootTime,
    ) -> LotGrant {
        self.record_claim(claim, view, now);
        let refill = self.refill(view, now).min(terms.refill);
        self.fill(refill, &terms, view, now);
        self.bucket.terms = terms;
        self.take_back(claim, now);
        let wanted = f64::from(claim.wanted);
        let tokens = self.bucket.take(wanted.min(self.fair_part(wanted, now)));
        if tokens > 0 {
            self.record_grant(claim.claimant, tokens, now);
        }
        LotGrant { tokens, pause: self.bucket.pause(tokens, claim.wanted, refill) }
    }

    fn record_claim(&mut self, claim: &LotClaim, view: MembershipView, now: BootTime) {
        let is_current = view == MembershipView::Current;
        if is_current {
            self.claimants.retain(|_, other| now.saturating_sub(other.claimed_at) < CLAIMANT_LIFETIME);
        }
        let claimant = self.claimants.entry(claim.claimant).or_default();
        claimant.claimed_at = now;
        claimant.wanted = f64::from(claim.wanted);
        if is_current {
            claimant.usual = claimant.wanted;
        }
        let max_age = self.bucket.terms.return_time;
        claimant.grants.retain(|(granted_at, _)| now.saturating_sub(*granted_at) <= max_age);
    }

    /// Fills the bucket, at half the rate for the time in which the earlier owner may still grant lots.
    fn fill(&mut self, refill: f64, terms: &AccountTerms, view: MembershipView, now: BootTime) {
        let handover_end = self.owned_since + HANDOVER_TIME;
        if view == MembershipView::Current && self.bucket.filled_at < handover_end {
            self.bucket.fill(refill / 2.0, terms.depth, now.min(handover_end));
        }
        self.bucket.fill(refill, terms.depth, now);
    }

    fn refill(&self, view: MembershipView, now: BootTime) -> f64 {
        let terms = &self.bucket.terms;
        match view {
            MembershipView::Unsettled => 0.0,
            MembershipView::Current => terms.refill,
            MembershipView::Outdated if self.has_most_claimants(now) => terms.refill,
            MembershipView::Outdated => terms.separated_refill,
        }
    }

    /// Returns whether the claimants that had more than half of the claims while the view was up to date are still
    /// claiming. This holds on one side of a partition at most.
    fn has_most_claimants(&self, now: BootTime) -> bool {
        let is_present = |claimant: &&Claimant| now.saturating_sub(claimant.claimed_at) < PRESENCE_TIME;
        let present: f64 = self.claimants.values().filter(is_present).map(|claimant| claimant.usual).sum();
        let all: f64 = self.claimants.values().map(|claimant| claimant.usual).sum();
        present > all / 2.0
    }

    fn take_back(&mut self, claim: &LotClaim, now: BootTime) {
        let Some(claimant) = self.claimants.get_mut(&claim.claimant) else { return };
        let mut left = claim.returned;
        for (_, tokens) in &mut claimant.grants {
            let taken = left.min(*tokens);
            *tokens -= taken;
            left -= taken;
        }
        let taken_back = f64::from(claim.returned - left);
        self.bucket.level = (self.bucket.level + taken_back).min(self.bucket.terms.depth);
        debug_assert!(self.bucket.filled_at <= now);
    }

    /// Returns the part of the bucket that a claimant may have: while the bucket is less than half full, its share among
    /// the claimants, at least one request.
    fn fair_part(&self, wanted: f64, now: BootTime) -> f64 {
        let pause = self.bucket.terms.lifetime.max(MIN_CLAIM_PAUSE) * 2;
        let is_recent = |claimant: &&Claimant| now.saturating_sub(claimant.claimed_at) < pause;
        let all: f64 = self.claimants.values().filter(is_recent).map(|claimant| claimant.wanted).sum();
        let level = self.bucket.level;
        if level >= all.min(self.bucket.terms.depth / 2.0) {
            wanted
        } else {
            (level * wanted / all.max(1.0)).max(1.0)
        }
    }

    fn record_grant(&mut self, claimant: IncarnationId, tokens: u32, now: BootTime) {
        let Some(claimant) = self.claimants.get_mut(&claimant) else { return };
        match claimant.grants.last_mut() {
            Some((granted_at, sum)) if now.saturating_sub(*granted_at) < GRANT_RESOLUTION => *sum += tokens,
            _ => claimant.grants.push((now, tokens)),
        }
    }
}

impl TokenBucket {
    fn fill(&mut self, refill: f64, depth: f64, now: BootTime) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.level = (self.level + refill * elapsed.as_secs_f64()).min(depth);
        self.filled_at = self.filled_at.max(now);
    }

    fn take(&mut self, wanted: f64) -> u32 {
        let tokens = wanted.min(self.level).max(0.0).floor();
        self.level -= tokens;
        tokens as u32
    }

    fn pause(&self, granted: u32, wanted: u32, refill: f64) -> Option<Duration> {
        if granted >= wanted {
            return None;
        }
        let seconds = (1.0 - self.level).max(0.0) / refill;
        let pause = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_CLAIM_PAUSE);
        Some(pause.clamp(MIN_CLAIM_PAUSE, MAX_CLAIM_PAUSE))
    }
}

/// Returns the lower rate and the lower burst of two limits.
fn lower_limit(left: AccountLimit, right: AccountLimit) -> AccountLimit {
    AccountLimit { per_second: left.per_second.min(right.per_second), burst: left.burst.min(right.burst) }
}
