//! Tests of entry VMs that are partitioned from all targets while callers, the store and the other entry VMs reach
//! them.

mod common;

use common::partition::{CLAIM, Outcome, PartitionedFleet};
use common::{ScriptedAction, sealed_response};
use sniperelay_standin::soak::proxy::ProxyMode;
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
