//! Late binding: waiting requests meet free slots, by owed share and urgency.

use super::{AttemptState, DispatchAction, ServiceDispatcher};
use crate::ids::{RankId, TargetKey};
use crate::pick::{PickPolicy, pick_target};
use crate::queue::QueuedRequest;
use crate::reason::RefusalReason;
use crate::target::TargetState;
use std::time::{Duration, Instant};

impl ServiceDispatcher {
    /// Starts waiting requests while there are free slots.
    pub(super) fn bind_waiting(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.settings.policy == PickPolicy::SharedSlots {
            return self.bind_shared(now, actions);
        }
        while self.has_free_target() {
            let Some(rank) = self.next_rank() else { return };
            let Some(queued) = self.ranks[rank].queue.pop_front() else { return };
            self.waiting.remove(&queued.request);
            if self.is_hopeless(rank, &queued, now) {
                self.give_up(rank, &queued, now, actions);
                continue;
            }
            self.turn = self.turn.wrapping_add(1);
            let policy = self.settings.policy;
            let picked = pick_target(&self.targets, policy, queued.avoid, self.turn, &mut self.rng);
            let picked = picked.filter(|target| !self.has_attempt_at(&queued, *target));
            match picked.or(queued.avoid.filter(|target| self.may_reuse(&queued, *target))) {
                Some(target) => self.start_queued(rank, &queued, target, now, actions),
                None if queued.is_hedge => {}
                None => {
                    self.put_back(rank, queued);
                    return;
                }
            }
        }
    }

    pub(super) fn has_attempt_at(&self, queued: &QueuedRequest, target: TargetKey) -> bool {
        let flight = self.flights.get(&queued.request);
        flight.is_some_and(|flight| flight.attempts.iter().any(|attempt| attempt.target == target))
    }

    /// Whether a further attempt may go to the target of an earlier one, for want of another: only
    /// when that one has ended.
    fn may_reuse(&self, queued: &QueuedRequest, target: TargetKey) -> bool {
        let is_over = self.flights.get(&queued.request).is_some_and(|flight| flight.attempts.is_empty());
        is_over && self.targets.get(target).is_some_and(TargetState::has_free_slot)
    }

    /// Refuses waiting requests that can no longer be on time.
    pub(super) fn expire_waiting(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.settings.policy.is_baseline() {
            return;
        }
        for rank in 0..self.ranks.len() {
            let service_time = self.least_time(rank);
            let is_expired =
                |queued: &QueuedRequest| !queued.is_hedge && now + service_time > queued.deadline;
            while let Some(queued) = self.ranks[rank].queue.pop_front_if(is_expired) {
                self.waiting.remove(&queued.request);
                self.give_up(rank, &queued, now, actions);
            }
        }
    }

    /// Shortest time in which an answer of `rank` may be hoped for.
    fn least_time(&self, rank: RankId) -> Duration {
        match self.settings.policy {
            PickPolicy::SharedSlots => self.ranks[rank].usual_head.value(),
            _ => self.ranks[rank].typical_head.value(),
        }
    }

    pub(super) fn has_free_target(&self) -> bool {
        self.targets.free_lists().iter().any(|list| !list.is_empty())
    }

    pub(super) fn next_rank(&self) -> Option<RankId> {
        self.shares.next_rank(|rank| !self.ranks[rank].queue.is_empty())
    }

    /// Whether the deadline leaves too little time for the answer. While others of its rank wait,
    /// a slot is better used by one of them than by a request that may well be late. A request
    /// that has not waited is given its chance: the estimate may be wrong for it.
    pub(super) fn is_hopeless(&self, rank: RankId, queued: &QueuedRequest, now: Instant) -> bool {
        if self.settings.policy.is_baseline() || queued.is_hedge || queued.queued_at == now {
            return false;
        }
        let state = &self.ranks[rank];
        let needed = match self.settings.policy {
            PickPolicy::SharedSlots => self.least_time(rank),
            _ if state.queue.is_empty() => state.typical_head.value(),
            _ => self.time_margin(rank),
        };
        now + needed > queued.deadline
    }

    /// Refuses a request that was taken from its queue, unless another attempt may still answer it.
    pub(super) fn give_up(
        &mut self,
        rank: RankId,
        queued: &QueuedRequest,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        if self.flights.get(&queued.request).is_some_and(|flight| !flight.attempts.is_empty()) {
            return;
        }
        let is_past = now >= queued.deadline;
        let reason = if is_past { RefusalReason::DeadlinePassed } else { RefusalReason::DeadlineUnreachable };
        let retry_after = self.retry_after(rank, now);
        self.drop_idle_flight(queued.request);
        actions.push(DispatchAction::Refuse { request: queued.request, reason, retry_after });
    }

    pub(super) fn put_back(&mut self, rank: RankId, queued: QueuedRequest) {
        let request = queued.request;
        let key = self.ranks[rank].queue.push_front(queued);
        self.waiting.insert(request, (rank, key));
    }

    pub(super) fn start_queued(
        &mut self,
        rank: RankId,
        queued: &QueuedRequest,
        target: TargetKey,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.targets.get(target) else { return };
        let (address, progress) = (state.address, state.progress(now));
        let Some(flight) = self.flights.get_mut(&queued.request) else { return };
        flight.attempts.push(AttemptState { target, started: now, progress });
        flight.attempt_count += 1;
        let retry = flight.retry.take();
        self.targets.start_request(target);
        self.ranks[rank].drain_rate.record(now);
        let cost = self.ranks[rank].hold.value();
        let ranks = &self.ranks;
        self.shares.charge(rank, cost, |other| !ranks[other].queue.is_empty());
        actions.push(DispatchAction::Start { request: queued.request, target, address, retry });
    }
}
