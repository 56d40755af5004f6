//! Tests of a store that returns from an older copy: revisions are given out again, and what was written since the
//! copy is gone until its writers write it again.

mod common;

use common::{
    ScriptedAction, TestEnv, body, config, registration, sealed_response, start_named_relay, status,
};
use sniperelay_platform::api::{history_of, revision_of, version_in_history};
use sniperelay_relay::RunningRelay;
use sniperelay_relay::shared_state::RelayState;
use sniperelay_relay::sync_progress::{NextRead, SyncProgress};
use std::sync::atomic::Ordering;
use std::time::Duration;

fn respond(text: &str) -> Vec<ScriptedAction> {
    vec![ScriptedAction::Respond(sealed_response(text))]
}

fn version(state: &RelayState) -> u64 {
    state.routes.load().as_ref().map_or(0, |routes| routes.config.version)
}

fn usable_targets(state: &RelayState) -> usize {
    let services = state.services.load();
    services["s"]
        .dispatcher_handle
        .read(|dispatcher| dispatcher.targets().iter().filter(|(_, target)| target.is_usable()).count())
}

#[test]
fn versions_of_a_later_history_are_higher() {
    let before = version_in_history(1, 900);
    let after = version_in_history(2, 3);
    assert!(after > before);
    assert_eq!((history_of(after), revision_of(after)), (2, 3));
    assert_eq!(version_in_history(0, 900), 900, "stores without a history are as before");
}

#[test]
fn lower_revision_of_a_new_history_is_not_taken_for_an_old_read() {
    let mut progress = SyncProgress::default();
    assert!(progress.accept_list(version_in_history(1, 500), false));
    progress.accept_changes(version_in_history(1, 900));
    progress.lose_history();
    assert_eq!(progress.next_read(), NextRead::FreshList);
    let returned = version_in_history(2, 400);
    assert!(progress.begins_history(returned) && progress.accept_list(returned, false));
    assert!(progress.is_restored(version_in_history(2, 300)), "an entry of the copy");
    assert!(!progress.is_restored(version_in_history(2, 401)), "an entry that was written since");
    assert!(!progress.accept_list(version_in_history(1, 950), true), "a reader that has not noticed yet");
}

/// The first list of a process begins no new history, however high its number.
#[test]
fn first_list_is_not_restored() {
    let mut progress = SyncProgress::default();
    assert!(!progress.begins_history(version_in_history(7, 5)));
    assert!(progress.accept_list(version_in_history(7, 5), false));
    assert!(!progress.is_restored(version_in_history(7, 5)));
}

#[tokio::test]
async fn changes_are_read_after_the_store_has_returned_from_a_copy() {
    let env = TestEnv::start(vec![respond("a"), respond("b")]).await;
    env.wait_until(|_| !env.store.keys("sniperelay-entry-vms/").is_empty()).await;
    let copy = env.store.take_copy();
    // Enough writes that the revisions of the copy are not reached again for a while.
    for index in 2..40 {
        env.store.put("config/main", config(&format!("{index:08x}")).to_string());
    }
    env.wait_until(|state| version(state) == 39).await;
    env.store.restore(&copy);
    // The operator writes its configuration again, and the targets their entries.
    env.store.put("config/main", config("00000028").to_string());
    tokio::time::timeout(Duration::from_secs(10), env.wait_until(|state| version(state) == 40))
        .await
        .expect("the configuration after the return was not read");
    assert!(env.relay.state().metrics.process().store_returns.load(Ordering::Relaxed) >= 1);
    assert_eq!(status(&env.send_request("GET", "/read/1").await), 200);
}

/// The copy holds a target as ready that has left since, one as ready that is draining now, and lacks one that
/// has joined since.
#[tokio::test]
async fn targets_do_not_go_back_with_the_store() {
    let env =
        TestEnv::start(vec![respond("gone"), respond("draining"), respond("stays"), respond("new")]).await;
    let joined = env.store.get("servers/i3").unwrap();
    env.store.delete("servers/i3");
    env.wait_until(|state| usable_targets(state) == 3).await;
    let copy = env.store.take_copy();
    env.store.put("servers/i3", joined.value.clone());
    env.store.delete("servers/i0");
    env.store.put("servers/i1", registration(env.targets[1].address, "draining").to_string());
    env.wait_until(|state| usable_targets(state) == 2).await;
    let used_before: usize = env.targets[..2].iter().map(|target| target.received().len()).sum();
    env.store.restore(&copy);
    let returns = || env.relay.state().metrics.process().store_returns.load(Ordering::Relaxed);
    while returns() < 3 {
        let response = env.send_request("GET", "/read/1").await;
        assert!(["stays", "new"].contains(&body(&response)), "{response}");
    }
    // The target that has joined writes its entry again, within the time for which it is held.
    env.store.put("servers/i3", joined.value);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(usable_targets(env.relay.state()), 2);
    for _ in 0..20 {
        let response = env.send_request("GET", "/read/1").await;
        assert!(["stays", "new"].contains(&body(&response)), "{response}");
    }
    let used_after: usize = env.targets[..2].iter().map(|target| target.received().len()).sum();
    assert_eq!(used_after, used_before, "targets that had left were used again");
    // An entry that is written again counts.
    env.store.put("servers/i0", registration(env.targets[0].address, "ready").to_string());
    env.wait_until(|state| usable_targets(state) == 3).await;
}

/// Registrations that were lost are written again, also where the copy holds those of earlier processes. Readers and
/// those that follow them agree on the new history, without a storm of calls.
#[tokio::test]
async fn registrations_are_written_again_and_followers_follow_into_the_new_history() {
    let env = TestEnv::start(vec![respond("a")]).await;
    let fleet: Vec<RunningRelay> =
        (0..5).map(|index| start_named_relay(&format!("vm{index}"), env.store.address())).collect();
    let states = || fleet.iter().map(|relay| relay.state()).chain([env.relay.state()]);
    let wait_all = async |condition: &dyn Fn(&RelayState) -> bool| {
        while !states().all(|state| condition(state)) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let empty = env.store.take_copy();
    wait_all(&|state| state.is_ready() && state.entry_vms.load().len() == 6).await;
    // Until the followers have found their readers.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let calls_before = env.store.control.calls.load(Ordering::Relaxed);
    env.store.restore(&empty);
    env.store.put("config/main", config("00000009").to_string());
    let recover = async {
        wait_all(&|state| version(state) == 9 && state.entry_vms.load().len() == 6).await;
        while env.store.keys("sniperelay-entry-vms/").len() < 6 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(15), recover).await.expect("the fleet did not recover");
    tokio::time::sleep(Duration::from_millis(1000)).await;
    let calls = env.store.control.calls.load(Ordering::Relaxed) - calls_before;
    assert!(calls <= 150, "{calls} calls to the store after its return, by six entry VMs");
}
