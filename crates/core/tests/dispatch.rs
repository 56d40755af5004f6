//! Tests of the dispatcher in virtual time, against simulated targets.

use proptest::prelude::*;
use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, FailureDecision, NewRequest, ResponseDecision,
    ResponseMetadata, ServiceDispatcher,
};
use sniperelay_core::document::{ProbePolicy, RankPolicy, RetryPolicy, RouteMatch, ServiceDocument};
use sniperelay_core::ids::{RequestId, TargetKey};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::reason::{RefusalReason, RetryReason};
use sniperelay_core::target::{LoadReport, TargetLifecycle, TargetSpec};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVICE_TIME: Duration = Duration::from_millis(60);
const OK_RESPONSE: ResponseMetadata = ResponseMetadata { report: None, is_error: false };

fn rank(name: &str, latency: u64, kept_share: f64) -> RankPolicy {
    RankPolicy {
        name: name.to_owned(),
        matches: vec![RouteMatch { method: "GET".to_owned(), path: format!("/{name}") }],
        worth: 1.0,
        latency: Duration::from_millis(latency),
        give_up: Duration::from_millis(latency * 4),
        on_time_share: 0.99,
        kept_share,
        idempotent: true,
        queue_limit: 500,
    }
}

fn document() -> ServiceDocument {
    ServiceDocument {
        name: "s".to_owned(),
        team: "t".to_owned(),
        slots_per_target: 4,
        connections_per_target: 100,
        home_count: 4,
        ramp: Duration::from_secs(1),
        retry: RetryPolicy { max_attempts: 2, retry_share: 0.1, hedge_share: 0.1 },
        measuring: ProbePolicy { calls_per_second: 1, bytes_per_second: 1000, path: "/load".to_owned() },
        ranks: vec![rank("urgent", 250, 0.5), rank("middle", 600, 0.25), rank("bulk", 3000, 0.1)],
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 80))
}

fn specs(count: usize, owned_slots: u32) -> Vec<TargetSpec> {
    let make = |index| TargetSpec {
        address: address(index),
        domain: "d".to_owned(),
        lifecycle: TargetLifecycle::Live,
        owned_slots,
    };
    (0..count).map(make).collect()
}

/// A dispatcher with simulated targets, each with its own service time.
struct SimulatedFleet {
    now: Instant,
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    /// Attempts in progress, ordered by completion time.
    running: BTreeMap<(Instant, RequestId, TargetKey), ()>,
    service_times: BTreeMap<SocketAddr, Duration>,
    failing: Vec<SocketAddr>,
    starts: BTreeMap<SocketAddr, u64>,
    served: [u64; 3],
    on_time: [u64; 3],
    ranks: BTreeMap<RequestId, (usize, Instant)>,
    refused: Vec<(RequestId, RefusalReason)>,
    failed: u64,
    retries: BTreeMap<&'static str, u64>,
    next_request: RequestId,
}

impl SimulatedFleet {
    fn new(document: ServiceDocument, targets: &[TargetSpec]) -> Self {
        let settings =
            DispatchSettings { local_domain: "d".to_owned(), policy: PickPolicy::SlotCredit, seed: 1 };
        let mut fleet = Self {
            now: Instant::now(),
            dispatcher: ServiceDispatcher::new(Arc::new(document), settings),
            actions: Vec::new(),
            running: BTreeMap::new(),
            service_times: BTreeMap::new(),
            failing: Vec::new(),
            starts: BTreeMap::new(),
            served: [0; 3],
            on_time: [0; 3],
            ranks: BTreeMap::new(),
            refused: Vec::new(),
            failed: 0,
            retries: BTreeMap::new(),
            next_request: 1,
        };
        fleet.dispatcher.replace_targets(targets, fleet.now, &mut fleet.actions);
        fleet
    }

    fn submit(&mut self, rank: usize) -> RequestId {
        self.submit_as(rank, true)
    }

    fn submit_as(&mut self, rank: usize, is_idempotent: bool) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        let deadline = self.now + self.dispatcher.document().ranks[rank].latency;
        self.ranks.insert(request, (rank, deadline));
        let new_request =
            NewRequest { request, rank, deadline, is_idempotent, is_retry_forbidden: false, account: 0 };
        self.dispatcher.submit(new_request, self.now, &mut self.actions);
        self.apply_actions();
        request
    }

    fn apply_actions(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.apply_action(action);
            }
        }
    }

    fn apply_action(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::Start { request, target, address, retry } => {
                *self.starts.entry(address).or_default() += 1;
                if let Some(reason) = retry {
                    *self.retries.entry(reason.as_str()).or_default() += 1;
                }
                if self.failing.contains(&address) {
                    let failure = AttemptFailure::ServerError;
                    let decision =
                        self.dispatcher.attempt_failed(request, target, failure, self.now, &mut self.actions);
                    self.failed += u64::from(decision == FailureDecision::Final);
                    return;
                }
                let time = self.service_times.get(&address).copied().unwrap_or(SERVICE_TIME);
                self.running.insert((self.now + time, request, target), ());
            }
            DispatchAction::Refuse { request, reason, .. } => self.refused.push((request, reason)),
            DispatchAction::CancelAttempt { request, target } => {
                self.running.retain(|key, ()| (key.1, key.2) != (request, target));
                self.dispatcher.attempt_ended(request, target, self.now, &mut self.actions);
            }
            DispatchAction::RequestSlots { .. } | DispatchAction::ReturnSlot { .. } => {}
        }
    }

    /// Advances the time to `until`, with a tick every 5 ms, and completes attempts in between.
    fn run_until(&mut self, until: Instant) {
        while self.now < until {
            let next_tick = self.now + Duration::from_millis(5);
            while let Some(((end, request, target), ())) =
                self.running.first_key_value().map(|(key, ())| (*key, ()))
            {
                if end > next_tick {
                    break;
                }
                self.running.pop_first();
                self.now = end.max(self.now);
                self.complete_attempt(request, target);
            }
            self.now = next_tick;
            self.dispatcher.tick(self.now, &mut self.actions);
            self.apply_actions();
        }
    }

    fn complete_attempt(&mut self, request: RequestId, target: TargetKey) {
        let decision =
            self.dispatcher.response_started(request, target, OK_RESPONSE, self.now, &mut self.actions);
        if decision == ResponseDecision::Deliver {
            let (rank, deadline) = self.ranks[&request];
            self.served[rank] += 1;
            self.on_time[rank] += u64::from(self.now <= deadline);
        }
        self.dispatcher.attempt_ended(request, target, self.now, &mut self.actions);
        self.apply_actions();
    }

    /// Submits evenly spaced requests for `time`, at the given rate per rank.
    fn run_load(&mut self, per_second: [f64; 3], time: Duration) {
        let end = self.now + time;
        let mut due = [0.0; 3];
        while self.now < end {
            for rank in 0..3 {
                due[rank] += per_second[rank] * 0.005;
                while due[rank] >= 1.0 {
                    due[rank] -= 1.0;
                    self.submit(rank);
                }
            }
            self.run_until(self.now + Duration::from_millis(5));
        }
    }
}

/// Each row: load of each rank, and minimum load of each rank that must be served on time; both as
/// shares of capacity.
const FLOOD_CASES: &[([f64; 3], [f64; 3])] = &[
    ([0.4, 0.3, 0.2], [0.39, 0.29, 0.19]),
    ([0.4, 0.3, 2.0], [0.39, 0.29, 0.10]),
    ([3.0, 0.3, 0.2], [0.50, 0.245, 0.098]),
    ([0.4, 3.0, 0.2], [0.39, 0.25, 0.098]),
    ([3.0, 0.3, 2.0], [0.50, 0.245, 0.098]),
    ([3.0, 3.0, 3.0], [0.50, 0.245, 0.098]),
    ([0.0, 0.0, 2.0], [0.0, 0.0, 0.95]),
];

#[test]
fn each_rank_gets_its_kept_share_when_any_rank_is_flooded() {
    let capacity = 40.0 / SERVICE_TIME.as_secs_f64();
    for (load, expected) in FLOOD_CASES {
        let mut fleet = SimulatedFleet::new(document(), &specs(10, 4));
        fleet.run_load(load.map(|share| share * capacity), Duration::from_secs(4));
        fleet.on_time = [0; 3];
        fleet.run_load(load.map(|share| share * capacity), Duration::from_secs(10));
        let served = fleet.on_time.map(|count| count as f64 / 10.0 / capacity);
        for rank in 0..3 {
            assert!(
                served[rank] >= expected[rank],
                "load {load:?}: served {served:.3?} on time, expected at least {expected:?}"
            );
        }
        assert!(
            served.iter().sum::<f64>() >= load.iter().sum::<f64>().min(0.93) - 0.03,
            "load {load:?}: served {served:.3?} on time"
        );
    }
}

#[test]
fn service_recovers_within_a_second_after_a_flood() {
    let capacity = 40.0 / SERVICE_TIME.as_secs_f64();
    let mut fleet = SimulatedFleet::new(document(), &specs(10, 4));
    fleet.run_load([3.0 * capacity, 0.3 * capacity, 3.0 * capacity], Duration::from_secs(5));
    fleet.run_load([0.4, 0.3, 0.1].map(|share| share * capacity), Duration::from_secs(1));
    fleet.on_time = [0; 3];
    fleet.run_load([0.4, 0.3, 0.1].map(|share| share * capacity), Duration::from_secs(5));
    let served = fleet.on_time[0] as f64 / 5.0 / capacity;
    assert!(served >= 0.4 * 0.999 - 0.002, "served {served:.4} of capacity on time, offered 0.4");
}

#[test]
fn new_backlog_without_owned_slots_is_not_refused() {
    let mut fleet = SimulatedFleet::new(document(), &specs(3, 0));
    (0..10).for_each(|_| _ = fleet.submit(0));
    assert_eq!(fleet.refused, [], "no request may be refused while a loan of slots may be on its way");
    let lender = 9;
    let loans = [address(0), address(0), address(1), address(2)];
    let now = fleet.now;
    fleet.dispatcher.receive_loans(lender, &loans, now, &mut fleet.actions);
    fleet.apply_actions();
    assert_eq!(fleet.running.len(), 4);
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_and_never_started() {
    let mut fleet = SimulatedFleet::new(document(), &specs(1, 4));
    (0..40).for_each(|_| _ = fleet.submit(0));
    fleet.run_until(fleet.now + Duration::from_millis(300));
    assert!(!fleet.refused.is_empty());
    let starts: u64 = fleet.starts.values().sum();
    let hedges: u64 = fleet.retries.values().sum();
    assert_eq!(starts - hedges + fleet.refused.len() as u64, 40);
    assert_eq!(fleet.dispatcher.queue_length(0), 0);
}

#[test]
fn unowned_targets_are_used_without_a_loan_only_while_owners_are_unresponsive() {
    // Each row: whether the lender responds (without lending anything), and the minimum and maximum
    // number of starts within half a second.
    for (is_responding, min_starts, max_starts) in [(true, 0, 0), (false, 12, 12)] {
        let mut fleet = SimulatedFleet::new(document(), &specs(3, 0));
        fleet.service_times = (0..3).map(|index| (address(index), Duration::from_secs(5))).collect();
        fleet.dispatcher.replace_lenders(&[9]);
        (0..20).for_each(|_| _ = fleet.submit(2));
        for _ in 0..100 {
            fleet.run_until(fleet.now + Duration::from_millis(5));
            if is_responding {
                let now = fleet.now;
                fleet.dispatcher.receive_loans(9, &[], now, &mut fleet.actions);
                fleet.apply_actions();
            }
        }
        let starts: u64 = fleet.starts.values().sum();
        assert!(
            (min_starts..=max_starts).contains(&starts),
            "lender responds: {is_responding}, {starts} starts"
        );
    }
}

/// Each row: failure, whether the request is idempotent, whether retries are forbidden here (because
/// the caller retries, for example), and whether a retry must follow.
const RETRY_RULES: &[(AttemptFailure, bool, bool, bool)] = &[
    (AttemptFailure::Connect, true, false, true),
    (AttemptFailure::Connect, false, false, true),
    (AttemptFailure::Refused, true, false, true),
    (AttemptFailure::Refused, false, false, true),
    (AttemptFailure::ConnectionLost, true, false, true),
    (AttemptFailure::ConnectionLost, false, false, false),
    (AttemptFailure::ServerError, true, false, true),
    (AttemptFailure::ServerError, false, false, false),
    (AttemptFailure::Connect, true, true, false),
    (AttemptFailure::ConnectionLost, true, true, false),
];

#[test]
fn only_safe_failures_are_retried_and_only_in_one_layer() {
    for (failure, is_idempotent, is_retry_forbidden, expected) in RETRY_RULES {
        let mut fleet = SimulatedFleet::new(document(), &specs(3, 4));
        // First attempts fill the retry budget.
        for _ in 0..20 {
            fleet.submit(0);
            fleet.run_until(fleet.now + SERVICE_TIME * 2);
        }
        let (now, deadline) = (fleet.now, fleet.now + Duration::from_millis(250));
        let new_request = NewRequest {
            request: 999,
            rank: 0,
            deadline,
            is_idempotent: *is_idempotent,
            is_retry_forbidden: *is_retry_forbidden,
            account: 0,
        };
        fleet.dispatcher.submit(new_request, now, &mut fleet.actions);
        let DispatchAction::Start { target, .. } = fleet.actions.remove(0) else {
            panic!("the attempt must start at once")
        };
        let decision = fleet.dispatcher.attempt_failed(999, target, *failure, now, &mut fleet.actions);
        let is_retry = decision == FailureDecision::Retried;
        assert_eq!(
            is_retry, *expected,
            "{failure:?}, idempotent: {is_idempotent}, retry forbidden: {is_retry_forbidden}"
        );
        if is_retry {
            let DispatchAction::Start { target: second, .. } = fleet.actions[0] else {
                panic!("the attempt must start at once")
            };
            assert_ne!(second, target, "a retry must go to another target");
            let second_decision =
                fleet.dispatcher.attempt_failed(999, second, *failure, now, &mut fleet.actions);
            assert_eq!(second_decision, FailureDecision::Final, "at most two attempts are allowed");
        }
    }
}

#[test]
fn retries_stay_within_budget_when_all_attempts_fail() {
    let mut fleet = SimulatedFleet::new(document(), &specs(10, 4));
    fleet.failing = (0..10).map(address).collect();
    fleet.run_load([200.0, 0.0, 0.0], Duration::from_secs(10));
    let retries: u64 = fleet.retries.values().sum();
    let first_attempts = fleet.next_request - 1;
    assert!(
        retries > 0 && retries as f64 <= first_attempts as f64 * 0.1,
        "{retries} retries for {first_attempts} first attempts"
    );
}

#[test]
fn fast_failing_target_does_not_attract_requests() {
    let mut fleet = SimulatedFleet::new(document(), &specs(10, 4));
    fleet.failing = vec![address(0)];
    fleet.run_load([300.0, 0.0, 0.0], Duration::from_secs(10));
    let failing = fleet.starts[&address(0)];
    let total: u64 = fleet.starts.values().sum();
    assert!(failing * 50 <= total, "{failing} of {total} starts went to the failing target");
}

#[test]
fn stragglers_are_hedged_and_avoided() {
    let mut fleet = SimulatedFleet::new(document(), &specs(10, 4));
    fleet.run_load([300.0, 0.0, 0.0], Duration::from_secs(3));
    fleet.service_times.insert(address(0), SERVICE_TIME * 10);
    fleet.starts.clear();
    fleet.on_time = [0; 3];
    fleet.run_load([300.0, 0.0, 0.0], Duration::from_secs(10));
    let slow = fleet.starts[&address(0)];
    assert!(slow <= 300, "{slow} of 3000 starts went to the straggler");
    assert!(fleet.retries.get("hedge").copied().unwrap_or(0) > 0);
    assert!(fleet.on_time[0] >= 2970, "{} of 3000 requests on time", fleet.on_time[0]);
}

/// At 70 % of capacity, three of 20 targets are ten times slower for 200 ms, then three others, and
/// so on. Guards against late urgent requests when the set of slow targets changes quickly.
#[test]
fn urgent_requests_are_on_time_while_stragglers_change() {
    let capacity = 80.0 / SERVICE_TIME.as_secs_f64();
    let load = [0.31, 0.23, 0.16].map(|share| share * capacity);
    let mut document = document();
    document.retry.max_attempts = 3;
    let mut fleet = SimulatedFleet::new(document, &specs(20, 4));
    fleet.run_load(load, Duration::from_secs(3));
    for round in 0..50 {
        fleet.service_times.clear();
        for slow in 0..3 {
            fleet.service_times.insert(address((round * 7 + slow * 5) % 20), SERVICE_TIME * 10);
        }
        fleet.run_load(load, Duration::from_millis(200));
    }
    fleet.run_until(fleet.now + SERVICE_TIME * 10);
    let share = fleet.on_time[0] as f64 / fleet.served[0] as f64;
    assert!(share >= 0.999, "share of urgent requests on time: {share:.4}");
}

#[test]
fn non_idempotent_requests_are_never_hedged() {
    let mut fleet = SimulatedFleet::new(document(), &specs(10, 4));
    fleet.run_load([300.0, 0.0, 0.0], Duration::from_secs(2));
    fleet.retries.clear();
    (0..10).for_each(|index| _ = fleet.service_times.insert(address(index), SERVICE_TIME * 20));
    (0..40).for_each(|_| _ = fleet.submit_as(0, false));
    fleet.run_until(fleet.now + SERVICE_TIME * 30);
    assert_eq!(fleet.retries.get(RetryReason::Hedge.as_str()), None);
}

#[test]
fn leaving_target_gets_no_new_requests_and_none_are_refused() {
    let mut fleet = SimulatedFleet::new(document(), &specs(4, 4));
    (0..16).for_each(|_| _ = fleet.submit(0));
    fleet.dispatcher.mark_leaving(address(0));
    let before = fleet.starts[&address(0)];
    fleet.run_load([100.0, 0.0, 0.0], Duration::from_secs(2));
    assert_eq!(fleet.starts[&address(0)], before);
    assert_eq!(fleet.refused, []);
}

#[test]
fn new_target_is_ramped_up_gradually() {
    let mut fleet = SimulatedFleet::new(document(), &specs(4, 4));
    fleet.run_load([100.0, 0.0, 0.0], Duration::from_secs(1));
    let now = fleet.now;
    fleet.dispatcher.replace_targets(&specs(5, 4), now, &mut fleet.actions);
    (0..40).for_each(|_| _ = fleet.submit(1));
    let key = fleet.dispatcher.targets().find(address(4)).unwrap();
    assert_eq!(
        fleet.dispatcher.targets().get(key).unwrap().in_flight,
        1,
        "a new target must start with one request"
    );
    fleet.run_load([200.0, 0.0, 0.0], Duration::from_secs(5));
    assert_eq!(fleet.dispatcher.targets().get(key).unwrap().limit(), 4);
}

#[test]
fn lent_slots_are_reclaimed_on_return_or_expiry() {
    let mut fleet = SimulatedFleet::new(document(), &specs(2, 4));
    let now = fleet.now;
    let lent = fleet.dispatcher.lend_slots(3, now);
    assert_eq!(lent.len(), 3);
    assert_eq!(fleet.dispatcher.targets().usable_slots(), 5);
    fleet.dispatcher.loan_returned(lent[0], now, &mut fleet.actions);
    assert_eq!(fleet.dispatcher.targets().usable_slots(), 6);
    fleet.run_until(now + Duration::from_millis(150));
    assert_eq!(fleet.dispatcher.targets().usable_slots(), 8);
    (0..9).for_each(|_| _ = fleet.submit(0));
    assert_eq!(
        fleet.dispatcher.lend_slots(3, fleet.now),
        [],
        "no slot may be lent while requests are queued"
    );
}

#[test]
fn document_can_be_replaced_while_requests_are_queued_and_in_flight() {
    let mut fleet = SimulatedFleet::new(document(), &specs(1, 4));
    (0..3).for_each(|rank| (0..4).for_each(|_| _ = fleet.submit(rank)));
    let mut smaller_document = document();
    smaller_document.ranks.truncate(2);
    let now = fleet.now;
    fleet.dispatcher.replace_document(Arc::new(smaller_document), now);
    fleet.ranks.values_mut().for_each(|(rank, _)| *rank = (*rank).min(1));
    fleet.run_until(now + Duration::from_secs(4));
    assert!(fleet.dispatcher.is_idle(), "requests were neither served nor refused");
    assert_eq!(fleet.served.iter().sum::<u64>() + fleet.refused.len() as u64, 12);
}

#[derive(Debug, Clone)]
enum FleetStep {
    Submit(usize, bool),
    Run(u8),
    Fail(usize),
    Recover(usize),
    Slow(usize),
    Leave(usize),
    Cancel(u8),
    Lend,
}

fn fleet_step() -> impl Strategy<Value = FleetStep> {
    prop_oneof![
        6 => (0usize..3, any::<bool>()).prop_map(|(rank, idempotent)| FleetStep::Submit(rank, idempotent)),
        4 => (1u8..20).prop_map(FleetStep::Run),
        1 => (0usize..4).prop_map(FleetStep::Fail),
        1 => (0usize..4).prop_map(FleetStep::Recover),
        1 => (0usize..4).prop_map(FleetStep::Slow),
        1 => (0usize..4).prop_map(FleetStep::Leave),
        1 => (0u8..50).prop_map(FleetStep::Cancel),
        1 => Just(FleetStep::Lend),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Under any sequence of steps, every request ends exactly once and no slot leaks.
    #[test]
    fn requests_and_slots_are_conserved(steps in prop::collection::vec(fleet_step(), 1..120)) {
        let mut fleet = SimulatedFleet::new(document(), &specs(4, 4));
        let mut cancelled = 0;
        for step in steps {
            match step {
                FleetStep::Submit(rank, idempotent) => _ = fleet.submit_as(rank, idempotent),
                FleetStep::Run(millis) => fleet.run_until(fleet.now + Duration::from_millis(u64::from(millis) * 5)),
                FleetStep::Fail(index) => fleet.failing.push(address(index)),
                FleetStep::Recover(index) => {
                    fleet.failing.retain(|failing| *failing != address(index));
                    fleet.service_times.remove(&address(index));
                }
                FleetStep::Slow(index) => _ = fleet.service_times.insert(address(index), SERVICE_TIME * 8),
                FleetStep::Leave(index) => fleet.dispatcher.mark_leaving(address(index)),
                FleetStep::Cancel(request) => {
                    let has_attempt = fleet.running.keys().any(|key| key.1 == u64::from(request));
                    cancelled += u64::from(fleet.dispatcher.cancel_queued(u64::from(request)) && !has_attempt);
                }
                FleetStep::Lend => drop(fleet.dispatcher.lend_slots(2, fleet.now)),
            }
        }
        fleet.run_until(fleet.now + Duration::from_secs(15));
        prop_assert!(fleet.dispatcher.is_idle());
        let in_flight: u32 = fleet.dispatcher.targets().iter().map(|(_, target)| target.in_flight).sum();
        prop_assert_eq!(in_flight, 0);
        let ended = fleet.served.iter().sum::<u64>() + fleet.refused.len() as u64 + fleet.failed + cancelled;
        prop_assert_eq!(ended, fleet.next_request - 1, "number of ended requests differs from number of submitted requests");
    }
}

/// Valid heads with broken bodies do not alternate between success and failure: a target that never
/// completes a body is ejected like one that fails, for longer each time.
#[test]
fn target_whose_bodies_break_off_is_ejected_until_one_is_complete() {
    let mut fleet = SimulatedFleet::new(document(), &specs(6, 4));
    let targets = |fleet: &SimulatedFleet| {
        let table = fleet.dispatcher.targets();
        let key = table.find(address(0)).unwrap();
        (key, table.get(key).unwrap().is_ejected())
    };
    let (key, _) = targets(&fleet);
    let now = fleet.now;
    for _ in 0..2 {
        fleet.dispatcher.record_broken_body(key, now);
    }
    fleet.dispatcher.record_complete_body(key);
    for broken in 1..=3 {
        assert!(!targets(&fleet).1, "ejected after {} broken bodies in a row", broken - 1);
        fleet.dispatcher.record_broken_body(key, now);
    }
    assert!(targets(&fleet).1);
    // The first ejection lasts 200 ms, the next one twice as long.
    let mut actions = Vec::new();
    fleet.dispatcher.tick(now + Duration::from_millis(201), &mut actions);
    assert!(!targets(&fleet).1);
    fleet.dispatcher.record_broken_body(key, now + Duration::from_millis(201));
    assert!(targets(&fleet).1);
    fleet.dispatcher.tick(now + Duration::from_millis(402), &mut actions);
    assert!(targets(&fleet).1, "the second ejection was not longer");
}

/// An entry VM that owns no slots of a target and has borrowed one while its owner uses the others, as a VM
/// does whose planned stop has begun while callers still come.
#[test]
fn borrowed_slot_is_usable_while_the_owner_uses_the_others() {
    // Each row: requests that the target reports beside those of this entry VM, and whether the one
    // borrowed slot may be used.
    for (foreign, is_usable) in [(0, true), (2, true), (3, true), (4, false)] {
        let mut fleet = SimulatedFleet::new(document(), &specs(1, 0));
        let now = fleet.now;
        let mut actions = Vec::new();
        let request = fleet.submit(0);
        fleet.dispatcher.receive_loans(9, &[address(0)], now, &mut actions);
        let key = fleet.dispatcher.targets().find(address(0)).unwrap();
        let report = LoadReport { busy: foreign + 1, queued: 0 };
        let metadata = ResponseMetadata { report: Some(report), is_error: false };
        fleet.dispatcher.response_started(request, key, metadata, now, &mut actions);
        // The next request arrives before the slot is free again, so that the loan is kept.
        let next = fleet.submit(0);
        actions.clear();
        fleet.dispatcher.attempt_ended(request, key, now, &mut actions);
        let is_started = actions
            .iter()
            .any(|action| matches!(action, DispatchAction::Start { request, .. } if *request == next));
        assert_eq!(is_started, is_usable, "{foreign} requests from other entry VMs");
    }
}

#[test]
fn larger_slot_count_is_used_without_waiting_for_another_change() {
    let mut fleet = SimulatedFleet::new(document(), &specs(1, 4));
    let now = fleet.now;
    fleet.dispatcher.replace_targets(&specs(2, 4), now, &mut fleet.actions);
    // The first target is full, and the new one has its first request.
    (0..6).for_each(|_| _ = fleet.submit(0));
    let key = fleet.dispatcher.targets().find(address(1)).unwrap();
    let in_flight = |fleet: &SimulatedFleet| fleet.dispatcher.targets().get(key).unwrap().in_flight;
    assert_eq!(in_flight(&fleet), 1);
    let larger = ServiceDocument { slots_per_target: 5, ..document() };
    fleet.dispatcher.replace_document(Arc::new(larger), now);
    fleet.submit(0);
    assert!(in_flight(&fleet) > 1, "the free slots of the new target were not used");
}

#[test]
fn removed_rank_does_not_change_the_estimates_of_the_rank_that_takes_its_queue() {
    let mut fleet = SimulatedFleet::new(document(), &specs(1, 4));
    // Responses of the rank that stays take 10 ms, those of the removed one 5 s.
    for (rank, service_time) in [(1, Duration::from_millis(10)), (2, Duration::from_secs(5))] {
        fleet.service_times = BTreeMap::from([(address(0), service_time)]);
        for _ in 0..40 {
            fleet.submit(rank);
            fleet.run_until(fleet.now + service_time + Duration::from_millis(10));
        }
    }
    fleet.refused.clear();
    let mut shorter = document();
    shorter.ranks.remove(2);
    fleet.dispatcher.replace_document(Arc::new(shorter), fleet.now);
    (0..20).for_each(|_| _ = fleet.submit(1));
    fleet.run_until(fleet.now + Duration::from_millis(20));
    assert_eq!(fleet.refused, [], "600 ms are enough for responses that take 10 ms");
}

/// Load pattern: a target is added under a load whose responses alone would end the ramp-up in a fraction of
/// the time that the document sets for it.
#[test]
fn ramp_up_takes_at_least_the_time_that_the_document_sets() {
    for ramp_ms in [0, 1000, 4000] {
        let ramp = Duration::from_millis(ramp_ms);
        let mut fleet = SimulatedFleet::new(ServiceDocument { ramp, ..document() }, &specs(4, 4));
        fleet.service_times = (0..5).map(|index| (address(index), Duration::from_millis(10))).collect();
        fleet.run_load([600.0, 0.0, 0.0], Duration::from_secs(1));
        let now = fleet.now;
        fleet.dispatcher.replace_targets(&specs(5, 4), now, &mut fleet.actions);
        let key = fleet.dispatcher.targets().find(address(4)).unwrap();
        let limit = |fleet: &SimulatedFleet| fleet.dispatcher.targets().get(key).unwrap().limit();
        let is_full_at_half = {
            fleet.run_load([600.0, 0.0, 0.0], (ramp / 2).max(Duration::from_millis(500)));
            limit(&fleet) == 4
        };
        assert_eq!(is_full_at_half, ramp_ms == 0, "{ramp_ms} ms");
        fleet.run_load([600.0, 0.0, 0.0], ramp / 2 + Duration::from_secs(1));
        assert_eq!(limit(&fleet), 4, "{ramp_ms} ms");
    }
}

/// An entry VM without slots of its own waits for a loan: no response has arrived, or the lenders had nothing to
/// lend just now. The rate at which requests left the queue says nothing then.
#[test]
fn late_loan_is_no_reason_to_refuse_requests() {
    // Each row: time since the first request was queued, whether a new request is refused.
    for (waiting_ms, is_refused) in [(20, false), (40, false), (90, false), (150, true)] {
        for has_empty_response in [false, true] {
            let mut fleet = SimulatedFleet::new(document(), &specs(3, 0));
            fleet.dispatcher.replace_lenders(&[9]);
            (0..4).for_each(|_| _ = fleet.submit(0));
            fleet.now += Duration::from_millis(waiting_ms);
            if has_empty_response {
                let now = fleet.now;
                fleet.dispatcher.receive_loans(9, &[], now, &mut fleet.actions);
            }
            fleet.submit(0);
            assert_eq!(!fleet.refused.is_empty(), is_refused, "{waiting_ms} ms, {has_empty_response}");
        }
    }
}
