//! Settings of an entry VM. They are read and validated once at startup and do not change
//! afterwards.

use crate::reader::{IniSource, Result, SectionReader};
use sniperelay_core::document::is_valid_name;
use sniperelay_core::ids::TeamName;
use sniperelay_core::pick::PickPolicy;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

const KNOWN_SECTIONS: &[&str] = &["entry-vm", "platform", "peers", "limits", "routing", "operators", "log"];
/// Value of an address setting that is missing or malformed, for which there is a finding.
pub(crate) const UNSET_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// Name of the operator team that may perform operations on an entry VM and edit any document.
pub const ADMIN_TEAM: &str = "admin";

/// Addresses, failure domain and threads of the process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Failure domain.
    pub failure_domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// UDP address for messages between entry VMs.
    pub peer_address: SocketAddr,
    /// Address for operators and metrics.
    pub operator_address: SocketAddr,
    /// Number of threads that process requests.
    pub traffic_threads: usize,
    /// Time for which callers may cache a lookup response.
    pub lookup_ttl: Duration,
    /// Maximum time to complete requests during a planned stop, after `lookup_ttl` has passed.
    pub drain_limit: Duration,
}

/// The platform's object API.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the API.
    pub address: SocketAddr,
    /// This entry VM's share of the platform's call rate, in calls per second.
    pub calls_per_second: u32,
    /// Interval between reads of the VM list.
    pub list_interval: Duration,
    /// Interval between writes of the status object.
    pub status_interval: Duration,
}

/// Messages between entry VMs.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Addresses of entry VMs that are contacted to join the deployment.
    pub seeds: Vec<SocketAddr>,
    /// Interval between heartbeats to the same neighbour.
    pub heartbeat: Duration,
    /// PEM file with the deployment's certificate authorities.
    pub ca_file: PathBuf,
    /// PEM file with this entry VM's certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

/// Limits that protect the process itself against overload.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Maximum number of caller connections.
    pub caller_connections: usize,
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a response body, in bytes.
    pub response_bytes: u64,
    /// Maximum time from the head of a response to the end of its body.
    pub response_time: Duration,
    /// Timeout for receiving the request headers from a caller, and again for the body. Also the maximum
    /// time without progress in a response body.
    pub caller_timeout: Duration,
    /// Maximum number of idempotency keys that are stored.
    pub claim_keys: usize,
    /// Duration of a ticket epoch.
    pub claim_epoch: Duration,
    /// Number of ticket epochs that are retained.
    pub claim_epochs: u32,
}

/// Logging.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Level name of the `log` crate.
    pub level: log_level::LevelName,
    /// Whether log lines are written as JSON objects.
    pub is_json: bool,
}

/// Log level names, stored as strings so that this crate does not depend on a logging library.
pub mod log_level {
    /// One of `off`, `error`, `warn`, `info`, `debug`, `trace`.
    pub type LevelName = String;
    /// Valid level names.
    pub const NAMES: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];
}

/// All settings of an entry VM.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Addresses, failure domain and threads.
    pub entry: EntrySettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Messages between entry VMs.
    pub peers: PeerSettings,
    /// Limits of the process.
    pub limits: LimitSettings,
    /// Policy for choosing targets.
    pub policy: PickPolicy,
    /// Bearer token of the operators of each team.
    pub operators: BTreeMap<TeamName, String>,
    /// Logging.
    pub log: LogSettings,
}

/// Parses and validates settings; `file` is the file name used in findings.
///
/// # Errors
///
/// Returns all findings if there are any.
pub fn parse_settings(file: &str, text: &str) -> Result<NodeSettings> {
    let source = IniSource::parse(file, text)?;
    source.check_sections(KNOWN_SECTIONS, None);
    let settings = NodeSettings {
        entry: read_entry(source.section("entry-vm")),
        platform: read_platform(source.section("platform")),
        peers: read_peers(source.section("peers")),
        limits: read_limits(source.section("limits")),
        policy: read_policy(source.section("routing")),
        operators: read_operators(&source.section("operators")),
        log: read_log(source.section("log")),
    };
    source.into_findings().into_result(settings)
}

fn read_entry(section: SectionReader<'_>) -> EntrySettings {
    let address = |key| section.parsed_required(key, "an address like 10.0.0.1:8080", UNSET_ADDRESS);
    let settings = EntrySettings {
        failure_domain: section.required("failure-domain"),
        caller_address: address("caller-address"),
        peer_address: address("peer-address"),
        operator_address: address("operator-address"),
        traffic_threads: section.parsed_or("traffic-threads", "a whole number", 2),
        lookup_ttl: section.millis_or("lookup-keep-ms", Duration::from_secs(5)),
        drain_limit: section.millis_or("drain-limit-ms", Duration::from_secs(60)),
    };
    if !settings.failure_domain.is_empty() && !is_valid_name(&settings.failure_domain) {
        section.report("failure-domain", "must be 1 to 63 of a-z, 0-9 and '-'");
    }
    if !(1..=64).contains(&settings.traffic_threads) {
        section.report("traffic-threads", "must be 1 to 64");
    }
    section.report_unknown_keys();
    settings
}

fn read_platform(section: SectionReader<'_>) -> PlatformSettings {
    let settings = PlatformSettings {
        address: section.parsed_required("address", "an address like 10.0.0.1:9000", UNSET_ADDRESS),
        calls_per_second: section.parsed_or("calls-per-second", "a whole number", 20),
        list_interval: section.millis_or("list-interval-ms", Duration::from_secs(1)),
        status_interval: section.millis_or("status-interval-ms", Duration::from_secs(5)),
    };
    if settings.calls_per_second == 0 {
        section.report("calls-per-second", "must be at least 1");
    }
    section.report_unknown_keys();
    settings
}

fn read_peers(section: SectionReader<'_>) -> PeerSettings {
    let settings = PeerSettings {
        seeds: section.list("seeds", "an address like 10.0.0.1:8081"),
        heartbeat: section.millis_or("heartbeat-ms", Duration::from_secs(1)),
        ca_file: section.required("ca-file").into(),
        certificate_file: section.required("certificate-file").into(),
        key_file: section.required("key-file").into(),
    };
    if settings.heartbeat < Duration::from_millis(20) {
        section.report("heartbeat-ms", "must be at least 20");
    }
    section.report_unknown_keys();
    settings
}

fn read_limits(section: SectionReader<'_>) -> LimitSettings {
    let settings = LimitSettings {
        caller_connections: section.parsed_or("caller-connections", "a whole number", 10_000),
        header_bytes: section.parsed_or("header-bytes", "a whole number", 32 * 1024),
        body_bytes: section.parsed_or("body-bytes", "a whole number", 16 * 1024 * 1024),
        response_bytes: section.parsed_or("response-bytes", "a whole number", 256 * 1024 * 1024),
        response_time: section.millis_or("response-time-ms", Duration::from_secs(300)),
        caller_timeout: section.millis_or("caller-patience-ms", Duration::from_secs(10)),
        claim_keys: section.parsed_or("claim-keys", "a whole number", 200_000),
        claim_epoch: section.millis_or("claim-epoch-ms", Duration::from_secs(30)),
        claim_epochs: section.parsed_or("claim-epochs", "a whole number", 10),
    };
    if settings.header_bytes < 8192 {
        section.report("header-bytes", "must be at least 8192");
    }
    if settings.response_bytes == 0 {
        section.report("response-bytes", "must be at least 1");
    }
    if settings.response_time.is_zero() {
        section.report("response-time-ms", "must be at least 1");
    }
    if settings.claim_epoch < Duration::from_millis(100) {
        section.report("claim-epoch-ms", "must be at least 100");
    }
    if settings.claim_epochs < 2 {
        section.report("claim-epochs", "must be at least 2");
    }
    section.report_unknown_keys();
    settings
}

fn read_policy(section: SectionReader<'_>) -> PickPolicy {
    let text = section.optional("policy").unwrap_or_else(|| "slot-credit".to_owned());
    let policy = text.parse().unwrap_or_else(|message: String| {
        section.report("policy", message);
        PickPolicy::SlotCredit
    });
    section.report_unknown_keys();
    policy
}

fn read_operators(section: &SectionReader<'_>) -> BTreeMap<TeamName, String> {
    let entries = section.entries();
    for (team, token) in &entries {
        if !is_valid_name(team) {
            section.report(team, "team must be 1 to 63 of a-z, 0-9 and '-'");
        }
        if token.len() < 8 {
            section.report(team, "token must have at least 8 characters");
        }
    }
    entries.into_iter().collect()
}

pub(crate) fn read_log(section: SectionReader<'_>) -> LogSettings {
    let settings = LogSettings {
        level: section.optional("level").unwrap_or_else(|| "info".to_owned()),
        is_json: section.flag_or("json", false),
    };
    if !log_level::NAMES.contains(&settings.level.as_str()) {
        section.report("level", format!("must be one of {}", log_level::NAMES.join(", ")));
    }
    section.report_unknown_keys();
    settings
}
