//! Tests of entry VMs that are partitioned from all targets while callers, the store and the other entry VMs reach
//! them.

mod common;

use common::partition::{CLAIM, Outcome, PartitionedFleet, UnreachableTarget};
use common::{
    Caller, ScriptedAction, ScriptedTarget, body, config, header, request, sealed_response, status,
};
use sniperelay_node::metrics::ProcessCounters;
use sniperelay_standin::soak::proxy::ProxyMode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

async fn start_fleet(vm_count: usize) -> PartitionedFleet {
    PartitionedFleet::start(vm_count, 4, &[ScriptedAction::Respond(sealed_response("ok"))]).await
}

fn failed(outcomes: &[Outcome]) -> Vec<&Outcome> {
    outcomes.iter().filter(|(_, status)| *status != Some(200)).collect()
}

/// Returns how many first tries may fail at partitioned entry VMs.
fn tolerated(outcomes: &[Outcome]) -> usize {
    10 + outcomes.len() / 50
}

async fn start_scripted_fleet(vm_count: usize, script: &[ScriptedAction]) -> PartitionedFleet {
    PartitionedFleet::start(vm_count, 4, script).await
}

/// Returns the value of a counter of an entry VM.
fn count(fleet: &PartitionedFleet, vm: usize, counter: impl Fn(&ProcessCounters) -> &AtomicU64) -> u64 {
    counter(fleet.vms[vm].relay.state().metrics.process()).load(Ordering::Relaxed)
}

/// Partitions an entry VM from all targets and waits until it has noticed that, with requests of its own.
async fn isolate(fleet: &PartitionedFleet, vm: usize) {
    fleet.set_links(vm, ProxyMode::Stall);
    while !fleet.vms[vm].relay.state().links.is_isolated() {
        fleet.send_steadily(vm, 40, Duration::from_millis(200)).await;
    }
}

async fn connect(fleet: &PartitionedFleet, vm: usize) -> Caller {
    Caller::open(fleet.vms[vm].relay.state().own_record().caller_address).await
}

async fn send_one(fleet: &PartitionedFleet, vm: usize, text: &str) -> String {
    let mut caller = connect(fleet, vm).await;
    caller.send(text).await;
    caller.receive().await.expect("the connection was closed without a response")
}

/// Partitions one of two entry VMs from all targets and checks the requests of its callers.
async fn check_partition(mode: ProxyMode) {
    let fleet = start_fleet(2).await;
    let before = fleet.send_steadily(0, 40, seconds(1)).await;
    assert_eq!(failed(&before), Vec::<&Outcome>::new());
    fleet.set_links(0, mode);
    // In the first seconds, the partition is not known yet.
    let mut outcomes = fleet.send_steadily(0, 40, seconds(2)).await;
    let since = outcomes.len();
    outcomes.extend(fleet.send_steadily(0, 40, seconds(3)).await);
    let late = &outcomes[since..];
    let failures = failed(late);
    assert!(failures.len() <= tolerated(late), "{} of {} failed", failures.len(), late.len());
    for (id, status) in outcomes.iter().filter(|(id, _)| id.starts_with(CLAIM)) {
        let arrivals = fleet.arrivals(id);
        assert!(arrivals <= 1, "{id} was sent {arrivals} times");
        assert!(*status != Some(503) || arrivals == 0, "{id} was called not run");
    }
}

/// Guards against an entry VM that keeps requests while its connections to all targets hang.
#[tokio::test]
async fn callers_are_served_while_all_connections_to_targets_hang() {
    check_partition(ProxyMode::Stall).await;
}

/// Guards against an entry VM that refuses requests while its connections to all targets are reset.
#[tokio::test]
async fn callers_are_served_while_all_connections_to_targets_are_reset() {
    check_partition(ProxyMode::Reset).await;
}

/// Guards against an entry VM that refuses requests while its open connections to targets live on and new ones are
/// refused.
#[tokio::test]
async fn callers_are_served_while_new_connections_to_targets_are_refused() {
    check_partition(ProxyMode::RefuseNew).await;
}

/// Guards against refusals where open connections to targets live on but do not suffice, and new ones are refused.
#[tokio::test]
async fn callers_are_served_while_a_burst_needs_connections_that_are_refused() {
    let fleet = start_fleet(2).await;
    assert_eq!(failed(&fleet.send_steadily(0, 40, seconds(1)).await), Vec::<&Outcome>::new());
    fleet.set_links(0, ProxyMode::RefuseNew);
    let streams = (0..12).map(|_| fleet.send_steadily(0, 20, seconds(4)));
    let outcomes: Vec<Outcome> = futures_util::future::join_all(streams).await.concat();
    let failures = failed(&outcomes);
    assert!(failures.len() <= tolerated(&outcomes), "{} of {} failed", failures.len(), outcomes.len());
}

/// Guards against requests that two partitioned entry VMs hand to each other again and again.
#[tokio::test]
async fn requests_end_in_time_while_no_entry_vm_reaches_a_target() {
    let fleet = start_fleet(2).await;
    fleet.set_links(0, ProxyMode::Stall);
    fleet.set_links(1, ProxyMode::Stall);
    let (first, second) =
        tokio::join!(fleet.send_steadily(0, 40, seconds(4)), fleet.send_steadily(1, 40, seconds(4)));
    for (id, status) in first.iter().chain(&second) {
        assert!(status.is_some(), "{id} got no response within 3 s");
        assert!(!id.starts_with(CLAIM) || fleet.arrivals(id) <= 1, "{id} was sent twice");
    }
    for vm in 0..2 {
        // The other entry VM is asked again once a second, by the requests that come before its response.
        let asked = count(&fleet, vm, |counters| &counters.requests_forwarded);
        assert!(asked <= 40, "entry VM {vm} asked the other one {asked} times for 160 requests");
        assert_eq!(count(&fleet, vm, |counters| &counters.isolations), 1);
    }
}

/// Guards against an entry VM that stays isolated, or changes back and forth, after a partition.
#[tokio::test]
async fn requests_are_sent_directly_again_after_a_partition() {
    let fleet = start_fleet(2).await;
    isolate(&fleet, 0).await;
    fleet.set_links(0, ProxyMode::PassThrough);
    fleet.send_steadily(0, 40, seconds(2)).await;
    assert!(!fleet.vms[0].relay.state().links.is_isolated());
    let before = count(&fleet, 0, |counters| &counters.requests_forwarded);
    let outcomes = fleet.send_steadily(0, 40, seconds(2)).await;
    assert_eq!(failed(&outcomes), Vec::<&Outcome>::new());
    assert_eq!(count(&fleet, 0, |counters| &counters.requests_forwarded), before);
    assert_eq!(count(&fleet, 0, |counters| &counters.isolations), 1);
}

/// Guards against changes of a request or of its response on the way through another entry VM.
#[tokio::test]
async fn forwarded_request_and_its_response_are_unchanged() {
    let error = sealed_response("bad").replace("200 OK", "500 Oops");
    for (text, expected) in [(sealed_response("whole body"), (200, "whole body")), (error, (500, "bad"))] {
        let fleet = start_scripted_fleet(2, &[ScriptedAction::Respond(text)]).await;
        isolate(&fleet, 0).await;
        let response = send_one(&fleet, 0, &request("POST", "/claim/7?q=1", "one", "payload")).await;
        assert_eq!((status(&response), body(&response)), expected);
        assert_eq!(header(&response, "x-response-seal").as_deref(), Some("s"));
        assert_eq!(header(&response, "x-request-id").as_deref(), Some("one"));
        let received = fleet.targets.iter().flat_map(|target| target.received());
        let received = received.filter(|text| header(text, "x-request-id").as_deref() == Some("one"));
        let received: Vec<String> = received.collect();
        assert_eq!(received.len(), 1);
        assert!(received[0].starts_with("POST /claim/7?q=1 HTTP/1.1\r\n"), "{}", received[0]);
        assert_eq!(
            (body(&received[0]), header(&received[0], "host").as_deref()),
            ("payload", Some("h.example"))
        );
        let deadline: u64 = header(&received[0], "x-deadline-ms").unwrap().parse().unwrap();
        assert!(deadline <= 1500, "{deadline}");
        assert!(header(&received[0], "x-expect-instance").is_some());
        assert!(!received[0].contains("sniperelay-"), "{}", received[0]);
    }
}

/// Guards against work at a target for a caller that has left, two hops away.
#[tokio::test]
async fn forwarded_request_is_cancelled_when_its_caller_disconnects() {
    let fleet = start_scripted_fleet(2, &[ScriptedAction::Respond(sealed_response("ok"))]).await;
    isolate(&fleet, 0).await;
    let holding = ScriptedTarget::start(vec![ScriptedAction::Hold]).await;
    fleet.replace_targets(1, &holding).await;
    let mut caller = connect(&fleet, 0).await;
    caller.send(&request("GET", "/read/1", "held", "")).await;
    while holding.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    let closed = async {
        while holding.early_closes.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_millis(400), closed)
        .await
        .expect("the target still holds the request");
}

/// Guards against an old configuration that applies again because an entry VM that still has it handles a request.
#[tokio::test]
async fn entry_vm_with_an_older_configuration_takes_no_request() {
    let fleet = start_fleet(3).await;
    isolate(&fleet, 0).await;
    let taken = || count(&fleet, 2, |counters| &counters.forwarded_requests_taken);
    let before = taken();
    for vm in [0, 1] {
        fleet.put_config(vm, &config("00000002")).await;
    }
    for outcome in fleet.send_steadily(0, 40, seconds(1)).await {
        assert_eq!(outcome.1, Some(200));
    }
    assert_eq!(taken(), before, "it has version 1");
}

/// Guards against a claim that is called not run, or sent again, after the connection to the other entry VM was lost.
#[tokio::test]
async fn claim_is_unknown_if_the_entry_vm_that_took_it_is_lost() {
    let fleet = start_fleet(2).await;
    isolate(&fleet, 0).await;
    let holding = ScriptedTarget::start(vec![ScriptedAction::Hold]).await;
    fleet.replace_targets(1, &holding).await;
    let lossy = fleet.put_link_between_entry_vms(0, 1).await;
    let mut caller = connect(&fleet, 0).await;
    caller.send(&request("POST", "/claim/1", "lost", "x")).await;
    while holding.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    lossy.set_mode(ProxyMode::Reset);
    assert_eq!(status(&caller.receive().await.unwrap()), 502);
    assert_eq!(holding.received().len(), 1);
}

/// Guards against a planned stop that cuts off requests of another entry VM.
#[tokio::test]
async fn planned_stop_finishes_forwarded_requests() {
    let mut fleet = start_fleet(2).await;
    isolate(&fleet, 0).await;
    let holding = ScriptedTarget::start(vec![ScriptedAction::Hold]).await;
    fleet.replace_targets(1, &holding).await;
    let mut caller = connect(&fleet, 0).await;
    caller.send(&request("POST", "/claim/1", "held", "x")).await;
    while holding.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let stopping = tokio::spawn(fleet.vms.remove(1).relay.shutdown());
    tokio::time::sleep(Duration::from_millis(850)).await;
    assert!(!stopping.is_finished(), "the process has ended with a request in flight");
    holding.release(1);
    let response = caller.receive().await.unwrap();
    assert_eq!((status(&response), body(&response)), (200, "held"));
    assert!(stopping.await.unwrap(), "a request was still in flight at the end");
}

/// Load pattern: eight of 13 entry VMs, both homes of the host among them, lose their targets at the same time.
#[tokio::test]
async fn most_entry_vms_are_partitioned_and_the_others_serve_their_callers() {
    let fleet = Arc::new(start_fleet(13).await);
    let isolated: Vec<usize> = (0..8).collect();
    isolated.iter().for_each(|vm| fleet.set_links(*vm, ProxyMode::Stall));
    futures_util::future::join_all(isolated.iter().map(|vm| fleet.send_steadily(*vm, 20, seconds(2)))).await;
    let streams = isolated.iter().map(|vm| fleet.send_steadily(*vm, 20, seconds(2)));
    let outcomes: Vec<Outcome> = futures_util::future::join_all(streams).await.concat();
    let failures = failed(&outcomes);
    assert!(failures.len() <= tolerated(&outcomes), "{} of {} failed", failures.len(), outcomes.len());
}

/// Guards against an entry VM that stays isolated for ever because there is no target that it may check.
#[tokio::test]
async fn partition_ends_without_a_target_that_may_be_checked() {
    let fleet = start_fleet(1).await;
    isolate(&fleet, 0).await;
    fleet.set_target_state(0, "draining");
    let returned = async {
        while fleet.vms[0].relay.state().links.is_isolated() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(seconds(3), returned).await.expect("still isolated");
    fleet.set_links(0, ProxyMode::PassThrough);
    fleet.set_target_state(0, "ready");
    tokio::time::sleep(seconds(1)).await;
    assert_eq!(failed(&fleet.send_steadily(0, 40, seconds(1)).await), Vec::<&Outcome>::new());
}

/// Guards against lookup responses that send callers to an entry VM that reaches no target, and against ones that never
/// name it again.
#[tokio::test]
async fn isolated_entry_vm_is_no_home_until_it_reaches_targets_again() {
    let fleet = start_fleet(3).await;
    let homes = |vm: usize| fleet.vms[vm].relay.state().homes_for("h.example");
    let address = |vm: usize| fleet.vms[vm].relay.state().own_record().caller_address;
    // Each entry VM takes itself for a home in this harness, where its own capacity is the highest.
    let others_name = |named: usize| {
        (0..3).filter(|vm| *vm != named).filter(|vm| homes(*vm).contains(&address(named))).count()
    };
    let before: Vec<usize> = (0..3).map(others_name).collect();
    let vm = (0..3).find(|vm| before[*vm] > 0).expect("a home");
    isolate(&fleet, vm).await;
    wait_until(|| others_name(vm) == 0).await;
    wait_until(|| !homes(vm).contains(&address(vm))).await;
    fleet.set_links(vm, ProxyMode::PassThrough);
    wait_until(|| others_name(vm) == before[vm]).await;
    wait_until(|| homes(vm).contains(&address(vm))).await;
}

/// If all entry VMs are isolated, the targets are down: homes stay as they are.
#[tokio::test]
async fn homes_remain_while_all_entry_vms_are_isolated() {
    let fleet = start_fleet(2).await;
    isolate(&fleet, 0).await;
    isolate(&fleet, 1).await;
    wait_until(|| (0..2).all(|vm| fleet.vms[vm].relay.state().isolated_vms.load().len() == 2)).await;
    assert_eq!(fleet.vms[0].relay.state().homes_for("h.example").len(), 2);
}

async fn wait_until(condition: impl Fn() -> bool) {
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(seconds(5), reached).await.expect("the condition has not come true within 5 s");
}

/// Guards against a claim that ends at its deadline although it was never written to a connection: the connection to its
/// target was still being opened when the partition was noticed.
#[tokio::test]
async fn claim_that_waits_for_a_connection_is_forwarded() {
    let fleet = start_fleet(2).await;
    let unreachable = UnreachableTarget::start().await;
    fleet.replace_target_address(0, unreachable.address).await;
    // The timeout of a connection is 1 s, which is later than this deadline.
    let claim =
        request("POST", "/claim/1", "waiting", "x").replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 980");
    let response = send_one(&fleet, 0, &claim).await;
    assert_eq!((status(&response), fleet.arrivals("waiting")), (200, 1));
}
