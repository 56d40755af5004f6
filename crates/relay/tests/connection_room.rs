//! Tests of the limit of caller connections over real sockets: who is served, refused or closed at the limit.
//!
//! The limit is 4 and the reserve 4: two connections may end, and two be at their first request at the same time.

mod common;

use common::{Caller, ScriptedAction, TestEnv, config, header, request, sealed_response, status};
use serde_json::json;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const LIMIT: usize = 4;
const SETTINGS: &str = "[limits]\ncaller-connections = 4\n";
/// Timeout after which a caller without a response fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(20);

async fn start(action: ScriptedAction) -> TestEnv {
    TestEnv::start_configured(vec![vec![action]], SETTINGS).await
}

async fn receive(caller: &mut Caller) -> Option<String> {
    tokio::time::timeout(HANG_LIMIT, caller.receive()).await.expect("neither a response nor a close")
}

/// Sends a request on a new connection and returns both.
async fn ask(env: &TestEnv, id: &str) -> (Caller, Option<String>) {
    let mut caller = env.connect().await;
    caller.send(&request("GET", "/read/1", id, "")).await;
    let response = receive(&mut caller).await;
    (caller, response)
}

/// Opens as many connections as the limit allows, each with a request that its target holds.
async fn fill_with_busy(env: &TestEnv) -> Vec<Caller> {
    let mut callers = Vec::new();
    for index in 0..LIMIT {
        let mut caller = env.connect().await;
        caller.send(&request("GET", "/read/1", &format!("busy-{index}"), "")).await;
        callers.push(caller);
        while env.targets[0].received().len() <= index {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    callers
}

async fn wait_for_provisional(env: &TestEnv, count: usize) {
    let wait = env.wait_until(|state| state.connection_room.counts().provisional == count);
    tokio::time::timeout(HANG_LIMIT, wait).await.expect("connections are not at their first request");
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Guards against new callers that are cut while other connections are merely kept open.
#[tokio::test]
async fn idle_connection_makes_room_for_a_new_one() {
    let env = start(ScriptedAction::Respond(sealed_response("ok"))).await;
    let mut kept = Vec::new();
    for index in 0..LIMIT {
        let (caller, response) = ask(&env, &format!("kept-{index}")).await;
        assert_eq!(status(&response.expect("below the limit")), 200);
        kept.push(caller);
    }
    let (_new, response) = ask(&env, "new").await;
    assert_eq!(status(&response.expect("the new caller was cut")), 200);
    assert_eq!(receive(&mut kept[0]).await, None, "the connection that was idle for longest ends");
    for caller in &mut kept[1..] {
        caller.send(&request("GET", "/read/1", "again", "")).await;
        assert_eq!(status(&receive(caller).await.expect("a second connection ended")), 200);
    }
    let process = env.relay.state().metrics.process();
    assert_eq!((count(&process.connections_ended), count(&process.connections_cut)), (1, 0));
}

/// Guards against new callers that are cut unread, and ask again at once on new connections.
#[tokio::test]
async fn new_caller_is_refused_in_time_while_all_connections_are_busy() {
    let env = start(ScriptedAction::Hold).await;
    let mut busy = fill_with_busy(&env).await;
    let (_refused, response) = ask(&env, "new").await;
    let response = response.expect("the new caller was cut");
    assert_eq!(status(&response), 503, "{response}");
    assert_eq!(header(&response, "sniperelay-reason").as_deref(), Some("connection-limit"));
    assert_eq!(header(&response, "connection").as_deref(), Some("close"));
    assert!(header(&response, "retry-after").is_some(), "{response}");
    env.targets[0].release(LIMIT + 1);
    for caller in &mut busy {
        assert_eq!(status(&receive(caller).await.unwrap()), 200);
    }
    let (_later, response) = ask(&env, "later").await;
    assert_eq!(status(&response.unwrap()), 200);
    assert_eq!(env.targets[0].received().len(), LIMIT + 1, "the refused request must not run");
}

/// Guards against memory for bodies of requests that are refused, and against a response that is lost because the caller is
/// still sending.
#[tokio::test]
async fn upload_at_the_limit_is_refused_without_its_body() {
    let env = start(ScriptedAction::Hold).await;
    let _busy = fill_with_busy(&env).await;
    let mut upload = env.connect().await;
    let text = request("POST", "/claim/1", "upload", &"x".repeat(900));
    let (first, rest) = text.split_at(text.len() - 500);
    upload.send(first).await;
    let response = receive(&mut upload).await.expect("the upload was cut");
    assert_eq!(status(&response), 503, "{response}");
    assert_eq!(env.relay.state().request_memory.used(), 0);
    upload.send(rest).await;
    assert_eq!(receive(&mut upload).await, None);
}

/// Guards against descriptors that run out: connections beyond the reserve are closed unread, and those that send nothing
/// return their places.
#[tokio::test]
async fn silent_connections_at_the_limit_return_their_places() {
    let env = start(ScriptedAction::Hold).await;
    let _busy = fill_with_busy(&env).await;
    let mut silent = [env.connect().await, env.connect().await];
    wait_for_provisional(&env, 2).await;
    let mut cut = env.connect().await;
    assert_eq!(receive(&mut cut).await, None);
    assert_eq!(count(&env.relay.state().metrics.process().connections_cut), 1);
    for caller in &mut silent {
        assert_eq!(receive(caller).await, None);
    }
    drop(silent);
    wait_for_provisional(&env, 0).await;
    let (_new, response) = ask(&env, "new").await;
    assert_eq!(status(&response.expect("the new caller was cut")), 503);
}

/// Guards against an account whose connections close the door for the others. All callers have the same address.
#[tokio::test]
async fn account_with_all_connections_hears_the_refusals_and_another_one_is_served() {
    let env = start(ScriptedAction::Hold).await;
    let mut keyed = config("00000002");
    keyed["Tenants"] = json!({"large": {"ApiKeys": ["large-key"]}, "small": {"ApiKeys": ["small-key"]}});
    env.store.put("config/main", keyed.to_string());
    env.wait_until(|state| state.routes.load().as_ref().is_some_and(|routes| routes.accounts.is_some()))
        .await;
    let keyed_request = |key: &str| {
        request("GET", "/read/1", "id", "").replace("Host", &format!("X-Credential: {key}\r\nHost"))
    };
    let mut served = Vec::new();
    for index in 0..LIMIT {
        let mut caller = env.connect().await;
        caller.send(&keyed_request("large-key")).await;
        served.push(caller);
        while env.targets[0].received().len() <= index {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let mut small = env.connect().await;
    small.send(&keyed_request("small-key")).await;
    let is_open = env.wait_until(|state| state.connection_room.counts().open == LIMIT + 1);
    tokio::time::timeout(HANG_LIMIT, is_open).await.expect("the small account is not served");
    let mut refused = env.connect().await;
    refused.send(&keyed_request("large-key")).await;
    let response = receive(&mut refused).await.expect("the caller was cut");
    assert_eq!(status(&response), 503, "{response}");
    served.push(small);
    env.targets[0].release(LIMIT + 1);
    for caller in &mut served {
        assert_eq!(status(&receive(caller).await.expect("a caller was cut")), 200);
    }
}
