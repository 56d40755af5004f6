//! Three failure domains with entry VMs, targets and callers in virtual time, without a network.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sniperelay_core::dispatch::{
    AttemptFailure, DispatchAction, DispatchSettings, NewRequest, ResponseMetadata, ServiceDispatcher,
};
use sniperelay_core::domain_homes::domain_cell;
use sniperelay_core::domain_overflow::LeavingCosts;
use sniperelay_core::home::HomeCandidate;
use sniperelay_core::ids::{RequestId, TargetKey};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::route::{
    CallerLimits, RouteConfig, RouteSpec, RouteTable, ServiceSpec, WeightedService,
};
use sniperelay_core::target::{ColdLimit, SharedReport, SharedTarget, TargetLifecycle, TargetSpec};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
const VMS_PER_DOMAIN: usize = 2;
const TARGETS_PER_DOMAIN: usize = 12;
const SLOTS: u32 = 3;
const SERVICE_MILLIS: std::ops::Range<u64> = 40..60;
const HOP: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(2);
const SMALL_BYTES: usize = 1500;
const UPLOAD_BYTES: usize = 65_000;
const UPLOAD_SHARE: f64 = 0.05;
const SMALL_LATENCY: Duration = Duration::from_millis(250);
const UPLOAD_LATENCY: Duration = Duration::from_millis(1000);
const MAX_REPORT_AGE: Duration = Duration::from_millis(150);
/// Time for which targets that have returned cold tolerate few requests.
const COLD_TIME: Duration = Duration::from_secs(5);

/// Load of each domain's callers, as a share of what its targets can serve.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub a: f64,
    pub b: f64,
    pub c: f64,
}

impl Load {
    pub fn even(load: f64) -> Self {
        Self { a: load, b: load, c: load }
    }

    fn of(&self, domain: &str) -> f64 {
        match domain {
            "a" => self.a,
            "b" => self.b,
            _ => self.c,
        }
    }
}

/// What became of the requests of one domain's callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Totals {
    pub sent: u64,
    /// Answered or refused.
    pub done: u64,
    pub on_time: u64,
    pub left: u64,
    pub uploads_left: u64,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    vm: usize,
    request: RequestId,
    key: TargetKey,
    is_upload: bool,
    deadline: Instant,
}

#[derive(Debug, Default)]
struct Target {
    domain: &'static str,
    /// Service time relative to the usual one.
    slowdown: f64,
    running: Vec<(Instant, Job)>,
    waiting: VecDeque<Job>,
}

struct Vm {
    domain: &'static str,
    dispatcher: ServiceDispatcher,
    actions: Vec<DispatchAction>,
    open: BTreeMap<RequestId, (bool, Instant)>,
}

pub struct DomainFleet {
    now: Instant,
    rng: SmallRng,
    vms: Vec<Vm>,
    targets: BTreeMap<SocketAddr, Target>,
    listed: BTreeSet<SocketAddr>,
    /// Listed targets that tolerate few requests, since their return.
    cold: BTreeSet<SocketAddr>,
    totals: BTreeMap<&'static str, Totals>,
    free_samples: BTreeMap<&'static str, (u64, u64)>,
    next_request: RequestId,
    steps: u64,
}

impl DomainFleet {
    /// Creates a fleet; `costs` is `None` if requests do not leave their domain.
    pub fn new(seed: u64, costs: Option<LeavingCosts>) -> Self {
        let vm = |index: usize| {
            let domain = DOMAINS[index / VMS_PER_DOMAIN];
            let settings = DispatchSettings {
                local_domain: domain.to_owned(),
                policy: PickPolicy::SharedSlots,
                seed: seed ^ index as u64,
            };
            let document = RouteTable::build(&config(), 0).documents()[0].clone();
            let mut dispatcher = ServiceDispatcher::new(Arc::new(document), settings);
            dispatcher.set_leaving_costs(costs);
            dispatcher.set_max_report_age(Some(MAX_REPORT_AGE));
            Vm { domain, dispatcher, actions: Vec::new(), open: BTreeMap::new() }
        };
        let target = |index: usize| {
            let domain = DOMAINS[index / TARGETS_PER_DOMAIN];
            (
                SocketAddr::from(([10, 0, 0, index as u8 + 1], 80)),
                Target { domain, slowdown: 1.0, ..Target::default() },
            )
        };
        let targets: BTreeMap<SocketAddr, Target> = (0..3 * TARGETS_PER_DOMAIN).map(target).collect();
        let mut fleet = Self {
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
            vms: (0..3 * VMS_PER_DOMAIN).map(vm).collect(),
            listed: targets.keys().copied().collect(),
            targets,
            cold: BTreeSet::new(),
            totals: BTreeMap::new(),
            free_samples: BTreeMap::new(),
            next_request: 1,
            steps: 0,
        };
        fleet.assign_targets();
        fleet
    }

    pub fn totals(&self, domain: &str) -> Totals {
        self.totals.get(domain).copied().unwrap_or_default()
    }

    pub fn reset_totals(&mut self) {
        self.totals.clear();
        self.free_samples.clear();
    }

    pub fn all_on_time(&self) -> u64 {
        self.totals.values().map(|totals| totals.on_time).sum()
    }

    /// Returns the mean share of free slots of a domain's targets since the last reset.
    pub fn free_slot_share(&self, domain: &str) -> f64 {
        let (free, all) = self.free_samples[domain];
        free as f64 / all as f64
    }

    /// Removes a domain's targets from the list and fails the requests that run there.
    pub fn remove_targets(&mut self, domain: &str) {
        let removed = self.addresses_in(domain);
        self.listed.retain(|address| !removed.contains(address));
        for address in removed {
            let target = self.targets.get_mut(&address).unwrap();
            let running = target.running.drain(..).map(|(_, job)| job);
            let jobs: Vec<Job> = running.chain(target.waiting.drain(..)).collect();
            for job in jobs {
                let vm = &mut self.vms[job.vm];
                let failure = AttemptFailure::Connect;
                vm.dispatcher.attempt_failed(job.request, job.key, failure, self.now, &mut vm.actions);
            }
        }
        self.assign_targets();
    }

    pub fn restore_targets(&mut self, domain: &str) {
        let restored = self.addresses_in(domain);
        self.listed.extend(restored);
        self.assign_targets();
    }

    /// Lists a domain's targets again, as ones that tolerate one request a second each.
    pub fn restore_targets_cold(&mut self, domain: &str) {
        self.cold.extend(self.addresses_in(domain));
        self.restore_targets(domain);
    }

    /// Changes the speed of a domain's targets.
    pub fn set_slowdown(&mut self, domain: &str, slowdown: f64) {
        let members = self.targets.values_mut().filter(|target| target.domain == domain);
        members.for_each(|target| target.slowdown = slowdown);
    }

    pub fn run(&mut self, time: Duration, load: &Load) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.finish_jobs();
            self.submit_arrivals(load);
            self.tick();
            self.apply_actions();
            self.sample();
        }
    }

    fn addresses_in(&self, domain: &str) -> Vec<SocketAddr> {
        self.targets
            .iter()
            .filter(|(_, target)| target.domain == domain)
            .map(|(address, _)| *address)
            .collect()
    }

    fn assign_targets(&mut self) {
        let candidate = |(index, vm): (usize, &Vm)| HomeCandidate {
            incarnation: index as u64 + 1,
            domain: vm.domain.to_owned(),
        };
        let homes: Vec<HomeCandidate> = self.vms.iter().enumerate().map(candidate).collect();
        let listed: Vec<(SocketAddr, String)> =
            self.listed.iter().map(|address| (*address, self.targets[address].domain.to_owned())).collect();
        let shared = |addresses: &HashSet<SocketAddr>| -> Vec<SharedTarget> {
            let members = listed.iter().filter(|(address, _)| addresses.contains(address));
            members
                .map(|(address, domain)| shared_target(*address, domain, self.cold.contains(address)))
                .collect()
        };
        for (index, vm) in self.vms.iter_mut().enumerate() {
            let cell = domain_cell(index as u64 + 1, &homes, &listed).unwrap();
            let (own, overflow) = (shared(&cell.own), shared(&cell.overflow));
            vm.dispatcher.replace_with_overflow(&own, &overflow, self.now, &mut vm.actions);
        }
    }

    fn submit_arrivals(&mut self, load: &Load) {
        let mean_service = (SERVICE_MILLIS.start + SERVICE_MILLIS.end) as f64 / 2.0;
        let capacity = f64::from(SLOTS) * TARGETS_PER_DOMAIN as f64 * STEP.as_millis() as f64 / mean_service;
        for (domain, name) in DOMAINS.iter().enumerate() {
            let mut expected = load.of(name) * capacity;
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(0.5)) {
                    let vm = domain * VMS_PER_DOMAIN + self.rng.random_range(0..VMS_PER_DOMAIN);
                    self.submit(vm);
                }
                expected -= 0.5;
            }
        }
    }

    fn submit(&mut self, index: usize) {
        let is_upload = self.rng.random_bool(UPLOAD_SHARE);
        let request = self.next_request;
        self.next_request += 1;
        let vm = &mut self.vms[index];
        let deadline = self.now + if is_upload { UPLOAD_LATENCY } else { SMALL_LATENCY };
        let new_request = NewRequest {
            request,
            rank: usize::from(is_upload),
            deadline,
            is_idempotent: true,
            is_retry_forbidden: false,
            account: 0,
        };
        self.totals.entry(vm.domain).or_default().sent += 1;
        vm.open.insert(request, (is_upload, deadline));
        vm.dispatcher.submit(new_request, self.now, &mut vm.actions);
    }

    fn tick(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            if self.steps.is_multiple_of(10) {
                vm.dispatcher.tick(self.now, &mut vm.actions);
            }
            if self.steps.is_multiple_of(12) {
                for (key, address) in vm.dispatcher.take_targets_to_probe(self.now) {
                    let (occupied, slowdown) = reported(&self.targets[&address]);
                    let own = vm.dispatcher.targets().get(key).map_or(0, |target| target.in_flight);
                    let report = SharedReport { occupied, own, slowdown };
                    vm.dispatcher.record_report(key, report, self.now, &mut vm.actions);
                }
            }
        }
    }

    fn apply_actions(&mut self) {
        for index in 0..self.vms.len() {
            while !self.vms[index].actions.is_empty() {
                for action in std::mem::take(&mut self.vms[index].actions) {
                    self.apply(index, action);
                }
            }
        }
    }

    fn apply(&mut self, index: usize, action: DispatchAction) {
        let vm = &mut self.vms[index];
        match action {
            DispatchAction::Start { request, target, address, .. } => {
                let Some(&(is_upload, deadline)) = vm.open.get(&request) else { return };
                if vm.domain != self.targets[&address].domain {
                    let totals = self.totals.entry(vm.domain).or_default();
                    totals.left += 1;
                    totals.uploads_left += u64::from(is_upload);
                }
                let job = Job { vm: index, request, key: target, is_upload, deadline };
                self.targets.get_mut(&address).unwrap().waiting.push_back(job);
                self.start_waiting(address);
            }
            DispatchAction::Refuse { request, .. } => {
                if vm.open.remove(&request).is_some() {
                    self.totals.entry(vm.domain).or_default().done += 1;
                }
            }
            DispatchAction::CancelAttempt { .. }
            | DispatchAction::RequestSlots { .. }
            | DispatchAction::ReturnSlot { .. } => {}
        }
    }

    fn start_waiting(&mut self, address: SocketAddr) {
        let target = self.targets.get_mut(&address).unwrap();
        while target.running.len() < SLOTS as usize {
            let Some(job) = target.waiting.pop_front() else { return };
            let way = if self.vms[job.vm].domain == target.domain { Duration::ZERO } else { HOP * 2 };
            let service = Duration::from_millis(self.rng.random_range(SERVICE_MILLIS));
            target.running.push((self.now + service.mul_f64(target.slowdown) + way, job));
        }
    }

    fn finish_jobs(&mut self) {
        let addresses: Vec<SocketAddr> = self.targets.keys().copied().collect();
        for address in addresses {
            let target = self.targets.get_mut(&address).unwrap();
            let now = self.now;
            let done: Vec<Job> =
                target.running.extract_if(.., |(end, _)| *end <= now).map(|(_, job)| job).collect();
            for job in done {
                self.finish(address, job);
            }
            self.start_waiting(address);
        }
    }

    fn finish(&mut self, address: SocketAddr, job: Job) {
        let (occupied, slowdown) = reported(&self.targets[&address]);
        let vm = &mut self.vms[job.vm];
        let own = vm.dispatcher.targets().get(job.key).map_or(0, |target| target.in_flight);
        let report = SharedReport { occupied, own: own.saturating_sub(1), slowdown };
        vm.dispatcher.record_report(job.key, report, self.now, &mut vm.actions);
        let bytes = if job.is_upload { UPLOAD_BYTES } else { 0 };
        vm.dispatcher.record_transfer(job.request, job.key, bytes, SMALL_BYTES);
        let metadata = ResponseMetadata { report: None, is_error: false };
        vm.dispatcher.response_started(job.request, job.key, metadata, self.now, &mut vm.actions);
        vm.dispatcher.attempt_ended(job.request, job.key, self.now, &mut vm.actions);
        if vm.open.remove(&job.request).is_some() {
            let totals = self.totals.entry(vm.domain).or_default();
            totals.done += 1;
            totals.on_time += u64::from(self.now <= job.deadline);
        }
    }

    fn sample(&mut self) {
        for target in self.targets.values() {
            let sample = self.free_samples.entry(target.domain).or_default();
            sample.0 += (SLOTS as usize - target.running.len()) as u64;
            sample.1 += u64::from(SLOTS);
        }
    }
}

/// Returns what a target reports: the number of its requests, and its slowdown.
fn reported(target: &Target) -> (u32, f64) {
    ((target.running.len() + target.waiting.len()) as u32, target.slowdown)
}

fn shared_target(address: SocketAddr, domain: &str, is_cold: bool) -> SharedTarget {
    let spec = TargetSpec {
        address,
        domain: domain.to_owned(),
        lifecycle: TargetLifecycle::Live,
        owned_slots: SLOTS,
    };
    let cold_limit = ColdLimit {
        started_millis: Some(1),
        duration: COLD_TIME,
        interval: Some(Duration::from_secs(1)),
        is_established: true,
    };
    SharedTarget {
        spec,
        instance: format!("i{address}"),
        warm_up: if is_cold { COLD_TIME } else { Duration::ZERO },
        cold_limit: is_cold.then_some(cold_limit),
    }
}

fn config() -> RouteConfig {
    let route = |name: &str, priority: u32, latency: Duration| RouteSpec {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        weighted_services: vec![WeightedService { service: "s".to_owned(), weight: 1 }],
        is_idempotent: true,
        timeout: Duration::from_secs(2),
        latency,
        max_attempts: 2,
        priority,
        is_public: false,
    };
    let service = ServiceSpec {
        name: "s".to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 100,
        warm_up: None,
    };
    RouteConfig {
        version: 1,
        routes: vec![route("small", 0, SMALL_LATENCY), route("upload", 1, UPLOAD_LATENCY)],
        services: vec![service],
        limits: CallerLimits {
            header_bytes: 1000,
            body_bytes: 100_000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        accounts: None,
    }
}
