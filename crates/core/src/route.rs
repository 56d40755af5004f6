//! Routes: host and longest path prefix to one or several weighted services.
//!
//! A [`RouteConfig`] is one version of the whole configuration as its source decoded it. A
//! [`RouteTable`] is built once from it and never changed. Each service that routes lead to gets a
//! [`ServiceDocument`] whose ranks are the distinct policies of its routes, the most urgent first,
//! and one more for answers that can only be late.

use crate::document::{MeasuringPolicy, RankPolicy, RetryPolicy, ServiceDocument};
use crate::ids::{RankId, ServiceName};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Version of a route configuration; only rises within one process run.
pub type RouteVersion = u64;
/// Name of a route.
pub type RouteName = String;

/// Requests of one rank that may wait in one entry VM.
const QUEUE_LIMIT: usize = 128;
/// Part of the slots that each rank but the most urgent keeps in a flood of others.
const KEPT_SHARE: f64 = 0.1;
/// Part of the first attempts that may be followed by another one, as a retry or a hedge: just
/// below the fifth that the platform allows.
const EXTRA_ATTEMPT_SHARE: f64 = 0.18;
/// Name of the rank of requests that can no longer be on time.
const LATE_RANK_NAME: &str = "late";
/// Step between the weighted parts of successive requests, as a fraction of 2^32: the golden
/// ratio, whose multiples are spread evenly.
const TURN_STEP: u32 = 0x9E37_79B9;

/// One service of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other parts.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name, unique in the configuration.
    pub name: RouteName,
    /// Host that requests name, in lower case.
    pub host: String,
    /// Beginning of the path; ends in `/`.
    pub prefix: String,
    /// Services that serve it; one or more.
    pub weighted_services: Vec<WeightedService>,
    /// Whether running a request twice is harmless.
    pub is_idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub latency: Duration,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Path of the health endpoint of its targets.
    pub health_path: String,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteConfig {
    /// Version.
    pub version: RouteVersion,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDestination {
    /// The service.
    pub service: ServiceName,
    /// Its rank in that service's document.
    pub rank: RankId,
    /// Rank of requests that can only be late.
    pub late_rank: RankId,
}

#[derive(Debug)]
struct WeightedDestination {
    weight: u32,
    destination: RouteDestination,
}

/// A route in a table.
#[derive(Debug)]
pub struct RouteEntry {
    spec: RouteSpec,
    destinations: Vec<WeightedDestination>,
    turn: AtomicU32,
}

impl RouteEntry {
    /// The route.
    pub fn spec(&self) -> &RouteSpec {
        &self.spec
    }

    /// The part that the next request goes to. Over any run of requests, each part gets its share
    /// almost exactly.
    pub fn next_destination(&self) -> &RouteDestination {
        let turn = self.turn.fetch_add(TURN_STEP, Ordering::Relaxed);
        let total: u64 = self.destinations.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut position = (u64::from(turn) * total) >> 32;
        for weighted in &self.destinations {
            if position < u64::from(weighted.weight) {
                return &weighted.destination;
            }
            position -= u64::from(weighted.weight);
        }
        &self.destinations[0].destination
    }
}

/// Routes by host and prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<RouteEntry>>,
    documents: Vec<ServiceDocument>,
}

impl RouteTable {
    /// Builds the table of a configuration. `seed` spreads the turns of weighted parts over entry
    /// VMs.
    pub fn build(config: &RouteConfig, seed: u32) -> Self {
        let documents = make_documents(config);
        let mut hosts: HashMap<String, Vec<RouteEntry>> = HashMap::new();
        for spec in &config.routes {
            let destinations = make_destinations(spec, &documents);
            if !destinations.is_empty() {
                let entry = RouteEntry { spec: spec.clone(), destinations, turn: AtomicU32::new(seed) };
                hosts.entry(spec.host.clone()).or_default().push(entry);
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.spec.prefix.len()));
        }
        Self { hosts, documents }
    }

    /// The route of a request: the longest prefix of its host that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.spec.prefix))
    }

    /// Hosts that have routes.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.keys().map(String::as_str)
    }

    /// Services to which routes of a host lead.
    pub fn services_of(&self, host: &str) -> HashSet<&ServiceName> {
        let routes = self.hosts.get(host).into_iter().flatten();
        routes.flat_map(|route| &route.destinations).map(|weighted| &weighted.destination.service).collect()
    }

    /// Documents of the services that routes lead to.
    pub fn documents(&self) -> &[ServiceDocument] {
        &self.documents
    }
}

fn make_destinations(spec: &RouteSpec, documents: &[ServiceDocument]) -> Vec<WeightedDestination> {
    let weighted_services = spec.weighted_services.iter().filter(|weighted| weighted.weight > 0);
    let find_document = |service: &str| documents.iter().find(|document| document.name == service);
    let destinations = weighted_services.filter_map(|weighted| {
        let document = find_document(&weighted.service)?;
        let name = rank_name(spec);
        let rank = document.ranks.iter().position(|rank| rank.name == name)?;
        let late_rank = document.ranks.len() - 1;
        let destination = RouteDestination { service: weighted.service.clone(), rank, late_rank };
        Some(WeightedDestination { weight: weighted.weight, destination })
    });
    destinations.collect()
}

/// Routes of one service with the same policy share a rank.
fn rank_name(spec: &RouteSpec) -> String {
    let kind = if spec.is_idempotent { "i" } else { "n" };
    format!("p{}-{}ms-{kind}", spec.priority, spec.latency.as_millis())
}

fn make_documents(config: &RouteConfig) -> Vec<ServiceDocument> {
    let mut routes: BTreeMap<&str, Vec<&RouteSpec>> = BTreeMap::new();
    for spec in &config.routes {
        for weighted in spec.weighted_services.iter().filter(|weighted| weighted.weight > 0) {
            routes.entry(&weighted.service).or_default().push(spec);
        }
    }
    let find_service = |name: &str| config.services.iter().find(|service| service.name == name);
    let documents =
        routes.into_iter().filter_map(|(name, routes)| Some(make_document(find_service(name)?, &routes)));
    documents.collect()
}

fn make_document(service: &ServiceSpec, routes: &[&RouteSpec]) -> ServiceDocument {
    let mut policies: BTreeMap<(u32, Duration, String), &RouteSpec> = BTreeMap::new();
    for route in routes {
        policies.entry((route.priority, route.latency, rank_name(route))).or_insert(route);
    }
    let mut ranks: Vec<RankPolicy> = policies.values().map(|route| make_rank(route)).collect();
    if let Some(rank) = ranks.first_mut() {
        rank.kept_share = 0.0;
    }
    let longest_timeout = routes.iter().map(|route| route.timeout).max().unwrap_or_default();
    ranks.push(make_late_rank(longest_timeout));
    let max_attempts = routes.iter().map(|route| route.max_attempts).filter(|attempts| *attempts > 1).min();
    ServiceDocument {
        name: service.name.clone(),
        team: String::new(),
        slots_per_target: u32::MAX,
        connections_per_target: service.max_connections,
        home_count: 0,
        ramp: Duration::ZERO,
        retry: RetryPolicy {
            max_attempts: max_attempts.unwrap_or(1),
            retry_share: EXTRA_ATTEMPT_SHARE,
            hedge_share: EXTRA_ATTEMPT_SHARE,
        },
        measuring: MeasuringPolicy {
            calls_per_second: 0,
            bytes_per_second: 0,
            path: service.health_path.clone(),
        },
        ranks,
    }
}

fn make_rank(route: &RouteSpec) -> RankPolicy {
    RankPolicy {
        name: rank_name(route),
        matches: Vec::new(),
        worth: 1.0,
        latency: route.latency,
        give_up: route.timeout,
        on_time_share: 1.0,
        kept_share: KEPT_SHARE,
        idempotent: route.is_idempotent,
        queue_limit: QUEUE_LIMIT,
    }
}

fn make_late_rank(timeout: Duration) -> RankPolicy {
    RankPolicy {
        name: LATE_RANK_NAME.to_owned(),
        matches: Vec::new(),
        worth: 1.0,
        latency: timeout,
        give_up: timeout,
        on_time_share: 0.0,
        kept_share: 0.0,
        idempotent: false,
        queue_limit: QUEUE_LIMIT,
    }
}
