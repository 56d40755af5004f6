//! Results of attempts: responses, failures, retries and the release of slots.

use super::{AttemptState, DispatchAction, ServiceDispatcher};
use crate::ids::{RequestId, TargetKey};
use crate::pick::PickPolicy;
use crate::queue::QueuedRequest;
use crate::reason::RetryReason;
use crate::target::{LoadReport, WorkReading};
use std::time::{Duration, Instant};

/// Maximum time for which a target is held off at once. A longer pause than that is taken for a mistake.
const MAX_HOLD_OFF: Duration = Duration::from_secs(600);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be made; no byte was sent.
    Connect,
    /// The target reported that it refused the request without running it.
    Refused,
    /// The connection was lost after bytes were sent and before a response started.
    ConnectionLost,
    /// The target responded with a server error.
    ServerError,
}

impl AttemptFailure {
    /// Returns whether the failure proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Connect | Self::Refused)
    }

    /// Returns whether the target may have restarted.
    fn may_show_restart(self) -> bool {
        matches!(self, Self::Connect | Self::ConnectionLost)
    }

    fn retry_reason(self) -> RetryReason {
        match self {
            Self::Connect => RetryReason::ConnectFailed,
            Self::Refused => RetryReason::TargetRefused,
            Self::ConnectionLost => RetryReason::ConnectionLost,
            Self::ServerError => RetryReason::TargetError,
        }
    }
}

/// Properties of a target's response other than its content.
#[derive(Debug, Clone, Copy)]
pub struct ResponseMetadata {
    /// Load reported by the target.
    pub report: Option<LoadReport>,
    /// Whether the response is a server error. The latency of errors is not recorded, so that a
    /// target that fails fast does not look fast.
    pub is_error: bool,
}

/// What the caller must do with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseDecision {
    /// Forward it to the caller.
    Deliver,
    /// Discard it, because another attempt has been answered already.
    Discard,
}

/// What happens to a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureDecision {
    /// Another attempt has been queued or started.
    Retried,
    /// Another attempt is in flight or has been answered already.
    OtherAttemptPending,
    /// The failure must be reported to the caller.
    Final,
}

impl ServiceDispatcher {
    /// Records that the response to an attempt has started. The slot remains in use until
    /// [`Self::attempt_ended`] is called.
    pub fn response_started(
        &mut self,
        request: RequestId,
        target: TargetKey,
        metadata: ResponseMetadata,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) -> ResponseDecision {
        let Some(state) = self.requests.get(&request) else { return ResponseDecision::Discard };
        let Some(attempt) = state.attempts.iter().find(|attempt| attempt.target == target) else {
            return ResponseDecision::Discard;
        };
        let latency = now.saturating_duration_since(attempt.started);
        let (work, level) = (self.work_done(attempt, now).map(|done| done.estimate), attempt.level);
        self.remove_queued_attempt(request);
        let Some(state) = self.requests.get_mut(&request) else { return ResponseDecision::Discard };
        let is_first = !std::mem::replace(&mut state.has_response, true);
        let other_attempts = state.attempts.iter().filter(|attempt| attempt.target != target);
        actions.extend(
            other_attempts.map(|other| DispatchAction::CancelAttempt { request, target: other.target }),
        );
        let rank = &mut self.ranks[state.rank];
        // With shared slots, latency alone does not characterize a target, because its speed
        // varies.
        let is_shared = self.settings.policy == PickPolicy::SharedSlots;
        let relative_latency = match work {
            Some(work) => work.as_secs_f64() / rank.usual_latency.value().as_secs_f64(),
            None if is_shared => 1.0,
            None => latency.as_secs_f64() / rank.latency_p50.value().as_secs_f64(),
        };
        if metadata.is_error {
            self.targets.record_failure(target, now);
        } else {
            rank.latency_p50.record(latency);
            if let Some(work) = work {
                rank.usual_latency.record(work);
                rank.work_levels.record(level, work);
            }
            rank.latency_p90.record(latency);
            rank.latency_p98.record(latency);
            self.targets.record_response(target, relative_latency, metadata.report, now);
            self.update_concurrency(now);
        }
        if is_first { ResponseDecision::Deliver } else { ResponseDecision::Discard }
    }

    /// Fills targets with shared slots only as far as they complete more with each further request.
    fn update_concurrency(&mut self, now: Instant) {
        if self.settings.policy == PickPolicy::SharedSlots {
            let levels = self.ranks.iter_mut().map(|rank| &mut rank.work_levels);
            if let Some(limit) = self.concurrency.update(levels, self.targets.max_owned_slots(), now) {
                self.targets.set_concurrency_limit(limit);
            }
        }
    }

    /// Records a failed attempt, releases its slot, and queues a retry if one is allowed.
    pub fn attempt_failed(
        &mut self,
        request: RequestId,
        target: TargetKey,
        failure: AttemptFailure,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) -> FailureDecision {
        self.targets.record_failure(target, now);
        if failure.may_show_restart() {
            self.targets.record_loss(target, now);
        }
        let is_known = self.release_attempt(request, target);
        let decision =
            if is_known { self.decide_retry(request, target, failure, now) } else { FailureDecision::Final };
        if decision == FailureDecision::Final {
            self.remove_if_idle(request);
        }
        self.bind_queued(now, actions);
        decision
    }

    /// Releases the slot of an attempt whose response is complete or that was cancelled.
    pub fn attempt_ended(
        &mut self,
        request: RequestId,
        target: TargetKey,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.record_hold_time(request, target, now);
        if self.release_attempt(request, target) {
            self.remove_if_idle(request);
        }
        self.bind_queued(now, actions);
        self.return_idle_loan(target, actions);
    }

    /// Withholds requests and probes from a target for `pause`, because it has asked for that, and refuses the
    /// queued requests that can no longer be answered in time.
    pub fn hold_off(
        &mut self,
        target: TargetKey,
        pause: Duration,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.targets.hold_off(target, now + pause.min(MAX_HOLD_OFF));
        self.expire_queued(now, actions);
    }

    /// Records that the body of a response from this target was complete.
    pub fn record_complete_body(&mut self, target: TargetKey) {
        self.targets.record_complete_body(target);
    }

    /// Records that the body of a response from this target broke off. Repeated cases eject the target,
    /// although its response heads are valid.
    pub fn record_broken_body(&mut self, target: TargetKey, now: Instant) {
        self.targets.record_broken_body(target, now);
    }

    /// Returns the work done on an attempt so far, as time at the target's usual speed. Returns
    /// `None` if the target does not report its speed.
    pub(super) fn work_done(&self, attempt: &AttemptState, now: Instant) -> Option<WorkReading> {
        let (done, before) = (self.targets.get(attempt.target)?.work_reading(now)?, attempt.work_at_start?);
        Some(WorkReading {
            estimate: done.estimate.saturating_sub(before.estimate),
            lower_bound: done.lower_bound.saturating_sub(before.lower_bound),
        })
    }

    fn record_hold_time(&mut self, request: RequestId, target: TargetKey, now: Instant) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(attempt) = state.attempts.iter().find(|attempt| attempt.target == target) else { return };
        let hold_time = now.saturating_duration_since(attempt.started);
        self.ranks[state.rank].hold_time.record(hold_time);
    }

    /// Removes an attempt and releases its slot. Returns whether the attempt was known.
    fn release_attempt(&mut self, request: RequestId, target: TargetKey) -> bool {
        let Some(state) = self.requests.get_mut(&request) else { return false };
        let Some(index) = state.attempts.iter().position(|attempt| attempt.target == target) else {
            return false;
        };
        state.attempts.swap_remove(index);
        self.targets.end_request(target);
        true
    }

    fn decide_retry(
        &mut self,
        request: RequestId,
        target: TargetKey,
        failure: AttemptFailure,
        now: Instant,
    ) -> FailureDecision {
        let Some(state) = self.requests.get(&request) else { return FailureDecision::Final };
        if state.has_response || !state.attempts.is_empty() {
            return FailureDecision::OtherAttemptPending;
        }
        if self.queued_keys.contains_key(&request) {
            self.promote_hedge(request);
            return FailureDecision::Retried;
        }
        let rank = state.rank;
        let is_safe_to_retry = state.is_idempotent || failure.proves_not_run();
        let has_attempts_left =
            state.attempt_count < self.document.retry.max_attempts && !state.is_retry_forbidden;
        let has_time = now + self.ranks[rank].latency_p50.value() < state.deadline && !self.is_evacuated;
        if !(is_safe_to_retry && has_attempts_left && has_time && self.retry_budget.try_take()) {
            return FailureDecision::Final;
        }
        self.queue_attempt(request, target, failure.retry_reason(), now);
        FailureDecision::Retried
    }

    /// Turns a queued hedge into a retry after its first attempt has failed.
    fn promote_hedge(&mut self, request: RequestId) {
        let Some((rank, key)) = self.queued_keys.get(&request) else { return };
        if let Some(queued) = self.ranks[*rank].queue.get_mut(*key) {
            queued.is_hedge = false;
        }
    }

    /// Queues a further attempt ahead of the other requests of its rank.
    pub(super) fn queue_attempt(
        &mut self,
        request: RequestId,
        target: TargetKey,
        reason: RetryReason,
        now: Instant,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        state.retry = Some(reason);
        let rank = state.rank;
        let queued = QueuedRequest {
            account: state.account,
            request,
            deadline: state.deadline,
            queued_at: now,
            avoid: Some(target),
            is_hedge: reason == RetryReason::Hedge,
        };
        let key = self.ranks[rank].queue.push_front(queued);
        self.queued_keys.insert(request, (rank, key));
    }

    /// Removes the queued attempt of a request, if any. Returns whether there was one.
    pub(super) fn remove_queued_attempt(&mut self, request: RequestId) -> bool {
        let Some((rank, key)) = self.queued_keys.remove(&request) else { return false };
        self.ranks[rank].queue.remove(key);
        true
    }

    /// Removes a request that is not queued and has no attempts in flight.
    pub(super) fn remove_if_idle(&mut self, request: RequestId) {
        let is_idle = self.requests.get(&request).is_some_and(|state| state.attempts.is_empty());
        if is_idle && !self.queued_keys.contains_key(&request) {
            self.requests.remove(&request);
        }
    }
}
