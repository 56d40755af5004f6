//! Exchange of reports about isolated entry VMs through the platform's store.
//!
//! An entry VM that reaches no target writes an object of its own and deletes it when it reaches targets again. All
//! entry VMs watch these objects: an isolated entry VM is no home of any host, so lookup responses do not name it and
//! its targets move to the next home. A process that starts deletes the object of an earlier process of its name.
//!
//! Requests of callers that still use an isolated entry VM do not depend on the reports; see [`crate::forwarding`].

use crate::shared_state::RelayState;
use crate::store_sync::{PrefixWatcher, StoreChange, object_name};
use sniperelay_hosted::isolation::{ISOLATION_PREFIX, encode_isolation};
use sniperelay_platform::PlatformError;
use sniperelay_platform::api::{ObjectVersion, PlatformApi};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Minimum time between two writes of this entry VM, and pause after a failed one.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Watches the reports of all entry VMs until the process ends. Starts to publish its own ones after the first
/// read.
pub async fn exchange_isolation_reports(state: Arc<RelayState>) {
    let mut watcher = PrefixWatcher::new(state.clone(), ISOLATION_PREFIX);
    let own_key = format!("{ISOLATION_PREFIX}{}", state.settings.entry.name);
    let own_version = watch::Sender::new(0);
    let mut isolated = BTreeSet::new();
    let mut is_publishing = false;
    loop {
        for change in watcher.next_changes().await {
            apply_change(&mut isolated, &change);
        }
        state.set_isolated_vms(&isolated);
        if !watcher.is_caught_up() {
            continue;
        }
        own_version.send_replace(watcher.known_version(&own_key).unwrap_or(0));
        if !std::mem::replace(&mut is_publishing, true) {
            tokio::spawn(publish_own_state(state.clone(), own_key.clone(), own_version.subscribe()));
        }
    }
}

fn apply_change(isolated: &mut BTreeSet<String>, change: &StoreChange) {
    match change {
        StoreChange::Updated(object) | StoreChange::Restored(object) => {
            isolated.insert(object_name(&object.key).to_owned());
        }
        StoreChange::Deleted(key) => drop(isolated.remove(object_name(key))),
    }
}

/// Writes or deletes the object of this entry VM whenever it does not match the state of its links.
async fn publish_own_state(
    state: Arc<RelayState>,
    key: String,
    mut known_version: watch::Receiver<ObjectVersion>,
) {
    let mut links = state.links.subscribe();
    let mut version = *known_version.borrow_and_update();
    loop {
        let is_isolated = *links.borrow_and_update();
        if is_isolated != (version != 0) {
            match write_state(&state, &key, version).await {
                Ok(written) => {
                    log::info!(version = written; "reported as {}", if written == 0 { "connected" } else { "isolated" });
                    version = written;
                }
                Err(PlatformError::Conflict { current }) => version = current,
                Err(error) => log::warn!("cannot report the state of the links to the targets: {error}"),
            }
            tokio::time::sleep(PUBLISH_INTERVAL).await;
            continue;
        }
        // The object also changes without this process, when the store returns from an older copy.
        tokio::select! {
            _ = links.changed() => {}
            _ = known_version.changed() => version = *known_version.borrow_and_update(),
        }
    }
}

/// Writes the object, or deletes the one with this version. Returns the new version, 0 after a deletion.
async fn write_state(
    state: &RelayState,
    key: &str,
    version: ObjectVersion,
) -> Result<ObjectVersion, PlatformError> {
    if version == 0 {
        return state.store.put(key, 0, &encode_isolation()).await;
    }
    state.store.delete(key, version).await.map(|_| 0)
}
