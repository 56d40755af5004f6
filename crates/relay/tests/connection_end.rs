//! Tests of the ends of caller connections: which requests get no response, and that this is counted.

mod common;

use common::{ScriptedAction, TestEnv, request, sealed_response, status};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

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
