//! What entry VMs that read the store hand on to the others.
//!
//! A few entry VMs, the largest, read the store; the others follow one of them and ask the store
//! itself only when no reader answers. A reader hands on only while the store has answered it
//! lately, so that nobody follows one that is cut off. What is handed on is what the store said,
//! with its versions; a follower never goes back behind a revision that it has reached.

use crate::shared_state::RelayState;
use sniperelay_core::home::{SizedCandidate, choose_sized_homes};
use sniperelay_hosted::registration::EntryVmRecord;
use sniperelay_node::boot_clock::{self, BootTime};
use sniperelay_platform::api::{EventList, ObjectEvent, ObjectList, PlatformApi, StoredObject};
use sniperelay_platform::{CallPace, HttpPlatform, PlatformTransport};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Entry VMs that read the store: the loss of two at once leaves one.
const MAX_READERS: usize = 3;
/// Changes of one prefix kept for followers.
const CHANGE_LOG_CAPACITY: usize = 2048;
/// Time between two signs of life that a reader gets from the store.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Age of the store's last sign of life up to which a reader hands on.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(800);
/// Time for which a reader holds back a follower's question for a sign of life.
const LIVENESS_CHECK_HOLD: Duration = Duration::from_millis(300);
/// Time within which a reader must answer beyond that.
const LIVENESS_CHECK_MARGIN: Duration = Duration::from_millis(250);
/// Time for which the store is asked itself after no reader answered.
const DIRECT_READ_PERIOD: Duration = Duration::from_millis(1500);
/// Pause after neither a reader nor the store answered.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(500);
/// Prefix without objects; listing it is the cheapest call.
const LIVENESS_PREFIX: &str = "sniperelay-pulse/";
/// Beginning of the prefixes under which any entry VM tells what it knows, however old.
pub const SNAPSHOT_PREFIX: &str = "snapshot/";
/// Time within which a seed must answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(400);
/// Calls per second to a reader.
const READER_CALLS_PER_SECOND: u32 = 200;
/// Largest pause after failed calls to a reader.
const MAX_READER_BACKOFF: Duration = Duration::from_millis(100);

/// Where this entry VM learns what the store holds.
#[derive(Debug, Clone)]
pub enum StoreSource {
    /// From the store, as one of the readers or for want of one.
    Direct,
    /// From this reader.
    Reader(Arc<HttpPlatform>),
}

/// Objects of one prefix as a reader knows them.
#[derive(Debug, Default)]
struct PrefixReplica {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
    change_log: VecDeque<ObjectEvent>,
    /// Revision up to which changes are no longer in the log.
    compacted_revision: u64,
}

/// What this entry VM knows of the store, for followers.
#[derive(Debug)]
pub struct StoreReplica {
    prefixes: Mutex<BTreeMap<String, PrefixReplica>>,
    changed: watch::Sender<()>,
    /// When the store last answered this entry VM.
    store_contact_at: Mutex<Option<BootTime>>,
    /// When a reader last answered.
    reader_contact_at: Mutex<Option<BootTime>>,
    is_reader: AtomicBool,
    /// Whether neither a reader nor the store answered when last asked.
    is_store_unavailable: AtomicBool,
    source: watch::Sender<StoreSource>,
}

impl Default for StoreReplica {
    fn default() -> Self {
        Self {
            prefixes: Mutex::default(),
            changed: watch::Sender::new(()),
            store_contact_at: Mutex::default(),
            reader_contact_at: Mutex::default(),
            is_reader: AtomicBool::new(false),
            is_store_unavailable: AtomicBool::new(false),
            source: watch::Sender::new(StoreSource::Direct),
        }
    }
}

impl StoreReplica {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, PrefixReplica>> {
        self.prefixes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where this entry VM learns from, and a receiver that tells when that changes.
    pub fn source(&self) -> watch::Receiver<StoreSource> {
        self.source.subscribe()
    }

    /// Whether this entry VM is one of the readers, as far as it knows.
    pub fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Relaxed)
    }

    /// Whether neither a reader nor the store answered when last asked.
    pub fn is_store_unavailable(&self) -> bool {
        self.is_store_unavailable.load(Ordering::Relaxed)
    }

    /// Takes in a whole list.
    pub fn apply_snapshot(&self, prefix: &str, list: &ObjectList) {
        let objects = list.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        let replica = PrefixReplica {
            revision: list.revision,
            objects,
            change_log: VecDeque::new(),
            compacted_revision: list.revision,
        };
        self.lock().insert(prefix.to_owned(), replica);
        self.changed.send_replace(());
    }

    /// Takes in changes.
    pub fn apply_changes(&self, prefix: &str, list: &EventList) {
        let mut prefixes = self.lock();
        let replica = prefixes.entry(prefix.to_owned()).or_default();
        for event in &list.events {
            replica.apply(event);
        }
        replica.revision = replica.revision.max(list.revision);
        drop(prefixes);
        self.changed.send_replace(());
    }

    /// The store has answered.
    pub fn record_store_contact(&self) {
        *self.store_contact_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(boot_clock::now());
    }

    fn record_reader_contact(&self) {
        *self.reader_contact_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(boot_clock::now());
    }

    /// Time since the store, or a reader of it, last answered.
    pub fn age(&self) -> Option<Duration> {
        time_since(&self.store_contact_at).into_iter().chain(time_since(&self.reader_contact_at)).min()
    }

    /// Whether this entry VM is a reader and was answered by the store lately.
    pub fn can_serve_followers(&self) -> bool {
        let is_recent = time_since(&self.store_contact_at).is_some_and(|age| age < MAX_CONTACT_AGE);
        is_recent && self.is_reader() && matches!(*self.source.borrow(), StoreSource::Direct)
    }

    /// All objects under a prefix; `None` when they are not known.
    pub fn snapshot(&self, prefix: &str) -> Option<ObjectList> {
        let prefixes = self.lock();
        let replica = prefixes.get(prefix).filter(|replica| replica.revision > 0)?;
        Some(ObjectList { revision: replica.revision, items: replica.objects.values().cloned().collect() })
    }

    /// Waits for changes after a revision; `None` when they are no longer in the log.
    pub async fn wait_for_changes(&self, prefix: &str, since: u64, wait: Duration) -> Option<EventList> {
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let list = self.changes_since(prefix, since)?;
            let is_due = !list.events.is_empty();
            if is_due || tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return Some(list);
            }
        }
    }

    fn changes_since(&self, prefix: &str, since: u64) -> Option<EventList> {
        let prefixes = self.lock();
        let replica = prefixes.get(prefix).filter(|replica| since >= replica.compacted_revision)?;
        let events = replica.change_log.iter().filter(|event| event.version > since).cloned().collect();
        // A follower may have come further than this entry VM.
        Some(EventList { revision: replica.revision.max(since), events })
    }
}

fn time_since(time: &Mutex<Option<BootTime>>) -> Option<Duration> {
    let time = *time.lock().unwrap_or_else(PoisonError::into_inner);
    time.map(|at| boot_clock::now().saturating_sub(at))
}

impl PrefixReplica {
    fn apply(&mut self, event: &ObjectEvent) {
        match &event.value {
            Some(value) => {
                let object =
                    StoredObject { key: event.key.clone(), version: event.version, value: value.clone() };
                self.objects.insert(event.key.clone(), object);
            }
            None => drop(self.objects.remove(&event.key)),
        }
        self.change_log.push_back(event.clone());
        while self.change_log.len() > CHANGE_LOG_CAPACITY {
            self.compacted_revision =
                self.change_log.pop_front().map_or(self.compacted_revision, |event| event.version);
        }
    }
}

/// What another entry VM knows of a prefix, for a process that starts while the store is away. It
/// may be old; the store's changes since then follow when it is back.
pub async fn fetch_seed_snapshot(state: &RelayState, prefix: &str) -> Option<ObjectList> {
    for seed in
        state.settings.entry.seeds.iter().filter(|seed| **seed != state.settings.entry.control_address)
    {
        let snapshot = format!("{SNAPSHOT_PREFIX}{prefix}");
        let answer = tokio::time::timeout(SEED_TIMEOUT, make_client(*seed).list(&snapshot)).await;
        match answer {
            Ok(Ok(list)) => {
                log::info!(prefix, revision = list.revision; "the store is away; learned from {seed}");
                return Some(list);
            }
            Ok(Err(error)) => log::info!("seed {seed} knows nothing: {error}"),
            Err(_) => log::info!("seed {seed} does not answer"),
        }
    }
    None
}

/// Answers a follower's question for a sign of life: whether this reader was fresh all the time.
pub async fn hold_liveness_check(state: &RelayState) -> bool {
    if !state.replica.can_serve_followers() {
        return false;
    }
    tokio::time::sleep(LIVENESS_CHECK_HOLD).await;
    state.replica.can_serve_followers()
}

/// Keeps the source of this entry VM up to date until the process ends. A reader that the store
/// does not answer follows another one, as everybody else does.
pub async fn maintain_source(state: Arc<RelayState>) {
    let mut turn = state.incarnation as usize;
    let mut failures = 0;
    loop {
        let mut readers = choose_readers(&state);
        let count = readers.len();
        readers.retain(|reader| reader.name != state.settings.entry.name);
        let is_reader = readers.len() < count;
        let is_informed = state.is_membership_settled.load(Ordering::Relaxed);
        state.replica.is_reader.store(is_reader && is_informed, Ordering::Relaxed);
        let must_read = is_reader || readers.is_empty();
        if must_read && (check_store(&state).await || readers.is_empty()) {
            failures = 0;
            switch_to_direct(&state, "one of the readers");
            tokio::time::sleep(STORE_CHECK_INTERVAL).await;
            continue;
        }
        if try_follow(&state, &readers[turn % readers.len()]).await {
            state.replica.is_store_unavailable.store(false, Ordering::Relaxed);
            failures = 0;
            continue;
        }
        turn = turn.wrapping_add(1);
        failures += 1;
        if failures >= readers.len() {
            failures = 0;
            // One cheap question, so that an outage is not answered by the calls of the whole fleet.
            let is_answering = check_store(&state).await;
            state.replica.is_store_unavailable.store(!is_answering, Ordering::Relaxed);
            if is_answering {
                switch_to_direct(&state, "no reader answers");
                tokio::time::sleep(DIRECT_READ_PERIOD).await;
            } else {
                tokio::time::sleep(UNAVAILABLE_PAUSE).await;
            }
        }
    }
}

/// The entry VMs that read the store: the largest, spread over failure domains.
fn choose_readers(state: &RelayState) -> Vec<EntryVmRecord> {
    let vms = state.entry_vms.load();
    let unresponsive = state.unresponsive();
    let known = vms.values().filter(|record| !unresponsive.contains(&record.name));
    let sized: Vec<SizedCandidate> =
        known.clone().map(|record| (record.home_candidate(), record.capacity)).collect();
    let chosen = choose_sized_homes(LIVENESS_PREFIX, &sized, 0, MAX_READERS);
    let is_chosen = |record: &&EntryVmRecord| {
        chosen.iter().any(|home| home.incarnation == record.home_candidate().incarnation)
    };
    known.filter(is_chosen).cloned().collect()
}

/// Asks a reader for a sign of life. Returns whether it gave one; then it is followed.
async fn try_follow(state: &RelayState, reader: &EntryVmRecord) -> bool {
    let address = reader.peer_address;
    let is_followed =
        matches!(&*state.replica.source.borrow(), StoreSource::Reader(client) if client.address() == address);
    let client = make_client(address);
    let pulse =
        tokio::time::timeout(LIVENESS_CHECK_HOLD + LIVENESS_CHECK_MARGIN, client.list(LIVENESS_PREFIX)).await;
    let is_alive = matches!(pulse, Ok(Ok(_)));
    if is_alive {
        state.replica.record_reader_contact();
    }
    if is_alive && !is_followed {
        log::info!(reader = reader.name.as_str(); "store followed through {}", reader.name);
        state.replica.source.send_replace(StoreSource::Reader(Arc::new(client)));
    }
    is_alive
}

fn make_client(address: SocketAddr) -> HttpPlatform {
    let pace = CallPace::new(READER_CALLS_PER_SECOND).with_full_start().with_max_pause(MAX_READER_BACKOFF);
    HttpPlatform::with_transport(PlatformTransport::new(address, pace))
}

fn switch_to_direct(state: &RelayState, why: &str) {
    if !matches!(*state.replica.source.borrow(), StoreSource::Direct) {
        log::info!("store read directly: {why}");
        state.replica.source.send_replace(StoreSource::Direct);
    }
}

/// Asks the store for a sign of life.
async fn check_store(state: &RelayState) -> bool {
    let answer = tokio::time::timeout(MAX_CONTACT_AGE, state.store.list_stale(LIVENESS_PREFIX)).await;
    let is_answered = matches!(answer, Ok(Ok(_)));
    if is_answered {
        state.replica.record_store_contact();
    }
    is_answered
}
