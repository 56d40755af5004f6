//! Request rate limits that targets state in their responses.
//!
//! A limit applies to all entry VMs together. One entry VM, the limit's owner, divides it: see
//! [`crate::limit_ledger`]. Each entry VM that has requests for the target claims a share from the owner and
//! renews it before it expires. A [`TargetLimit`] is a token bucket that the share fills.
//!
//! Invariants:
//!
//! - without a valid share, a limited target gets no requests;
//! - a response without a limit ends the limit only if its request was sent after the limit was stated.

use std::time::{Duration, Instant};

/// Time for which a share of a limit is valid.
pub const SHARE_LIFETIME: Duration = Duration::from_secs(1);
/// Interval at which a share is claimed again: a share survives two lost claims.
pub const CLAIM_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a response after which it is checked whether a limit still applies. Two checks in 4 s stay
/// within the 5 requests that the platform tolerates beyond any limit.
pub const RECHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which unused tokens accumulate. It bounds the burst after an idle time; one request is always
/// possible.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time within which the first share is expected.
const FIRST_SHARE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a target stated about its limit at some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// Requests per second that the target accepts from all entry VMs together; `None` if it has ended its
    /// limit.
    pub per_second: Option<f64>,
    /// Time of the response with this statement.
    pub observed_at: Instant,
}

impl LimitObservation {
    /// Returns the later one of two observations.
    pub fn latest(self, other: Self) -> Self {
        if other.observed_at > self.observed_at { other } else { self }
    }
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

/// Share of a limit that an entry VM may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Requests per second.
    pub per_second: f64,
    /// Time at which the share ends.
    pub expires_at: Instant,
}

/// Limit of one target, as known to one entry VM, and this entry VM's share of it.
#[derive(Debug, Clone, Copy)]
pub struct TargetLimit {
    observation: LimitObservation,
    /// Time at which the limit began to apply here.
    limited_since: Instant,
    share: Option<LimitShare>,
    /// Whether the share was valid when the bucket was last refilled.
    is_share_valid: bool,
    /// Number of requests that may be sent now.
    tokens: f64,
    refilled_at: Instant,
    next_claim_at: Instant,
    /// Time until which this entry VM, as the owner, checks whether the limit still applies.
    recheck_until: Option<Instant>,
    rechecked_at: Instant,
    /// Whether one request may be sent regardless of the share, to find out whether the limit still applies.
    is_trial_allowed: bool,
}

impl TargetLimit {
    /// Creates the limit of a target about which nothing was known before.
    pub fn new(observation: LimitObservation, now: Instant) -> Self {
        Self {
            observation,
            limited_since: now,
            share: None,
            is_share_valid: false,
            tokens: 0.0,
            refilled_at: now,
            next_claim_at: now,
            recheck_until: None,
            rechecked_at: now,
            is_trial_allowed: false,
        }
    }

    /// Returns what the target has stated last.
    pub fn observation(&self) -> LimitObservation {
        self.observation
    }

    /// Returns whether the limit applies.
    pub fn is_active(&self) -> bool {
        self.observation.per_second.is_some()
    }

    /// Records what a response states. `sent_at` is the time at which its request was sent.
    pub fn record_response(
        &mut self,
        per_second: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> LimitChange {
        let is_older = sent_at < self.observation.observed_at;
        if per_second.is_none() && (!self.is_active() || is_older) {
            return LimitChange::Unchanged;
        }
        self.observe(LimitObservation { per_second, observed_at: now }, now)
    }

    /// Takes over an observation of another entry VM if it is later than the own one.
    pub fn merge(&mut self, observation: LimitObservation, now: Instant) -> LimitChange {
        if observation.observed_at <= self.observation.observed_at {
            return LimitChange::Unchanged;
        }
        self.observe(observation, now)
    }

    fn observe(&mut self, observation: LimitObservation, now: Instant) -> LimitChange {
        let previous = self.observation.per_second;
        if previous.is_none() && observation.per_second.is_some() {
            *self = Self::new(observation, now);
        }
        self.observation = observation;
        match observation.per_second {
            None if previous.is_none() => LimitChange::Unchanged,
            None => LimitChange::Ended,
            Some(_) if observation.per_second == previous => LimitChange::Unchanged,
            Some(per_second) => LimitChange::Stated(per_second),
        }
    }

    /// Returns whether a share is to be claimed now, and schedules the next claim.
    pub fn take_due_claim(&mut self, now: Instant) -> bool {
        let is_due = self.is_active() && now >= self.next_claim_at;
        if is_due {
            self.next_claim_at = now + CLAIM_INTERVAL;
        }
        is_due
    }

    /// Replaces the share of this entry VM.
    pub fn set_share(&mut self, share: LimitShare, now: Instant) {
        self.refill(now);
        self.share = Some(share);
        self.refill(now);
    }

    /// Fills the bucket up to `now`.
    pub fn refill(&mut self, now: Instant) {
        if let Some(share) = self.share {
            let rate = share.per_second.min(self.observation.per_second.unwrap_or(f64::MAX));
            let filled_until = now.min(share.expires_at);
            let elapsed = filled_until.saturating_duration_since(self.refilled_at).as_secs_f64();
            let capacity = 1.0 + rate * BURST_TIME.as_secs_f64();
            self.tokens = (self.tokens + rate * elapsed).min(capacity);
        }
        self.refilled_at = now;
        self.is_share_valid = self.share.is_some_and(|share| share.expires_at > now);
    }

    /// Returns whether a request may be sent now, as of the last refill.
    pub fn has_token(&self) -> bool {
        let has_share = self.is_share_valid && self.tokens >= 1.0;
        !self.is_active() || has_share || self.is_trial_allowed
    }

    /// Takes the token of a request or of a check.
    pub fn take_token(&mut self) {
        self.is_trial_allowed = false;
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Allows checks whether the limit still applies. Only the owner of the limit checks it, for as long as any
    /// entry VM claims a share.
    pub fn allow_rechecks(&mut self, now: Instant) {
        self.recheck_until = Some(now + SHARE_LIFETIME);
    }

    /// Returns whether to check now whether the limit still applies, because the target has not responded for
    /// [`RECHECK_INTERVAL`], and counts the check as a request.
    pub fn take_due_recheck(&mut self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= RECHECK_INTERVAL;
        let is_allowed = self.is_active() && self.recheck_until.is_some_and(|until| now < until);
        let is_due = is_allowed && is_old(self.observation.observed_at) && is_old(self.rechecked_at);
        if is_due {
            self.rechecked_at = now;
            self.take_token();
        }
        is_due
    }

    /// Allows one request beyond the share, because the response to a check has stated no limit. The response
    /// to a request decides, since the health endpoint may not state limits.
    pub fn allow_trial(&mut self) {
        self.is_trial_allowed = true;
    }

    /// Returns the rate of the share, in requests per second; 0 if there is no valid share. Returns `None`
    /// while the first share is awaited.
    pub fn share_rate(&self, now: Instant) -> Option<f64> {
        match self.share {
            None if now.saturating_duration_since(self.limited_since) < FIRST_SHARE_TIMEOUT => None,
            Some(share) if share.expires_at > now => Some(share.per_second),
            _ => Some(0.0),
        }
    }

    /// Returns the number of requests that may be sent now.
    pub fn tokens(&self) -> f64 {
        if self.is_share_valid { self.tokens } else { 0.0 }
    }
}
