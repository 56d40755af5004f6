//! Typed configuration document of a service, and its verifier.
//!
//! Every active document has passed [`verify_document`], so that its users need not check it again.

use crate::finding::{FindingList, FindingLocation};
use crate::ids::{RankId, ServiceName, TeamName};
use std::time::Duration;

/// Result of verifying a document.
pub type Result<T> = std::result::Result<T, FindingList>;

/// Maximum number of ranks in one document.
pub const MAX_RANKS: usize = 8;
/// Maximum number of slots of one target.
pub const MAX_SLOTS: u32 = 1024;

/// Pattern that selects requests by HTTP method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteMatch {
    /// Upper-case method, or `*` for any method.
    pub method: String,
    /// Exact path, or a path prefix followed by `*`.
    pub path: String,
}

impl RouteMatch {
    /// Returns whether a request matches this pattern.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method == "*" || self.method == method;
        let path_fits = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        method_fits && path_fits
    }
}

/// Policy of a rank, which is a priority class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RankPolicy {
    /// Name, unique within the document.
    pub name: String,
    /// Patterns of the requests in this rank.
    pub matches: Vec<RouteMatch>,
    /// Worth of one request served on time, in units chosen by the team. Accepted and verified, but
    /// used by the benches only.
    pub worth: f64,
    /// Deadline for the start of a response; a later response has no worth.
    pub latency: Duration,
    /// Timeout after which a late response is no longer awaited.
    pub give_up: Duration,
    /// Share of requests that must meet `latency`, 0 to 1. Accepted and verified, but not used yet.
    pub on_time_share: f64,
    /// Share of slot time that is guaranteed to the rank while any rank is overloaded, 0 to 1.
    pub kept_share: f64,
    /// Whether requests can safely be executed twice.
    pub idempotent: bool,
    /// Maximum number of queued requests per entry VM.
    pub queue_limit: usize,
}

/// Retry and hedge policy of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Maximum ratio of retries to first attempts, 0 to 1.
    pub retry_share: f64,
    /// Maximum ratio of hedges to first attempts, 0 to 1.
    pub hedge_share: f64,
}

/// Budget for probes, shared by all entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbePolicy {
    /// Maximum number of probe calls per second to one target.
    pub calls_per_second: u32,
    /// Maximum number of probe bytes per second to and from one target.
    pub bytes_per_second: u32,
    /// Path of the endpoint that reports health and load.
    pub path: String,
}

/// Configuration document of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDocument {
    /// Service name; callers send it in the `Host` or `Sniperelay-Service` header.
    pub name: ServiceName,
    /// Team that may edit the document.
    pub team: TeamName,
    /// Number of requests that one target serves concurrently.
    pub slots_per_target: u32,
    /// Maximum number of connections to one target from all entry VMs together. Accepted and verified,
    /// but not enforced yet; the benches compare the measured peak with it.
    pub connections_per_target: u32,
    /// Number of entry VMs that serve the service in normal operation.
    pub home_count: usize,
    /// Period over which the load of a new target is raised to its full level. Accepted, but not used
    /// yet: the limit of a new target rises with its responses.
    pub ramp: Duration,
    /// Retry and hedge policy.
    pub retry: RetryPolicy,
    /// Probe budget.
    pub measuring: ProbePolicy,
    /// Ranks, the most urgent first.
    pub ranks: Vec<RankPolicy>,
}

impl ServiceDocument {
    /// Returns the first rank with a pattern that matches the request. `HEAD` is classified like
    /// `GET`.
    pub fn classify(&self, method: &str, path: &str) -> Option<RankId> {
        let method = if method == "HEAD" { "GET" } else { method };
        self.ranks.iter().position(|rank| rank.matches.iter().any(|route| route.matches(method, path)))
    }
}

/// Checks a document. `locate` returns the location of a section and key for use in findings.
///
/// # Errors
///
/// Returns all findings if there are any.
pub fn verify_document(
    document: &ServiceDocument,
    locate: &dyn Fn(&str, &str) -> FindingLocation,
) -> Result<()> {
    let mut findings = FindingList::default();
    verify_service(document, locate, &mut findings);
    verify_retry(&document.retry, locate, &mut findings);
    document.ranks.iter().for_each(|rank| verify_rank(rank, locate, &mut findings));
    verify_shares(document, locate, &mut findings);
    findings.into_result(())
}

fn verify_service(
    document: &ServiceDocument,
    locate: &dyn Fn(&str, &str) -> FindingLocation,
    findings: &mut FindingList,
) {
    if !is_valid_name(&document.name) {
        findings.push(locate("service", "name"), "must be 1 to 63 of a-z, 0-9 and '-'");
    }
    if !is_valid_name(&document.team) {
        findings.push(locate("service", "team"), "must be 1 to 63 of a-z, 0-9 and '-'");
    }
    if !(1..=MAX_SLOTS).contains(&document.slots_per_target) {
        findings.push(locate("service", "slots-per-target"), format!("must be 1 to {MAX_SLOTS}"));
    }
    if document.connections_per_target < document.slots_per_target {
        findings.push(locate("service", "connections-per-target"), "must be at least slots-per-target");
    }
    if document.home_count == 0 {
        findings.push(locate("service", "home-count"), "must be at least 1");
    }
    if !document.measuring.path.starts_with('/') {
        findings.push(locate("measuring", "path"), "must begin with '/'");
    }
    if document.ranks.is_empty() || document.ranks.len() > MAX_RANKS {
        findings.push(locate("service", ""), format!("must have 1 to {MAX_RANKS} [rank NAME] sections"));
    }
}

fn verify_retry(
    retry: &RetryPolicy,
    locate: &dyn Fn(&str, &str) -> FindingLocation,
    findings: &mut FindingList,
) {
    if !(1..=5).contains(&retry.max_attempts) {
        findings.push(locate("retry", "max-attempts"), "must be 1 to 5");
    }
    if !(0.0..=0.5).contains(&retry.retry_share) {
        findings.push(locate("retry", "retry-percent"), "must be 0 to 50");
    }
    if !(0.0..=0.5).contains(&retry.hedge_share) {
        findings.push(locate("retry", "hedge-percent"), "must be 0 to 50");
    }
}

fn verify_rank(
    rank: &RankPolicy,
    locate: &dyn Fn(&str, &str) -> FindingLocation,
    findings: &mut FindingList,
) {
    let section = format!("rank {}", rank.name);
    if !is_valid_name(&rank.name) {
        findings.push(locate(&section, ""), "rank name must be 1 to 63 of a-z, 0-9 and '-'");
    }
    if rank.matches.is_empty() {
        findings.push(locate(&section, "match"), "must list at least one 'METHOD /path'");
    }
    for route in &rank.matches {
        if !route.path.starts_with('/') {
            findings.push(locate(&section, "match"), format!("path '{}' must begin with '/'", route.path));
        }
    }
    if !(rank.worth.is_finite() && rank.worth > 0.0) {
        findings.push(locate(&section, "worth"), "must be a number above 0");
    }
    if rank.latency < Duration::from_millis(1) || rank.latency > Duration::from_secs(3600) {
        findings.push(locate(&section, "latency-ms"), "must be 1 to 3600000");
    }
    if rank.give_up < rank.latency {
        findings.push(locate(&section, "give-up-ms"), "must be at least latency-ms");
    }
    if !(0.0..=1.0).contains(&rank.on_time_share) {
        findings.push(locate(&section, "on-time-percent"), "must be 0 to 100");
    }
    if !(0.0..=1.0).contains(&rank.kept_share) {
        findings.push(locate(&section, "keep-percent"), "must be 0 to 100");
    }
    if rank.queue_limit == 0 {
        findings.push(locate(&section, "queue-limit"), "must be at least 1");
    }
}

fn verify_shares(
    document: &ServiceDocument,
    locate: &dyn Fn(&str, &str) -> FindingLocation,
    findings: &mut FindingList,
) {
    let kept: f64 = document.ranks.iter().map(|rank| rank.kept_share).sum();
    if kept > 1.0 + 1e-9 {
        let message = format!("keep-percent of all ranks sums to {:.0}, above 100", kept * 100.0);
        findings.push(locate("service", ""), message);
    }
    for (index, rank) in document.ranks.iter().enumerate() {
        if document.ranks[..index].iter().any(|other| other.name == rank.name) {
            findings.push(locate(&format!("rank {}", rank.name), ""), "rank is defined twice");
        }
    }
}

/// Returns whether `text` is a valid service, team or rank name.
pub fn is_valid_name(text: &str) -> bool {
    let length_fits = (1..=63).contains(&text.len());
    length_fits && text.bytes().all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
}
