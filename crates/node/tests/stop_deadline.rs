//! Tests of the time from which requests are refused in a planned stop.

use sniperelay_node::stop_deadline::StopDeadline;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RESPONSE_TIME: Duration = Duration::from_millis(100);

#[test]
fn time_needed_for_a_response_decides_whether_a_request_is_started() {
    let (deadline, now) = (StopDeadline::default(), Instant::now());
    assert!(!deadline.is_too_late(|| Duration::from_secs(3600), now), "the process is not stopping");
    deadline.set(now + Duration::from_secs(2));
    assert!(!deadline.is_too_late(|| RESPONSE_TIME, now));
    assert!(deadline.is_too_late(|| RESPONSE_TIME, now + Duration::from_millis(1900)));
    assert!(deadline.is_too_late(|| Duration::from_secs(3), now), "a slow service gets none at all");
}

#[tokio::test]
async fn requests_that_wait_learn_of_a_stop_that_begins_later() {
    let deadline = Arc::new(StopDeadline::default());
    let waiting = tokio::spawn({
        let deadline = deadline.clone();
        async move { deadline.wait_until_too_late(|| RESPONSE_TIME).await }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(!waiting.is_finished());
    let end = Instant::now() + Duration::from_millis(500);
    deadline.set(end);
    waiting.await.unwrap();
    assert!(deadline.is_too_late(|| RESPONSE_TIME, Instant::now()));
    assert!(Instant::now() < end);
}
