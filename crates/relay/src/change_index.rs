//! Index of the changes under one prefix, for the entry VMs that follow this one.
//!
//! A follower needs the latest change of each object since the revision that it has reached, and none of those
//! before it. The index therefore holds one entry per object and no values: these are in the copy of the prefix.
//! Its size depends on the number of objects, not on the number or size of their changes.
//!
//! Invariants:
//!
//! - Each key has at most one entry, that of its latest change.
//! - All changes after [`ChangeIndex::first_revision`] are included, each by itself or by a later one of its key.
//! - At most [`MAX_DELETIONS`] entries are deletions. When the oldest is dropped, the first revision rises to it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of deleted objects that an index lists: twice the targets of the largest deployment in use, so
/// that all of them can be replaced at once.
pub const MAX_DELETIONS: usize = 2048;

/// Latest change of one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LatestChange {
    version: u64,
    is_deletion: bool,
}

/// Latest change of each object that has changed after a revision.
#[derive(Debug, Default)]
pub struct ChangeIndex {
    first_revision: u64,
    latest: BTreeMap<Arc<str>, LatestChange>,
    /// The entries of `latest`, in the order of their versions.
    by_version: BTreeSet<(u64, Arc<str>)>,
    /// Those of `by_version` that are deletions.
    deletions: BTreeSet<(u64, Arc<str>)>,
}

impl ChangeIndex {
    /// Creates an index of the changes after a revision.
    pub fn starting_at(revision: u64) -> Self {
        Self { first_revision: revision, ..Self::default() }
    }

    /// Returns the revision after which the index includes all changes.
    pub fn first_revision(&self) -> u64 {
        self.first_revision
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Returns whether no change is indexed.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Records a change, which replaces the earlier one of its key.
    pub fn record(&mut self, key: &str, version: u64, is_deletion: bool) {
        let key = self.remove(key).unwrap_or_else(|| Arc::from(key));
        self.by_version.insert((version, key.clone()));
        if is_deletion {
            self.deletions.insert((version, key.clone()));
        }
        self.latest.insert(key, LatestChange { version, is_deletion });
        while self.deletions.len() > MAX_DELETIONS {
            self.drop_oldest_deletion();
        }
    }

    /// Returns the keys of the objects that have changed after a revision, in the order of their latest changes,
    /// each with the version of that change.
    pub fn since(&self, revision: u64) -> impl Iterator<Item = (u64, &str)> {
        let changed = self.by_version.range((revision.saturating_add(1), Arc::from(""))..);
        changed.map(|(version, key)| (*version, &**key))
    }

    /// Removes the entry of a key. Returns the key if there was one.
    fn remove(&mut self, key: &str) -> Option<Arc<str>> {
        let (key, change) = self.latest.remove_entry(key)?;
        let entry = (change.version, key);
        self.by_version.remove(&entry);
        if change.is_deletion {
            self.deletions.remove(&entry);
        }
        Some(entry.1)
    }

    fn drop_oldest_deletion(&mut self) {
        if let Some((version, key)) = self.deletions.pop_first() {
            self.first_revision = self.first_revision.max(version);
            self.latest.remove(&key);
            self.by_version.remove(&(version, key));
        }
    }
}
