//! Tasks that read from the platform and report changes to the control loop.

use crate::control::ControlEvent;
use crate::control::control_state::SyncFlags;
use crate::control::editing::CONFIG_PREFIX;
use rand::Rng;
use sniperelay_core::edition::ConfigEdition;
use sniperelay_core::vm::{VmList, VmRecord};
use sniperelay_platform::api::{EventList, ObjectList};
use sniperelay_platform::{PlatformApi, PlatformError};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Prefix of the keys of VMs in the platform.
pub const VM_PREFIX: &str = "vms/";
/// Maximum time for which a watch of the list of VMs waits for changes.
const VM_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which a watch of the documents waits for changes. A watch that is never answered ends after it and
/// the timeout of a call (3 s); a change must be active within 12 s.
const DOCUMENT_WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which this entry VM waits for peers to deliver the documents before it reads them from the
/// platform.
const PEER_GRACE_PERIOD: Duration = Duration::from_millis(1500);
/// Interval between two checks whether this entry VM has to watch the documents, and delay after a
/// failed call.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the list of VMs once and then follows its changes with a watch, with a jittered `pause` after
/// each call. A watch needs only one pending call and transfers only the changes.
pub async fn sync_vm_list(
    platform: Arc<impl PlatformApi>,
    event_sender: UnboundedSender<ControlEvent>,
    pause: Duration,
) {
    let mut records: Option<VmTable> = None;
    let mut revision = 0;
    loop {
        let changed = match &mut records {
            None => read_vm_list(&*platform).await.map(|(list_revision, table)| {
                records = Some(table);
                (list_revision, true)
            }),
            Some(table) => read_vm_changes(&*platform, revision, table).await,
        };
        match changed {
            Ok((latest, is_changed)) => {
                revision = latest;
                let table = records.iter().flatten();
                let list = VmList { revision, records: table.map(|(_, record)| record.clone()).collect() };
                if is_changed && event_sender.send(ControlEvent::VmList(list)).is_err() {
                    return;
                }
            }
            Err(PlatformError::WatchTooOld) => records = None,
            // The same watch would get the same response.
            Err(error @ PlatformError::Malformed(_)) => {
                log::warn!("the changes of the list of VMs cannot be read, listing instead: {error}");
                records = None;
            }
            Err(error) => log::debug!("cannot read the list of VMs: {error}"),
        }
        tokio::time::sleep(jittered(pause)).await;
    }
}

/// VMs by object key.
type VmTable = BTreeMap<String, VmRecord>;

async fn read_vm_list(platform: &impl PlatformApi) -> Result<(u64, VmTable), PlatformError> {
    let list = platform.list(VM_PREFIX).await?;
    let parsed =
        list.items.iter().filter_map(|item| Some((item.key.clone(), parse_vm(&item.key, &item.value)?)));
    Ok((list.revision, parsed.collect()))
}

async fn read_vm_changes(
    platform: &impl PlatformApi,
    since: u64,
    table: &mut VmTable,
) -> Result<(u64, bool), PlatformError> {
    let changes = platform.watch(VM_PREFIX, since, VM_WATCH_TIMEOUT).await?;
    for change in &changes.events {
        match change.value.as_ref().and_then(|value| parse_vm(&change.key, value)) {
            Some(record) => drop(table.insert(change.key.clone(), record)),
            None => drop(table.remove(&change.key)),
        }
    }
    Ok((changes.revision, !changes.events.is_empty()))
}

/// Reads the documents and watches their changes while this entry VM is a chosen watcher or cannot get
/// the documents from its peers.
pub async fn sync_documents(
    platform: Arc<impl PlatformApi>,
    event_sender: UnboundedSender<ControlEvent>,
    flags: Arc<SyncFlags>,
) {
    let mut since = None;
    tokio::time::sleep(jittered(PEER_GRACE_PERIOD / 4)).await;
    if flags.is_connected.load(Ordering::Relaxed) && !flags.is_watcher.load(Ordering::Relaxed) {
        tokio::time::sleep(PEER_GRACE_PERIOD).await;
    }
    loop {
        if !should_watch(&flags) {
            since = None;
            tokio::time::sleep(jittered(POLL_INTERVAL)).await;
            continue;
        }
        let result = match since {
            None => read_all(&*platform, &event_sender).await,
            Some(revision) => read_changes(&*platform, &event_sender, revision).await,
        };
        match result {
            Ok(revision) => since = Some(revision),
            Err(PlatformError::WatchTooOld) => since = None,
            // A list is read next: another watch might not be answered either.
            Err(error) => {
                log::info!("cannot read the documents: {error}");
                since = None;
                tokio::time::sleep(jittered(POLL_INTERVAL)).await;
            }
        }
    }
}

fn should_watch(flags: &SyncFlags) -> bool {
    let is_served_by_peers =
        flags.is_connected.load(Ordering::Relaxed) && flags.has_editions.load(Ordering::Relaxed);
    flags.is_watcher.load(Ordering::Relaxed) || !is_served_by_peers
}

async fn read_all(
    platform: &impl PlatformApi,
    event_sender: &UnboundedSender<ControlEvent>,
) -> Result<u64, PlatformError> {
    let list: ObjectList = platform.list(CONFIG_PREFIX).await?;
    list.items.iter().for_each(|item| forward_edition(event_sender, &item.key, &item.value));
    Ok(list.revision)
}

async fn read_changes(
    platform: &impl PlatformApi,
    event_sender: &UnboundedSender<ControlEvent>,
    since: u64,
) -> Result<u64, PlatformError> {
    let changes: EventList = platform.watch(CONFIG_PREFIX, since, DOCUMENT_WATCH_TIMEOUT).await?;
    for change in &changes.events {
        match &change.value {
            Some(value) => forward_edition(event_sender, &change.key, value),
            None => log::warn!("{} was deleted in the platform; the active version is kept", change.key),
        }
    }
    Ok(changes.revision)
}

fn forward_edition(event_sender: &UnboundedSender<ControlEvent>, key: &str, value: &str) {
    match serde_json::from_str::<ConfigEdition>(value) {
        Ok(edition) if key.strip_prefix(CONFIG_PREFIX) == Some(edition.service.as_str()) => {
            let _ = event_sender.send(ControlEvent::Edition(Box::new(edition)));
        }
        Ok(edition) => log::error!("ignored object {key}, because it names service {}", edition.service),
        Err(error) => log::error!("ignored malformed object {key}: {error}"),
    }
}

fn parse_vm(key: &str, value: &str) -> Option<VmRecord> {
    let parsed = serde_json::from_str(value);
    parsed.inspect_err(|error| log::error!("ignored malformed object {key}: {error}")).ok()
}

/// Returns 80 % to 120 % of `pause`, so that entry VMs do not call the platform at the same time.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.8..1.2))
}
