//! Model test of shared slots under any order of events: requests arrive, are answered, fail and
//! are cancelled; reports arrive late, twice or never; targets leave, return and are replaced.

use proptest::prelude::*;
use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, FailureDecision, NewRequest, ResponseMetadata,
    ServiceDispatcher,
};
use sniperelay_core::ids::{RequestId, TargetKey};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::reason::RefusalReason;
use sniperelay_core::route::{
    CallerLimits, RouteConfig, RouteSpec, RouteTable, ServiceSpec, WeightedService,
};
use sniperelay_core::target::{SharedReport, SharedTarget, TargetLifecycle, TargetSpec};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TARGETS: usize = 3;
const MAX_ATTEMPTS: u32 = 2;
/// Bound of the platform on further attempts: a share of the requests, plus a fixed number
/// ([`BUDGET_CAPACITY`]).
const FURTHER_ATTEMPT_SHARE: f64 = 0.2;
const BUDGET_CAPACITY: f64 = 3.0;

#[derive(Debug, Clone)]
enum ModelStep {
    Submit { rank: usize, deadline_millis: u16 },
    Advance(u8),
    Report { index: usize, occupied: u32, slowdown: u8 },
    Respond(u8),
    Fail(u8, u8),
    Cancel(u8),
    ReplaceTargets { present: u8, leaving: u8, generation: u8 },
}

fn model_step() -> impl Strategy<Value = ModelStep> {
    prop_oneof![
        6 => (0usize..3, 0u16..400).prop_map(|(rank, deadline_millis)| ModelStep::Submit { rank, deadline_millis }),
        4 => (1u8..120).prop_map(ModelStep::Advance),
        4 => (0..TARGETS, 0u32..6, 1u8..6)
            .prop_map(|(index, occupied, slowdown)| ModelStep::Report { index, occupied, slowdown }),
        4 => any::<u8>().prop_map(ModelStep::Respond),
        4 => (any::<u8>(), 0u8..4).prop_map(|(index, failure_kind)| ModelStep::Fail(index, failure_kind)),
        1 => any::<u8>().prop_map(ModelStep::Cancel),
        1 => (any::<u8>(), any::<u8>(), 0u8..3)
            .prop_map(|(present, leaving, generation)| ModelStep::ReplaceTargets { present, leaving, generation }),
    ]
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 80))
}

fn targets(present: u8, leaving: u8, generation: u8) -> Vec<SharedTarget> {
    let is_set = |bits: u8, index: usize| bits >> index & 1 == 1;
    let target = |index: usize| SharedTarget {
        spec: TargetSpec {
            address: address(index),
            domain: "near".to_owned(),
            lifecycle: if is_set(leaving, index) { TargetLifecycle::Leaving } else { TargetLifecycle::Live },
            owned_slots: 3,
        },
        instance: format!("i{index}-{generation}"),
        warm_up: Duration::ZERO,
        cold_limit: None,
    };
    (0..TARGETS).filter(|index| is_set(present, *index)).map(target).collect()
}

fn config() -> RouteConfig {
    let route = |name: &str, is_idempotent: bool, priority: u32| RouteSpec {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        weighted_services: vec![WeightedService { service: "s".to_owned(), weight: 1 }],
        is_idempotent,
        timeout: Duration::from_millis(1000),
        latency: Duration::from_millis(250),
        max_attempts: MAX_ATTEMPTS,
        priority,
        is_public: false,
    };
    RouteConfig {
        version: 1,
        routes: vec![route("read", true, 0), route("claim", false, 1)],
        services: vec![ServiceSpec {
            name: "s".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 100,
            warm_up: None,
        }],
        limits: CallerLimits {
            header_bytes: 1000,
            body_bytes: 1000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        accounts: None,
    }
}

/// State of one request as seen from outside the dispatcher.
#[derive(Debug, Default)]
struct RequestRecord {
    is_idempotent: bool,
    deadline: Option<Instant>,
    starts: u32,
    open_attempts: Vec<TargetKey>,
    may_have_run: bool,
    is_finished: bool,
}

struct Model {
    now: Instant,
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    requests: HashMap<RequestId, RequestRecord>,
    first_attempts: u32,
    further_attempts: u32,
}

impl Model {
    fn new() -> Self {
        let table = RouteTable::build(&config(), 0);
        let settings =
            DispatchSettings { local_domain: "near".to_owned(), policy: PickPolicy::SharedSlots, seed: 1 };
        let mut dispatcher = ServiceDispatcher::new(Arc::new(table.documents()[0].clone()), settings);
        dispatcher.set_attempt_budget_capacity(BUDGET_CAPACITY);
        dispatcher.set_max_report_age(Some(Duration::from_millis(150)));
        let mut model = Self {
            now: Instant::now(),
            dispatcher,
            actions: Vec::new(),
            requests: HashMap::new(),
            first_attempts: 0,
            further_attempts: 0,
        };
        model.replace_targets(7, 0, 0);
        model
    }

    fn replace_targets(&mut self, present: u8, leaving: u8, generation: u8) {
        let targets = targets(present, leaving, generation);
        self.dispatcher.replace_shared_targets(&targets, self.now, &mut self.actions);
    }

    fn apply(&mut self, step: &ModelStep) {
        match *step {
            ModelStep::Submit { rank, deadline_millis } => self.submit(rank, deadline_millis),
            ModelStep::Advance(millis) => {
                self.now += Duration::from_millis(u64::from(millis));
                drop(self.dispatcher.take_targets_to_probe(self.now));
                self.dispatcher.tick(self.now, &mut self.actions);
            }
            ModelStep::Report { index, occupied, slowdown } => {
                let Some(key) = self.dispatcher.targets().find(address(index)) else { return };
                let report = SharedReport { occupied, own: 0, slowdown: f64::from(slowdown) };
                self.dispatcher.record_report(key, report, self.now, &mut self.actions);
            }
            ModelStep::Respond(index) => {
                let Some((request, key)) = self.open_attempt(index) else { return };
                let metadata = ResponseMetadata { report: None, is_error: false };
                self.dispatcher.response_started(request, key, metadata, self.now, &mut self.actions);
                self.end_attempt(request, key);
                self.finish_request(request);
            }
            ModelStep::Fail(index, failure_kind) => self.fail(index, failure_kind),
            ModelStep::Cancel(index) => {
                let mut unfinished: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|(_, record)| !record.is_finished)
                    .map(|(id, _)| *id)
                    .collect();
                unfinished.sort_unstable();
                if let Some(request) = unfinished.get(usize::from(index) % unfinished.len().max(1)).copied() {
                    self.finish_request(request);
                }
            }
            ModelStep::ReplaceTargets { present, leaving, generation } => {
                self.replace_targets(present, leaving, generation)
            }
        }
    }

    fn submit(&mut self, rank: usize, deadline_millis: u16) {
        let request = self.requests.len() as RequestId + 1;
        let deadline = self.now + Duration::from_millis(u64::from(deadline_millis));
        let is_idempotent = rank != 1;
        let record = RequestRecord { is_idempotent, deadline: Some(deadline), ..RequestRecord::default() };
        self.requests.insert(request, record);
        self.first_attempts += 1;
        let new_request =
            NewRequest { request, rank, deadline, is_idempotent, is_retry_forbidden: false, account: 0 };
        self.dispatcher.submit(new_request, self.now, &mut self.actions);
    }

    fn open_attempt(&self, index: u8) -> Option<(RequestId, TargetKey)> {
        let mut open: Vec<(RequestId, TargetKey)> = self
            .requests
            .iter()
            .flat_map(|(request, record)| record.open_attempts.iter().map(|key| (*request, *key)))
            .collect();
        open.sort_unstable();
        open.get(usize::from(index) % open.len().max(1)).copied()
    }

    fn fail(&mut self, index: u8, failure_kind: u8) {
        let Some((request, key)) = self.open_attempt(index) else { return };
        let failures = [
            AttemptFailure::Connect,
            AttemptFailure::Refused,
            AttemptFailure::ConnectionLost,
            AttemptFailure::ServerError,
        ];
        let failure = failures[usize::from(failure_kind)];
        let record = self.requests.get_mut(&request).unwrap();
        record.open_attempts.retain(|open| *open != key);
        record.may_have_run |= !failure.proves_not_run();
        self.dispatcher.attempt_failed(request, key, failure, self.now, &mut self.actions);
    }

    fn end_attempt(&mut self, request: RequestId, key: TargetKey) {
        self.requests.get_mut(&request).unwrap().open_attempts.retain(|open| *open != key);
        self.dispatcher.attempt_ended(request, key, self.now, &mut self.actions);
    }

    /// Finishes a request whose caller has been answered or has disconnected: cancels it and ends
    /// all its attempts.
    fn finish_request(&mut self, request: RequestId) {
        self.dispatcher.cancel_queued(request);
        let open = self.requests[&request].open_attempts.clone();
        open.into_iter().for_each(|key| self.end_attempt(request, key));
        self.requests.get_mut(&request).unwrap().is_finished = true;
    }

    /// Carries out the actions of the dispatcher and checks each start.
    fn apply_actions(&mut self) -> Result<(), TestCaseError> {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    DispatchAction::Start { request, target, retry, .. } => {
                        self.check_start(request, target, retry.is_some())?;
                    }
                    DispatchAction::Refuse { request, .. } => {
                        let record = self.requests.get_mut(&request).unwrap();
                        prop_assert!(
                            record.open_attempts.is_empty(),
                            "request refused while an attempt is in flight"
                        );
                        record.is_finished = true;
                    }
                    DispatchAction::CancelAttempt { request, target } => self.end_attempt(request, target),
                    DispatchAction::RequestSlots { .. } | DispatchAction::ReturnSlot { .. } => {}
                }
            }
        }
        Ok(())
    }

    fn check_start(
        &mut self,
        request: RequestId,
        target: TargetKey,
        is_further_attempt: bool,
    ) -> Result<(), TestCaseError> {
        let record = self.requests.get_mut(&request).unwrap();
        prop_assert!(!record.is_finished, "request started after it had finished");
        prop_assert!(record.starts < MAX_ATTEMPTS, "request started more often than the route allows");
        let may_run_twice = !record.open_attempts.is_empty() || record.may_have_run;
        prop_assert!(record.is_idempotent || !may_run_twice, "a non-idempotent request could run twice");
        prop_assert!(
            record.deadline.is_some_and(|deadline| self.now < deadline),
            "request started after its deadline"
        );
        let state = self.dispatcher.targets().get(target);
        prop_assert!(
            state.is_some_and(|state| state.lifecycle == TargetLifecycle::Live),
            "request sent to a leaving or removed target"
        );
        prop_assert_eq!(record.starts > 0, is_further_attempt);
        record.starts += 1;
        record.open_attempts.push(target);
        self.further_attempts += u32::from(is_further_attempt);
        let bound = FURTHER_ATTEMPT_SHARE * f64::from(self.first_attempts) + BUDGET_CAPACITY;
        prop_assert!(
            f64::from(self.further_attempts) <= bound,
            "{} further attempts for {} first attempts",
            self.further_attempts,
            self.first_attempts
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, rng_seed: proptest::test_runner::RngSeed::Fixed(8), failure_persistence: None, ..ProptestConfig::default() })]

    /// Under any order of events, a non-idempotent request is never sent again while it may have
    /// run, no request gets more attempts than allowed, nothing is sent after a request has
    /// finished, nothing is sent to a leaving target, and no slot leaks.
    #[test]
    fn invariants_hold_under_any_order_of_events(steps in prop::collection::vec(model_step(), 1..150)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            model.apply_actions()?;
        }
        let all: Vec<RequestId> = model.requests.keys().copied().collect();
        for request in all {
            model.finish_request(request);
            model.apply_actions()?;
        }
        prop_assert!(model.dispatcher.targets().iter().all(|(_, target)| target.in_flight == 0));
    }
}

#[test]
fn expired_request_is_refused_and_adds_nothing_to_the_budget() {
    let mut model = Model::new();
    model.dispatcher.set_attempt_budget_capacity(0.0);
    for _ in 0..100 {
        model.submit(0, 0);
    }
    let refused = |action: &DispatchAction| {
        matches!(action, DispatchAction::Refuse { reason: RefusalReason::DeadlinePassed, .. })
    };
    assert_eq!(model.actions.iter().filter(|action| refused(action)).count(), 100);
    model.actions.clear();
    model.submit(0, 400);
    let DispatchAction::Start { request, target, .. } = model.actions.remove(0) else {
        panic!("a request with time left must start")
    };
    let failure = AttemptFailure::Refused;
    let decision = model.dispatcher.attempt_failed(request, target, failure, model.now, &mut model.actions);
    assert_eq!(decision, FailureDecision::Final, "refused requests must not add to the retry budget");
}
