//! Tests of what an entry VM concludes about outages of the store, and of entries that expire around them.

mod common;

use common::{ScriptedAction, TestEnv, registration, sealed_response};
use sniperelay_platform::api::version_in_history;
use sniperelay_relay::replication::StoreReplica;
use sniperelay_relay::shared_state::RelayState;
use sniperelay_relay::store_availability::{CallFailure, StoreAvailability};
use sniperelay_standin::platform::SilentCalls;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after which a deleted target must not be used any more: `Drain` of the platform's bounds.
const DRAIN: Duration = Duration::from_secs(2);
/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);

fn respond(text: &str) -> Vec<ScriptedAction> {
    vec![ScriptedAction::Respond(sealed_response(text))]
}

fn usable_targets(state: &RelayState) -> usize {
    let services = state.services.load();
    let handle = &services["s"].dispatcher_handle;
    handle.read(|dispatcher| dispatcher.targets().iter().filter(|(_, target)| target.is_usable()).count())
}

async fn wait_until(what: &str, limit: Duration, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(limit, poll).await.unwrap_or_else(|_| panic!("not in time: {what}"));
}

/// Targets whose entries expired in an outage are held for a while after the store has returned. Only a response
/// starts this time, not a change of the source during the outage.
#[test]
fn only_a_response_ends_an_outage() {
    let at = Duration::from_secs;
    let mut availability = StoreAvailability::default();
    assert_eq!(availability.record_failure(at(1)), CallFailure::OutageBegins);
    assert_eq!(availability.record_failure(at(2)), CallFailure::OutageContinues);
    assert_eq!(availability.available_since(), None);
    assert!(availability.record_response(at(9)));
    assert_eq!(availability.available_since(), Some(at(9)));
    assert!(!availability.record_response(at(10)), "there was no further outage");
    assert_eq!(availability.available_since(), Some(at(9)));
    assert_eq!(availability.record_failure(at(20)), CallFailure::OutageBegins);
    assert!(availability.record_response(at(21)));
    // A replica changes its source without any of these calls.
    let replica = StoreReplica::default();
    replica.record_store_failure(at(1), &"test");
    drop(replica.subscribe_source());
    assert_eq!(replica.store_available_since(), None);
    replica.record_store_contact(1);
    assert!(replica.store_available_since().is_some());
}

/// Guards against a connection that has gone silent and is taken for an outage when it fails, seconds later, although
/// the store has responded to other calls all the while.
#[test]
fn failure_of_a_call_sent_before_the_latest_response_is_no_outage() {
    let at = Duration::from_secs;
    let mut availability = StoreAvailability::default();
    availability.record_response(at(5));
    assert_eq!(availability.record_failure(at(3)), CallFailure::Outdated);
    assert!(!availability.record_response(at(6)));
    assert_eq!(availability.available_since(), None);
}

/// A store that returns from a copy is noticed by each prefix in turn. It has returned when the first one notices.
#[test]
fn return_of_the_store_from_a_copy_counts_once() {
    let at = Duration::from_secs;
    let mut availability = StoreAvailability::default();
    availability.record_return(2, at(5));
    availability.record_return(2, at(7));
    assert_eq!(availability.available_since(), Some(at(5)));
    availability.record_return(3, at(9));
    assert_eq!(availability.available_since(), Some(at(9)));
    let replica = StoreReplica::default();
    replica.record_store_return(version_in_history(4, 1));
    assert!(replica.store_available_since().is_some());
}

/// Guards against a deleted target that is used beyond `Drain` (DRAIN on the day unanswered): the deletion was the first
/// response to the watch of targets after its connection had failed, was taken for the end of an outage, and the target
/// was held as if its entry had expired in it.
#[tokio::test]
async fn target_deleted_after_a_watch_has_failed_is_not_held() {
    let env = TestEnv::start(vec![respond("gone"), respond("stays")]).await;
    let copies = env.relay.state().replica.copies().clone();
    let is_watching = || copies.statuses()["servers/"].read_since.is_some();
    // The next watch of targets waits on a connection that breaks later. The store answers all other calls.
    env.store.control.set_silent_calls(Some(SilentCalls::WaitingWatches("/servers")));
    env.store.put("servers/i1", registration(env.targets[1].address, "ready").to_string());
    tokio::time::sleep(Duration::from_secs(2)).await;
    env.store.control.set_silent_calls(None);
    env.store.control.break_silent_calls();
    tokio::time::sleep(Duration::from_millis(300)).await;
    wait_until("targets are watched", HANG_LIMIT, is_watching).await;
    env.store.delete("servers/i0");
    wait_until("the target is gone", DRAIN / 2, || usable_targets(env.relay.state()) == 1).await;
    let held = env.relay.state().metrics.process().entries_held.load(Ordering::Relaxed);
    assert_eq!(held, 0, "the entry was held");
}

/// An entry that expires around an outage is held, so that its target can register again.
#[tokio::test]
async fn entry_that_expires_in_an_outage_is_held() {
    let env = TestEnv::start(vec![respond("back"), respond("stays")]).await;
    let entry = env.store.get("servers/i0").unwrap();
    env.store.control.set_silent_calls(Some(SilentCalls::All("/api")));
    // The watch that is open is answered; the next one and all other calls are not.
    env.store.put("servers/i1", registration(env.targets[1].address, "ready").to_string());
    tokio::time::sleep(Duration::from_secs(2)).await;
    env.store.delete("servers/i0");
    env.store.control.set_silent_calls(None);
    env.store.control.break_silent_calls();
    let held = || env.relay.state().metrics.process().entries_held.load(Ordering::Relaxed);
    wait_until("the entry is held", HANG_LIMIT, || held() == 1).await;
    assert_eq!(usable_targets(env.relay.state()), 2);
    env.store.put("servers/i0", entry.value);
    tokio::time::sleep(DRAIN + Duration::from_millis(500)).await;
    assert_eq!(usable_targets(env.relay.state()), 2);
}
