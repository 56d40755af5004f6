//! Admission, late binding, retries and hedges for one service in one entry VM.
//!
//! [`ServiceDispatcher`] owns the state; each submodule implements one operation on it. Every
//! operation takes the current time and appends [`DispatchAction`]s, which the caller must carry
//! out.
//!
//! Invariants:
//!
//! - a request is in exactly one state: queued, in flight, or finished;
//! - a queued request that the dispatcher drops on its own is refused in the same call, never later;
//! - a non-idempotent request gets a further attempt only after a failure which proves that the
//!   earlier attempt did not run.

mod admit;
mod attempt;
mod bind;
mod cold;
mod evacuated;
mod limits;
mod loan;
mod overflow;
mod shared_slots;
mod tick;

use crate::account::AccountId;
use crate::borrow::BorrowScheduler;
use crate::budget::AttemptBudget;
use crate::concurrency::{ConcurrencyLimit, WorkLevels};
use crate::document::ServiceDocument;
use crate::domain_overflow::TransferEstimate;
use crate::estimate::{MeanEstimate, QuantileEstimate, SizeEstimate};
use crate::event_rate::EventRate;
use crate::fair_share::FairShareScheduler;
use crate::ids::{IncarnationId, QueuedKey, RankId, RequestId, TargetKey};
use crate::pick::PickPolicy;
use crate::queue::{AccountWeights, RankQueue};
use crate::reason::{RefusalReason, RetryReason};
use crate::target::{TargetSettings, TargetSpec, TargetTable, WorkReading};
use overflow::OverflowState;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use attempt::{AttemptFailure, FailureDecision, ResponseDecision, ResponseMetadata};
pub use cold::ColdTargetReport;
pub use limits::DueClaim;
pub use overflow::LeavingTotals;
pub use shared_slots::ServiceStats;

/// Bucket length of the rate at which requests of a rank are started.
const DRAIN_RATE_BUCKET: Duration = Duration::from_millis(100);
/// Bucket length of the rate at which requests arrive.
const ARRIVAL_RATE_BUCKET: Duration = Duration::from_millis(500);

/// A request to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct NewRequest {
    /// Request ID.
    pub request: RequestId,
    /// Rank of the request.
    pub rank: RankId,
    /// Time by which the response must start.
    pub deadline: Instant,
    /// Whether the request may safely run twice.
    pub is_idempotent: bool,
    /// Whether retries and hedges of the request are forbidden here, for example because the caller
    /// retries it itself, so that only one layer retries, or because the route allows one attempt.
    pub is_retry_forbidden: bool,
    /// Client account of the request; [`NO_ACCOUNT`](crate::account::NO_ACCOUNT) if it has none.
    pub account: AccountId,
}

/// An action that the caller of a dispatcher operation must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchAction {
    /// Sends the request to a target now.
    Start {
        /// Request ID.
        request: RequestId,
        /// The chosen target.
        target: TargetKey,
        /// Address of the target.
        address: SocketAddr,
        /// Reason for a further attempt; `None` for the first one.
        retry: Option<RetryReason>,
    },
    /// Refuses the request, which has no attempt in flight. Earlier attempts may have failed.
    Refuse {
        /// Request ID.
        request: RequestId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Cancels one attempt because another one has been answered.
    CancelAttempt {
        /// Request ID.
        request: RequestId,
        /// Target of the cancelled attempt.
        target: TargetKey,
    },
    /// Requests a loan of slots from a peer.
    RequestSlots {
        /// The peer that may lend slots.
        peer: IncarnationId,
        /// Number of slots wanted.
        count: u32,
    },
    /// Returns a borrowed slot to the peer that lent it.
    ReturnSlot {
        /// The peer that owns the slot.
        peer: IncarnationId,
        /// Address of the target that the slot belongs to.
        address: SocketAddr,
    },
}

/// Settings of a [`ServiceDispatcher`].
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// Failure domain of this entry VM.
    pub local_domain: String,
    /// Policy by which targets are chosen.
    pub policy: PickPolicy,
    /// Seed for all random choices.
    pub seed: u64,
}

/// Queue and statistics of one rank.
#[derive(Debug)]
struct RankState {
    queue: RankQueue,
    /// Median time until the response starts.
    latency_p50: QuantileEstimate,
    /// 90th percentile of the time until the response starts.
    latency_p90: QuantileEstimate,
    /// 98th percentile of the time until the response starts.
    latency_p98: QuantileEstimate,
    /// Median time until the response starts, scaled to the target's usual speed.
    usual_latency: QuantileEstimate,
    /// Work on requests by the number of requests at their target.
    work_levels: WorkLevels,
    /// Mean size of a response body.
    response_bytes: SizeEstimate,
    /// Mean size of a request body and its response body.
    transfer: TransferEstimate,
    /// Mean time for which a request holds a slot.
    hold_time: MeanEstimate,
    /// Rate at which requests of the rank arrive, including those that are refused.
    arrival_rate: EventRate,
    /// Rate at which requests of the rank are started.
    drain_rate: EventRate,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
struct AttemptState {
    target: TargetKey,
    started: Instant,
    /// Reading of the target's work counter when the attempt started.
    work_at_start: Option<WorkReading>,
    /// Number of requests at the target when the attempt started, this one included.
    level: u32,
}

/// An admitted request, which is queued or has attempts in flight.
#[derive(Debug)]
struct RequestState {
    rank: RankId,
    account: AccountId,
    deadline: Instant,
    is_idempotent: bool,
    is_retry_forbidden: bool,
    /// Attempts in flight.
    attempts: Vec<AttemptState>,
    /// Number of attempts started, including those that have ended.
    attempt_count: u32,
    has_response: bool,
    /// Reason for the next attempt if it is not the first one.
    retry: Option<RetryReason>,
}

/// Dispatches the requests of one service to its targets.
#[derive(Debug)]
pub struct ServiceDispatcher {
    document: Arc<ServiceDocument>,
    settings: DispatchSettings,
    targets: TargetTable,
    ranks: Vec<RankState>,
    account_weights: Arc<AccountWeights>,
    fair_shares: FairShareScheduler,
    retry_budget: AttemptBudget,
    hedge_budget: AttemptBudget,
    concurrency: ConcurrencyLimit,
    /// Rank and queue key of each queued request.
    queued_keys: HashMap<RequestId, (RankId, QueuedKey)>,
    requests: HashMap<RequestId, RequestState>,
    borrow_scheduler: BorrowScheduler,
    round_robin_index: usize,
    /// Time at which the last request was admitted.
    last_request_at: Option<Instant>,
    /// Age of a load report from which its target is probed for a new one.
    max_report_age: Option<Duration>,
    /// Whether all targets are in evacuated failure domains.
    is_evacuated: bool,
    /// Number of requests that found no target because cold ones are withheld, since the last report.
    withheld_count: u64,
    overflow: OverflowState,
    rng: SmallRng,
}

impl ServiceDispatcher {
    /// Creates a dispatcher without targets.
    pub fn new(document: Arc<ServiceDocument>, settings: DispatchSettings) -> Self {
        let target_settings = TargetSettings {
            local_domain: settings.local_domain.clone(),
            slots: document.slots_per_target,
            ramp: document.ramp,
            is_unlimited: settings.policy.is_baseline(),
        };
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            targets: TargetTable::new(target_settings),
            ranks: document.ranks.iter().map(|rank| RankState::new(rank.latency)).collect(),
            account_weights: Arc::default(),
            fair_shares: FairShareScheduler::new(document.ranks.iter().map(|rank| rank.kept_share).collect()),
            retry_budget: AttemptBudget::new(document.retry.retry_share),
            hedge_budget: AttemptBudget::new(document.retry.hedge_share),
            concurrency: ConcurrencyLimit::default(),
            queued_keys: HashMap::new(),
            requests: HashMap::new(),
            borrow_scheduler: BorrowScheduler::default(),
            round_robin_index: 0,
            last_request_at: None,
            max_report_age: None,
            is_evacuated: false,
            withheld_count: 0,
            overflow: OverflowState::default(),
            rng,
            document,
            settings,
        }
    }

    /// Returns the service document in force.
    pub fn document(&self) -> &Arc<ServiceDocument> {
        &self.document
    }

    /// Returns the target table, for status output and tests.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Returns the number of queued requests of a rank.
    pub fn queue_length(&self, rank: RankId) -> usize {
        self.ranks[rank].queue.len()
    }

    /// Returns whether no request is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.queued_keys.is_empty()
    }

    /// Returns whether [`Self::tick`] would have nothing to do.
    pub fn needs_no_tick(&self) -> bool {
        self.is_idle() && !self.targets.has_timers()
    }

    /// Ends the ejection of a target that answered a probe, and starts queued requests if possible.
    pub fn readmit(&mut self, address: SocketAddr, now: Instant, actions: &mut Vec<DispatchAction>) {
        if let Some(key) = self.targets.find(address) {
            self.targets.readmit(key, now);
        }
        self.bind_queued(now, actions);
    }

    /// Returns the time within which 98 of 100 requests of a rank get their response. With few responses, as after a start,
    /// it is an upper bound, but no more than that of the slowest rank with enough of them; if there is no such rank, no
    /// more than the part of the latency target that is reserved for responses at most.
    pub fn response_time(&self, rank: RankId) -> Duration {
        let rank = rank.min(self.ranks.len() - 1);
        let estimate = self.ranks[rank].latency_p98;
        let estimates = self.ranks.iter().map(|rank| rank.latency_p98);
        let slowest = estimates.filter(|estimate| estimate.is_measured()).map(QuantileEstimate::value).max();
        let reserved = self.document.ranks[rank].latency.mul_f64(admit::MAX_RESPONSE_TIME_SHARE);
        let limit = slowest.unwrap_or(reserved);
        estimate.value().max(estimate.upper_bound().map_or(limit, |bound| bound.min(limit)))
    }

    /// Returns the number of requests that are queued or in flight.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Replaces the target list and starts queued requests if possible.
    pub fn replace_targets(&mut self, specs: &[TargetSpec], now: Instant, actions: &mut Vec<DispatchAction>) {
        self.targets.replace_targets(specs);
        self.bind_queued(now, actions);
    }

    /// Sets the weights by which client accounts share the service of a rank.
    pub fn set_account_weights(&mut self, weights: Arc<AccountWeights>) {
        self.ranks.iter_mut().for_each(|rank| rank.queue.set_weights(weights.clone()));
        self.account_weights = weights;
    }

    /// Replaces the service document. Ranks with the same name keep their queue and their estimates.
    /// The queue of a removed rank moves to the least urgent rank.
    pub fn replace_document(&mut self, document: Arc<ServiceDocument>, now: Instant) {
        let old_ranks = std::mem::take(&mut self.ranks);
        let old_names: Vec<String> = self.document.ranks.iter().map(|rank| rank.name.clone()).collect();
        self.ranks = document.ranks.iter().map(|rank| RankState::new(rank.latency)).collect();
        let last = self.ranks.len() - 1;
        let find = |name: &String| document.ranks.iter().position(|rank| rank.name == *name);
        let mapping: Vec<RankId> = old_names.iter().map(|name| find(name).unwrap_or(last)).collect();
        self.set_account_weights(self.account_weights.clone());
        self.queued_keys.clear();
        for (old_rank, mut rank_state) in old_ranks.into_iter().enumerate() {
            let rank = mapping[old_rank];
            if find(&old_names[old_rank]).is_some() {
                self.migrate_estimates(rank, &rank_state);
            }
            self.migrate_queue(rank, &mut rank_state);
        }
        self.requests.values_mut().for_each(|state| state.rank = mapping[state.rank]);
        self.fair_shares =
            FairShareScheduler::new(document.ranks.iter().map(|rank| rank.kept_share).collect());
        self.retry_budget = AttemptBudget::new(document.retry.retry_share);
        self.hedge_budget = AttemptBudget::new(document.retry.hedge_share);
        self.targets.set_slots(document.slots_per_target);
        self.targets.set_ramp(document.ramp);
        self.document = document;
        self.targets.tick(now);
    }

    fn migrate_estimates(&mut self, rank: RankId, old: &RankState) {
        self.ranks[rank].latency_p50 = old.latency_p50;
        self.ranks[rank].latency_p90 = old.latency_p90;
        self.ranks[rank].latency_p98 = old.latency_p98;
        self.ranks[rank].usual_latency = old.usual_latency;
        self.ranks[rank].work_levels = old.work_levels.clone();
        self.ranks[rank].response_bytes = old.response_bytes;
        self.ranks[rank].transfer = old.transfer;
        self.ranks[rank].hold_time = old.hold_time;
    }

    fn migrate_queue(&mut self, rank: RankId, old: &mut RankState) {
        while let Some(queued) = old.queue.pop_front() {
            let request = queued.request;
            let key = self.ranks[rank].queue.push_back(queued);
            self.queued_keys.insert(request, (rank, key));
        }
    }

    /// Marks a target as leaving, with immediate effect.
    pub fn mark_leaving(&mut self, address: SocketAddr) {
        if let Some(key) = self.targets.find(address) {
            self.targets.mark_leaving(key);
        }
    }
}

impl RankState {
    fn new(latency: Duration) -> Self {
        let initial = latency / 8;
        Self {
            queue: RankQueue::default(),
            latency_p50: QuantileEstimate::new(0.5, initial),
            latency_p90: QuantileEstimate::new(0.9, initial),
            latency_p98: QuantileEstimate::new(0.98, initial),
            usual_latency: QuantileEstimate::new(0.5, initial),
            work_levels: WorkLevels::default(),
            response_bytes: SizeEstimate::default(),
            transfer: TransferEstimate::default(),
            hold_time: MeanEstimate::new(initial),
            arrival_rate: EventRate::new(ARRIVAL_RATE_BUCKET),
            drain_rate: EventRate::new(DRAIN_RATE_BUCKET),
        }
    }
}
