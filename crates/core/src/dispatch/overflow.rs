//! Requests that leave the failure domain, after all targets of the own one have been tried.
//!
//! The decisions are made by [`crate::domain_overflow`]; this module applies them to the queues of a service.

use super::{DispatchAction, ServiceDispatcher};
use crate::domain_overflow::{
    LeaveDecision, LeaveReason, LeavingChange, LeavingCosts, LeavingRecord, WaitingRequest,
};
use crate::event_rate::EventRate;
use crate::ids::{RankId, RequestId, TargetKey};
use crate::queue::QueuedRequest;
use crate::target::SharedTarget;
use std::time::{Duration, Instant};

/// Time after a request might have left for which overflow targets are probed.
const PROBE_WINDOW: Duration = Duration::from_millis(300);
/// Maximum number of overflow targets probed at a time: a few for each request that leaves in the meantime.
const MAX_PROBES_AT_ONCE: usize = 8;
/// Weight of the occupied fraction of an overflow target's slots in its score.
const OCCUPANCY_WEIGHT: f64 = 0.5;
/// Minimum rate, per second, at which a queue is assumed to be worked off.
const MIN_RATE: f64 = 1.0;

/// Requests and bytes that have left the failure domain, since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeavingTotals {
    /// Requests that have left because of the expected wait at home.
    pub left_by_wait: u64,
    /// Requests that have left because no target in the own failure domain was usable.
    pub left_without_target: u64,
    /// Bytes of request bodies sent to targets in other failure domains.
    pub request_bytes: u64,
    /// Bytes of response bodies received from targets in other failure domains.
    pub response_bytes: u64,
}

/// State of a dispatcher whose requests may leave the failure domain.
#[derive(Debug, Default)]
pub(super) struct OverflowState {
    costs: Option<LeavingCosts>,
    record: LeavingRecord,
    /// Rate at which requests of each rank leave.
    departure_rates: Vec<EventRate>,
    probe_until: Option<Instant>,
    request_bytes: u64,
    response_bytes: u64,
}

impl OverflowState {
    fn departure_rate(&mut self, rank: RankId) -> &mut EventRate {
        while self.departure_rates.len() <= rank {
            self.departure_rates.push(EventRate::new(super::DRAIN_RATE_BUCKET));
        }
        &mut self.departure_rates[rank]
    }
}

impl ServiceDispatcher {
    /// Sets what leaving the failure domain costs. With `None`, requests do not leave it for overflow targets.
    pub fn set_leaving_costs(&mut self, costs: Option<LeavingCosts>) {
        self.overflow.costs = costs;
    }

    /// Replaces the targets with own targets and overflow targets, all of which have shared slots, and starts queued
    /// requests if possible.
    pub fn replace_with_overflow(
        &mut self,
        own: &[SharedTarget],
        overflow: &[SharedTarget],
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.targets.replace_with_overflow(own, overflow, now);
        self.bind_queued(now, actions);
    }

    /// Records the sizes of a request body and of its complete response body, in bytes.
    pub fn record_transfer(
        &mut self,
        request: RequestId,
        target: TargetKey,
        request_bytes: usize,
        response_bytes: usize,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        self.ranks[state.rank].transfer.record(request_bytes + response_bytes);
        if self.targets.get(target).is_some_and(|target| !target.is_local) {
            self.overflow.request_bytes += request_bytes as u64;
            self.overflow.response_bytes += response_bytes as u64;
        }
    }

    /// Returns the requests and bytes that have left the failure domain.
    pub fn leaving_totals(&self) -> LeavingTotals {
        LeavingTotals {
            left_by_wait: self.overflow.record.left_by_wait,
            left_without_target: self.overflow.record.left_without_target,
            request_bytes: self.overflow.request_bytes,
            response_bytes: self.overflow.response_bytes,
        }
    }

    /// Returns that requests have begun to leave the failure domain or no longer do, if that has not been returned yet.
    pub fn take_leaving_change(&mut self, now: Instant) -> Option<LeavingChange> {
        self.overflow.record.take_change(now)
    }

    /// Starts the requests at the front of the queues that leave the failure domain, those of the most urgent rank first.
    pub(super) fn bind_overflow(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        let Some(costs) = self.overflow.costs else { return };
        if self.queued_keys.is_empty() || !self.targets.has_overflow() {
            return;
        }
        let own_slots = self.targets.own_warm_slots();
        for rank in 0..self.ranks.len() {
            while self.leave_front(rank, &costs, own_slots, now, actions) {}
        }
    }

    /// Starts the request at the front of a queue at an overflow target if it leaves. Returns whether it did.
    fn leave_front(
        &mut self,
        rank: RankId,
        costs: &LeavingCosts,
        own_slots: u32,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) -> bool {
        let Some(front) = self.ranks[rank].queue.front().filter(|front| !front.is_hedge).cloned() else {
            return false;
        };
        let waiting = self.waiting_request(rank, &front, own_slots, now);
        let reason = match costs.decide(&waiting, self.overflow.record.is_leaving(now)) {
            LeaveDecision::Stay => return false,
            LeaveDecision::Prepare => None,
            LeaveDecision::Leave(reason) => Some(reason),
        };
        self.overflow.probe_until = Some(now + PROBE_WINDOW);
        let Some(reason) = reason else { return false };
        let Some(target) = self.pick_overflow(rank, &front, reason, costs, now) else { return false };
        let Some(queued) = self.ranks[rank].queue.pop_front() else { return false };
        self.queued_keys.remove(&queued.request);
        self.record_departure(rank, reason, waiting.own_wait, now);
        self.start_queued(rank, &queued, target, now, actions);
        true
    }

    fn record_departure(&mut self, rank: RankId, reason: LeaveReason, wait: Option<Duration>, now: Instant) {
        self.overflow.record.record_departure(reason, wait, now);
        self.overflow.departure_rate(rank).record(now);
    }

    pub(super) fn record_overflow_start(&mut self) {
        self.overflow.record.record_start();
    }

    fn waiting_request(
        &mut self,
        rank: RankId,
        front: &QueuedRequest,
        own_slots: u32,
        now: Instant,
    ) -> WaitingRequest {
        let response_time = self.min_response_time(rank);
        WaitingRequest {
            slack: front.deadline.saturating_duration_since(now).saturating_sub(response_time),
            waited: now.saturating_duration_since(front.queued_at),
            own_wait: (own_slots > 0)
                .then(|| self.own_wait(rank, own_slots, now).max(self.excess_time(rank, now))),
            transfer_bytes: self.ranks[rank].transfer.bytes(),
            is_late: rank + 1 == self.ranks.len(),
        }
    }

    /// Predicts how long the last queued request of a rank waits for an own target if none leaves.
    fn own_wait(&mut self, rank: RankId, own_slots: u32, now: Instant) -> Duration {
        let departures = self.overflow.departure_rate(rank).per_second(now);
        let rank_state = &mut self.ranks[rank];
        let measured = rank_state.drain_rate.per_second(now) - departures;
        let kept_slots = self.document.ranks[rank].kept_share * f64::from(own_slots);
        let guaranteed = kept_slots / rank_state.hold_time.value().as_secs_f64();
        let rate = measured.max(guaranteed).max(MIN_RATE);
        Duration::from_secs_f64(rank_state.queue.len() as f64 / rate)
    }

    /// Returns the time by which a response from the fastest free own target is expected to take longer than usual. A
    /// request that is queued although there is a free one waits because it would be late there.
    fn excess_time(&self, rank: RankId, now: Instant) -> Duration {
        let free = self.targets.free_lists().iter().flatten();
        let slowdowns = free.filter_map(|key| self.targets.get(*key));
        let slowdowns = slowdowns.map(|target| self.expected_slowdown(target, now));
        let excess = slowdowns.min_by(f64::total_cmp).map_or(0.0, |slowdown| (slowdown - 1.0).max(0.0));
        self.ranks[rank].usual_latency.value().mul_f64(excess)
    }

    /// Picks the overflow target with the lowest expected slowdown and occupancy that may take the request and is
    /// expected to respond in time.
    fn pick_overflow(
        &self,
        rank: RankId,
        queued: &QueuedRequest,
        reason: LeaveReason,
        costs: &LeavingCosts,
        now: Instant,
    ) -> Option<TargetKey> {
        let may_take = |key: &TargetKey| {
            let target = self.targets.taking_target(*key, now);
            target.is_some_and(|target| target.may_take(reason)) && !self.was_tried(queued, *key)
        };
        let takers = self.targets.free_overflow().iter().copied().filter(may_take);
        let scored = takers.filter_map(|key| {
            let target = self.targets.get(key)?;
            let slowdown = self.expected_slowdown(target, now);
            Some((key, slowdown, slowdown + OCCUPANCY_WEIGHT * target.occupancy()))
        });
        let (key, slowdown, _) = scored.min_by(|left, right| left.2.total_cmp(&right.2))?;
        let expected = self.ranks[rank].usual_latency.value().mul_f64(slowdown) + costs.hop * 2;
        (now + expected <= queued.deadline).then_some(key)
    }

    /// Returns the overflow targets to probe for a report. There are none unless a request might have left recently.
    pub(super) fn take_overflow_probes(&mut self, max_age: Duration, now: Instant) -> Vec<TargetKey> {
        if self.overflow.probe_until.is_none_or(|until| until <= now) {
            return Vec::new();
        }
        self.targets.take_due_overflow_probes(max_age, MAX_PROBES_AT_ONCE, now)
    }
}
