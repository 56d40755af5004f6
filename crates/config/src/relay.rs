//! Settings of an entry VM on a hosted platform. They are read and validated once at startup and do
//! not change afterwards.

use crate::reader::{IniSource, Result, SectionReader};
use crate::settings::{LogSettings, UNSET_ADDRESS, read_log};
use sniperelay_core::domain_overflow::LeavingCosts;
use sniperelay_core::quarantine::DEFAULT_FIRST_QUARANTINE;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

const KNOWN_SECTIONS: &[&str] = &["entry-vm", "platform", "routing", "limits", "log"];

/// Default memory for responses, in bytes: a fifth of the memory of the smallest VMs, which have 160 MB.
const DEFAULT_RESPONSE_MEMORY_BYTES: usize = 32 * 1024 * 1024;
/// Default maximum size of a request body, in bytes: a fifth of the memory of the smallest VMs as well.
const DEFAULT_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Part of the memory for request bodies that is left to small ones, in bytes: some hundred of the largest that the
/// deployments in use have.
pub const SMALL_BODY_ROOM: usize = 8 * 1024 * 1024;
/// Minimum memory for responses, in bytes: a few of the read buffers of target connections.
const MIN_RESPONSE_MEMORY_BYTES: usize = 1024 * 1024;

/// Maximum number of caller connections if neither it nor the descriptors are stated.
const DEFAULT_CALLER_CONNECTIONS: usize = 3000;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Divisor of the other descriptors: this part is for targets, other entry VMs, the store and listeners.
const OWN_DESCRIPTOR_DIVISOR: usize = 6;
/// Divisor of the memory: this part is for caller connections.
const CONNECTION_MEMORY_DIVISOR: usize = 3;
/// Memory of a caller connection, in bytes: its read buffer of 8 KB, and as much again for its tasks and for what has been
/// received and not yet read.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Divisor of the caller connections: this part is the reserve for those that are ending or are refused.
const CONNECTION_RESERVE_DIVISOR: usize = 16;
/// Minimum reserve, so that at least two connections can end and two be refused at the same time.
const MIN_CONNECTION_RESERVE: usize = 4;
/// Default time of a message between failure domains, one way, in milliseconds.
const DEFAULT_HOP_MS: f64 = 1.0;
/// Maximum time of a message between failure domains, one way, in milliseconds: that between regions.
const MAX_HOP_MS: f64 = 1000.0;
/// Default number of bytes between failure domains that are worth as much as one response in time: the response size
/// whose transfer the choice of a target rates as one usual latency.
const DEFAULT_LATE_RESPONSE_BYTES: f64 = 30_000.0;

/// Limits of the duration of a first quarantine. Crashes become known everywhere within about a second; the longest
/// quarantine takes an hour.
const FIRST_QUARANTINE_LIMITS: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3600);

/// Name, failure domain and addresses of the entry VM.
#[derive(Debug, Clone)]
pub struct RelayEntrySettings {
    /// Name, unique in the deployment.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address for readiness checks.
    pub ready_address: SocketAddr,
    /// Address for lookups.
    pub lookup_address: SocketAddr,
    /// Address for other entry VMs.
    pub peer_address: SocketAddr,
    /// Address at which entry VMs that start while the store is unavailable query this one.
    pub control_address: SocketAddr,
    /// Control addresses of some other entry VMs.
    pub seeds: Vec<SocketAddr>,
    /// Address for metrics.
    pub metrics_address: SocketAddr,
    /// Time for which callers may cache a lookup response.
    pub lookup_ttl: Duration,
}

impl RelayEntrySettings {
    /// Returns the ports of all addresses at which this entry VM listens.
    pub fn listen_ports(&self) -> [u16; 6] {
        let addresses = [
            self.caller_address,
            self.ready_address,
            self.lookup_address,
            self.peer_address,
            self.control_address,
            self.metrics_address,
        ];
        addresses.map(|address| address.port())
    }
}

/// Connection to the platform.
#[derive(Debug, Clone)]
pub struct RelayPlatformSettings {
    /// Address of the platform's store.
    pub address: SocketAddr,
    /// Maximum number of calls to the store per second.
    pub calls_per_second: u32,
    /// Limits set by the platform, in the platform's own format.
    pub bounds: String,
    /// Whether all entry VMs start for the first time.
    pub is_first_start: bool,
}

/// Distribution of hosts and targets over entry VMs.
#[derive(Debug, Clone)]
pub struct RelayRoutingSettings {
    /// Minimum number of entry VMs that serve a host.
    pub homes_per_host: usize,
    /// CPU capacity of this entry VM, in cores.
    pub cores: f64,
    /// Bandwidth of this entry VM, in Mbit/s.
    pub link_mbps: f64,
    /// Number of target slots whose traffic one core can process.
    pub slots_per_core: f64,
    /// Number of target slots whose responses fit into 1 Mbit/s of bandwidth.
    pub slots_per_mbps: f64,
    /// Maximum fraction of a target's slots to fill, 0 to 1. Some targets slow down when nearly
    /// full.
    pub slot_fill: f64,
    /// Number of failure domains whose loss the deployment has to bear at once. From 1, each failure domain has homes
    /// of its own, and requests leave it only if that pays.
    pub tolerated_domain_losses: usize,
    /// What leaving the failure domain costs.
    pub leaving_costs: LeavingCosts,
}

impl RelayRoutingSettings {
    /// Returns the number of target slots whose traffic this entry VM can carry.
    pub fn capacity(&self) -> u32 {
        let by_core = self.cores * self.slots_per_core;
        let by_link = self.link_mbps * self.slots_per_mbps;
        (by_core.min(by_link).round() as u32).max(1)
    }
}

impl RelayRoutingSettings {
    /// Returns whether each failure domain has homes of its own.
    pub fn has_domain_homes(&self) -> bool {
        self.tolerated_domain_losses > 0
    }
}

/// Limits that protect the process itself.
#[derive(Debug, Clone)]
pub struct RelayLimitSettings {
    /// Maximum number of caller connections.
    pub caller_connections: usize,
    /// Number of further caller connections: those that are ending, and those that are read in order to refuse their
    /// requests.
    pub connection_reserve: usize,
    /// Maximum size of a request body, in bytes, even if the configuration allows more.
    pub body_bytes: usize,
    /// Memory for the request bodies that are being received or are kept until their requests end, in bytes.
    pub request_memory_bytes: usize,
    /// Memory for the responses that are being received from targets or sent to callers, in bytes. One
    /// response gets half of it at most.
    pub response_memory_bytes: usize,
    /// Time for which requests with content under which targets have crashed are refused at first.
    pub first_quarantine: Duration,
}

/// All settings of an entry VM on a hosted platform.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Name, failure domain and addresses.
    pub entry: RelayEntrySettings,
    /// Connection to the platform.
    pub platform: RelayPlatformSettings,
    /// Distribution of hosts and targets.
    pub routing: RelayRoutingSettings,
    /// Limits of the process.
    pub limits: RelayLimitSettings,
    /// Logging.
    pub log: LogSettings,
}

/// Parses and validates settings; `file` is the file name used in findings.
///
/// # Errors
///
/// Returns all findings if there are any.
pub fn parse_relay_settings(file: &str, text: &str) -> Result<RelaySettings> {
    let source = IniSource::parse(file, text)?;
    source.check_sections(KNOWN_SECTIONS, None);
    let settings = RelaySettings {
        entry: read_entry(source.section("entry-vm")),
        platform: read_platform(source.section("platform")),
        routing: read_routing(source.section("routing")),
        limits: read_limits(source.section("limits")),
        log: read_log(source.section("log")),
    };
    source.into_findings().into_result(settings)
}

fn read_entry(section: SectionReader<'_>) -> RelayEntrySettings {
    let address = |key| section.parsed_required(key, "an address like 10.0.0.1:8080", UNSET_ADDRESS);
    let settings = RelayEntrySettings {
        name: section.required("name"),
        failure_domain: section.required("failure-domain"),
        caller_address: address("caller-address"),
        ready_address: address("ready-address"),
        lookup_address: address("lookup-address"),
        peer_address: address("peer-address"),
        control_address: address("control-address"),
        seeds: section.list("seeds", "an address like 10.0.0.1:8082"),
        metrics_address: address("metrics-address"),
        lookup_ttl: section.millis_or("lookup-keep-ms", Duration::from_millis(1500)),
    };
    let is_valid_name =
        |text: &str| text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if !is_valid_name(&settings.name) {
        section.report("name", "must be of letters, digits, '-', '_' and '.'");
    }
    if settings.lookup_ttl < Duration::from_millis(100) {
        section.report("lookup-keep-ms", "must be at least 100");
    }
    section.report_unknown_keys();
    settings
}

fn read_platform(section: SectionReader<'_>) -> RelayPlatformSettings {
    let settings = RelayPlatformSettings {
        address: section.parsed_required("address", "an address like 10.0.0.1:9000", UNSET_ADDRESS),
        calls_per_second: section.parsed_or("calls-per-second", "a whole number", 20),
        bounds: section.optional("bounds").unwrap_or_default(),
        is_first_start: section.parsed_or("first-start", "true or false", false),
    };
    if settings.calls_per_second == 0 {
        section.report("calls-per-second", "must be at least 1");
    }
    section.report_unknown_keys();
    settings
}

fn read_routing(section: SectionReader<'_>) -> RelayRoutingSettings {
    let settings = RelayRoutingSettings {
        homes_per_host: section.parsed_or("homes-per-host", "a whole number", 2),
        cores: section.parsed_or("cores", "a number of cores", 0.2),
        link_mbps: section.parsed_or("link-mbps", "a number of Mbit/s", 1000.0),
        slots_per_core: section.parsed_or("slots-per-core", "a number", 600.0),
        slots_per_mbps: section.parsed_or("slots-per-mbps", "a number", 3.0),
        slot_fill: section.percent_or("slot-fill-percent", 0.9),
        tolerated_domain_losses: section.parsed_or("tolerated-domain-losses", "a whole number", 0),
        leaving_costs: read_leaving_costs(&section),
    };
    if settings.homes_per_host == 0 {
        section.report("homes-per-host", "must be at least 1");
    }
    let sizes = [
        ("cores", settings.cores),
        ("link-mbps", settings.link_mbps),
        ("slots-per-core", settings.slots_per_core),
        ("slots-per-mbps", settings.slots_per_mbps),
    ];
    for (key, _) in sizes.iter().filter(|(_, size)| !(size.is_finite() && *size > 0.0)) {
        section.report(key, "must be above 0");
    }
    if !(0.1..=1.0).contains(&settings.slot_fill) {
        section.report("slot-fill-percent", "must be 10 to 100");
    }
    section.report_unknown_keys();
    settings
}

/// Reads what leaving the failure domain costs. The hop has a fraction of a millisecond.
fn read_leaving_costs(section: &SectionReader<'_>) -> LeavingCosts {
    let hop_ms = section.parsed_or("domain-hop-ms", "a number of milliseconds", DEFAULT_HOP_MS);
    if !(0.0..=MAX_HOP_MS).contains(&hop_ms) {
        section.report("domain-hop-ms", format!("must be 0 to {MAX_HOP_MS}"));
    }
    let late_response_bytes =
        section.parsed_or("late-response-bytes", "a number of bytes", DEFAULT_LATE_RESPONSE_BYTES);
    if !(late_response_bytes.is_finite() && late_response_bytes >= 1.0) {
        section.report("late-response-bytes", "must be at least 1");
    }
    LeavingCosts { hop: Duration::from_secs_f64(hop_ms.clamp(0.0, MAX_HOP_MS) / 1000.0), late_response_bytes }
}

fn read_limits(section: SectionReader<'_>) -> RelayLimitSettings {
    let (caller_connections, connection_reserve) = read_caller_connections(&section);
    let settings = RelayLimitSettings {
        caller_connections,
        connection_reserve,
        body_bytes: section.parsed_or("body-bytes", "a whole number", DEFAULT_BODY_BYTES),
        request_memory_bytes: section.parsed_or(
            "request-memory-bytes",
            "a whole number",
            DEFAULT_BODY_BYTES + SMALL_BODY_ROOM,
        ),
        response_memory_bytes: section.parsed_or(
            "response-memory-bytes",
            "a whole number",
            DEFAULT_RESPONSE_MEMORY_BYTES,
        ),
        first_quarantine: section.millis_or("quarantine-ms", DEFAULT_FIRST_QUARANTINE),
    };
    if !FIRST_QUARANTINE_LIMITS.contains(&settings.first_quarantine) {
        section.report("quarantine-ms", "must be 1000 to 3600000");
    }
    // Each body that is allowed must fit.
    let min_request_memory = settings.body_bytes.saturating_add(SMALL_BODY_ROOM);
    if settings.request_memory_bytes < min_request_memory {
        let text = format!("must be at least body-bytes and {SMALL_BODY_ROOM}: {min_request_memory}");
        section.report("request-memory-bytes", text);
    }
    if settings.response_memory_bytes < MIN_RESPONSE_MEMORY_BYTES {
        section.report("response-memory-bytes", format!("must be at least {MIN_RESPONSE_MEMORY_BYTES}"));
    }
    section.report_unknown_keys();
    settings
}

/// Returns the maximum number of caller connections and the reserve. A stated number goes before what the descriptors and the
/// memory of the VM allow.
fn read_caller_connections(section: &SectionReader<'_>) -> (usize, usize) {
    let stated: Option<usize> = section.parsed("caller-connections", "a whole number");
    let by_descriptors = read_vm_limit(section, "descriptors").map(connections_by_descriptors);
    let by_memory = read_vm_limit(section, "memory-mb").map(connections_by_memory);
    if let Some(stated) = stated {
        return (stated, (stated / CONNECTION_RESERVE_DIVISOR).max(MIN_CONNECTION_RESERVE));
    }
    let Some(all) = by_descriptors.into_iter().chain(by_memory).min() else {
        let reserve = DEFAULT_CALLER_CONNECTIONS / CONNECTION_RESERVE_DIVISOR;
        return (DEFAULT_CALLER_CONNECTIONS, reserve);
    };
    let reserve = (all / CONNECTION_RESERVE_DIVISOR).max(MIN_CONNECTION_RESERVE);
    let connections = all.saturating_sub(reserve);
    if connections == 0 {
        section.report("descriptors", "and memory-mb leave no room for callers");
    }
    (connections.max(1), reserve)
}

/// Reads a limit of the VM. A template leaves the value empty if the platform states none.
fn read_vm_limit(section: &SectionReader<'_>, key: &'static str) -> Option<usize> {
    section.optional(key).filter(|text| !text.is_empty())?;
    section.parsed(key, "a whole number")
}

fn connections_by_descriptors(descriptors: usize) -> usize {
    let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
    sockets - sockets / OWN_DESCRIPTOR_DIVISOR
}

fn connections_by_memory(megabytes: usize) -> usize {
    megabytes.saturating_mul(1024 * 1024) / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES
}
