//! Exchange of crash reports between entry VMs through the platform's store.
//!
//! Each entry VM writes the crashes that it has seen to an object of its own, and watches those of all others. A
//! process that starts takes over the object of an earlier process of its name. Crashes are published at once,
//! at most once per [`PUBLISH_INTERVAL`].

use crate::shared_state::RelayState;
use crate::store_sync::{PrefixWatcher, StoreChange, object_name};
use sniperelay_core::quarantine::CrashReport;
use sniperelay_hosted::crash_reports::{CRASH_REPORT_PREFIX, decode_crash_reports, encode_crash_reports};
use sniperelay_node::boot_clock;
use sniperelay_platform::PlatformError;
use sniperelay_platform::api::{ObjectVersion, PlatformApi};
use std::sync::Arc;
use std::time::Duration;

/// Minimum time between two writes of this entry VM, and pause after a failed one.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two scans for reports that are too old to count.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Watches the reports of all entry VMs until the process ends. Starts to publish its own ones after the first
/// read.
pub async fn exchange_crash_reports(state: Arc<RelayState>) {
    let mut watcher = PrefixWatcher::new(state.clone(), CRASH_REPORT_PREFIX);
    let mut is_publishing = false;
    loop {
        for change in watcher.next_changes().await {
            apply_change(&state, change, is_publishing);
        }
        if !is_publishing && watcher.is_caught_up() {
            is_publishing = true;
            let key = format!("{CRASH_REPORT_PREFIX}{}", state.settings.entry.name);
            let version = watcher.known_version(&key).unwrap_or(0);
            tokio::spawn(publish_reports(state.clone(), key, version));
        }
    }
}

/// Applies a change of one object. Before this process publishes, its own object is that of an earlier process.
fn apply_change(state: &RelayState, change: StoreChange, is_publishing: bool) {
    let now = boot_clock::now();
    let is_written = matches!(change, StoreChange::Updated(_));
    let (key, reports) = match change {
        // An entry VM deletes its object when it has nothing to report any more.
        StoreChange::Deleted(key) => (key, Ok(Vec::new())),
        StoreChange::Updated(object) | StoreChange::Restored(object) => {
            (object.key, decode_crash_reports(&object.value))
        }
    };
    let name = object_name(&key);
    let reports = match reports {
        Ok(reports) => reports,
        Err(error) => {
            log::warn!("cannot read the crash reports of entry VM '{name}': {error}");
            return;
        }
    };
    let mut table = state.quarantine.lock();
    if name != state.settings.entry.name {
        table.merge_reports(name, &reports, now);
    } else if !is_publishing {
        table.adopt_reports(&reports, now);
    } else if !is_written {
        // The store has returned from an older copy, or this process has deleted its object.
        table.restore_reports(now);
        state.quarantine.has_changed.notify_one();
    }
}

/// Publishes the reports of this entry VM whenever they have changed.
async fn publish_reports(state: Arc<RelayState>, key: String, mut version: ObjectVersion) {
    loop {
        wait_until_due(&state).await;
        let reports = state.quarantine.lock().take_reports();
        if version != 0 || !reports.is_empty() {
            match write_reports(&state, &key, version, &reports).await {
                Ok(written) => {
                    log::info!(version = written; "{} contents with crashes of targets reported", reports.len());
                    version = written;
                }
                Err(PlatformError::Conflict { current }) => {
                    version = current;
                    state.quarantine.lock().restore_reports(boot_clock::now());
                }
                Err(error) => {
                    log::warn!("cannot report crashes of targets: {error}");
                    state.quarantine.lock().restore_reports(boot_clock::now());
                }
            }
        }
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
}

/// Waits until reports have to be published, and removes those that are too old meanwhile.
async fn wait_until_due(state: &RelayState) {
    loop {
        let now = boot_clock::now();
        let due = {
            let mut table = state.quarantine.lock();
            table.remove_expired(now);
            table.publish_at()
        };
        let wait = due.map_or(EXPIRY_INTERVAL, |due| due.saturating_sub(now).min(EXPIRY_INTERVAL));
        if due.is_some_and(|due| due <= now) {
            return;
        }
        // A notification ends the wait early; the time of publication is then read again.
        drop(tokio::time::timeout(wait, state.quarantine.has_changed.notified()).await);
    }
}

async fn write_reports(
    state: &RelayState,
    key: &str,
    version: ObjectVersion,
    reports: &[CrashReport],
) -> Result<ObjectVersion, PlatformError> {
    if reports.is_empty() && version > 0 {
        return state.store.delete(key, version).await.map(|_| 0);
    }
    state.store.put(key, version, &encode_crash_reports(reports)).await
}
