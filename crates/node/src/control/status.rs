//! Status as JSON, for operators and for the status object in the platform's store.

use crate::control::control_state::{ActiveDocument, ControlState};
use crate::wall_clock;
use serde::{Deserialize, Serialize};
use sniperelay_core::reason::{RefusalReason, RetryReason};
use sniperelay_core::target::TargetLifecycle;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Prefix of the keys of status objects in the platform.
pub const STATUS_PREFIX: &str = "status/";

/// Status of one rank.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RankStatus {
    /// Number of responses within the latency target.
    pub on_time: u64,
    /// Number of responses after the latency target.
    pub late: u64,
    /// Number of queued requests.
    pub queued: usize,
    /// Share of the requests that the document wants to be answered on time, 0 to 1; 0 if unknown.
    #[serde(default)]
    pub on_time_target: f64,
    /// Refusals by reason; reasons with a count of zero are omitted.
    pub refusals: BTreeMap<String, u64>,
    /// Retries by reason; reasons with a count of zero are omitted.
    pub retries: BTreeMap<String, u64>,
}

impl RankStatus {
    /// Returns the share of the requests that were answered on time, 0 to 1, or `None` if there were none.
    /// Refused requests count as not on time.
    pub fn on_time_share(&self) -> Option<f64> {
        let total = self.on_time + self.late + self.refusals.values().sum::<u64>();
        (total > 0).then(|| self.on_time as f64 / total as f64)
    }

    /// Returns whether the share answered on time is below the one that the document wants.
    pub fn misses_target(&self) -> bool {
        self.on_time_share().is_some_and(|share| share < self.on_time_target)
    }
}

/// Status of one service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Active version of the document.
    pub generation: u64,
    /// Time at which the version was activated here, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Whether this entry VM is a home of the service.
    pub is_home: bool,
    /// Number of known targets.
    pub targets: usize,
    /// Number of slots that this entry VM can use now.
    pub usable_slots: u32,
    /// Number of requests that the dispatcher holds: queued or in flight.
    pub in_flight: usize,
    /// Status of each rank by name.
    pub ranks: BTreeMap<String, RankStatus>,
}

/// Active version of a service's document on one entry VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// Version of the document.
    pub generation: u64,
    /// Time at which the version was activated, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// Status of one entry VM.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Identifier of the process run, in hexadecimal.
    pub incarnation: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address for callers.
    pub caller_address: String,
    /// Phase of the process.
    pub phase: String,
    /// Whether this entry VM receives messages from others, or there are no others.
    pub is_connected: bool,
    /// Number of entry VMs considered available, including this one.
    pub available_members: usize,
    /// Number of idempotency keys in the claim table.
    pub claim_keys: usize,
    /// Time at which this status was created, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Addresses of the targets that the platform lists as leaving.
    pub listed_leaving: Vec<String>,
    /// Active version of each service's document.
    pub versions: BTreeMap<String, VersionStatus>,
    /// Services by name, limited to those for which this entry VM is a home or has handled requests.
    pub services: BTreeMap<String, ServiceStatus>,
}

/// Creates the current status and publishes it for operators.
pub fn publish_status(state: &ControlState) {
    let status = make_node_status(state);
    let value = serde_json::to_value(status).unwrap_or_default();
    state.node_state.status.store(std::sync::Arc::new(value));
}

fn make_node_status(state: &ControlState) -> NodeStatus {
    let node_state = &state.node_state;
    let members = node_state.members.load();
    NodeStatus {
        incarnation: format!("{:016x}", node_state.incarnation),
        failure_domain: node_state.settings.entry.failure_domain.clone(),
        caller_address: state.members.own().caller_address.to_string(),
        phase: format!("{:?}", node_state.lifecycle.phase()).to_lowercase(),
        is_connected: members.is_connected,
        available_members: members.candidates.len(),
        claim_keys: node_state.claims().key_count(),
        unix_ms: wall_clock::unix_millis(),
        services: state
            .documents
            .keys()
            .filter(|name| is_home(state, name) || has_handled_requests(state, name))
            .map(|name| (name.clone(), make_service_status(state, name)))
            .collect(),
        listed_leaving: listed_leaving(state),
        versions: state.documents.iter().map(make_version_status).collect(),
    }
}

fn listed_leaving(state: &ControlState) -> Vec<String> {
    let leaving =
        state.vm_list.records.iter().filter(|record| record.lifecycle() == TargetLifecycle::Leaving);
    leaving.map(|record| record.address.to_string()).collect()
}

fn make_version_status((name, active): (&String, &ActiveDocument)) -> (String, VersionStatus) {
    let version =
        VersionStatus { generation: active.generation, since_unix_ms: active.activated_unix_millis };
    (name.clone(), version)
}

fn is_home(state: &ControlState, name: &str) -> bool {
    let members = state.node_state.members.load();
    let own = state.node_state.incarnation;
    members.homes.get(name).is_some_and(|homes| homes.iter().any(|home| home.incarnation == own))
}

fn has_handled_requests(state: &ControlState, name: &str) -> bool {
    let services = state.node_state.services.load();
    services.get(name).is_some_and(|entry| entry.counters.iter().any(|counters| counters.has_counted()))
}

fn make_service_status(state: &ControlState, name: &str) -> ServiceStatus {
    let active = &state.documents[name];
    let mut status = ServiceStatus {
        generation: active.generation,
        since_unix_ms: active.activated_unix_millis,
        is_home: is_home(state, name),
        ..ServiceStatus::default()
    };
    let services = state.node_state.services.load();
    let Some(entry) = services.get(name) else { return status };
    entry.dispatcher_handle.read(|dispatcher| {
        status.targets = dispatcher.targets().len();
        status.usable_slots = dispatcher.targets().usable_slots();
        status.in_flight = dispatcher.request_count();
        for (rank, policy) in entry.document.ranks.iter().enumerate() {
            let queued = dispatcher.queue_length(rank);
            status.ranks.insert(policy.name.clone(), RankStatus { queued, ..RankStatus::default() });
        }
    });
    for (policy, counters) in entry.document.ranks.iter().zip(&entry.counters) {
        let rank = status.ranks.entry(policy.name.clone()).or_default();
        rank.on_time_target = policy.on_time_share;
        rank.on_time = counters.on_time.load(Ordering::Relaxed);
        rank.late = counters.late.load(Ordering::Relaxed);
        rank.refusals =
            nonzero_counts(RefusalReason::ALL.iter().map(|reason| reason.as_str()), &counters.refusals);
        rank.retries =
            nonzero_counts(RetryReason::ALL.iter().map(|reason| reason.as_str()), &counters.retries);
    }
    status
}

fn nonzero_counts(
    names: impl Iterator<Item = &'static str>,
    counters: &[AtomicU64],
) -> BTreeMap<String, u64> {
    let values = counters.iter().map(|counter| counter.load(Ordering::Relaxed));
    let pairs = names.zip(values).filter(|(_, value)| *value > 0);
    pairs.map(|(name, value)| (name.to_owned(), value)).collect()
}
