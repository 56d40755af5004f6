//! Tests with odd entries among those of the targets and entry VMs, as another writer may leave them.

mod common;

use common::{
    Caller, ScriptedAction, ScriptedTarget, config, registration, request, sealed_response, status,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use serde_json::{Value, json};
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::time::Duration;

/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);
/// Number of generated entries.
const GENERATED_ENTRIES: usize = 400;

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, poll).await.unwrap_or_else(|_| panic!("not in time: {what}"));
}

/// Starts a store with a configuration, a sound target and an entry VM that knows it.
async fn start() -> (Arc<PlatformStandin>, Arc<ScriptedTarget>, RunningRelay) {
    let target = ScriptedTarget::start(vec![ScriptedAction::Respond(sealed_response("ok"))]).await;
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    store.put("servers/sound", registration(target.address, "ready").to_string());
    let relay = common::start_named_relay("vm0", store.address());
    wait_until("the entry VM is ready", || relay.state().is_ready()).await;
    (store, target, relay)
}

fn has_target(relay: &RunningRelay, name: &str) -> bool {
    let services = relay.state().services.load();
    services["s"]
        .dispatcher_handle
        .read(|dispatcher| dispatcher.targets().iter().any(|(_, target)| target.instance.as_str() == name))
}

/// Checks that the entry VM still follows the store and serves requests.
async fn assert_follows(store: &PlatformStandin, relay: &RunningRelay, target: &ScriptedTarget) {
    store.put("servers/later", registration(target.address, "draining").to_string());
    store.put("servers/other", registration("127.0.0.1:9".parse().unwrap(), "draining").to_string());
    store.delete("servers/other");
    store.put("config/main", config("00000002").to_string());
    let version = || relay.state().routes.load().as_ref().map(|routes| routes.config.version);
    wait_until("version 2", || version() == Some(2)).await;
    store.delete("servers/later");
    let known = || relay.state().replica.snapshot("servers/").unwrap().items;
    wait_until("the later target is gone", || known().iter().all(|item| item.key != "servers/later")).await;
    wait_until("the sound target is used", || has_target(relay, "sound")).await;
    let mut caller = Caller::open(relay.state().own_record().caller_address).await;
    caller.send(&request("GET", "/read/1", "r1", "")).await;
    assert_eq!(status(&caller.receive().await.unwrap()), 200);
}

fn with(field: &str, value: Value) -> Value {
    let mut entry = registration("127.0.0.1:9".parse().unwrap(), "draining");
    entry[field] = value;
    entry
}

/// Guards against sums that overflow, and entries that are nested deeply, end the task that follows the targets.
#[tokio::test]
async fn entries_at_the_edges_of_their_types_do_not_end_the_watch_of_targets() {
    let (store, target, relay) = start().await;
    let deep = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    for (index, slots) in [u32::MAX, u32::MAX, u32::MAX - 1].iter().enumerate() {
        let mut entry = with("Slots", json!(slots));
        entry["born"] = json!(u64::MAX);
        entry["WarmupLeft"] = json!("86400s");
        entry["Sequence"] = json!(u64::MAX);
        store.put(&format!("servers/large{index}"), entry.to_string());
    }
    store.put("servers/deep", deep.clone());
    store.put(
        "servers/deep-field",
        with("Slots", json!(4)).to_string().replacen('{', &format!("{{\"x\":{deep},"), 1),
    );
    store.put("servers/number", with("Slots", json!(4)).to_string().replacen(":4", ":1e999", 1));
    store.put("servers/duplicate", with("Slots", json!(4)).to_string().replacen('{', "{\"Slots\":5,", 1));
    store.put("servers/port", with("Address", json!("127.0.0.1:65536")).to_string());
    store.put("servers/line\nbreak", with("Slots", json!(4)).to_string());
    store.put("servers/text", "\u{0}\u{fffd}{");
    assert_follows(&store, &relay, &target).await;
    // Live ones as well: their slots are used.
    for index in 0..3 {
        let mut entry = with("Slots", json!(u32::MAX));
        entry["State"] = json!("ready");
        entry["Address"] = json!(format!("127.0.0.1:{}", 10 + index));
        store.put(&format!("servers/large{index}"), entry.to_string());
    }
    wait_until("the large targets are used", || {
        (0..3).all(|index| has_target(&relay, &format!("large{index}")))
    })
    .await;
    (0..3).for_each(|index| store.delete(&format!("servers/large{index}")));
    wait_until("the large targets are gone", || {
        (0..3).all(|index| !has_target(&relay, &format!("large{index}")))
    })
    .await;
    assert_follows(&store, &relay, &target).await;
}

/// Guards against requests that go round in circles: to a target with the address of an entry VM.
#[tokio::test]
async fn entry_with_the_address_of_an_entry_vm_names_no_target() {
    let (store, _target, relay) = start().await;
    let own = relay.state().own_record();
    for (index, address) in [own.caller_address, own.ready_address, own.peer_address].into_iter().enumerate()
    {
        store.put(&format!("servers/odd{index}"), registration(address, "ready").to_string());
    }
    store.delete("servers/sound");
    wait_until("the sound target is gone", || !has_target(&relay, "sound")).await;
    assert!(
        (0..3).all(|index| !has_target(&relay, &format!("odd{index}"))),
        "an entry VM is used as a target"
    );
    let mut caller = Caller::open(own.caller_address).await;
    caller.send(&request("GET", "/read/1", "r1", "")).await;
    assert_eq!(status(&caller.receive().await.unwrap()), 503);
}

/// Guards against connections to port 0 and to addresses that name no single machine.
#[tokio::test]
async fn entry_with_an_address_that_cannot_be_connected_to_names_no_target() {
    let (store, target, relay) = start().await;
    let addresses = ["127.0.0.1:0", "0.0.0.0:9", "224.0.0.1:9", "255.255.255.255:9", "[::]:9", "[ff02::1]:9"];
    for (index, address) in addresses.iter().enumerate() {
        let mut entry = with("Address", json!(address));
        entry["State"] = json!("ready");
        store.put(&format!("servers/odd{index}"), entry.to_string());
    }
    assert_follows(&store, &relay, &target).await;
    assert!((0..addresses.len()).all(|index| !has_target(&relay, &format!("odd{index}"))));
}

/// Guards against an entry VM that is unknown to others because another writer has spoiled its registration.
#[tokio::test]
async fn registration_that_another_writer_has_spoiled_is_written_again() {
    let (store, target, relay) = start().await;
    let key = "sniperelay-entry-vms/vm0";
    wait_until("the entry VM is registered", || store.get(key).is_some()).await;
    let own = store.get(key).unwrap().value;
    for spoiled in ["7", "{\"domain\":1}", "[[[[", "null"] {
        store.put(key, spoiled);
        wait_until(spoiled, || store.get(key).is_some_and(|object| object.value == own)).await;
    }
    store.put("sniperelay-crash-reports/odd", "{\"reports\":[{\"content\":1e999}]}");
    store.put("sniperelay-isolated/odd", "[[");
    assert_follows(&store, &relay, &target).await;
}

fn any_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        Just(json!(u32::MAX)),
        "\\PC{0,12}".prop_map(Value::from),
        "[0-9.:]{0,16}".prop_map(Value::from),
        "-?[0-9]{0,20}(ms|s)".prop_map(Value::from),
        Just(json!("draining")),
        Just(json!("127.0.0.1:9")),
    ];
    leaf.prop_recursive(6, 20, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::vec(("\\PC{0,4}", inner), 0..4).prop_map(Value::from_iter),
        ]
    })
}

/// An entry in which some fields have been replaced.
fn any_entry() -> impl Strategy<Value = Value> {
    let fields =
        ["Service", "Address", "Zone", "Version", "Slots", "State", "WarmupLeft", "Sequence", "born"];
    let replaced = prop::collection::vec((prop::sample::select(fields.to_vec()), any_value()), 0..4);
    prop_oneof![
        any_value(),
        replaced.prop_map(|replaced| {
            let mut entry = registration("127.0.0.1:9".parse().unwrap(), "draining");
            replaced.into_iter().for_each(|(field, value)| entry[field] = value);
            entry
        }),
    ]
}

/// Guards against any generated entry that ends the task that follows the targets, in lists and in watches.
#[tokio::test]
async fn generated_entries_do_not_end_the_watch_of_targets() {
    let (store, target, relay) = start().await;
    let mut runner = TestRunner::deterministic();
    for index in 0..GENERATED_ENTRIES {
        let entry = any_entry().new_tree(&mut runner).unwrap().current();
        store.put(&format!("servers/odd{}", index % 100), entry.to_string());
    }
    assert_follows(&store, &relay, &target).await;
    // A process that starts reads them in a list.
    let second = common::start_named_relay("vm1", store.address());
    wait_until("the second entry VM is ready", || second.state().is_ready()).await;
    wait_until("the sound target is used", || has_target(&second, "sound")).await;
}
