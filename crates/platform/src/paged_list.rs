//! Assembly of a list from pages that show different revisions of the store.
//!
//! Each page is read by a call of its own and shows the state of the store at its own revision. Later pages of an
//! up-to-date list are newer than earlier ones; those of a list that may be stale are newer or older. The changes after
//! the oldest page bring all pages to the same revision.
//!
//! Invariants:
//!
//! - Each key belongs to one page, whether or not an object with this key exists.
//! - A page takes no change that it already includes: no object returns to an earlier version, and no deleted object
//!   is created again.
//! - The list of a [`PagedList`] is a state of the store once no changes are missing.

use crate::api::{EventList, ObjectEvent, ObjectList, ObjectVersion, StoredObject};
use std::collections::BTreeMap;

/// Keys of one page. They begin after those of the page before.
#[derive(Debug)]
struct PageRange {
    /// Last key of the page; `None` if no page follows.
    last_key: Option<String>,
    /// Revision of the store that the page shows.
    revision: ObjectVersion,
}

/// Pages of one list, in the order of their keys.
#[derive(Debug, Default)]
pub struct PagedList {
    objects: BTreeMap<String, StoredObject>,
    ranges: Vec<PageRange>,
}

impl PagedList {
    /// Adds the next page. `last_key` is its last key; `None` if no page follows.
    pub fn add_page(
        &mut self,
        revision: ObjectVersion,
        objects: impl IntoIterator<Item = StoredObject>,
        last_key: Option<String>,
    ) {
        self.objects.extend(objects.into_iter().map(|object| (object.key.clone(), object)));
        self.ranges.push(PageRange { last_key, revision });
    }

    /// Returns the revision after which changes are missing; `None` if all pages show the same revision.
    pub fn missing_since(&self) -> Option<ObjectVersion> {
        let lowest = self.ranges.iter().map(|range| range.revision).min()?;
        (lowest < self.highest_revision()).then_some(lowest)
    }

    /// Applies all changes after [`Self::missing_since`] up to the revision of the event list. Each page takes those that
    /// it does not include yet.
    pub fn apply_changes(&mut self, list: EventList) {
        for event in list.events {
            self.apply_event(event);
        }
        for range in &mut self.ranges {
            range.revision = range.revision.max(list.revision);
        }
    }

    fn apply_event(&mut self, event: ObjectEvent) {
        let ObjectEvent { key, version, value } = event;
        match value {
            Some(value) => {
                if version > self.revision_at(&key) {
                    self.objects.insert(key.clone(), StoredObject { key, version, value });
                }
            }
            // A store may state the version of the deleted object instead of that of its deletion.
            None => {
                if self.objects.get(&key).is_some_and(|object| object.version <= version) {
                    self.objects.remove(&key);
                }
            }
        }
    }

    /// Returns the revision of the page to which a key belongs.
    fn revision_at(&self, key: &str) -> ObjectVersion {
        let is_before = |range: &PageRange| range.last_key.as_deref().is_some_and(|last| last < key);
        let index = self.ranges.partition_point(is_before);
        self.ranges.get(index).map_or(0, |range| range.revision)
    }

    fn highest_revision(&self) -> ObjectVersion {
        self.ranges.iter().map(|range| range.revision).max().unwrap_or(0)
    }

    /// Returns the objects of all pages.
    pub fn into_list(self) -> ObjectList {
        let revision = self.highest_revision();
        ObjectList { revision, items: self.objects.into_values().collect() }
    }
}
