//! Tests of a store that accepts calls and never answers them.

mod common;

use common::{config, read_message};
use sniperelay_hosted::registration::encode_entry_vm;
use sniperelay_platform::api::{ObjectList, StoredObject};
use sniperelay_relay::RunningRelay;
use sniperelay_relay::replication::StoreSource;
use sniperelay_relay::shared_state::RelayState;
use sniperelay_standin::platform::{PlatformStandin, SilentCalls};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Time after which a configuration must be in force on an entry VM that reaches the store: `Contact` (3 s) and
/// `ConfigApply` (2 s) of the platform's bounds.
const CONFIG_BOUND: Duration = Duration::from_secs(5);
/// Time after which a configuration must be in force on an entry VM that has found a reader: `ConfigApply` of the
/// platform's bounds.
const READER_BOUND: Duration = Duration::from_secs(2);
/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);

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

/// Starts a store and entry VMs that know each other.
async fn start_fleet(count: usize) -> (Arc<PlatformStandin>, Vec<RunningRelay>) {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    let start = |index| common::start_named_relay(&format!("vm{index}"), store.address());
    let relays: Vec<RunningRelay> = (0..count).map(start).collect();
    let is_settled = |relay: &RunningRelay| {
        let state = relay.state();
        state.is_ready()
            && state.entry_vms.load().len() == count
            && state.is_membership_settled.load(Ordering::Relaxed)
    };
    wait_until("the fleet starts", HANG_LIMIT, || relays.iter().all(is_settled)).await;
    (store, relays)
}

/// Starts a seed that has the configuration and no targets, and is no reader. Returns its address.
async fn start_seed() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = Vec::new();
            let Some(request) = read_message(&mut stream, &mut buffer).await else { continue };
            let value = config("00000001").to_string();
            let object = StoredObject { key: "config/main".to_owned(), version: 1, value };
            let items = match request.split_whitespace().nth(1) {
                Some("/list/snapshot/config/") => Some(vec![object]),
                Some("/list/snapshot/servers/") => Some(Vec::new()),
                _ => None,
            };
            let (status, list) = items
                .map_or(("503 no", ObjectList { revision: 0, items: Vec::new() }), |items| {
                    ("200 OK", ObjectList { revision: 1, items })
                });
            let body = serde_json::to_string(&list).unwrap();
            let head =
                format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
            drop(stream.write_all(format!("{head}{body}").as_bytes()).await);
        }
    });
    address
}

/// Starts a store that is silent, and an entry VM that has loaded the configuration of a seed and watches it.
async fn start_in_silence() -> (Arc<PlatformStandin>, RunningRelay) {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    store.control.is_silent.store(true, Ordering::Relaxed);
    let relay = common::start_seeded_relay("vm0", store.address(), &start_seed().await);
    wait_until("the state of the seed is loaded", HANG_LIMIT, || relay.state().is_ready()).await;
    let copies = relay.state().replica.copies().clone();
    let is_watching = || copies.statuses().get("config/").is_some_and(|status| status.read_since.is_some());
    wait_until("the configuration is watched", HANG_LIMIT, is_watching).await;
    (store, relay)
}

/// Guards against a watch that is sent while the store is silent and is waited for long after its return
/// (incidents inc1 and inc2 of issue 33): a restarted reader kept the configuration of its seed.
#[tokio::test]
async fn watch_sent_to_a_silent_store_does_not_hold_back_the_configuration() {
    let (store, relay) = start_in_silence().await;
    store.control.is_silent.store(false, Ordering::Relaxed);
    store.put("config/main", config("00000009").to_string());
    wait_until("the new version", CONFIG_BOUND, || version(relay.state()) == 9).await;
}

/// Guards against a reader that waits for a watch of the time of an outage until a stale replica of the store shows
/// its changes, which may be seconds later: the store itself has responded again.
#[tokio::test]
async fn stale_replica_after_an_outage_does_not_hold_back_the_configuration() {
    let (store, relay) = start_in_silence().await;
    store.freeze_stale_lists();
    store.control.is_silent.store(false, Ordering::Relaxed);
    store.put("config/main", config("00000009").to_string());
    wait_until("the new version", CONFIG_BOUND, || version(relay.state()) == 9).await;
}

/// Guards against a watch that is never answered although all other calls are, so that no failed call shows it.
#[tokio::test]
async fn single_watch_without_a_response_does_not_hold_back_the_configuration() {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    store.control.set_silent_calls(Some(SilentCalls::WaitingWatches("/config")));
    let relay = common::start_named_relay("vm0", store.address());
    wait_until("the entry VM is ready", HANG_LIMIT, || relay.state().is_ready()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.put("config/main", config("00000009").to_string());
    wait_until("the new version", CONFIG_BOUND, || version(relay.state()) == 9).await;
}

/// Guards against followers of a reader whose copy of one prefix stands still while its other prefixes are current
/// (incident inc2 of issue 33).
#[tokio::test]
async fn reader_whose_copy_of_one_prefix_stands_still_serves_no_followers() {
    let (store, relays) = start_fleet(1).await;
    let reader = relays[0].state();
    wait_until("the reader serves followers", HANG_LIMIT, || reader.replica.can_serve_followers()).await;
    store.control.set_silent_calls(Some(SilentCalls::All("/config")));
    store.put("config/main", config("00000002").to_string());
    // The watch that was sent before is answered; the next change is not received.
    wait_until("version 2", CONFIG_BOUND, || version(reader) == 2).await;
    store.put("config/main", config("00000009").to_string());
    wait_until("the reader refuses followers", CONFIG_BOUND, || !reader.replica.can_serve_followers()).await;
    let mut follower = common::Caller::open(reader.own_record().peer_address).await;
    follower.send("GET /watch/config/?since=1&wait_ms=0 HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert_eq!(common::status(&follower.receive().await.unwrap()), 503);
    store.control.set_silent_calls(None);
    wait_until("version 9", CONFIG_BOUND, || version(reader) == 9).await;
    wait_until("the reader serves followers again", CONFIG_BOUND, || reader.replica.can_serve_followers())
        .await;
}

/// Guards against a follower that keeps an old copy because its watch at a reader is never answered, while the reader
/// responds to its liveness checks.
#[tokio::test]
async fn follower_whose_watch_gets_no_response_receives_the_configuration() {
    let (store, relays) = start_fleet(4).await;
    let reader_count = || relays.iter().filter(|relay| relay.state().replica.is_reader()).count();
    wait_until("three readers are chosen", HANG_LIMIT, || reader_count() == 3).await;
    let follower = relays.iter().find(|relay| !relay.state().replica.is_reader()).unwrap().state();
    // All readers are reached through proxies that answer no watch of the configuration that waits.
    for relay in relays.iter().filter(|relay| relay.state().replica.is_reader()) {
        let mut record = relay.state().own_record();
        record.peer_address = start_silent_watch_proxy(record.peer_address).await;
        record.capacity += 1;
        store.put(&format!("sniperelay-entry-vms/{}", record.name), encode_entry_vm(&record));
    }
    let source = || *follower.replica.subscribe_source().borrow();
    let is_proxy = |address| relays.iter().all(|relay| relay.state().own_record().peer_address != address);
    wait_until(
        "a proxy is followed",
        HANG_LIMIT,
        || matches!(source(), StoreSource::Reader(address) if is_proxy(address)),
    )
    .await;
    store.put("config/main", config("00000009").to_string());
    wait_until("the new version", CONFIG_BOUND, || version(follower) == 9).await;
}

/// Starts a proxy for one request a connection that never answers watches of the configuration that wait.
async fn start_silent_watch_proxy(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                let Some(request) = read_message(&mut stream, &mut buffer).await else { return };
                let path = request.split_whitespace().nth(1).unwrap_or_default();
                if path.starts_with("/watch/config/") && !path.contains("wait_ms=0") {
                    std::future::pending::<()>().await;
                }
                let mut upstream = TcpStream::connect(to).await.unwrap();
                upstream.write_all(format!("{}\r\n\r\n", request.trim_end()).as_bytes()).await.unwrap();
                drop(tokio::io::copy_bidirectional(&mut stream, &mut upstream).await);
            });
        }
    });
    address
}

/// Guards against a list of the store that does not take effect for as long as a watch at a reader waits, because its
/// reader was changed in between: the configuration was 5 s late (seen on a day of watha-relay).
#[tokio::test]
async fn list_of_the_store_takes_effect_when_a_reader_has_no_later_changes() {
    let (store, relays) = start_fleet(1).await;
    store.put("config/main", config("00000009").to_string());
    let reader = relays[0].state();
    wait_until("version 9 at the reader", HANG_LIMIT, || version(reader) == 9).await;
    // The store of the other one answers lists, but no watches. Three larger entry VMs are the readers.
    let own = PlatformStandin::start().await.unwrap();
    own.control.set_silent_calls(Some(SilentCalls::Watches("/config")));
    let mut record = reader.own_record();
    record.capacity += 1;
    for name in ["vm0", "vm1", "vm2"] {
        record.name = name.to_owned();
        own.put(&format!("sniperelay-entry-vms/{name}"), encode_entry_vm(&record));
    }
    own.put("config/main", config("00000009").to_string());
    while own.list("").0 < store.list("").0 {
        own.put("other/x", "1");
    }
    let late = common::start_named_relay("late", own.address());
    let is_following = || matches!(late.state().replica.source(), StoreSource::Reader(_));
    wait_until("a reader is followed", HANG_LIMIT, is_following).await;
    wait_until("version 9", READER_BOUND, || version(late.state()) == 9).await;
}

/// Guards against a reader that serves a stale list to followers as if it were up to date: the list confirmed its copy
/// before the changes since then were read.
#[tokio::test]
async fn stale_list_without_the_changes_since_then_confirms_no_copy() {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    store.freeze_stale_lists();
    store.put("config/main", config("00000009").to_string());
    store.control.set_silent_calls(Some(SilentCalls::Watches("/config")));
    let relay = common::start_named_relay("vm0", store.address());
    let replica = &relay.state().replica;
    wait_until("the stale list is read", HANG_LIMIT, || replica.copies().revision("config/") > 0).await;
    assert!(!replica.copies().is_confirmed("config/"), "the list confirmed the copy");
    let is_settled = || relay.state().is_membership_settled.load(Ordering::Relaxed);
    wait_until("the entry VMs are read", HANG_LIMIT, is_settled).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!replica.copies().is_confirmed("config/"), "a response for another prefix confirmed the copy");
    assert!(!replica.can_serve_followers());
    store.control.set_silent_calls(None);
    wait_until("the new version", CONFIG_BOUND, || version(relay.state()) == 9).await;
}

/// Guards against a copy that stands still while its watch is never answered and the store's stale state lags behind: a
/// check against that state confirmed the copy.
#[tokio::test]
async fn check_against_a_stale_state_does_not_hide_a_change() {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    store.control.set_silent_calls(Some(SilentCalls::WaitingWatches("/config")));
    let relay = common::start_named_relay("vm0", store.address());
    wait_until("the entry VM is ready", HANG_LIMIT, || relay.state().is_ready()).await;
    let copies = relay.state().replica.copies().clone();
    let is_watching = || copies.statuses()["config/"].read_since.is_some();
    wait_until("the configuration is watched", HANG_LIMIT, is_watching).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.freeze_stale_lists();
    store.put("config/main", config("00000009").to_string());
    // The watch of this prefix is answered and states the later revision.
    store.put("servers/other", "{}");
    wait_until("the new version", CONFIG_BOUND, || version(relay.state()) == 9).await;
}
