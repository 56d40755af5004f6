//! Tests of the load that keeps a burst up: targets that slow down when they are nearly full, and complete less than they
//! could while requests wait.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sniperelay_core::concurrency::WorkLevels;
use sniperelay_core::dispatch::{
    DispatchAction, DispatchSettings, NewRequest, ResponseMetadata, ServiceDispatcher,
};
use sniperelay_core::ids::{RankId, RequestId, TargetKey};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::route::{
    CallerLimits, RouteConfig, RouteSpec, RouteTable, ServiceSpec, WeightedService,
};
use sniperelay_core::target::{SharedReport, SharedTarget, TargetLifecycle, TargetSpec};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TARGETS: usize = 4;
const SLOTS: u32 = 4;
/// Work on a request at a target that is not nearly full.
const WORK: Duration = Duration::from_millis(100);
const LATENCY: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_millis(1200);
/// Factor of the work at a full target. With three requests a target completes 30 a second, with four 23.5.
const FULL_SLOWDOWN: f64 = 1.7;
/// Requests per second: 87 % of what the targets complete with three requests each.
const LOAD: f64 = 104.0;
const TICK: Duration = Duration::from_millis(20);
const BURST: std::ops::Range<Duration> = Duration::from_secs(6)..Duration::from_secs(9);
/// Two windows of two seconds after the burst.
const RECOVERED: Duration = Duration::from_secs(13);
/// Share of requests that must be on time at this load, which leaves an eighth of the targets' capacity free.
const MIN_ON_TIME: f64 = 0.95;
const END: Duration = Duration::from_secs(17);

fn config() -> RouteConfig {
    RouteConfig {
        version: 1,
        routes: vec![RouteSpec {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            weighted_services: vec![WeightedService { service: "s".to_owned(), weight: 1 }],
            is_idempotent: false,
            timeout: TIMEOUT,
            latency: LATENCY,
            max_attempts: 1,
            priority: 0,
            is_public: false,
        }],
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

struct Submitted {
    arrived_at: Instant,
    is_late_rank: bool,
}

/// One service under an open load, in virtual time.
struct LoadedService {
    begun_at: Instant,
    now: Instant,
    rng: SmallRng,
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    /// Running requests by the time of their response.
    running: BTreeMap<(Instant, RequestId), TargetKey>,
    at_target: HashMap<TargetKey, u32>,
    submitted: HashMap<RequestId, Submitted>,
    last_request: RequestId,
    /// Arrival of each request, and whether its response was on time.
    results: Vec<(Duration, bool)>,
    full_slowdown: f64,
}

impl LoadedService {
    fn new(seed: u64, full_slowdown: f64) -> Self {
        let table = RouteTable::build(&config(), 0);
        let settings =
            DispatchSettings { local_domain: "z".to_owned(), policy: PickPolicy::SharedSlots, seed };
        let mut dispatcher = ServiceDispatcher::new(Arc::new(table.documents()[0].clone()), settings);
        let target = |index: usize| SharedTarget {
            spec: TargetSpec {
                address: SocketAddr::from(([10, 0, 0, index as u8 + 1], 80)),
                domain: "z".to_owned(),
                lifecycle: TargetLifecycle::Live,
                owned_slots: SLOTS,
            },
            instance: format!("i{index}"),
            warm_up: Duration::ZERO,
            cold_limit: None,
        };
        let (now, mut actions) = (Instant::now(), Vec::new());
        let targets: Vec<SharedTarget> = (0..TARGETS).map(target).collect();
        dispatcher.replace_shared_targets(&targets, now, &mut actions);
        let mut service = Self {
            begun_at: now,
            now,
            rng: SmallRng::seed_from_u64(seed),
            dispatcher,
            actions,
            running: BTreeMap::new(),
            at_target: HashMap::new(),
            submitted: HashMap::new(),
            last_request: 0,
            results: Vec::new(),
            full_slowdown,
        };
        let keys: Vec<TargetKey> = service.dispatcher.targets().iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| service.report(key));
        service
    }

    fn report(&mut self, key: TargetKey) {
        let occupied = self.at_target.get(&key).copied().unwrap_or(0);
        let report = SharedReport { occupied, own: occupied, slowdown: 1.0 };
        self.dispatcher.record_report(key, report, self.now, &mut self.actions);
    }

    /// Runs the load until its end.
    fn run(&mut self) {
        let (mut next_arrival, mut next_tick) = (self.now, self.now);
        let end = self.begun_at + END;
        while self.now < end {
            let next_end = self.running.keys().next().map_or(end, |(at, _)| *at);
            self.now = next_arrival.min(next_tick).min(next_end);
            if self.now == next_end {
                self.complete_next();
            } else if self.now == next_arrival {
                self.submit_new();
                let is_burst = BURST.contains(&(self.now - self.begun_at));
                let rate = if is_burst { 2.0 * LOAD } else { LOAD };
                next_arrival += Duration::from_secs_f64(-self.rng.random_range(1e-9..1.0_f64).ln() / rate);
            } else {
                self.dispatcher.tick(self.now, &mut self.actions);
                next_tick += TICK;
            }
            self.run_actions();
        }
    }

    fn submit_new(&mut self) {
        self.last_request += 1;
        let submitted = Submitted { arrived_at: self.now, is_late_rank: false };
        self.submit(self.last_request, submitted, 0);
    }

    fn submit(&mut self, request: RequestId, submitted: Submitted, rank: RankId) {
        let time = if submitted.is_late_rank { TIMEOUT } else { LATENCY };
        let deadline = submitted.arrived_at + time;
        self.submitted.insert(request, submitted);
        let new = NewRequest {
            request,
            rank,
            deadline,
            is_idempotent: false,
            is_retry_forbidden: true,
            account: 0,
        };
        self.dispatcher.submit(new, self.now, &mut self.actions);
    }

    fn run_actions(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    DispatchAction::Start { request, target, .. } => self.start(request, target),
                    DispatchAction::Refuse { request, .. } => self.refuse(request),
                    _ => {}
                }
            }
        }
    }

    fn start(&mut self, request: RequestId, target: TargetKey) {
        let level = self.at_target.entry(target).or_default();
        *level += 1;
        let slowdown = if *level >= SLOTS { self.full_slowdown } else { 1.0 };
        let work = WORK.mul_f64(slowdown * self.rng.random_range(0.6..1.4));
        self.running.insert((self.now + work, request), target);
    }

    /// A request that cannot be on time is submitted again, as the handler of requests does it.
    fn refuse(&mut self, request: RequestId) {
        let submitted = self.submitted.remove(&request).unwrap();
        if submitted.is_late_rank {
            self.results.push((submitted.arrived_at - self.begun_at, false));
        } else {
            self.submit(request, Submitted { is_late_rank: true, ..submitted }, usize::MAX);
        }
    }

    fn complete_next(&mut self) {
        let ((_, request), target) = self.running.pop_first().unwrap();
        *self.at_target.get_mut(&target).unwrap() -= 1;
        let submitted = self.submitted.remove(&request).unwrap();
        let is_on_time = self.now <= submitted.arrived_at + LATENCY;
        self.results.push((submitted.arrived_at - self.begun_at, is_on_time));
        let metadata = ResponseMetadata { report: None, is_error: false };
        self.report(target);
        self.dispatcher.response_started(request, target, metadata, self.now, &mut self.actions);
        self.dispatcher.attempt_ended(request, target, self.now, &mut self.actions);
    }

    /// Returns the share of requests on time among those that arrived in a period.
    fn on_time_share(&self, period: std::ops::Range<Duration>) -> f64 {
        let arrived: Vec<bool> = self
            .results
            .iter()
            .filter(|(at, _)| period.contains(at))
            .map(|(_, is_on_time)| *is_on_time)
            .collect();
        arrived.iter().filter(|is_on_time| **is_on_time).count() as f64 / arrived.len() as f64
    }
}

/// A service at the load of the day, a burst of three seconds, then the old load. Guards against targets that are kept full
/// by the wait that full targets cause.
#[test]
fn burst_ends_at_targets_that_slow_down_when_full() {
    for seed in 0..100 {
        let mut service = LoadedService::new(seed, FULL_SLOWDOWN);
        service.run();
        let before = service.on_time_share(Duration::from_secs(2)..BURST.start);
        let after = service.on_time_share(RECOVERED..END - Duration::from_secs(1));
        assert!(
            before.min(after) >= MIN_ON_TIME,
            "seed {seed}: {before:.3} on time before the burst, {after:.3} after"
        );
    }
}

/// Targets that do not slow down are filled.
#[test]
fn targets_without_slowdown_are_filled() {
    let mut service = LoadedService::new(1, 1.0);
    service.run();
    let limits: Vec<u32> = service.dispatcher.targets().iter().map(|(_, target)| target.limit()).collect();
    assert_eq!(limits, vec![SLOTS; TARGETS]);
}

#[test]
fn best_level_is_the_one_that_completes_most() {
    // Durations in milliseconds by level, and the best level of four.
    let rows: [(&[u64], u32); 6] = [
        (&[100, 100, 100, 100], 4),
        (&[100, 100, 100, 170], 3),
        (&[100, 100, 160, 250], 2),
        (&[100, 250, 400, 600], 1),
        // The second level is slow, but the fourth completes most.
        (&[100, 190, 200, 210], 4),
        (&[], 4),
    ];
    for (durations, expected) in rows {
        let mut levels = WorkLevels::default();
        for (index, millis) in durations.iter().enumerate() {
            (0..60).for_each(|_| levels.record(index as u32 + 1, Duration::from_millis(*millis)));
        }
        assert_eq!(levels.best_level(4), expected, "{durations:?}");
        assert_eq!(levels.best_level(40), 40, "more slots than levels");
    }
}

/// A few slow requests at a level prove nothing about it.
#[test]
fn level_with_few_requests_counts_as_fast() {
    let mut levels = WorkLevels::default();
    (0..60).for_each(|_| levels.record(1, Duration::from_millis(100)));
    (0..10).for_each(|_| levels.record(2, Duration::from_secs(3)));
    assert_eq!(levels.best_level(2), 2);
}
