//! Periodic pass: expiries, stragglers, hedges, and the safe share of a silent owner.

use super::{AttemptState, DispatchAction, FlightState, ServiceDispatcher};
use crate::ids::{RequestId, TargetKey};
use crate::pick::pick_target;
use crate::reason::RetryReason;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Deviations beyond the mean after which an attempt is overdue.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Deviations beyond the mean after which a hedge is sent.
const HEDGE_DEVIATIONS: f64 = 3.0;
/// Overdue attempts that make a target a straggler.
const OVERDUE_COUNT: u32 = 2;
/// Wait after which a request may use a target whose owner lends nothing.
const OWNER_SILENCE: Duration = Duration::from_millis(25);

impl ServiceDispatcher {
    /// Runs the periodic pass.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        self.targets.tick(now);
        if !self.settings.policy.is_baseline() {
            self.shun_stragglers(now);
            self.expire_waiting(now, actions);
            self.bind_waiting(now, actions);
            self.use_safe_share(now, actions);
            self.hedge_overdue(now, actions);
        }
        self.ask_for_slots(now, actions);
    }

    fn shun_stragglers(&mut self, now: Instant) {
        let mut overdue: HashMap<TargetKey, u32> = HashMap::new();
        for flight in self.flights.values().filter(|flight| !flight.is_answered) {
            let limit = self.ranks[flight.rank].head_cost.beyond(OVERDUE_DEVIATIONS);
            let late = flight.attempts.iter().filter(|attempt| attempt.started + limit < now);
            late.for_each(|attempt| *overdue.entry(attempt.target).or_default() += 1);
        }
        let stragglers = overdue.into_iter().filter(|(_, count)| *count >= OVERDUE_COUNT);
        stragglers.for_each(|(target, _)| self.targets.shun(target, now));
    }

    /// Sends second attempts beside overdue ones, within the hedge budget, to slots that nobody
    /// waits for.
    fn hedge_overdue(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.document.retry.hedge_share == 0.0 {
            return;
        }
        let mut overdue: Vec<RequestId> = self.overdue_requests(now);
        overdue.sort_unstable();
        for request in overdue {
            if !self.waiting.is_empty() || !self.has_free_target() || !self.hedge_one(request, now, actions) {
                return;
            }
        }
    }

    fn overdue_requests(&self, now: Instant) -> Vec<RequestId> {
        let flights = self.flights.iter().filter(|(_, flight)| self.may_hedge(flight, now));
        flights.map(|(request, _)| *request).collect()
    }

    fn may_hedge(&self, flight: &FlightState, now: Instant) -> bool {
        let is_open = !flight.is_answered && !flight.is_retried && flight.attempts.len() == 1;
        let limit = self.ranks[flight.rank].head_cost.beyond(HEDGE_DEVIATIONS);
        let has_time = now + self.ranks[flight.rank].head_cost.mean() < flight.deadline;
        is_open
            && has_time
            && flight.is_idempotent
            && flight.attempt_count < self.document.retry.max_attempts
            && flight.attempts[0].started + limit < now
    }

    /// Sends one hedge. Returns false when the budget or the targets allow no more.
    fn hedge_one(&mut self, request: RequestId, now: Instant, actions: &mut Vec<DispatchAction>) -> bool {
        let Some(first) = self.flights.get(&request).map(|flight| flight.attempts[0].target) else {
            return true;
        };
        let policy = self.settings.policy;
        let picked = pick_target(&self.targets, policy, Some(first), self.turn, &mut self.rng);
        let Some(target) = picked.filter(|target| *target != first) else { return false };
        let Some(address) = self.targets.get(target).map(|state| state.address) else { return false };
        if !self.hedge_budget.try_take() {
            return false;
        }
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.attempts.push(AttemptState { target, started: now });
            flight.attempt_count += 1;
        }
        self.targets.start(target);
        actions.push(DispatchAction::Start { request, target, address, retry: Some(RetryReason::Hedge) });
        true
    }

    /// Uses targets of silent owners with at most one request in flight each, so that work goes
    /// on in a partition.
    fn use_safe_share(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        while let Some(rank) = self.next_rank() {
            let has_waited = |queued: &crate::queue::QueuedRequest| queued.queued_at + OWNER_SILENCE <= now;
            let Some(target) = self.idle_foreign_target() else { return };
            let Some(queued) = self.ranks[rank].queue.pop_front_if(has_waited) else { return };
            self.waiting.remove(&queued.request);
            self.start_queued(rank, &queued, target, now, actions);
        }
    }

    fn idle_foreign_target(&self) -> Option<TargetKey> {
        let idle = |target: &crate::target::TargetState| {
            target.is_usable() && target.owned_slots() == 0 && target.in_flight == 0
        };
        self.targets.iter().filter(|(_, target)| idle(target)).map(|(key, _)| key).next()
    }
}
