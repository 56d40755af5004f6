//! State shared by all tasks: routes, services, entry VMs and the phase of the process.

mod cold_limits;
mod placement;
mod target_lists;
mod unrouted_services;

use crate::account_quotas::AccountQuotas;
use crate::config_proof::ConfigProof;
use crate::connection_room::ConnectionRoom;
use crate::copy_offers::CopyOffers;
use crate::crash_quarantine::CrashQuarantine;
use crate::decision_log::DecisionLog;
use crate::domain_departures::export_leaving_totals;
use crate::forwarding::ForwardingPeers;
use crate::replication::StoreReplica;
use crate::response_cache::ResponseCache;
use crate::target_checks::TargetLinks;
use crate::unaware_vms::UnawareVms;
use arc_swap::{ArcSwap, ArcSwapOption};
use cold_limits::ColdPolicies;
use placement::OwnCell;
use sniperelay_config::RelaySettings;
use sniperelay_core::account::{AccountTable, ClientAccount};
use sniperelay_core::account_terms::LimitTolerance;
use sniperelay_core::connection_table::ConnectionLimits;
use sniperelay_core::dispatch::{DispatchSettings, ServiceDispatcher};
use sniperelay_core::document::ServiceDocument;
use sniperelay_core::ids::{DomainName, IncarnationId, InstanceName, ServiceName};
use sniperelay_core::key_fence::KeyFence;
use sniperelay_core::leaving::LeavingReports;
use sniperelay_core::limit_ledger::LimitLedger;
use sniperelay_core::memory_budget::MemoryBudget;
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::queue::AccountWeights;
use sniperelay_core::route::{RouteConfig, RouteTable, RouteVersion};
use sniperelay_core::target::{ColdLimit, SharedTarget, TargetLifecycle, TargetSpec};
use sniperelay_hosted::bounds::{AccountTolerance, PlatformBounds};
use sniperelay_hosted::registration::{EntryVmRecord, TargetRecord};
use sniperelay_hosted::routes::CONFIG_PREFIX;
use sniperelay_hosted::store::ObjectStore;
use sniperelay_node::boot_clock::{self, BootTime};
use sniperelay_node::dispatcher_handle::{DispatcherHandle, OutgoingPeerMessage, ServiceEntry};
use sniperelay_node::lifecycle::{LifecyclePhase, LifecycleView};
use sniperelay_node::metrics::MetricSet;
use sniperelay_node::stop_deadline::StopDeadline;
use sniperelay_node::traffic::pool::TargetPool;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use target_lists::TargetLists;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use unrouted_services::keep_unrouted;

/// The active version of the configuration.
#[derive(Debug)]
pub struct ActiveRoutes {
    /// The configuration as read from the store.
    pub config: RouteConfig,
    /// Route table built from the configuration.
    pub table: RouteTable,
    /// Client accounts of the configuration; `None` if callers need no API keys.
    pub accounts: Option<AccountTable>,
}

/// Services by name.
pub type ServiceMap = HashMap<ServiceName, Arc<ServiceEntry>>;
/// Targets by instance.
pub type TargetMap = BTreeMap<InstanceName, TargetRecord>;
/// Entry VMs by name.
pub type EntryVmMap = BTreeMap<String, EntryVmRecord>;

/// State shared by all tasks.
pub struct RelayState {
    /// Settings, fixed for the lifetime of the process.
    pub settings: RelaySettings,
    /// Limits stated by the platform.
    pub bounds: PlatformBounds,
    /// Random number that identifies this process run.
    pub incarnation: IncarnationId,
    /// Client of the platform's store.
    pub store: ObjectStore,
    /// Active configuration; `None` until the first one has been read.
    pub routes: ArcSwapOption<ActiveRoutes>,
    /// Version of the active configuration, for requests that wait under an earlier one.
    active_version: watch::Sender<RouteVersion>,
    /// Services of the active configuration.
    pub services: ArcSwap<ServiceMap>,
    /// Services without a route in the active configuration, in the order in which they lost their last one. Requests that
    /// were admitted before may still be there.
    unrouted_services: ArcSwap<Vec<Arc<ServiceEntry>>>,
    /// Registered entry VMs, this one included.
    pub entry_vms: ArcSwap<EntryVmMap>,
    /// Names of neighbours that do not respond to liveness checks.
    pub unresponsive_vms: Mutex<HashSet<String>>,
    /// Names of entry VMs that have reported that they reach no target.
    pub isolated_vms: ArcSwap<BTreeSet<String>>,
    /// Entry VMs of builds that do not know rate limits of targets.
    pub unaware_vms: UnawareVms,
    /// Request limits of client accounts.
    pub account_quotas: AccountQuotas,
    /// Phase of the process.
    pub lifecycle: LifecycleView,
    /// End of the process, if it is shutting down.
    pub stop_deadline: StopDeadline,
    /// Metrics of this process.
    pub metrics: MetricSet,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Links between this entry VM and all targets.
    pub links: TargetLinks,
    /// Memory of the request bodies that are being received or kept.
    pub request_memory: Arc<MemoryBudget>,
    /// Memory of the responses that are being received or delivered.
    pub response_memory: Arc<MemoryBudget>,
    /// Local copy of the store's contents, which followers read.
    pub replica: StoreReplica,
    /// Proof that the configuration is current.
    pub config_proof: Arc<ConfigProof>,
    /// Offers of copies by other entry VMs.
    pub offers: CopyOffers,
    /// Encoded responses to followers.
    pub response_cache: ResponseCache,
    /// Rate limits for log lines about decisions.
    pub decisions: DecisionLog,
    /// Requests under which targets have crashed.
    pub quarantine: CrashQuarantine,
    /// Number of open caller connections and forwarded requests.
    pub connections: AtomicUsize,
    /// Room for caller connections.
    pub connection_room: Arc<ConnectionRoom>,
    /// Other entry VMs as recipients of requests that this one cannot serve.
    pub peers_for_forwarding: ForwardingPeers,
    /// Number of requests in flight that other entry VMs have forwarded.
    pub forwarded_in_flight: AtomicUsize,
    /// Whether entry VMs that started at the same time have had time to register, and the list of
    /// entry VMs has been read.
    pub is_membership_settled: AtomicBool,
    /// Whether the targets have been read.
    pub has_targets: AtomicBool,
    /// Whether the evacuations of failure domains have been read, or need not be.
    pub has_evacuations: AtomicBool,
    /// Whether targets have been assigned to the services of a configuration.
    has_assigned_targets: AtomicBool,
    targets: Mutex<TargetLists>,
    leaving_reports: Mutex<LeavingReports>,
    /// Shares of the limits that this entry VM owns.
    limit_ledger: Mutex<LimitLedger>,
    /// Required by `sniperelay_node::dispatcher_handle` but unused: entry VMs on this platform do not send each
    /// other messages.
    peers: UnboundedSender<OutgoingPeerMessage>,
}

impl std::fmt::Debug for RelayState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RelayState").finish_non_exhaustive()
    }
}

impl RelayState {
    /// Creates the state of a new process.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be registered.
    pub fn new(
        settings: RelaySettings,
        bounds: PlatformBounds,
        lifecycle: LifecycleView,
    ) -> anyhow::Result<Self> {
        let store = ObjectStore::new(settings.platform.address, settings.platform.calls_per_second);
        let (peers, _) = tokio::sync::mpsc::unbounded_channel();
        let fence = bounds.key_revocation.map(|revocation| KeyFence::new(revocation, bounds.config_apply));
        let metrics = MetricSet::new()?;
        let connection_limits = ConnectionLimits {
            open: settings.limits.caller_connections,
            reserve: settings.limits.connection_reserve,
        };
        let connection_room = ConnectionRoom::new(connection_limits, metrics.process().clone());
        let state = Self {
            has_evacuations: AtomicBool::new(bounds.evacuation.is_none()),
            bounds,
            incarnation: rand::random(),
            store,
            routes: ArcSwapOption::empty(),
            active_version: watch::Sender::new(0),
            services: ArcSwap::default(),
            unrouted_services: ArcSwap::default(),
            entry_vms: ArcSwap::default(),
            unresponsive_vms: Mutex::default(),
            isolated_vms: ArcSwap::default(),
            unaware_vms: UnawareVms::default(),
            account_quotas: AccountQuotas::new(limit_tolerance(&bounds)),
            lifecycle,
            stop_deadline: StopDeadline::default(),
            metrics,
            pool: TargetPool::default(),
            links: TargetLinks::default(),
            request_memory: MemoryBudget::new(settings.limits.request_memory_bytes),
            response_memory: MemoryBudget::new(settings.limits.response_memory_bytes),
            replica: StoreReplica::default(),
            config_proof: Arc::new(ConfigProof::new(fence)),
            offers: CopyOffers::default(),
            response_cache: ResponseCache::default(),
            decisions: DecisionLog::default(),
            quarantine: CrashQuarantine::new(settings.limits.first_quarantine),
            connections: AtomicUsize::new(0),
            connection_room,
            peers_for_forwarding: ForwardingPeers::default(),
            forwarded_in_flight: AtomicUsize::new(0),
            is_membership_settled: AtomicBool::new(false),
            has_targets: AtomicBool::new(false),
            has_assigned_targets: AtomicBool::new(false),
            targets: Mutex::default(),
            leaving_reports: Mutex::default(),
            limit_ledger: Mutex::default(),
            peers,
            settings,
        };
        state.metrics.export_call_counters(state.store.counters());
        let copies = state.replica.copies().clone();
        let proof = state.config_proof.clone();
        let read_copies = move || {
            let now = boot_clock::now();
            let proof_age =
                proof.age(now).map(|age| ([CONFIG_PREFIX, "proof_age_ms"], age.as_millis() as u64));
            copies.gauges(now).into_iter().chain(proof_age).collect()
        };
        state.metrics.export_gauge("sniperelay_copy", ["prefix", "name"], read_copies);
        let own = state.own_record();
        state.entry_vms.store(Arc::new(BTreeMap::from([(own.name.clone(), own)])));
        Ok(state)
    }

    /// Copies counters and gauges whose values are maintained elsewhere to the metrics.
    pub fn update_metrics(&self) {
        let (calls, process) = (self.store.counters(), self.metrics.process());
        process.platform_calls.store(calls.attempted(), Ordering::Relaxed);
        process.platform_failures.store(calls.failed(), Ordering::Relaxed);
        let services = self.services.load();
        export_leaving_totals(process, services.values().map(|entry| entry.dispatcher_handle.as_ref()));
        self.account_quotas.export_counters(process);
        let gauges = self.metrics.local_view();
        let set = |gauge: &AtomicU64, value: u64| gauge.store(value, Ordering::Relaxed);
        set(
            &gauges.configuration_version,
            self.routes.load().as_ref().map_or(0, |routes| routes.config.version),
        );
        set(&gauges.targets, self.targets().len() as u64);
        set(&gauges.entry_vms, self.entry_vms.load().len() as u64);
        set(&gauges.request_memory_bytes, self.request_memory.used() as u64);
        set(&gauges.response_memory_bytes, self.response_memory.used() as u64);
        let connections = self.connection_room.counts();
        set(&gauges.caller_connections, connections.open as u64);
        set(&gauges.idle_connections, connections.idle as u64);
        set(&gauges.ending_connections, connections.ending as u64);
        set(&gauges.is_isolated, u64::from(self.links.is_isolated()));
        set(&gauges.is_reader, u64::from(self.replica.is_reader()));
        set(&gauges.store_age_ms, self.replica.contact_age().map_or(u64::MAX, |age| age.as_millis() as u64));
    }

    /// Returns the record under which this entry VM registers itself.
    pub fn own_record(&self) -> EntryVmRecord {
        let entry = &self.settings.entry;
        EntryVmRecord {
            name: entry.name.clone(),
            domain: entry.failure_domain.clone(),
            caller_address: entry.caller_address,
            ready_address: entry.ready_address,
            peer_address: entry.peer_address,
            incarnation: self.incarnation,
            capacity: self.settings.routing.capacity(),
        }
    }

    /// Returns whether this entry VM is ready for callers: it is not shutting down, and it has read the
    /// configuration and the targets.
    pub fn is_ready(&self) -> bool {
        self.has_copies() && self.lifecycle.phase() == LifecyclePhase::Serving
    }

    /// Returns whether requests are refused without a proof that the configuration is current.
    pub fn needs_config_proof(&self) -> bool {
        let has_accounts = self.routes.load().as_ref().is_some_and(|routes| routes.accounts.is_some());
        has_accounts && self.config_proof.fence().is_some()
    }

    /// Returns whether this entry VM has read the configuration, the targets and the evacuations, and its services use
    /// them.
    pub fn has_copies(&self) -> bool {
        self.has_assigned_targets.load(Ordering::Acquire) && self.has_evacuations.load(Ordering::Acquire)
    }

    /// Locks and returns the names of neighbours that do not respond to liveness checks.
    pub fn lock_unresponsive_vms(&self) -> MutexGuard<'_, HashSet<String>> {
        self.unresponsive_vms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Activates a configuration if its version is higher than the active one. Returns whether it was
    /// activated.
    pub fn apply_config(self: &Arc<Self>, config: RouteConfig) -> bool {
        let current = self.routes.load_full();
        if current.is_some_and(|current| current.config.version >= config.version) {
            return false;
        }
        let table = RouteTable::build(&config, rand::random());
        let accounts = config.accounts.as_deref().map(build_accounts);
        let version = config.version;
        self.replace_services(table.documents());
        let weights = Arc::new(account_weights(config.accounts.as_deref().unwrap_or_default()));
        self.for_each_service(|entry| {
            let set_weights =
                |dispatcher: &mut ServiceDispatcher| dispatcher.set_account_weights(weights.clone());
            entry.dispatcher_handle.run_operation(|dispatcher, _, _| set_weights(dispatcher));
        });
        self.routes.store(Some(Arc::new(ActiveRoutes { config, table, accounts })));
        self.assign_targets();
        self.active_version.send_replace(version);
        true
    }

    /// Waits until the version of the active configuration is higher than `version`.
    pub async fn wait_for_later_config(&self, version: RouteVersion) {
        let mut receiver = self.active_version.subscribe();
        if receiver.wait_for(|active| *active > version).await.is_err() {
            std::future::pending().await
        }
    }

    /// Records that an instance has reported in a response that it is leaving.
    pub fn record_leaving(&self, instance: &InstanceName) {
        if self.lock_leaving_reports().record(instance, boot_clock::now()) {
            self.metrics.process().targets_reported_leaving.fetch_add(1, Ordering::Relaxed);
            log::info!(target = instance.as_str(); "target reports that it is leaving");
            self.assign_targets();
        }
    }

    /// Returns the next time at which a target that has reported leaving may no longer be used although all
    /// targets of its service are leaving.
    pub fn next_leaving_expiry(&self) -> Option<BootTime> {
        self.lock_leaving_reports().next_expiry(self.bounds.target_drain, boot_clock::now())
    }

    fn lock_leaving_reports(&self) -> MutexGuard<'_, LeavingReports> {
        self.leaving_reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the list of targets.
    pub fn set_targets(&self, targets: TargetMap) {
        let previous = self.targets();
        let started = |targets: &TargetMap, instance: &InstanceName| {
            let record = targets.values().find(|record| record.instance == *instance);
            record.map(|record| record.started_millis)
        };
        // An instance that has started again under its name has not reported anything.
        self.lock_leaving_reports().retain_listed(|instance| {
            let listed = started(&targets, instance);
            listed.is_some() && listed == started(&previous, instance)
        });
        self.lock_targets().set_listed(targets, &self.entry_vms.load(), &self.settings.entry.listen_ports());
        self.has_targets.store(true, Ordering::Relaxed);
        self.assign_targets();
    }

    /// Replaces the evacuated failure domains.
    pub fn set_evacuations(&self, domains: BTreeSet<DomainName>) {
        let vms = self.entry_vms.load();
        let has_changed =
            self.lock_targets().set_evacuated(domains, &vms, &self.settings.entry.listen_ports());
        if has_changed {
            self.assign_targets();
        }
        self.has_evacuations.store(true, Ordering::Release);
    }

    /// Replaces the list of entry VMs.
    pub fn set_entry_vms(&self, vms: EntryVmMap) {
        self.lock_unresponsive_vms().retain(|name| vms.contains_key(name));
        let vms = Arc::new(vms);
        self.entry_vms.store(vms.clone());
        self.lock_targets().update_usable(&vms, &self.settings.entry.listen_ports());
        self.assign_targets();
    }

    /// Replaces the names of entry VMs that have reported that they reach no target.
    pub fn set_isolated_vms(&self, names: &BTreeSet<String>) {
        if **self.isolated_vms.load() != *names {
            let text: Vec<&str> = names.iter().map(String::as_str).collect();
            log::info!(count = names.len(); "isolated entry VMs: {}", text.join(" "));
            self.isolated_vms.store(Arc::new(names.clone()));
            self.assign_targets();
        }
    }

    /// Calls `visit` with each service of the active configuration, and with those that have lost their routes.
    pub fn for_each_service(&self, visit: impl FnMut(&Arc<ServiceEntry>)) {
        let (routed, unrouted) = (self.services.load(), self.unrouted_services.load());
        routed.values().chain(unrouted.iter()).for_each(visit);
    }

    /// Assigns to each service the targets that this entry VM serves. Must be called after every
    /// change of targets, entry VMs or routes.
    pub fn assign_targets(&self) {
        let has_copies = self.routes.load().is_some() && self.has_targets.load(Ordering::Relaxed);
        let targets = self.targets();
        let policies = self.cold_policies();
        let cells = self.own_cells(&targets, &policies);
        self.for_each_service(|entry| {
            let service = &entry.document.name;
            let cell = cells.get(service);
            let max_report_age = cell.map(|cell| self.max_report_age(cell.prober_count));
            let capacity = self.attempt_budget_capacity(cell);
            let is_evacuated = self.lock_targets().is_evacuated(service);
            entry.dispatcher_handle.run_operation(|dispatcher, now, actions| {
                dispatcher.set_max_report_age(max_report_age);
                dispatcher.set_attempt_budget_capacity(capacity);
                dispatcher.set_evacuated(is_evacuated, now, actions);
            });
            self.update_service_targets(service, &entry.dispatcher_handle, &targets, cell, &policies);
        });
        if has_copies {
            self.has_assigned_targets.store(true, Ordering::Release);
        }
    }

    /// Records that the list of entry VMs has been read completely. Before, this entry VM sends nothing to cold targets.
    pub fn settle_membership(&self) {
        if !self.is_membership_settled.swap(true, Ordering::Relaxed) && !self.cold_policies().is_empty() {
            self.assign_targets();
        }
    }

    fn cold_policies(&self) -> ColdPolicies {
        let routes = self.routes.load();
        let services = routes.as_ref().map_or(&[][..], |routes| &routes.config.services);
        ColdPolicies::new(services, self.bounds.warm_up_tolerance)
    }

    /// Returns the time at which a registered instance has started, in milliseconds since the Unix epoch.
    pub fn started_millis(&self, instance: &InstanceName) -> Option<u64> {
        self.targets().values().find(|record| record.instance == *instance)?.started_millis
    }

    fn targets(&self) -> Arc<TargetMap> {
        self.lock_targets().usable()
    }

    fn lock_targets(&self) -> MutexGuard<'_, TargetLists> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replace_services(self: &Arc<Self>, documents: &[ServiceDocument]) {
        let mut previous = ServiceMap::new();
        self.for_each_service(|entry| drop(previous.insert(entry.document.name.clone(), entry.clone())));
        let mut services = ServiceMap::new();
        for document in documents {
            let document = Arc::new(document.clone());
            let dispatcher_handle = match previous.get(&document.name) {
                Some(entry) => {
                    entry.dispatcher_handle.run_operation(|dispatcher, now, _| {
                        dispatcher.replace_document(document.clone(), now)
                    });
                    entry.dispatcher_handle.clone()
                }
                None => self.make_dispatcher_handle(document.clone()),
            };
            services.insert(
                document.name.clone(),
                Arc::new(ServiceEntry::new(document, dispatcher_handle, &self.metrics)),
            );
        }
        let unrouted = keep_unrouted(&self.unrouted_services.load(), &self.services.load(), &services);
        self.unrouted_services.store(Arc::new(unrouted));
        self.services.store(Arc::new(services));
    }

    /// Returns the maximum number of tokens for further attempts that this entry VM accumulates for a
    /// service. The platform's budget applies to all entry VMs together and is divided among the homes
    /// of the service; any other entry VM accumulates at most one token. Only [`ATTEMPT_BUDGET_SHARE`]
    /// of the budget is used, because all tokens may already be accumulated when a window in which the
    /// platform counts attempts begins.
    fn attempt_budget_capacity(&self, cell: Option<&OwnCell>) -> f64 {
        let homes = cell.map_or(usize::MAX, |cell| cell.home_count);
        (ATTEMPT_BUDGET_SHARE * self.bounds.extra_attempts / homes as f64).max(1.0)
    }

    fn make_dispatcher_handle(&self, document: Arc<ServiceDocument>) -> Arc<DispatcherHandle> {
        let settings = DispatchSettings {
            local_domain: self.settings.entry.failure_domain.clone(),
            policy: PickPolicy::SharedSlots,
            seed: rand::random(),
        };
        let dispatcher_handle =
            DispatcherHandle::new(document, settings, self.incarnation, self.peers.clone());
        let routing = &self.settings.routing;
        let costs = routing.has_domain_homes().then_some(routing.leaving_costs);
        dispatcher_handle.run_operation(|dispatcher, _, _| dispatcher.set_leaving_costs(costs));
        dispatcher_handle
    }

    fn update_service_targets(
        &self,
        service: &str,
        dispatcher_handle: &Arc<DispatcherHandle>,
        targets: &TargetMap,
        cell: Option<&OwnCell>,
        policies: &ColdPolicies,
    ) {
        let sender_cell = cell.filter(|_| self.is_membership_settled.load(Ordering::Relaxed));
        let is_overflow = |address: &SocketAddr| cell.is_some_and(|cell| cell.overflow.contains(address));
        let is_own = |target: &&TargetRecord| {
            cell.is_none_or(|cell| cell.targets.contains(&target.address)) || is_overflow(&target.address)
        };
        let own = targets.values().filter(|target| target.service == service).filter(is_own);
        let mut targets_by_address: BTreeMap<SocketAddr, (u64, SharedTarget)> = BTreeMap::new();
        let now = boot_clock::now();
        for record in own {
            let listed_for = || self.lock_targets().listed_for(&record.instance, now);
            let limit = policies.limit_of(record, sender_cell, listed_for);
            let started = record.started_millis.unwrap_or(0);
            // If two instances have the same address, only the one that started later can still exist.
            if targets_by_address.get(&record.address).is_none_or(|(other, _)| *other <= started) {
                targets_by_address.insert(record.address, (started, self.make_target(record, limit)));
            }
        }
        self.exclude_leaving(service, targets, targets_by_address.values_mut().map(|(_, target)| target));
        let shared_targets = targets_by_address.into_values().map(|(_, target)| target);
        let (overflow, own): (Vec<SharedTarget>, Vec<SharedTarget>) =
            shared_targets.partition(|target| is_overflow(&target.spec.address));
        dispatcher_handle.run_operation(|dispatcher, now, actions| {
            dispatcher.replace_with_overflow(&own, &overflow, now, actions)
        });
    }

    /// Marks the targets as leaving that have reported it before the store shows it.
    fn exclude_leaving<'a>(
        &self,
        service: &str,
        all_targets: &TargetMap,
        own_targets: impl Iterator<Item = &'a mut SharedTarget>,
    ) {
        let reports = self.lock_leaving_reports();
        if reports.is_empty() {
            return;
        }
        let has_staying_peer = all_targets.values().any(|record| {
            record.service == service
                && record.lifecycle == TargetLifecycle::Live
                && !reports.has_reported(&record.instance)
        });
        let now = boot_clock::now();
        for target in own_targets {
            if reports.is_excluded(&target.instance, has_staying_peer, self.bounds.target_drain, now) {
                target.spec.lifecycle = TargetLifecycle::Leaving;
            }
        }
    }

    fn make_target(&self, record: &TargetRecord, cold_limit: Option<ColdLimit>) -> SharedTarget {
        let usable_slots = (f64::from(record.slots) * self.settings.routing.slot_fill).round();
        SharedTarget {
            spec: TargetSpec {
                address: record.address,
                domain: record.domain.clone(),
                lifecycle: record.lifecycle,
                owned_slots: (usable_slots as u32).max(1),
            },
            instance: record.instance.clone(),
            warm_up: record.warm_up,
            cold_limit,
        }
    }

    /// Locks and returns the shares of the limits that this entry VM owns.
    pub fn lock_limit_ledger(&self) -> MutexGuard<'_, LimitLedger> {
        self.limit_ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Share of the platform's budget for further attempts that all entry VMs together may accumulate.
const ATTEMPT_BUDGET_SHARE: f64 = 0.6;
/// Interval between two runs of the dispatchers' periodic work.
pub const UPKEEP_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the weights by which client accounts share a rank: their request limits.
fn account_weights(accounts: &[ClientAccount]) -> AccountWeights {
    let limit = |account: &ClientAccount| Some((account.id(), account.limit?.per_second));
    AccountWeights::from_limits(accounts.iter().filter_map(limit))
}

/// Builds the table of client accounts and logs its findings, which contain no API key.
fn build_accounts(accounts: &[ClientAccount]) -> AccountTable {
    let (table, findings) = AccountTable::build(accounts);
    for finding in findings.as_slice() {
        log::warn!("client account '{}' {}", finding.location.key, finding.message);
    }
    table
}

/// Returns how far the limits of client accounts may be exceeded.
fn limit_tolerance(bounds: &PlatformBounds) -> LimitTolerance {
    let AccountTolerance { window, overrun, slack } = bounds.account_tolerance;
    LimitTolerance { window, overrun, slack }
}

/// Returns whether a target accepts new requests.
pub fn is_live(record: &TargetRecord) -> bool {
    record.lifecycle == TargetLifecycle::Live
}

/// Guard that counts an open connection of a caller, or a request of another entry VM, until it is dropped. The
/// process does not end before all of them have ended, or its time to stop is over.
pub struct ConnectionGuard(Arc<RelayState>);

impl ConnectionGuard {
    /// Counts a connection as open.
    pub fn open(state: &Arc<RelayState>) -> Self {
        state.connections.fetch_add(1, Ordering::Relaxed);
        Self(state.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
