//! Late binding to targets whose slots are shared by all entry VMs.
//!
//! Each target reports its load and its current speed. A queued request starts at the free target
//! with the shortest expected time if the response can start before the deadline. Otherwise the
//! request waits for a faster target, and less urgent ranks with more time left may start before
//! it. A request that could not meet its deadline even at a target of usual speed is refused at
//! once.

use super::{AttemptState, DispatchAction, RequestState, ServiceDispatcher};
use crate::ids::{RankId, RequestId, TargetKey};
use crate::queue::QueuedRequest;
use crate::reason::RetryReason;
use crate::target::{SharedReport, SharedTarget, TargetState, WorkReading};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Penalty for a target in another failure domain, as a fraction of the request's usual latency.
const REMOTE_PENALTY: f64 = 0.05;
/// Response size whose transfer between failure domains adds a penalty of one usual latency.
/// Traffic between failure domains is charged by the byte.
const REMOTE_PENALTY_BYTES: f64 = 30_000.0;
/// Expected slowdown below which a target counts as fast.
const FAST_TARGET_SLOWDOWN: f64 = 1.5;
/// Weight of the occupied fraction of a target's slots in its score.
const OCCUPANCY_WEIGHT: f64 = 0.5;

/// Ratio of the work done on an attempt to the usual latency from which its target is probed, to
/// find out whether it has become slow. A lower ratio would cause a probe for about every second
/// request.
const OVERDUE_WORK_RATIO: f64 = 1.1;
/// Age from which the report of a target with an overdue attempt is outdated: about two rounds of
/// probes.
const OVERDUE_REPORT_AGE: Duration = Duration::from_millis(40);
/// Minimum fraction of targets with a free slot for hedges of attempts that are only suspected to
/// be slow.
const HEDGE_FREE_TARGET_SHARE: f64 = 0.75;
/// Time after the last request for which a service's targets are probed for reports.
const REPORT_PROBE_WINDOW: Duration = Duration::from_millis(300);

/// Load of a service as seen by one entry VM, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceStats {
    /// Number of queued requests of the rank.
    pub queued_in_rank: usize,
    /// Number of queued requests of all ranks.
    pub queued_total: usize,
    /// Number of targets that accept requests.
    pub usable_targets: usize,
    /// Number of usable targets with a free slot.
    pub free_targets: usize,
    /// Number of free targets whose expected slowdown is low.
    pub fast_targets: usize,
    /// Usual response latency of the rank.
    pub usual_latency: Duration,
}

impl ServiceDispatcher {
    /// Returns the load of the service, as seen by a request of `rank`.
    pub fn stats(&self, rank: RankId, now: Instant) -> ServiceStats {
        // The request may belong to a configuration with more ranks.
        let rank = rank.min(self.ranks.len() - 1);
        let states = self.targets.iter().map(|(_, target)| target);
        let usable: Vec<&TargetState> = states.filter(|target| target.is_usable()).collect();
        let free: Vec<&TargetState> =
            usable.iter().copied().filter(|target| target.has_free_slot()).collect();
        let is_fast = |target: &&&TargetState| self.expected_slowdown(target, now) < FAST_TARGET_SLOWDOWN;
        ServiceStats {
            queued_in_rank: self.queue_length(rank),
            queued_total: self.queued_keys.len(),
            usable_targets: usable.len(),
            free_targets: free.len(),
            fast_targets: free.iter().filter(is_fast).count(),
            usual_latency: self.ranks[rank].usual_latency.value(),
        }
    }

    /// Replaces the targets with shared ones and starts queued requests if possible.
    pub fn replace_shared_targets(
        &mut self,
        targets: &[SharedTarget],
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.targets.replace_shared_targets(targets, now);
        self.bind_queued(now, actions);
    }

    /// Sets the number of further attempts that each budget may accumulate while none is needed.
    pub fn set_attempt_budget_capacity(&mut self, attempts: f64) {
        self.retry_budget.set_capacity(attempts);
        self.hedge_budget.set_capacity(attempts);
    }

    /// Records a target's report, which came with a response or from a probe, and starts queued
    /// requests if possible.
    pub fn record_report(
        &mut self,
        target: TargetKey,
        report: SharedReport,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.targets.record_report(target, report, now);
        self.bind_queued(now, actions);
    }

    /// Sets the age from which a target's report is outdated. With `None`, targets are not probed.
    pub fn set_max_report_age(&mut self, max_age: Option<Duration>) {
        self.max_report_age = max_age;
    }

    /// Returns the targets to probe for a report and marks them as probed. These are the targets
    /// with an outdated report and, sooner, those that may have become slow during a request that
    /// another target could still answer in time, if there was a recent request; and the limited ones
    /// whose limit is checked.
    pub fn take_targets_to_probe(&mut self, now: Instant) -> Vec<(TargetKey, SocketAddr)> {
        let rechecked = self.targets.take_due_limit_rechecks(now);
        let stale = self.take_targets_with_old_reports(now);
        let probed = rechecked.into_iter().chain(stale);
        probed.filter_map(|key| self.targets.get(key).map(|target| (key, target.address))).collect()
    }

    fn take_targets_with_old_reports(&mut self, now: Instant) -> Vec<TargetKey> {
        let has_recent_requests =
            self.last_request_at.is_some_and(|at| now.saturating_duration_since(at) < REPORT_PROBE_WINDOW);
        let Some(max_age) = self.max_report_age.filter(|_| has_recent_requests) else { return Vec::new() };
        let mut probed = self.targets.take_due_probes(max_age, now);
        probed.extend(self.targets.take_due_probes_of(&self.overdue_targets(now), OVERDUE_REPORT_AGE, now));
        probed.extend(self.take_overflow_probes(max_age, now));
        probed
    }

    /// Returns the targets with an attempt that takes longer than usual, where another target could
    /// still answer in time.
    fn overdue_targets(&self, now: Instant) -> Vec<TargetKey> {
        if !self.has_room_for_hedges() {
            return Vec::new();
        }
        let is_overdue = |(request, state): (&RequestId, &RequestState)| {
            let attempt = self.hedgeable_attempt(*request, state, now)?;
            let usual = self.ranks[state.rank].usual_latency.value().mul_f64(OVERDUE_WORK_RATIO);
            (self.work_so_far(attempt, now).estimate > usual).then_some(attempt.target)
        };
        self.requests.iter().filter_map(is_overdue).collect()
    }

    /// Records the size of a response body, in bytes.
    pub fn record_response_size(&mut self, request: RequestId, bytes: usize) {
        let Some(state) = self.requests.get(&request) else { return };
        self.ranks[state.rank].response_bytes.record(bytes as f64);
    }

    /// Starts queued requests of each rank while there is a suitable target.
    pub(super) fn bind_shared(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        let mut is_skipped = vec![false; self.ranks.len()];
        while self.has_free_target() {
            let ranks = &self.ranks;
            let may_start = |rank: RankId| !is_skipped[rank] && !ranks[rank].queue.is_empty();
            let Some(rank) = self.fair_shares.next_rank(may_start) else { return };
            let Some(queued) = self.ranks[rank].queue.pop_front() else { return };
            self.queued_keys.remove(&queued.request);
            if self.cannot_meet_deadline(rank, &queued, now) {
                self.refund_account(rank, &queued);
                self.refuse_dequeued(rank, &queued, now, actions);
                continue;
            }
            match self.pick_shared(rank, &queued, now) {
                Some(target) => self.start_queued(rank, &queued, target, now, actions),
                None if queued.is_hedge => {}
                None => {
                    self.requeue(rank, queued);
                    is_skipped[rank] = true;
                }
            }
        }
    }

    /// Picks the free target with the lowest sum of expected slowdown and penalties. Returns `None`
    /// if its response is expected after the deadline, unless waiting for a faster target no longer
    /// helps.
    fn pick_shared(&self, rank: RankId, queued: &QueuedRequest, now: Instant) -> Option<TargetKey> {
        let remote_penalty = REMOTE_PENALTY + self.ranks[rank].response_bytes.value() / REMOTE_PENALTY_BYTES;
        let free = self.targets.free_lists().iter().flatten();
        let candidates = free.filter_map(|key| self.targets.get(*key).map(|target| (*key, target)));
        let avoids_cold = self.avoids_cold(queued);
        let candidates = candidates.filter(|(_, target)| !(avoids_cold && target.is_cold()));
        let untried = candidates.filter(|(key, _)| !self.was_tried(queued, *key));
        let scored = untried.map(|(key, target)| {
            let slowdown = self.expected_slowdown(target, now);
            let domain_penalty = if target.is_local { 0.0 } else { remote_penalty };
            (key, slowdown, slowdown + domain_penalty + OCCUPANCY_WEIGHT * target.occupancy())
        });
        let (key, slowdown, _) = scored.min_by(|left, right| left.2.total_cmp(&right.2))?;
        let expected = self.ranks[rank].usual_latency.value().mul_f64(slowdown);
        let is_in_time = now + expected <= queued.deadline;
        (is_in_time || self.accepts_any_target(rank, queued, now)).then_some(key)
    }

    /// Returns whether waiting for a faster target no longer helps. In the last rank, a response
    /// after the deadline has no value; in any other rank it is merely late.
    fn accepts_any_target(&self, rank: RankId, queued: &QueuedRequest, now: Instant) -> bool {
        let usual = self.ranks[rank].usual_latency.value();
        let is_last = rank + 1 == self.ranks.len();
        !is_last && now + usual + LAST_START_MARGIN >= queued.deadline
    }

    /// Hedges idempotent requests that are expected to miss their deadline, at targets that are
    /// expected to meet it, the earliest deadline first. Retries and hedges share one budget. Retries
    /// have precedence: hedges leave half of the budget's capacity to them.
    pub(super) fn hedge_shared(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        let lagging =
            self.requests.iter().filter(|(request, state)| self.will_miss_deadline(**request, state, now));
        let mut lagging: Vec<(Instant, RequestId)> =
            lagging.map(|(request, state)| (state.deadline, *request)).collect();
        lagging.sort_unstable();
        for (deadline, request) in lagging {
            let Some(state) = self.requests.get(&request) else { continue };
            let RequestState { rank, account, .. } = *state;
            let queued =
                QueuedRequest { request, account, deadline, queued_at: now, avoid: None, is_hedge: false };
            let Some(target) = self.pick_shared(rank, &queued, now) else { continue };
            if !self.retry_budget.try_take_keeping_half() {
                return;
            }
            if let Some(state) = self.requests.get_mut(&request) {
                state.retry = Some(RetryReason::Hedge);
            }
            self.start_queued(rank, &queued, target, now, actions);
        }
    }

    /// Returns whether a request's only attempt is expected to miss the deadline while another one
    /// might meet it.
    fn will_miss_deadline(&self, request: RequestId, state: &RequestState, now: Instant) -> bool {
        let Some(attempt) = self.hedgeable_attempt(request, state, now) else { return false };
        let usual = self.ranks[state.rank].usual_latency.value();
        now + self.remaining_time(attempt, usual, now) > state.deadline
    }

    /// Returns the only attempt of a request, if the request may be hedged and has enough time left
    /// for a hedge.
    fn hedgeable_attempt<'a>(
        &self,
        request: RequestId,
        state: &'a RequestState,
        now: Instant,
    ) -> Option<&'a AttemptState> {
        let may_hedge = state.is_idempotent
            && !state.has_response
            && !state.is_retry_forbidden
            && state.attempt_count < self.document.retry.max_attempts
            && !self.queued_keys.contains_key(&request);
        let has_time = now + self.ranks[state.rank].usual_latency.value() < state.deadline;
        let [attempt] = state.attempts.as_slice() else { return None };
        (may_hedge && has_time).then_some(attempt)
    }

    /// Returns the expected time until the response to an attempt starts. An attempt that has had
    /// far more than the usual work done is presumed lost.
    fn remaining_time(&self, attempt: &AttemptState, usual: Duration, now: Instant) -> Duration {
        let Some(target) = self.targets.get(attempt.target) else { return PRESUMED_LOST_TIME };
        let reading = self.work_so_far(attempt, now);
        let done = if self.has_room_for_hedges() { reading.lower_bound } else { reading.estimate };
        if done > usual.mul_f64(PRESUMED_LOST_WORK_RATIO) {
            return PRESUMED_LOST_TIME;
        }
        let left = usual.saturating_sub(done).max(usual.mul_f64(MIN_REMAINING_WORK_SHARE));
        left.mul_f64(self.expected_slowdown(target, now))
    }

    /// Returns whether there is enough spare capacity that an unnecessary hedge would not displace
    /// another request.
    fn has_room_for_hedges(&self) -> bool {
        let free = self.targets.free_lists().iter().map(Vec::len).sum::<usize>();
        self.queued_keys.is_empty()
            && free as f64 >= HEDGE_FREE_TARGET_SHARE * self.targets.own_count() as f64
    }

    /// Returns the work done on an attempt. Without reports, the target is assumed to run at its
    /// usual speed.
    fn work_so_far(&self, attempt: &AttemptState, now: Instant) -> WorkReading {
        let elapsed = now.saturating_duration_since(attempt.started);
        let as_usual = WorkReading { estimate: elapsed, lower_bound: elapsed };
        self.work_done(attempt, now).unwrap_or(as_usual)
    }

    pub(super) fn was_tried(&self, queued: &QueuedRequest, target: TargetKey) -> bool {
        queued.avoid == Some(target) || self.has_attempt_at(queued, target)
    }

    pub(super) fn expected_slowdown(&self, target: &TargetState, now: Instant) -> f64 {
        target.expected_slowdown(self.targets.average_slowdown(), now)
            * target.current_relative_latency(now).max(MIN_RELATIVE_LATENCY)
    }
}

/// Time before the latest possible start from which any free target is accepted.
const LAST_START_MARGIN: Duration = Duration::from_millis(10);
/// Expected remaining time of an attempt that is presumed lost.
const PRESUMED_LOST_TIME: Duration = Duration::from_secs(3600);
/// Ratio of the work done on an attempt to the usual work of its rank from which it is presumed
/// lost.
const PRESUMED_LOST_WORK_RATIO: f64 = 3.0;
/// Minimum remaining work assumed for an unanswered attempt, as a fraction of the usual work.
const MIN_REMAINING_WORK_SHARE: f64 = 0.2;
/// Lower bound on the measured relative latency of a target, which limits how much faster than its
/// peers it can look.
const MIN_RELATIVE_LATENCY: f64 = 0.5;
