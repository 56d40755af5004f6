//! Tests of cold targets with real processes: what health responses state, over several entry VMs, and the end of it.

mod common;

use common::{Caller, ScriptedAction, ScriptedTarget, config, header, registration, request, status};
use common::{sealed_response, start_bounded_relay};
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const BOUNDS: &str = r#"{"Grace":"1s","WarmupOverrun":1.5,"WarmupSlack":8}"#;
/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(HANG_LIMIT, poll).await.is_ok(), "never: {what}");
}

fn is_cold(relay: &RunningRelay) -> bool {
    let services = relay.state().services.load();
    services["s"]
        .dispatcher_handle
        .read(|dispatcher| dispatcher.targets().iter().any(|(_, target)| target.is_cold()))
}

/// Starts a target, which is registered as warm, and two entry VMs, its homes.
async fn start(per_second: Option<f64>) -> (Arc<ScriptedTarget>, Vec<RunningRelay>, Arc<PlatformStandin>) {
    let target = ScriptedTarget::start(vec![ScriptedAction::Respond(sealed_response("ok"))]).await;
    let store = PlatformStandin::start().await.unwrap();
    let mut config = config("00000001");
    if let Some(per_second) = per_second {
        config["Services"]["s"]["Warmup"] = "3s".into();
        config["Services"]["s"]["WarmupPerS"] = per_second.into();
    }
    store.put("servers/i", registration(target.address, "ready").to_string());
    store.put("config/main", config.to_string());
    let relays: Vec<RunningRelay> =
        ["vm0", "vm1"].map(|name| start_bounded_relay(name, store.address(), "", BOUNDS, "")).into();
    wait_until("both entry VMs are ready and see each other", || {
        let is_settled = |relay: &RunningRelay| {
            let state = relay.state();
            let is_settled = state.is_membership_settled.load(Ordering::Relaxed);
            state.is_ready() && is_settled && state.entry_vms.load().len() == 2
        };
        relays.iter().all(is_settled)
    })
    .await;
    (target, relays, store)
}

/// Sends 50 requests a second to each entry VM. Returns the responses.
async fn send_steadily(relays: &[RunningRelay], time: Duration) -> Vec<String> {
    let end = tokio::time::Instant::now() + time;
    let mut calls = Vec::new();
    while tokio::time::Instant::now() < end {
        for relay in relays {
            let address = relay.state().own_record().caller_address;
            let id = format!("r{}", calls.len());
            calls.push(tokio::spawn(async move {
                let mut caller = Caller::open(address).await;
                caller.send(&request("GET", "/read/1", &id, "")).await;
                caller.receive().await.unwrap()
            }));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await.unwrap());
    }
    responses
}

/// Sends requests until a condition comes true.
async fn send_until(relays: &[RunningRelay], what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            send_steadily(relays, Duration::from_millis(20)).await;
        }
    };
    assert!(tokio::time::timeout(HANG_LIMIT, poll).await.is_ok(), "never: {what}");
}

/// The target turns cold without a restart, and the store still shows it as warm.
#[tokio::test]
async fn entry_vms_together_stay_within_the_limit_of_a_cold_target() {
    let (target, relays, _store) = start(Some(8.8)).await;
    assert!(send_steadily(&relays, Duration::from_millis(300)).await.iter().all(|text| status(text) == 200));
    target.warm_up_ms.store(3000, Ordering::Relaxed);
    send_until(&relays, "all take the target for cold", || relays.iter().all(is_cold)).await;
    let before = target.received().len();
    let responses = send_steadily(&relays, Duration::from_secs(2)).await;
    // The last ones wait until their deadline, for 1.5 s more: 3.5 s with 8.8 per second, and one of each entry VM.
    let served = target.received().len() - before;
    assert!((10..=33).contains(&served), "{served} requests");
    let refused: Vec<&String> = responses.iter().filter(|text| status(text) == 503).collect();
    assert!(refused.len() > 100, "{} requests refused", refused.len());
    assert!(refused.iter().all(|text| header(text, "retry-after").is_some()));
    let process = relays[0].state().metrics.process();
    assert!(process.targets_turned_cold.load(Ordering::Relaxed) >= 1);
    assert!(process.requests_withheld.load(Ordering::Relaxed) > 50);
    target.warm_up_ms.store(0, Ordering::Relaxed);
    send_until(&relays, "all take the target for warm", || !relays.iter().any(is_cold)).await;
    assert!(send_steadily(&relays, Duration::from_millis(300)).await.iter().all(|text| status(text) == 200));
    assert!(process.targets_turned_warm.load(Ordering::Relaxed) >= 1);
}

/// Without a policy, what health responses state changes nothing.
#[tokio::test]
async fn without_a_policy_all_requests_are_served() {
    let (target, relays, _store) = start(None).await;
    target.warm_up_ms.store(3000, Ordering::Relaxed);
    let responses = send_steadily(&relays, Duration::from_secs(1)).await;
    assert!(responses.iter().all(|text| status(text) == 200));
    assert!(!relays.iter().any(is_cold));
}
