//! Late binding: assigns queued requests to free slots, by guaranteed share and urgency.

use super::{AttemptState, DispatchAction, ServiceDispatcher};
use crate::ids::{RankId, TargetKey};
use crate::pick::{PickPolicy, pick_target};
use crate::queue::QueuedRequest;
use crate::reason::RefusalReason;
use crate::target::TargetState;
use std::time::{Duration, Instant};

impl ServiceDispatcher {
    /// Starts queued requests while there are free slots.
    pub(super) fn bind_queued(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.settings.policy == PickPolicy::SharedSlots {
            self.bind_shared(now, actions);
            return self.bind_overflow(now, actions);
        }
        while self.has_free_target() {
            let Some(rank) = self.next_rank() else { return };
            let Some(queued) = self.ranks[rank].queue.pop_front() else { return };
            self.queued_keys.remove(&queued.request);
            if self.cannot_meet_deadline(rank, &queued, now) {
                self.refund_account(rank, &queued);
                self.refuse_dequeued(rank, &queued, now, actions);
                continue;
            }
            self.round_robin_index = self.round_robin_index.wrapping_add(1);
            let policy = self.settings.policy;
            let picked =
                pick_target(&self.targets, policy, queued.avoid, self.round_robin_index, &mut self.rng);
            let picked = picked.filter(|target| !self.has_attempt_at(&queued, *target));
            match picked.or(queued.avoid.filter(|target| self.may_reuse_target(&queued, *target))) {
                Some(target) => self.start_queued(rank, &queued, target, now, actions),
                None if queued.is_hedge => {}
                None => {
                    self.requeue(rank, queued);
                    return;
                }
            }
        }
    }

    /// Returns to an account its turn for a request that is refused instead of started. A further attempt has not cost one.
    pub(super) fn refund_account(&mut self, rank: RankId, queued: &QueuedRequest) {
        if queued.avoid.is_none() {
            self.ranks[rank].queue.refund(queued);
        }
    }

    pub(super) fn has_attempt_at(&self, queued: &QueuedRequest, target: TargetKey) -> bool {
        let state = self.requests.get(&queued.request);
        state.is_some_and(|state| state.attempts.iter().any(|attempt| attempt.target == target))
    }

    /// Returns whether a further attempt may go to the target of an earlier one when no other
    /// target is available. This is allowed only after the earlier attempt has ended.
    fn may_reuse_target(&self, queued: &QueuedRequest, target: TargetKey) -> bool {
        let has_ended = self.requests.get(&queued.request).is_some_and(|state| state.attempts.is_empty());
        has_ended && self.targets.get(target).is_some_and(TargetState::has_free_slot)
    }

    /// Refuses requests at the front of each queue that can no longer meet their deadline.
    pub(super) fn expire_queued(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.settings.policy.is_baseline() {
            return;
        }
        let pause = self.remaining_pause(now);
        for rank in 0..self.ranks.len() {
            let response_time = pause + self.min_response_time(rank);
            let is_expired =
                |queued: &QueuedRequest| !queued.is_hedge && now + response_time > queued.deadline;
            while let Some(queued) = self.ranks[rank].queue.pop_front_if(is_expired) {
                self.queued_keys.remove(&queued.request);
                self.refuse_dequeued(rank, &queued, now, actions);
            }
        }
    }

    /// Returns the shortest time in which a response of `rank` can be expected.
    pub(super) fn min_response_time(&self, rank: RankId) -> Duration {
        match self.settings.policy {
            PickPolicy::SharedSlots => self.ranks[rank].usual_latency.value(),
            _ => self.ranks[rank].latency_p50.value(),
        }
    }

    pub(super) fn has_free_target(&self) -> bool {
        self.targets.free_lists().iter().any(|list| !list.is_empty())
    }

    pub(super) fn next_rank(&self) -> Option<RankId> {
        self.fair_shares.next_rank(|rank| !self.ranks[rank].queue.is_empty())
    }

    /// Returns whether too little time is left for a response before the deadline. While other
    /// requests of the rank are queued, a slot is better used by one of them than by a request that
    /// is likely to be late. A request that has not waited is always tried, since the estimate may
    /// be wrong for it.
    pub(super) fn cannot_meet_deadline(&self, rank: RankId, queued: &QueuedRequest, now: Instant) -> bool {
        if self.settings.policy.is_baseline() || queued.is_hedge || queued.queued_at == now {
            return false;
        }
        let rank_state = &self.ranks[rank];
        let needed = match self.settings.policy {
            PickPolicy::SharedSlots => self.min_response_time(rank),
            _ if rank_state.queue.is_empty() => rank_state.latency_p50.value(),
            _ => self.reserved_response_time(rank),
        };
        now + needed > queued.deadline
    }

    /// Refuses a request that was taken from its queue, because of its deadline, unless an attempt of it is still in flight.
    pub(super) fn refuse_dequeued(
        &mut self,
        rank: RankId,
        queued: &QueuedRequest,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        let is_past_deadline = now >= queued.deadline;
        let reason =
            if is_past_deadline { RefusalReason::DeadlinePassed } else { RefusalReason::DeadlineUnreachable };
        self.refuse_dequeued_for(reason, rank, queued, now, actions);
    }

    /// Refuses a request that was taken from its queue for a reason, unless an attempt of it is still in flight.
    pub(super) fn refuse_dequeued_for(
        &mut self,
        reason: RefusalReason,
        rank: RankId,
        queued: &QueuedRequest,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        if self.requests.get(&queued.request).is_some_and(|state| !state.attempts.is_empty()) {
            return;
        }
        let retry_after = self.retry_after(rank, queued.account, now);
        self.remove_if_idle(queued.request);
        actions.push(DispatchAction::Refuse { request: queued.request, reason, retry_after });
    }

    pub(super) fn requeue(&mut self, rank: RankId, queued: QueuedRequest) {
        let request = queued.request;
        let key = self.ranks[rank].queue.push_front(queued);
        self.queued_keys.insert(request, (rank, key));
    }

    pub(super) fn start_queued(
        &mut self,
        rank: RankId,
        queued: &QueuedRequest,
        target: TargetKey,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(target_state) = self.targets.get(target) else { return };
        let (address, work_at_start) = (target_state.address, target_state.work_reading(now));
        let level = (target_state.in_flight + 1).saturating_add(target_state.foreign_in_flight());
        let Some(state) = self.requests.get_mut(&queued.request) else { return };
        state.attempts.push(AttemptState { target, started: now, work_at_start, level });
        state.attempt_count += 1;
        let retry = state.retry.take();
        self.targets.start_request(target);
        self.ranks[rank].drain_rate.record(now);
        self.record_overflow_start();
        let cost = self.ranks[rank].hold_time.value();
        let ranks = &self.ranks;
        self.fair_shares.charge(rank, cost, |other| !ranks[other].queue.is_empty());
        actions.push(DispatchAction::Start { request: queued.request, target, address, retry });
    }
}
