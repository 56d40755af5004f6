//! Tests of the quarantine of requests under which targets crash, over a few connected tables.

use sniperelay_core::quarantine::{Admission, ContentHash, MAX_REPORTS, ObservedCrash, QuarantineTable};
use std::time::Duration;

const CONTENT: u128 = 7;
const CALLER: u64 = 1;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(1000.0 + seconds)
}

/// Records the crash of a target, which is confirmed at once.
fn crash(
    table: &mut QuarantineTable,
    crash: u64,
    content: ContentHash,
    caller: u64,
    crashed_at: Duration,
) -> usize {
    table.record_crash(ObservedCrash { content, caller, crash, crashed_at }, crashed_at)
}

/// Returns a table in which three targets have crashed under [`CONTENT`], the last one at `at(0.0)`.
fn quarantined_table() -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for number in 0..3 {
        crash(&mut table, number, CONTENT, CALLER, at(number as f64 - 2.0));
    }
    table
}

fn is_quarantined(table: &mut QuarantineTable, caller: u64, now: Duration) -> bool {
    matches!(table.admit(CONTENT, caller, 0, now), Admission::Quarantined { .. })
}

/// Tables of entry VMs that exchange their reports at once.
struct ConnectedTables(Vec<QuarantineTable>);

impl ConnectedTables {
    fn new(count: usize) -> Self {
        Self((0..count).map(|_| QuarantineTable::default()).collect())
    }

    fn exchange(&mut self, now: Duration) {
        for sender in 0..self.0.len() {
            if self.0[sender].publish_at().is_none_or(|publish_at| publish_at > now) {
                continue;
            }
            let reports = self.0[sender].take_reports();
            for receiver in (0..self.0.len()).filter(|receiver| *receiver != sender) {
                self.0[receiver].merge_reports(&format!("vm{sender}"), &reports, now);
            }
        }
    }
}

#[test]
fn content_is_quarantined_after_three_crashes() {
    let mut table = QuarantineTable::default();
    let now = at(0.0);
    assert_eq!(table.admit(CONTENT, CALLER, 0, now), Admission::Unrestricted);
    assert_eq!(crash(&mut table, 101, CONTENT, CALLER, now), 1);
    assert_eq!(table.admit(CONTENT, CALLER, 0, now), Admission::Unrestricted);
    assert_eq!(crash(&mut table, 102, CONTENT, CALLER, now), 2);
    assert_eq!(
        table.admit(CONTENT, CALLER, 0, now),
        Admission::SingleAttempt,
        "a retry would crash a fourth"
    );
    assert_eq!(crash(&mut table, 103, CONTENT, CALLER, now), 3);
    let expected = Admission::Quarantined { crashes: 3, retry_after: Duration::from_secs(30) };
    assert_eq!(table.admit(CONTENT, CALLER, 0, now), expected);
    assert_eq!(table.admit(CONTENT + 1, CALLER, 0, now), Admission::Unrestricted);
}

/// Guards against requests that crash one target at each of several entry VMs, none of which sees three crashes.
#[test]
fn crashes_seen_by_different_entry_vms_count_together() {
    let mut vms = ConnectedTables::new(4);
    for vm in 0..3 {
        crash(&mut vms.0[vm], vm as u64, CONTENT, CALLER, at(0.0));
        vms.exchange(at(0.5));
    }
    for vm in 0..4 {
        assert!(is_quarantined(&mut vms.0[vm], CALLER, at(1.0)), "entry VM {vm}");
        assert_eq!(vms.0[vm].crashes(CONTENT), 3, "entry VM {vm}");
    }
    assert_eq!(vms.0[3].reporters(CONTENT), ["vm0", "vm1", "vm2"]);
}

/// Guards against counting one report several times.
#[test]
fn repeated_reports_count_once() {
    let (mut sender, mut receiver) = (QuarantineTable::default(), QuarantineTable::default());
    crash(&mut sender, 105, CONTENT, CALLER, at(0.0));
    let reports = sender.take_reports();
    for _ in 0..5 {
        receiver.merge_reports("vm0", &reports, at(1.0));
    }
    assert_eq!(receiver.crashes(CONTENT), 1);
}

/// Guards against quarantining a healthy request whose targets crash under others: it is completed in between.
#[test]
fn completed_run_clears_the_crashes() {
    let mut vms = ConnectedTables::new(3);
    for round in 0..20u32 {
        let now = at(f64::from(round));
        for vm in 0..3 {
            crash(&mut vms.0[vm], u64::from(round) * 3 + vm as u64, CONTENT, CALLER, now);
            vms.exchange(now);
            vms.0.iter_mut().for_each(|table| table.record_completion(CONTENT, CALLER, now));
            assert!(!is_quarantined(&mut vms.0[vm], CALLER, now));
        }
    }
}

/// Guards against crashes that are confirmed after a run has been completed: it takes some time to confirm a crash.
#[test]
fn crash_before_a_completed_run_does_not_count() {
    let mut table = QuarantineTable::default();
    for round in 0..10u32 {
        let crashed_at = at(f64::from(round));
        table.record_suspicion(CONTENT, crashed_at);
        table.record_completion(CONTENT, CALLER, crashed_at + Duration::from_millis(100));
        let observed = ObservedCrash { content: CONTENT, caller: CALLER, crash: round.into(), crashed_at };
        assert_eq!(table.record_crash(observed, crashed_at + Duration::from_millis(300)), 0);
    }
}

/// Guards against quarantining a popular request of which a copy runs on each target that crashes under another one.
#[test]
fn crashes_under_content_with_more_crashes_do_not_count() {
    let (mut table, popular) = (QuarantineTable::default(), CONTENT + 1);
    for number in 0..5 {
        crash(&mut table, number, CONTENT, CALLER, at(number as f64));
        if number != 1 {
            crash(&mut table, number, popular, 2, at(number as f64));
        }
    }
    assert!(is_quarantined(&mut table, CALLER, at(5.0)));
    assert_eq!(table.admit(popular, 2, 0, at(5.0)), Admission::Unrestricted);
}

/// Guards against a quarantine without end after many targets were lost at once: no trial has failed.
#[test]
fn simultaneous_crashes_lead_to_the_first_quarantine_only() {
    let mut table = QuarantineTable::default();
    for reporter in 0..10u64 {
        let mut sender = QuarantineTable::default();
        crash(&mut sender, reporter, CONTENT, reporter, at(0.0));
        table.merge_reports(&format!("vm{reporter}"), &sender.take_reports(), at(0.5));
    }
    assert!(is_quarantined(&mut table, CALLER, at(30.0)));
    assert_eq!(table.admit(CONTENT, CALLER, 0, at(30.5)), Admission::Trial);
}

/// Guards against other content that pushes a quarantined one out of the table or out of the reports.
#[test]
fn content_with_many_crashes_is_kept_and_reported() {
    let mut table = quarantined_table();
    for content in 100..3000 {
        crash(&mut table, content as u64, content, CALLER, at(1.0 + content as f64 / 1000.0));
        table.record_suspicion(content + 10_000, at(1.0 + content as f64 / 1000.0));
    }
    assert!(is_quarantined(&mut table, CALLER, at(5.0)));
    assert!(table.take_reports().iter().any(|report| report.content == CONTENT));
}

/// Guards against completed runs of another caller, under which the content crashes nothing.
#[test]
fn completed_run_of_another_caller_clears_nothing() {
    let mut table = quarantined_table();
    table.record_completion(CONTENT, 2, at(0.5));
    assert!(is_quarantined(&mut table, CALLER, at(1.0)));
}

/// Guards against requests that were queued when the quarantine began.
#[test]
fn quarantine_applies_to_requests_admitted_before_it() {
    let mut table = QuarantineTable::default();
    assert_eq!(table.admit(CONTENT, CALLER, 0, at(0.0)), Admission::Unrestricted);
    for number in 0..3 {
        assert_eq!(table.quarantine_of(CONTENT, CALLER, at(1.0)), None);
        crash(&mut table, number, CONTENT, CALLER, at(1.0));
    }
    assert_eq!(table.quarantine_of(CONTENT, CALLER, at(2.0)), Some(Duration::from_secs(29)));
    assert_eq!(table.quarantine_of(CONTENT, 2, at(2.0)), None, "another caller");
}

/// Two requests of which each crashes targets of its own are both quarantined.
#[test]
fn crashes_under_different_contents_are_kept_apart() {
    let mut table = quarantined_table();
    for number in 10..15 {
        crash(&mut table, number, CONTENT + 1, CALLER, at(0.0));
    }
    assert!(is_quarantined(&mut table, CALLER, at(1.0)));
    assert!(matches!(table.admit(CONTENT + 1, CALLER, 0, at(1.0)), Admission::Quarantined { .. }));
}

/// Guards against counting the crash of one target twice, because two entry VMs had sent the content to it.
#[test]
fn crash_reported_by_two_entry_vms_counts_once() {
    let mut tables = [QuarantineTable::default(), QuarantineTable::default()];
    for table in &mut tables {
        crash(table, 77, CONTENT, CALLER, at(0.0));
    }
    let reports = tables[0].take_reports();
    tables[1].merge_reports("vm0", &reports, at(1.0));
    assert_eq!(tables[1].crashes(CONTENT), 1);
}

#[test]
fn suspicions_without_a_crash_are_forgotten_soon() {
    let mut table = QuarantineTable::default();
    table.record_suspicion(CONTENT, at(0.0));
    table.remove_expired(at(10.0));
    assert!(table.is_empty());
}

/// A crash after a completed run counts from one again, also if its reporter had reported crashes before.
#[test]
fn crashes_after_a_completed_run_count_again() {
    let mut vms = ConnectedTables::new(2);
    crash(&mut vms.0[0], 107, CONTENT, CALLER, at(0.0));
    crash(&mut vms.0[0], 108, CONTENT, CALLER, at(0.0));
    vms.exchange(at(0.0));
    vms.0[1].record_completion(CONTENT, CALLER, at(1.0));
    assert_eq!(vms.0[1].crashes(CONTENT), 0);
    vms.0[0].record_completion(CONTENT, CALLER, at(1.0));
    crash(&mut vms.0[0], 109, CONTENT, CALLER, at(2.0));
    vms.exchange(at(2.0));
    assert_eq!(vms.0[1].crashes(CONTENT), 1);
}

/// Guards against stale reports of entry VMs that have seen the content completed.
#[test]
fn cleared_reports_are_withdrawn() {
    let mut vms = ConnectedTables::new(2);
    crash(&mut vms.0[0], 110, CONTENT, CALLER, at(0.0));
    vms.exchange(at(0.0));
    assert_eq!(vms.0[1].crashes(CONTENT), 1);
    vms.0[0].record_completion(CONTENT, CALLER, at(1.0));
    vms.exchange(at(10.0));
    assert_eq!(vms.0[1].crashes(CONTENT), 0);
}

/// Content with crashes of one caller concerns that caller only; with crashes of two, all.
#[test]
fn other_callers_are_not_concerned_until_two_are_affected() {
    let mut table = quarantined_table();
    assert!(is_quarantined(&mut table, CALLER, at(1.0)));
    assert_eq!(table.admit(CONTENT, 2, 0, at(1.0)), Admission::Unrestricted);
    crash(&mut table, 111, CONTENT, 2, at(2.0));
    assert!(is_quarantined(&mut table, 3, at(3.0)));
}

/// Guards against a quarantine without end: after it, one request is let through, and its completion clears the
/// content.
#[test]
fn quarantine_ends_with_a_trial() {
    let mut table = quarantined_table();
    assert!(is_quarantined(&mut table, CALLER, at(29.9)));
    assert_eq!(table.admit(CONTENT, CALLER, 0, at(30.0)), Admission::Trial);
    assert!(is_quarantined(&mut table, CALLER, at(30.1)), "one trial at a time");
    table.record_completion(CONTENT, CALLER, at(31.0));
    assert_eq!(table.admit(CONTENT, CALLER, 0, at(31.0)), Admission::Unrestricted);
}

/// A trial whose result never becomes known makes room for another one.
#[test]
fn trial_without_a_result_ends() {
    let mut table = quarantined_table();
    assert_eq!(table.admit(CONTENT, CALLER, 0, at(30.0)), Admission::Trial);
    assert!(is_quarantined(&mut table, CALLER, at(39.0)));
    assert_eq!(table.admit(CONTENT, CALLER, 0, at(40.0)), Admission::Trial);
}

/// Guards against more than three runs after the threshold, for content that is requested again and again at all
/// entry VMs, for ten hours.
#[test]
fn at_most_three_trials_crash_while_the_content_is_requested() {
    let mut vms = ConnectedTables::new(4);
    let mut runs_after_threshold = 0;
    for tick in 0..9_000u64 {
        let now = at(4.0 * tick as f64);
        for vm in 0..4 {
            let admission = vms.0[vm].admit(CONTENT, CALLER, vm as u32, now);
            if !matches!(admission, Admission::Quarantined { .. }) {
                runs_after_threshold += u32::from(vms.0[vm].crashes(CONTENT) >= 3);
                crash(&mut vms.0[vm], 4 * tick + vm as u64, CONTENT, CALLER, now);
                vms.exchange(now);
            }
            vms.0[vm].remove_expired(now);
        }
    }
    assert_eq!(runs_after_threshold, 3);
}

/// Guards against losing the quarantine when entry VMs restart one after the other.
#[test]
fn restarted_entry_vm_takes_over_its_reports_and_those_of_others() {
    let mut vms = ConnectedTables::new(2);
    crash(&mut vms.0[0], 113, CONTENT, CALLER, at(0.0));
    crash(&mut vms.0[0], 114, CONTENT, CALLER, at(0.0));
    crash(&mut vms.0[1], 115, CONTENT, CALLER, at(0.0));
    let (first, second) = (vms.0[0].take_reports(), vms.0[1].take_reports());
    let mut restarted = QuarantineTable::default();
    restarted.adopt_reports(&first, at(5.0));
    restarted.merge_reports("vm1", &second, at(5.0));
    assert!(is_quarantined(&mut restarted, CALLER, at(5.0)));
    assert_eq!(restarted.take_reports(), first);
}

#[test]
fn crashes_below_the_threshold_are_forgotten() {
    let mut table = QuarantineTable::default();
    crash(&mut table, 116, CONTENT, CALLER, at(0.0));
    table.remove_expired(at(599.0));
    assert_eq!(table.crashes(CONTENT), 1);
    table.remove_expired(at(600.0));
    assert!(table.is_empty());
}

/// Guards against memory that grows with the number of contents, own or reported.
#[test]
fn table_and_reports_are_bounded() {
    let mut table = QuarantineTable::default();
    for content in 0..5000 {
        crash(&mut table, 117, content, CALLER, at(content as f64 / 100.0));
    }
    assert_eq!(table.len(), 1024);
    assert_eq!(table.crashes(4999), 1, "the latest are kept");
    let reports = table.take_reports();
    assert_eq!((reports.len(), reports[0].content), (MAX_REPORTS, 4999));
    let mut receiver = QuarantineTable::default();
    for reporter in 0..100 {
        receiver.merge_reports(&format!("vm{reporter}"), &reports, at(60.0));
    }
    assert_eq!(receiver.len(), MAX_REPORTS);
    assert_eq!(receiver.reporters(4999).len(), 16);
}
