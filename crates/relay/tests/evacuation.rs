//! Tests of the evacuation of failure domains: requests, waiting requests and retries, the return, and the store.

mod common;

use common::{Caller, ScriptedAction, ScriptedTarget, body, config, header, registration, request, status};
use common::{sealed_response, start_bounded_relay};
use sniperelay_relay::RunningRelay;
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time within which an evacuation takes effect.
const BOUND: Duration = Duration::from_secs(5);
const BOUNDS: &str = r#"{"Grace":"1s","Evacuate":"5s"}"#;
/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);

fn respond(text: &str) -> ScriptedAction {
    ScriptedAction::Respond(sealed_response(text))
}

fn refuse() -> ScriptedAction {
    let text = "HTTP/1.1 503 Busy\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedAction::Respond(text.to_owned())
}

/// A store with targets, each in a failure domain of its own: `d0`, `d1`, and so on.
struct Deployment {
    store: Arc<PlatformStandin>,
    targets: Vec<Arc<ScriptedTarget>>,
}

impl Deployment {
    async fn start(scripts: Vec<Vec<ScriptedAction>>) -> Self {
        let store = PlatformStandin::start().await.unwrap();
        let mut targets = Vec::new();
        for (index, script) in scripts.into_iter().enumerate() {
            let target = ScriptedTarget::start(script).await;
            let mut entry = registration(target.address, "ready");
            entry["Zone"] = format!("d{index}").into();
            store.put(&format!("servers/i{index}"), entry.to_string());
            targets.push(target);
        }
        store.put("config/main", config("00000001").to_string());
        Self { store, targets }
    }

    async fn start_vm(&self, name: &str, seeds: &str) -> RunningRelay {
        let relay = start_bounded_relay(name, self.store.address(), seeds, BOUNDS, "");
        wait_until("the entry VM is ready", || relay.state().is_ready()).await;
        relay
    }

    fn received(&self, index: usize) -> usize {
        self.targets[index].received().len()
    }
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(HANG_LIMIT, poll).await.is_ok(), "never: {what}");
}

/// Returns the number of targets that may get requests.
fn usable_targets(relay: &RunningRelay) -> usize {
    let services = relay.state().services.load();
    services["s"]
        .dispatcher_handle
        .read(|dispatcher| dispatcher.targets().iter().filter(|(_, target)| target.is_usable()).count())
}

async fn send(relay: &RunningRelay, id: &str) -> String {
    let mut caller = Caller::open(relay.state().own_record().caller_address).await;
    caller.send(&request("GET", "/read/1", id, "")).await;
    caller.receive().await.expect("the connection was closed without a response")
}

#[tokio::test]
async fn requests_and_retries_avoid_an_evacuated_domain_until_it_is_taken_back() {
    let refusing = vec![respond("other"), refuse(), respond("other")];
    let deployment = Deployment::start(vec![vec![respond("evacuated")], refusing]).await;
    let relay = deployment.start_vm("vm", "").await;
    wait_until("both targets are usable", || usable_targets(&relay) == 2).await;
    deployment.store.put("evacuations/d0", "{}");
    deployment.store.put("evacuations/elsewhere", "not even JSON");
    wait_until("one target is left", || usable_targets(&relay) == 1).await;
    assert_eq!(body(&send(&relay, "a").await), "other");
    assert_ne!(status(&send(&relay, "b").await), 200, "the only other target has refused it");
    assert_eq!(body(&send(&relay, "c").await), "other");
    assert_eq!(deployment.received(0), 0);
    deployment.store.delete("evacuations/d0");
    wait_until("the domain is back", || usable_targets(&relay) == 2).await;
    while deployment.received(0) == 0 {
        send(&relay, "d").await;
    }
    assert_eq!(relay.state().metrics.process().evacuations.load(Ordering::Relaxed), 2);
}

/// The only domain: what waits is refused at once, with the time to come back; what runs ends normally.
#[tokio::test]
async fn waiting_requests_are_refused_at_once_where_there_is_no_other_domain() {
    let deployment = Deployment::start(vec![vec![ScriptedAction::Hold]]).await;
    let relay = deployment.start_vm("vm", "").await;
    wait_until("the target is usable", || usable_targets(&relay) == 1).await;
    let address = relay.state().own_record().caller_address;
    let send_in_background = |index: usize| {
        tokio::spawn(async move {
            let mut caller = Caller::open(address).await;
            caller.send(&request("GET", "/read/1", &format!("r{index}"), "")).await;
            (Instant::now(), caller.receive().await.unwrap())
        })
    };
    let calls: Vec<_> = (0..8).map(send_in_background).collect();
    wait_until("some requests run and others wait", || {
        let services = relay.state().services.load();
        let count = services["s"].dispatcher_handle.read(|dispatcher| dispatcher.request_count());
        deployment.received(0) > 0 && count == 8
    })
    .await;
    deployment.store.put("evacuations/d0", "{}");
    wait_until("no target is left", || usable_targets(&relay) == 0).await;
    let refused = send(&relay, "late").await;
    assert_eq!((status(&refused), header(&refused, "retry-after").as_deref()), (503, Some("1.000")));
    let running = deployment.received(0);
    assert!(running < 8);
    deployment.targets[0].release(running);
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(status(&call.await.unwrap().1));
    }
    let count = |expected| statuses.iter().filter(|status| **status == expected).count();
    assert_eq!((count(200), count(503)), (running, 8 - running), "{statuses:?}");
    assert_eq!(deployment.received(0), running);
    deployment.store.delete("evacuations/d0");
    wait_until("the domain is back", || usable_targets(&relay) == 1).await;
}

/// The copy from which the store returns lacks the evacuation: it stays in force, and the operator can take it back.
#[tokio::test]
async fn evacuation_does_not_go_back_with_the_store() {
    let deployment = Deployment::start(vec![vec![respond("evacuated")], vec![respond("other")]]).await;
    let relay = deployment.start_vm("vm", "").await;
    wait_until("both targets are usable", || usable_targets(&relay) == 2).await;
    let copy = deployment.store.take_copy();
    deployment.store.put("evacuations/d0", "{}");
    wait_until("one target is left", || usable_targets(&relay) == 1).await;
    deployment.store.restore(&copy);
    let revision = || relay.state().replica.copies().revision("evacuations/");
    let before = revision();
    wait_until("the copy has been read", || revision() >> 40 > before >> 40).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(usable_targets(&relay), 1);
    deployment.store.put("evacuations/d0", "{}");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(usable_targets(&relay), 1);
    deployment.store.delete("evacuations/d0");
    wait_until("the domain is back", || usable_targets(&relay) == 2).await;
}

#[tokio::test]
async fn process_that_starts_while_the_store_is_away_reads_evacuations_from_a_seed() {
    let deployment = Deployment::start(vec![vec![respond("evacuated")], vec![respond("other")]]).await;
    deployment.store.put("evacuations/d0", "{}");
    let first = deployment.start_vm("first", "").await;
    wait_until("one target is left", || usable_targets(&first) == 1).await;
    deployment.store.control.is_down.store(true, Ordering::Relaxed);
    let seed = first.state().settings.entry.control_address.to_string();
    let late = deployment.start_vm("late", &seed).await;
    for index in 0..10 {
        assert_eq!(body(&send(&late, &format!("r{index}")).await), "other");
    }
    assert_eq!(deployment.received(0), 0);
}

/// The readers are of a build that does not have the prefix, like those whose bounds contain no evacuation. Their followers
/// obey all the same, keep following them, and do not read the store in a herd.
#[tokio::test]
async fn followers_of_readers_without_the_prefix_obey_and_do_not_reject_them() {
    let deployment = Deployment::start(vec![vec![respond("evacuated")], vec![respond("other")]]).await;
    let start_earlier = |name| {
        let more = "[routing]\ncores = 1\n";
        start_bounded_relay(name, deployment.store.address(), "", r#"{"Grace":"1s"}"#, more)
    };
    let readers = ["old0", "old1", "old2"].map(start_earlier);
    let start = |index| {
        let name = format!("new{index}");
        start_bounded_relay(&name, deployment.store.address(), "", BOUNDS, "[routing]\ncores = 0.1\n")
    };
    let followers: Vec<RunningRelay> = (0..6).map(start).collect();
    let all = || readers.iter().chain(&followers);
    wait_until("all are ready and see each other", || {
        all().all(|relay| relay.state().is_ready() && relay.state().entry_vms.load().len() == 9)
    })
    .await;
    // Several times the period in which a reader that does not send the prefix is noticed.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let calls_before = deployment.store.control.calls.load(Ordering::Relaxed);
    deployment.store.put("evacuations/d0", "{}");
    tokio::time::sleep(BOUND).await;
    for relay in &followers {
        assert_eq!(usable_targets_of_domain(relay, &deployment, 0), 0);
        assert_eq!(relay.state().metrics.process().readers_rejected.load(Ordering::Relaxed), 0);
        assert!(!relay.state().replica.must_read_store(), "it reads everything from the store");
    }
    // Each follower has one call for the change and one for the next watch; the readers' checks come on top.
    let calls = deployment.store.control.calls.load(Ordering::Relaxed) - calls_before;
    assert!(calls < 120, "{calls} calls in {BOUND:?}");
}

fn usable_targets_of_domain(relay: &RunningRelay, deployment: &Deployment, index: usize) -> usize {
    let address = deployment.targets[index].address;
    let services = relay.state().services.load();
    services["s"].dispatcher_handle.read(|dispatcher| {
        let targets = dispatcher.targets().iter();
        targets.filter(|(_, target)| target.address == address && target.is_usable()).count()
    })
}
