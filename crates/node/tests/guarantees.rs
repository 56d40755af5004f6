//! Tests of the daemon's guarantees over real sockets, with injected faults of targets, entry VMs and
//! the platform.

mod common;

use common::{header_of, send_raw_request, start_cluster, status_of, wait_until};
use http::{Method, StatusCode};
use sniperelay_core::edition::{ConfigEdition, EditMark};
use sniperelay_node::EntryVm;
use sniperelay_standin::caller::{CallEnd, CallSpec, CallerStandin};
use sniperelay_standin::cluster::{ADMIN_TOKEN, ClusterStandin, put_document, send_operator_request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

fn read_call(id: u64, service_time: Duration) -> CallSpec {
    CallSpec {
        service: "rota-board".to_owned(),
        method: Method::GET,
        path: "/rota/item".to_owned(),
        id,
        service_time,
        response_bytes: 2000,
        needs_key: false,
    }
}

async fn claim(address: SocketAddr, key: &str) -> String {
    let request = format!(
        "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: {key}\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    send_raw_request(address, &request).await
}

async fn ticket_of(entry_vm: &EntryVm) -> String {
    let caller = CallerStandin::new(vec![entry_vm.caller_address()], None);
    let addresses = caller.entry_vm_addresses("claim-desk").await;
    let own = addresses.into_iter().find(|address| address.address == entry_vm.caller_address());
    own.expect("the lookup response lists every entry VM of a small cluster").ticket
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_claim_runs_once_at_any_entry_vm() {
    let mut cluster = start_cluster(3, 2).await;
    let [first, second, _] = cluster.caller_addresses()[..] else { unreachable!("three entry VMs") };
    let key = format!("{}-claim", ticket_of(&cluster.entry_vms[0]).await);
    assert_eq!(status_of(&claim(first, &key).await), 200);
    for address in [first, second] {
        let response = claim(address, &key).await;
        assert_eq!(status_of(&response), 409, "{response}");
        assert_eq!(header_of(&response, "sniperelay-outcome"), Some("ran"));
        assert!(response.contains("\"earlier_status\":200"), "{response}");
    }
    // The entry VM that the key belongs to fails. No other entry VM may execute the request.
    cluster.entry_vms.remove(0).kill();
    let response = claim(second, &key).await;
    assert_eq!(header_of(&response, "sniperelay-outcome"), Some("unknown"), "{response}");
    assert_eq!((cluster.ledger.key_count(), cluster.ledger.duplicated_key_count()), (1, 0));
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_gets_a_final_outcome_after_its_caller_disconnects() {
    let cluster = start_cluster(1, 1).await;
    let address = cluster.caller_addresses()[0];
    let key = format!("{}-gone", ticket_of(&cluster.entry_vms[0]).await);
    let request = format!(
        "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: {key}\r\nstandin-micros: 50000\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await.unwrap();
    wait_until("a target has received the claim", || cluster.ledger.key_count() == 1).await;
    drop(stream);
    let mut response = String::new();
    for _ in 0..200 {
        response = claim(address, &key).await;
        if header_of(&response, "sniperelay-reason") == Some("duplicate-finished") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(header_of(&response, "sniperelay-outcome"), Some("ran"), "{response}");
    assert_eq!(cluster.ledger.duplicated_key_count(), 0);
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_is_unknown_and_not_resent_after_the_target_closes_the_connection() {
    let cluster = start_cluster(1, 2).await;
    let address = cluster.caller_addresses()[0];
    // A listener that reads requests and closes the connection without a response replaces all
    // targets.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closing_address = listener.local_addr().unwrap();
    let received_requests = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let counter = received_requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            if tokio::io::AsyncReadExt::read(&mut stream, &mut buffer).await.unwrap_or(0) > 0 {
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    for target in &cluster.targets["claim-desk"] {
        sniperelay_standin::cluster::deregister_vm(&cluster.platform, target.address());
    }
    let role = sniperelay_core::vm::VmRole::Target("claim-desk".to_owned());
    let state = sniperelay_core::vm::VmState::Live;
    sniperelay_standin::cluster::register_vm(&cluster.platform, role, closing_address, "erie-shore", state);
    wait_for_targets(&cluster, "claim-desk", &[closing_address]).await;
    let key = format!("{}-lost", ticket_of(&cluster.entry_vms[0]).await);
    let response = claim(address, &key).await;
    assert_eq!(status_of(&response), 502, "{response}");
    assert_eq!(header_of(&response, "sniperelay-outcome"), Some("unknown"));
    let repeated = claim(address, &key).await;
    assert_eq!(header_of(&repeated, "sniperelay-outcome"), Some("unknown"), "{repeated}");
    assert_eq!(received_requests.load(Ordering::Relaxed), 1, "the claim was sent more than once");
    cluster.shut_down();
}

async fn wait_for_targets(cluster: &ClusterStandin, service: &str, addresses: &[SocketAddr]) {
    let has_targets = |entry_vm: &EntryVm| {
        let services = entry_vm.node_state().services.load();
        services[service].dispatcher_handle.read(|dispatcher| {
            let mut live: Vec<SocketAddr> = dispatcher
                .targets()
                .iter()
                .filter(|(_, target)| target.is_usable())
                .map(|(_, target)| target.address)
                .collect();
            live.sort_unstable();
            live == addresses
        })
    };
    wait_until("all entry VMs use the new target list", || cluster.entry_vms.iter().all(has_targets)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_vm_started_during_an_outage_gets_state_from_peers_and_serves_claims() {
    let mut cluster = start_cluster(2, 2).await;
    cluster.platform.control.is_down.store(true, Ordering::Relaxed);
    cluster.start_entry_vm().unwrap();
    cluster.wait_ready().await.unwrap();
    let new_entry_vm = &cluster.entry_vms[2];
    let key = format!("{}-outage", ticket_of(new_entry_vm).await);
    assert_eq!(status_of(&claim(new_entry_vm.caller_address(), &key).await), 200);
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn target_that_reports_leaving_gets_no_new_requests_from_any_entry_vm() {
    let cluster = start_cluster(3, 3).await;
    let leaving_target = cluster.targets["rota-board"][0].clone();
    leaving_target.control.is_leaving.store(true, Ordering::Relaxed);
    let callers: Vec<Arc<CallerStandin>> = cluster
        .caller_addresses()
        .iter()
        .map(|address| Arc::new(CallerStandin::new(vec![*address], None)))
        .collect();
    // Enough concurrent calls to use all targets. Some reach the leaving target, whose responses
    // report its state.
    let mut calls = tokio::task::JoinSet::new();
    for id in 1..=30 {
        let caller = callers[id as usize % 3].clone();
        calls.spawn(async move { caller.call(&read_call(id, Duration::from_millis(50))).await });
    }
    calls.join_all().await;
    assert!(leaving_target.control.accepted.load(Ordering::Relaxed) > 0, "the leaving target was never used");
    let excludes_target = |entry_vm: &EntryVm| {
        let services = entry_vm.node_state().services.load();
        services["rota-board"].dispatcher_handle.read(|dispatcher| {
            let key = dispatcher.targets().find(leaving_target.address());
            key.and_then(|key| dispatcher.targets().get(key)).is_none_or(|target| !target.is_usable())
        })
    };
    wait_until("no entry VM uses the leaving target", || cluster.entry_vms.iter().all(excludes_target)).await;
    let accepted = leaving_target.control.accepted.load(Ordering::Relaxed);
    for id in 20_000..20_200 {
        let result = callers[id as usize % 3].call(&read_call(id, Duration::ZERO)).await;
        assert_eq!(result.end, CallEnd::Complete);
    }
    assert_eq!(
        leaving_target.control.accepted.load(Ordering::Relaxed),
        accepted,
        "the target received new requests after all entry VMs had received the report"
    );
    // The target list is updated. A target at the same address that is listed as live later is used
    // again.
    leaving_target.control.is_leaving.store(false, Ordering::Relaxed);
    let role = sniperelay_core::vm::VmRole::Target("rota-board".to_owned());
    let list = |state| {
        sniperelay_standin::cluster::register_vm(
            &cluster.platform,
            role.clone(),
            leaving_target.address(),
            "erie-shore",
            state,
        );
    };
    list(sniperelay_core::vm::VmState::Leaving);
    // An entry VM drops its report once a list no longer shows the target as live. Until then the report
    // would take precedence over a list that shows the target as live again.
    wait_until("all entry VMs have the list with the leaving target", || {
        cluster.entry_vms.iter().all(|entry_vm| is_listed_leaving(entry_vm, leaving_target.address()))
    })
    .await;
    list(sniperelay_core::vm::VmState::Live);
    wait_until("the target is used again", || !cluster.entry_vms.iter().any(excludes_target)).await;
    cluster.shut_down();
}

fn is_listed_leaving(entry_vm: &EntryVm, target: SocketAddr) -> bool {
    let status = entry_vm.node_state().status.load();
    status["listed_leaving"]
        .as_array()
        .is_some_and(|listed| listed.iter().any(|item| *item == target.to_string()))
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_interrupt_no_request() {
    let mut cluster = start_cluster(4, 3).await;
    cluster.platform.control.is_down.store(true, Ordering::Relaxed);
    let addresses = cluster.caller_addresses();
    // These callers use only the first address of the lookup response, without fallback. They send
    // their lookups to an entry VM that is not stopped.
    let caller = |_| Arc::new(CallerStandin::new(vec![addresses[1]], None).without_fallback());
    let callers: Vec<Arc<CallerStandin>> = (0..8).map(caller).collect();
    let is_finished = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut tasks = tokio::task::JoinSet::new();
    for (index, caller) in callers.into_iter().enumerate() {
        let is_finished = is_finished.clone();
        tasks.spawn(async move {
            let mut ends = Vec::new();
            let mut id = index as u64 * 1_000_000;
            while !is_finished.load(Ordering::Relaxed) {
                id += 1;
                ends.push(caller.call(&read_call(id, Duration::from_millis(20))).await.end);
            }
            ends
        });
    }
    // Two entry VMs stop at the same time during an outage of the platform.
    let second = cluster.entry_vms.remove(2);
    let first = cluster.entry_vms.remove(0);
    let (first, second) = tokio::join!(first.stop(), second.stop());
    assert!(first.unwrap() && second.unwrap(), "the stop interrupted connections");
    is_finished.store(true, Ordering::Relaxed);
    let ends: Vec<CallEnd> = tasks.join_all().await.concat();
    let failed: Vec<&CallEnd> = ends.iter().filter(|end| **end != CallEnd::Complete).collect();
    assert!(
        failed.is_empty(),
        "{} of {} failed: {:?}",
        failed.len(),
        ends.len(),
        &failed[..failed.len().min(5)]
    );
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_edits_wins_and_invalid_edits_are_rejected() {
    let cluster = start_cluster(2, 1).await;
    let text = cluster.spec.services[0].text.clone();
    let operators: Vec<SocketAddr> = cluster.entry_vms.iter().map(EntryVm::operator_address).collect();
    let put = |operator, path: &'static str, token, text: String| async move {
        send_operator_request(operator, Method::PUT, path, token, &text).await.unwrap()
    };
    let path = "/config/rota-board?base=1";
    let left = text.replace("worth = 100", "worth = 101");
    let right = text.replace("worth = 100", "worth = 102");
    let token = Some(ADMIN_TOKEN);
    let (first, second) =
        tokio::join!(put(operators[0], path, token, left), put(operators[1], path, token, right));
    let mut statuses = [first.0, second.0];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT], "{first:?} {second:?}");
    let conflict = if first.0 == StatusCode::CONFLICT { first.1 } else { second.1 };
    assert!(conflict.contains("\"author\":\"admin\"") && conflict.contains("\"generation\":2"), "{conflict}");
    // Each row: path, token, text appended to the document, expected status.
    let rows = [
        ("/config/rota-board?base=2", None, "", StatusCode::UNAUTHORIZED),
        ("/config/rota-board?base=2", Some("wrong-token"), "", StatusCode::UNAUTHORIZED),
        ("/config/rota-board", token, "", StatusCode::BAD_REQUEST),
        ("/config/claim-desk?base=1", token, "", StatusCode::UNPROCESSABLE_ENTITY),
        ("/config/rota-board?base=2", token, "[nonsense]\n", StatusCode::UNPROCESSABLE_ENTITY),
        ("/config/rota-board?base=1", token, "", StatusCode::CONFLICT),
        ("/config/rota-board?base=2", token, "", StatusCode::OK),
    ];
    for (path, token, appended, expected) in rows {
        let (status, body) = put(operators[0], path, token, format!("{text}{appended}")).await;
        assert_eq!(status, expected, "{path}: {body}");
    }
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn deleted_outdated_or_malformed_platform_objects_do_not_revert_a_document() {
    let cluster = start_cluster(2, 1).await;
    let text = cluster.spec.services[0].text.clone();
    let edited = text.replace("worth = 100", "worth = 103");
    let operator = cluster.entry_vms[0].operator_address();
    let path = "/config/rota-board?base=1";
    let (status, body) =
        send_operator_request(operator, Method::PUT, path, Some(ADMIN_TOKEN), &edited).await.unwrap();
    assert_eq!(status, StatusCode::OK, "{body}");
    let active_worths = || {
        let worth =
            |entry_vm: &EntryVm| entry_vm.node_state().services.load()["rota-board"].document.ranks[0].worth;
        cluster.entry_vms.iter().map(worth).collect::<Vec<f64>>()
    };
    wait_until("the edit is active on both entry VMs", || active_worths() == [103.0, 103.0]).await;
    // The object is deleted, created again with an old version, and replaced by invalid content.
    cluster.platform.delete("config/rota-board");
    put_document(&cluster.platform, "rota-board", &text);
    cluster.platform.put("config/rota-board", "not json");
    let invalid = ConfigEdition {
        service: "rota-board".to_owned(),
        mark: EditMark { edit_id: 5, generation: 99, author: "x".to_owned(), unix_millis: 0 },
        history: Vec::new(),
        text: "[service]\nname = rota-board\n".to_owned(),
    };
    cluster.platform.put("config/rota-board", serde_json::to_string(&invalid).unwrap());
    // An edit of another service is observed after all of these changes.
    let other = cluster.spec.services[1].text.replace("worth = 200", "worth = 201");
    let (status, _) =
        send_operator_request(operator, Method::PUT, "/config/claim-desk?base=1", Some(ADMIN_TOKEN), &other)
            .await
            .unwrap();
    assert_eq!(status, StatusCode::OK);
    let refused = |entry_vm: &EntryVm| {
        entry_vm.node_state().metrics.process().documents_refused.load(Ordering::Relaxed) > 0
    };
    wait_until("an entry VM has refused the invalid document", || cluster.entry_vms.iter().any(refused))
        .await;
    assert_eq!(active_worths(), [103.0, 103.0]);
    cluster.shut_down();
}

#[tokio::test(flavor = "multi_thread")]
async fn every_reason_has_a_counter_in_the_metrics() {
    use sniperelay_core::reason::{RefusalReason, RetryReason};
    let cluster = start_cluster(1, 1).await;
    let caller = CallerStandin::new(cluster.caller_addresses(), None);
    caller.call(&read_call(1, Duration::ZERO)).await;
    let operator = cluster.entry_vms[0].operator_address();
    let (_, metrics) = send_operator_request(operator, Method::GET, "/metrics", None, "").await.unwrap();
    let refusals = RefusalReason::ALL.iter().map(|reason| ("refusals", reason.as_str()));
    let retries = RetryReason::ALL.iter().map(|reason| ("retries", reason.as_str()));
    for (name, reason) in refusals.chain(retries) {
        let line = metrics.lines().find(|line| {
            line.starts_with(&format!("sniperelay_{name}")) && line.contains(&format!("reason=\"{reason}\""))
        });
        assert!(line.is_some(), "no counter for {name} {reason}");
    }
    assert!(metrics.contains("sniperelay_answer_latency_seconds_bucket"));
    cluster.shut_down();
}
