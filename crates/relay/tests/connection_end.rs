//! Tests of the ends of caller connections: which requests get no response, and that this is counted.

mod common;

use common::{Caller, ScriptedAction, TestEnv, config, header, request, sealed_response, status};
use sniperelay_relay::shared_state::RelayState;
use socket2::SockRef;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn wait_for_count(counter: &AtomicU64, count: u64) {
    let reached = async {
        while counter.load(Ordering::Relaxed) < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), reached).await.expect("the event was not counted");
}

#[tokio::test]
async fn request_whose_caller_leaves_is_counted() {
    let env = TestEnv::start(vec![vec![ScriptedAction::Hold]]).await;
    let mut caller = env.connect().await;
    caller.send(&request("GET", "/read/1", "a", "")).await;
    while env.targets[0].received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    wait_for_count(&env.relay.state().metrics.process().requests_cancelled, 1).await;
}

#[tokio::test]
async fn request_behind_a_response_that_closes_the_connection_is_counted() {
    let env = TestEnv::start(vec![vec![ScriptedAction::Respond(sealed_response("ok"))]]).await;
    let mut caller = env.connect().await;
    caller.send(&request("GET", "/read/1", "a", "").replace("Host", "Connection: close\r\nHost")).await;
    assert_eq!(status(&caller.receive().await.unwrap()), 200);
    caller.send(&request("POST", "/claim/1", "b", "x")).await;
    drop(caller);
    let process = env.relay.state().metrics.process();
    wait_for_count(&process.requests_discarded, 1).await;
    assert_eq!(process.requests_cancelled.load(Ordering::Relaxed), 0);
    assert_eq!(env.targets[0].received().len(), 1);
}

async fn start_with_idle_timeout(idle_timeout: &str) -> TestEnv {
    let env = TestEnv::start(vec![vec![ScriptedAction::Respond(sealed_response("ok"))]]).await;
    set_idle_timeout(&env, 2, idle_timeout).await;
    env
}

async fn set_idle_timeout(env: &TestEnv, version: u64, idle_timeout: &str) {
    let mut config = config(&format!("{version:08x}"));
    config["Limits"]["IdleTimeout"] = idle_timeout.into();
    env.store.put("config/main", config.to_string());
    env.wait_until(|state| {
        state.routes.load().as_ref().is_some_and(|routes| routes.config.version == version)
    })
    .await;
}

/// Opens a connection, sends one claim on it and returns the connection and the response.
async fn use_once(env: &TestEnv) -> (Caller, String) {
    let mut caller = env.connect().await;
    caller.send(&request("POST", "/claim/1", "first", "x")).await;
    let response = caller.receive().await.unwrap();
    assert_eq!(status(&response), 200);
    (caller, response)
}

/// Sends a claim as a caller does that has not yet learned of the close, and asserts that the connection is reset
/// without the claim having been read.
async fn assert_not_read(state: &RelayState, caller: Caller) {
    let (stream, _) = caller.into_parts();
    let peer_ends = async {
        let mut byte = [0; 1];
        while stream.peek(&mut byte).await.is_ok_and(|count| count > 0) {}
    };
    tokio::time::timeout(Duration::from_secs(20), peer_ends).await.expect("the connection was not closed");
    let (crossing, socket) = (request("POST", "/claim/1", "crossing", "x"), SockRef::from(&stream));
    assert_eq!(socket.send(crossing.as_bytes()).unwrap(), crossing.len());
    let is_reset = async {
        while socket.take_error().unwrap().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let is_reset = tokio::time::timeout(Duration::from_secs(10), is_reset).await.is_ok();
    assert!(is_reset, "the claim was read, although it gets no response");
    assert_eq!(state.metrics.process().requests_discarded.load(Ordering::Relaxed), 0);
}

/// Guards against requests that are read and discarded when they cross the close of an idle connection: callers
/// repeat a claim only if it was not read.
#[tokio::test]
async fn request_that_crosses_an_idle_close_is_not_read() {
    let env = start_with_idle_timeout("300ms").await;
    let (caller, _) = use_once(&env).await;
    assert_not_read(env.relay.state(), caller).await;
}

/// Guards against the same loss when an idle connection ends for a new one.
#[tokio::test]
async fn request_that_crosses_the_end_for_another_connection_is_not_read() {
    let script = vec![vec![ScriptedAction::Respond(sealed_response("ok"))]];
    let env = TestEnv::start_configured(script, "[limits]\ncaller-connections = 1\n").await;
    let (caller, _) = use_once(&env).await;
    let (_other, _) = use_once(&env).await;
    assert_not_read(env.relay.state(), caller).await;
}

/// Guards against the same loss at the end of a planned stop.
#[tokio::test]
async fn request_that_crosses_the_end_of_a_planned_stop_is_not_read() {
    let env = start_with_idle_timeout("5s").await;
    let (caller, _) = use_once(&env).await;
    let state = env.relay.state().clone();
    let stop = tokio::spawn(env.relay.begin_shutdown().start_refusing().drain_connections());
    assert_not_read(&state, caller).await;
    assert!(stop.await.unwrap());
}

/// Guards against a response that is cut off by the reset of a request which crosses the close: a slow caller is still
/// receiving the response when its connection has been idle for too long, and sends the next request.
#[tokio::test]
async fn response_is_received_completely_although_a_request_crosses_the_close() {
    let body = "x".repeat(300_000);
    let env = TestEnv::start(vec![vec![ScriptedAction::Respond(sealed_response(&body))]]).await;
    set_idle_timeout(&env, 2, "300ms").await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut stream = socket.connect(env.relay.state().own_record().caller_address).await.unwrap();
    stream.write_all(request("GET", "/read/1", "slow", "").as_bytes()).await.unwrap();
    wait_for_count(&env.relay.state().metrics.process().connections_timed_out, 1).await;
    stream.write_all(request("GET", "/read/1", "crossing", "").as_bytes()).await.unwrap();
    let mut response = Vec::new();
    // The reset that follows the response is no fault.
    drop(stream.read_to_end(&mut response).await);
    assert!(response.ends_with(body.as_bytes()), "{} bytes were received", response.len());
}

/// Guards against callers that send on a connection which is about to be closed: each response states for how
/// long the connection may stay idle, and it stays open for longer than that.
#[tokio::test]
async fn responses_state_a_shorter_idle_time_than_the_timeout() {
    let env = start_with_idle_timeout("2500ms").await;
    let (mut caller, response) = use_once(&env).await;
    assert_eq!(header(&response, "keep-alive").as_deref(), Some("timeout=2"));
    tokio::time::sleep(Duration::from_millis(2100)).await;
    caller.send(&request("POST", "/claim/1", "second", "x")).await;
    assert_eq!(status(&caller.receive().await.expect("closed within the stated time")), 200);
}

/// No whole number of seconds is safe to state: the header is left out.
#[tokio::test]
async fn responses_state_no_idle_time_that_is_not_below_the_timeout() {
    let env = start_with_idle_timeout("1200ms").await;
    let (_caller, response) = use_once(&env).await;
    assert_eq!(header(&response, "keep-alive"), None);
}

/// Guards against a connection that is closed earlier than its last response has stated.
#[tokio::test]
async fn shorter_idle_timeout_does_not_shorten_the_stated_time() {
    let env = start_with_idle_timeout("3s").await;
    let (mut caller, response) = use_once(&env).await;
    assert_eq!(header(&response, "keep-alive").as_deref(), Some("timeout=2"));
    set_idle_timeout(&env, 3, "300ms").await;
    // An empty line before a request is ignored. The entry VM then waits anew.
    caller.send("\r\n").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    caller.send(&request("POST", "/claim/1", "second", "x")).await;
    assert_eq!(status(&caller.receive().await.expect("closed within the stated time")), 200);
}

/// Guards against connections that are closed by an idle timeout which no longer applies.
#[tokio::test]
async fn longer_idle_timeout_applies_to_idle_connections() {
    let env = start_with_idle_timeout("2s").await;
    let (mut caller, _) = use_once(&env).await;
    set_idle_timeout(&env, 3, "5s").await;
    tokio::time::sleep(Duration::from_millis(2500)).await;
    caller.send(&request("POST", "/claim/1", "second", "x")).await;
    assert_eq!(status(&caller.receive().await.expect("closed by an earlier timeout")), 200);
}
