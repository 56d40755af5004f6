//! Limits that targets state, in the target table.

use super::{TargetState, TargetTable};
use crate::ids::TargetKey;
use crate::rate_limit::{LimitChange, LimitObservation, LimitShare, TargetLimit};
use std::time::{Duration, Instant};

/// Time for which the limit of an instance that is not in the table is kept.
const RETAINED_LIMIT_LIFETIME: Duration = Duration::from_secs(60);

/// Capacity of a service whose usable targets all state limits or are cold, for one entry VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitedCapacity {
    /// Sum of this entry VM's shares, in requests per second.
    pub per_second: f64,
    /// Number of requests that may be sent now.
    pub tokens: f64,
}

impl TargetTable {
    /// Returns the limit that applies to a target, in requests per second.
    pub fn stated_limit(&self, key: TargetKey) -> Option<f64> {
        self.targets.get(key)?.limit_observation()?.per_second
    }

    /// Returns whether a target may have a limit.
    pub fn has_limits(&self) -> bool {
        !self.limited_list.is_empty()
    }

    /// Records the limit that a target states in a response, in requests per second, or that it states none.
    /// `sent_at` is the time at which the request was sent.
    pub fn record_limit(
        &mut self,
        key: TargetKey,
        per_second: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> LimitChange {
        let Some(target) = self.targets.get_mut(key) else { return LimitChange::Unchanged };
        let change = match (&mut target.rate_limit, per_second) {
            (Some(limit), _) => limit.record_response(per_second, sent_at, now),
            (None, Some(stated)) => {
                target.rate_limit =
                    Some(TargetLimit::new(LimitObservation { per_second, observed_at: now }, now));
                LimitChange::Stated(stated)
            }
            (None, None) => LimitChange::Unchanged,
        };
        self.update_limited(key);
        change
    }

    /// Takes over the observation of another entry VM about the limit of a target, if it is later.
    pub fn merge_limit(
        &mut self,
        key: TargetKey,
        observation: LimitObservation,
        now: Instant,
    ) -> LimitChange {
        let Some(target) = self.targets.get_mut(key) else { return LimitChange::Unchanged };
        let change = match (&mut target.rate_limit, observation.per_second) {
            (Some(limit), _) => limit.merge(observation, now),
            (None, Some(stated)) => {
                target.rate_limit = Some(TargetLimit::new(observation, now));
                LimitChange::Stated(stated)
            }
            (None, None) => LimitChange::Unchanged,
        };
        self.update_limited(key);
        change
    }

    /// Replaces this entry VM's share of a target's limit.
    pub fn set_limit_share(&mut self, key: TargetKey, share: LimitShare, now: Instant) {
        self.change_limit(key, |limit| limit.set_share(share, now));
    }

    /// Allows checks whether the limit of a target still applies.
    pub fn allow_limit_rechecks(&mut self, key: TargetKey, now: Instant) {
        self.change_limit(key, |limit| limit.allow_rechecks(now));
    }

    /// Allows one request to a target regardless of its limit.
    pub fn allow_limit_trial(&mut self, key: TargetKey) {
        self.change_limit(key, TargetLimit::allow_trial);
    }

    /// Returns the targets for which a share is to be claimed now, and schedules their next claims.
    pub fn take_due_claims(&mut self, now: Instant) -> Vec<TargetKey> {
        self.take_limited(|limit| limit.take_due_claim(now))
    }

    /// Returns the targets for which it is to be checked now whether their limit still applies.
    pub fn take_due_limit_rechecks(&mut self, now: Instant) -> Vec<TargetKey> {
        self.take_limited(|limit| limit.take_due_recheck(now))
    }

    /// Returns the capacity of the service if all usable targets state limits or are cold; `None` if one neither does
    /// nor is, if none is usable, or while a first share, or the first health response of a lost target, is awaited.
    pub fn limited_capacity(&self, now: Instant) -> Option<LimitedCapacity> {
        if !self.has_limits() && !self.has_cold() {
            return None;
        }
        let mut usable = self.targets.values().filter(|target| target.is_usable()).peekable();
        usable.peek()?;
        usable.try_fold(LimitedCapacity { per_second: 0.0, tokens: 0.0 }, |sum, target| {
            let (per_second, tokens) = target.limited_capacity(now)?;
            Some(LimitedCapacity { per_second: sum.per_second + per_second, tokens: sum.tokens + tokens })
        })
    }

    /// Keeps the limit of a target that is removed from the table, for example because another entry VM serves
    /// it now.
    pub(super) fn retain_limit(&mut self, target: &TargetState) {
        let Some(limit) = target.rate_limit.filter(|limit| limit.is_active()) else { return };
        self.retained_limits.insert(target.instance.clone(), limit);
    }

    pub(super) fn restore_limit(&mut self, key: TargetKey) {
        let target = &mut self.targets[key];
        if target.rate_limit.is_none() {
            target.rate_limit = self.retained_limits.remove(&target.instance);
            self.update_limited(key);
        }
    }

    pub(super) fn remove_old_limits(&mut self, now: Instant) {
        let age = |limit: &TargetLimit| now.saturating_duration_since(limit.observation().observed_at);
        self.retained_limits.retain(|_, limit| age(limit) < RETAINED_LIMIT_LIFETIME);
    }

    fn change_limit(&mut self, key: TargetKey, change: impl FnOnce(&mut TargetLimit)) {
        let Some(limit) = self.targets.get_mut(key).and_then(|target| target.rate_limit.as_mut()) else {
            return;
        };
        change(limit);
        self.update_lists(key);
    }

    fn take_limited(&mut self, mut take: impl FnMut(&mut TargetLimit) -> bool) -> Vec<TargetKey> {
        let targets = &mut self.targets;
        self.limited_list.retain(|key| targets.get(*key).is_some_and(TargetState::is_limited));
        let mut taken = Vec::new();
        for key in &self.limited_list {
            let limit = targets.get_mut(*key).and_then(|target| target.rate_limit.as_mut());
            if limit.is_some_and(&mut take) {
                taken.push(*key);
            }
        }
        taken
    }

    fn update_limited(&mut self, key: TargetKey) {
        if self.targets[key].is_limited() && !self.limited_list.contains(&key) {
            self.limited_list.push(key);
        }
        self.update_lists(key);
    }
}

impl TargetState {
    /// Returns the rate at which this entry VM may send to a target that states a limit or is cold, in requests per second,
    /// and the number of requests that it may send now. Of two limits the lower one holds.
    fn limited_capacity(&self, now: Instant) -> Option<(f64, f64)> {
        let limit = self.rate_limit.filter(TargetLimit::is_active);
        let cold = self.warm_up.as_ref().filter(|warm_up| warm_up.is_cold());
        let stated = match limit {
            Some(limit) => Some((limit.share_rate(now)?, limit.tokens().floor())),
            None => None,
        };
        let cold = match cold {
            Some(warm_up) => Some(warm_up.capacity(now)?),
            None => None,
        };
        match (stated, cold) {
            (Some(stated), Some(cold)) => Some((stated.0.min(cold.0), stated.1.min(cold.1))),
            (stated, cold) => stated.or(cold),
        }
    }
}
