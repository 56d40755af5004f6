//! Tests of what an entry VM knows right after its start, and of a hand-over between two of them.

mod common;

use common::{header_of, send_raw_request, start_cluster, status_of, wait_until};
use sniperelay_core::vm::{VmRole, VmState};
use sniperelay_node::EntryVm;
use sniperelay_standin::cluster::register_vm;
use sniperelay_standin::platform::SilentCalls;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

const READ: &str = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nConnection: close\r\n\r\n";

fn uses_target(entry_vm: &EntryVm, target: SocketAddr) -> bool {
    let services = entry_vm.node_state().services.load();
    services["rota-board"].dispatcher_handle.read(|dispatcher| {
        let key = dispatcher.targets().find(target);
        key.and_then(|key| dispatcher.targets().get(key)).is_some_and(|target| target.is_usable())
    })
}

/// A target has reported that it is leaving, and the platform's list still shows it as live.
#[tokio::test(flavor = "multi_thread")]
async fn entry_vm_that_starts_later_uses_no_target_that_has_reported_leaving() {
    let mut cluster = start_cluster(2, 3).await;
    let leaving = cluster.targets["rota-board"][0].clone();
    leaving.control.is_leaving.store(true, Ordering::Relaxed);
    while cluster.entry_vms.iter().any(|entry_vm| uses_target(entry_vm, leaving.address())) {
        for address in cluster.caller_addresses() {
            send_raw_request(address, READ).await;
        }
    }
    let accepted = leaving.control.accepted.load(Ordering::Relaxed);
    let started = cluster.start_entry_vm().unwrap();
    cluster.wait_ready().await.unwrap();
    for _ in 0..30 {
        assert_eq!(status_of(&send_raw_request(started, READ).await), 200);
    }
    let used = leaving.control.accepted.load(Ordering::Relaxed) - accepted;
    assert_eq!(used, 0, "the restarted entry VM used a target that had reported leaving");
    cluster.shut_down();
}

/// Guards against an entry VM that starts with the old list of VMs of another one and keeps it (the fault of review/5 in
/// `relay`). The list of the platform, which it reads itself, is newer.
#[tokio::test(flavor = "multi_thread")]
async fn entry_vm_that_starts_beside_one_with_an_old_list_uses_that_of_the_platform() {
    let mut cluster = start_cluster(1, 3).await;
    cluster.platform.control.set_silent_calls(Some(SilentCalls::WaitingWatches("watch/vms")));
    // Ends the watch that is open, so that the next one gets no response.
    cluster.platform.put("vms/none", "not json");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leaving = cluster.targets["rota-board"][0].address();
    let role = VmRole::Target("rota-board".to_owned());
    register_vm(&cluster.platform, role, leaving, "erie-shore", VmState::Leaving);
    cluster.start_entry_vm().unwrap();
    cluster.wait_ready().await.unwrap();
    let (old, started) = (&cluster.entry_vms[0], &cluster.entry_vms[1]);
    wait_until("the target is known to be leaving", || !uses_target(started, leaving)).await;
    assert!(uses_target(old, leaving), "the other entry VM has the change as well");
    for _ in 0..100 {
        assert!(!uses_target(started, leaving), "the list of the other entry VM replaced a newer one");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    cluster.shut_down();
}

/// A claim is sent to both entry VMs at once while one of them hands over: whoever gets it, it runs once.
#[tokio::test(flavor = "multi_thread")]
async fn claims_sent_to_both_sides_of_a_hand_over_run_once() {
    let mut cluster = start_cluster(2, 2).await;
    let old = cluster.entry_vms.remove(0);
    let addresses = [old.caller_address(), cluster.entry_vms[0].caller_address()];
    let lookup =
        "GET /.sniperelay/lookup?service=claim-desk HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let lookup = send_raw_request(addresses[0], lookup).await;
    let tickets: Vec<&str> =
        lookup.split("\"ticket\":\"").skip(1).filter_map(|text| text.split('"').next()).collect();
    let stop = tokio::spawn(old.stop());
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..40 {
        let ticket = tickets[index % tickets.len()];
        for address in addresses {
            let request = format!(
                "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: {ticket}-{index}\r\n\
                 Content-Length: 0\r\nConnection: close\r\n\r\n"
            );
            calls.spawn(async move {
                // A connection is refused once the old entry VM has stopped.
                let is_open = tokio::net::TcpStream::connect(address).await.is_ok();
                if is_open { send_raw_request(address, &request).await } else { String::new() }
            });
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut served = 0;
    while let Some(response) = calls.join_next().await {
        let response = response.unwrap();
        served += usize::from(status_of(&response) == 200);
        let outcome = header_of(&response, "sniperelay-outcome").unwrap_or("");
        assert!(["", "ran", "unknown", "not-run"].contains(&outcome), "{response}");
    }
    assert!(stop.await.unwrap().unwrap(), "the stop interrupted connections");
    assert_eq!(cluster.ledger.duplicated_key_count(), 0, "a claim ran on both sides");
    assert!(cluster.ledger.key_count() >= served, "{served} claims were answered");
    assert!(served >= 20, "only {served} of 40 claims were served");
    cluster.shut_down();
}

/// After a lost response the caller repeats the claim, at the same entry VM and at another one.
#[tokio::test(flavor = "multi_thread")]
async fn claim_whose_response_was_lost_is_neither_run_again_nor_called_not_run() {
    let cluster = start_cluster(2, 2).await;
    let addresses = cluster.caller_addresses();
    for target in &cluster.targets["claim-desk"] {
        target.control.truncation_permille.store(1000, Ordering::Relaxed);
    }
    let lookup =
        "GET /.sniperelay/lookup?service=claim-desk HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let lookup = send_raw_request(addresses[0], lookup).await;
    let ticket = lookup.split("\"ticket\":\"").nth(1).and_then(|text| text.split('"').next()).unwrap();
    for index in 0..10 {
        let request = format!(
            "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: {ticket}-lost-{index}\r\n\
             standin-id: 7\r\nstandin-size: 100000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        let first = send_raw_request(addresses[0], &request).await;
        assert!(!first.ends_with("0\r\n\r\n"), "a response that broke off ended cleanly");
        for address in &addresses {
            let repeated = send_raw_request(*address, &request).await;
            let outcome = header_of(&repeated, "sniperelay-outcome");
            assert!(matches!(outcome, Some("ran" | "unknown")), "{repeated}");
        }
    }
    assert_eq!((cluster.ledger.key_count(), cluster.ledger.duplicated_key_count()), (10, 0));
    wait_until("no claim is in flight", || {
        let services = cluster.entry_vms[0].node_state().services.load();
        services["claim-desk"].dispatcher_handle.read(|dispatcher| dispatcher.request_count()) == 0
    })
    .await;
    cluster.shut_down();
}
