//! Tests of targets that ask for a pause, in virtual time.

use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, NewRequest, ServiceDispatcher,
};
use sniperelay_core::document::{ProbePolicy, RankPolicy, RetryPolicy, RouteMatch, ServiceDocument};
use sniperelay_core::ids::TargetKey;
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::target::{SharedTarget, TargetLifecycle, TargetSpec};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn document() -> ServiceDocument {
    ServiceDocument {
        name: "s".to_owned(),
        team: "t".to_owned(),
        slots_per_target: 4,
        connections_per_target: 100,
        home_count: 2,
        ramp: Duration::ZERO,
        retry: RetryPolicy { max_attempts: 2, retry_share: 0.2, hedge_share: 0.0 },
        measuring: ProbePolicy { calls_per_second: 1, bytes_per_second: 1000, path: "/h".to_owned() },
        ranks: vec![RankPolicy {
            name: "r".to_owned(),
            matches: vec![RouteMatch { method: "GET".to_owned(), path: "/".to_owned() }],
            worth: 1.0,
            latency: millis(500),
            give_up: millis(2000),
            on_time_share: 0.99,
            kept_share: 0.0,
            idempotent: true,
            queue_limit: 100,
        }],
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 80))
}

struct TestService {
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    now: Instant,
    next_request: u64,
}

impl TestService {
    fn new(target_count: usize) -> Self {
        let settings =
            DispatchSettings { local_domain: "d".to_owned(), policy: PickPolicy::SharedSlots, seed: 1 };
        let mut dispatcher = ServiceDispatcher::new(Arc::new(document()), settings);
        let target = |index| SharedTarget {
            spec: TargetSpec {
                address: address(index),
                domain: "d".to_owned(),
                lifecycle: TargetLifecycle::Live,
                owned_slots: 4,
            },
            instance: format!("i{index}"),
            warm_up: Duration::ZERO,
            cold_limit: None,
        };
        let targets: Vec<SharedTarget> = (0..target_count).map(target).collect();
        let (now, mut actions) = (Instant::now(), Vec::new());
        dispatcher.replace_shared_targets(&targets, now, &mut actions);
        dispatcher.set_max_report_age(Some(millis(1)));
        Self { dispatcher, actions, now, next_request: 1 }
    }

    fn key(&self, index: usize) -> TargetKey {
        self.dispatcher.targets().find(address(index)).unwrap()
    }

    fn submit(&mut self, time_left: Duration) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        let deadline = self.now + time_left;
        let new = NewRequest {
            request,
            rank: 0,
            deadline,
            is_idempotent: true,
            is_retry_forbidden: false,
            account: 0,
        };
        self.dispatcher.submit(new, self.now, &mut self.actions);
        request
    }

    fn hold_off(&mut self, index: usize, pause: Duration) {
        let key = self.key(index);
        self.dispatcher.hold_off(key, pause, self.now, &mut self.actions);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.dispatcher.tick(self.now, &mut self.actions);
    }

    /// Returns the targets of the attempts that were started since the last call.
    fn take_starts(&mut self) -> Vec<SocketAddr> {
        let started = |action: &DispatchAction| match action {
            DispatchAction::Start { address, .. } => Some(*address),
            _ => None,
        };
        let starts = self.actions.iter().filter_map(started).collect();
        self.actions.retain(|action| started(action).is_none());
        starts
    }

    /// Returns the times after which refused callers may try again.
    fn take_refusals(&mut self) -> Vec<Duration> {
        let refused = |action: DispatchAction| match action {
            DispatchAction::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        };
        std::mem::take(&mut self.actions).into_iter().filter_map(refused).collect()
    }
}

/// Load pattern: some targets of a service are short of room and turn requests away, with a time to come back.
#[test]
fn held_target_gets_neither_requests_nor_probes_until_its_pause_is_over() {
    let mut service = TestService::new(2);
    service.hold_off(0, millis(1000));
    // A shorter pause that is asked for later does not end the longer one.
    service.hold_off(0, millis(10));
    for _ in 0..99 {
        service.advance(millis(10));
        let request = service.submit(millis(500));
        for started in service.take_starts() {
            assert_eq!(started, address(1));
        }
        let held = service.key(0);
        assert!(!service.dispatcher.take_targets_to_probe(service.now).iter().any(|(key, _)| *key == held));
        let key = service.key(1);
        service.dispatcher.attempt_failed(
            request,
            key,
            AttemptFailure::Refused,
            service.now,
            &mut service.actions,
        );
        service.dispatcher.cancel_queued(request);
        service.dispatcher.readmit(address(1), service.now, &mut service.actions);
        service.take_starts();
    }
    service.advance(millis(11));
    (0..8).for_each(|_| _ = service.submit(millis(500)));
    assert!(service.take_starts().contains(&address(0)), "the target is not used after its pause");
}

/// Load pattern: all targets of a service ask for a pause. Requests that cannot be served in time are refused
/// at once, with the time at which the first target accepts requests again.
#[test]
fn requests_are_refused_at_once_while_all_targets_are_held_beyond_their_deadline() {
    let mut service = TestService::new(2);
    service.hold_off(0, millis(900));
    service.hold_off(1, millis(700));
    service.submit(millis(500));
    assert_eq!(service.take_refusals(), [millis(700)]);
    // A request with more time waits for the end of the first pause.
    service.submit(millis(2000));
    assert_eq!((service.take_starts(), service.take_refusals()), (vec![], vec![]));
    service.advance(millis(705));
    assert_eq!(service.take_starts(), [address(1)]);
}

/// Requests that are queued when the last target asks for a pause are refused then, not at their deadline.
#[test]
fn queued_requests_are_refused_as_soon_as_the_last_target_is_held() {
    let mut service = TestService::new(1);
    (0..10).for_each(|_| _ = service.submit(millis(500)));
    assert_eq!(service.take_starts().len(), 4);
    service.hold_off(0, millis(5000));
    let refusals = service.take_refusals();
    assert_eq!(refusals.len(), 6, "{refusals:?}");
    assert!(refusals.iter().all(|retry_after| *retry_after >= millis(5000)), "{refusals:?}");
}

/// A pause of years is taken for a mistake.
#[test]
fn pause_is_limited() {
    let mut service = TestService::new(1);
    service.hold_off(0, Duration::from_secs(u64::MAX / 4));
    service.advance(Duration::from_secs(601));
    service.submit(millis(500));
    assert_eq!(service.take_starts(), [address(0)]);
}
