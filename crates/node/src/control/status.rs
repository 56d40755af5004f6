//! Status as JSON, for operators and for the status object in the platform.

use crate::control::state::{ActiveDocument, ControlState};
use crate::wall_clock;
use serde::{Deserialize, Serialize};
use sniperelay_core::reason::{RefusalReason, RetryReason};
use sniperelay_core::target::TargetLife;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Prefix of status objects in the platform.
pub const STATUS_PREFIX: &str = "status/";

/// Status of one rank.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RankStatus {
    /// Answers on time.
    pub on_time: u64,
    /// Late answers.
    pub late: u64,
    /// Waiting requests.
    pub queued: usize,
    /// Refusals by reason, those that occurred.
    pub refusals: BTreeMap<String, u64>,
    /// Retries by reason, those that occurred.
    pub retries: BTreeMap<String, u64>,
}

/// Status of one service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Version in force.
    pub generation: u64,
    /// Since when, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Whether this entry VM is a home of the service.
    pub is_home: bool,
    /// Targets known.
    pub targets: usize,
    /// Slots that this entry VM may use now.
    pub usable_slots: u32,
    /// Requests in flight.
    pub in_flight: usize,
    /// Ranks by name.
    pub ranks: BTreeMap<String, RankStatus>,
}

/// Version of a service's document in force on one entry VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The version.
    pub generation: u64,
    /// Since when, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// Status of one entry VM.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Process run, in hexadecimal.
    pub incarnation: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address for callers.
    pub caller_address: String,
    /// Phase of the process.
    pub phase: String,
    /// Whether it hears other entry VMs, or there are none.
    pub is_connected: bool,
    /// Entry VMs that it counts as available, itself included.
    pub available_members: usize,
    /// Idempotency keys remembered.
    pub claim_keys: usize,
    /// Time of this status, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Targets that the platform lists as leaving.
    pub listed_leaving: Vec<String>,
    /// Version in force of every service.
    pub versions: BTreeMap<String, VersionStatus>,
    /// Services of which it is a home or for which it had work, by name.
    pub services: BTreeMap<String, ServiceStatus>,
}

/// Makes the status and publishes it for operators.
pub fn publish_status(state: &ControlState) {
    let status = make_status(state);
    let value = serde_json::to_value(status).unwrap_or_default();
    state.shared.status.store(std::sync::Arc::new(value));
}

fn make_status(state: &ControlState) -> NodeStatus {
    let shared = &state.shared;
    let members = shared.members.load();
    NodeStatus {
        incarnation: format!("{:016x}", shared.incarnation),
        failure_domain: shared.settings.entry.failure_domain.clone(),
        caller_address: state.members.own().caller_address.to_string(),
        phase: format!("{:?}", shared.lifecycle.phase()).to_lowercase(),
        is_connected: members.is_connected,
        available_members: members.candidates.len(),
        claim_keys: shared.claims().key_count(),
        unix_ms: wall_clock::unix_millis(),
        services: state
            .documents
            .keys()
            .filter(|name| is_home(state, name) || has_handled_requests(state, name))
            .map(|name| (name.clone(), make_service(state, name)))
            .collect(),
        listed_leaving: listed_leaving(state),
        versions: state.documents.iter().map(make_version).collect(),
    }
}

fn listed_leaving(state: &ControlState) -> Vec<String> {
    let leaving = state.vm_list.records.iter().filter(|record| record.life() == TargetLife::Leaving);
    leaving.map(|record| record.address.to_string()).collect()
}

fn make_version((name, active): (&String, &ActiveDocument)) -> (String, VersionStatus) {
    let version = VersionStatus { generation: active.generation, since_unix_ms: active.since_millis };
    (name.clone(), version)
}

fn is_home(state: &ControlState, name: &str) -> bool {
    let members = state.shared.members.load();
    let own = state.shared.incarnation;
    members.homes.get(name).is_some_and(|homes| homes.iter().any(|home| home.incarnation == own))
}

fn has_handled_requests(state: &ControlState, name: &str) -> bool {
    let services = state.shared.services.load();
    services.get(name).is_some_and(|entry| entry.counters.iter().any(|counters| counters.has_counted()))
}

fn make_service(state: &ControlState, name: &str) -> ServiceStatus {
    let active = &state.documents[name];
    let mut status = ServiceStatus {
        generation: active.generation,
        since_unix_ms: active.since_millis,
        is_home: is_home(state, name),
        ..ServiceStatus::default()
    };
    let services = state.shared.services.load();
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
        rank.on_time = counters.on_time.load(Ordering::Relaxed);
        rank.late = counters.late.load(Ordering::Relaxed);
        rank.refusals = nonzero(RefusalReason::ALL.iter().map(|reason| reason.as_str()), &counters.refusals);
        rank.retries = nonzero(RetryReason::ALL.iter().map(|reason| reason.as_str()), &counters.retries);
    }
    status
}

fn nonzero(names: impl Iterator<Item = &'static str>, counters: &[AtomicU64]) -> BTreeMap<String, u64> {
    let values = counters.iter().map(|counter| counter.load(Ordering::Relaxed));
    let pairs = names.zip(values).filter(|(_, value)| *value > 0);
    pairs.map(|(name, value)| (name.to_owned(), value)).collect()
}
