//! Tests of cold targets, in virtual time: several entry VMs, each with a dispatcher of its own, send to the same targets.

use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, NewRequest, ResponseMetadata, ServiceDispatcher,
};
use sniperelay_core::document::{ProbePolicy, RankPolicy, RetryPolicy, RouteMatch, ServiceDocument};
use sniperelay_core::ids::TargetKey;
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::reason::{RefusalReason, RetryReason};
use sniperelay_core::target::{
    ColdLimit, SharedTarget, TargetLifecycle, TargetSpec, WarmUpBudget, WarmUpChange,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tolerated rate of a cold target, and the maximum number of its requests in one second.
const BUDGET: WarmUpBudget = WarmUpBudget { per_second: 8.8, per_window: 8.8 * 1.5 + 8.0 };
const WARM_UP: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(20);
const OK_RESPONSE: ResponseMetadata = ResponseMetadata { report: None, is_error: false };

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
        retry: RetryPolicy { max_attempts: 2, retry_share: 1.0, hedge_share: 0.0 },
        measuring: ProbePolicy { calls_per_second: 1, bytes_per_second: 1000, path: "/h".to_owned() },
        ranks: vec![RankPolicy {
            name: "r".to_owned(),
            matches: vec![RouteMatch { method: "GET".to_owned(), path: "/".to_owned() }],
            worth: 1.0,
            latency: millis(300),
            give_up: millis(1000),
            on_time_share: 0.99,
            kept_share: 0.0,
            idempotent: true,
            queue_limit: 1000,
        }],
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 80))
}

/// Entry of a target.
#[derive(Clone, Copy)]
struct Entry {
    born: u64,
    left: Duration,
    is_established: bool,
}

const WARM: Entry = Entry { born: 1, left: Duration::ZERO, is_established: false };

/// One entry VM.
struct TestVm {
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    interval: Option<Duration>,
    has_policy: bool,
    is_idempotent: bool,
    last_request: u64,
    /// Targets and times of the attempts.
    sent: Vec<(SocketAddr, Instant)>,
    running: Vec<(u64, TargetKey)>,
    refused: Vec<(RefusalReason, Duration)>,
}

impl TestVm {
    fn new(interval: Option<Duration>, entries: &[Entry], now: Instant) -> Self {
        Self::with_policy(interval, true, entries, now)
    }

    fn with_policy(interval: Option<Duration>, has_policy: bool, entries: &[Entry], now: Instant) -> Self {
        let settings =
            DispatchSettings { local_domain: "d".to_owned(), policy: PickPolicy::SharedSlots, seed: 1 };
        let mut dispatcher = ServiceDispatcher::new(Arc::new(document()), settings);
        dispatcher.set_attempt_budget_capacity(100.0);
        dispatcher.set_max_report_age(Some(millis(150)));
        let mut vm = Self {
            dispatcher,
            actions: Vec::new(),
            interval,
            has_policy,
            is_idempotent: true,
            last_request: 0,
            sent: Vec::new(),
            running: Vec::new(),
            refused: Vec::new(),
        };
        vm.set_targets(entries, now);
        vm
    }

    fn set_targets(&mut self, entries: &[Entry], now: Instant) {
        let limit = |entry: &Entry| ColdLimit {
            started_millis: Some(entry.born),
            duration: WARM_UP,
            interval: self.interval,
            is_established: entry.is_established,
        };
        let target = |(index, entry): (usize, &Entry)| SharedTarget {
            spec: TargetSpec {
                address: address(index),
                domain: "d".to_owned(),
                lifecycle: TargetLifecycle::Live,
                owned_slots: 4,
            },
            instance: format!("i{index}"),
            warm_up: entry.left,
            cold_limit: self.has_policy.then(|| limit(entry)),
        };
        let targets: Vec<SharedTarget> = entries.iter().enumerate().map(target).collect();
        self.dispatcher.replace_shared_targets(&targets, now, &mut self.actions);
        self.take_actions(now);
    }

    fn key(&self, index: usize) -> TargetKey {
        self.dispatcher.targets().find(address(index)).unwrap()
    }

    /// Records a health response to a check that was sent just now.
    fn read(&mut self, index: usize, left: Duration, now: Instant) {
        self.read_late(index, left, now, now);
    }

    fn read_late(&mut self, index: usize, left: Duration, sent_at: Instant, now: Instant) {
        let key = self.key(index);
        self.dispatcher.record_warm_up(key, left, sent_at, now, &mut self.actions);
        self.take_actions(now);
    }

    fn submit(&mut self, time_left: Duration, now: Instant) {
        self.last_request += 1;
        let request = NewRequest {
            request: self.last_request,
            rank: 0,
            deadline: now + time_left,
            is_idempotent: self.is_idempotent,
            is_retry_forbidden: false,
            account: 0,
        };
        self.dispatcher.submit(request, now, &mut self.actions);
        self.take_actions(now);
    }

    fn tick(&mut self, now: Instant) {
        self.dispatcher.tick(now, &mut self.actions);
        self.take_actions(now);
    }

    fn take_actions(&mut self, now: Instant) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                DispatchAction::Start { request, target, address, .. } => {
                    self.sent.push((address, now));
                    self.running.push((request, target));
                }
                DispatchAction::Refuse { reason, retry_after, .. } => {
                    self.refused.push((reason, retry_after))
                }
                _ => {}
            }
        }
    }

    /// Ends all attempts in flight with success. Ticks come later, as with a real response.
    fn complete_all(&mut self, now: Instant) {
        for (request, target) in std::mem::take(&mut self.running) {
            self.dispatcher.response_started(request, target, OK_RESPONSE, now, &mut self.actions);
            self.dispatcher.attempt_ended(request, target, now, &mut self.actions);
        }
        self.take_actions(now);
    }

    fn sent_to(&self, index: usize) -> impl Iterator<Item = Instant> {
        let times = self.sent.iter().filter(move |(target, _)| *target == address(index));
        times.map(|(_, at)| *at).collect::<Vec<_>>().into_iter()
    }

    fn changes(&mut self) -> Vec<(SocketAddr, WarmUpChange)> {
        let changes = self.dispatcher.take_cold_target_report().changes.into_iter();
        changes.map(|(address, _, change)| (address, change)).collect()
    }
}

/// Returns the maximum number of requests to a target from all entry VMs in any one second.
fn peak(vms: &[TestVm], index: usize) -> usize {
    let mut times: Vec<Instant> = vms.iter().flat_map(|vm| vm.sent_to(index)).collect();
    times.sort_unstable();
    let in_window = |from: &Instant| {
        times.iter().filter(|at| **at >= *from && **at <= *from + Duration::from_secs(1)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Lets all entry VMs work for some time, each with this number of new requests per tick.
fn run(vms: &mut [TestVm], rates: &[usize], time: Duration, now: &mut Instant) {
    let end = *now + time;
    while *now < end {
        *now += TICK;
        for (vm, rate) in vms.iter_mut().zip(rates) {
            vm.complete_all(*now);
            vm.tick(*now);
            for _ in 0..*rate {
                vm.submit(millis(1000), *now);
            }
        }
    }
}

/// Guards against a sum of shares above what a cold target bears, for any number of senders, while the views of the fleet
/// differ. The number of senders does not depend on the size of the fleet.
#[test]
fn senders_of_two_views_stay_within_the_window_together() {
    for senders in [1, 2, 4, 6, 10, 16] {
        let counted = senders.min(BUDGET.max_senders());
        let interval = BUDGET.interval(counted);
        let mut now = Instant::now();
        let cold = [Entry { born: 1, left: Duration::from_secs(20), ..WARM }];
        let mut vms: Vec<TestVm> =
            (0..2 * counted).map(|_| TestVm::new(Some(interval), &cold, now)).collect();
        run(&mut vms, &vec![3; 2 * counted], Duration::from_secs(10), &mut now);
        let peak = peak(&vms, 0);
        assert!(peak as f64 <= BUDGET.per_window, "{senders} senders: {peak} requests in a second");
        // The senders of one view use at least half of the rate that the target tolerates.
        let sent: usize = vms[..counted].iter().map(|vm| vm.sent.len()).sum();
        assert!(sent as f64 >= 0.5 * BUDGET.per_second * 10.0, "{senders} senders: {sent} requests in 10 s");
    }
}

/// Guards against a tolerance without slack, which leaves room for few senders.
#[test]
fn few_senders_share_a_limit_without_slack() {
    let budget = WarmUpBudget { per_second: 8.0, per_window: 8.0 };
    assert_eq!(budget.max_senders(), 4);
    assert!(budget.interval(2) > millis(500), "two views of two send two each in a second");
    assert!(WarmUpBudget { per_second: 0.5, per_window: 0.5 }.interval(2) >= Duration::from_secs(4));
}

/// Callers are uneven: one sender gets nearly all requests. The bound holds, and the busy one uses its part.
#[test]
fn uneven_callers_do_not_exceed_the_window() {
    let mut now = Instant::now();
    let interval = Some(BUDGET.interval(2));
    let cold = [Entry { born: 1, left: Duration::from_secs(20), ..WARM }];
    let mut vms: Vec<TestVm> = (0..2).map(|_| TestVm::new(interval, &cold, now)).collect();
    run(&mut vms, &[5, 0], Duration::from_secs(5), &mut now);
    assert!(peak(&vms, 0) as f64 <= BUDGET.per_window / 2.0);
    let sent = vms[0].sent.len();
    assert!((15..=22).contains(&sent), "{sent} requests in 5 s at 4.4 per second");
}

/// The target restarts under its ID. The store still shows it as warm. Guards against the first requests at the usual rate.
#[test]
fn restart_under_the_same_id_is_limited_from_the_first_request() {
    let mut now = Instant::now();
    let interval = BUDGET.interval(2);
    let mut vm = TestVm::new(Some(interval), &[WARM], now);
    vm.is_idempotent = false;
    run(std::slice::from_mut(&mut vm), &[1], millis(200), &mut now);
    now += TICK;
    vm.submit(millis(1000), now);
    let (request, target) = vm.running.pop().unwrap();
    let lost_at = now;
    vm.complete_all(now);
    let failure = AttemptFailure::ConnectionLost;
    vm.dispatcher.attempt_failed(request, target, failure, now, &mut vm.actions);
    vm.take_actions(now);
    assert_eq!(vm.changes(), vec![(address(0), WarmUpChange::Lost)]);
    vm.set_targets(&[WARM], now);
    vm.read_late(0, Duration::ZERO, now - millis(5), now);
    assert_eq!(vm.changes(), vec![], "a check from before the loss and an earlier entry prove nothing");
    run(std::slice::from_mut(&mut vm), &[3], millis(900), &mut now);
    let sent: Vec<Instant> = vm.sent_to(0).filter(|at| *at >= lost_at + millis(1)).collect();
    assert!(sent[0] >= lost_at + interval, "the first request came after {:?}", sent[0] - lost_at);
    assert!(sent.len() <= 4, "{} requests in 0.9 s", sent.len());
    // The health response shows how long it stays cold, and at last that it is warm.
    vm.read(0, millis(400), now);
    assert_eq!(vm.changes(), vec![]);
    run(std::slice::from_mut(&mut vm), &[3], millis(500), &mut now);
    assert_eq!(vm.changes(), vec![(address(0), WarmUpChange::Warm)]);
    let before = vm.sent.len();
    run(std::slice::from_mut(&mut vm), &[3], millis(200), &mut now);
    assert!(vm.sent.len() > before + 10, "it is warm");
}

/// Guards against a new start that the store shows without a time left, and against an entry that is applied each time the
/// targets are assigned.
#[test]
fn an_entry_counts_once() {
    let mut now = Instant::now();
    let mut vm = TestVm::new(Some(BUDGET.interval(2)), &[WARM, WARM], now);
    let cold = Entry { born: 1, left: millis(500), ..WARM };
    vm.set_targets(&[cold, WARM], now);
    assert_eq!(vm.changes(), vec![(address(0), WarmUpChange::Cold)]);
    for _ in 0..60 {
        now += TICK;
        vm.set_targets(&[cold, WARM], now);
        vm.tick(now);
    }
    assert_eq!(vm.changes(), vec![(address(0), WarmUpChange::Warm)]);
    vm.set_targets(&[cold, Entry { born: 2, left: Duration::ZERO, ..WARM }], now);
    assert_eq!(vm.changes(), vec![(address(1), WarmUpChange::Lost)]);
    vm.read(1, Duration::ZERO, now);
    assert_eq!(vm.changes(), vec![(address(1), WarmUpChange::Warm)]);
    assert!(!vm.dispatcher.targets().get(vm.key(1)).unwrap().is_cold());
}

/// A domain returns: its targets join a table that serves. Their entries are older than their last start.
#[test]
fn targets_of_a_domain_that_returns_are_limited_and_the_others_carry_the_load() {
    let mut now = Instant::now();
    let interval = Some(BUDGET.interval(2));
    let mut vms: Vec<TestVm> = (0..2).map(|_| TestVm::new(interval, &[WARM, WARM], now)).collect();
    run(&mut vms, &[2, 2], millis(500), &mut now);
    for vm in &mut vms {
        vm.set_targets(&[WARM; 4], now);
        assert_eq!(vm.changes().len(), 2);
        vm.read(2, WARM_UP, now);
        vm.read(3, WARM_UP, now);
    }
    let returned_at = now;
    // More than the two warm targets have room for.
    run(&mut vms, &[10, 10], Duration::from_secs(2), &mut now);
    for index in [2, 3] {
        let peak = peak(&vms, index);
        assert!(peak >= 6, "target {index} gets work up to its limit, not {peak} requests in a second");
        assert!(peak as f64 <= BUDGET.per_window, "target {index}: {peak} requests in a second");
    }
    let at_warm = vms.iter().flat_map(|vm| vm.sent_to(0).chain(vm.sent_to(1)));
    let at_warm = at_warm.filter(|at| *at > returned_at).count();
    assert!(at_warm > 400, "{at_warm} requests at the warm targets");
}

/// The target turns cold again while requests wait for it.
#[test]
fn waiting_requests_obey_a_target_that_turns_cold_again() {
    let mut now = Instant::now();
    let mut vm = TestVm::new(Some(BUDGET.interval(2)), &[WARM], now);
    run(std::slice::from_mut(&mut vm), &[1], millis(200), &mut now);
    vm.complete_all(now);
    for _ in 0..40 {
        vm.submit(millis(1000), now);
    }
    assert!(vm.dispatcher.queue_length(0) > 30);
    vm.read(0, WARM_UP, now);
    let before = vm.sent.len();
    now += millis(1);
    vm.complete_all(now);
    assert_eq!(vm.sent.len(), before, "the slots are free, and the target is cold");
    run(std::slice::from_mut(&mut vm), &[0], millis(950), &mut now);
    let sent = vm.sent.len() - before;
    assert!((2..=5).contains(&sent), "{sent} requests in 0.95 s");
    vm.submit(millis(1000), now);
    assert_eq!(vm.dispatcher.take_cold_target_report().withheld, 1);
}

/// All targets are cold: what finds no room is refused at once, with the time until there is room.
#[test]
fn requests_without_room_at_cold_targets_are_refused_at_once() {
    let mut now = Instant::now();
    let cold = [Entry { born: 1, left: Duration::from_secs(20), ..WARM }];
    let mut vm = TestVm::new(Some(BUDGET.interval(2)), &cold, now);
    now += TICK;
    vm.tick(now);
    for _ in 0..30 {
        vm.submit(millis(1000), now);
    }
    let waiting = vm.dispatcher.queue_length(0);
    assert!((2..=5).contains(&waiting), "{waiting} requests wait for a second's part of the limit");
    assert_eq!(vm.refused.len(), 30 - waiting);
    let is_true = |(reason, retry_after): &(RefusalReason, Duration)| {
        *reason == RefusalReason::TargetLimit && *retry_after > millis(700) && *retry_after < millis(2000)
    };
    assert!(vm.refused.iter().all(is_true), "{:?}", vm.refused);
}

/// An entry VM that is no home of the service.
#[test]
fn entry_vm_without_a_part_sends_nothing_to_cold_targets() {
    let mut now = Instant::now();
    let cold = Entry { born: 1, left: Duration::from_secs(20), ..WARM };
    let mut vm = TestVm::new(None, &[cold, WARM], now);
    run(std::slice::from_mut(&mut vm), &[5], Duration::from_secs(1), &mut now);
    assert_eq!(vm.sent_to(0).count(), 0);
    assert!(vm.sent_to(1).count() > 100);
    // It does not check targets, so a loss counts for as long as a start.
    while !vm.running.is_empty() {
        vm.complete_all(now);
    }
    vm.dispatcher.record_loss(vm.key(1), now);
    vm.set_targets(&[cold, WARM], now);
    run(std::slice::from_mut(&mut vm), &[0], WARM_UP + TICK, &mut now);
    let changes = vm.changes();
    assert_eq!(changes[1..], [(address(1), WarmUpChange::Lost), (address(1), WarmUpChange::Warm)]);
}

/// Retries wait for a warm target, and hedges avoid cold ones.
#[test]
fn retries_avoid_cold_targets_while_one_is_warm() {
    let mut now = Instant::now();
    let cold = Entry { born: 1, left: Duration::from_secs(20), ..WARM };
    let mut vm = TestVm::new(Some(millis(1)), &[cold, WARM, WARM], now);
    now += TICK;
    vm.tick(now);
    // All slots of the warm targets are taken.
    while vm.sent_to(0).count() == 0 {
        vm.submit(millis(1000), now);
    }
    for _ in 0..2 {
        now += TICK;
        vm.tick(now);
    }
    assert!(vm.dispatcher.targets().get(vm.key(0)).unwrap().has_free_slot());
    let position = vm.running.iter().position(|(_, target)| *target == vm.key(1)).unwrap();
    let (request, target) = vm.running.swap_remove(position);
    let before = vm.sent_to(0).count();
    vm.dispatcher.attempt_failed(request, target, AttemptFailure::Refused, now, &mut vm.actions);
    let retried: Vec<_> = std::mem::take(&mut vm.actions);
    let to_cold = |action: &DispatchAction| {
        matches!(action, DispatchAction::Start { address, retry: Some(RetryReason::TargetRefused), .. }
            if *address == self::address(0))
    };
    assert!(!retried.iter().any(to_cold), "{retried:?}");
    assert_eq!(vm.sent_to(0).count(), before);
}

/// Targets of a service with a policy are checked although responses bring reports; lost ones at once.
#[test]
fn targets_are_checked_for_their_time_left() {
    let mut now = Instant::now();
    let mut vm = TestVm::new(Some(BUDGET.interval(2)), &[WARM], now);
    let key = vm.key(0);
    let mut checks = 0;
    for _ in 0..100 {
        now += TICK;
        vm.complete_all(now);
        vm.submit(millis(1000), now);
        let report = sniperelay_core::target::SharedReport { occupied: 0, own: 0, slowdown: 1.0 };
        vm.dispatcher.record_report(key, report, now, &mut vm.actions);
        vm.take_actions(now);
        if !vm.dispatcher.take_targets_to_probe(now).is_empty() {
            checks += 1;
            vm.read(0, Duration::ZERO, now);
        }
    }
    assert!((3..=5).contains(&checks), "{checks} checks in 2 s");
    vm.dispatcher.record_loss(key, now);
    assert_eq!(vm.dispatcher.take_targets_to_probe(now).len(), 1);
    assert_eq!(vm.dispatcher.take_targets_to_probe(now + TICK).len(), 0, "until the next one is due");
}

/// A service without a policy: a target that warms up is only taken for slower, and a loss changes nothing.
#[test]
fn without_a_policy_nothing_is_withheld() {
    let mut now = Instant::now();
    let cold = Entry { born: 1, left: Duration::from_secs(20), ..WARM };
    let mut vm = TestVm::with_policy(None, false, &[cold], now);
    vm.dispatcher.record_loss(vm.key(0), now);
    run(std::slice::from_mut(&mut vm), &[2], Duration::from_secs(1), &mut now);
    assert!(vm.sent.len() >= 95, "{} of 100 requests", vm.sent.len());
    assert_eq!(vm.changes(), vec![]);
}

/// A target that moves to this entry VM, because another one has left, has been listed for long: its entry is relied on.
#[test]
fn established_target_that_moves_here_is_used_at_once() {
    let mut now = Instant::now();
    let mut vm = TestVm::new(Some(BUDGET.interval(2)), &[WARM], now);
    run(std::slice::from_mut(&mut vm), &[1], millis(200), &mut now);
    let established = Entry { is_established: true, ..WARM };
    vm.set_targets(&[WARM, established, Entry { left: WARM_UP, ..established }], now);
    assert_eq!(vm.changes(), vec![(address(2), WarmUpChange::Cold)]);
}

/// The target goes silent without an error, for example because its link is cut, and returns cold.
#[test]
fn target_that_answers_no_checks_for_a_second_is_lost() {
    let mut now = Instant::now();
    let mut vm = TestVm::new(Some(BUDGET.interval(2)), &[WARM, WARM], now);
    let mut lost_after = None;
    let silent_since = now;
    while lost_after.is_none() && now < silent_since + Duration::from_secs(3) {
        now += TICK;
        vm.complete_all(now);
        vm.submit(millis(1000), now);
        for (key, _) in vm.dispatcher.take_targets_to_probe(now) {
            if key == vm.key(1) {
                vm.read(1, Duration::ZERO, now);
            }
        }
        lost_after = vm.changes().contains(&(address(0), WarmUpChange::Lost)).then(|| now - silent_since);
    }
    let lost_after = lost_after.expect("it is lost");
    assert!(lost_after >= millis(1000) && lost_after <= millis(1300), "{lost_after:?}");
}
