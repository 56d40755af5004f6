//! Evacuations of failure domains, as the operator orders them in the store.
//!
//! Targets in an evacuated domain count as leaving; see [`sniperelay_core::evacuation`]. The prefix is read only if the
//! platform states a time within which an evacuation takes effect.
//!
//! Invariant: an entry VM that is ready has read the evacuations, unless nobody could send them for that time.

use crate::shared_state::RelayState;
use crate::store_sync::{PrefixWatcher, StoreChange, object_name};
use sniperelay_core::evacuation::EvacuationSet;
use sniperelay_core::ids::DomainName;
use sniperelay_hosted::evacuation::{EVACUATION_PREFIX, decode_evacuation};
use sniperelay_node::boot_clock::{self, BootTime};
use sniperelay_node::metrics::ProcessCounters;
use sniperelay_platform::api::{ObjectVersion, history_of};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Watches the evacuations until the process ends. Does nothing where there are none.
pub async fn watch_evacuations(state: Arc<RelayState>) {
    let Some(bound) = state.bounds.evacuation else { return };
    let mut watcher = PrefixWatcher::optional(state.clone(), EVACUATION_PREFIX);
    let mut orders = EvacuationOrders::default();
    let begun_at = boot_clock::now();
    loop {
        let changes = tokio::select! {
            changes = watcher.next_changes() => changes,
            () = sleep_until(orders.set.next_end()) => Vec::new(),
            () = sleep_until(Some(begun_at + bound)), if !state.has_evacuations.load(Ordering::Relaxed) => {
                log::warn!("nobody has sent the evacuations: starting without them");
                state.set_evacuations(orders.set.domains());
                continue;
            }
        };
        let history = history_of(state.replica.copies().revision(EVACUATION_PREFIX));
        for change in changes {
            orders.apply(change, history, state.metrics.process());
        }
        orders.end_lost(boot_clock::now());
        if watcher.is_caught_up() {
            state.set_evacuations(orders.set.domains());
        }
    }
}

async fn sleep_until(time: Option<BootTime>) {
    match time {
        Some(time) => tokio::time::sleep(time.saturating_sub(boot_clock::now())).await,
        None => std::future::pending().await,
    }
}

/// The operator's orders.
#[derive(Debug, Default)]
struct EvacuationOrders {
    set: EvacuationSet,
    /// Versions of the objects, by domain.
    versions: BTreeMap<DomainName, ObjectVersion>,
}

impl EvacuationOrders {
    /// Applies a change of one object. `history` is the history of the store in which it was read.
    fn apply(&mut self, change: StoreChange, history: u64, counters: &ProcessCounters) {
        match change {
            StoreChange::Updated(object) | StoreChange::Restored(object) => {
                match decode_evacuation(object_name(&object.key)) {
                    Ok(domain) => self.begin(domain, object.version, counters),
                    Err(error) => {
                        log::warn!(revision = object.version; "evacuation cannot be read: {error}");
                    }
                }
            }
            StoreChange::Deleted(key) => self.remove(object_name(&key), history),
        }
    }

    fn begin(&mut self, domain: DomainName, version: ObjectVersion, counters: &ProcessCounters) {
        self.versions.insert(domain.clone(), version);
        if self.set.begin(domain.clone()) {
            counters.evacuations.fetch_add(1, Ordering::Relaxed);
            log::warn!(domain = domain.as_str(), revision = version; "failure domain evacuated: its targets get no requests");
        }
    }

    /// An object that existed only in an earlier history of the store has been lost, not deleted.
    fn remove(&mut self, domain: &str, history: u64) {
        let Some(version) = self.versions.remove(domain) else { return };
        if history_of(version) < history {
            if self.set.lose(domain, boot_clock::now()) {
                log::warn!(domain; "the store has lost the evacuation of a failure domain; it stays in force for a while");
            }
        } else if self.set.end(domain) {
            log::warn!(domain; "evacuation of a failure domain ended");
        }
    }

    fn end_lost(&mut self, now: Duration) {
        for domain in self.set.end_lost(now) {
            log::warn!(domain = domain.as_str(); "evacuation of a failure domain ended: it was not ordered again");
        }
    }
}
