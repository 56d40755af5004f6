//! Shared slots under any order of events: requests come, are answered, fail and are cancelled;
//! reports come late, twice or not at all; targets leave, return and are replaced.

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
use sniperelay_core::target::{SharedReport, SharedTarget, TargetLife, TargetSpec};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TARGETS: usize = 3;
const MAX_ATTEMPTS: u32 = 2;
/// Bounds of the platform on further attempts: a part of the requests, and an allowance.
const REPEAT_SHARE: f64 = 0.2;
const RESERVE: f64 = 3.0;

#[derive(Debug, Clone)]
enum Step {
    Submit { rank: usize, within: u16 },
    Pass(u8),
    Report { index: usize, occupied: u32, pace: u8 },
    Answer(u8),
    Fail(u8, u8),
    Cancel(u8),
    Targets { present: u8, leaving: u8, generation: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..3, 0u16..400).prop_map(|(rank, within)| Step::Submit { rank, within }),
        4 => (1u8..120).prop_map(Step::Pass),
        4 => (0..TARGETS, 0u32..6, 1u8..6)
            .prop_map(|(index, occupied, pace)| Step::Report { index, occupied, pace }),
        4 => any::<u8>().prop_map(Step::Answer),
        4 => (any::<u8>(), 0u8..4).prop_map(|(index, how)| Step::Fail(index, how)),
        1 => any::<u8>().prop_map(Step::Cancel),
        1 => (any::<u8>(), any::<u8>(), 0u8..3)
            .prop_map(|(present, leaving, generation)| Step::Targets { present, leaving, generation }),
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
            life: if is_set(leaving, index) { TargetLife::Leaving } else { TargetLife::Live },
            owned_slots: 3,
        },
        instance: format!("i{index}-{generation}"),
        warm_up: Duration::ZERO,
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
    };
    RouteConfig {
        version: 1,
        routes: vec![route("read", true, 0), route("claim", false, 1)],
        services: vec![ServiceSpec {
            name: "s".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 100,
        }],
        limits: CallerLimits {
            header_bytes: 1000,
            body_bytes: 1000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }
}

/// What the world outside knows of one request.
#[derive(Debug, Default)]
struct Seen {
    is_idempotent: bool,
    deadline: Option<Instant>,
    starts: u32,
    open: Vec<TargetKey>,
    may_have_run: bool,
    is_ended: bool,
}

struct World {
    now: Instant,
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    requests: HashMap<RequestId, Seen>,
    firsts: u32,
    repeats: u32,
}

impl World {
    fn new() -> Self {
        let table = RouteTable::build(&config(), 0);
        let settings =
            DispatchSettings { local_domain: "near".to_owned(), policy: PickPolicy::SharedSlots, seed: 1 };
        let mut dispatcher = ServiceDispatcher::new(Arc::new(table.documents()[0].clone()), settings);
        dispatcher.set_attempt_budget_capacity(RESERVE);
        dispatcher.set_max_report_age(Some(Duration::from_millis(150)));
        let mut world = Self {
            now: Instant::now(),
            dispatcher,
            actions: Vec::new(),
            requests: HashMap::new(),
            firsts: 0,
            repeats: 0,
        };
        world.replace(7, 0, 0);
        world
    }

    fn replace(&mut self, present: u8, leaving: u8, generation: u8) {
        let targets = targets(present, leaving, generation);
        self.dispatcher.replace_shared_targets(&targets, self.now, &mut self.actions);
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Submit { rank, within } => self.submit(rank, within),
            Step::Pass(millis) => {
                self.now += Duration::from_millis(u64::from(millis));
                drop(self.dispatcher.take_targets_to_poll(self.now));
                self.dispatcher.tick(self.now, &mut self.actions);
            }
            Step::Report { index, occupied, pace } => {
                let Some(key) = self.dispatcher.targets().find(address(index)) else { return };
                let report = SharedReport { occupied, own: 0, slowdown: f64::from(pace) };
                self.dispatcher.record_report(key, report, self.now, &mut self.actions);
            }
            Step::Answer(index) => {
                let Some((request, key)) = self.open_attempt(index) else { return };
                let note = ResponseMetadata { report: None, is_error: false };
                self.dispatcher.response_started(request, key, note, self.now, &mut self.actions);
                self.close(request, key);
                self.end(request);
            }
            Step::Fail(index, how) => self.fail(index, how),
            Step::Cancel(index) => {
                let mut waiting: Vec<RequestId> =
                    self.requests.iter().filter(|(_, seen)| !seen.is_ended).map(|(id, _)| *id).collect();
                waiting.sort_unstable();
                if let Some(request) = waiting.get(usize::from(index) % waiting.len().max(1)).copied() {
                    self.end(request);
                }
            }
            Step::Targets { present, leaving, generation } => self.replace(present, leaving, generation),
        }
    }

    fn submit(&mut self, rank: usize, within: u16) {
        let request = self.requests.len() as RequestId + 1;
        let deadline = self.now + Duration::from_millis(u64::from(within));
        let is_idempotent = rank != 1;
        let seen = Seen { is_idempotent, deadline: Some(deadline), ..Seen::default() };
        self.requests.insert(request, seen);
        self.firsts += 1;
        let new = NewRequest { request, rank, deadline, is_idempotent, is_retried_by_caller: false };
        self.dispatcher.submit(new, self.now, &mut self.actions);
    }

    fn open_attempt(&self, index: u8) -> Option<(RequestId, TargetKey)> {
        let mut open: Vec<(RequestId, TargetKey)> = self
            .requests
            .iter()
            .flat_map(|(request, seen)| seen.open.iter().map(|key| (*request, *key)))
            .collect();
        open.sort_unstable();
        open.get(usize::from(index) % open.len().max(1)).copied()
    }

    fn fail(&mut self, index: u8, how: u8) {
        let Some((request, key)) = self.open_attempt(index) else { return };
        let failures = [
            AttemptFailure::Connect,
            AttemptFailure::Refused,
            AttemptFailure::ConnectionLost,
            AttemptFailure::ServerError,
        ];
        let failure = failures[usize::from(how)];
        let seen = self.requests.get_mut(&request).unwrap();
        seen.open.retain(|open| *open != key);
        seen.may_have_run |= !failure.proves_not_run();
        self.dispatcher.attempt_failed(request, key, failure, self.now, &mut self.actions);
    }

    fn close(&mut self, request: RequestId, key: TargetKey) {
        self.requests.get_mut(&request).unwrap().open.retain(|open| *open != key);
        self.dispatcher.attempt_ended(request, key, self.now, &mut self.actions);
    }

    /// The caller has its answer, or has gone: nothing of the request goes on.
    fn end(&mut self, request: RequestId) {
        self.dispatcher.cancel_waiting(request);
        let open = self.requests[&request].open.clone();
        open.into_iter().for_each(|key| self.close(request, key));
        self.requests.get_mut(&request).unwrap().is_ended = true;
    }

    /// Takes in what the dispatcher asks for, and checks each start.
    fn carry_out(&mut self) -> Result<(), TestCaseError> {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    DispatchAction::Start { request, target, retry, .. } => {
                        self.check_start(request, target, retry.is_some())?;
                    }
                    DispatchAction::Refuse { request, .. } => {
                        let seen = self.requests.get_mut(&request).unwrap();
                        prop_assert!(seen.open.is_empty(), "refused while an attempt is open");
                        seen.is_ended = true;
                    }
                    DispatchAction::CancelAttempt { request, target } => self.close(request, target),
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
        is_repeat: bool,
    ) -> Result<(), TestCaseError> {
        let seen = self.requests.get_mut(&request).unwrap();
        prop_assert!(!seen.is_ended, "started after its end");
        prop_assert!(seen.starts < MAX_ATTEMPTS, "more attempts than the route allows");
        let may_run_twice = !seen.open.is_empty() || seen.may_have_run;
        prop_assert!(seen.is_idempotent || !may_run_twice, "a claim could run twice");
        prop_assert!(seen.deadline.is_some_and(|deadline| self.now < deadline), "started when it was over");
        let state = self.dispatcher.targets().get(target);
        prop_assert!(state.is_some_and(|state| state.life == TargetLife::Live), "sent to a leaving target");
        prop_assert_eq!(seen.starts > 0, is_repeat);
        seen.starts += 1;
        seen.open.push(target);
        self.repeats += u32::from(is_repeat);
        let bound = REPEAT_SHARE * f64::from(self.firsts) + RESERVE;
        prop_assert!(f64::from(self.repeats) <= bound, "{} repeats of {}", self.repeats, self.firsts);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, rng_seed: proptest::test_runner::RngSeed::Fixed(8), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the order of events: a claim is never sent while it may have run, no more attempts
    /// than allowed, nothing after the end, nothing to a leaving target, and no slot leaks.
    #[test]
    fn promises_hold_whatever_the_order_of_events(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::new();
        for step in &steps {
            world.play(step);
            world.carry_out()?;
        }
        let all: Vec<RequestId> = world.requests.keys().copied().collect();
        for request in all {
            world.end(request);
            world.carry_out()?;
        }
        prop_assert!(world.dispatcher.targets().iter().all(|(_, target)| target.in_flight == 0));
    }
}

#[test]
fn a_request_whose_time_is_over_is_refused_and_earns_no_further_attempts() {
    let mut world = World::new();
    world.dispatcher.set_attempt_budget_capacity(0.0);
    for _ in 0..100 {
        world.submit(0, 0);
    }
    let refused = |action: &DispatchAction| {
        matches!(action, DispatchAction::Refuse { reason: RefusalReason::DeadlinePassed, .. })
    };
    assert_eq!(world.actions.iter().filter(|action| refused(action)).count(), 100);
    world.actions.clear();
    world.submit(0, 400);
    let DispatchAction::Start { request, target, .. } = world.actions.remove(0) else {
        panic!("a request in time starts")
    };
    let failure = AttemptFailure::Refused;
    let verdict = world.dispatcher.attempt_failed(request, target, failure, world.now, &mut world.actions);
    assert_eq!(verdict, FailureDecision::Final, "those that were never sent allow no repeat");
}
