//! Tests of the progress of reading the store, without a network.

use sniperelay_relay::copy_status::{CopyTable, CopyTransition};
use sniperelay_relay::sync_progress::{NextRead, SyncProgress};
use std::collections::BTreeMap;
use std::time::Duration;

/// A reader that is behind another one, for example after a change of the reader during a compaction.
#[test]
fn older_list_is_not_caught_up_and_is_followed_by_a_fresh_one() {
    let mut progress = SyncProgress::default();
    assert_eq!(progress.next_read(), NextRead::StaleList);
    assert!(progress.accept_list(10, false));
    assert!(!progress.is_caught_up(), "a list that may be old takes effect with the changes since it");
    progress.accept_changes(20);
    assert!(progress.is_caught_up());
    progress.lose_history();
    assert!(!progress.accept_list(15, true), "the list is older than what is known");
    assert!(!progress.is_caught_up(), "an older list counted as up to date");
    assert_eq!((progress.next_read(), progress.highest_revision()), (NextRead::FreshList, 20));
    assert!(progress.accept_list(20, true));
    assert!(progress.is_caught_up());
    assert_eq!(progress.next_read(), NextRead::Watch(20));
}

#[test]
fn lost_history_is_followed_by_a_fresh_list_however_often_it_is_lost() {
    let mut progress = SyncProgress::default();
    for revision in [5, 6, 7] {
        assert!(progress.accept_list(revision, false));
        progress.lose_history();
        assert_eq!(progress.next_read(), NextRead::FreshList);
        assert!(progress.has_read() && !progress.is_caught_up());
    }
}

/// The ages of copies are counted by prefix: a response for one does not make another one current.
#[test]
fn copies_are_counted_by_prefix() {
    let at = Duration::from_secs;
    let copies = CopyTable::default();
    copies.begin_read("config/", at(1));
    copies.confirm("config/", 7, at(2));
    copies.end_read("config/");
    copies.begin_read("config/", at(2));
    copies.confirm("servers/", 9, at(30));
    let gauges = copies.gauges(at(31));
    let expected = [
        (["config/", "revision"], 7),
        (["config/", "age_ms"], 29_000),
        (["config/", "read_ms"], 29_000),
        (["servers/", "revision"], 9),
        (["servers/", "age_ms"], 1_000),
    ];
    assert_eq!(gauges, expected);
}

/// A copy is confirmed by a later revision of the store only once it has reached that revision.
#[test]
fn copy_that_is_behind_the_store_is_not_confirmed() {
    let at = Duration::from_secs;
    let copies = CopyTable::default();
    copies.confirm("config/", 7, at(1));
    copies.observe_store(7, at(5));
    assert_eq!(copies.statuses()["config/"].age(at(6)), Some(at(1)), "nothing has changed since revision 7");
    copies.confirm("servers/", 9, at(6));
    copies.observe_store(9, at(10));
    copies.observe_store(7, at(11));
    assert_eq!(
        copies.statuses()["config/"].age(at(12)),
        Some(at(7)),
        "revision 9 may be a change of this prefix"
    );
    assert_eq!(copies.statuses()["servers/"].age(at(12)), Some(at(1)));
    copies.confirm("config/", 9, at(12));
    assert_eq!((copies.revision("config/"), copies.revision("other/")), (9, 0));
}

/// A copy that may be stale is confirmed by no response for another prefix: that one may be as stale.
#[test]
fn copy_that_was_never_confirmed_is_not_confirmed_by_the_revision_of_the_store() {
    let at = Duration::from_secs;
    let copies = CopyTable::default();
    copies.restore("config/", 7);
    copies.observe_store(7, at(1));
    assert!(!copies.is_confirmed("config/") && !copies.are_current(at(1)));
    copies.confirm("config/", 7, at(2));
    copies.observe_store(7, at(3));
    assert_eq!(copies.statuses()["config/"].age(at(3)), Some(at(0)));
}

/// A reader states the changes since its earlier statement. Those that a follower lacks leave its copy unconfirmed.
#[test]
fn copy_without_a_change_that_its_reader_states_is_not_confirmed() {
    let at = Duration::from_secs;
    let copies = CopyTable::default();
    copies.confirm("config/", 7, at(1));
    copies.confirm("servers/", 7, at(1));
    copies.observe_reader(&BTreeMap::from([("config/", 9)]), at(3));
    copies.observe_reader(&BTreeMap::new(), at(6));
    assert_eq!(copies.statuses()["config/"].age(at(6)), Some(at(5)));
    assert_eq!(copies.statuses()["servers/"].age(at(6)), Some(at(0)));
    assert!(!copies.are_current(at(6)));
    let transitions = copies.take_transitions(at(6));
    let expected = CopyTransition { prefix: "config/", is_current: false, revision: 7, age: at(5) };
    assert_eq!(transitions, [expected]);
    copies.confirm("config/", 9, at(7));
    assert!(copies.are_current(at(7)));
    let transitions = copies.take_transitions(at(7));
    let expected = CopyTransition { prefix: "config/", is_current: true, revision: 9, age: at(0) };
    assert_eq!(transitions, [expected]);
    assert_eq!(copies.take_transitions(at(7)), [], "each change is returned once");
}
