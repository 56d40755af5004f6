//! Tests of the shares of client accounts in a queue, from the API key to the target, over real sockets.

mod common;

use common::{Caller, ScriptedAction, TestEnv, config, status};
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const SLOTS: usize = 4;
const QUEUED: usize = 4;
/// Timeout after which a missing event fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(20);

async fn send(env: &TestEnv, key: &str, path: &str) -> Caller {
    let mut caller = env.connect().await;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id\r\nX-Deadline-Ms: 60000\r\nX-Credential: {key}\r\n\r\n"
    );
    caller.send(&request).await;
    caller
}

async fn wait_for(env: &TestEnv, received: usize, queued: usize) {
    let wait = env.wait_until(|state| {
        let services = state.services.load();
        let stats = services["s"].dispatcher_handle.read(|dispatcher| dispatcher.stats(0, Instant::now()));
        env.targets[0].received().len() == received && stats.queued_total == queued
    });
    tokio::time::timeout(HANG_LIMIT, wait).await.expect("the requests are not there");
}

/// Load pattern: one account occupies all slots and queues requests; those of another account with three times its limit come
/// after them.
#[tokio::test]
async fn waiting_requests_are_served_by_the_limits_of_their_accounts() {
    let env = TestEnv::start(vec![vec![ScriptedAction::Hold]]).await;
    let mut keyed = config("00000002");
    for field in ["Timeout", "TargetLatency"] {
        keyed["Routes"]["read"][field] = "60s".into();
    }
    keyed["Tenants"] = json!({
        "first": {"ApiKeys": ["first-key"], "RatePerS": 10_000},
        "second": {"ApiKeys": ["second-key"], "RatePerS": 30_000},
    });
    env.store.put("config/main", keyed.to_string());
    env.wait_until(|state| state.routes.load().as_ref().is_some_and(|routes| routes.accounts.is_some()))
        .await;
    // The entry VM owns the limits. They are so high that they refuse nothing.
    env.wait_until(|state| {
        let is_settled = state.is_membership_settled.load(Ordering::Relaxed);
        is_settled && state.account_quotas.fleet().candidates.len() == 1
    })
    .await;
    let mut callers = Vec::new();
    for _ in 0..SLOTS {
        callers.push(send(&env, "first-key", "/read/held").await);
    }
    wait_for(&env, SLOTS, 0).await;
    for (key, path, queued) in
        [("first-key", "/read/first", QUEUED), ("second-key", "/read/second", 2 * QUEUED)]
    {
        for _ in 0..QUEUED {
            callers.push(send(&env, key, path).await);
        }
        wait_for(&env, SLOTS, queued).await;
    }
    env.targets[0].release(SLOTS);
    wait_for(&env, 2 * SLOTS, 2 * QUEUED - SLOTS).await;
    let received = env.targets[0].received();
    let of_second = received[SLOTS..].iter().filter(|request| request.contains("/read/second")).count();
    assert_eq!(of_second, 3, "of the first four that were served");
    env.targets[0].release(2 * QUEUED);
    for caller in &mut callers {
        let response = tokio::time::timeout(HANG_LIMIT, caller.receive()).await.expect("no response in time");
        assert_eq!(status(&response.expect("the connection was closed")), 200);
    }
}
