//! Tests of request rate limits that targets state, in virtual time.

use proptest::prelude::*;
use sniperelay_core::dispatch::{DispatchAction, DispatchSettings, NewRequest, ServiceDispatcher};
use sniperelay_core::document::{ProbePolicy, RankPolicy, RetryPolicy, RouteMatch, ServiceDocument};
use sniperelay_core::home::{HomeCandidate, LimitOwners};
use sniperelay_core::ids::TargetKey;
use sniperelay_core::limit_ledger::{LimitClaim, LimitLedger, MembershipView};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::rate_limit::{
    CLAIM_INTERVAL, LimitChange, LimitObservation, LimitShare, SHARE_LIFETIME, TargetLimit,
};
use sniperelay_core::reason::RefusalReason;
use sniperelay_core::target::{SharedTarget, TargetLifecycle, TargetSpec};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn stated(per_second: f64, observed_at: Instant) -> LimitObservation {
    LimitObservation { per_second: Some(per_second), observed_at }
}

fn limit_with_share(per_second: f64, share: f64, now: Instant) -> TargetLimit {
    let mut limit = TargetLimit::new(stated(per_second, now), now);
    limit.set_share(LimitShare { per_second: share, expires_at: now + Duration::from_secs(3600) }, now);
    limit
}

/// Returns the number of requests that a limit allows in `time`, with a refill every 20 ms.
fn requests_in(limit: &mut TargetLimit, time: Duration, start: Instant) -> usize {
    let mut sent = 0;
    let mut now = start;
    while now < start + time {
        now += millis(20);
        limit.refill(now);
        while limit.has_token() && sent < 1_000_000 {
            limit.take_token();
            sent += 1;
        }
    }
    sent
}

#[test]
fn limit_ends_only_with_a_response_to_a_request_sent_after_it() {
    let start = Instant::now();
    let at = |ms| start + millis(ms);
    let mut limit = TargetLimit::new(stated(5.0, at(100)), at(100));
    assert_eq!(limit.record_response(Some(5.0), at(50), at(110)), LimitChange::Unchanged);
    assert_eq!(limit.record_response(Some(3.0), at(60), at(120)), LimitChange::Stated(3.0));
    // Generated before the limit was stated, and delivered after it.
    assert_eq!(limit.record_response(None, at(90), at(130)), LimitChange::Unchanged);
    assert_eq!(limit.observation().per_second, Some(3.0));
    assert_eq!(limit.record_response(None, at(125), at(140)), LimitChange::Ended);
    assert!(limit.has_token());
    assert_eq!(limit.record_response(None, at(135), at(150)), LimitChange::Unchanged);
    assert_eq!(limit.record_response(Some(8.0), at(145), at(160)), LimitChange::Stated(8.0));
    assert!(!limit.has_token(), "without a share no request is sent");
}

/// Each row: the limit, and the least and the most requests in 20 s with a share of all of it.
#[test]
fn shares_of_any_size_are_used_up_and_not_exceeded() {
    let cases = [
        (0.0, 0, 0),
        (0.2, 3, 4),
        (1.0, 19, 20),
        (5.3, 104, 106),
        (250.0, 4900, 5025),
        (1e9, 1_000_000, 1_000_000),
    ];
    for (rate, least, most) in cases {
        let start = Instant::now();
        let mut limit = limit_with_share(rate, rate, start);
        let sent = requests_in(&mut limit, Duration::from_secs(20), start);
        assert!((least..=most).contains(&sent), "{sent} requests with a limit of {rate}");
    }
}

#[test]
fn idle_time_accumulates_no_more_than_a_short_burst() {
    let start = Instant::now();
    let mut limit = limit_with_share(5.0, 5.0, start);
    limit.refill(start + Duration::from_secs(60));
    let sent = requests_in(&mut limit, millis(20), start + Duration::from_secs(60));
    assert_eq!(sent, 1);
}

/// Guards against a share that outlives its owner's knowledge of it.
#[test]
fn no_request_is_sent_without_a_valid_share() {
    let start = Instant::now();
    let mut limit = TargetLimit::new(stated(50.0, start), start);
    limit.set_share(LimitShare { per_second: 50.0, expires_at: start + SHARE_LIFETIME }, start);
    assert!(requests_in(&mut limit, SHARE_LIFETIME, start) >= 48);
    assert_eq!(requests_in(&mut limit, Duration::from_secs(5), start + SHARE_LIFETIME), 0);
    assert_eq!(limit.share_rate(start + SHARE_LIFETIME), Some(0.0));
}

/// A target may state another limit with each response; a share never allows more than the last one.
#[test]
fn limit_that_sinks_applies_before_the_next_share() {
    let start = Instant::now();
    let mut limit = limit_with_share(100.0, 100.0, start);
    limit.record_response(Some(2.0), start, start + millis(1));
    assert!(requests_in(&mut limit, Duration::from_secs(4), start + millis(1)) <= 9);
}

#[test]
fn observation_of_another_entry_vm_counts_only_if_it_is_later() {
    let start = Instant::now();
    let mut limit = TargetLimit::new(stated(5.0, start + millis(100)), start + millis(100));
    let ended = |at| LimitObservation { per_second: None, observed_at: start + millis(at) };
    assert_eq!(limit.merge(ended(90), start + millis(200)), LimitChange::Unchanged);
    assert_eq!(limit.merge(ended(150), start + millis(200)), LimitChange::Ended);
    assert_eq!(limit.merge(stated(5.0, start + millis(120)), start + millis(200)), LimitChange::Unchanged);
    assert_eq!(limit.merge(stated(7.0, start + millis(180)), start + millis(200)), LimitChange::Stated(7.0));
}

#[test]
fn owner_checks_a_silent_limit_only_while_shares_are_claimed() {
    let start = Instant::now();
    let mut limit = TargetLimit::new(stated(0.0, start), start);
    let checks = |limit: &mut TargetLimit, from: u64, is_claimed: bool| {
        let ticks = (0..200).map(|tick| start + millis(from + tick * 20));
        ticks
            .filter(|now| {
                if is_claimed {
                    limit.allow_rechecks(*now);
                }
                limit.take_due_recheck(*now)
            })
            .count()
    };
    assert_eq!(checks(&mut limit, 0, false), 0);
    let with_claims = checks(&mut limit, 4000, true);
    assert!((1..=2).contains(&with_claims), "{with_claims} checks in 4 s");
    limit.allow_trial();
    assert!(limit.has_token());
    limit.take_token();
    assert!(!limit.has_token(), "one request only");
}

fn claim(claimant: u64, weight: f64, observation: LimitObservation) -> LimitClaim {
    LimitClaim { claimant, weight, observation }
}

/// Load pattern: callers are spread unevenly over three entry VMs, and one of them has hardly any.
#[test]
fn shares_follow_the_load_and_use_up_the_limit() {
    let start = Instant::now();
    let mut ledger = LimitLedger::default();
    let mut shares: HashMap<u64, f64> = HashMap::new();
    for round in 0..5 {
        for (claimant, weight) in [(1, 90.0), (2, 9.0), (3, 1.0)] {
            let now = start + CLAIM_INTERVAL * round + millis(claimant);
            let (_, share) = ledger.grant(
                &"i".to_owned(),
                &claim(claimant, weight, stated(10.0, start)),
                MembershipView::Current,
                now,
            );
            shares.insert(claimant, share.unwrap().per_second);
        }
    }
    for (claimant, expected) in [(1, 9.0), (2, 0.9), (3, 0.1)] {
        assert!((shares[&claimant] - expected).abs() < 1e-9, "{shares:?}");
    }
}

#[test]
fn ledger_returns_the_latest_observation_and_no_share_of_an_ended_limit() {
    let start = Instant::now();
    let mut ledger = LimitLedger::default();
    let instance = "i".to_owned();
    ledger.grant(&instance, &claim(1, 1.0, stated(10.0, start)), MembershipView::Current, start + millis(1));
    let ended = LimitObservation { per_second: None, observed_at: start + millis(50) };
    ledger.grant(&instance, &claim(2, 1.0, ended), MembershipView::Current, start + millis(60));
    let (observation, share) = ledger.grant(
        &instance,
        &claim(1, 1.0, stated(10.0, start)),
        MembershipView::Current,
        start + millis(70),
    );
    assert_eq!((observation, share), (ended, None));
}

proptest! {
    /// Claims of any weights at any times, while the limit stays the same.
    #[test]
    fn valid_shares_never_exceed_the_limit(
        limit in 0.0f64..100.0,
        claims in prop::collection::vec((0u64..8, 0.0f64..500.0, 0u64..600), 1..200),
    ) {
        let start = Instant::now();
        let mut ledger = LimitLedger::default();
        let mut shares: HashMap<u64, LimitShare> = HashMap::new();
        let mut now = start;
        for (claimant, weight, pause) in claims {
            now += millis(pause);
            let (_, share) = ledger.grant(&"i".to_owned(), &claim(claimant, weight, stated(limit, start)), MembershipView::Current, now);
            shares.insert(claimant, share.unwrap());
            let valid = shares.values().filter(|share| share.expires_at > now);
            let total: f64 = valid.map(|share| share.per_second).sum();
            prop_assert!(total <= limit + 1e-6, "{total} of {limit}");
        }
    }
}

#[test]
fn each_target_has_one_owner_among_the_homes_that_share_it() {
    let home = |incarnation: u64| HomeCandidate { incarnation, domain: format!("d{}", incarnation % 3) };
    let homes: Vec<HomeCandidate> = (1..=8).map(home).collect();
    let targets: Vec<(SocketAddr, String)> =
        (0..40).map(|index| (address(index), format!("d{}", index % 3))).collect();
    let owners = LimitOwners::choose(&homes, &targets);
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for (target, _) in &targets {
        let owner = owners.owner_of(*target).unwrap();
        let cell = sniperelay_core::home::cell_targets(owner, &homes, &targets).unwrap();
        assert!(cell.contains(target), "the owner does not serve its target");
        *counts.entry(owner).or_default() += 1;
    }
    assert!(counts.len() >= 6, "the targets are spread over the homes: {counts:?}");
    assert_eq!(LimitOwners::choose(&[], &targets).owner_of(address(0)), None);
}

fn document() -> ServiceDocument {
    let rank = |name: &str, kept_share| RankPolicy {
        name: name.to_owned(),
        matches: vec![RouteMatch { method: "GET".to_owned(), path: "/".to_owned() }],
        worth: 1.0,
        latency: millis(500),
        give_up: millis(2000),
        on_time_share: 0.99,
        kept_share,
        idempotent: true,
        queue_limit: 100,
    };
    ServiceDocument {
        name: "s".to_owned(),
        team: "t".to_owned(),
        slots_per_target: 4,
        connections_per_target: 100,
        home_count: 2,
        ramp: Duration::ZERO,
        retry: RetryPolicy { max_attempts: 2, retry_share: 0.2, hedge_share: 0.0 },
        measuring: ProbePolicy { calls_per_second: 1, bytes_per_second: 1000, path: "/h".to_owned() },
        ranks: vec![rank("urgent", 0.0), rank("bulk", 0.0)],
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 80))
}

/// One entry VM that owns the limits of all targets.
struct TestService {
    dispatcher: ServiceDispatcher,
    ledger: LimitLedger,
    actions: Vec<DispatchAction>,
    now: Instant,
    next_request: u64,
}

impl TestService {
    fn new(instances: &[&str]) -> Self {
        let settings =
            DispatchSettings { local_domain: "d".to_owned(), policy: PickPolicy::SharedSlots, seed: 1 };
        let dispatcher = ServiceDispatcher::new(Arc::new(document()), settings);
        let mut service = Self {
            dispatcher,
            ledger: LimitLedger::default(),
            actions: Vec::new(),
            now: Instant::now(),
            next_request: 1,
        };
        service.set_targets(instances);
        service
    }

    fn set_targets(&mut self, instances: &[&str]) {
        let target = |(index, instance): (usize, &&str)| SharedTarget {
            spec: TargetSpec {
                address: address(index),
                domain: "d".to_owned(),
                lifecycle: TargetLifecycle::Live,
                owned_slots: 4,
            },
            instance: (*instance).to_owned(),
            warm_up: Duration::ZERO,
            cold_limit: None,
        };
        let targets: Vec<SharedTarget> = instances.iter().enumerate().map(target).collect();
        self.dispatcher.replace_shared_targets(&targets, self.now, &mut self.actions);
    }

    fn key(&self, index: usize) -> TargetKey {
        self.dispatcher.targets().find(address(index)).unwrap()
    }

    fn state_limit(&mut self, index: usize, limit: f64) {
        let key = self.key(index);
        self.dispatcher.record_probed_limit(key, Some(limit), self.now, &mut self.actions);
    }

    fn submit(&mut self, rank: usize) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        let deadline = self.now + millis(500);
        let new = NewRequest {
            request,
            rank,
            deadline,
            is_idempotent: true,
            is_retry_forbidden: false,
            account: 0,
        };
        self.dispatcher.submit(new, self.now, &mut self.actions);
        request
    }

    /// Advances the time by one tick and claims the shares that are due. Each request is answered at once.
    fn tick(&mut self) -> Vec<(u64, SocketAddr)> {
        self.now += millis(20);
        self.dispatcher.tick(self.now, &mut self.actions);
        for due in self.dispatcher.take_due_claims(self.now) {
            let own = claim(1, due.weight, due.observation);
            let (observation, share) =
                self.ledger.grant(&due.instance, &own, MembershipView::Current, self.now);
            self.dispatcher.apply_limit_share(due.target, observation, share, self.now, &mut self.actions);
        }
        self.finish_started()
    }

    fn finish_started(&mut self) -> Vec<(u64, SocketAddr)> {
        let mut started = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                DispatchAction::Start { request, target, address, .. } => {
                    self.dispatcher.attempt_ended(request, target, self.now, &mut self.actions);
                    started.push((request, address));
                }
                other => self.actions.push(other),
            }
        }
        started
    }

    fn take_refusals(&mut self) -> Vec<(RefusalReason, Duration)> {
        let refused = |action: DispatchAction| match action {
            DispatchAction::Refuse { reason, retry_after, .. } => Some((reason, retry_after)),
            _ => None,
        };
        std::mem::take(&mut self.actions).into_iter().filter_map(refused).collect()
    }
}

/// Load pattern: one of two targets is in need and states a limit while callers press.
#[test]
fn limited_target_is_used_up_to_its_limit_and_the_others_take_the_rest() {
    let mut service = TestService::new(&["a", "b"]);
    service.state_limit(0, 10.0);
    let (mut limited, mut other) = (0, 0);
    for _ in 0..200 {
        // More at once than the other target has slots for.
        (0..6).for_each(|_| _ = service.submit(0));
        for (_, started_at) in service.tick() {
            if started_at == address(0) { limited += 1 } else { other += 1 }
        }
    }
    // 4 s, of which the first ticks pass without a share.
    assert!((36..=41).contains(&limited), "{limited} requests at a target with a limit of 10 in 4 s");
    assert!(other >= 800, "{other} requests at the other target");
}

/// Load pattern: all targets are in need. What cannot be served is refused at once, the urgent rank goes first.
#[test]
fn urgent_rank_is_served_first_and_the_rest_is_refused_at_once() {
    let mut service = TestService::new(&["a", "b"]);
    service.state_limit(0, 10.0);
    service.state_limit(1, 5.0);
    let mut urgent_requests = Vec::new();
    let (mut urgent, mut bulk) = (0, 0);
    for round in 0..400 {
        if round % 5 == 0 {
            urgent_requests.push(service.submit(0));
        }
        service.submit(1);
        for (request, _) in service.tick() {
            if urgent_requests.contains(&request) { urgent += 1 } else { bulk += 1 }
        }
    }
    // 10 urgent and 50 other requests a second, 15 allowed, for 8 s.
    assert!(urgent >= 76, "{urgent} of 80 urgent requests served");
    assert!((30..=44).contains(&bulk), "{bulk} requests of the other rank served");
    let refusals = service.take_refusals();
    let at_once = refusals.iter().filter(|(reason, _)| *reason == RefusalReason::TargetLimit).count();
    assert!(at_once * 10 >= refusals.len() * 9, "{at_once} of {} refusals came at once", refusals.len());
    assert!(
        refusals.iter().all(|(_, retry_after)| (millis(50)..=Duration::from_secs(60)).contains(retry_after))
    );
}

/// Guards against a limit that is forgotten when another entry VM serves the target for a while, and one that is
/// applied to the next instance at the same address.
#[test]
fn limit_belongs_to_the_instance_and_survives_its_absence() {
    let mut service = TestService::new(&["a", "b"]);
    service.state_limit(0, 0.0);
    service.set_targets(&["other", "b"]);
    assert_eq!(service.dispatcher.targets().stated_limit(service.key(0)), None);
    service.set_targets(&["a", "b"]);
    assert_eq!(service.dispatcher.targets().stated_limit(service.key(0)), Some(0.0));
    for _ in 0..50 {
        service.submit(0);
        assert!(service.tick().iter().all(|(_, started_at)| *started_at == address(1)));
    }
}

/// The first share needs a round trip to the owner: requests wait for it instead of being refused.
#[test]
fn requests_wait_for_the_first_share() {
    let mut service = TestService::new(&["a"]);
    service.state_limit(0, 100.0);
    service.submit(0);
    assert_eq!(service.take_refusals(), []);
    let started: usize = (0..5).map(|_| service.tick().len()).sum();
    assert_eq!(started, 1);
}

/// Guards against entry VMs that differ in their views and each grant all of a limit.
#[test]
fn owner_with_an_outdated_view_grants_half_and_one_without_any_nothing() {
    let now = Instant::now();
    let views =
        [(MembershipView::Unsettled, 0.0), (MembershipView::Outdated, 5.0), (MembershipView::Current, 10.0)];
    for (view, expected) in views {
        let mut ledger = LimitLedger::default();
        let (_, share) = ledger.grant(&"i".to_owned(), &claim(1, 1.0, stated(10.0, now)), view, now);
        assert_eq!(share.unwrap().per_second, expected, "{view:?}");
    }
}
