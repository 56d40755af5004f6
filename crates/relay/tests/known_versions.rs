//! Tests of the versions that a process knows, beside sources that are behind what it has written.

use proptest::prelude::*;
use sniperelay_platform::api::{ObjectEvent, ObjectList, StoredObject, version_in_history};
use sniperelay_relay::known_versions::{KnownVersions, ListChanges};

const KEY: &str = "vms/own";

fn object(key: &str, version: u64) -> StoredObject {
    StoredObject { key: key.to_owned(), version, value: String::new() }
}

fn event(version: u64, is_write: bool) -> ObjectEvent {
    ObjectEvent { key: KEY.to_owned(), version, value: is_write.then(String::new) }
}

fn list(revision: u64, items: Vec<StoredObject>) -> ObjectList {
    ObjectList { revision, items }
}

/// Guards against a process that takes its registration for deleted, or for that of its predecessor, because the reader
/// that it follows is behind the registration, and then registers again.
#[test]
fn written_object_does_not_return_to_an_earlier_version() {
    let mut known = KnownVersions::default();
    known.apply_list(list(5, vec![object(KEY, 3)]));
    known.record_written(KEY.to_owned(), 9);
    assert!(!known.apply_event(&event(6, true)), "a change before the registration");
    assert!(!known.apply_event(&event(7, false)), "the deletion by the predecessor");
    assert_eq!(
        known.apply_list(list(8, Vec::new())),
        ListChanges::default(),
        "a list before the registration"
    );
    assert_eq!(known.apply_list(list(8, vec![object(KEY, 3)])), ListChanges::default());
    assert_eq!(known.get(KEY), Some(9));
    assert!(known.apply_event(&event(9, true)));
    assert!(known.apply_event(&event(9, false)), "a deletion that states the version of the object");
    assert_eq!(known.get(KEY), None);
}

/// A store that returns from a copy has another history, whose versions are later than all before.
#[test]
fn list_of_a_later_history_replaces_what_was_written() {
    let mut known = KnownVersions::default();
    known.record_written(KEY.to_owned(), version_in_history(1, 900));
    let returned = list(version_in_history(2, 400), vec![object("vms/other", version_in_history(2, 300))]);
    let changes = known.apply_list(returned.clone());
    assert_eq!(changes, ListChanges { deleted: vec![KEY.to_owned()], updated: returned.items });
}

proptest! {
    /// Whatever arrives in whatever order, the version of an object that exists never decreases.
    #[test]
    fn versions_never_decrease(steps in prop::collection::vec((0_u8..4, 1_u64..30), 1..60)) {
        let mut known = KnownVersions::default();
        for (kind, version) in steps {
            let before = known.get(KEY);
            match kind {
                0 => drop(known.apply_list(list(version, vec![object(KEY, version)]))),
                1 => drop(known.apply_list(list(version, Vec::new()))),
                2 => drop(known.apply_event(&event(version, true))),
                _ => known.record_written(KEY.to_owned(), before.unwrap_or(0) + version),
            }
            if let (Some(before), Some(after)) = (before, known.get(KEY)) {
                prop_assert!(after >= before);
            }
        }
    }
}
