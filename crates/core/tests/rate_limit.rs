//! Tests of request rate limits that targets state, in virtual time.

use sniperelay_core::rate_limit::{LimitChange, TargetLimit};
use std::time::{Duration, Instant};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn limit_ends_only_with_a_response_to_a_request_sent_after_it() {
    let start = Instant::now();
    let at = |ms| start + millis(ms);
    let mut limit = TargetLimit::new(5.0, at(100));
    assert_eq!(limit.record_response(Some(5.0), at(50), at(110)), LimitChange::Unchanged);
    assert_eq!(limit.record_response(Some(3.0), at(60), at(120)), LimitChange::Stated(3.0));
    // Generated before the limit was stated, and delivered after it.
    assert_eq!(limit.record_response(None, at(90), at(130)), LimitChange::Unchanged);
    assert_eq!(limit.observation().per_second, Some(3.0));
    assert_eq!(limit.record_response(None, at(125), at(140)), LimitChange::Ended);
    assert_eq!(limit.record_response(None, at(135), at(150)), LimitChange::Unchanged);
    assert_eq!(limit.record_response(Some(8.0), at(145), at(160)), LimitChange::Stated(8.0));
}
