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
const READER_COUNT: usize = 3;
/// Changes of one prefix kept for followers.
const LOG_LENGTH: usize = 2048;
/// Time between two signs of life that a reader gets from the store.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// Age of the store's last sign of life up to which a reader hands on.
const CONFIRM_AGE: Duration = Duration::from_millis(800);
/// Time for which a reader holds back a follower's question for a sign of life.
const PULSE_WAIT: Duration = Duration::from_millis(300);
/// Time within which a reader must answer beyond that.
const PULSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which the store is asked itself after no reader answered.
const DIRECT_TIME: Duration = Duration::from_millis(1500);
/// Pause after neither a reader nor the store answered.
const OUTAGE_PAUSE: Duration = Duration::from_millis(500);
/// Prefix without objects; listing it is the cheapest call.
const PULSE_PREFIX: &str = "sniperelay-pulse/";
/// Beginning of the prefixes under which any entry VM tells what it knows, however old.
pub const SNAPSHOT_PREFIX: &str = "snapshot/";
/// Time within which a seed must answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(400);
/// Calls per second to a reader.
const READER_CALLS: u32 = 200;
/// Largest pause after failed calls to a reader.
const READER_PAUSE: Duration = Duration::from_millis(100);

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
struct FeedObjects {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
    log: VecDeque<ObjectEvent>,
    /// Revision up to which changes are no longer in the log.
    forgotten: u64,
}

/// What this entry VM knows of the store, for followers.
#[derive(Debug)]
pub struct FeedTable {
    prefixes: Mutex<BTreeMap<String, FeedObjects>>,
    changed: watch::Sender<()>,
    /// When the store last answered this entry VM.
    confirmed_at: Mutex<Option<BootTime>>,
    /// When a reader last answered.
    heard_at: Mutex<Option<BootTime>>,
    is_reader: AtomicBool,
    /// Whether neither a reader nor the store answered when last asked.
    is_outage: AtomicBool,
    source: watch::Sender<StoreSource>,
}

impl Default for FeedTable {
    fn default() -> Self {
        Self {
            prefixes: Mutex::default(),
            changed: watch::Sender::new(()),
            confirmed_at: Mutex::default(),
            heard_at: Mutex::default(),
            is_reader: AtomicBool::new(false),
            is_outage: AtomicBool::new(false),
            source: watch::Sender::new(StoreSource::Direct),
        }
    }
}

impl FeedTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, FeedObjects>> {
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
    pub fn is_outage(&self) -> bool {
        self.is_outage.load(Ordering::Relaxed)
    }

    /// Takes in a whole list.
    pub fn replace(&self, prefix: &str, list: &ObjectList) {
        let objects = list.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        let feed =
            FeedObjects { revision: list.revision, objects, log: VecDeque::new(), forgotten: list.revision };
        self.lock().insert(prefix.to_owned(), feed);
        self.changed.send_replace(());
    }

    /// Takes in changes.
    pub fn extend(&self, prefix: &str, list: &EventList) {
        let mut prefixes = self.lock();
        let feed = prefixes.entry(prefix.to_owned()).or_default();
        for event in &list.events {
            feed.apply(event);
        }
        feed.revision = feed.revision.max(list.revision);
        drop(prefixes);
        self.changed.send_replace(());
    }

    /// The store has answered.
    pub fn confirm(&self) {
        *self.confirmed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(boot_clock::now());
    }

    fn hear(&self) {
        *self.heard_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(boot_clock::now());
    }

    /// Time since the store, or a reader of it, last answered.
    pub fn age(&self) -> Option<Duration> {
        time_since(&self.confirmed_at).into_iter().chain(time_since(&self.heard_at)).min()
    }

    /// Whether this entry VM is a reader and was answered by the store lately.
    pub fn is_fresh(&self) -> bool {
        let is_recent = time_since(&self.confirmed_at).is_some_and(|age| age < CONFIRM_AGE);
        is_recent && self.is_reader() && matches!(*self.source.borrow(), StoreSource::Direct)
    }

    /// All objects under a prefix; `None` when they are not known.
    pub fn list(&self, prefix: &str) -> Option<ObjectList> {
        let prefixes = self.lock();
        let feed = prefixes.get(prefix).filter(|feed| feed.revision > 0)?;
        Some(ObjectList { revision: feed.revision, items: feed.objects.values().cloned().collect() })
    }

    /// Waits for changes after a revision; `None` when they are no longer in the log.
    pub async fn wait_for_changes(&self, prefix: &str, since: u64, wait: Duration) -> Option<EventList> {
        let deadline = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let list = self.changes(prefix, since)?;
            let is_due = !list.events.is_empty();
            if is_due || tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return Some(list);
            }
        }
    }

    fn changes(&self, prefix: &str, since: u64) -> Option<EventList> {
        let prefixes = self.lock();
        let feed = prefixes.get(prefix).filter(|feed| since >= feed.forgotten)?;
        let events = feed.log.iter().filter(|event| event.version > since).cloned().collect();
        // A follower may have come further than this entry VM.
        Some(EventList { revision: feed.revision.max(since), events })
    }
}

fn time_since(time: &Mutex<Option<BootTime>>) -> Option<Duration> {
    let time = *time.lock().unwrap_or_else(PoisonError::into_inner);
    time.map(|at| boot_clock::now().saturating_sub(at))
}

impl FeedObjects {
    fn apply(&mut self, event: &ObjectEvent) {
        match &event.value {
            Some(value) => {
                let object =
                    StoredObject { key: event.key.clone(), version: event.version, value: value.clone() };
                self.objects.insert(event.key.clone(), object);
            }
            None => drop(self.objects.remove(&event.key)),
        }
        self.log.push_back(event.clone());
        while self.log.len() > LOG_LENGTH {
            self.forgotten = self.log.pop_front().map_or(self.forgotten, |event| event.version);
        }
    }
}

/// What another entry VM knows of a prefix, for a process that starts while the store is away. It
/// may be old; the store's changes since then follow when it is back.
pub async fn ask_seeds(state: &RelayState, prefix: &str) -> Option<ObjectList> {
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
pub async fn answer_pulse(state: &RelayState) -> bool {
    if !state.feed.is_fresh() {
        return false;
    }
    tokio::time::sleep(PULSE_WAIT).await;
    state.feed.is_fresh()
}

/// Keeps the source of this entry VM up to date until the process ends. A reader that the store
/// does not answer follows another one, as everybody else does.
pub async fn choose_source(state: Arc<RelayState>) {
    let mut turn = state.incarnation as usize;
    let mut failures = 0;
    loop {
        let mut readers = readers(&state);
        let count = readers.len();
        readers.retain(|reader| reader.name != state.settings.entry.name);
        let is_reader = readers.len() < count;
        let is_informed = state.has_entry_vms.load(Ordering::Relaxed);
        state.feed.is_reader.store(is_reader && is_informed, Ordering::Relaxed);
        let must_read = is_reader || readers.is_empty();
        if must_read && (is_store_answering(&state).await || readers.is_empty()) {
            failures = 0;
            set_direct(&state, "one of the readers");
            tokio::time::sleep(CONFIRM_INTERVAL).await;
            continue;
        }
        if follow(&state, &readers[turn % readers.len()]).await {
            state.feed.is_outage.store(false, Ordering::Relaxed);
            failures = 0;
            continue;
        }
        turn = turn.wrapping_add(1);
        failures += 1;
        if failures >= readers.len() {
            failures = 0;
            // One cheap question, so that an outage is not answered by the calls of the whole fleet.
            let is_answering = is_store_answering(&state).await;
            state.feed.is_outage.store(!is_answering, Ordering::Relaxed);
            if is_answering {
                set_direct(&state, "no reader answers");
                tokio::time::sleep(DIRECT_TIME).await;
            } else {
                tokio::time::sleep(OUTAGE_PAUSE).await;
            }
        }
    }
}

/// The entry VMs that read the store: the largest, spread over failure domains.
fn readers(state: &RelayState) -> Vec<EntryVmRecord> {
    let vms = state.entry_vms.load();
    let silent = state.silent();
    let known = vms.values().filter(|record| !silent.contains(&record.name));
    let sized: Vec<SizedCandidate> =
        known.clone().map(|record| (record.home_candidate(), record.capacity)).collect();
    let chosen = choose_sized_homes(PULSE_PREFIX, &sized, 0, READER_COUNT);
    let is_chosen = |record: &&EntryVmRecord| {
        chosen.iter().any(|home| home.incarnation == record.home_candidate().incarnation)
    };
    known.filter(is_chosen).cloned().collect()
}

/// Asks a reader for a sign of life. Returns whether it gave one; then it is followed.
async fn follow(state: &RelayState, reader: &EntryVmRecord) -> bool {
    let address = reader.peer_address;
    let is_followed =
        matches!(&*state.feed.source.borrow(), StoreSource::Reader(client) if client.address() == address);
    let client = make_client(address);
    let pulse = tokio::time::timeout(PULSE_WAIT + PULSE_TIMEOUT, client.list(PULSE_PREFIX)).await;
    let is_alive = matches!(pulse, Ok(Ok(_)));
    if is_alive {
        state.feed.hear();
    }
    if is_alive && !is_followed {
        log::info!(reader = reader.name.as_str(); "store followed through {}", reader.name);
        state.feed.source.send_replace(StoreSource::Reader(Arc::new(client)));
    }
    is_alive
}

fn make_client(address: SocketAddr) -> HttpPlatform {
    let pace = CallPace::new(READER_CALLS).with_full_start().with_max_pause(READER_PAUSE);
    HttpPlatform::with_transport(PlatformTransport::new(address, pace))
}

fn set_direct(state: &RelayState, why: &str) {
    if !matches!(*state.feed.source.borrow(), StoreSource::Direct) {
        log::info!("store read directly: {why}");
        state.feed.source.send_replace(StoreSource::Direct);
    }
}

/// Asks the store for a sign of life.
async fn is_store_answering(state: &RelayState) -> bool {
    let answer = tokio::time::timeout(CONFIRM_AGE, state.store.list_stale(PULSE_PREFIX)).await;
    let is_answered = matches!(answer, Ok(Ok(_)));
    if is_answered {
        state.feed.confirm();
    }
    is_answered
}
