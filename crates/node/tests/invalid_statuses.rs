//! Tests that a response whose status is outside 200 to 599 never reaches a caller.

mod common;

use common::raw_target::{RawStep, RawTarget, use_raw_targets, valid_response};
use common::{send_raw_request, start_cluster, status_of};

const READ: &str = "GET /rota/x HTTP/1.1\r\nHost: rota-board\r\nConnection: close\r\n\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn response_with_an_invalid_status_does_not_reach_the_caller() {
    for invalid in ["000", "099", "101", "600", "999"] {
        let cluster = start_cluster(1, 1).await;
        let address = cluster.caller_addresses()[0];
        let target = RawTarget::start(move |_| {
            let RawStep::Write(text) = valid_response("in trouble").remove(0) else { unreachable!() };
            vec![RawStep::Write(text.replace("200 OK", &format!("{invalid} Trouble")))]
        })
        .await;
        use_raw_targets(&cluster, "rota-board", &[&target]).await;
        let response = send_raw_request(address, READ).await;
        assert!(matches!(status_of(&response), 502 | 503), "{invalid}: {response}");
        assert!(!response.contains("in trouble"), "{invalid}: {response}");
        assert!(target.request_count() > 0, "{invalid}: the target got no request");
        cluster.shut_down();
    }
}
