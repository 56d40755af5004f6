//! Replication of store contents from the entry VMs that read the store to all others.
//!
//! A few entry VMs, the largest ones, are readers: they read the store. The others are followers:
//! each follows one reader and reads the store itself only when no reader responds. A reader serves
//! followers only if it has recently had a response from the store and its copies of all prefixes are
//! current, so that no entry VM follows a reader that is cut off from the store or stands still. Readers relay objects unchanged, with the versions that
//! the store gave them. A follower never returns to a revision before the one it has reached.

use crate::change_index::ChangeIndex;
use crate::config_proof::ProofStatement;
use crate::copy_status::{CopyTable, CopyTransition};
use crate::shared_state::RelayState;
use crate::start_order::StartOrder;
use crate::store_availability::{CallFailure, StoreAvailability};
use sniperelay_core::home::{SizedCandidate, choose_homes_by_capacity};
use sniperelay_core::ids::IncarnationId;
use sniperelay_hosted::registration::EntryVmRecord;
use sniperelay_node::boot_clock::{self, BootTime};
use sniperelay_platform::api::{EventList, ObjectEvent, ObjectList, PlatformApi, StoredObject, history_of};
use sniperelay_platform::transport::CallCounters;
use sniperelay_platform::{CallLimiter, HttpPlatform, PlatformError, PlatformTransport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Maximum number of readers. With three, one remains if two fail at the same time.
const MAX_READERS: usize = 3;
/// Interval between two checks by a reader that the store responds.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum age of the store's last response at which a reader serves followers. Also the timeout
/// for a check that the store responds.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(800);
/// Time for which a reader delays its response to a follower's liveness check.
const LIVENESS_CHECK_HOLD: Duration = Duration::from_millis(300);
/// Timeout for the response to a liveness check, in addition to [`LIVENESS_CHECK_HOLD`].
const LIVENESS_CHECK_MARGIN: Duration = Duration::from_millis(250);
/// Time for which this entry VM reads the store itself after no reader responded.
const DIRECT_READ_PERIOD: Duration = Duration::from_millis(1500);
/// Time after the store responds again for which readers are asked again before this entry VM reads the store itself:
/// the interval of a reader's checks of the store, and a call.
const READER_RECOVERY_TIME: Duration = Duration::from_millis(400);
/// Time for which a reader is not followed after its responses could not be used. Longer than it takes to try the
/// other readers and the store.
const READER_REJECTION_PERIOD: Duration = Duration::from_secs(5);
/// Pause after neither a reader nor the store responded.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(500);
/// Time that a process that starts waits for the list of entry VMs, as for any first list.
const FIRST_LIST_WINDOW: Duration = Duration::from_millis(300);
/// Time within which readers are found when all entry VMs start for the first time: twice that in which they register and
/// read each other's registrations.
const FIRST_START_TIME: Duration = Duration::from_secs(3);
/// Interval between two checks for readers during that time.
const FIRST_START_INTERVAL: Duration = Duration::from_millis(100);
/// Prefix without objects. Listing it is the cheapest call, so it serves as a liveness check.
const LIVENESS_PREFIX: &str = "sniperelay-pulse/";
/// Put in front of a prefix to list the local replica of an entry VM, reader or not, however old its
/// contents are.
pub const SNAPSHOT_PREFIX: &str = "snapshot/";
/// Timeout for a request for a snapshot.
const SEED_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum rate of calls to a reader or seed.
const READER_CALLS_PER_SECOND: u32 = 200;
/// Maximum pause after failed calls to a reader or seed.
const MAX_READER_BACKOFF: Duration = Duration::from_millis(100);

/// Source from which this entry VM reads the contents of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreSource {
    /// The store itself: this entry VM is a reader, or no reader is available.
    Direct,
    /// Another entry VM that reads the store, at its address for other entry VMs.
    Reader(SocketAddr),
}

impl std::fmt::Display for StoreSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Direct => f.write_str("the store"),
            Self::Reader(address) => write!(f, "reader {address}"),
        }
    }
}

/// Local copy of the objects under one prefix.
#[derive(Debug, Default)]
struct PrefixReplica {
    revision: u64,
    /// Number of the latest change; see [`StoreReplica::change_number`].
    change_number: u64,
    objects: BTreeMap<String, StoredObject>,
    /// Changes for followers. The values are in `objects`.
    changes: ChangeIndex,
    /// Revision of the latest change that may be in the copy.
    latest_change: u64,
}

/// Local copy of the store's contents, and the source from which it is updated.
#[derive(Debug)]
pub struct StoreReplica {
    prefixes: Mutex<BTreeMap<String, PrefixReplica>>,
    /// Number of changes of all prefixes.
    change_count: AtomicU64,
    /// Notified after every change of `prefixes`.
    changed: watch::Sender<()>,
    /// Time of the last response from the store to this entry VM.
    store_contact_at: Mutex<Option<BootTime>>,
    /// Whether a call to the store has failed since the last response.
    is_store_failing: AtomicBool,
    /// Number of times that the store has responded again after a failed call.
    recoveries: watch::Sender<u64>,
    /// Time of the last response from a reader.
    reader_contact_at: Mutex<Option<BootTime>>,
    /// Counters of the reads from readers.
    reader_calls: Arc<CallCounters>,
    is_reader: AtomicBool,
    /// Whether this entry VM has decided to read the store itself.
    must_read_store: AtomicBool,
    /// Whether neither a reader nor the store responded to the last check.
    is_store_unavailable: AtomicBool,
    source: watch::Sender<StoreSource>,
    /// How current the copies are.
    copies: Arc<CopyTable>,
    /// Readers that are not followed, each with the end of that time.
    rejected_readers: Mutex<BTreeMap<SocketAddr, BootTime>>,
    availability: Mutex<StoreAvailability>,
    start_order: StartOrder,
}

impl Default for StoreReplica {
    fn default() -> Self {
        Self {
            prefixes: Mutex::default(),
            change_count: AtomicU64::new(0),
            changed: watch::Sender::new(()),
            store_contact_at: Mutex::default(),
            is_store_failing: AtomicBool::new(false),
            recoveries: watch::Sender::new(0),
            reader_contact_at: Mutex::default(),
            reader_calls: Arc::default(),
            is_reader: AtomicBool::new(false),
            must_read_store: AtomicBool::new(true),
            is_store_unavailable: AtomicBool::new(false),
            source: watch::Sender::new(StoreSource::Direct),
            copies: Arc::default(),
            rejected_readers: Mutex::default(),
            availability: Mutex::default(),
            start_order: StartOrder::default(),
        }
    }
}

impl StoreReplica {
    fn lock_prefixes(&self) -> MutexGuard<'_, BTreeMap<String, PrefixReplica>> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that holds the current source and is notified when the source changes.
    pub fn subscribe_source(&self) -> watch::Receiver<StoreSource> {
        self.source.subscribe()
    }

    /// Returns the current source.
    pub fn source(&self) -> StoreSource {
        *self.source.borrow()
    }

    /// Returns the order of the first reads of this process.
    pub fn start_order(&self) -> &StartOrder {
        &self.start_order
    }

    /// Returns the counters of the reads from readers.
    pub fn reader_calls(&self) -> &Arc<CallCounters> {
        &self.reader_calls
    }

    /// Returns how current the copies are.
    pub fn copies(&self) -> &Arc<CopyTable> {
        &self.copies
    }

    /// Returns whether this entry VM is a reader according to its list of entry VMs.
    pub fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Relaxed)
    }

    /// Returns whether this entry VM has decided to read the store itself: it is one of the entry VMs that are chosen as
    /// readers, there is no other reader, or none responds.
    pub fn must_read_store(&self) -> bool {
        self.must_read_store.load(Ordering::Relaxed)
    }

    /// Returns whether neither a reader nor the store responded to the last check.
    pub fn is_store_unavailable(&self) -> bool {
        self.is_store_unavailable.load(Ordering::Relaxed)
    }

    fn next_change_number(&self) -> u64 {
        self.change_count.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the number of the latest change of a prefix. It is different after every change, also if the
    /// revision stays the same. Returns `None` if the prefix has not been read yet.
    pub fn change_number(&self, prefix: &str) -> Option<u64> {
        self.lock_prefixes().get(prefix).map(|replica| replica.change_number)
    }

    /// Replaces the copy of a prefix by a complete list. Changes before it are not known.
    pub fn apply_snapshot(&self, prefix: &str, list: &ObjectList) {
        let objects = list.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        let replica = PrefixReplica {
            revision: list.revision,
            change_number: self.next_change_number(),
            objects,
            changes: ChangeIndex::starting_at(list.revision),
            latest_change: list.revision,
        };
        self.lock_prefixes().insert(prefix.to_owned(), replica);
        self.changed.send_replace(());
    }

    /// Applies changes to the copy of a prefix.
    pub fn apply_changes(&self, prefix: &str, list: &EventList) {
        let mut prefixes = self.lock_prefixes();
        let replica = prefixes.entry(prefix.to_owned()).or_default();
        for event in &list.events {
            replica.apply(event);
        }
        replica.revision = replica.revision.max(list.revision);
        replica.change_number = self.next_change_number();
        drop(prefixes);
        self.changed.send_replace(());
    }

    /// Records that the store has just responded, with this revision.
    pub fn record_store_contact(&self, revision: u64) {
        let now = boot_clock::now();
        *self.store_contact_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
        self.copies.observe_store(revision, now);
        self.record_response(now, "the store responds");
        if self.is_store_failing.swap(false, Ordering::Relaxed) {
            self.recoveries.send_modify(|count| *count += 1);
        }
    }

    /// Records that a call to the store, sent at `sent_at`, has failed or got no response in time.
    pub fn record_store_failure(&self, sent_at: BootTime, reason: &dyn std::fmt::Display) {
        self.is_store_failing.store(true, Ordering::Relaxed);
        match self.lock_availability().record_failure(sent_at) {
            CallFailure::OutageBegins => log::warn!("store lost: {reason}"),
            CallFailure::Outdated => log::info!("a call to the store failed, others are answered: {reason}"),
            CallFailure::OutageContinues => {}
        }
    }

    /// Records that the store has returned from a copy in the history of this revision.
    pub fn record_store_return(&self, revision: u64) {
        self.lock_availability().record_return(history_of(revision), boot_clock::now());
    }

    /// Returns the time at which the store last became available again after an outage, as far as any response shows.
    pub fn store_available_since(&self) -> Option<BootTime> {
        self.lock_availability().available_since()
    }

    fn record_response(&self, now: BootTime, source: &str) {
        if self.lock_availability().record_response(now) {
            log::info!("store regained: {source}");
        }
    }

    fn lock_availability(&self) -> MutexGuard<'_, StoreAvailability> {
        self.availability.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified when the store responds again after a failed call. Calls that were sent
    /// before may never be answered.
    pub fn subscribe_recoveries(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }

    /// Records that a reader that reaches the store has just responded.
    fn record_reader_contact(&self) {
        *self.reader_contact_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(boot_clock::now());
        self.record_reader_data();
    }

    /// Records that a reader has just sent objects or changes of the store.
    pub fn record_reader_data(&self) {
        self.record_response(boot_clock::now(), "a reader responds");
    }

    /// Returns the time since the last response from the store or from a reader; `None` if there was no
    /// response yet.
    pub fn contact_age(&self) -> Option<Duration> {
        time_since(&self.store_contact_at).into_iter().chain(time_since(&self.reader_contact_at)).min()
    }

    /// Returns whether this entry VM is a reader, reads the store itself, has had a response from it within
    /// `MAX_CONTACT_AGE`, and has current copies of all prefixes.
    pub fn can_serve_followers(&self) -> bool {
        let is_recent = time_since(&self.store_contact_at).is_some_and(|age| age < MAX_CONTACT_AGE);
        let is_direct = matches!(self.source(), StoreSource::Direct);
        is_recent && self.is_reader() && is_direct && self.copies.are_current(boot_clock::now())
    }

    /// Records that the responses of a reader cannot be used, although it responds to liveness checks. It is not followed
    /// for [`READER_REJECTION_PERIOD`].
    pub fn reject_reader(&self, address: SocketAddr) {
        let until = boot_clock::now() + READER_REJECTION_PERIOD;
        self.lock_rejected_readers().insert(address, until);
    }

    fn is_rejected(&self, address: SocketAddr) -> bool {
        let now = boot_clock::now();
        let mut rejected = self.lock_rejected_readers();
        rejected.retain(|_, until| *until > now);
        rejected.contains_key(&address)
    }

    fn lock_rejected_readers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, BootTime>> {
        self.rejected_readers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the latest change of each prefix that has changed after revision `since`, as objects without a value
    /// whose keys are the prefixes. The revision of the list is the latest change of all prefixes.
    pub fn latest_changes(&self, since: u64) -> ObjectList {
        let prefixes = self.lock_prefixes();
        let revision = prefixes.values().map(|replica| replica.latest_change).max().unwrap_or(0);
        let changed = prefixes.iter().filter(|(_, replica)| replica.latest_change > since);
        let items = changed.map(|(prefix, replica)| StoredObject {
            key: prefix.clone(),
            version: replica.latest_change,
            value: String::new(),
        });
        ObjectList { revision, items: items.collect() }
    }

    /// Returns the revisions of all copies by prefix.
    pub fn revisions(&self) -> BTreeMap<String, u64> {
        self.lock_prefixes().iter().map(|(prefix, replica)| (prefix.clone(), replica.revision)).collect()
    }

    /// Returns all objects under a prefix, or `None` if the prefix has not been read yet.
    pub fn snapshot(&self, prefix: &str) -> Option<ObjectList> {
        self.numbered_snapshot(prefix).map(|(_, list)| list)
    }

    /// Returns what [`Self::snapshot`] returns, with its change number.
    pub fn numbered_snapshot(&self, prefix: &str) -> Option<(u64, ObjectList)> {
        let prefixes = self.lock_prefixes();
        let replica = prefixes.get(prefix).filter(|replica| replica.revision > 0)?;
        let items = replica.objects.values().cloned().collect();
        Some((replica.change_number, ObjectList { revision: replica.revision, items }))
    }

    /// Waits up to `wait` for changes after revision `since`; the list is empty if there are none. Returns
    /// `None` if the prefix has not been read yet or not all changes since then are known.
    pub async fn wait_for_changes(&self, prefix: &str, since: u64, wait: Duration) -> Option<EventList> {
        self.wait_for_change(prefix, since, wait).await;
        self.numbered_changes(prefix, since).map(|(_, list)| list)
    }

    /// Waits up to `wait` for changes after revision `since`, without returning them. Does not wait if there
    /// will be none.
    pub async fn wait_for_change(&self, prefix: &str, since: u64, wait: Duration) {
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let must_wait = self.must_wait(prefix, since);
            if !must_wait || tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return;
            }
        }
    }

    /// Returns whether the changes after revision `since` can be returned but there are none yet.
    fn must_wait(&self, prefix: &str, since: u64) -> bool {
        let prefixes = self.lock_prefixes();
        let replica = prefixes.get(prefix).filter(|replica| replica.has_changes_since(since));
        replica.is_some_and(|replica| replica.changes.since(since).next().is_none())
    }

    /// Returns the latest change of each object that has changed after revision `since`, with the change number of the
    /// prefix. Returns `None` if the prefix has not been read yet or not all changes since then are known.
    pub fn numbered_changes(&self, prefix: &str, since: u64) -> Option<(u64, EventList)> {
        let prefixes = self.lock_prefixes();
        let replica = prefixes.get(prefix).filter(|replica| replica.has_changes_since(since))?;
        let events = replica.changes_since(since).collect();
        // The follower may have reached a later revision than this entry VM.
        let list = EventList { revision: replica.revision.max(since), events };
        Some((replica.change_number, list))
    }
}

fn time_since(time: &Mutex<Option<BootTime>>) -> Option<Duration> {
    let time = *time.lock().unwrap_or_else(PoisonError::into_inner);
    time.map(|at| boot_clock::now().saturating_sub(at))
}

impl PrefixReplica {
    /// Returns whether all changes after a revision are known.
    fn has_changes_since(&self, revision: u64) -> bool {
        revision >= self.changes.first_revision()
    }

    fn changes_since(&self, revision: u64) -> impl Iterator<Item = ObjectEvent> {
        let current_value = |key| self.objects.get(key).map(|object| object.value.clone());
        let changes = self.changes.since(revision);
        changes.map(move |(version, key)| ObjectEvent {
            key: key.to_owned(),
            version,
            value: current_value(key),
        })
    }

    fn apply(&mut self, event: &ObjectEvent) {
        match &event.value {
            Some(value) => {
                let object =
                    StoredObject { key: event.key.clone(), version: event.version, value: value.clone() };
                self.objects.insert(event.key.clone(), object);
            }
            None => drop(self.objects.remove(&event.key)),
        }
        self.latest_change = self.latest_change.max(event.version);
        self.changes.record(&event.key, event.version, event.value.is_none());
    }
}

/// Fetches the objects under a prefix from the seeds and from entry VMs that have offered their copies, and returns
/// the newest list. Asks all of them at the same time. The objects may be out of date; the changes since then are read
/// from the store when it is available again.
pub async fn fetch_newest_snapshot(state: &RelayState, prefix: &str) -> Option<ObjectList> {
    let entry = &state.settings.entry;
    let seeds = entry.seeds.iter().copied().filter(|seed| *seed != entry.control_address);
    let offers: Vec<SocketAddr> =
        state.offers.subscribe().borrow().iter().map(|offer| offer.address).collect();
    let mut calls = JoinSet::new();
    for address in seeds.chain(offers) {
        let snapshot = format!("{SNAPSHOT_PREFIX}{prefix}");
        calls.spawn(async move {
            let client = make_entry_vm_client(address);
            let response = tokio::time::timeout(SEED_TIMEOUT, client.list(&snapshot)).await;
            match response {
                Ok(Ok(list)) => return Some((list, address)),
                Ok(Err(error)) => log::info!("cannot list '{snapshot}' at {address}: {error}"),
                Err(_) => log::info!("{address} did not respond in time"),
            }
            None
        });
    }
    let lists = calls.join_all().await.into_iter().flatten();
    let (list, source) = lists.max_by_key(|(list, _)| list.revision)?;
    log::info!(prefix, revision = list.revision; "the store is away; learned from {source}");
    Some(list)
}

/// Handles a follower's liveness check: waits for `hold`, or for `LIVENESS_CHECK_HOLD` if the follower states no time, and
/// returns whether this entry VM could serve followers before and after the wait.
pub async fn hold_liveness_check(state: &RelayState, hold: Option<Duration>) -> bool {
    if !state.replica.can_serve_followers() {
        return false;
    }
    tokio::time::sleep(hold.unwrap_or(LIVENESS_CHECK_HOLD).min(LIVENESS_CHECK_HOLD)).await;
    state.replica.can_serve_followers()
}

/// Keeps selecting the source of this entry VM until the process ends. A reader that gets no response
/// from the store follows another reader, like the entry VMs that are not readers.
pub async fn maintain_source(state: Arc<RelayState>) {
    let mut reader_index = state.incarnation as usize;
    let mut failures = 0;
    let mut stated = StatedChange::default();
    choose_first_source(&state, &mut stated).await;
    state.replica.start_order.record_source();
    loop {
        log_copy_transitions(&state);
        log_key_refusals(&state);
        let mut readers = choose_readers(&state);
        let count = readers.len();
        readers.retain(|reader| reader.name != state.settings.entry.name);
        let is_reader = readers.len() < count;
        readers.retain(|reader| !state.replica.is_rejected(reader.peer_address));
        let is_settled = state.is_membership_settled.load(Ordering::Relaxed);
        state.replica.is_reader.store(is_reader && is_settled, Ordering::Relaxed);
        let must_read = is_reader || readers.is_empty();
        state.replica.must_read_store.store(must_read, Ordering::Relaxed);
        let is_store_responding = must_read && check_store(&state).await;
        if is_store_responding {
            state.replica.is_store_unavailable.store(false, Ordering::Relaxed);
        }
        if is_store_responding || (must_read && readers.is_empty()) {
            failures = 0;
            switch_to_direct(&state, "this entry VM is a reader, or no other reader can be followed");
            tokio::time::sleep(STORE_CHECK_INTERVAL).await;
            continue;
        }
        let reader = &readers[reader_index % readers.len()];
        if try_follow_reader(&state, reader, &mut stated, REGULAR_CHECK).await {
            state.replica.is_store_unavailable.store(false, Ordering::Relaxed);
            failures = 0;
            continue;
        }
        reader_index = reader_index.wrapping_add(1);
        failures += 1;
        if failures >= readers.len() {
            failures = 0;
            // Checks the store with one cheap call before reading from it. Otherwise the whole fleet
            // would send its reads to the store during an outage.
            let is_store_responding = check_store(&state).await;
            let was_unavailable =
                state.replica.is_store_unavailable.swap(!is_store_responding, Ordering::Relaxed);
            if is_store_responding && was_unavailable {
                // The readers get the store back at the same time, and serve followers once they have read it.
                tokio::time::sleep(READER_RECOVERY_TIME).await;
            } else if is_store_responding {
                state.replica.must_read_store.store(true, Ordering::Relaxed);
                switch_to_direct(&state, "no reader responds");
                tokio::time::sleep(DIRECT_READ_PERIOD).await;
            } else {
                tokio::time::sleep(UNAVAILABLE_PAUSE).await;
            }
        }
    }
}

/// Follows a reader as soon as the entry VMs are known, so that a process that starts need not read the store. Returns
/// without one if this entry VM is a reader itself, if no reader responds, or if the entry VMs do not become known.
async fn choose_first_source(state: &RelayState, stated: &mut StatedChange) {
    if tokio::time::timeout(FIRST_LIST_WINDOW, state.replica.start_order.wait_for_entry_vms()).await.is_err()
    {
        return;
    }
    if !state.settings.platform.is_first_start {
        follow_any_reader(state, stated).await;
        return;
    }
    // The readers start as well: they are known when all entry VMs have registered, and follow a little later.
    let follow = async {
        loop {
            tokio::time::sleep(FIRST_START_INTERVAL).await;
            let is_settled = state.is_membership_settled.load(Ordering::Relaxed);
            if is_settled && follow_any_reader(state, stated).await {
                return;
            }
        }
    };
    if tokio::time::timeout(FIRST_START_TIME, follow).await.is_err() {
        log::info!("no reader has been found since the first start; reading the store");
    }
}

/// Follows the first reader that responds. Returns true also if this entry VM is a reader itself.
async fn follow_any_reader(state: &RelayState, stated: &mut StatedChange) -> bool {
    let readers = choose_readers(state);
    if readers.iter().any(|reader| reader.name == state.settings.entry.name) {
        return true;
    }
    let first = state.incarnation as usize % readers.len().max(1);
    for reader in readers.iter().cycle().skip(first).take(readers.len()) {
        if try_follow_reader(state, reader, stated, FIRST_CHECK).await {
            return true;
        }
    }
    false
}

/// Logs copies that have become out of date, or current again, since the last call.
fn log_copy_transitions(state: &RelayState) {
    let source = state.replica.source();
    for CopyTransition { prefix, is_current, revision, age } in
        state.replica.copies.take_transitions(boot_clock::now())
    {
        let age_ms = age.as_millis() as u64;
        if is_current {
            log::info!(prefix, revision, age_ms; "copy is current again, source {source}");
        } else {
            log::warn!(prefix, revision, age_ms; "copy may be out of date, source {source}");
        }
    }
}

/// Logs whether requests with API keys are refused since the last call, or not any more.
fn log_key_refusals(state: &RelayState) {
    if !state.needs_config_proof() {
        return;
    }
    let now = boot_clock::now();
    let age_ms = state.config_proof.age(now).map_or(-1, |age| age.as_millis() as i64);
    match state.config_proof.take_transition(now) {
        Some(true) => {
            log::warn!(age_ms; "requests with API keys are refused: the configuration is not proven to be current");
        }
        Some(false) => log::info!(age_ms; "requests with API keys are accepted again"),
        None => {}
    }
}

/// Chooses the readers: the entry VMs with the highest capacity, spread over failure domains.
/// Unresponsive entry VMs are not chosen.
fn choose_readers(state: &RelayState) -> Vec<EntryVmRecord> {
    let vms = state.entry_vms.load();
    let unresponsive = state.lock_unresponsive_vms();
    let candidates = vms.values().filter(|record| !unresponsive.contains(&record.name));
    let sized: Vec<SizedCandidate> =
        candidates.clone().map(|record| (record.home_candidate(), record.capacity)).collect();
    let chosen = choose_homes_by_capacity(LIVENESS_PREFIX, &sized, 0, MAX_READERS);
    let is_chosen = |record: &&EntryVmRecord| {
        chosen.iter().any(|home| home.incarnation == record.home_candidate().incarnation)
    };
    candidates.filter(is_chosen).cloned().collect()
}

/// Sends a liveness check to a reader and follows it if it responds. Returns whether it responded.
///
/// `stated` is the latest change that the reader has stated in an earlier check; the response contains the changes
/// after it.
async fn try_follow_reader(
    state: &RelayState,
    reader: &EntryVmRecord,
    stated: &mut StatedChange,
    times: CheckTimes,
) -> bool {
    let address = reader.peer_address;
    let is_followed = matches!(state.replica.source(), StoreSource::Reader(followed) if followed == address);
    let since = stated.revision_of(reader.incarnation);
    let check = make_entry_vm_client(address);
    let path = format!("{LIVENESS_PREFIX}?since={since}&hold_ms={}", times.hold.as_millis());
    let sent_at = boot_clock::now();
    let response = tokio::time::timeout(times.timeout, check.list(&path)).await;
    let Ok(Ok(list)) = response else { return false };
    state.replica.record_reader_contact();
    if let Some(statement) = ProofStatement::find(&list.items) {
        state.config_proof.record_reading(statement.to_reading(sent_at));
    }
    // A reader of an earlier version states nothing; its followers rely on the responses to their watches.
    if list.revision > 0 {
        let changes = list.items.iter().map(|item| (item.key.as_str(), item.version));
        state.replica.copies.observe_reader(&changes.collect(), boot_clock::now());
        *stated = StatedChange { reader: Some(reader.incarnation), revision: list.revision };
    }
    if !is_followed {
        log::info!(reader = reader.name.as_str(); "store followed through {}", reader.name);
        state.replica.source.send_replace(StoreSource::Reader(address));
    }
    true
}

/// Times of a liveness check.
#[derive(Debug, Clone, Copy)]
struct CheckTimes {
    /// Time for which the reader delays its response.
    hold: Duration,
    /// Timeout for the response.
    timeout: Duration,
}

const REGULAR_CHECK: CheckTimes = CheckTimes {
    hold: LIVENESS_CHECK_HOLD,
    timeout: LIVENESS_CHECK_HOLD.saturating_add(LIVENESS_CHECK_MARGIN),
};
/// A process that starts waits for no reader for longer than a third of the time after which it asks other entry VMs.
const FIRST_CHECK: CheckTimes = CheckTimes { hold: Duration::ZERO, timeout: Duration::from_millis(100) };

/// Latest change that a reader has stated.
#[derive(Debug, Default)]
struct StatedChange {
    /// Process of the reader.
    reader: Option<IncarnationId>,
    revision: u64,
}

impl StatedChange {
    /// Returns the latest change that this reader has stated; 0 if another one was asked before.
    fn revision_of(&self, reader: IncarnationId) -> u64 {
        if self.reader == Some(reader) { self.revision } else { 0 }
    }
}

/// Creates a client for reads from the reader at `address`, whose calls `counters` counts.
pub fn make_reader_client(address: SocketAddr, counters: Arc<CallCounters>) -> HttpPlatform {
    HttpPlatform::with_transport(make_transport(address).with_counters(counters)).with_compression()
}

/// Creates a client for other calls to an entry VM.
fn make_entry_vm_client(address: SocketAddr) -> HttpPlatform {
    HttpPlatform::with_transport(make_transport(address)).with_compression()
}

fn make_transport(address: SocketAddr) -> PlatformTransport {
    let limiter =
        CallLimiter::new(READER_CALLS_PER_SECOND).with_full_bucket().with_max_backoff(MAX_READER_BACKOFF);
    PlatformTransport::new(address, limiter)
}

fn switch_to_direct(state: &RelayState, reason: &str) {
    if !matches!(state.replica.source(), StoreSource::Direct) {
        log::info!("store read directly: {reason}");
        state.replica.source.send_replace(StoreSource::Direct);
    }
}

/// Checks with a cheap call whether the store responds, unless it has just responded to another call, and records
/// the response.
async fn check_store(state: &RelayState) -> bool {
    if time_since(&state.replica.store_contact_at).is_some_and(|age| age < STORE_CHECK_INTERVAL / 2) {
        return true;
    }
    let sent_at = boot_clock::now();
    let response = tokio::time::timeout(MAX_CONTACT_AGE, state.store.list_stale(LIVENESS_PREFIX)).await;
    match response {
        Ok(Ok(listed)) => {
            state.replica.record_store_contact(listed.list.revision);
            return true;
        }
        Ok(Err(PlatformError::Throttled(_))) => {}
        Ok(Err(error)) => state.replica.record_store_failure(sent_at, &error),
        Err(elapsed) => state.replica.record_store_failure(sent_at, &elapsed),
    }
    false
}
