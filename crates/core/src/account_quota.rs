//! Claimant's part of the request limit of a client account: lots of tokens, and the admission of requests.
//!
//! A request takes a token of a lot that the account's owner has granted. Without a token it is admitted as part of the
//! float, waits for the owner, or is refused. While the owner's bucket is exhausted, requests are refused here without a
//! message, so that an account far beyond its limit costs nobody else anything.
//!
//! Invariants:
//!
//! - A token is used before its lot expires, by the boot clock, which goes on while the entry VM is frozen.
//! - A token is used, given back or lost, and never counted twice.
//! - The float of an entry VM is used at most once per window, and paid back from the next lot.

use crate::account_ledger::{LotClaim, LotGrant};
use crate::account_terms::AccountTerms;
use crate::ids::IncarnationId;
use std::time::Duration;

/// Time on the boot clock.
type BootTime = Duration;

/// Time in which a claim is answered as a rule. A lot that would be used up within it is followed by the next one.
const CLAIM_LEAD: Duration = Duration::from_millis(40);
/// Number of lots over whose lifetimes the rate of requests is averaged. Two requests in quick succession are no reason for
/// a lot that nobody uses.
const RATE_LOTS: u32 = 4;
/// Time for which a claimant does not claim after a claim that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Admission of one request, needed to give its token back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmittedRequest {
    /// The time that the lot's token was granted; `None` if the request is part of the float.
    granted_at: Option<BootTime>,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may run.
    Admit(AdmittedRequest),
    /// There is no token here; the owner's answer decides.
    Wait,
    /// The limit is used up.
    Refuse {
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}

/// Lots of one account at one entry VM.
#[derive(Debug)]
pub struct AccountQuota {
    terms: AccountTerms,
    max_float: u32,
    lots: [TokenLot; 2],
    unused: UnusedTokens,
    float: UsedFloat,
    /// Time before which the owner is not asked again.
    paused_until: BootTime,
    /// Time until which tokens that are not used are sent back, as the limit was used up recently.
    scarce_until: BootTime,
    /// Time at which the last caller that was refused may come back.
    retry_at: BootTime,
    waiting: u32,
    is_claiming: bool,
    /// Whether a request has arrived since the last claim.
    has_arrivals: bool,
    rate: RequestRate,
}

#[derive(Debug, Clone, Copy, Default)]
struct TokenLot {
    tokens: u32,
    granted_at: BootTime,
    expires_at: BootTime,
}

/// Tokens that go back to the owner.
#[derive(Debug, Default)]
struct UnusedTokens {
    count: u32,
    /// Time from which the owner does not take them back.
    until: BootTime,
}

/// Requests that were admitted without a token.
#[derive(Debug, Default)]
struct UsedFloat {
    count: u32,
    debt: u32,
    window_start: Option<BootTime>,
}

/// Exponentially weighted rate of requests.
#[derive(Debug, Default)]
struct RequestRate {
    per_second: f64,
    updated_at: BootTime,
}

impl AccountQuota {
    /// Creates a quota without tokens, of an account that is served by this number of entry VMs.
    pub fn new(terms: AccountTerms, vm_count: usize) -> Self {
        let mut quota = Self {
            terms,
            max_float: 0,
            lots: [TokenLot::default(); 2],
            unused: UnusedTokens::default(),
            float: UsedFloat::default(),
            paused_until: BootTime::ZERO,
            scarce_until: BootTime::ZERO,
            retry_at: BootTime::ZERO,
            waiting: 0,
            is_claiming: false,
            has_arrivals: false,
            rate: RequestRate::default(),
        };
        quota.set_terms(terms, vm_count);
        quota
    }

    /// Replaces the terms, after a change of the account's limit or of the number of entry VMs.
    pub fn set_terms(&mut self, terms: AccountTerms, vm_count: usize) {
        self.terms = terms;
        self.max_float = (terms.total_float / vm_count.max(1) as f64).floor() as u32;
    }

    /// Returns the terms.
    pub fn terms(&self) -> &AccountTerms {
        &self.terms
    }

    /// Decides on a request that has arrived.
    pub fn admit(&mut self, now: BootTime) -> QuotaDecision {
        self.has_arrivals = true;
        self.rate.record(self.rate_time(), now);
        self.decide(now)
    }

    /// Begins to wait for the owner. Returns whether the request may wait; no more may do so than the owner can grant at
    /// once.
    pub fn begin_wait(&mut self) -> bool {
        let may_wait = f64::from(self.waiting) < self.max_waiting();
        self.waiting += u32::from(may_wait);
        may_wait
    }

    /// Decides on a request that waits, after an answer of the owner.
    pub fn decide(&mut self, now: BootTime) -> QuotaDecision {
        self.expire_lots(now);
        if let Some(lot) = self.lots.iter_mut().filter(|lot| lot.tokens > 0).min_by_key(|lot| lot.expires_at)
        {
            lot.tokens -= 1;
            return QuotaDecision::Admit(AdmittedRequest { granted_at: Some(lot.granted_at) });
        }
        if now < self.paused_until {
            return QuotaDecision::Refuse { retry_after: self.next_retry(now) };
        }
        if self.float.try_use(self.max_float, self.terms.window, now) {
            return QuotaDecision::Admit(AdmittedRequest { granted_at: None });
        }
        QuotaDecision::Wait
    }

    /// Ends the wait of a request.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the time after which a caller may come back whose request is refused although no answer of the owner says
    /// that the limit is used up.
    pub fn next_retry(&mut self, now: BootTime) -> Duration {
        let earliest = self.paused_until.max(now + FAILURE_PAUSE);
        let interval = Duration::from_secs_f64(1.0 / self.terms.limit.per_second);
        let latest = now + self.terms.window;
        self.retry_at = (self.retry_at.max(earliest) + interval).min(latest.max(earliest));
        self.retry_at.saturating_sub(now)
    }

    /// Gives back the token of a request that was refused and did not run.
    pub fn give_back(&mut self, admitted: AdmittedRequest, now: BootTime) {
        let Some(granted_at) = admitted.granted_at else {
            self.float.debt = self.float.debt.saturating_sub(1);
            return;
        };
        let is_same = |lot: &&mut TokenLot| lot.granted_at == granted_at && now < lot.expires_at;
        match self.lots.iter_mut().find(is_same) {
            Some(lot) => lot.tokens += 1,
            None => self.unused.add(1, granted_at + self.terms.return_time),
        }
    }

    /// Returns whether the owner is to be asked now, or gets tokens back that others may use.
    pub fn needs_claim(&self, now: BootTime) -> bool {
        let has_unused = self.unused.count > 0 && now < self.scarce_until.min(self.unused.until);
        !self.is_claiming && now >= self.paused_until && (self.wanted(now) > 0 || has_unused)
    }

    /// Returns the claim that is due, if any, and records that it is sent.
    pub fn take_claim(&mut self, claimant: IncarnationId, now: BootTime) -> Option<LotClaim> {
        self.expire_lots(now);
        if !self.needs_claim(now) {
            return None;
        }
        let wanted = self.wanted(now);
        self.is_claiming = true;
        self.has_arrivals = false;
        let returned = self.unused.take(now);
        Some(LotClaim { claimant, wanted, returned, limit: self.terms.limit })
    }

    /// Applies the answer to a claim that was sent at `sent_at`.
    pub fn apply_grant(&mut self, grant: LotGrant, sent_at: BootTime, now: BootTime) {
        self.is_claiming = false;
        if let Some(pause) = grant.pause {
            self.paused_until = now + pause;
            self.scarce_until = now + self.terms.window;
        }
        let paid = self.float.debt.min(grant.tokens);
        self.float.debt -= paid;
        let lot = TokenLot {
            tokens: grant.tokens - paid,
            granted_at: sent_at,
            expires_at: sent_at + self.terms.lifetime,
        };
        self.expire_lots(now);
        self.add_lot(lot);
        self.expire_lots(now);
    }

    /// Records that a claim was not answered.
    pub fn fail_claim(&mut self) {
        self.is_claiming = false;
    }

    /// Records that neither the owner nor its stand-in answers.
    pub fn pause(&mut self, now: BootTime) {
        self.paused_until = self.paused_until.max(now + FAILURE_PAUSE);
    }

    fn rate_time(&self) -> f64 {
        (self.terms.lifetime * RATE_LOTS).as_secs_f64()
    }

    fn max_waiting(&self) -> f64 {
        self.terms.depth + self.terms.limit.per_second * self.terms.lifetime.as_secs_f64()
    }

    /// Returns the number of requests to ask for: those that wait, the debt, and, if the requests of a lot's lifetime are
    /// more than one, those that are expected within it.
    fn wanted(&self, now: BootTime) -> u32 {
        let tokens: u32 = self.lots.iter().filter(|lot| lot.expires_at > now).map(|lot| lot.tokens).sum();
        let needed = self.waiting + self.float.debt;
        let rate = self.rate.current(self.rate_time(), now);
        let expected = (rate * self.terms.lifetime.as_secs_f64()).min(self.max_waiting()).floor() as u32;
        let is_used_up_soon = f64::from(tokens) <= rate * CLAIM_LEAD.as_secs_f64();
        if needed == 0 && (expected < 2 || !is_used_up_soon || !self.has_arrivals) {
            return 0;
        }
        needed.max(1).max(expected.saturating_sub(tokens))
    }

    fn add_lot(&mut self, lot: TokenLot) {
        if let Some(free) = self.lots.iter_mut().find(|other| other.tokens == 0) {
            *free = lot;
        } else if let Some(latest) = self.lots.iter_mut().max_by_key(|other| other.expires_at) {
            // Both expire with the earlier one.
            latest.tokens += lot.tokens;
        }
    }

    fn expire_lots(&mut self, now: BootTime) {
        for lot in self.lots.iter_mut().filter(|lot| lot.tokens > 0 && lot.expires_at <= now) {
            let tokens = std::mem::take(&mut lot.tokens);
            self.unused.add(tokens, lot.granted_at + self.terms.return_time);
        }
    }
}

impl UnusedTokens {
    fn add(&mut self, count: u32, until: BootTime) {
        self.until = if self.count == 0 { until } else { self.until.min(until) };
        self.count += count;
    }

    fn take(&mut self, now: BootTime) -> u32 {
        let count = std::mem::take(&mut self.count);
        if now < self.until { count } else { 0 }
    }
}

impl UsedFloat {
    fn try_use(&mut self, max: u32, window: Duration, now: BootTime) -> bool {
        if self.window_start.is_none_or(|start| now.saturating_sub(start) >= window) {
            self.count = 0;
            self.window_start = None;
        }
        if self.count.max(self.debt) >= max {
            return false;
        }
        self.window_start.get_or_insert(now);
        self.count += 1;
        self.debt += 1;
        true
    }
}

impl RequestRate {
    fn record(&mut self, time: f64, now: BootTime) {
        self.per_second = self.current(time, now) + 1.0 / time;
        self.updated_at = now;
    }

    fn current(&self, time: f64, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / time).exp()
    }
}
