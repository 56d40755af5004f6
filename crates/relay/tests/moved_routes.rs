//! Tests of requests that are at a service when a configuration moves its routes away.

mod common;

use common::{
    ScriptedAction, ScriptedTarget, TestEnv, body, config, registration, request, sealed_response, status,
};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Timeout after which a change that does not take effect fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(10);
/// Requests before the test proper: so many that the budget for repeats is full.
const WARM_UP_REQUESTS: usize = 60;

/// Returns a configuration whose routes lead to the service "t".
fn moved_config(version: &str) -> Value {
    let mut moved = config(version);
    moved["Services"]["t"] = moved["Services"]["s"].clone();
    for route in ["read", "claim"] {
        moved["Routes"][route]["Service"] = "t".into();
    }
    moved
}

fn refusal(headers: &str) -> ScriptedAction {
    ScriptedAction::Respond(format!(
        "HTTP/1.1 503 Busy\r\nX-Request-Id: {{id}}\r\nX-Not-Executed: 1\r\n{headers}Content-Length: 0\r\n\r\n"
    ))
}

/// Registers a target of the service "t", which responds with "moved".
async fn start_moved_target(env: &TestEnv) -> Arc<ScriptedTarget> {
    let target = ScriptedTarget::start(vec![ScriptedAction::Respond(sealed_response("moved"))]).await;
    let mut entry = registration(target.address, "ready");
    entry["Service"] = "t".into();
    env.store.put("servers/moved", entry.to_string());
    target
}

/// Writes a configuration and waits until it is active.
async fn apply_config(env: &TestEnv, config: &Value) {
    env.store.put("config/main", config.to_string());
    let version = u64::from_str_radix(config["Version"].as_str().unwrap(), 16).unwrap();
    env.wait_until(|state| {
        state.routes.load().as_ref().is_some_and(|routes| routes.config.version == version)
    })
    .await;
}

/// Sends a request on a connection of its own. Returns the task that waits for the response.
async fn send(env: &TestEnv, method: &str, path: &str) -> JoinHandle<String> {
    let mut caller = env.connect().await;
    caller.send(&request(method, path, &format!("{method}{path}"), "")).await;
    tokio::spawn(async move { caller.receive().await.expect("the connection was closed without a response") })
}

/// Sends requests that occupy all slots of the first target, which holds its responses.
async fn fill_first_target(env: &TestEnv) -> Vec<JoinHandle<String>> {
    let before = env.targets[0].received().len();
    let mut held = Vec::new();
    for index in 0..4 {
        held.push(send(env, "GET", &format!("/read/held-{index}")).await);
    }
    env.wait_until(|_| env.targets[0].received().len() == before + 4).await;
    held
}

/// Guards against requests to a leaving target (DRAIN, moved-route of the review): a service without a route got no further
/// lists of its targets, while requests still waited there.
#[tokio::test]
async fn service_without_a_route_learns_which_targets_leave() {
    let env = TestEnv::start(vec![vec![ScriptedAction::Respond(sealed_response("ok"))]]).await;
    let (entry, address) = (env.relay.state().services.load()["s"].clone(), env.targets[0].address);
    apply_config(&env, &moved_config("00000002")).await;
    env.store.put("servers/i0", registration(address, "draining").to_string());
    let is_usable = || {
        entry.dispatcher_handle.read(|dispatcher| {
            let key = dispatcher.targets().find(address);
            key.and_then(|key| dispatcher.targets().get(key)).is_some_and(|target| target.is_usable())
        })
    };
    let learned = env.wait_until(|_| !is_usable());
    tokio::time::timeout(HANG_LIMIT, learned)
        .await
        .expect("the service does not learn that its target leaves");
}

/// A request that is to be repeated stays at its service when its route moves away.
#[tokio::test]
async fn repeat_at_a_service_without_a_route_avoids_targets_that_leave() {
    let mut script = vec![ScriptedAction::Respond(sealed_response("ok")); WARM_UP_REQUESTS];
    script.push(ScriptedAction::Hold);
    let env = TestEnv::start(vec![script]).await;
    for _ in 0..WARM_UP_REQUESTS {
        assert_eq!(status(&env.send_request("GET", "/read/1").await), 200);
    }
    let held = fill_first_target(&env).await;
    let refusing = ScriptedTarget::start(vec![refusal("")]).await;
    env.store.put("servers/refusing", registration(refusing.address, "ready").to_string());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let repeated = send(&env, "GET", "/read/repeated").await;
    env.wait_until(|_| refusing.received().len() == 1).await;
    apply_config(&env, &moved_config("00000002")).await;
    let leaving = registration(env.targets[0].address, "draining").to_string();
    let revision = env.store.put("servers/i0", leaving);
    let has_change = |revisions: &std::collections::BTreeMap<String, u64>| {
        revisions.get("servers/").is_some_and(|reached| *reached >= revision)
    };
    env.wait_until(|state| has_change(&state.replica.revisions())).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!repeated.is_finished(), "the request does not wait to be repeated");
    env.targets[0].release(4);
    for response in held {
        assert_eq!(status(&response.await.unwrap()), 200);
    }
    assert_eq!(status(&repeated.await.unwrap()), 503);
    assert_eq!(env.targets[0].received().len(), WARM_UP_REQUESTS + 4, "a leaving target got a request");
}

/// Guards against requests to a target that has asked for a pause: its service lost its route and began anew with the next
/// one.
#[tokio::test]
async fn service_keeps_its_state_while_it_has_no_route() {
    let env = TestEnv::start(vec![vec![refusal("Retry-After: 30\r\n")]]).await;
    let moved = start_moved_target(&env).await;
    assert_eq!(status(&env.send_request("GET", "/read/1").await), 503);
    apply_config(&env, &moved_config("00000002")).await;
    env.wait_until(|state| state.services.load().contains_key("t")).await;
    while status(&env.send_request("GET", "/read/1").await) != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    apply_config(&env, &config("00000003")).await;
    for _ in 0..5 {
        assert_eq!(status(&env.send_request("GET", "/read/1").await), 503);
    }
    assert_eq!(env.targets[0].received().len(), 1, "the target had asked for 30 s without requests");
    assert_eq!(moved.received().len(), 1);
}

/// Starts an entry VM whose only target has all slots occupied, and sends a request that waits for one of them.
async fn start_with_waiting(
    method: &str,
    path: &str,
) -> (TestEnv, Vec<JoinHandle<String>>, JoinHandle<String>) {
    let env = TestEnv::start(vec![vec![ScriptedAction::Hold]]).await;
    let held = fill_first_target(&env).await;
    let waiting = send(&env, method, path).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    (env, held, waiting)
}

/// Guards against requests that wait for a service until their deadline although their route leads to another one.
#[tokio::test]
async fn waiting_requests_follow_their_route_and_others_stay() {
    for (method, path) in [("GET", "/read/waiting"), ("POST", "/claim/waiting")] {
        let (env, held, waiting) = start_with_waiting(method, path).await;
        let moved = start_moved_target(&env).await;
        apply_config(&env, &moved_config("00000002")).await;
        let response = waiting.await.unwrap();
        assert_eq!((status(&response), body(&response)), (200, "moved"), "{response}");
        assert_eq!(moved.received().len(), 1);
        // The requests that the target works on are answered there.
        env.targets[0].release(4);
        for response in held {
            let response = response.await.unwrap();
            assert_eq!((status(&response), body(&response)), (200, "held"));
        }
        assert_eq!(env.targets[0].received().len(), 4);
    }
}

/// A waiting request whose route is dropped gets the response that it would get if it arrived then.
#[tokio::test]
async fn waiting_request_without_a_route_is_refused() {
    let (env, held, waiting) = start_with_waiting("POST", "/claim/waiting").await;
    let mut dropped = config("00000002");
    dropped["Routes"].as_object_mut().unwrap().remove("claim");
    apply_config(&env, &dropped).await;
    assert_eq!(status(&waiting.await.unwrap()), 404);
    env.targets[0].release(4);
    for response in held {
        assert_eq!(status(&response.await.unwrap()), 200);
    }
    assert_eq!(env.targets[0].received().len(), 4);
}

/// A route that leads to its service for a part of the requests only does not move those that wait there.
#[tokio::test]
async fn waiting_request_stays_if_its_route_still_leads_to_the_service() {
    let (env, held, waiting) = start_with_waiting("GET", "/read/waiting").await;
    let moved = start_moved_target(&env).await;
    let mut split = moved_config("00000002");
    let read = split["Routes"]["read"].as_object_mut().unwrap();
    read.remove("Service");
    read.insert(
        "WeightedServices".to_owned(),
        json!([{"Service": "s", "Weight": 10}, {"Service": "t", "Weight": 90}]),
    );
    apply_config(&env, &split).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    env.targets[0].release(5);
    for response in held {
        assert_eq!(status(&response.await.unwrap()), 200);
    }
    let response = waiting.await.unwrap();
    assert_eq!((status(&response), body(&response)), (200, "held"), "{response}");
    assert_eq!(moved.received().len(), 0);
}
