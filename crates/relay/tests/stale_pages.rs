//! Tests of a process that starts while the pages of a list of the store differ in age.

mod common;

use common::{ScriptedAction, ScriptedTarget, body, config, registration, sealed_response, status};
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Objects on one page of a list of the stand-in.
const PAGE_ITEMS: usize = 50;
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
