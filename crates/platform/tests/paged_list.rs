//! Tests of lists whose pages show different revisions of the store, against generated histories.

use proptest::prelude::*;
use sniperelay_platform::api::{EventList, ObjectEvent, ObjectList, StoredObject};
use sniperelay_platform::paged_list::{AssembledList, PagedList};
use std::collections::BTreeMap;

/// Number of keys of a generated history.
const KEYS: u8 = 8;

type Objects = BTreeMap<String, StoredObject>;

/// States and changes of a store under one prefix. The state at revision `r` is `states[r]`, and the change that led to
/// it is `events[r - 1]`.
#[derive(Debug)]
struct History {
    states: Vec<Objects>,
    events: Vec<ObjectEvent>,
}

impl History {
    /// Makes a history from pairs of a key and whether it is written or deleted. The deletion of a missing object
    /// creates it. `states_last_version` makes deletions state the version of the deleted object.
    fn new(operations: &[(u8, bool)], states_last_version: bool) -> Self {
        let mut history = Self { states: vec![Objects::new()], events: Vec::new() };
        for (index, (key, is_write)) in operations.iter().enumerate() {
            let version = index as u64 + 1;
            let key = format!("k/{key}");
            let mut objects = history.states[index].clone();
            let deleted = if *is_write { None } else { objects.remove(&key) };
            let event = match deleted {
                Some(object) => {
                    let version = if states_last_version { object.version } else { version };
                    ObjectEvent { key, version, value: None }
                }
                None => {
                    let value = format!("v{version}");
                    objects.insert(
                        key.clone(),
                        StoredObject { key: key.clone(), version, value: value.clone() },
                    );
                    ObjectEvent { key, version, value: Some(value) }
                }
            };
            history.states.push(objects);
            history.events.push(event);
        }
        history
    }

    fn latest_revision(&self) -> u64 {
        self.events.len() as u64
    }

    fn changes(&self, since: u64, until: u64) -> EventList {
        EventList { revision: until, events: self.events[since as usize..until as usize].to_vec() }
    }

    fn list(&self, revision: u64) -> ObjectList {
        ObjectList { revision, items: self.states[revision as usize].values().cloned().collect() }
    }

    /// Reads pages of at most `size` objects at these revisions; the last revision is that of all further pages.
    fn read_pages(&self, revisions: &[u64], size: usize) -> PagedList {
        let mut pages = PagedList::default();
        let mut last_key = None;
        for index in 0.. {
            let revision = revisions[index.min(revisions.len() - 1)];
            let is_left = |key: &&String| last_key.as_ref().is_none_or(|last| *key > last);
            let state = &self.states[revision as usize];
            let items: Vec<StoredObject> =
                state.iter().filter(|(key, _)| is_left(key)).map(|(_, object)| object.clone()).collect();
            let page = items[..items.len().min(size)].to_vec();
            let has_more = items.len() > page.len();
            last_key = page.last().map(|object| object.key.clone()).filter(|_| has_more);
            pages.add_page(revision, page);
            if !has_more {
                return pages;
            }
        }
        unreachable!("a history has finitely many objects")
    }
}

fn operations() -> impl Strategy<Value = Vec<(u8, bool)>> {
    prop::collection::vec((0..KEYS, prop::bool::weighted(0.6)), 1..40)
}

proptest! {
    /// Guards against lists that hide a change because their pages differ in age, in any order of ages, and against
    /// objects that return to an earlier version or reappear: a completed list is a state of the store.
    #[test]
    fn completed_list_is_a_state_of_the_store(
        operations in operations(),
        ages in prop::collection::vec(0_u64..40, 1..5),
        size in 1_usize..4,
        until in 0_u64..40,
        states_last_version: bool,
    ) {
        let history = History::new(&operations, states_last_version);
        let latest = history.latest_revision();
        let revisions: Vec<u64> = ages.iter().map(|age| latest.saturating_sub(*age)).collect();
        // The changes may come in two responses.
        let mut responses = vec![until.min(latest), latest].into_iter();
        let mut pages = history.read_pages(&revisions, size);
        let list = loop {
            pages = match pages.assemble() {
                AssembledList::Complete(list) => break list,
                AssembledList::Incomplete(pages) => pages,
            };
            let since = pages.lowest_revision();
            let until = responses.next().expect("the list is complete after all changes");
            pages.apply_changes(history.changes(since, until.max(since)));
        };
        prop_assert!(revisions[0] <= list.revision && list.revision <= latest);
        prop_assert_eq!(&list, &history.list(list.revision));
    }
}

/// A list whose pages agree needs no changes.
#[test]
fn pages_of_one_revision_are_complete() {
    let history = History::new(&[(0, true), (1, true), (2, true)], false);
    for (pages, expected) in [
        (history.read_pages(&[3], 2), history.list(3)),
        (PagedList::default(), ObjectList { revision: 0, items: Vec::new() }),
    ] {
        let AssembledList::Complete(list) = pages.assemble() else { panic!("changes are missing") };
        assert_eq!(list, expected);
    }
}
