//! Tests of the detection that an entry VM reaches no target, in virtual time.

use sniperelay_core::reachability::{ReachabilityChange, TargetReachability};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(20);

/// A link whose targets respond to checks or not, and the state of the entry VM behind it.
struct TestLink {
    reachability: TargetReachability,
    now: Instant,
    rounds: usize,
    idle_checks: usize,
    changes: Vec<ReachabilityChange>,
}

impl TestLink {
    fn new() -> Self {
        let reachability = TargetReachability::default();
        Self { reachability, now: Instant::now(), rounds: 0, idle_checks: 0, changes: Vec::new() }
    }

    /// Runs for `time`. Requests are sent on each tick if `has_requests`, and are answered at once if `responds`.
    fn run(&mut self, time: Duration, has_requests: bool, responds: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            if has_requests && !self.reachability.is_isolated() {
                self.reachability.record_send(self.now);
                if responds {
                    self.reachability.record_response(self.now);
                }
            }
            if self.reachability.take_due_idle_check(self.now) {
                self.idle_checks += 1;
                self.reachability.record_send(self.now);
                if responds {
                    self.reachability.record_response(self.now);
                }
            }
            if self.reachability.take_due_round(self.now) {
                self.rounds += 1;
                let change = self.reachability.record_round(responds, self.now);
                if change != ReachabilityChange::Unchanged {
                    self.changes.push(change);
                }
            }
        }
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn partition_is_noticed_within_a_second_and_so_is_its_end() {
    let mut link = TestLink::new();
    link.run(millis(5000), true, true);
    assert_eq!((link.rounds, link.changes.len()), (0, 0), "no checks while targets respond");
    link.run(millis(700), true, false);
    assert_eq!(link.changes, [ReachabilityChange::Isolated]);
    link.run(millis(10_000), true, false);
    assert!(link.rounds <= 55, "{} rounds of checks in 11 s", link.rounds);
    link.run(millis(700), true, true);
    assert_eq!(link.changes, [ReachabilityChange::Isolated, ReachabilityChange::Connected]);
}

/// Guards against an entry VM that learns of a partition from the requests of its first callers only.
#[test]
fn idle_entry_vm_knows_of_a_partition_within_three_seconds() {
    let mut link = TestLink::new();
    link.run(millis(20_000), false, true);
    assert_eq!((link.rounds, link.changes.len()), (0, 0));
    assert!(link.idle_checks <= 10, "{} checks in 20 s", link.idle_checks);
    link.run(millis(3000), false, false);
    assert_eq!(link.changes, [ReachabilityChange::Isolated]);
    link.run(millis(1000), false, true);
    assert_eq!(link.changes, [ReachabilityChange::Isolated, ReachabilityChange::Connected]);
}

#[test]
fn busy_entry_vm_makes_no_idle_checks() {
    let mut link = TestLink::new();
    link.run(millis(20_000), true, true);
    assert_eq!(link.idle_checks, 0);
}

/// Load pattern: targets are overloaded and respond late, but they respond.
#[test]
fn slow_targets_that_respond_to_a_check_cause_no_isolation() {
    let mut link = TestLink::new();
    for _ in 0..20 {
        link.reachability.record_send(link.now);
        link.run(millis(800), false, true);
    }
    assert_eq!(link.changes, []);
    assert!(link.rounds <= 20, "{} rounds for 20 slow requests", link.rounds);
}

/// Links that come and go: each return takes longer, so that the requests do not follow each change.
#[test]
fn flapping_links_lengthen_the_return() {
    let mut link = TestLink::new();
    for _ in 0..20 {
        link.run(millis(700), true, false);
        link.run(millis(700), true, true);
    }
    assert!(link.changes.len() <= 8, "{} changes in 20 partitions", link.changes.len());
    link.run(millis(12_000), true, true);
    assert_eq!(link.changes.last(), Some(&ReachabilityChange::Connected));
}

#[test]
fn late_response_to_an_old_request_does_not_end_a_partition() {
    let mut link = TestLink::new();
    link.run(millis(1000), true, false);
    link.reachability.record_response(link.now);
    assert!(link.reachability.is_isolated());
}
