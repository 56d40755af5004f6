//! Tests of the status that operators see.

mod common;

use common::{send_raw_request, start_cluster};
use sniperelay_node::control::status::{NodeStatus, RankStatus};
use std::collections::BTreeMap;

fn rank(on_time: u64, late: u64, refused: u64) -> RankStatus {
    let refusals = BTreeMap::from([("queue-full".to_owned(), refused)]);
    RankStatus { on_time, late, refusals, on_time_target: 0.99, ..RankStatus::default() }
}

#[test]
fn rank_misses_its_target_if_too_few_requests_are_answered_on_time() {
    for (status, misses) in [
        (rank(0, 0, 0), false),
        (rank(99, 1, 0), false),
        (rank(98, 2, 0), true),
        (rank(99, 0, 2), true),
        (rank(0, 0, 5), true),
    ] {
        assert_eq!(status.misses_target(), misses, "{status:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_share_that_the_document_wants_on_time() {
    let cluster = start_cluster(1, 1).await;
    let request = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nConnection: close\r\n\r\n";
    send_raw_request(cluster.caller_addresses()[0], request).await;
    let ranks = || {
        let status: NodeStatus =
            serde_json::from_value((**cluster.entry_vms[0].node_state().status.load()).clone()).ok()?;
        status.services.get("rota-board").map(|service| service.ranks.clone())
    };
    common::wait_until("the status shows the service", || ranks().is_some()).await;
    let wanted: Vec<f64> =
        cluster.spec.services[0].document.ranks.iter().map(|rank| rank.on_time_share).collect();
    for share in wanted {
        assert!(ranks().unwrap().values().any(|rank| rank.on_time_target == share), "{share}");
    }
    cluster.shut_down();
}
