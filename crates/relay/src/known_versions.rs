//! Versions of the objects under one prefix, as this process has read or written them.
//!
//! What this process writes to the store itself may be later than what its source shows: a reader can be behind.
//!
//! Invariant: an object never returns to an earlier version, whichever list or change arrives. Versions of a later history
//! of the store are higher than all before; see [`sniperelay_platform::api::version_in_history`].

use sniperelay_platform::api::{ObjectEvent, ObjectList, ObjectVersion, StoredObject};
use std::collections::BTreeMap;

/// What a list changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListChanges {
    /// Keys of the objects that do not exist any more.
    pub deleted: Vec<String>,
    /// Objects that are new or have another version.
    pub updated: Vec<StoredObject>,
}

/// Versions of the existing objects by key.
#[derive(Debug, Default)]
pub struct KnownVersions {
    versions: BTreeMap<String, ObjectVersion>,
}

impl KnownVersions {
    /// Returns the version of an object that exists.
    pub fn get(&self, key: &str) -> Option<ObjectVersion> {
        self.versions.get(key).copied()
    }

    /// Records a version that this process has written.
    pub fn record_written(&mut self, key: String, version: ObjectVersion) {
        self.versions.insert(key, version);
    }

    /// Applies a complete list. Objects that were written after it stay as they are.
    pub fn apply_list(&mut self, list: ObjectList) -> ListChanges {
        let known = std::mem::take(&mut self.versions);
        let is_later = |key: &str| known.get(key).is_some_and(|version| *version > list.revision);
        let mut changes = ListChanges::default();
        for item in list.items.into_iter().filter(|item| !is_later(&item.key)) {
            self.versions.insert(item.key.clone(), item.version);
            if known.get(&item.key) != Some(&item.version) {
                changes.updated.push(item);
            }
        }
        for (key, version) in known {
            if version > list.revision {
                self.versions.insert(key, version);
            } else if !self.versions.contains_key(&key) {
                changes.deleted.push(key);
            }
        }
        changes
    }

    /// Applies a change. Returns false if a later version is known, so that the change must be ignored. A deletion may state
    /// the version of the deleted object.
    pub fn apply_event(&mut self, event: &ObjectEvent) -> bool {
        if self.get(&event.key).is_some_and(|known| known > event.version) {
            return false;
        }
        match event.value {
            Some(_) => drop(self.versions.insert(event.key.clone(), event.version)),
            None => drop(self.versions.remove(&event.key)),
        }
        true
    }
}
