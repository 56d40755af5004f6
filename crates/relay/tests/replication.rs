//! Tests replication of store contents from readers to followers.

mod common;

use common::{config, large_config, registration};
use sniperelay_platform::HttpPlatform;
use sniperelay_platform::api::{EventList, ObjectEvent, ObjectList, PlatformApi, StoredObject};
use sniperelay_platform::transport::CallCounters;
use sniperelay_relay::RunningRelay;
use sniperelay_relay::replication::{StoreReplica, StoreSource};
use sniperelay_standin::platform::PlatformStandin;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

fn object(name: &str, version: u64) -> StoredObject {
    StoredObject { key: format!("k/{name}"), version, value: version.to_string() }
}

fn event(name: &str, version: u64, is_deleted: bool) -> ObjectEvent {
    ObjectEvent { key: format!("k/{name}"), version, value: (!is_deleted).then(|| version.to_string()) }
}

#[tokio::test]
async fn replica_returns_snapshot_and_changes_since_a_revision() {
    let replica = StoreReplica::default();
    assert!(replica.snapshot("k/").is_none(), "a new replica has no snapshot");
    replica.apply_snapshot("k/", &ObjectList { revision: 10, items: vec![object("a", 3), object("b", 9)] });
    replica.apply_changes(
        "k/",
        &EventList { revision: 12, events: vec![event("a", 11, true), event("c", 12, false)] },
    );
    replica.apply_changes("k/", &EventList { revision: 15, events: Vec::new() });
    let list = replica.snapshot("k/").unwrap();
    assert_eq!((list.revision, list.items), (15, vec![object("b", 9), object("c", 12)]));
    let since = async |revision| replica.wait_for_changes("k/", revision, Duration::ZERO).await;
    assert_eq!(since(10).await.unwrap().events.len(), 2);
    assert_eq!(since(11).await.unwrap().events, vec![event("c", 12, false)]);
    assert_eq!(since(9).await, None, "revision 9 is before the snapshot");
    let ahead = since(20).await.unwrap();
    assert_eq!(
        (ahead.revision, ahead.events.len()),
        (20, 0),
        "a follower at a later revision must not go back"
    );
}

#[tokio::test]
async fn replica_serves_followers_only_as_a_reader_with_recent_store_contact() {
    let replica = StoreReplica::default();
    assert!(!replica.can_serve_followers());
    replica.record_store_contact(1);
    assert!(!replica.can_serve_followers(), "this entry VM is not a reader");
}

/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);

/// Several entry VMs that use the same store.
struct Fleet {
    store: std::sync::Arc<PlatformStandin>,
    relays: Vec<RunningRelay>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        Self::start_with_config(count, &config("00000001")).await
    }

    async fn start_with_config(count: usize, config: &serde_json::Value) -> Self {
        let store = PlatformStandin::start().await.unwrap();
        store.put("config/main", config.to_string());
        let relays =
            (0..count).map(|index| common::start_named_relay(&format!("vm{index}"), store.address()));
        Self { relays: relays.collect(), store }
    }

    async fn wait_until(&self, condition: impl Fn(&sniperelay_relay::shared_state::RelayState) -> bool) {
        while !self.relays.iter().all(|relay| condition(relay.state())) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn follower_count(&self) -> usize {
        let is_follower = |relay: &&RunningRelay| {
            matches!(*relay.state().replica.subscribe_source().borrow(), StoreSource::Reader(_))
        };
        self.relays.iter().filter(is_follower).count()
    }
}

fn version(state: &sniperelay_relay::shared_state::RelayState) -> u64 {
    state.routes.load().as_ref().map_or(0, |routes| routes.config.version)
}

#[tokio::test]
async fn followers_receive_changes_from_the_three_readers() {
    let fleet = Fleet::start(6).await;
    fleet.wait_until(|state| state.is_ready() && state.entry_vms.load().len() == 6).await;
    while fleet.follower_count() != 3 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fleet.store.put("config/main", config("00000007").to_string());
    let target = registration("127.0.0.1:9".parse().unwrap(), "ready");
    fleet.store.put("servers/i1", target.to_string());
    let knows_target = |state: &sniperelay_relay::shared_state::RelayState| {
        state.services.load()["s"].dispatcher_handle.read(|dispatcher| dispatcher.targets().len() == 1)
    };
    fleet.wait_until(|state| version(state) == 7 && knows_target(state)).await;
    // An older version that is written later has no effect on readers or followers.
    fleet.store.put("config/main", config("00000006").to_string());
    fleet.store.put("config/main", config("00000008").to_string());
    fleet.wait_until(|state| version(state) == 8).await;
    assert_eq!(fleet.follower_count(), 3);
}

#[tokio::test]
async fn entry_vms_keep_serving_during_a_store_outage_and_catch_up_afterwards() {
    let fleet = Fleet::start(5).await;
    fleet.wait_until(|state| state.is_ready() && state.entry_vms.load().len() == 5).await;
    fleet.store.control.is_down.store(true, std::sync::atomic::Ordering::Relaxed);
    // Without a recent response from the store, readers stop serving followers.
    while fleet.relays.iter().any(|relay| relay.state().replica.can_serve_followers()) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(
        fleet.relays.iter().all(|relay| relay.state().is_ready()),
        "all entry VMs stay ready during the outage"
    );
    fleet.store.put("config/main", config("00000009").to_string());
    fleet.store.control.is_down.store(false, std::sync::atomic::Ordering::Relaxed);
    fleet.wait_until(|state| version(state) == 9).await;
}

/// Guards against readers that take the store for unavailable for good once it has been away: they would prove nothing about
/// the configuration any more, and refuse all requests with API keys.
#[tokio::test]
async fn readers_find_the_store_available_again_after_an_outage() {
    let fleet = Fleet::start(2).await;
    fleet.wait_until(|state| state.is_ready() && state.entry_vms.load().len() == 2).await;
    fleet.store.control.is_down.store(true, Ordering::Relaxed);
    fleet.wait_until(|state| state.replica.is_store_unavailable()).await;
    fleet.store.control.is_down.store(false, Ordering::Relaxed);
    let recover = fleet.wait_until(|state| !state.replica.is_store_unavailable());
    tokio::time::timeout(HANG_LIMIT, recover).await.expect("a reader does not notice that the store is back");
}

#[tokio::test]
async fn process_started_during_a_store_outage_loads_its_state_from_a_seed() {
    let fleet = Fleet::start(1).await;
    let target = registration("127.0.0.1:9".parse().unwrap(), "ready");
    fleet.store.put("servers/i1", target.to_string());
    fleet.wait_until(|state| state.is_ready()).await;
    fleet.store.control.is_down.store(true, std::sync::atomic::Ordering::Relaxed);
    let seed = fleet.relays[0].state().settings.entry.control_address.to_string();
    let late = common::start_seeded_relay("late", fleet.store.address(), &seed);
    while !late.state().is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(version(late.state()), 1);
    fleet.store.put("config/main", config("0000000a").to_string());
    fleet.store.control.is_down.store(false, std::sync::atomic::Ordering::Relaxed);
    while version(late.state()) != 10 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_reader_without_responses_from_the_store_follows_another_one() {
    let fleet = Fleet::start(2).await;
    fleet.wait_until(|state| state.is_ready() && state.entry_vms.load().len() == 2).await;
    let unreachable = PlatformStandin::start().await.unwrap();
    unreachable.control.is_down.store(true, std::sync::atomic::Ordering::Relaxed);
    let seed = fleet.relays[0].state().settings.entry.control_address.to_string();
    let isolated = common::start_seeded_relay("cut", unreachable.address(), &seed);
    let is_following = |state: &sniperelay_relay::shared_state::RelayState| {
        matches!(*state.replica.subscribe_source().borrow(), StoreSource::Reader(_))
    };
    while !isolated.state().is_ready() || !is_following(isolated.state()) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Registers the entry VM `cut` in the store of the others, so that it becomes one of the three
    // readers although it cannot reach its own store.
    let own = isolated.state().own_record();
    fleet.store.put("sniperelay-entry-vms/cut", sniperelay_hosted::registration::encode_entry_vm(&own));
    while isolated.state().entry_vms.load().len() != 3 || !isolated.state().replica.is_reader() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(
        !isolated.state().replica.can_serve_followers(),
        "a reader without store contact must not serve followers"
    );
    fleet.store.put("config/main", config("0000000b").to_string());
    let receive_version = async {
        while version(isolated.state()) != 11 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, receive_version)
        .await
        .expect("the reader did not receive the new version in time");
}

#[tokio::test]
async fn a_stopped_reader_is_not_treated_as_a_store_outage() {
    let mut fleet = Fleet::start(7).await;
    let target = registration("127.0.0.1:9".parse().unwrap(), "ready");
    fleet.store.put("servers/i1", target.to_string());
    fleet.wait_until(|state| state.is_ready() && state.entry_vms.load().len() == 7).await;
    while fleet.follower_count() != 4 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Readers stop one after the other, so that each follower must find another reader, while
    // changes of a target keep all watches returning events.
    let mut stopping = Vec::new();
    for round in 0..3 {
        let reader = fleet.relays.iter().position(|relay| relay.state().replica.is_reader()).unwrap();
        stopping.push(tokio::spawn(fleet.relays.remove(reader).shutdown()));
        let name = format!("servers/gone-in-round-{round}");
        fleet.store.put(&name, target.to_string());
        for change in 0..30 {
            let mut other = registration("127.0.0.1:8".parse().unwrap(), "ready");
            other["WarmupLeft"] = format!("{change}ms").into();
            fleet.store.put("servers/i2", other.to_string());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet.store.delete(&name);
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    fleet.wait_until(|state| state.entry_vms.load().len() == 4).await;
    for relay in &fleet.relays {
        let held = relay.state().metrics.process().entries_held.load(std::sync::atomic::Ordering::Relaxed);
        assert_eq!(held, 0, "no entries may be held, because the store was always available");
    }
}

/// Large configurations reach the follower of three readers, and it receives them in less than a fifth of their
/// plain size. A follower may change its reader at any time, so only versions that it has received from the
/// reader that it followed before and after are measured.
///
/// Several threads run the entry VMs, as if each had a process of its own: in a debug build, each of them takes some
/// time to decode the configuration, and on one thread together they miss liveness checks.
#[tokio::test(flavor = "multi_thread")]
async fn follower_receives_a_changed_large_configuration_compressed() {
    let fleet = Fleet::start_with_config(4, &large_config("00000001")).await;
    fleet.wait_until(|state| state.is_ready() && state.entry_vms.load().len() == 4).await;
    while fleet.relays.iter().filter(|relay| relay.state().replica.is_reader()).count() != 3 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let follower = fleet.relays.iter().find(|relay| !relay.state().replica.is_reader()).unwrap().state();
    let mut measured = None;
    for number in 2..22 {
        while followed_reader(follower).is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let Some(reader) = followed_reader(follower) else { continue };
        let before = received_bytes(follower.replica.reader_calls());
        fleet.store.put("config/main", large_config(&format!("{number:08x}")).to_string());
        fleet.wait_until(|state| version(state) == number).await;
        let received = received_bytes(follower.replica.reader_calls()) - before;
        if followed_reader(follower) == Some(reader) && received >= MIN_CONFIG_WIRE_BYTES {
            measured = Some((reader, received));
            break;
        }
    }
    let (address, wire_bytes) = measured.expect("the follower received no version from a single reader");
    let plain_client = HttpPlatform::new(address, 100);
    let list = plain_client.list("snapshot/config/").await.unwrap();
    let plain_bytes = received_bytes(plain_client.counters());
    let value_bytes = list.items[0].value.len();
    println!("configuration {value_bytes} bytes, plain response {plain_bytes}, received {wire_bytes}");
    assert!((850_000..1_000_000).contains(&value_bytes), "{value_bytes} bytes");
    assert!(wire_bytes < plain_bytes / 5, "{wire_bytes} of {plain_bytes} bytes were sent");
    let routes = follower.routes.load_full().unwrap();
    assert_eq!(routes.config.routes.len() as u64, common::LARGE_CONFIG_ROUTES + 2);
}

/// Number of bytes below which a follower cannot have received the large configuration: four bytes, half of the
/// digits that have no pattern, for each route.
const MIN_CONFIG_WIRE_BYTES: u64 = 4 * common::LARGE_CONFIG_ROUTES;

fn received_bytes(counters: &CallCounters) -> u64 {
    counters.received_bytes.load(Ordering::Relaxed)
}

/// Returns the address of the reader that an entry VM follows.
fn followed_reader(state: &sniperelay_relay::shared_state::RelayState) -> Option<SocketAddr> {
    match *state.replica.subscribe_source().borrow() {
        StoreSource::Reader(address) => Some(address),
        StoreSource::Direct => None,
    }
}

/// Lists, snapshots and watches are compressed only if the request permits it and the response is large.
#[tokio::test(flavor = "multi_thread")]
async fn responses_are_compressed_only_if_they_are_large_and_the_request_permits_it() {
    let fleet = Fleet::start_with_config(1, &large_config("00000001")).await;
    let target = registration("127.0.0.1:9".parse().unwrap(), "ready");
    fleet.store.put("servers/i1", target.to_string());
    fleet.wait_until(|state| state.is_ready() && state.replica.can_serve_followers()).await;
    let state = fleet.relays[0].state();
    // From then on, the change log has the large configuration.
    let since = state.replica.snapshot("config/").unwrap().revision;
    fleet.store.put("config/main", large_config("00000002").to_string());
    fleet.wait_until(|state| version(state) == 2).await;
    let address = state.own_record().peer_address;
    let watch = format!("/watch/config/?since={since}&wait_ms=0");
    let deflate = "Accept-Encoding: deflate\r\n";
    // Each row: path, header of the request, whether the response is compressed.
    let rows = [
        ("/list/config/", "", false),
        ("/list/snapshot/config/", "", false),
        (watch.as_str(), "", false),
        ("/list/config/", deflate, true),
        ("/list/snapshot/config/", deflate, true),
        (watch.as_str(), deflate, true),
        ("/list/config/", "accept-encoding: gzip, DEFLATE;q=0.5\r\n", true),
        ("/list/config/", "Accept-Encoding: gzip\r\n", false),
        ("/list/config/", "Accept-Encoding: deflate;q=0\r\n", false),
        ("/list/servers/", deflate, false),
        ("/list/sniperelay-pulse/", deflate, false),
    ];
    for (path, request_header, is_compressed) in rows {
        let mut caller = common::Caller::open(address).await;
        caller.send(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n{request_header}\r\n")).await;
        let response = caller.receive().await.expect("no response");
        let coding = common::header(&response, "content-encoding");
        assert_eq!(coding, is_compressed.then(|| "deflate".to_owned()), "{path} {request_header}");
        let is_json = serde_json::from_str::<serde_json::Value>(common::body(&response)).is_ok();
        assert_eq!(is_json, !is_compressed, "{path} {request_header}");
    }
}
