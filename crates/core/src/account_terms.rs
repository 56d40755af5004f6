//! Terms under which the request limit of a client account is kept by all entry VMs together: rates, lifetimes and sizes.
//!
//! The platform states how far a limit may be exceeded in a window. The tolerance is divided among the ways in which the
//! fleet can exceed a limit; `docs/design/account-limits.md` has the sum.
//!
//! Invariant: the terms of an account depend on its limit and the tolerance only, so that owner and claimant agree on them.

use crate::account::AccountLimit;
use std::time::Duration;

/// Part of the tolerated overrun that tokens may be outstanding for; the rest is left for changes of the owner.
const OVERRUN_FOR_LOTS: f64 = 0.8;
/// Part of the slack that tokens may be outstanding for.
const SLACK_FOR_LOTS: f64 = 0.15;
/// Part of the slack by which the owner's bucket is deeper than the burst.
const SLACK_FOR_DEPTH: f64 = 0.3;
/// Part of the slack for floats.
const SLACK_FOR_FLOATS: f64 = 0.1;
/// Part of the slack that a stand-in may grant in a window.
const SLACK_FOR_STAND_IN: f64 = 0.25;
/// Part of the slack that a separated owner may grant in a window.
const SLACK_FOR_SEPARATED_OWNER: f64 = 0.2;
/// Part of a stand-in's tokens of a window that may be granted at once.
const STAND_IN_DEPTH: f64 = 0.4;

/// Lifetime of a lot as a part of the outstanding time; the rest is for the way back and for refused requests.
const LIFETIME_PART: f64 = 0.5;
/// Part of the outstanding time that the bucket of an account without a burst holds: more than the refill between two
/// claims of a claimant that had to pause.
const DEPTH_PART: f64 = 0.3;
/// Minimum outstanding time: some messages between entry VMs.
const MIN_OUTSTANDING: f64 = 0.3;
/// Maximum lifetime of a lot. A lower limit binds one window after the configuration has been read; a lot from before may
/// delay it by this.
const MAX_LIFETIME: f64 = 1.0;
/// Minimum rate for which times are computed, in requests per second.
const MIN_RATE: f64 = 1e-3;

/// How far the request limits of client accounts may be exceeded in one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Tolerated share of the limit.
    pub overrun: f64,
    /// Tolerated number of requests.
    pub slack: f64,
}

/// Terms of one account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountTerms {
    /// The limit.
    pub limit: AccountLimit,
    /// Rate at which the owner's bucket is filled, in requests per second.
    pub refill: f64,
    /// Capacity of the owner's bucket, in requests.
    pub depth: f64,
    /// Time for which the claimant may use a lot, counted from when it sent the claim.
    pub lifetime: Duration,
    /// Time after a grant for which the owner takes its tokens back.
    pub return_time: Duration,
    /// Rate at which a stand-in's bucket is filled, in requests per second.
    pub stand_in_refill: f64,
    /// Capacity of a stand-in's bucket, in requests.
    pub stand_in_depth: f64,
    /// Rate at which the bucket of an owner that is separated from most claimants is filled, in requests per second.
    pub separated_refill: f64,
    /// Number of requests that all entry VMs together may admit without a token in one window.
    pub total_float: f64,
    /// Length of the window.
    pub window: Duration,
}

impl AccountTerms {
    /// Computes the terms of a limit.
    pub fn new(limit: AccountLimit, tolerance: &LimitTolerance) -> Self {
        let rate = limit.per_second.max(MIN_RATE);
        let burst = limit.burst.max(0.0);
        let window = tolerance.window.as_secs_f64();
        let slack = tolerance.slack;
        let tolerated = OVERRUN_FOR_LOTS * tolerance.overrun * window + SLACK_FOR_LOTS * slack / rate;
        let outstanding = tolerated.max(MIN_OUTSTANDING);
        // With a tolerance below the minimum, the refill makes up for the tokens that are outstanding.
        let refill = rate * ((window + tolerated) / (window + outstanding)).min(1.0);
        let stand_in = SLACK_FOR_STAND_IN * slack;
        Self {
            limit: AccountLimit { per_second: rate, burst },
            refill,
            depth: (burst + SLACK_FOR_DEPTH * slack).max(DEPTH_PART * outstanding * rate).max(1.0),
            lifetime: Duration::from_secs_f64((LIFETIME_PART * outstanding).min(MAX_LIFETIME)),
            return_time: Duration::from_secs_f64(outstanding),
            stand_in_refill: (stand_in * (1.0 - STAND_IN_DEPTH) / window).min(refill),
            stand_in_depth: stand_in * STAND_IN_DEPTH,
            separated_refill: (SLACK_FOR_SEPARATED_OWNER * slack / window).min(refill),
            total_float: tolerance.overrun * burst + SLACK_FOR_FLOATS * slack,
            window: tolerance.window,
        }
    }
}
