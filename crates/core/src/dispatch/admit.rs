//! Admission of new requests: each is started, queued or refused.

use super::{DispatchAction, NewRequest, ServiceDispatcher};
use crate::account::AccountId;
use crate::borrow::LOAN_DURATION;
use crate::ids::{RankId, RequestId};
use crate::queue::QueuedRequest;
use crate::reason::RefusalReason;
use std::time::{Duration, Instant};

/// Minimum age of the oldest queued request of a rank before new requests are refused because of
/// their predicted waiting time.
const MIN_BACKLOG_AGE: Duration = Duration::from_millis(30);
/// Maximum part of a rank's latency target that is reserved for the response itself.
pub(super) const MAX_RESPONSE_TIME_SHARE: f64 = 0.6;
/// Minimum retry delay reported to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

impl ServiceDispatcher {
    /// Starts, queues or refuses a request, through the appended actions.
    ///
    /// A rank that does not exist in the current document is treated as the least urgent one.
    pub fn submit(&mut self, mut request: NewRequest, now: Instant, actions: &mut Vec<DispatchAction>) {
        request.rank = request.rank.min(self.ranks.len() - 1);
        self.ranks[request.rank].arrival_rate.record(now);
        self.count_withheld();
        if let Err(reason) = self.check_admission(&request, now, actions) {
            let retry_after = self.retry_after(request.rank, request.account, now);
            actions.push(DispatchAction::Refuse { request: request.request, reason, retry_after });
            return;
        }
        self.last_request_at = Some(now);
        self.retry_budget.record_first_attempt();
        self.hedge_budget.record_first_attempt();
        self.enqueue(&request, now);
        self.bind_queued(now, actions);
        self.request_slots(now, actions);
    }

    /// Cancels a queued request whose caller has disconnected. Returns whether it was queued.
    pub fn cancel_queued(&mut self, request: RequestId) -> bool {
        let is_queued = self.remove_queued_attempt(request);
        self.remove_if_idle(request);
        is_queued
    }

    fn check_admission(
        &mut self,
        request: &NewRequest,
        now: Instant,
        actions: &mut Vec<DispatchAction>,
    ) -> Result<(), RefusalReason> {
        if self.targets.is_empty() || self.is_evacuated {
            return Err(RefusalReason::NoTarget);
        }
        if self.settings.policy.is_baseline() {
            return Ok(());
        }
        if now >= request.deadline {
            return Err(RefusalReason::DeadlinePassed);
        }
        if self.targets.held_as_a_whole_until().is_some_and(|end| end >= request.deadline) {
            return Err(RefusalReason::DeadlineUnreachable);
        }
        let limited_wait = self.limited_wait(request.rank, request.account, now);
        if limited_wait
            .is_some_and(|wait| now + wait + self.min_response_time(request.rank) > request.deadline)
        {
            return Err(RefusalReason::TargetLimit);
        }
        let is_full = self.ranks[request.rank].queue.len() >= self.document.ranks[request.rank].queue_limit;
        if is_full && !self.ranks[request.rank].queue.may_displace(request.account) {
            return Err(RefusalReason::QueueFull);
        }
        let reserved_time = self.reserved_response_time(request.rank);
        let response_at = now + self.predicted_wait(request.rank, request.account, now) + reserved_time;
        let is_paced = limited_wait.is_some() && self.targets.has_cold();
        if !is_paced && self.is_backlogged(request.rank, now) && response_at > request.deadline {
            return Err(RefusalReason::DeadlineUnreachable);
        }
        if is_full {
            self.displace_queued(request, now, actions);
        }
        Ok(())
    }

    /// Refuses the newest queued request of the account with most of them, so that a new one finds room.
    fn displace_queued(&mut self, new: &NewRequest, now: Instant, actions: &mut Vec<DispatchAction>) {
        let Some(displaced) = self.ranks[new.rank].queue.displace(new.account) else { return };
        self.queued_keys.remove(&displaced.request);
        self.refuse_dequeued_for(RefusalReason::QueueFull, new.rank, &displaced, now, actions);
    }

    /// Returns whether requests of `rank` have waited long enough for the drain rate to be meaningful. An
    /// entry VM without slots of its own depends on loans, which come and go: its queue drains in bursts, and
    /// a loan may be on its way.
    fn is_backlogged(&self, rank: RankId, now: Instant) -> bool {
        let min_age = if self.targets.has_owned_slots() { MIN_BACKLOG_AGE } else { LOAN_DURATION };
        let oldest = self.ranks[rank].queue.oldest();
        oldest.is_some_and(|queued| queued.queued_at + min_age <= now)
    }

    /// Returns the time before the deadline that is reserved for a response of `rank` while
    /// requests compete for slots.
    pub(super) fn reserved_response_time(&self, rank: RankId) -> Duration {
        let limit = self.document.ranks[rank].latency.mul_f64(MAX_RESPONSE_TIME_SHARE);
        self.ranks[rank].latency_p98.value().min(limit)
    }

    /// Predicts how long a new request of `account` in `rank` would wait, from the number of requests before it and the
    /// drain rate.
    fn predicted_wait(&mut self, rank: RankId, account: AccountId, now: Instant) -> Duration {
        let rank_state = &mut self.ranks[rank];
        let queued_count = rank_state.queue.count_before(account);
        if queued_count == 0 {
            return Duration::ZERO;
        }
        let hold_time = rank_state.hold_time.value().as_secs_f64();
        let measured_rate = rank_state.drain_rate.per_second(now);
        let guaranteed_rate =
            self.document.ranks[rank].kept_share * f64::from(self.targets.usable_slots()) / hold_time;
        let rate = measured_rate.max(guaranteed_rate).max(1.0);
        Duration::from_secs_f64(queued_count as f64 / rate)
    }

    /// Returns the delay after which a refused request is likely to be admitted.
    pub(super) fn retry_after(&mut self, rank: RankId, account: AccountId, now: Instant) -> Duration {
        let pause = self.remaining_pause(now);
        let limited_wait = self.limited_wait(rank, account, now);
        // The rate at which cold targets take requests is known, and too low to be measured in time.
        let is_paced = limited_wait.is_some() && self.targets.has_cold();
        let predicted_wait = if is_paced { Duration::ZERO } else { self.predicted_wait(rank, account, now) };
        let wait = predicted_wait.max(limited_wait.unwrap_or_default());
        wait.max(MIN_RETRY_AFTER).max(pause).max(self.evacuated_wait())
    }

    /// Returns the time until the first target accepts requests again if all have asked for a pause.
    pub(super) fn remaining_pause(&self, now: Instant) -> Duration {
        let end = self.targets.held_as_a_whole_until();
        end.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }

    fn enqueue(&mut self, request: &NewRequest, now: Instant) {
        let state = super::RequestState {
            account: request.account,
            rank: request.rank,
            deadline: request.deadline,
            is_idempotent: request.is_idempotent,
            is_retry_forbidden: request.is_retry_forbidden,
            attempts: Vec::new(),
            attempt_count: 0,
            has_response: false,
            retry: None,
        };
        self.requests.insert(request.request, state);
        let queued = QueuedRequest {
            request: request.request,
            account: request.account,
            deadline: request.deadline,
            queued_at: now,
            avoid: None,
            is_hedge: false,
        };
        let key = self.ranks[request.rank].queue.push_back(queued);
        self.queued_keys.insert(request.request, (request.rank, key));
    }
}
