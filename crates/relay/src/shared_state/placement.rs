//! Placement: which entry VMs are the homes of a host, which targets this one serves, and which others take its
//! requests or own the limits of its targets.
//!
//! All of this is computed from the shared lists of entry VMs, targets and routes, so that entry VMs with the same
//! lists agree.

use super::cold_limits::ColdPolicies;
use super::{RelayState, TargetMap, is_live};
use rand::seq::IndexedRandom;
use sniperelay_core::domain_homes::{
    DomainCell, DomainSlots, choose_domain_homes, domain_cell, homes_for_caller,
};
use sniperelay_core::home::{
    HOMES_PER_CELL, HomeCandidate, LimitOwners, SizedCandidate, cell_targets, choose_homes_by_capacity,
};
use sniperelay_core::ids::{IncarnationId, ServiceName};
use sniperelay_core::limit_ledger::MembershipView;
use sniperelay_hosted::registration::{EntryVmRecord, TargetRecord};
use sniperelay_node::lifecycle::LifecyclePhase;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Targets of one service that an entry VM serves.
#[derive(Debug, Default)]
pub(super) struct OwnCell {
    pub(super) targets: HashSet<SocketAddr>,
    /// Targets in other failure domains that may take requests of this entry VM.
    pub(super) overflow: HashSet<SocketAddr>,
    /// Number of homes that may probe the same target, over all hosts.
    pub(super) prober_count: usize,
    /// Number of hosts with routes to the service. Each host has its own cells. Where each failure domain has homes of
    /// its own, hosts with the same homes count as one.
    pub(super) host_count: usize,
    /// Total number of homes of these hosts.
    pub(super) home_count: usize,
    /// Targets to which this entry VM may send while they are cold.
    pub(super) cold_targets: HashSet<SocketAddr>,
    /// Maximum number of entry VMs that may send to a cold target.
    pub(super) cold_sender_count: usize,
}

/// Share of the platform's limit on the rate of load probes that is used.
const PROBE_RATE_SHARE: f64 = 0.8;
/// Minimum age from which a report is outdated. Targets change their speed a few times per second.
const MIN_REPORT_AGE: Duration = Duration::from_millis(150);

/// Number of trial positions over which entry VMs that are no homes of a host are spread.
const OTHER_TRIAL_POSITIONS: u64 = 64;
/// Maximum number of entry VM addresses in one lookup response.
const MAX_LOOKUP_ADDRESSES: usize = 64;

/// Age of the last contact with the store, or with a reader, from which the list of entry VMs may be outdated: several
/// checks of the store, which come every 0.3 s.
const MAX_VIEW_AGE: Duration = Duration::from_secs(2);

impl RelayState {
    /// Returns the addresses of the entry VMs that serve callers of a host, its homes.
    ///
    /// A host has few homes, so that each home sees most of a target's reports and there are few
    /// queues. The number of homes grows with the number of slots behind the host. Callers are spread
    /// over all homes in all failure domains, so that each cell of homes gets its share of them. At most
    /// `MAX_LOOKUP_ADDRESSES` addresses are returned.
    pub fn homes_for(&self, host: &str) -> Vec<SocketAddr> {
        self.addresses_of(&self.choose_host_homes(host, &self.targets()))
    }

    /// Returns the addresses of the entry VMs that a lookup by `caller` in the failure domain `domain` names. Where each
    /// domain has homes of its own, these are the homes of that domain and one home for each further domain whose loss
    /// is tolerated; otherwise all homes.
    pub fn homes_for_caller(&self, host: &str, domain: Option<&str>, caller: IpAddr) -> Vec<SocketAddr> {
        if !self.settings.routing.has_domain_homes() {
            return self.homes_for(host);
        }
        let targets = self.targets();
        let homes = self.choose_host_homes(host, &targets);
        let live_slots = self.slots_by_domain(host, &targets, is_live);
        let spare_domains = self.settings.routing.tolerated_domain_losses;
        self.addresses_of(&homes_for_caller(&homes, &live_slots, domain, &caller.to_string(), spare_domains))
    }

    fn addresses_of(&self, homes: &[HomeCandidate]) -> Vec<SocketAddr> {
        let addresses: HashMap<IncarnationId, SocketAddr> = {
            let vms = self.entry_vms.load();
            vms.values().map(|record| (record.home_candidate().incarnation, record.caller_address)).collect()
        };
        let listed_homes = homes.iter().take(MAX_LOOKUP_ADDRESSES);
        listed_homes.filter_map(|home| addresses.get(&home.incarnation).copied()).collect()
    }

    /// Chooses another entry VM that handles requests for a host: one of those that would be its homes among the
    /// responsive ones that meet a condition.
    pub fn choose_peer(
        &self,
        host: &str,
        is_candidate: impl Fn(&EntryVmRecord) -> bool,
    ) -> Option<EntryVmRecord> {
        let vms = self.entry_vms.load();
        let unresponsive = self.lock_unresponsive_vms();
        let is_usable = |record: &&EntryVmRecord| {
            record.name != self.settings.entry.name
                && !unresponsive.contains(&record.name)
                && is_candidate(record)
        };
        let candidates = self.without_isolated(vms.values().filter(is_usable));
        drop(unresponsive);
        let homes = self.choose_homes(host, &candidates, &self.targets());
        let chosen = homes.choose(&mut rand::rng())?.incarnation;
        vms.values().find(|record| record.home_candidate().incarnation == chosen).cloned()
    }

    /// Returns the id under which this entry VM is a candidate for homes. It stays the same when it restarts.
    pub fn own_home_id(&self) -> IncarnationId {
        self.own_record().home_candidate().incarnation
    }

    /// Returns the owners of the rate limits of a service's targets.
    pub fn limit_owners(&self, service: &ServiceName) -> LimitOwners {
        let Some(routes) = self.routes.load_full() else { return LimitOwners::default() };
        // One host decides, so that all entry VMs choose the same owners.
        let hosts = routes.table.hosts().filter(|host| routes.table.services_of(host).contains(service));
        let Some(host) = hosts.min() else { return LimitOwners::default() };
        let targets = self.targets();
        let live = targets.values().filter(|target| target.service == *service && is_live(target));
        let live_targets: Vec<(SocketAddr, String)> =
            live.map(|target| (target.address, target.domain.clone())).collect();
        // Liveness as seen from here is left out: entry VMs that differ in it would choose different owners, who
        // together grant more than the limit.
        let vms = self.entry_vms.load();
        let aware = vms.values().filter(|record| !self.unaware_vms.contains(record));
        let candidates = self.without_isolated(aware);
        let homes = self.choose_homes(host, &candidates, &targets);
        LimitOwners::choose(&homes, &live_targets)
    }

    /// Returns how reliable the list of entry VMs is.
    pub fn membership_view(&self) -> MembershipView {
        if self.is_membership_settled.load(Ordering::Relaxed) {
            self.view_by_contact()
        } else {
            MembershipView::Unsettled
        }
    }

    /// Returns how reliable the list of entry VMs is for the choice of the owners of accounts. Owners are chosen by name, and
    /// a fleet that restarts finds the registrations of the processes before it.
    pub fn account_view(&self) -> MembershipView {
        if self.replica.start_order().has_predecessor() {
            self.view_by_contact()
        } else {
            self.membership_view()
        }
    }

    fn view_by_contact(&self) -> MembershipView {
        let is_current = self.replica.contact_age().is_some_and(|age| age < MAX_VIEW_AGE);
        if is_current { MembershipView::Current } else { MembershipView::Outdated }
    }

    /// Returns the registration of the entry VM with this candidate id.
    pub fn find_entry_vm(&self, home: IncarnationId) -> Option<EntryVmRecord> {
        let vms = self.entry_vms.load();
        vms.values().find(|record| record.home_candidate().incarnation == home).cloned()
    }

    /// Returns the address at which the entry VM with this candidate id serves entry VMs, if it is registered.
    pub fn peer_address(&self, home: IncarnationId) -> Option<SocketAddr> {
        self.find_entry_vm(home).map(|record| record.peer_address)
    }

    /// Returns the number of homes of a host whose trials of quarantined requests come before those of this entry
    /// VM.
    pub fn trial_position(&self, host: &str) -> u32 {
        let own = self.own_home_id();
        let homes = self.choose_host_homes(host, &self.targets());
        let position = homes.iter().position(|home| home.incarnation == own);
        // Other entry VMs get hardly any requests for the host; their names spread their trials.
        let other_position = homes.len() as u64 + own % OTHER_TRIAL_POSITIONS;
        position.unwrap_or(other_position as usize) as u32
    }

    fn choose_host_homes(&self, host: &str, targets: &TargetMap) -> Vec<HomeCandidate> {
        let vms = self.entry_vms.load();
        let unresponsive = self.lock_unresponsive_vms();
        let is_serving = self.lifecycle.phase() == LifecyclePhase::Serving;
        let is_usable = |record: &&EntryVmRecord| {
            !unresponsive.contains(&record.name) && (is_serving || record.name != self.settings.entry.name)
        };
        let candidates = self.without_isolated(vms.values().filter(is_usable));
        if self.settings.routing.has_domain_homes() {
            let slots = self.slots_by_domain(host, targets, |_| true);
            return choose_domain_homes(host, &candidates, &slots, self.settings.routing.homes_per_host);
        }
        self.choose_homes(host, &candidates, targets)
    }

    fn choose_homes(
        &self,
        host: &str,
        candidates: &[SizedCandidate],
        targets: &TargetMap,
    ) -> Vec<HomeCandidate> {
        let slots = self.slots_behind(host, targets);
        choose_homes_by_capacity(host, candidates, slots, self.settings.routing.homes_per_host)
    }

    /// Returns the entry VMs that have not reported that they are isolated, or all if each one has.
    fn without_isolated<'a>(&self, records: impl Iterator<Item = &'a EntryVmRecord>) -> Vec<SizedCandidate> {
        let isolated = self.isolated_vms.load();
        let (connected, isolated): (Vec<&EntryVmRecord>, Vec<&EntryVmRecord>) =
            records.partition(|record| !isolated.contains(&record.name));
        let chosen = if connected.is_empty() { isolated } else { connected };
        chosen.into_iter().map(|record| (record.home_candidate(), record.capacity)).collect()
    }

    /// Returns the number of slots of all targets that the host's routes can lead to.
    fn slots_behind(&self, host: &str, targets: &TargetMap) -> u32 {
        let Some(routes) = self.routes.load_full() else { return 0 };
        let services = routes.table.services_of(host);
        let behind = targets.values().filter(|target| services.contains(&target.service));
        behind.fold(0, |total, target| total.saturating_add(target.slots))
    }

    /// Returns the number of slots of the targets that a host's routes can lead to, by failure domain.
    fn slots_by_domain(
        &self,
        host: &str,
        targets: &TargetMap,
        is_counted: impl Fn(&TargetRecord) -> bool,
    ) -> DomainSlots {
        let Some(routes) = self.routes.load_full() else { return DomainSlots::new() };
        let services = routes.table.services_of(host);
        let mut slots = DomainSlots::new();
        for target in targets.values().filter(|target| services.contains(&target.service)) {
            let domain_slots = slots.entry(target.domain.clone()).or_default();
            *domain_slots = domain_slots.saturating_add(if is_counted(target) { target.slots } else { 0 });
        }
        slots
    }

    /// Returns the targets of a service that this entry VM serves as one of the homes of a host, if it is one.
    fn cell_of(&self, homes: &[HomeCandidate], targets: &[(SocketAddr, String)]) -> Option<DomainCell> {
        let own = self.own_home_id();
        if self.settings.routing.has_domain_homes() {
            return domain_cell(own, homes, targets);
        }
        let cell = cell_targets(own, homes, targets)?;
        Some(DomainCell { own: cell, overflow: HashSet::new(), prober_count: HOMES_PER_CELL })
    }

    /// Returns the targets that this entry VM serves, by service. If this entry VM serves all targets of
    /// a service, there is no entry for the service.
    pub(super) fn own_cells(
        &self,
        targets: &TargetMap,
        policies: &ColdPolicies,
    ) -> HashMap<ServiceName, OwnCell> {
        let Some(routes) = self.routes.load_full() else { return HashMap::new() };
        let mut cells: HashMap<ServiceName, OwnCell> = HashMap::new();
        let mut counts: HashMap<ServiceName, (usize, usize)> = HashMap::new();
        let mut sender_counts: HashMap<ServiceName, usize> = HashMap::new();
        let mut seen_homes: HashSet<(&ServiceName, Vec<IncarnationId>)> = HashSet::new();
        // In the same order everywhere, as the first hosts send to cold targets.
        let mut hosts: Vec<&str> = routes.table.hosts().collect();
        hosts.sort_unstable();
        for host in hosts {
            let homes = self.choose_host_homes(host, targets);
            for service in routes.table.services_of(host) {
                // Hosts with the same homes have the same cells in each failure domain.
                if self.settings.routing.has_domain_homes()
                    && !seen_homes.insert((service, sorted_ids(&homes)))
                {
                    continue;
                }
                let count = counts.entry(service.clone()).or_default();
                let may_send_to_cold = count.0 < policies.max_hosts(service);
                *count = (count.0 + 1, count.1 + homes.len());
                if may_send_to_cold {
                    *sender_counts.entry(service.clone()).or_default() += homes.len().min(HOMES_PER_CELL);
                }
                let live = targets.values().filter(|target| target.service == *service && is_live(target));
                let live_targets: Vec<(SocketAddr, String)> =
                    live.map(|target| (target.address, target.domain.clone())).collect();
                if let Some(cell) = self.cell_of(&homes, &live_targets) {
                    let own_cell = cells.entry(service.clone()).or_default();
                    if may_send_to_cold {
                        own_cell.cold_targets.extend(&cell.own);
                    }
                    own_cell.targets.extend(cell.own);
                    own_cell.overflow.extend(cell.overflow);
                    own_cell.prober_count = own_cell.prober_count.max(cell.prober_count);
                }
            }
        }
        for (service, cell) in &mut cells {
            (cell.host_count, cell.home_count) = counts[service];
            cell.cold_sender_count = sender_counts.get(service).copied().unwrap_or(0);
            cell.prober_count *= cell.host_count;
            cell.overflow.retain(|address| !cell.targets.contains(address));
        }
        cells
    }

    /// Returns the age from which a target's last report is outdated, so that the target is probed. Each
    /// target is in one cell of each host, and the `prober_count` homes of all these cells, and those whose overflow
    /// target it is, together must stay within the rate of probes per target that the platform allows.
    pub(super) fn max_report_age(&self, prober_count: usize) -> Duration {
        let min_age = prober_count as f64 / (PROBE_RATE_SHARE * self.bounds.probes_per_second);
        MIN_REPORT_AGE.max(Duration::from_secs_f64(min_age))
    }
}

fn sorted_ids(homes: &[HomeCandidate]) -> Vec<IncarnationId> {
    let mut ids: Vec<IncarnationId> = homes.iter().map(|home| home.incarnation).collect();
    ids.sort_unstable();
    ids
}
