//! Tests of the changes that a replica returns to followers.

use proptest::prelude::*;
use sniperelay_platform::api::{
    EventList, MAX_RESPONSE_BYTES, MAX_VALUE_BYTES, ObjectEvent, ObjectList, StoredObject,
};
use sniperelay_relay::change_index::{ChangeIndex, MAX_DELETIONS};
use sniperelay_relay::replication::StoreReplica;
use std::collections::BTreeMap;

const PREFIX: &str = "k/";

fn event(key: &str, version: u64, value: Option<&str>) -> ObjectEvent {
    ObjectEvent { key: key.to_owned(), version, value: value.map(str::to_owned) }
}

fn apply(replica: &StoreReplica, event: ObjectEvent) {
    replica.apply_changes(PREFIX, &EventList { revision: event.version, events: vec![event] });
}

fn changes_since(replica: &StoreReplica, revision: u64) -> Option<EventList> {
    replica.numbered_changes(PREFIX, revision).map(|(_, list)| list)
}

/// Guards against followers that never get a newer configuration, because a response holds every version that they
/// have missed and exceeds the size that a follower accepts.
#[test]
fn changes_of_a_large_object_fit_into_a_response_however_many_were_missed() {
    let replica = StoreReplica::default();
    replica.apply_snapshot(PREFIX, &ObjectList { revision: 1, items: Vec::new() });
    let value = "x".repeat(MAX_VALUE_BYTES - 2);
    for version in 2..100 {
        apply(&replica, event("k/main", version, Some(&value)));
    }
    let list = changes_since(&replica, 1).unwrap();
    assert_eq!((list.revision, list.events.len(), list.events[0].version), (99, 1, 99));
    assert!(serde_json::to_vec(&list).unwrap().len() < MAX_RESPONSE_BYTES);
}

/// Guards against deletions that followers never learn of: once one is dropped, earlier followers must list again.
#[test]
fn deletions_dropped_from_the_index_are_reported_as_unavailable() {
    let replica = StoreReplica::default();
    replica.apply_snapshot(PREFIX, &ObjectList { revision: 1, items: Vec::new() });
    for version in 2..5000 {
        apply(&replica, event(&format!("k/{version}"), version, None));
    }
    assert_eq!(changes_since(&replica, 1), None);
    let first_retained = 5000 - MAX_DELETIONS as u64;
    assert_eq!(changes_since(&replica, first_retained - 2), None);
    assert_eq!(changes_since(&replica, first_retained - 1).unwrap().events.len(), MAX_DELETIONS);
    assert_eq!(changes_since(&replica, 4990).unwrap().events.len(), 9);
}

#[test]
fn an_index_has_one_entry_per_object() {
    let mut index = ChangeIndex::starting_at(1);
    for version in 2..10_000 {
        index.record(&format!("k/{}", version % 3), version, version % 7 == 0);
    }
    assert_eq!((index.len(), index.first_revision()), (3, 1));
    assert_eq!(index.since(9998).collect::<Vec<_>>(), [(9999, "k/0")]);
}

/// One change: the name of the object, and its value, or `None` for a deletion.
type Change = (u8, Option<u8>);

fn changes() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec((0..6_u8, prop::option::weighted(0.7, any::<u8>())), 0..60)
}

fn apply_event(objects: &mut BTreeMap<String, StoredObject>, event: ObjectEvent) {
    match event.value {
        Some(value) => {
            let object = StoredObject { key: event.key.clone(), version: event.version, value };
            objects.insert(event.key, object);
        }
        None => drop(objects.remove(&event.key)),
    }
}

proptest! {
    /// A follower that has a copy as of any revision, and applies the changes since then, has the copy of the replica.
    #[test]
    fn a_copy_and_the_changes_since_then_equal_the_replica(changes in changes(), later in changes()) {
        let replica = StoreReplica::default();
        replica.apply_snapshot(PREFIX, &ObjectList { revision: 1, items: Vec::new() });
        let mut copies = vec![(1, BTreeMap::new())];
        for (index, (name, value)) in changes.into_iter().chain(later).enumerate() {
            let version = index as u64 + 2;
            let value = value.map(|value| value.to_string());
            apply(&replica, event(&format!("k/{name}"), version, value.as_deref()));
            let list = replica.snapshot(PREFIX).unwrap();
            copies.push((version, list.items.into_iter().map(|item| (item.key.clone(), item)).collect()));
        }
        let (last_revision, last) = copies.last().cloned().unwrap();
        for (revision, mut copy) in copies {
            let list = changes_since(&replica, revision).unwrap();
            prop_assert_eq!(list.revision, last_revision);
            prop_assert!(list.events.is_sorted_by_key(|event| event.version));
            list.events.into_iter().for_each(|event| apply_event(&mut copy, event));
            prop_assert_eq!(&copy, &last);
        }
    }
}
