//! Tests of targets that report that they are leaving.

use sniperelay_core::leaving::LeavingReports;
use std::time::Duration;

const DRAIN: Duration = Duration::from_millis(2000);

fn at(millis: u64) -> Duration {
    Duration::from_millis(10_000 + millis)
}

#[test]
fn reported_target_is_excluded_at_once_while_another_one_stays() {
    let mut reports = LeavingReports::default();
    let (leaving, other) = ("i1".to_owned(), "i2".to_owned());
    assert!(!reports.is_excluded(&leaving, true, DRAIN, at(0)));
    assert!(reports.record(&leaving, at(0)));
    assert!(!reports.record(&leaving, at(500)), "a second report changes nothing");
    assert!(reports.is_excluded(&leaving, true, DRAIN, at(0)));
    assert!(!reports.is_excluded(&other, true, DRAIN, at(0)));
}

/// Load pattern: all targets of a service are replaced at the same time. The last ones serve on, but none gets a
/// request later than its drain time after its report.
#[test]
fn targets_that_all_leave_are_used_within_their_drain_time() {
    let mut reports = LeavingReports::default();
    let instances = ["i1".to_owned(), "i2".to_owned()];
    reports.record(&instances[0], at(0));
    reports.record(&instances[1], at(400));
    for (now, expected) in
        [(500, [false, false]), (999, [false, false]), (1000, [true, false]), (1400, [true, true])]
    {
        let excluded =
            instances.each_ref().map(|instance| reports.is_excluded(instance, false, DRAIN, at(now)));
        assert_eq!(excluded, expected, "{now} ms");
    }
    assert_eq!(reports.next_expiry(DRAIN, at(500)), Some(at(1000)));
    assert_eq!(reports.next_expiry(DRAIN, at(1000)), Some(at(1400)));
    assert_eq!(reports.next_expiry(DRAIN, at(1400)), None);
}

/// The address of a target that has left is used by another instance, of whatever service.
#[test]
fn reports_end_with_the_instance() {
    let mut reports = LeavingReports::default();
    reports.record(&"i1".to_owned(), at(0));
    reports.retain_listed(|instance| instance != "i1");
    assert!(reports.is_empty() && !reports.has_reported(&"i1".to_owned()));
}
