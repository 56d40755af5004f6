//! Limits that targets state: claims for shares of them, and the time that requests wait for them.

use super::{DispatchAction, ServiceDispatcher};
use crate::account::AccountId;
use crate::ids::{InstanceName, RankId, RequestId, TargetKey};
use crate::rate_limit::{LimitChange, LimitObservation, LimitShare, RECHECK_INTERVAL};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum wait that is reported. Limits change long before.
const MAX_LIMITED_WAIT: Duration = Duration::from_secs(60);

/// A claim for a share of a target's limit, to be sent to the owner of the limit.
#[derive(Debug, Clone, PartialEq)]
pub struct DueClaim {
    /// The target.
    pub target: TargetKey,
    /// Address of the target.
    pub address: SocketAddr,
    /// Identifies the process behind the address.
    pub instance: InstanceName,
    /// Latest observation of the limit by this entry VM.
    pub observation: LimitObservation,
    /// Rate of requests for the service, in requests per second.
    pub weight: f64,
}

impl ServiceDispatcher {
    /// Records the limit that the response to an attempt states, in requests per second, or that it states
    /// none. The response to an attempt that has been cancelled is ignored.
    pub fn record_limit(
        &mut self,
        request: RequestId,
        target: TargetKey,
        per_second: Option<f64>,
        now: Instant,
    ) -> LimitChange {
        let attempts = self.requests.get(&request).map_or(&[][..], |state| state.attempts.as_slice());
        let Some(attempt) = attempts.iter().find(|attempt| attempt.target == target) else {
            return LimitChange::Unchanged;
        };
        self.targets.record_limit(target, per_second, attempt.started, now)
    }

    /// Records the limit that the response to a probe states. If it states none, one request is sent regardless
    /// of the limit, and its response decides.
    pub fn record_probed_limit(
        &mut self,
        target: TargetKey,
        per_second: Option<f64>,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) -> LimitChange {
        let change = match per_second {
            Some(_) => self.targets.record_limit(target, per_second, now, now),
            None => {
                self.targets.allow_limit_trial(target);
                LimitChange::Unchanged
            }
        };
        self.bind_queued(now, actions);
        change
    }

    /// Returns the claims that are due. There are none while the service gets no requests.
    pub fn take_due_claims(&mut self, now: Instant) -> Vec<DueClaim> {
        if !self.targets.has_limits() {
            return Vec::new();
        }
        let weight: f64 = self.ranks.iter_mut().map(|rank| rank.arrival_rate.per_second(now)).sum();
        if weight == 0.0 {
            return Vec::new();
        }
        let due = self.targets.take_due_claims(now).into_iter();
        due.filter_map(|target| {
            let state = self.targets.get(target)?;
            let (address, instance) = (state.address, state.instance.clone());
            Some(DueClaim { target, address, instance, observation: state.limit_observation()?, weight })
        })
        .collect()
    }

    /// Applies the owner's response to a claim: its observation of the limit, and the share if it still
    /// applies.
    pub fn apply_limit_share(
        &mut self,
        target: TargetKey,
        observation: LimitObservation,
        share: Option<LimitShare>,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) -> LimitChange {
        let change = self.targets.merge_limit(target, observation, now);
        if let Some(share) = share {
            self.targets.set_limit_share(target, share, now);
        }
        self.bind_queued(now, actions);
        change
    }

    /// Takes over the observation of another entry VM, as the owner of the limit of a target, and
    /// returns the later one of both observations. For as long as there are claims, the owner checks whether
    /// the limit still applies.
    pub fn merge_claimed_limit(
        &mut self,
        address: SocketAddr,
        instance: &InstanceName,
        observation: LimitObservation,
        now: Instant,
    ) -> LimitObservation {
        let found = self.targets.find(address);
        let is_same =
            |key: &TargetKey| self.targets.get(*key).is_some_and(|target| target.instance == *instance);
        let Some(key) = found.filter(is_same) else { return observation };
        self.targets.merge_limit(key, observation, now);
        self.targets.allow_limit_rechecks(key, now);
        self.targets.get(key).and_then(|target| target.limit_observation()).unwrap_or(observation)
    }

    /// Returns how long a new request of `account` in `rank` waits if all usable targets state limits, from the shares of
    /// this entry VM and the requests ahead of it. Returns `None` if a target states no limit, or if a first
    /// share is still awaited.
    pub(super) fn limited_wait(
        &mut self,
        rank: RankId,
        account: AccountId,
        now: Instant,
    ) -> Option<Duration> {
        let capacity = self.targets.limited_capacity(now)?;
        let more_urgent: usize = self.ranks[..rank].iter().map(|rank| rank.queue.len()).sum();
        let ahead = more_urgent + self.ranks[rank].queue.count_before(account);
        let missing_tokens = ahead as f64 + 1.0 - capacity.tokens;
        if missing_tokens <= 0.0 {
            return Some(Duration::ZERO);
        }
        let more_urgent = self.ranks[..rank].iter_mut();
        let more_urgent_rate: f64 = more_urgent.map(|rank| rank.arrival_rate.per_second(now)).sum();
        let kept_rate = self.document.ranks[rank].kept_share * capacity.per_second;
        let rate = (capacity.per_second - more_urgent_rate).max(kept_rate);
        if rate <= 0.0 {
            // Nothing is left for the rank. The next check is the earliest time at which a limit may end.
            return Some(RECHECK_INTERVAL);
        }
        let wait = Duration::try_from_secs_f64(missing_tokens / rate).unwrap_or(Duration::MAX);
        Some(wait.min(MAX_LIMITED_WAIT))
    }
}
