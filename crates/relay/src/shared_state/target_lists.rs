//! Targets as listed by the store, and those of them that may be used.
//!
//! An entry with the address of an entry VM names no target: a request to it would come back, again and again until
//! its deadline. A target in an evacuated failure domain is usable only as a leaving one.

use super::{EntryVmMap, TargetMap};
use sniperelay_core::ids::{DomainName, InstanceName};
use sniperelay_core::target::TargetLifecycle;
use sniperelay_node::boot_clock::{self, BootTime};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Listed and usable targets.
#[derive(Debug, Default)]
pub(super) struct TargetLists {
    listed: TargetMap,
    usable: Arc<TargetMap>,
    /// Listed targets that are not usable.
    excluded: BTreeSet<InstanceName>,
    /// Evacuated failure domains.
    evacuated: BTreeSet<DomainName>,
    /// Since when each target has been listed with its present start, and not been in an evacuated domain.
    listed_since: BTreeMap<InstanceName, (Option<u64>, BootTime)>,
}

impl TargetLists {
    /// Returns the usable targets.
    pub(super) fn usable(&self) -> Arc<TargetMap> {
        self.usable.clone()
    }

    /// Replaces the listed targets.
    pub(super) fn set_listed(&mut self, targets: TargetMap, vms: &EntryVmMap, own_ports: &[u16]) {
        self.listed = targets;
        self.update_listing_times(boot_clock::now());
        self.update_usable(vms, own_ports);
    }

    /// Replaces the evacuated failure domains. Returns whether they have changed.
    pub(super) fn set_evacuated(
        &mut self,
        domains: BTreeSet<DomainName>,
        vms: &EntryVmMap,
        own_ports: &[u16],
    ) -> bool {
        let has_changed = self.evacuated != domains;
        if has_changed {
            let returned: Vec<DomainName> = self.evacuated.difference(&domains).cloned().collect();
            self.evacuated = domains;
            // A target may have restarted while it got no requests.
            let has_returned = |name: &InstanceName| {
                self.listed.get(name).is_some_and(|record| returned.contains(&record.domain))
            };
            self.listed_since.retain(|name, _| !has_returned(name));
            self.update_listing_times(boot_clock::now());
            self.update_usable(vms, own_ports);
        }
        has_changed
    }

    /// Returns for how long a target has been listed with its present start, and not been in an evacuated domain.
    pub(super) fn listed_for(&self, name: &InstanceName, now: BootTime) -> Duration {
        self.listed_since.get(name).map_or(Duration::ZERO, |(_, since)| now.saturating_sub(*since))
    }

    fn update_listing_times(&mut self, now: BootTime) {
        let listed = &self.listed;
        self.listed_since.retain(|name, (started, _)| {
            listed.get(name).is_some_and(|record| record.started_millis == *started)
        });
        for (name, record) in listed {
            if !self.listed_since.contains_key(name) {
                self.listed_since.insert(name.clone(), (record.started_millis, now));
            }
        }
    }

    /// Returns whether all targets of a service that would accept requests are in evacuated failure domains.
    pub(super) fn is_evacuated(&self, service: &str) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let accepts = |name: &InstanceName| self.listed[name].lifecycle == TargetLifecycle::Live;
        let of_service = self.usable.iter().filter(|(_, record)| record.service == service);
        let mut accepting = of_service.filter(|(name, _)| accepts(name)).peekable();
        accepting.peek().is_some() && accepting.all(|(_, record)| self.evacuated.contains(&record.domain))
    }

    /// Derives the usable targets. Must be called after every change of the entry VMs. All entry VMs listen on the
    /// same ports, of which their registrations name a part.
    pub(super) fn update_usable(&mut self, vms: &EntryVmMap, own_ports: &[u16]) {
        let names_entry_vm = |address: SocketAddr| {
            let has_own_port = own_ports.contains(&address.port());
            vms.values().any(|vm| {
                vm.addresses().contains(&address) || has_own_port && vm.peer_address.ip() == address.ip()
            })
        };
        let mut usable = self.listed.clone();
        usable.retain(|_, record| !names_entry_vm(record.address));
        let in_evacuated = usable.values_mut().filter(|record| self.evacuated.contains(&record.domain));
        in_evacuated.for_each(|record| record.lifecycle = TargetLifecycle::Leaving);
        let is_excluded = |name: &&InstanceName| !usable.contains_key(*name);
        let excluded: BTreeSet<InstanceName> = self.listed.keys().filter(is_excluded).cloned().collect();
        for name in excluded.difference(&self.excluded) {
            log::warn!(target = name.as_str(); "entry is not a valid target: its address is that of an entry VM");
        }
        self.excluded = excluded;
        self.usable = Arc::new(usable);
    }
}
