//! Tests of the shares of client accounts inside a rank, in virtual time.

use proptest::prelude::*;
use sniperelay_core::account::{AccountId, NO_ACCOUNT};
use sniperelay_core::dispatch::{
    DispatchAction, DispatchSettings, NewRequest, ResponseMetadata, ServiceDispatcher,
};
use sniperelay_core::document::{ProbePolicy, RankPolicy, RetryPolicy, RouteMatch, ServiceDocument};
use sniperelay_core::ids::{RequestId, TargetKey};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::queue::{AccountWeights, QueuedRequest, RankQueue};
use sniperelay_core::reason::RefusalReason;
use sniperelay_core::target::{TargetLifecycle, TargetSpec};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVICE_TIME: Duration = Duration::from_millis(60);
const SLOTS: usize = 40;
/// Requests per second that the targets can serve.
const CAPACITY: f64 = 40.0 / 0.06;
const STEP: Duration = Duration::from_millis(5);

fn rank(name: &str, latency: u64, queue_limit: usize) -> RankPolicy {
    RankPolicy {
        name: name.to_owned(),
        matches: vec![RouteMatch { method: "GET".to_owned(), path: format!("/{name}") }],
        worth: 1.0,
        latency: Duration::from_millis(latency),
        give_up: Duration::from_millis(latency * 4),
        on_time_share: 0.99,
        kept_share: 0.25,
        idempotent: true,
        queue_limit,
    }
}

fn document(queue_limit: usize) -> ServiceDocument {
    ServiceDocument {
        name: "s".to_owned(),
        team: "t".to_owned(),
        slots_per_target: 4,
        connections_per_target: 100,
        home_count: 4,
        ramp: Duration::from_secs(1),
        retry: RetryPolicy { max_attempts: 1, retry_share: 0.0, hedge_share: 0.0 },
        measuring: ProbePolicy { calls_per_second: 1, bytes_per_second: 1000, path: "/load".to_owned() },
        ranks: vec![rank("tight", 150, queue_limit), rank("wide", 1000, queue_limit)],
    }
}

/// A dispatcher with 10 targets of 4 slots, which serve each request in [`SERVICE_TIME`].
struct AccountFleet {
    now: Instant,
    dispatcher: ServiceDispatcher,
    running: BTreeMap<(Instant, RequestId), TargetKey>,
    requests: HashMap<RequestId, (AccountId, Instant)>,
    next_request: RequestId,
    on_time: HashMap<AccountId, u64>,
    refused: Vec<(RequestId, RefusalReason, Duration)>,
    starts: Vec<RequestId>,
}

impl AccountFleet {
    fn new(queue_limit: usize) -> Self {
        let settings =
            DispatchSettings { local_domain: "d".to_owned(), policy: PickPolicy::SlotCredit, seed: 1 };
        let mut fleet = Self {
            now: Instant::now(),
            dispatcher: ServiceDispatcher::new(Arc::new(document(queue_limit)), settings),
            running: BTreeMap::new(),
            requests: HashMap::new(),
            next_request: 1,
            on_time: HashMap::new(),
            refused: Vec::new(),
            starts: Vec::new(),
        };
        let spec = |index| TargetSpec {
            address: SocketAddr::from(([10, 0, 0, index], 80)),
            domain: "d".to_owned(),
            lifecycle: TargetLifecycle::Live,
            owned_slots: 4,
        };
        let specs: Vec<TargetSpec> = (1..=(SLOTS / 4) as u8).map(spec).collect();
        fleet.dispatcher.replace_targets(&specs, fleet.now, &mut Vec::new());
        // New targets take their full load after a while.
        fleet.run_load(&[(NO_ACCOUNT, 0.2 * CAPACITY)], Duration::from_secs(3));
        fleet.on_time.clear();
        fleet
    }

    fn submit(&mut self, rank: usize, account: AccountId) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        let deadline = self.now + self.dispatcher.document().ranks[rank].latency;
        self.requests.insert(request, (account, deadline));
        let new =
            NewRequest { request, rank, deadline, is_idempotent: true, is_retry_forbidden: true, account };
        let mut actions = Vec::new();
        self.dispatcher.submit(new, self.now, &mut actions);
        self.apply(actions);
        request
    }

    fn apply(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Start { request, target, .. } => {
                    self.starts.push(request);
                    self.running.insert((self.now + SERVICE_TIME, request), target);
                }
                DispatchAction::Refuse { request, reason, retry_after } => {
                    self.refused.push((request, reason, retry_after));
                }
                _ => {}
            }
        }
    }

    /// Advances the time by one step.
    fn run_step(&mut self) {
        let until = self.now + STEP;
        while let Some(entry) = self.running.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((end, request), target) = entry.remove_entry();
            self.now = end.max(self.now);
            let (account, deadline) = self.requests[&request];
            *self.on_time.entry(account).or_default() += u64::from(self.now <= deadline);
            let (metadata, mut actions) = (ResponseMetadata { report: None, is_error: false }, Vec::new());
            self.dispatcher.response_started(request, target, metadata, self.now, &mut actions);
            self.dispatcher.attempt_ended(request, target, self.now, &mut actions);
            self.apply(actions);
        }
        self.now = until;
        let mut actions = Vec::new();
        self.dispatcher.tick(self.now, &mut actions);
        self.apply(actions);
    }

    /// Submits evenly spaced requests of the second rank, at the given rate per second of each account.
    fn run_load(&mut self, load: &[(AccountId, f64)], time: Duration) {
        let end = self.now + time;
        let mut due = vec![0.0; load.len()];
        while self.now < end {
            for (index, (account, per_second)) in load.iter().enumerate() {
                due[index] += per_second * STEP.as_secs_f64();
                while due[index] >= 1.0 {
                    due[index] -= 1.0;
                    self.submit(1, *account);
                }
            }
            self.run_step();
        }
    }

    /// Occupies all slots with requests of an account.
    fn fill_slots(&mut self, account: AccountId) {
        while !self.running.is_empty() {
            self.run_step();
        }
        for _ in 0..SLOTS {
            self.submit(1, account);
        }
        assert_eq!(self.running.len(), SLOTS);
    }

    fn served_per_second(&self, account: AccountId, time: Duration) -> f64 {
        self.on_time.get(&account).copied().unwrap_or(0) as f64 / time.as_secs_f64()
    }
}

/// Load pattern: five accounts with 15 % of the capacity each; then one sends seven times its usual. The queue is slow in one case,
/// and full in the other.
#[test]
fn account_with_seven_times_its_usual_load_does_not_displace_the_others() {
    let (usual, time) = (0.15 * CAPACITY, Duration::from_secs(10));
    for queue_limit in [60, 5000] {
        let mut fleet = AccountFleet::new(queue_limit);
        let load: Vec<(AccountId, f64)> =
            (1..=5).map(|account| (account, if account == 1 { 7.0 * usual } else { usual })).collect();
        fleet.run_load(&load, Duration::from_secs(4));
        fleet.on_time.clear();
        fleet.run_load(&load, time);
        for account in 2..=5 {
            let served = fleet.served_per_second(account, time);
            assert!(
                served >= 0.99 * usual,
                "limit {queue_limit}: account {account} got {served:.1} of {usual:.1}"
            );
        }
        let served = fleet.served_per_second(1, time);
        assert!(
            served >= 0.35 * CAPACITY,
            "limit {queue_limit}: the large account got {served:.1} of what is left"
        );
    }
}

/// Load pattern: three accounts with limits of 100, 200 and 400 requests per second all send twice the capacity.
#[test]
fn accounts_share_by_their_limits() {
    let mut fleet = AccountFleet::new(5000);
    let limits = [(1, 100.0), (2, 200.0), (3, 400.0)];
    fleet.dispatcher.set_account_weights(Arc::new(AccountWeights::from_limits(limits)));
    let load = limits.map(|(account, _)| (account, 2.0 * CAPACITY));
    fleet.run_load(&load, Duration::from_secs(4));
    fleet.on_time.clear();
    let time = Duration::from_secs(10);
    fleet.run_load(&load, time);
    for (account, limit) in limits {
        let expected = CAPACITY * limit / 700.0;
        let served = fleet.served_per_second(account, time);
        assert!(
            (0.9..1.1).contains(&(served / expected)),
            "account {account}: {served:.1}, not {expected:.1}"
        );
    }
}

/// Load pattern: all slots are taken, and one account has filled the queue.
#[test]
fn newcomer_of_a_small_account_displaces_the_newest_request_of_the_largest() {
    let mut fleet = AccountFleet::new(20);
    fleet.fill_slots(1);
    let queued: Vec<RequestId> = (0..20).map(|_| fleet.submit(1, 1)).collect();
    let own = fleet.submit(1, 1);
    assert!(matches!(fleet.refused.pop(), Some((request, RefusalReason::QueueFull, _)) if request == own));
    let small = fleet.submit(1, 2);
    let (displaced, reason, retry_after) = fleet.refused.pop().expect("nothing was refused");
    assert_eq!((displaced, reason), (queued[19], RefusalReason::QueueFull));
    assert!(retry_after > Duration::ZERO);
    assert_eq!(fleet.dispatcher.queue_length(1), 20);
    fleet.starts.clear();
    while fleet.dispatcher.queue_length(1) > 0 {
        fleet.run_step();
    }
    assert!(fleet.starts[..2].contains(&small), "the small account waits behind the large one");
    let of_large: Vec<RequestId> = fleet.starts.iter().copied().filter(|request| *request != small).collect();
    assert_eq!(of_large, queued[..19], "within an account, first come, first served");
}

/// Load pattern: the wide rank has a long queue of one account; requests with a tight aim come in small bursts of another.
#[test]
fn tight_rank_keeps_its_order_before_all_accounts_of_the_next_one() {
    let mut fleet = AccountFleet::new(500);
    fleet.fill_slots(1);
    for _ in 0..100 {
        fleet.submit(1, 1);
    }
    let tight: Vec<RequestId> = (0..3).map(|_| fleet.submit(0, 2)).collect();
    fleet.starts.clear();
    while fleet.starts.is_empty() {
        fleet.run_step();
    }
    assert_eq!(fleet.starts[..3], tight);
}

fn queued(request: RequestId, account: AccountId) -> QueuedRequest {
    let now = Instant::now();
    QueuedRequest { request, account, deadline: now, queued_at: now, avoid: None, is_hedge: false }
}

#[test]
fn further_attempts_go_first() {
    let mut queue = RankQueue::default();
    for request in 0..10 {
        queue.push_back(queued(request, request % 3));
    }
    queue.push_front(queued(100, 2));
    assert_eq!(queue.count_before(7), 1 + 3, "the further attempt, and one request of each account");
    assert_eq!(queue.pop_front().map(|first| first.request), Some(100));
}

/// Load pattern: one account is served for long, and another one comes with a burst.
#[test]
fn time_without_requests_gives_no_claim() {
    let mut queue = RankQueue::default();
    for request in 0..200 {
        queue.push_back(queued(request, 1));
    }
    queue.push_back(queued(200, 2));
    for _ in 0..101 {
        queue.pop_front();
    }
    for request in 300..310 {
        queue.push_back(queued(request, 2));
    }
    let served = (0..10).filter_map(|_| queue.pop_front()).filter(|request| request.account == 2).count();
    assert!((4..=6).contains(&served), "{served} of 10 turns");
}

/// Load pattern: accounts share equally until a configuration states limits, which are far larger numbers.
#[test]
fn account_that_was_just_served_keeps_its_share_under_new_weights() {
    let mut queue = RankQueue::default();
    for request in 0..200 {
        queue.push_back(queued(request, request % 2));
    }
    queue.pop_front();
    queue.set_weights(Arc::new(AccountWeights::from_limits([(0, 100.0), (1, 100.0)])));
    let served = (0..20).filter_map(|_| queue.pop_front()).filter(|request| request.account == 0).count();
    assert_eq!(served, 10);
}

#[test]
fn refunded_request_costs_no_turn() {
    let mut queue = RankQueue::default();
    for request in 0..8 {
        queue.push_back(queued(request, request % 2));
    }
    let first = queue.pop_front().unwrap();
    queue.refund(&first);
    let next = (0..3).filter(|_| queue.pop_front().unwrap().account == first.account).count();
    assert_eq!(next, 2, "the account has lost its turn");
}

proptest! {
    /// Load pattern: up to six accounts with queues of random length and random weights; some requests are removed while they
    /// wait. While all have requests queued, what each has got is within one request of its share; all requests are
    /// served, those of one account in the order in which they came.
    #[test]
    fn shares_follow_weights_in_the_order_of_arrival(
        weights in prop::collection::vec(1u32..20, 1..6),
        arrivals in prop::collection::vec((0usize..6, any::<bool>()), 1..400),
    ) {
        let mut queue = RankQueue::default();
        let limits = weights.iter().enumerate().map(|(index, weight)| (index as AccountId, f64::from(*weight)));
        queue.set_weights(Arc::new(AccountWeights::from_limits(limits)));
        let mut left: HashMap<AccountId, Vec<RequestId>> = HashMap::new();
        for (request, (account, is_removed)) in arrivals.iter().enumerate() {
            let account = (account % weights.len()) as AccountId;
            let key = queue.push_back(queued(request as RequestId, account));
            if *is_removed && request % 3 == 0 {
                prop_assert!(queue.remove(key).is_some());
            } else {
                left.entry(account).or_default().push(request as RequestId);
            }
        }
        prop_assert_eq!(queue.len(), left.values().map(Vec::len).sum::<usize>());
        let accounts: Vec<AccountId> = left.keys().copied().collect();
        let mut turns: HashMap<AccountId, f64> = HashMap::new();
        while let Some(front) = queue.front().map(|front| front.request) {
            let next = queue.pop_front().unwrap();
            prop_assert_eq!(front, next.request);
            let are_all_waiting = left.values().all(|requests| !requests.is_empty());
            prop_assert_eq!(left.get_mut(&next.account).unwrap().remove(0), next.request);
            *turns.entry(next.account).or_default() += 1.0 / f64::from(weights[next.account as usize]);
            for other in accounts.iter().filter(|_| are_all_waiting) {
                let (own, others) = (turns[&next.account], turns.get(other).copied().unwrap_or(0.0));
                let unit = 1.0 / f64::from(weights[next.account as usize]);
                prop_assert!(own - others <= unit + 1e-9, "account {} is ahead of {other}", next.account);
            }
        }
        prop_assert!(left.values().all(Vec::is_empty) && queue.is_empty());
    }
}
