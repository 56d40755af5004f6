//! Counters and histograms, exported through `opentelemetry` in the Prometheus text format.
//!
//! Counters on the hot path are atomics indexed by reason enums, so that every reason has a counter.
//! Observable instruments read them when the metrics are scraped.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use sniperelay_core::reason::{RefusalReason, RetryReason};
use sniperelay_platform::transport::{CallCounters, CallResult, CallVerb};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Name of the meter that creates the instruments.
const METER_NAME: &str = "sniperelay";
/// Bucket boundaries of the latency histogram, in seconds.
const LATENCY_BOUNDS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
    10.0,
];

/// Counters of one rank of one service.
#[derive(Debug)]
pub struct RankCounters {
    /// Responses delivered within the latency target.
    pub on_time: AtomicU64,
    /// Responses delivered after the latency target.
    pub late: AtomicU64,
    /// Refusals by reason, indexed by [`RefusalReason::index`].
    pub refusals: Vec<AtomicU64>,
    /// Retries by reason, indexed by [`RetryReason::index`].
    pub retries: Vec<AtomicU64>,
    latency: Histogram<f64>,
    labels: Vec<KeyValue>,
}

impl RankCounters {
    /// Returns whether any response or refusal has been counted.
    pub fn has_counted(&self) -> bool {
        let is_set = |counter: &AtomicU64| counter.load(Ordering::Relaxed) > 0;
        is_set(&self.on_time) || is_set(&self.late) || self.refusals.iter().any(is_set)
    }

    /// Counts a delivered response and records its latency. `is_on_time` states whether the latency
    /// target was met.
    pub fn count_response(&self, latency: Duration, is_on_time: bool) {
        let counter = if is_on_time { &self.on_time } else { &self.late };
        counter.fetch_add(1, Ordering::Relaxed);
        self.latency.record(latency.as_secs_f64(), &self.labels);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries[reason.index()].fetch_add(1, Ordering::Relaxed);
    }
}

/// Counters of the process that do not belong to a service.
#[derive(Debug, Default)]
pub struct ProcessCounters {
    /// Lookup requests received.
    pub lookups: AtomicU64,
    /// Probes sent.
    pub probe_calls: AtomicU64,
    /// Bytes of probes and their responses, counted as the maximum size for each probe.
    pub probe_bytes: AtomicU64,
    /// Messages sent to other entry VMs.
    pub peer_messages_sent: AtomicU64,
    /// Bytes of messages sent to other entry VMs, before QUIC framing.
    pub peer_bytes_sent: AtomicU64,
    /// Bytes sent on the wire by the open connections to other entry VMs, including QUIC overhead.
    pub peer_wire_bytes: AtomicU64,
    /// Messages received from other entry VMs.
    pub peer_messages_received: AtomicU64,
    /// Bytes of messages received from other entry VMs.
    pub peer_bytes_received: AtomicU64,
    /// Messages between entry VMs that were lost: not sent, not received completely, not decoded, or
    /// dropped because the inbox was full.
    pub peer_messages_lost: AtomicU64,
    /// Peers refused during the handshake, for example because of their certificate.
    pub peers_refused: AtomicU64,
    /// CPU time used by the control thread, in microseconds.
    pub control_cpu_micros: AtomicU64,
    /// Documents refused because they failed verification.
    pub documents_refused: AtomicU64,
    /// Calls to the platform.
    pub platform_calls: AtomicU64,
    /// Failed calls to the platform.
    pub platform_failures: AtomicU64,
    /// Target entries that expired around an outage of the store and were retained temporarily.
    pub entries_held: AtomicU64,
    /// Readers that an entry VM has ceased to follow because their responses could not be used.
    pub readers_rejected: AtomicU64,
    /// Requests refused before a service was selected: no route, no configuration, or shutting down.
    pub early_refusals: AtomicU64,
    /// Response bodies cut because they broke off at the target or exceeded a limit.
    pub responses_cut: AtomicU64,
    /// Pauses that targets have asked for.
    pub targets_held_off: AtomicU64,
    /// Limits that targets have stated, counted when they are new or have changed.
    pub limits_stated: AtomicU64,
    /// Requests and probes sent to targets while they stated a limit.
    pub limited_sends: AtomicU64,
    /// Calls to other entry VMs with claims for shares of limits.
    pub limit_claims: AtomicU64,
    /// Those calls that failed.
    pub limit_claims_failed: AtomicU64,
    /// Messages to other entry VMs with claims for lots of accounts' limits.
    pub account_claims: AtomicU64,
    /// Those messages that failed.
    pub account_claims_failed: AtomicU64,
    /// Tokens of accounts' limits granted to this entry VM.
    pub account_tokens_granted: AtomicU64,
    /// Tokens of accounts' limits that this entry VM has sent back.
    pub account_tokens_returned: AtomicU64,
    /// Targets that have reported in a response that they are leaving.
    pub targets_reported_leaving: AtomicU64,
    /// Crashes of targets while they ran a request, as seen by this entry VM.
    pub target_crashes: AtomicU64,
    /// Requests refused because targets have crashed under their content.
    pub requests_quarantined: AtomicU64,
    /// Requests forwarded to another entry VM, counted for each one that was asked.
    pub requests_forwarded: AtomicU64,
    /// Requests of other entry VMs that were taken.
    pub forwarded_requests_taken: AtomicU64,
    /// Partitions between this entry VM and all targets.
    pub isolations: AtomicU64,
    /// Caller connections closed because they were idle for too long.
    pub connections_timed_out: AtomicU64,
    /// Idle caller connections closed because others needed their places.
    pub connections_ended: AtomicU64,
    /// Caller connections closed at the limit, after a refusal of their first request.
    pub connections_refused: AtomicU64,
    /// Caller connections closed unread at the limit.
    pub connections_cut: AtomicU64,
    /// Requests in flight when their caller's connection ended.
    pub requests_cancelled: AtomicU64,
    /// Requests whose bytes arrived after this process had closed their connection.
    pub requests_discarded: AtomicU64,
    /// Returns of the store from an older copy, counted for each kind of object.
    pub store_returns: AtomicU64,
    /// Targets that have turned cold.
    pub targets_turned_cold: AtomicU64,
    /// Targets with which contact was lost, so that they count as cold until a health response shows how they are.
    pub targets_lost: AtomicU64,
    /// Targets that have turned warm.
    pub targets_turned_warm: AtomicU64,
    /// Requests that found no target because cold ones were spared.
    pub requests_withheld: AtomicU64,
    /// Evacuations of failure domains that have begun.
    pub evacuations: AtomicU64,
    /// Requests that have left the failure domain because of the expected wait there.
    pub left_domain_by_wait: AtomicU64,
    /// Requests that have left the failure domain because no target in it was usable.
    pub left_domain_without_target: AtomicU64,
    /// Bytes of request bodies sent to targets in other failure domains.
    pub cross_domain_request_bytes: AtomicU64,
    /// Bytes of response bodies received from targets in other failure domains.
    pub cross_domain_response_bytes: AtomicU64,
}

impl ProcessCounters {
    fn named(&self) -> Vec<(&'static str, &AtomicU64)> {
        vec![
            ("lookups", &self.lookups),
            ("probe_calls", &self.probe_calls),
            ("probe_bytes", &self.probe_bytes),
            ("peer_messages_sent", &self.peer_messages_sent),
            ("peer_bytes_sent", &self.peer_bytes_sent),
            ("peer_wire_bytes", &self.peer_wire_bytes),
            ("peer_messages_received", &self.peer_messages_received),
            ("peer_bytes_received", &self.peer_bytes_received),
            ("peer_messages_lost", &self.peer_messages_lost),
            ("peers_refused", &self.peers_refused),
            ("control_cpu_micros", &self.control_cpu_micros),
            ("documents_refused", &self.documents_refused),
            ("platform_calls", &self.platform_calls),
            ("platform_failures", &self.platform_failures),
            ("entries_held", &self.entries_held),
            ("readers_rejected", &self.readers_rejected),
            ("early_refusals", &self.early_refusals),
            ("responses_cut", &self.responses_cut),
            ("targets_held_off", &self.targets_held_off),
            ("limits_stated", &self.limits_stated),
            ("limited_sends", &self.limited_sends),
            ("limit_claims", &self.limit_claims),
            ("limit_claims_failed", &self.limit_claims_failed),
            ("account_claims", &self.account_claims),
            ("account_claims_failed", &self.account_claims_failed),
            ("account_tokens_granted", &self.account_tokens_granted),
            ("account_tokens_returned", &self.account_tokens_returned),
            ("targets_reported_leaving", &self.targets_reported_leaving),
            ("target_crashes", &self.target_crashes),
            ("requests_quarantined", &self.requests_quarantined),
            ("requests_forwarded", &self.requests_forwarded),
            ("forwarded_requests_taken", &self.forwarded_requests_taken),
            ("isolations", &self.isolations),
            ("connections_timed_out", &self.connections_timed_out),
            ("connections_ended", &self.connections_ended),
            ("connections_refused", &self.connections_refused),
            ("connections_cut", &self.connections_cut),
            ("requests_cancelled", &self.requests_cancelled),
            ("requests_discarded", &self.requests_discarded),
            ("store_returns", &self.store_returns),
            ("evacuations", &self.evacuations),
            ("targets_turned_cold", &self.targets_turned_cold),
            ("targets_lost", &self.targets_lost),
            ("targets_turned_warm", &self.targets_turned_warm),
            ("requests_withheld", &self.requests_withheld),
            ("left_domain_by_wait", &self.left_domain_by_wait),
            ("left_domain_without_target", &self.left_domain_without_target),
            ("cross_domain_request_bytes", &self.cross_domain_request_bytes),
            ("cross_domain_response_bytes", &self.cross_domain_response_bytes),
        ]
    }
}

/// Gauges of the process's local view of the deployment, and of its age.
#[derive(Debug, Default)]
pub struct LocalViewGauges {
    /// Version of the active configuration; 0 if there is none yet.
    pub configuration_version: AtomicU64,
    /// Number of registered targets.
    pub targets: AtomicU64,
    /// Number of registered entry VMs.
    pub entry_vms: AtomicU64,
    /// Whether this entry VM is a reader of the platform's store (0 or 1).
    pub is_reader: AtomicU64,
    /// Whether this entry VM reaches no target (0 or 1).
    pub is_isolated: AtomicU64,
    /// Time since the last response from the store or from one of its readers, in milliseconds.
    pub store_age_ms: AtomicU64,
    /// Memory of the request bodies that are being received or kept, in bytes.
    pub request_memory_bytes: AtomicU64,
    /// Memory of the responses that are being received or delivered, in bytes.
    pub response_memory_bytes: AtomicU64,
    /// Open caller connections, the idle ones included.
    pub caller_connections: AtomicU64,
    /// Idle caller connections.
    pub idle_connections: AtomicU64,
    /// Caller connections that are ending.
    pub ending_connections: AtomicU64,
}

impl LocalViewGauges {
    fn named(&self) -> [(&'static str, &AtomicU64); 11] {
        [
            ("configuration_version", &self.configuration_version),
            ("targets", &self.targets),
            ("entry_vms", &self.entry_vms),
            ("is_isolated", &self.is_isolated),
            ("is_reader", &self.is_reader),
            ("store_age_ms", &self.store_age_ms),
            ("request_memory_bytes", &self.request_memory_bytes),
            ("response_memory_bytes", &self.response_memory_bytes),
            ("caller_connections", &self.caller_connections),
            ("idle_connections", &self.idle_connections),
            ("ending_connections", &self.ending_connections),
        ]
    }
}

type RankTable = BTreeMap<(String, String), Arc<RankCounters>>;

/// All metrics of one entry VM.
pub struct MetricSet {
    registry: Registry,
    provider: SdkMeterProvider,
    latency: Histogram<f64>,
    ranks: Arc<RwLock<RankTable>>,
    process: Arc<ProcessCounters>,
    local_view: Arc<LocalViewGauges>,
}

impl std::fmt::Debug for MetricSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MetricSet").finish_non_exhaustive()
    }
}

impl MetricSet {
    /// Creates the metrics with a new registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER_NAME);
        let latency = meter
            .f64_histogram("sniperelay_answer_latency_seconds")
            .with_description("Time from a request's arrival to the beginning of its answer")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build();
        let ranks = Arc::new(RwLock::new(RankTable::new()));
        let process = Arc::new(ProcessCounters::default());
        register_rank_counters(&meter, &ranks);
        register_process_counters(&meter, &process);
        let local_view = Arc::new(LocalViewGauges::default());
        register_local_view(&meter, &local_view);
        Ok(Self { registry, provider, latency, ranks, process, local_view })
    }

    /// Returns the counters of the process.
    pub fn process(&self) -> &Arc<ProcessCounters> {
        &self.process
    }

    /// Returns the gauges of the local view.
    pub fn local_view(&self) -> &Arc<LocalViewGauges> {
        &self.local_view
    }

    /// Returns the counters of one rank, which are created on first use. Refusals before the service and
    /// rank are known are counted for service `-` and rank `-`.
    pub fn rank(&self, service: &str, rank: &str) -> Arc<RankCounters> {
        let key = (service.to_owned(), rank.to_owned());
        let mut ranks = self.ranks.write().unwrap_or_else(PoisonError::into_inner);
        ranks.entry(key).or_insert_with(|| Arc::new(self.make_rank_counters(service, rank))).clone()
    }

    /// Returns the counters of all ranks with their service and rank names.
    pub fn all_ranks(&self) -> Vec<((String, String), Arc<RankCounters>)> {
        let ranks = self.ranks.read().unwrap_or_else(PoisonError::into_inner);
        ranks.iter().map(|(key, counters)| (key.clone(), counters.clone())).collect()
    }

    /// Registers an instrument that exports the counters of calls to the platform.
    pub fn export_call_counters(&self, calls: &Arc<CallCounters>) {
        register_call_counters(&self.provider.meter(METER_NAME), calls);
    }

    /// Registers a gauge. `read` returns its values, each with the values of the two labels.
    pub fn export_gauge(
        &self,
        name: &'static str,
        label_names: [&'static str; 2],
        read: impl Fn() -> Vec<([&'static str; 2], u64)> + Send + Sync + 'static,
    ) {
        let meter = self.provider.meter(METER_NAME);
        let gauge = meter.u64_observable_gauge(name).with_callback(move |observer| {
            for (labels, value) in read() {
                let labels = [0, 1].map(|index| KeyValue::new(label_names[index], labels[index]));
                observer.observe(value, &labels);
            }
        });
        gauge.build();
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails.
    pub fn render(&self) -> anyhow::Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8(buffer)?)
    }

    fn make_rank_counters(&self, service: &str, rank: &str) -> RankCounters {
        RankCounters {
            on_time: AtomicU64::new(0),
            late: AtomicU64::new(0),
            refusals: RefusalReason::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            retries: RetryReason::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            latency: self.latency.clone(),
            labels: rank_labels(service, rank),
        }
    }
}

fn rank_labels(service: &str, rank: &str) -> Vec<KeyValue> {
    vec![KeyValue::new("service", service.to_owned()), KeyValue::new("rank", rank.to_owned())]
}

fn register_rank_counters(meter: &Meter, ranks: &Arc<RwLock<RankTable>>) {
    let table = ranks.clone();
    let responses = meter.u64_observable_counter("sniperelay_answers").with_callback(move |observer| {
        for ((service, rank), counters) in table.read().unwrap_or_else(PoisonError::into_inner).iter() {
            for (outcome, counter) in [("on-time", &counters.on_time), ("late", &counters.late)] {
                let mut labels = rank_labels(service, rank);
                labels.push(KeyValue::new("outcome", outcome));
                observer.observe(counter.load(Ordering::Relaxed), &labels);
            }
        }
    });
    responses.build();
    register_reasons(meter, "sniperelay_refusals", ranks, refusal_values);
    register_reasons(meter, "sniperelay_retries", ranks, retry_values);
}

type ReasonValues = fn(&RankCounters) -> Vec<(&'static str, u64)>;

fn refusal_values(counters: &RankCounters) -> Vec<(&'static str, u64)> {
    let reasons = RefusalReason::ALL.iter().zip(&counters.refusals);
    reasons.map(|(reason, counter)| (reason.as_str(), counter.load(Ordering::Relaxed))).collect()
}

fn retry_values(counters: &RankCounters) -> Vec<(&'static str, u64)> {
    let reasons = RetryReason::ALL.iter().zip(&counters.retries);
    reasons.map(|(reason, counter)| (reason.as_str(), counter.load(Ordering::Relaxed))).collect()
}

fn register_reasons(meter: &Meter, name: &'static str, ranks: &Arc<RwLock<RankTable>>, values: ReasonValues) {
    let table = ranks.clone();
    let counter = meter.u64_observable_counter(name).with_callback(move |observer| {
        for ((service, rank), counters) in table.read().unwrap_or_else(PoisonError::into_inner).iter() {
            for (reason, value) in values(counters) {
                let mut labels = rank_labels(service, rank);
                labels.push(KeyValue::new("reason", reason));
                observer.observe(value, &labels);
            }
        }
    });
    counter.build();
}

fn register_local_view(meter: &Meter, local_view: &Arc<LocalViewGauges>) {
    let gauges = local_view.clone();
    let gauge = meter.u64_observable_gauge("sniperelay_belief").with_callback(move |observer| {
        for (name, value) in gauges.named() {
            observer.observe(value.load(Ordering::Relaxed), &[KeyValue::new("name", name)]);
        }
    });
    gauge.build();
}

fn register_call_counters(meter: &Meter, calls: &Arc<CallCounters>) {
    let calls = calls.clone();
    let counter = meter.u64_observable_counter("sniperelay_store_calls").with_callback(move |observer| {
        for verb in CallVerb::ALL {
            for result in CallResult::ALL {
                let labels = [KeyValue::new("verb", verb.as_str()), KeyValue::new("result", result.as_str())];
                observer.observe(calls.count(verb, result), &labels);
            }
        }
    });
    counter.build();
}

fn register_process_counters(meter: &Meter, process: &Arc<ProcessCounters>) {
    let counters = process.clone();
    let counter = meter.u64_observable_counter("sniperelay_process").with_callback(move |observer| {
        for (name, counter) in counters.named() {
            observer.observe(counter.load(Ordering::Relaxed), &[KeyValue::new("name", name)]);
        }
    });
    counter.build();
}
