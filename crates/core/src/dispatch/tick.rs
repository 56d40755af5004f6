//! Periodic maintenance: expiry, stragglers, hedges, and use of targets without a loan while their
//! owners are unresponsive.

use super::{DispatchAction, RequestState, ServiceDispatcher};
use crate::ids::{RequestId, TargetKey};
use crate::pick::PickPolicy;
use crate::reason::RetryReason;
use crate::target::TargetState;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age of an attempt, relative to the 90th percentile of response latency, from which it is
/// overdue.
const OVERDUE_RATIO: f64 = 1.15;
/// Time without a response to loan requests after which targets that other entry VMs own are used
/// without a loan.
const OWNER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);
/// Time without a response to loan requests that allows one further request in flight at each of
/// these targets.
const UNLOANED_LIMIT_STEP: Duration = Duration::from_millis(100);

impl ServiceDispatcher {
    /// Runs the periodic maintenance.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        self.targets.tick(now);
        if !self.settings.policy.is_baseline() {
            self.suspend_stragglers(now);
            self.expire_queued(now, actions);
            self.bind_queued(now, actions);
            self.start_without_loans(now, actions);
            if self.settings.policy == PickPolicy::SharedSlots {
                self.hedge_shared(now, actions);
            } else {
                self.hedge_overdue(now, actions);
            }
        }
        self.request_slots(now, actions);
    }

    /// Suspends targets that have an overdue attempt and have not answered any request since it
    /// started, if they have more than one request in flight. A healthy target would have answered
    /// others in the meantime.
    fn suspend_stragglers(&mut self, now: Instant) {
        let mut overdue: HashMap<TargetKey, Instant> = HashMap::new();
        for state in self.requests.values().filter(|state| !state.has_response) {
            let limit = self.overdue_age(state);
            for attempt in state.attempts.iter().filter(|attempt| attempt.started + limit < now) {
                let oldest = overdue.entry(attempt.target).or_insert(attempt.started);
                *oldest = attempt.started.min(*oldest);
            }
        }
        for (key, oldest) in overdue {
            let is_unresponsive =
                |target: &TargetState| target.is_unresponsive_since(oldest) && target.in_flight > 1;
            if self.targets.get(key).is_some_and(is_unresponsive) {
                self.targets.suspend(key, now);
            }
        }
    }

    fn overdue_age(&self, state: &RequestState) -> Duration {
        self.ranks[state.rank].latency_p90.value().mul_f64(OVERDUE_RATIO)
    }

    /// Queues hedges for overdue attempts and for all attempts at stragglers, within the hedge
    /// budget, the oldest first. Hedges go ahead of the queued requests of their rank, because a
    /// response to a hedge also frees the slots that the earlier attempts hold.
    fn hedge_overdue(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.document.retry.hedge_share == 0.0 {
            return;
        }
        let overdue = self.requests.iter().filter(|(request, state)| self.may_hedge(**request, state, now));
        let mut candidates: Vec<(Instant, RequestId, TargetKey)> = overdue
            .filter_map(|(request, state)| {
                state.attempts.last().map(|last| (last.started, *request, last.target))
            })
            .collect();
        candidates.sort_unstable();
        for (_, request, target) in candidates {
            if !self.hedge_budget.try_take() {
                break;
            }
            self.queue_attempt(request, target, RetryReason::Hedge, now);
        }
        self.bind_queued(now, actions);
    }

    fn may_hedge(&self, request: RequestId, state: &RequestState, now: Instant) -> bool {
        let is_hedgeable =
            !state.has_response && !state.is_retry_forbidden && !self.queued_keys.contains_key(&request);
        let Some(attempt) = state.attempts.last().filter(|_| is_hedgeable) else { return false };
        if !state.is_idempotent || state.attempt_count >= self.document.retry.max_attempts {
            return false;
        }
        let is_at_straggler = self.targets.get(attempt.target).is_some_and(TargetState::is_suspended);
        let is_overdue = attempt.started + self.overdue_age(state) < now;
        let has_time = now + self.ranks[state.rank].latency_p50.value() < state.deadline;
        has_time && (is_overdue || is_at_straggler)
    }

    /// Starts queued requests at targets of other entry VMs without a loan, while loan requests get
    /// no response, so that work continues during a network partition. The limit is one request per
    /// target at first and rises for as long as there is no response, up to the number of slots.
    /// Requests beyond a target's capacity wait in the target's own queue.
    fn start_without_loans(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        let unresponsive_for = self.borrow_scheduler.unresponsive_for(now);
        if unresponsive_for < OWNER_RESPONSE_TIMEOUT {
            return;
        }
        let steps = unresponsive_for.as_millis() / UNLOANED_LIMIT_STEP.as_millis();
        let limit = u32::try_from(steps).unwrap_or(u32::MAX).saturating_add(1);
        let limit = limit.min(self.document.slots_per_target);
        while let Some(rank) = self.next_rank() {
            let Some(target) = self.pick_unowned_target(limit) else { return };
            let Some(queued) = self.ranks[rank].queue.pop_front() else { return };
            self.queued_keys.remove(&queued.request);
            self.start_queued(rank, &queued, target, now, actions);
        }
    }

    fn pick_unowned_target(&self, limit: u32) -> Option<TargetKey> {
        let is_unowned = |target: &TargetState| target.is_usable() && target.owned_slots() == 0;
        let unowned =
            self.targets.iter().filter(|(_, target)| is_unowned(target) && target.in_flight < limit);
        unowned.min_by_key(|(_, target)| target.in_flight).map(|(key, _)| key)
    }
}
