//! Tests of responses that an entry VM cannot use, from a reader or from the store: it must find another way to the
//! latest configuration.

mod common;

use common::{config, large_config, read_message};
use sniperelay_hosted::registration::{EntryVmRecord, encode_entry_vm};
use sniperelay_platform::api::{EventList, MAX_RESPONSE_BYTES, ObjectEvent, ObjectList, StoredObject};
use sniperelay_relay::RunningRelay;
use sniperelay_relay::replication::{StoreReplica, StoreSource};
use sniperelay_relay::shared_state::RelayState;
use sniperelay_standin::platform::PlatformStandin;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const PREFIXES: [&str; 5] =
    ["config/", "servers/", "sniperelay-entry-vms/", "sniperelay-crash-reports/", "sniperelay-isolated/"];
/// Time after which a configuration must be in force on an entry VM in touch: `ConfigApply` of the platform's bounds.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// Time after which a configuration must be in force on an entry VM whose store has returned: `Contact` (3 s) and
/// `ConfigApply` of the platform's bounds.
const CONFIG_BOUND: Duration = Duration::from_secs(5);
/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);
/// Number of versions of a large configuration that exceed the size of a response together.
const VERSIONS: u64 = 24;
/// Revision of the latest change at the readers.
const REVISION: u64 = 1_000_000;

/// Responses of a reader for the configuration, instead of those with its replica.
#[derive(Debug, Clone)]
struct ConfigResponses {
    changes: Arc<str>,
    list: Arc<str>,
}

/// A reader that responds to liveness checks at all times.
struct ScriptedReader {
    address: SocketAddr,
    replica: StoreReplica,
    responses: Mutex<Option<ConfigResponses>>,
}

impl ScriptedReader {
    async fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let reader =
            Arc::new(Self { address, replica: StoreReplica::default(), responses: Mutex::default() });
        for prefix in PREFIXES {
            reader.replica.apply_snapshot(prefix, &ObjectList { revision: 1, items: Vec::new() });
        }
        let server = reader.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        reader
    }

    fn record(&self, name: &str) -> EntryVmRecord {
        EntryVmRecord {
            name: name.to_owned(),
            domain: "z".to_owned(),
            caller_address: self.address,
            ready_address: self.address,
            peer_address: self.address,
            incarnation: u64::from(self.address.port()),
            capacity: 1_000_000,
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer).await {
            let path = request.split(' ').nth(1).unwrap().to_owned();
            let body = self.respond(&path).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            // The entry VM may close the connection early.
            if stream.write_all(head.as_bytes()).await.is_err()
                || stream.write_all(body.as_bytes()).await.is_err()
            {
                return;
            }
        }
    }

    async fn respond(&self, path: &str) -> Arc<str> {
        if let Some((prefix, query)) = path.strip_prefix("/watch/").and_then(|rest| rest.split_once('?')) {
            let since = query.split('&').find_map(|pair| pair.strip_prefix("since=")).unwrap();
            let since = since.parse().unwrap();
            let changes = self.replica.wait_for_changes(prefix, since, Duration::from_secs(1)).await.unwrap();
            return match self.config_responses(prefix) {
                Some(responses) if since < REVISION => responses.changes,
                _ => serde_json::to_string(&changes).unwrap().into(),
            };
        }
        if path.contains("sniperelay-pulse/") {
            tokio::time::sleep(Duration::from_millis(300)).await;
            return serde_json::to_string(&self.replica.latest_changes(0)).unwrap().into();
        }
        let Some(prefix) = path.strip_prefix("/list/") else {
            // Checks of readiness, and the like.
            return "".into();
        };
        match self.config_responses(prefix) {
            Some(responses) => responses.list,
            None => serde_json::to_string(&self.replica.snapshot(prefix).unwrap()).unwrap().into(),
        }
    }

    fn config_responses(&self, prefix: &str) -> Option<ConfigResponses> {
        self.responses.lock().unwrap().clone().filter(|_| prefix == "config/")
    }

    /// Changes the configuration, with these responses to those who read it.
    fn change_config(&self, version: &str, responses: Option<ConfigResponses>) {
        *self.responses.lock().unwrap() = responses;
        let value = Some(config(version).to_string());
        let event = ObjectEvent { key: "config/main".to_owned(), version: REVISION, value };
        self.replica.apply_changes("config/", &EventList { revision: REVISION, events: vec![event] });
    }
}

fn version(state: &RelayState) -> u64 {
    state.routes.load().as_ref().map_or(0, |routes| routes.config.version)
}

async fn wait_until(what: &str, limit: Duration, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(limit, poll).await.unwrap_or_else(|_| panic!("not in time: {what}"));
}

/// An entry VM that follows one of three scripted readers.
struct Fleet {
    store: Arc<PlatformStandin>,
    relay: RunningRelay,
    readers: Vec<Arc<ScriptedReader>>,
}

impl Fleet {
    async fn start() -> Self {
        let store = PlatformStandin::start().await.unwrap();
        store.put("config/main", config("00000001").to_string());
        let mut readers = Vec::new();
        for index in 0..3 {
            let (reader, name) = (ScriptedReader::start().await, format!("reader{index}"));
            store.put(&format!("sniperelay-entry-vms/{name}"), encode_entry_vm(&reader.record(&name)));
            readers.push(reader);
        }
        let relay = common::start_named_relay("vm", store.address());
        let fleet = Self { store, relay, readers };
        let is_following = || fleet.relay.state().is_ready() && fleet.followed().is_some();
        wait_until("a reader is followed", HANG_LIMIT, is_following).await;
        // The copies of all prefixes come from the reader from here on.
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet
    }

    /// Returns the reader that is followed.
    fn followed(&self) -> Option<&Arc<ScriptedReader>> {
        let StoreSource::Reader(address) = self.relay.state().replica.source() else { return None };
        self.readers.iter().find(|reader| reader.address == address)
    }
}

/// Returns changes with a version of a large configuration each, as a reader of an earlier build sends them, and the
/// list with the latest one.
fn large_responses() -> ConfigResponses {
    let value = large_config("00000002").to_string();
    let make_event = |index| ObjectEvent {
        key: "config/main".to_owned(),
        version: REVISION - VERSIONS + index,
        value: Some(value.clone()),
    };
    let events = EventList { revision: REVISION, events: (1..=VERSIONS).map(make_event).collect() };
    let object = StoredObject { key: "config/main".to_owned(), version: REVISION, value: value.clone() };
    let list = ObjectList { revision: REVISION, items: vec![object] };
    let changes = serde_json::to_string(&events).unwrap();
    assert!(changes.len() > MAX_RESPONSE_BYTES);
    ConfigResponses { changes: changes.into(), list: serde_json::to_string(&list).unwrap().into() }
}

/// Guards against followers that ask for more changes than a response can hold, again and again, and never get a newer
/// configuration.
#[tokio::test]
async fn follower_lists_the_configuration_if_its_changes_exceed_a_response() {
    let fleet = Fleet::start().await;
    let responses = large_responses();
    for reader in &fleet.readers {
        reader.change_config("00000002", Some(responses.clone()));
    }
    wait_until("version 2", APPLY_BOUND, || version(fleet.relay.state()) == 2).await;
}

/// Guards against followers that stay with a reader whose responses they cannot read, because it responds to
/// liveness checks.
#[tokio::test]
async fn follower_leaves_a_reader_whose_responses_cannot_be_read() {
    let fleet = Fleet::start().await;
    let followed = fleet.followed().unwrap().address;
    let malformed = ConfigResponses { changes: "{".into(), list: "[".into() };
    for reader in &fleet.readers {
        reader.change_config("00000002", (reader.address == followed).then(|| malformed.clone()));
    }
    wait_until("version 2", APPLY_BOUND, || version(fleet.relay.state()) == 2).await;
    assert_ne!(fleet.relay.state().replica.source(), StoreSource::Reader(followed));
}

/// Guards against followers that go from one reader to the next, none of whose responses they can read, and do not read
/// the store.
#[tokio::test]
async fn follower_reads_the_store_if_no_reader_sends_a_usable_response() {
    let fleet = Fleet::start().await;
    fleet.store.put("config/main", config("00000002").to_string());
    let malformed = ConfigResponses { changes: "{".into(), list: "[".into() };
    for reader in &fleet.readers {
        reader.change_config("00000002", Some(malformed.clone()));
    }
    wait_until("version 2", CONFIG_BOUND, || version(fleet.relay.state()) == 2).await;
}

/// Guards against readers that ask the store for more changes than a response can hold, again and again.
#[tokio::test]
async fn reader_lists_the_configuration_if_its_changes_exceed_a_response() {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    let relay = common::start_named_relay("vm", store.address());
    wait_until("the entry VM is ready", HANG_LIMIT, || version(relay.state()) == 1).await;
    store.control.is_silent.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let value = large_config("00000002").to_string();
    for _ in 0..VERSIONS {
        store.put("config/main", value.clone());
    }
    store.control.is_silent.store(false, Ordering::Relaxed);
    wait_until("version 2", CONFIG_BOUND, || version(relay.state()) == 2).await;
}
