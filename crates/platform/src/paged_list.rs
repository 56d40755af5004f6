//! Assembly of a list from pages that show different revisions of the store.
//!
//! Each page is read by a call of its own and shows the state of the store at its own revision. Later pages of an
//! up-to-date list are newer than earlier ones; those of a list that may be stale are newer or older. The changes after
//! the oldest page bring all pages to the same revision: what they leave of an object is its state, whichever of them its
//! page includes already.
//!
//! Invariant: a list that is returned is a state of the store. Until no changes are missing, there is none.

use crate::api::{EventList, ObjectEvent, ObjectList, ObjectVersion, StoredObject};
use std::collections::BTreeMap;

/// A list whose pages show the same revision, or that lacks changes.
#[derive(Debug)]
pub enum AssembledList {
    /// The list is a state of the store.
    Complete(ObjectList),
    /// Some pages lack changes.
    Incomplete(PagedList),
}

/// Pages of one list.
#[derive(Debug, Default)]
pub struct PagedList {
    objects: Vec<StoredObject>,
    /// Revision of the oldest page; `None` before the first one.
    lowest_revision: Option<ObjectVersion>,
    highest_revision: ObjectVersion,
}

impl PagedList {
    /// Adds the next page, which shows the store at this revision.
    pub fn add_page(&mut self, revision: ObjectVersion, objects: impl IntoIterator<Item = StoredObject>) {
        self.objects.extend(objects);
        let lowest = self.lowest_revision.map_or(revision, |lowest| lowest.min(revision));
        self.lowest_revision = Some(lowest);
        self.highest_revision = self.highest_revision.max(revision);
    }

    /// Returns the revision of the oldest page: changes after it may be missing.
    pub fn lowest_revision(&self) -> ObjectVersion {
        self.lowest_revision.unwrap_or(0)
    }

    /// Returns the revision of the newest page.
    pub fn highest_revision(&self) -> ObjectVersion {
        self.highest_revision
    }

    /// Applies all changes after [`Self::lowest_revision`] up to the revision of the event list, which are
    /// in their order.
    pub fn apply_changes(&mut self, list: EventList) {
        let latest: BTreeMap<String, ObjectEvent> =
            list.events.into_iter().map(|event| (event.key.clone(), event)).collect();
        self.objects.retain(|object| !latest.contains_key(&object.key));
        let present = latest.into_values().filter_map(|ObjectEvent { key, version, value }| {
            value.map(|value| StoredObject { key, version, value })
        });
        self.objects.extend(present);
        self.objects.sort_unstable_by(|left, right| left.key.cmp(&right.key));
        self.lowest_revision = Some(self.lowest_revision().max(list.revision));
        self.highest_revision = self.highest_revision.max(list.revision);
    }

    /// Returns the list if all pages show the same revision.
    pub fn assemble(self) -> AssembledList {
        if self.lowest_revision() < self.highest_revision {
            return AssembledList::Incomplete(self);
        }
        AssembledList::Complete(ObjectList { revision: self.highest_revision, items: self.objects })
    }
}
