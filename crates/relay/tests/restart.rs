//! Tests of what a process knows right after its start, and of two processes that hand over to each other.

mod common;

use common::{
    ScriptedAction, TestEnv, body, config, registration, request, sealed_response, start_named_relay, status,
};
use sniperelay_relay::RunningRelay;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

fn respond(text: &str) -> Vec<ScriptedAction> {
    vec![ScriptedAction::Respond(sealed_response(text))]
}

async fn wait_ready(relay: &RunningRelay) {
    while !relay.state().is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn send(relay: &RunningRelay, method: &str, id: &str) -> String {
    let mut caller = common::Caller::open(relay.state().own_record().caller_address).await;
    let (path, content) = if method == "POST" { ("/claim/1", "x") } else { ("/read/1", "") };
    caller.send(&request(method, path, id, content)).await;
    caller.receive().await.expect("the connection was closed without a response")
}

/// The first list of a process may be seconds old. What has left since then is not used, not even for the
/// first request after the process is ready; nor is a route that has been removed.
#[tokio::test]
async fn restarted_process_uses_no_target_that_has_left_before_its_start() {
    let env = TestEnv::start(vec![respond("left"), respond("gone"), respond("live")]).await;
    env.store.freeze_stale_lists();
    env.store.put("servers/i0", registration(env.targets[0].address, "draining").to_string());
    env.store.delete("servers/i1");
    let mut newer = config("00000002");
    newer["Routes"].as_object_mut().unwrap().remove("claim");
    env.store.put("config/main", newer.to_string());
    for round in 0..3 {
        let relay = start_named_relay(&format!("restarted-{round}"), env.store.address());
        wait_ready(&relay).await;
        for index in 0..10 {
            let response = send(&relay, "GET", &format!("{round}-{index}")).await;
            assert_eq!((status(&response), body(&response)), (200, "live"), "{response}");
        }
        assert_eq!(status(&send(&relay, "POST", "claim").await), 404, "a removed route was in use again");
    }
    let used: usize = env.targets[..2].iter().map(|target| target.received().len()).sum();
    assert_eq!(used, 0, "targets that had left were used");
}

/// A process is replaced by another one of the same name while it still runs. Both act for a while; each
/// request is still sent to one target once, and the two do not keep replacing each other's registration.
#[tokio::test]
async fn two_processes_of_one_name_send_each_request_once() {
    let env = TestEnv::start(vec![respond("a"), respond("b")]).await;
    let successor = start_named_relay("vm", env.store.address());
    wait_ready(&successor).await;
    let calls_before = env.store.control.calls.load(Ordering::Relaxed);
    for index in 0..20 {
        let relay = if index % 2 == 0 { &env.relay } else { &successor };
        assert_eq!(status(&send(relay, "POST", &format!("claim-{index}")).await), 200);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let ids: Vec<String> = env
        .targets
        .iter()
        .flat_map(|target| target.received())
        .filter_map(|received| common::header(&received, "x-request-id"))
        .collect();
    let distinct: BTreeSet<&String> = ids.iter().collect();
    assert_eq!((ids.len(), distinct.len()), (20, 20), "a claim was sent twice or not at all");
    let calls = env.store.control.calls.load(Ordering::Relaxed) - calls_before;
    assert!(calls <= 30, "{calls} calls to the store within 3 s");
}
