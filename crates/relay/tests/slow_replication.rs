//! Tests of followers whose readers send a large configuration slowly, as over a link that many followers share.

mod common;

use common::{config, read_message, registration};
use serde_json::Value;
use sniperelay_hosted::registration::{EntryVmRecord, encode_entry_vm};
use sniperelay_platform::api::{EventList, ObjectEvent, ObjectList};
use sniperelay_relay::RunningRelay;
use sniperelay_relay::replication::{StoreReplica, StoreSource};
use sniperelay_standin::platform::PlatformStandin;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const PREFIXES: [&str; 5] =
    ["config/", "servers/", "sniperelay-entry-vms/", "sniperelay-crash-reports/", "sniperelay-isolated/"];
/// Responses of at least this size are sent slowly, in bytes.
const LARGE_RESPONSE_BYTES: usize = 100 * 1024;
/// Number of parts in which a large response is sent, and the pause after each.
const PARTS: usize = 40;
const PART_PAUSE: Duration = Duration::from_millis(100);
/// Delay of the responses to liveness checks while a large response is being sent.
const BUSY_DELAY: Duration = Duration::from_millis(800);

/// A reader whose link is shared by many followers: a large response takes four seconds, and delays the responses
/// to liveness checks meanwhile.
struct SlowReader {
    address: SocketAddr,
    replica: StoreReplica,
    transfers: AtomicUsize,
    /// Number of large responses of which the follower has closed the connection early.
    abandoned: AtomicUsize,
    /// Whether the reader refuses all calls, as one that has lost the store.
    is_refusing: AtomicBool,
}

impl SlowReader {
    async fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let reader = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            replica: StoreReplica::default(),
            transfers: AtomicUsize::new(0),
            abandoned: AtomicUsize::new(0),
            is_refusing: AtomicBool::new(false),
        });
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
            let status = if self.is_refusing.load(Ordering::Relaxed) { "503 Not" } else { "200 OK" };
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all(head.as_bytes()).await.is_err() || !self.write_body(&mut stream, &body).await
            {
                return;
            }
        }
    }

    async fn respond(&self, path: &str) -> String {
        if let Some((prefix, query)) = path.strip_prefix("/watch/").and_then(|rest| rest.split_once('?')) {
            let since = query.split('&').find_map(|pair| pair.strip_prefix("since=")).unwrap();
            let changes =
                self.replica.wait_for_changes(prefix, since.parse().unwrap(), Duration::from_secs(1));
            return serde_json::to_string(&changes.await.unwrap()).unwrap();
        }
        let is_busy = self.transfers.load(Ordering::Relaxed) > 0;
        tokio::time::sleep(if is_busy { BUSY_DELAY } else { Duration::from_millis(300) }).await;
        serde_json::to_string(&ObjectList { revision: 0, items: Vec::new() }).unwrap()
    }

    async fn write_body(&self, stream: &mut TcpStream, body: &str) -> bool {
        if body.len() < LARGE_RESPONSE_BYTES {
            return stream.write_all(body.as_bytes()).await.is_ok();
        }
        self.transfers.fetch_add(1, Ordering::Relaxed);
        let mut is_open = true;
        for part in body.as_bytes().chunks(body.len().div_ceil(PARTS)) {
            is_open = is_open && stream.write_all(part).await.is_ok();
            tokio::time::sleep(PART_PAUSE).await;
        }
        self.transfers.fetch_sub(1, Ordering::Relaxed);
        self.abandoned.fetch_add(usize::from(!is_open), Ordering::Relaxed);
        is_open
    }
}

/// Returns a configuration with 2,000 further routes.
fn large_config(version: &str) -> Value {
    let mut config = config(version);
    let route = config["Routes"]["read"].clone();
    for index in 0..2000 {
        let mut route = route.clone();
        route["PathPrefix"] = format!("/more{index}/").into();
        config["Routes"][format!("more{index}")] = route;
    }
    config
}

/// An entry VM that follows one of three slow readers.
struct SlowFleet {
    relay: RunningRelay,
    readers: Vec<Arc<SlowReader>>,
}

impl SlowFleet {
    async fn start() -> Self {
        let store = PlatformStandin::start().await.unwrap();
        store.put("config/main", config("00000001").to_string());
        let mut readers = Vec::new();
        for index in 0..3 {
            let (reader, name) = (SlowReader::start().await, format!("reader{index}"));
            store.put(&format!("sniperelay-entry-vms/{name}"), encode_entry_vm(&reader.record(&name)));
            readers.push(reader);
        }
        let relay = common::start_named_relay("vm", store.address());
        let state = relay.state();
        let is_following = || matches!(*state.replica.subscribe_source().borrow(), StoreSource::Reader(_));
        while !state.is_ready() || !is_following() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self { relay, readers }
    }

    /// Applies a change at some of the readers.
    fn change(&self, readers: &[Arc<SlowReader>], key: &str, value: &Value) {
        let (key, value, version) = (key.to_owned(), Some(value.to_string()), 1_000_000);
        let prefix = format!("{}/", key.split_once('/').unwrap().0);
        let change = EventList { revision: version, events: vec![ObjectEvent { key, version, value }] };
        readers.iter().for_each(|reader| reader.replica.apply_changes(&prefix, &change));
    }

    /// Waits until the entry VM meets a condition. Returns whether that was within 20 seconds.
    async fn reaches(&self, condition: impl Fn(&Self) -> bool) -> bool {
        let reached = async {
            while !condition(self) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), reached).await.is_ok()
    }

    fn has_version(&self, version: u64) -> bool {
        self.relay.state().routes.load().as_ref().is_some_and(|routes| routes.config.version == version)
    }

    fn abandoned(&self) -> usize {
        self.readers.iter().map(|reader| reader.abandoned.load(Ordering::Relaxed)).sum()
    }
}

/// Guards against followers that abandon the transfer of a configuration for another reader, again and again: the
/// links of all readers were filled with transfers of which none ended, and no follower got the configuration.
#[tokio::test]
async fn follower_completes_a_slow_transfer_of_a_large_configuration() {
    let fleet = SlowFleet::start().await;
    fleet.change(&fleet.readers, "config/main", &large_config("00000002"));
    let is_received = fleet.reaches(|fleet| fleet.has_version(2)).await;
    assert!(is_received, "no transfer was completed, {} were abandoned", fleet.abandoned());
    assert_eq!(fleet.abandoned(), 0);
}

/// Guards against followers that stay with a reader which has lost the store, because it is still sending: what is
/// urgent is read elsewhere, while the transfer is completed.
#[tokio::test]
async fn follower_reads_targets_elsewhere_while_a_slow_transfer_is_completed() {
    let fleet = SlowFleet::start().await;
    fleet.change(&fleet.readers, "config/main", &large_config("00000002"));
    let is_sending = |reader: &&Arc<SlowReader>| reader.transfers.load(Ordering::Relaxed) > 0;
    assert!(fleet.reaches(|fleet| fleet.readers.iter().any(|reader| is_sending(&reader))).await);
    let (sending, others): (Vec<_>, Vec<_>) =
        fleet.readers.iter().cloned().partition(|reader| is_sending(&reader));
    sending[0].is_refusing.store(true, Ordering::Relaxed);
    fleet.change(&others, "servers/i1", &registration("127.0.0.1:9".parse().unwrap(), "ready"));
    let knows_target = |fleet: &SlowFleet| {
        let services = fleet.relay.state().services.load();
        services["s"].dispatcher_handle.read(|dispatcher| dispatcher.targets().len() == 1)
    };
    assert!(fleet.reaches(knows_target).await, "the target did not become known");
    assert!(is_sending(&&sending[0]), "the target became known only after the transfer");
    assert!(fleet.reaches(|fleet| fleet.has_version(2)).await);
    assert_eq!(fleet.abandoned(), 0);
}
