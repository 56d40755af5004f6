//! Tests of a process that starts while the pages of a list of the store differ in age.

mod common;

use common::{ScriptedAction, ScriptedTarget, body, config, registration, sealed_response, status};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Objects on one page of a list of the stand-in.
const PAGE_ITEMS: usize = 50;
/// Entries that change at random: so many that most are not written again after a process has listed them.
const CHANGED_ENTRIES: u32 = 80;
/// Timeout after which a process that does not become ready fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);

async fn wait_ready(relay: &RunningRelay) {
    let poll = async {
        while !relay.state().is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, poll).await.expect("the process is not ready");
}

async fn send_read(relay: &RunningRelay, id: &str) -> String {
    let mut caller = common::Caller::open(relay.state().own_record().caller_address).await;
    caller.send(&common::request("GET", "/read/1", id, "")).await;
    caller.receive().await.expect("the connection was closed without a response")
}

async fn start_target(text: &str) -> Arc<ScriptedTarget> {
    ScriptedTarget::start(vec![ScriptedAction::Respond(sealed_response(text))]).await
}

/// Writes targets that fill the first page of a list. None of them belongs to a service in use.
fn fill_first_page(store: &PlatformStandin) {
    for index in 0..PAGE_ITEMS {
        let address: SocketAddr = format!("127.0.0.1:{}", 10_000 + index).parse().unwrap();
        let mut entry = registration(address, "ready");
        entry["Service"] = "other".into();
        store.put(&format!("servers/a{index:03}"), entry.to_string());
    }
}

/// Guards against requests to a target that had announced its leaving before the process started (review/5): its entry
/// was on a page that was older than the first one, whose revision was taken for that of the whole list.
#[tokio::test]
async fn leaving_target_on_an_older_page_is_not_used() {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    fill_first_page(&store);
    let (leaving, gone, live) =
        (start_target("leaving").await, start_target("gone").await, start_target("live").await);
    for (name, target) in [("i0", &leaving), ("i1", &gone), ("i2", &live)] {
        store.put(&format!("servers/{name}"), registration(target.address, "ready").to_string());
    }
    let old_state = store.take_copy();
    store.put("servers/i0", registration(leaving.address, "draining").to_string());
    store.delete("servers/i1");
    let present_state = store.take_copy();
    for states in [[&present_state, &old_state], [&old_state, &present_state]] {
        store.set_stale_states("servers/", states.map(Clone::clone).to_vec());
        let relay = common::start_relay(store.address());
        wait_ready(&relay).await;
        for index in 0..20 {
            let response = send_read(&relay, &format!("id-{index}")).await;
            assert_eq!((status(&response), body(&response)), (200, "live"), "{response}");
        }
        relay.shutdown().await;
    }
    assert_eq!(leaving.received().len() + gone.received().len(), 0, "targets that had left were used");
}

/// Guards against a process that lists again and again, or never becomes ready, because the store no longer has the
/// changes that an older page lacks.
#[tokio::test]
async fn pages_older_than_the_history_lead_to_an_up_to_date_list() {
    let store = PlatformStandin::start().await.unwrap();
    store.put("config/main", config("00000001").to_string());
    fill_first_page(&store);
    let (leaving, live) = (start_target("leaving").await, start_target("live").await);
    store.put("servers/i0", registration(leaving.address, "ready").to_string());
    store.put("servers/i1", registration(live.address, "ready").to_string());
    let old_state = store.take_copy();
    store.put("servers/i0", registration(leaving.address, "draining").to_string());
    store.discard_changes();
    store.set_stale_states("servers/", vec![store.take_copy(), old_state]);
    let relay = common::start_relay(store.address());
    wait_ready(&relay).await;
    for index in 0..20 {
        assert_eq!(body(&send_read(&relay, &format!("id-{index}")).await), "live");
    }
    assert_eq!(leaving.received().len(), 0, "a target that was leaving was used");
}

/// Objects of a prefix, as a reader of the copy of an entry VM sees them.
fn copied_versions(relay: &RunningRelay) -> Option<BTreeMap<String, u64>> {
    let list = relay.state().replica.snapshot("servers/")?;
    Some(list.items.into_iter().map(|item| (item.key, item.version)).collect())
}

/// Watches the copy of an entry VM until it equals the store. Fails if an object returns to an earlier version.
async fn follow_copy(relay: &RunningRelay, store: &PlatformStandin) {
    let mut latest: BTreeMap<String, u64> = BTreeMap::new();
    let poll = async {
        loop {
            let copied = copied_versions(relay);
            for (key, version) in copied.iter().flatten() {
                let highest = latest.entry(key.clone()).or_default();
                assert!(*highest <= *version, "{key} went back from {highest} to {version}");
                *highest = *version;
            }
            let stored = store.list("servers/").1.into_iter().map(|object| (object.key, object.version));
            if copied == Some(stored.collect()) && store.keys("servers/last") == ["servers/last"] {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, poll).await.expect("the copy does not equal the store");
}

/// Writes and deletes entries at random, while the store sometimes discards its history.
async fn change_entries(store: &PlatformStandin, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for number in 0..150 {
        let key = format!("servers/t{:02}", rng.random_range(0..CHANGED_ENTRIES));
        let entry = registration(SocketAddr::from(([127, 0, 0, 1], 9000 + number)), "ready").to_string();
        match rng.random_range(0..20) {
            // A later one would lead to an up-to-date list that hides what a copy lacks.
            0 if number < 50 => store.discard_changes(),
            1..6 => store.delete(&key),
            _ => drop(store.put(&key, entry)),
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..12))).await;
    }
    store.put("servers/last", "{}");
}

/// Guards against copies that miss changes, or go back, whatever the ages of the pages of a list, for entry VMs that start
/// while entries change and the store's history is short.
#[tokio::test]
async fn copies_equal_the_store_and_never_go_back() {
    for seed in 1..4 {
        let store = PlatformStandin::start().await.unwrap();
        store.set_page_items(2);
        store.answer_stale_lists_from(Duration::from_millis(400), seed);
        store.put("config/main", config("00000001").to_string());
        let change = change_entries(&store, seed);
        let start_and_follow = |index: u64| {
            let store = store.clone();
            async move {
                tokio::time::sleep(Duration::from_millis(250 + 150 * index)).await;
                let relay = common::start_named_relay(&format!("vm{index}"), store.address());
                follow_copy(&relay, &store).await;
                relay
            }
        };
        let follow = futures_util::future::join_all((0..4).map(start_and_follow));
        let (_, relays) = tokio::join!(change, follow);
        drop(relays);
    }
}
