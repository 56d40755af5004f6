//! Tests that the deadline is checked on both clocks directly before a request is sent.

use bytes::Bytes;
use http::Request;
use sniperelay_node::traffic::attempt::{AttemptDeadline, AttemptResult, run_attempt};
use sniperelay_node::traffic::body::full_body;
use sniperelay_node::traffic::pool::TargetPool;
use sniperelay_node::wall_clock;
use sniperelay_standin::target::{RunLedger, TargetStandin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const MINUTE: Duration = Duration::from_secs(60);

#[tokio::test]
async fn request_past_its_deadline_on_either_clock_is_not_sent() {
    let target = TargetStandin::start(1, 8, Arc::new(RunLedger::default())).await.unwrap();
    let (now, wall) = (Instant::now(), wall_clock::since_epoch());
    // Each row: deadline on the monotonic clock, deadline on the wall clock, whether the request is
    // sent.
    let rows = [
        (now + MINUTE, wall + MINUTE, true),
        (now + MINUTE, wall - Duration::from_millis(1), false),
        (now, wall + MINUTE, false),
        (now, wall, false),
    ];
    for (monotonic, wall_end, is_sent) in rows {
        let before = target.control.accepted.load(Ordering::Relaxed);
        let request =
            Request::get("/rota/x").header("host", "rota-board").body(full_body(Bytes::new())).unwrap();
        let deadline = AttemptDeadline { monotonic, wall: wall_end };
        let attempt =
            run_attempt(TargetPool::default(), target.address(), request, deadline, None, None).await;
        assert_eq!(matches!(attempt, AttemptResult::Responded { .. }), is_sent);
        assert_eq!(target.control.accepted.load(Ordering::Relaxed) - before, u64::from(is_sent));
    }
}
