//! Routes: they map a host and the longest matching path prefix to one or more weighted services.
//!
//! A [`RouteConfig`] is one decoded version of the complete configuration. An immutable
//! [`RouteTable`] is built from it. Each service that is the destination of a route gets a
//! [`ServiceDocument`]. Its ranks are the distinct policies of the routes, the most urgent first,
//! followed by one rank for requests that can no longer be answered on time.

use crate::account::ClientAccount;
use crate::document::{ProbePolicy, RankPolicy, RetryPolicy, ServiceDocument};
use crate::ids::{RankId, ServiceName};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Version of a route configuration; never decreases during the lifetime of a process.
pub type RouteVersion = u64;
/// Name of a route.
pub type RouteName = String;

/// Maximum number of queued requests of one rank per entry VM.
const QUEUE_LIMIT: usize = 128;
/// Share of slot time that is guaranteed to each rank while requests of other ranks saturate the
/// service. The most urgent rank and the late rank have no guaranteed share.
const KEPT_SHARE: f64 = 0.1;
/// Maximum ratio of further attempts, which are retries or hedges, to first attempts. The platform
/// allows one fifth; this value stays just below.
const FURTHER_ATTEMPT_SHARE: f64 = 0.18;
/// Name of the rank for requests that can no longer be answered on time.
const LATE_RANK_NAME: &str = "late";
/// Step of `RouteEntry::next_position` between successive requests, as a fraction of 2^32. It is the
/// golden ratio, whose multiples are evenly distributed.
const POSITION_STEP: u32 = 0x9E37_79B9;

/// One service of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service relative to the other services of the route.
    pub weight: u32,
}

/// Specification of one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name of the route, unique in the configuration.
    pub name: RouteName,
    /// Host that requests must name, in lower case.
    pub host: String,
    /// Path prefix; ends in `/`.
    pub prefix: String,
    /// Services that serve the route; at least one.
    pub weighted_services: Vec<WeightedService>,
    /// Whether a request can safely be executed more than once.
    pub is_idempotent: bool,
    /// Maximum time that a request may wait for its response.
    pub timeout: Duration,
    /// Latency target: a response within this time is on time.
    pub latency: Duration,
    /// Maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent. The priority of a client account comes before it.
    pub priority: u32,
    /// Whether callers need no API key, although the configuration has client accounts.
    pub is_public: bool,
}

/// Specification of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health endpoint on the service's targets.
    pub health_path: String,
    /// Maximum number of connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// How targets warm up after a start; `None` if they need not be spared.
    pub warm_up: Option<WarmUpPolicy>,
}

/// Limit that applies to a target while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpPolicy {
    /// Time for which a target is cold after it starts, unless it states another one.
    pub duration: Duration,
    /// Requests per second that a cold target tolerates from all entry VMs together.
    pub per_second: f64,
}

/// Size limits and timeouts that apply to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's header section.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfig {
    /// Version of the configuration.
    pub version: RouteVersion,
    /// All routes.
    pub routes: Vec<RouteSpec>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Client accounts; `None` if callers need no API keys.
    pub accounts: Option<Vec<ClientAccount>>,
}

/// Service and ranks to which a request is routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDestination {
    /// Name of the service.
    pub service: ServiceName,
    /// Rank of the request in the service's document.
    pub rank: RankId,
    /// Rank that the request gets once it can no longer be answered on time.
    pub late_rank: RankId,
    /// Ranks of requests of client accounts with a priority of their own.
    account_ranks: Vec<(u32, RankId)>,
}

impl RouteDestination {
    /// Returns the rank of a request of a client account with this priority, or with none.
    pub fn rank_for(&self, priority: Option<u32>) -> RankId {
        let found = self.account_ranks.iter().find(|(other, _)| Some(*other) == priority);
        found.map_or(self.rank, |(_, rank)| *rank)
    }
}

#[derive(Debug)]
struct WeightedDestination {
    weight: u32,
    destination: RouteDestination,
}

/// A route in a [`RouteTable`].
#[derive(Debug)]
pub struct RouteEntry {
    spec: Arc<RouteSpec>,
    destinations: Vec<WeightedDestination>,
    /// Position of the next request in the weighted distribution, as a fraction of 2^32.
    next_position: AtomicU32,
}

impl RouteEntry {
    /// Returns the specification of the route.
    pub fn spec(&self) -> &Arc<RouteSpec> {
        &self.spec
    }

    /// Returns whether requests of the route may be sent to a service.
    pub fn leads_to(&self, service: &str) -> bool {
        self.destinations.iter().any(|weighted| weighted.destination.service == service)
    }

    /// Returns the destination of the next request. Over any sequence of requests, each destination
    /// gets almost exactly its weighted share.
    pub fn next_destination(&self) -> &RouteDestination {
        let next_position = self.next_position.fetch_add(POSITION_STEP, Ordering::Relaxed);
        let total: u64 = self.destinations.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut position = (u64::from(next_position) * total) >> 32;
        for weighted in &self.destinations {
            if position < u64::from(weighted.weight) {
                return &weighted.destination;
            }
            position -= u64::from(weighted.weight);
        }
        &self.destinations[0].destination
    }
}

/// Routes, indexed by host and path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, in descending order of prefix length.
    hosts: HashMap<String, Vec<RouteEntry>>,
    documents: Vec<ServiceDocument>,
}

impl RouteTable {
    /// Builds the table for a configuration. Entry VMs pass different seeds so that they do
    /// not pick weighted destinations in the same order.
    pub fn build(config: &RouteConfig, seed: u32) -> Self {
        let priorities = account_priorities(config);
        let documents = make_documents(config, &priorities);
        let mut hosts: HashMap<String, Vec<RouteEntry>> = HashMap::new();
        for spec in &config.routes {
            let destinations = make_destinations(spec, &documents, &priorities);
            if !destinations.is_empty() {
                let spec_copy = Arc::new(spec.clone());
                let entry = RouteEntry { spec: spec_copy, destinations, next_position: AtomicU32::new(seed) };
                hosts.entry(spec.host.clone()).or_default().push(entry);
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.spec.prefix.len()));
        }
        Self { hosts, documents }
    }

    /// Returns the route of a request: among the routes of `host`, the one with the longest prefix of
    /// `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.spec.prefix))
    }

    /// Returns the hosts that have routes.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.keys().map(String::as_str)
    }

    /// Returns the services that are destinations of a host's routes.
    pub fn services_of(&self, host: &str) -> HashSet<&ServiceName> {
        let routes = self.hosts.get(host).into_iter().flatten();
        routes.flat_map(|route| &route.destinations).map(|weighted| &weighted.destination.service).collect()
    }

    /// Returns the documents of all services that are destinations of routes.
    pub fn documents(&self) -> &[ServiceDocument] {
        &self.documents
    }
}

fn make_destinations(
    spec: &RouteSpec,
    documents: &[ServiceDocument],
    priorities: &BTreeSet<u32>,
) -> Vec<WeightedDestination> {
    let weighted_services = spec.weighted_services.iter().filter(|weighted| weighted.weight > 0);
    let find_document = |service: &str| documents.iter().find(|document| document.name == service);
    let destinations = weighted_services.filter_map(|weighted| {
        let document = find_document(&weighted.service)?;
        let find_rank = |priority| {
            let name = rank_name(spec, priority);
            document.ranks.iter().position(|rank| rank.name == name)
        };
        let account_ranks =
            priorities_of(spec, priorities).filter_map(|priority| Some((priority, find_rank(priority)?)));
        let destination = RouteDestination {
            service: weighted.service.clone(),
            rank: find_rank(spec.priority)?,
            late_rank: document.ranks.len() - 1,
            account_ranks: account_ranks.collect(),
        };
        Some(WeightedDestination { weight: weighted.weight, destination })
    });
    destinations.collect()
}

/// Returns the name of the rank of a route's requests with this priority. Routes of one service with the same policy share
/// a rank.
fn rank_name(spec: &RouteSpec, priority: u32) -> String {
    let kind = if spec.is_idempotent { "i" } else { "n" };
    format!("p{priority}-{}ms-{kind}", spec.latency.as_millis())
}

/// Returns the priorities of client accounts, which come before those of routes.
fn account_priorities(config: &RouteConfig) -> BTreeSet<u32> {
    config.accounts.iter().flatten().filter_map(|account| account.priority).collect()
}

/// Returns the priorities that client accounts give to requests of a route.
fn priorities_of<'a>(spec: &RouteSpec, priorities: &'a BTreeSet<u32>) -> impl Iterator<Item = u32> + use<'a> {
    let is_public = spec.is_public;
    priorities.iter().copied().filter(move |_| !is_public)
}

fn make_documents(config: &RouteConfig, priorities: &BTreeSet<u32>) -> Vec<ServiceDocument> {
    let mut routes: BTreeMap<&str, Vec<&RouteSpec>> = BTreeMap::new();
    for spec in &config.routes {
        for weighted in spec.weighted_services.iter().filter(|weighted| weighted.weight > 0) {
            routes.entry(&weighted.service).or_default().push(spec);
        }
    }
    let find_service = |name: &str| config.services.iter().find(|service| service.name == name);
    let documents = routes
        .into_iter()
        .filter_map(|(name, routes)| Some(make_document(find_service(name)?, &routes, priorities)));
    documents.collect()
}

fn make_document(
    service: &ServiceSpec,
    routes: &[&RouteSpec],
    priorities: &BTreeSet<u32>,
) -> ServiceDocument {
    let mut policies: BTreeMap<(u32, Duration, String), &RouteSpec> = BTreeMap::new();
    for route in routes {
        for priority in priorities_of(route, priorities).chain([route.priority]) {
            policies.entry((priority, route.latency, rank_name(route, priority))).or_insert(route);
        }
    }
    let mut ranks: Vec<RankPolicy> =
        policies.iter().map(|((_, _, name), route)| make_rank(route, name.clone())).collect();
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
            retry_share: FURTHER_ATTEMPT_SHARE,
            hedge_share: FURTHER_ATTEMPT_SHARE,
        },
        measuring: ProbePolicy {
            calls_per_second: 0,
            bytes_per_second: 0,
            path: service.health_path.clone(),
        },
        ranks,
    }
}

fn make_rank(route: &RouteSpec, name: String) -> RankPolicy {
    RankPolicy {
        name,
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
