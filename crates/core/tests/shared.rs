//! Tests of shared slots in virtual time: targets report their load and speed, without a network.

use sniperelay_core::budget::AttemptBudget;
use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, FailureDecision, NewRequest, ResponseMetadata,
    ServiceDispatcher,
};
use sniperelay_core::ids::{RequestId, TargetKey};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::reason::{RefusalReason, RetryReason};
use sniperelay_core::route::{
    CallerLimits, RouteConfig, RouteSpec, RouteTable, ServiceSpec, WeightedService,
};
use sniperelay_core::target::{SharedReport, SharedTarget, TargetLifecycle, TargetSpec};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const USUAL_LATENCY: Duration = Duration::from_millis(80);
const OK_RESPONSE: ResponseMetadata = ResponseMetadata { report: None, is_error: false };

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 80))
}

fn target(index: usize, instance: &str) -> SharedTarget {
    let spec = TargetSpec {
        address: address(index),
        domain: if index.is_multiple_of(2) { "near".to_owned() } else { "far".to_owned() },
        lifecycle: TargetLifecycle::Live,
        owned_slots: 4,
    };
    SharedTarget { spec, instance: instance.to_owned(), warm_up: Duration::ZERO, cold_limit: None }
}

fn route(name: &str, prefix: &str, weights: &[(&str, u32)], priority: u32) -> RouteSpec {
    let weighted_service =
        |(service, weight): &(&str, u32)| WeightedService { service: (*service).to_owned(), weight: *weight };
    RouteSpec {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        weighted_services: weights.iter().map(weighted_service).collect(),
        is_idempotent: priority == 0,
        timeout: millis(1000),
        latency: millis(250),
        max_attempts: 2,
        priority,
        is_public: false,
    }
}

fn config(routes: Vec<RouteSpec>) -> RouteConfig {
    let service = |name: &str| ServiceSpec {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 100,
        warm_up: None,
    };
    RouteConfig {
        version: 1,
        routes,
        services: vec![service("s"), service("t")],
        limits: CallerLimits {
            header_bytes: 1000,
            body_bytes: 1000,
            header_timeout: millis(1000),
            idle_timeout: millis(1000),
        },
        accounts: None,
    }
}

struct Fleet {
    now: Instant,
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    last_request: RequestId,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self::without_responses(count);
        fleet.learn_usual_latency();
        fleet
    }

    fn without_responses(count: usize) -> Self {
        let routes = vec![route("r", "/r/", &[("s", 1)], 0), route("c", "/c/", &[("s", 1)], 1)];
        let table = RouteTable::build(&config(routes), 0);
        let settings =
            DispatchSettings { local_domain: "near".to_owned(), policy: PickPolicy::SharedSlots, seed: 1 };
        let dispatcher = ServiceDispatcher::new(Arc::new(table.documents()[0].clone()), settings);
        let mut fleet = Self { now: Instant::now(), dispatcher, actions: Vec::new(), last_request: 1 };
        let targets: Vec<SharedTarget> =
            (0..count).map(|index| target(index, &format!("i{index}"))).collect();
        fleet.dispatcher.replace_shared_targets(&targets, fleet.now, &mut fleet.actions);
        fleet
    }

    /// Lets the dispatcher learn the usual latency of rank 0.
    fn learn_usual_latency(&mut self) {
        for _ in 0..60 {
            let (request, key, _) = self.start(0);
            self.advance(USUAL_LATENCY, 1.0);
            self.complete(request, key);
        }
    }

    fn key(&self, index: usize) -> TargetKey {
        self.dispatcher.targets().find(address(index)).unwrap()
    }

    fn report(&mut self, index: usize, occupied: u32, slowdown: f64) {
        let own = self.dispatcher.targets().get(self.key(index)).unwrap().in_flight;
        let report = SharedReport { occupied: occupied + own, own, slowdown };
        self.dispatcher.record_report(self.key(index), report, self.now, &mut self.actions);
    }

    /// Advances the time while all targets report the given slowdown every 50 ms.
    fn advance(&mut self, time: Duration, slowdown: f64) {
        let end = self.now + time;
        while self.now < end {
            self.report_all(slowdown);
            self.now = (self.now + millis(50)).min(end);
        }
        self.report_all(slowdown);
        self.dispatcher.tick(self.now, &mut self.actions);
    }

    fn report_all(&mut self, slowdown: f64) {
        for index in 0..self.dispatcher.targets().len() {
            self.report(index, 0, slowdown);
        }
    }

    fn submit(&mut self, rank: usize) -> RequestId {
        self.last_request += 1;
        let request = NewRequest {
            request: self.last_request,
            rank,
            deadline: self.now + millis(250),
            is_idempotent: rank == 0,
            is_retry_forbidden: false,
            account: 0,
        };
        self.dispatcher.submit(request, self.now, &mut self.actions);
        self.last_request
    }

    fn start(&mut self, rank: usize) -> (RequestId, TargetKey, SocketAddr) {
        let request = self.submit(rank);
        let started = self.take_starts();
        let (_, key, address, _) =
            *started.iter().find(|start| start.0 == request).expect("the request must start at once");
        (request, key, address)
    }

    fn take_starts(&mut self) -> Vec<(RequestId, TargetKey, SocketAddr, Option<RetryReason>)> {
        let starts = std::mem::take(&mut self.actions).into_iter().filter_map(|action| match action {
            DispatchAction::Start { request, target, address, retry } => {
                Some((request, target, address, retry))
            }
            _ => None,
        });
        starts.collect()
    }

    fn complete(&mut self, request: RequestId, key: TargetKey) {
        self.dispatcher.response_started(request, key, OK_RESPONSE, self.now, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            if let DispatchAction::CancelAttempt { request, target } = action {
                self.dispatcher.attempt_ended(request, target, self.now, &mut self.actions);
            }
        }
        self.dispatcher.attempt_ended(request, key, self.now, &mut self.actions);
        self.actions.clear();
    }
}

/// All targets but one are four times slower, and the fast one changes. Guards against requests
/// being sent to a target that is slow at the moment.
#[test]
fn requests_go_to_currently_fast_targets() {
    let mut fleet = Fleet::new(6);
    for slow in 0..6 {
        fleet.report_all(4.0);
        fleet.report(slow, 0, 1.0);
        for _ in 0..3 {
            let (_, _, address) = fleet.start(0);
            assert_eq!(address, self::address(slow));
        }
        fleet.advance(millis(400), 1.0);
    }
}

/// All free targets are slow, but the request has time to wait for a faster one. Guards against a
/// start at a target where the deadline would be missed.
#[test]
fn request_waits_for_a_fast_target_while_time_allows() {
    let mut fleet = Fleet::new(2);
    fleet.report_all(4.0);
    let request = fleet.submit(0);
    assert!(fleet.take_starts().is_empty(), "320 ms of work cannot meet a deadline of 250 ms");
    fleet.now += millis(60);
    fleet.report(1, 0, 1.0);
    let started = fleet.take_starts();
    assert_eq!((started[0].0, started[0].2), (request, address(1)));
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut fleet = Fleet::new(2);
    fleet.report_all(40.0);
    let request = fleet.submit(0);
    fleet.now += millis(180);
    fleet.dispatcher.tick(fleet.now, &mut fleet.actions);
    let refused = fleet.actions.iter().any(|action| {
        matches!(action, DispatchAction::Refuse { request: refused, reason: RefusalReason::DeadlineUnreachable, .. } if *refused == request)
    });
    assert!(refused, "the request must be refused: {:?}", fleet.actions);
}

/// Other entry VMs fill a fast target. Guards against requests being sent to occupied slots.
#[test]
fn slots_used_by_others_stay_occupied_until_a_report_frees_them() {
    let mut fleet = Fleet::new(2);
    fleet.report(0, 4, 1.0);
    fleet.report(1, 0, 1.0);
    let addresses: Vec<SocketAddr> = (0..4).map(|_| fleet.start(0).2).collect();
    assert!(
        addresses.iter().all(|address| *address == self::address(1)),
        "all requests must start at the free target: {addresses:?}"
    );
    fleet.submit(0);
    assert!(fleet.take_starts().is_empty(), "no request may start while both targets are full");
    fleet.report(0, 3, 1.0);
    assert_eq!(fleet.take_starts().len(), 1);
}

/// The speed of a target changes during a request. Guards against the longer latency being recorded
/// as if the target were slower than its peers.
#[test]
fn speed_change_during_a_request_is_not_recorded_as_slowness() {
    let mut fleet = Fleet::new(2);
    for _ in 0..20 {
        let (request, key, _) = fleet.start(0);
        fleet.advance(millis(160), 4.0);
        fleet.advance(millis(40), 1.0);
        fleet.complete(request, key);
    }
    for (_, target) in fleet.dispatcher.targets().iter() {
        assert!(
            (0.7..1.3).contains(&target.relative_latency),
            "relative latency {}",
            target.relative_latency
        );
        assert!(!target.is_suspended());
    }
}

/// A target was slow for a while, and the other target can carry the load alone. Guards against the
/// first one never being used again.
#[test]
fn formerly_slow_target_is_tried_again() {
    let mut fleet = Fleet::new(2);
    let slow = fleet.key(0);
    for _ in 0..8 {
        let (request, key, _) = fleet.start(0);
        fleet.advance(if key == slow { 3 * USUAL_LATENCY } else { USUAL_LATENCY }, 1.0);
        fleet.complete(request, key);
    }
    let latency_ratio = fleet.dispatcher.targets().get(slow).unwrap().relative_latency;
    assert!(latency_ratio > 1.2, "relative latency {latency_ratio}");
    let mut starts_at_slow = 0;
    for _ in 0..60 {
        let (request, key, _) = fleet.start(0);
        starts_at_slow += usize::from(key == slow);
        fleet.advance(USUAL_LATENCY, 1.0);
        fleet.complete(request, key);
    }
    assert!(
        starts_at_slow >= 2,
        "{starts_at_slow} of 60 starts in 4.8 s, although relative latency decays with a time constant of 2 s"
    );
}

/// A target becomes slow during a request while another one is fast. Guards against the request
/// waiting for the slow target until it is late.
#[test]
fn request_that_will_be_late_at_its_target_is_hedged() {
    let mut fleet = Fleet::new(2);
    fleet.dispatcher.set_attempt_budget_capacity(10.0);
    fleet.learn_usual_latency();
    let (request, _, first) = fleet.start(0);
    let index = usize::from(first == address(1));
    fleet.now += millis(20);
    fleet.report(index, 0, 4.0);
    fleet.report(1 - index, 0, 1.0);
    fleet.dispatcher.tick(fleet.now, &mut fleet.actions);
    let started = fleet.take_starts();
    assert_eq!(started.len(), 1, "the remaining 60 ms of work take 240 ms, but only 230 ms are left");
    assert_eq!(
        (started[0].0, started[0].2, started[0].3),
        (request, address(1 - index), Some(RetryReason::Hedge))
    );
}

#[test]
fn non_idempotent_request_gets_no_second_attempt() {
    let mut fleet = Fleet::new(2);
    fleet.dispatcher.set_attempt_budget_capacity(10.0);
    fleet.learn_usual_latency();
    let (request, key, _) = fleet.start(1);
    fleet.report_all(4.0);
    fleet.now += millis(100);
    fleet.dispatcher.tick(fleet.now, &mut fleet.actions);
    assert!(fleet.take_starts().is_empty());
    let decision = fleet.dispatcher.attempt_failed(
        request,
        key,
        AttemptFailure::ConnectionLost,
        fleet.now,
        &mut fleet.actions,
    );
    assert_eq!(decision, FailureDecision::Final);
}

#[test]
fn new_instance_at_the_same_address_is_a_new_target() {
    let mut fleet = Fleet::new(1);
    let (_, old, _) = fleet.start(0);
    fleet.dispatcher.replace_shared_targets(&[target(0, "next")], fleet.now, &mut fleet.actions);
    let (_, new, _) = fleet.start(0);
    assert_ne!(old, new);
    let targets = fleet.dispatcher.targets();
    assert_eq!(targets.get(old).unwrap().lifecycle, TargetLifecycle::Leaving);
    assert_eq!(
        (targets.get(new).unwrap().instance.as_str(), targets.get(new).unwrap().in_flight),
        ("next", 1)
    );
}

#[test]
fn targets_are_probed_only_for_outdated_reports_and_while_requests_arrive() {
    let mut fleet = Fleet::new(3);
    fleet.dispatcher.set_max_report_age(Some(millis(100)));
    fleet.report_all(1.0);
    fleet.submit(0);
    assert!(fleet.dispatcher.take_targets_to_probe(fleet.now).is_empty(), "all reports are recent");
    fleet.now += millis(120);
    assert_eq!(fleet.dispatcher.take_targets_to_probe(fleet.now).len(), 3);
    assert!(
        fleet.dispatcher.take_targets_to_probe(fleet.now).is_empty(),
        "all targets have been probed already"
    );
    fleet.now += millis(1000);
    assert!(fleet.dispatcher.take_targets_to_probe(fleet.now).is_empty(), "there was no recent request");
    fleet.dispatcher.set_max_report_age(None);
    fleet.submit(0);
    assert!(
        fleet.dispatcher.take_targets_to_probe(fleet.now).is_empty(),
        "an entry VM that is not a home must not probe"
    );
}

/// A target becomes slow just after a request was sent to it, and no other response reports this.
/// Guards against the slowdown going unnoticed until the next regular probe.
#[test]
fn target_of_an_overdue_request_is_probed_at_once() {
    let mut fleet = Fleet::new(2);
    fleet.dispatcher.set_attempt_budget_capacity(10.0);
    fleet.dispatcher.set_max_report_age(Some(millis(150)));
    fleet.report_all(1.0);
    let (request, key, at) = fleet.start(0);
    let index = usize::from(at != address(0));
    fleet.now += millis(80);
    assert!(fleet.dispatcher.take_targets_to_probe(fleet.now).is_empty(), "the attempt is not overdue yet");
    fleet.now += millis(12);
    let probed = fleet.dispatcher.take_targets_to_probe(fleet.now);
    assert_eq!(probed, vec![(key, at)]);
    fleet.report(index, 0, 8.0);
    fleet.report(1 - index, 0, 1.0);
    fleet.dispatcher.tick(fleet.now, &mut fleet.actions);
    let started = fleet.take_starts();
    assert_eq!(started.len(), 1, "the request must be hedged");
    assert_eq!((started[0].0, started[0].3), (request, Some(RetryReason::Hedge)));
    let (non_idempotent, _, _) = fleet.start(1);
    fleet.now += millis(100);
    fleet.report_all(1.0);
    fleet.now += millis(45);
    assert!(
        fleet.dispatcher.take_targets_to_probe(fleet.now).is_empty(),
        "request {non_idempotent} is not idempotent"
    );
}

/// There are more requests than slots. Guards against hedges on mere suspicion, which would take
/// the slots of queued requests.
#[test]
fn suspected_targets_are_not_probed_or_hedged_while_requests_wait() {
    let mut fleet = Fleet::new(2);
    fleet.dispatcher.set_attempt_budget_capacity(10.0);
    fleet.dispatcher.set_max_report_age(Some(millis(150)));
    fleet.report_all(1.0);
    for _ in 0..12 {
        fleet.submit(0);
    }
    let started = fleet.take_starts().len();
    assert!(started > 0 && started < 12, "{started} of 12 requests started");
    fleet.now += millis(92);
    assert!(fleet.dispatcher.take_targets_to_probe(fleet.now).is_empty());
    fleet.dispatcher.tick(fleet.now, &mut fleet.actions);
    assert!(fleet.take_starts().iter().all(|start| start.3.is_none()));
}

/// The bound is a fifth of the requests plus the capacity of each budget, over all entry VMs.
#[test]
fn further_attempts_stay_within_share_and_capacity_in_every_window() {
    let (share, capacity, entry_vms) = (0.18, 4.0, 13);
    let mut budgets: Vec<AttemptBudget> = (0..entry_vms).map(|_| AttemptBudget::new(share)).collect();
    budgets.iter_mut().for_each(|budget| budget.set_capacity(capacity));
    let mut taken = 0u32;
    for request in 0..10_000u32 {
        let budget = &mut budgets[(request % entry_vms) as usize];
        budget.record_first_attempt();
        // All attempts fail, in bursts after quiet periods.
        if request % 1000 > 500 {
            while budget.try_take() {
                taken += 1;
            }
        }
        let first = f64::from(request + 1);
        assert!(
            f64::from(taken) <= 0.2 * first + capacity * f64::from(entry_vms),
            "{taken} further attempts after {first} first attempts"
        );
    }
}

#[test]
fn hedges_leave_half_of_the_capacity_to_retries() {
    let mut budget = AttemptBudget::new(1.0);
    budget.set_capacity(8.0);
    (0..20).for_each(|_| budget.record_first_attempt());
    let hedges = (0..20).filter(|_| budget.try_take_keeping_half()).count();
    let retries = (0..20).filter(|_| budget.try_take()).count();
    assert_eq!((hedges, retries), (4, 4));
}

#[test]
fn longest_matching_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "/a/", &[("s", 1)], 0),
        route("long", "/a/b/", &[("t", 1)], 0),
        route("root", "/", &[("t", 1)], 0),
    ];
    let table = RouteTable::build(&config(routes), 0);
    let find = |host, path| table.find(host, path).map(|route| route.spec().name.as_str());
    assert_eq!(find("h", "/a/b/c"), Some("long"));
    assert_eq!(find("h", "/a/bc"), Some("short"));
    assert_eq!(find("h", "/x"), Some("root"));
    assert_eq!(find("other", "/a/"), None);
}

#[test]
fn weighted_services_get_their_share_of_consecutive_requests() {
    let routes = vec![route("r", "/r/", &[("s", 90), ("t", 10)], 0)];
    for seed in [0, 1 << 31, u32::MAX] {
        let table = RouteTable::build(&config(routes.clone()), seed);
        let entry = table.find("h", "/r/1").unwrap();
        let to_t = (0..300).filter(|_| entry.next_destination().service == "t").count();
        assert!(
            (27..=33).contains(&to_t),
            "{to_t} of 300 requests went to the service with 10 % of the weight"
        );
    }
}

#[test]
fn routes_to_the_same_service_become_ranks_by_priority() {
    let routes = vec![route("late", "/l/", &[("s", 1)], 3), route("soon", "/s/", &[("s", 1), ("t", 0)], 0)];
    let table = RouteTable::build(&config(routes), 0);
    let [document] = table.documents() else { panic!("a service of weight 0 must not get a document") };
    assert_eq!(document.ranks.len(), 3, "one rank for each of the two routes, and one for late responses");
    let rank = |path| table.find("h", path).unwrap().next_destination().rank;
    assert_eq!((rank("/s/"), rank("/l/")), (0, 1));
}

/// An overloaded service, whose free targets are slow. Guards against slots being used for
/// responses that would come after the deadline of the last rank.
#[test]
fn request_that_no_free_target_can_serve_in_time_takes_no_slot() {
    let mut fleet = Fleet::new(2);
    let late_rank = 2;
    for _ in 0..40 {
        let (request, key, _) = fleet.start(late_rank);
        fleet.advance(USUAL_LATENCY, 1.0);
        fleet.complete(request, key);
    }
    fleet.report_all(4.0);
    let request = fleet.submit(late_rank);
    for _ in 0..10 {
        fleet.now += millis(20);
        fleet.report_all(4.0);
        fleet.dispatcher.tick(fleet.now, &mut fleet.actions);
    }
    let started = fleet.actions.iter().any(|action| matches!(action, DispatchAction::Start { .. }));
    let refused = fleet.actions.iter().any(
        |action| matches!(action, DispatchAction::Refuse { request: refused, .. } if *refused == request),
    );
    assert!(!started && refused, "the request must be refused without a start: {:?}", fleet.actions);
}

#[test]
fn stats_treat_an_unknown_rank_as_the_last_one() {
    let fleet = Fleet::new(2);
    let stats = fleet.dispatcher.stats(7, fleet.now);
    assert_eq!((stats.queued_in_rank, stats.usable_targets, stats.free_targets), (0, 2, 2));
}

/// Guards against requests that are cut in a planned stop, as the response time of a rank is taken from its first responses
/// (soak --planned-stops, seed 40220).
#[test]
fn response_time_is_not_taken_from_a_few_responses() {
    let mut fleet = Fleet::without_responses(2);
    // Three fifths of the latency target.
    let assumed = millis(150);
    assert_eq!(fleet.dispatcher.response_time(0), assumed, "nothing is measured");
    for (latency, expected) in [(millis(100), assumed), (millis(20), millis(20).mul_f64(5.65))] {
        let mut fleet = Fleet::without_responses(2);
        let (request, key, _) = fleet.start(0);
        fleet.advance(latency, 1.0);
        fleet.complete(request, key);
        // The estimate is a little below its first sample.
        let time = fleet.dispatcher.response_time(0);
        assert!(time <= expected && time >= expected.mul_f64(0.95), "{latency:?} is measured once: {time:?}");
    }
    fleet.learn_usual_latency();
    let measured = fleet.dispatcher.response_time(0);
    assert!(measured >= USUAL_LATENCY.mul_f64(0.9) && measured < assumed, "{measured:?}");
    assert_eq!(fleet.dispatcher.response_time(1), measured, "only another rank is measured");
    let (request, key, _) = fleet.start(1);
    fleet.advance(millis(200), 1.0);
    fleet.complete(request, key);
    assert!(fleet.dispatcher.response_time(1) > measured, "the rank is slower than the measured one");
}
