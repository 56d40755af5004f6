//! Builds and publishes the snapshots that traffic threads read: services, homes and slot owners,
//! derived from documents, members and the VM list.

use crate::control::control_state::ControlState;
use crate::control::status::publish_status;
use crate::dispatcher_handle::{DispatcherHandle, ServiceEntry};
use crate::shared_state::{MemberSnapshot, ServiceMap};
use crate::traffic::pool::{IdleLimits, MAX_IDLE_PER_TARGET};
use sniperelay_core::dispatch::DispatchSettings;
use sniperelay_core::document::ServiceDocument;
use sniperelay_core::home::{HomeCandidate, assign_owners, choose_homes};
use sniperelay_core::ids::{IncarnationId, ServiceName};
use sniperelay_core::member::MemberHealth;
use sniperelay_core::target::{TargetLifecycle, TargetSpec};
use sniperelay_core::vm::{VmRecord, VmRole};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Number of entry VMs that watch the documents in the platform.
const WATCHER_COUNT: usize = 3;
/// Maximum time for which a report that a target is leaving takes precedence over the platform's list.
const LEAVING_REPORT_LIFETIME: Duration = Duration::from_secs(600);

/// Publishes new snapshots if any of their inputs has changed.
pub fn publish_snapshots(state: &mut ControlState, now: Instant) {
    drop_obsolete_reports(state, now);
    let is_connected = state.members.is_connected(now);
    let is_connection_changed =
        state.flags.is_connected.swap(is_connected, Ordering::Relaxed) != is_connected;
    let is_current = state.published_revision == Some(state.members.revision());
    if is_current && !state.has_stale_snapshots && !is_connection_changed {
        return;
    }
    state.published_revision = Some(state.members.revision());
    state.published_at = Some(now);
    state.has_stale_snapshots = false;
    let snapshot = make_member_snapshot(state, is_connected);
    publish_services(state, &snapshot);
    let watchers = choose_homes("platform-watch", &snapshot.candidates, WATCHER_COUNT);
    let is_watcher = watchers.iter().any(|home| home.incarnation == state.node_state.incarnation);
    state.flags.is_watcher.store(is_watcher, Ordering::Relaxed);
    state.flags.has_editions.store(!state.documents.is_empty(), Ordering::Relaxed);
    state.node_state.members.store(Arc::new(snapshot));
    publish_status(state);
}

/// Drops reports that a target is leaving once the platform's list no longer shows the target as live,
/// or after [`LEAVING_REPORT_LIFETIME`]. From then on the list determines when a target at that address
/// accepts requests again.
fn drop_obsolete_reports(state: &mut ControlState, now: Instant) {
    let count = state.leaving_reports.len();
    if count == 0 {
        return;
    }
    let live = state.vm_list.records.iter().filter(|record| record.lifecycle() == TargetLifecycle::Live);
    let live: HashSet<(&VmRole, SocketAddr)> = live.map(|record| (&record.role, record.address)).collect();
    state.leaving_reports.retain(|(service, address), since| {
        let is_fresh = now.saturating_duration_since(*since) < LEAVING_REPORT_LIFETIME;
        is_fresh && live.contains(&(&VmRole::Target(service.clone()), *address))
    });
    state.has_stale_snapshots |= state.leaving_reports.len() != count;
}

fn make_member_snapshot(state: &ControlState, is_connected: bool) -> MemberSnapshot {
    let own = state.members.own();
    let live_members = state.members.others().filter(|record| record.health != MemberHealth::Dead);
    let members =
        std::iter::once(own).chain(live_members).map(|record| (record.incarnation, record.clone())).collect();
    let candidates: Vec<HomeCandidate> = state
        .members
        .available()
        .map(|record| HomeCandidate { incarnation: record.incarnation, domain: record.domain.clone() })
        .collect();
    let homes = state
        .documents
        .values()
        .map(|active| &active.document)
        .map(|document| {
            (document.name.clone(), choose_homes(&document.name, &candidates, document.home_count))
        })
        .collect();
    MemberSnapshot { members, candidates, homes, is_connected }
}

fn publish_services(state: &mut ControlState, snapshot: &MemberSnapshot) {
    let current = state.node_state.services.load_full();
    let mut targets = group_targets(&state.vm_list.records);
    let mut services = ServiceMap::new();
    let mut idle_limits = IdleLimits::new();
    for active in state.documents.values() {
        let document = &active.document;
        let entry = update_entry(state, &current, document);
        let homes = snapshot.homes.get(&document.name).map_or(&[][..], Vec::as_slice);
        let records = targets.remove(document.name.as_str()).unwrap_or_default();
        let specs = make_target_specs(state, document, homes, &records);
        let max_idle = max_idle_connections(document);
        idle_limits.extend(records.iter().map(|record| (record.address, max_idle)));
        let is_other = |home: &&HomeCandidate| home.incarnation != state.node_state.incarnation;
        let lenders: Vec<IncarnationId> =
            homes.iter().filter(is_other).map(|home| home.incarnation).collect();
        entry.dispatcher_handle.replace_targets(&specs, &lenders);
        services.insert(document.name.clone(), entry);
    }
    state.node_state.services.store(Arc::new(services));
    state.node_state.pool.set_idle_limits(idle_limits);
}

/// Returns the maximum number of idle connections to each target of a service. The connections that a target
/// accepts from all entry VMs together are divided among the homes of its service.
fn max_idle_connections(document: &ServiceDocument) -> usize {
    let share = document.connections_per_target as usize / document.home_count.max(1);
    share.clamp(1, MAX_IDLE_PER_TARGET)
}

fn group_targets(records: &[VmRecord]) -> HashMap<&str, Vec<&VmRecord>> {
    let mut groups: HashMap<&str, Vec<&VmRecord>> = HashMap::new();
    for record in records {
        if let VmRole::Target(service) = &record.role {
            groups.entry(service).or_default().push(record);
        }
    }
    groups
}

fn update_entry(
    state: &ControlState,
    current: &ServiceMap,
    document: &Arc<ServiceDocument>,
) -> Arc<ServiceEntry> {
    let Some(entry) = current.get(&document.name) else {
        let dispatcher_handle = DispatcherHandle::new(
            document.clone(),
            make_dispatch_settings(state),
            state.node_state.incarnation,
            state.node_state.peer_sender.clone(),
        );
        return Arc::new(ServiceEntry::new(document.clone(), dispatcher_handle, &state.node_state.metrics));
    };
    if Arc::ptr_eq(&entry.document, document) {
        return entry.clone();
    }
    entry
        .dispatcher_handle
        .run_operation(|dispatcher, now, _| dispatcher.replace_document(document.clone(), now));
    Arc::new(ServiceEntry::new(document.clone(), entry.dispatcher_handle.clone(), &state.node_state.metrics))
}

fn make_dispatch_settings(state: &ControlState) -> DispatchSettings {
    DispatchSettings {
        local_domain: state.node_state.settings.entry.failure_domain.clone(),
        policy: state.node_state.settings.policy,
        seed: state.node_state.incarnation,
    }
}

fn make_target_specs(
    state: &ControlState,
    document: &ServiceDocument,
    homes: &[HomeCandidate],
    records: &[&VmRecord],
) -> Vec<TargetSpec> {
    let lifecycle = |record: &VmRecord| match is_reported_leaving(state, &document.name, record) {
        true => TargetLifecycle::Leaving,
        false => record.lifecycle(),
    };
    let live = records.iter().filter(|record| lifecycle(record) == TargetLifecycle::Live);
    let live_targets: Vec<_> = live.map(|record| (record.address, record.failure_domain.clone())).collect();
    let owners = assign_owners(homes, &live_targets);
    let make_spec = |record: &&VmRecord| TargetSpec {
        address: record.address,
        domain: record.failure_domain.clone(),
        lifecycle: lifecycle(record),
        owned_slots: match owners.get(&record.address) == Some(&state.node_state.incarnation) {
            true => document.slots_per_target,
            false => 0,
        },
    };
    records.iter().map(make_spec).collect()
}

fn is_reported_leaving(state: &ControlState, service: &ServiceName, record: &VmRecord) -> bool {
    !state.leaving_reports.is_empty()
        && state.leaving_reports.contains_key(&(service.clone(), record.address))
}
