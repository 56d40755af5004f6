//! Tests of evacuated failure domains, in virtual time: the set of domains, and a service all of whose targets are there.

use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, FailureDecision, NewRequest, ServiceDispatcher,
};
use sniperelay_core::document::{ProbePolicy, RankPolicy, RetryPolicy, RouteMatch, ServiceDocument};
use sniperelay_core::evacuation::{EvacuationSet, LOSS_RETENTION};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::reason::RefusalReason;
use sniperelay_core::target::{SharedTarget, TargetLifecycle, TargetSpec};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against an evacuation that ends because the store has returned from a copy without it.
#[test]
fn lost_evacuation_stays_in_force_until_it_can_be_ordered_again() {
    let mut set = EvacuationSet::default();
    assert!(set.begin("a".to_owned()));
    assert!(!set.begin("a".to_owned()), "it has begun already");
    assert!(set.lose("a", seconds(10)));
    assert!(set.lose("a", seconds(20)), "a second loss does not prolong it");
    assert_eq!(set.next_end(), Some(seconds(10) + LOSS_RETENTION));
    assert_eq!(set.end_lost(seconds(9) + LOSS_RETENTION), Vec::<String>::new());
    assert_eq!(set.domains().len(), 1);
    assert_eq!(set.end_lost(seconds(10) + LOSS_RETENTION), vec!["a".to_owned()]);
    assert!(set.domains().is_empty());
}

#[test]
fn evacuation_that_is_ordered_again_does_not_end_by_itself() {
    let mut set = EvacuationSet::default();
    set.begin("a".to_owned());
    set.lose("a", seconds(10));
    set.begin("a".to_owned());
    assert_eq!(set.next_end(), None);
    assert!(set.end_lost(seconds(1000)).is_empty());
    assert!(set.end("a"), "the operator takes it back");
    assert!(!set.end("a") && !set.lose("a", seconds(10)), "there is none");
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
            latency: Duration::from_millis(500),
            give_up: seconds(2),
            on_time_share: 0.99,
            kept_share: 0.0,
            idempotent: true,
            queue_limit: 100,
        }],
    }
}

struct TestService {
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    now: Instant,
    last_request: u64,
}

impl TestService {
    fn new() -> Self {
        let settings =
            DispatchSettings { local_domain: "d".to_owned(), policy: PickPolicy::SharedSlots, seed: 1 };
        let dispatcher = ServiceDispatcher::new(Arc::new(document()), settings);
        let mut service = Self { dispatcher, actions: Vec::new(), now: Instant::now(), last_request: 0 };
        service.set_targets(2);
        service
    }

    fn set_targets(&mut self, count: u8) {
        let target = |index: u8| SharedTarget {
            spec: TargetSpec {
                address: SocketAddr::from(([10, 0, 0, index], 80)),
                domain: "d".to_owned(),
                lifecycle: TargetLifecycle::Live,
                owned_slots: 4,
            },
            instance: format!("i{index}"),
            warm_up: Duration::ZERO,
            cold_limit: None,
        };
        let targets: Vec<SharedTarget> = (0..count).map(target).collect();
        self.dispatcher.replace_shared_targets(&targets, self.now, &mut self.actions);
    }

    fn evacuate(&mut self) {
        self.dispatcher.set_evacuated(true, self.now, &mut self.actions);
        self.set_targets(0);
    }

    fn return_targets(&mut self) {
        self.dispatcher.set_evacuated(false, self.now, &mut self.actions);
        self.set_targets(2);
    }

    /// Submits requests and returns the numbers of those that started and that were refused.
    fn submit(&mut self, count: usize) -> (usize, usize) {
        self.actions.clear();
        for _ in 0..count {
            self.last_request += 1;
            let request = NewRequest {
                request: self.last_request,
                rank: 0,
                deadline: self.now + seconds(2),
                is_idempotent: true,
                is_retry_forbidden: false,
                account: 0,
            };
            self.dispatcher.submit(request, self.now, &mut self.actions);
        }
        (self.starts().len(), self.refusals().len())
    }

    fn starts(&self) -> Vec<(u64, sniperelay_core::ids::TargetKey)> {
        let started = |action: &DispatchAction| match action {
            DispatchAction::Start { request, target, .. } => Some((*request, *target)),
            _ => None,
        };
        self.actions.iter().filter_map(started).collect()
    }

    fn refusals(&self) -> Vec<(RefusalReason, Duration)> {
        let refused = |action: &DispatchAction| match action {
            DispatchAction::Refuse { reason, retry_after, .. } => Some((*reason, *retry_after)),
            _ => None,
        };
        self.actions.iter().filter_map(refused).collect()
    }
}

/// Guards against requests that wait until their deadline for targets that are not coming back in time.
#[test]
fn requests_are_refused_at_once_while_all_targets_are_evacuated() {
    let mut service = TestService::new();
    let (started, refused) = service.submit(10);
    assert_eq!((started, refused, service.dispatcher.queue_length(0)), (8, 0, 2));
    let in_flight = service.starts();
    service.actions.clear();
    service.evacuate();
    assert_eq!(service.refusals(), vec![(RefusalReason::NoTarget, seconds(1)); 2], "what waited");
    assert_eq!(service.submit(3), (0, 3), "what comes");
    assert!(service.refusals().iter().all(|refusal| *refusal == (RefusalReason::NoTarget, seconds(1))));
    service.actions.clear();
    let (request, target) = in_flight[0];
    let decision = service.dispatcher.attempt_failed(
        request,
        target,
        AttemptFailure::Connect,
        service.now,
        &mut service.actions,
    );
    assert_eq!(decision, FailureDecision::Final, "what fails is not repeated");
    assert!(service.starts().is_empty());
}

/// Guards against a burst at targets that return, where the table was empty meanwhile.
#[test]
fn targets_return_with_one_request_each() {
    let mut service = TestService::new();
    service.evacuate();
    service.return_targets();
    assert_eq!(service.submit(10), (2, 0));
}
