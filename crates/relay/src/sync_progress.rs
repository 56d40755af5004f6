//! Progress of reading the objects under one prefix, from the store or from an entry VM that reads it for
//! others.
//!
//! Invariants:
//!
//! - Revisions never decrease: a list of an earlier revision is not used, and does not count as up to date.
//! - Objects take effect only once everything up to a current revision has been read.
//! - A store that returns from an older copy is in a new history, whose versions are higher than all before.
//!   What a list shows of such a copy is known to be restored, so that it does not replace newer knowledge.

use sniperelay_platform::api::history_of;

/// What has been read, and from where the next read continues.
#[derive(Debug, Default)]
pub struct SyncProgress {
    /// Revision from which the next watch starts; `None` if the objects must be listed first.
    revision: Option<u64>,
    /// Highest revision reached.
    highest_revision: u64,
    is_caught_up: bool,
    needs_fresh_list: bool,
    /// Revision of the first list in the current history, if there was an earlier history.
    restored_revision: u64,
}

/// The read that continues from a [`SyncProgress`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// List the objects; the list may be a few seconds old.
    StaleList,
    /// List the objects; the list must be up to date.
    FreshList,
    /// Watch for changes since this revision.
    Watch(u64),
}

impl SyncProgress {
    /// Returns the next read.
    pub fn next_read(&self) -> NextRead {
        match self.revision {
            Some(revision) => NextRead::Watch(revision),
            None if self.needs_fresh_list => NextRead::FreshList,
            None => NextRead::StaleList,
        }
    }

    /// Records a list. Returns false if it is older than what has been read; it must not be used then, and
    /// the next list must be up to date. `is_current` states whether the list takes effect at once, without
    /// the changes since it.
    pub fn accept_list(&mut self, revision: u64, is_current: bool) -> bool {
        if revision < self.highest_revision {
            self.needs_fresh_list = true;
            return false;
        }
        if self.begins_history(revision) {
            self.restored_revision = revision;
        }
        self.highest_revision = revision;
        self.revision = Some(revision);
        self.needs_fresh_list = false;
        self.is_caught_up = is_current;
        true
    }

    /// Returns whether a version belongs to the copy from which the store has returned. It may then be older
    /// than what was known before.
    pub fn is_restored(&self, version: u64) -> bool {
        version <= self.restored_revision && history_of(version) == history_of(self.restored_revision)
    }

    /// Returns whether a revision begins a new history after an earlier one.
    pub fn begins_history(&self, revision: u64) -> bool {
        self.has_read() && history_of(revision) > history_of(self.highest_revision)
    }

    /// Records the changes up to a revision.
    pub fn accept_changes(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.highest_revision = self.highest_revision.max(revision);
        self.is_caught_up = true;
    }

    /// Records that the changes since the last revision are not available.
    pub fn lose_history(&mut self) {
        self.revision = None;
        self.is_caught_up = false;
        self.needs_fresh_list = true;
    }

    /// Returns whether the objects that have been read may take effect.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns whether there is a list from which a watch can continue.
    pub fn has_list(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns whether anything has been read, including by a list whose history has been lost since.
    pub fn has_read(&self) -> bool {
        self.highest_revision > 0
    }

    /// Returns the highest revision reached.
    pub fn highest_revision(&self) -> u64 {
        self.highest_revision
    }
}

/// Result of one read that did not fail.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome<T> {
    /// Objects or changes were read; there may be none.
    Read(T),
    /// A list was read that is older than what is known.
    OlderList {
        /// Revision of the list.
        revision: u64,
    },
    /// The read was given up because there is a new source.
    SourceChanged,
    /// The read was given up because the store responded to another call after an outage.
    StoreRecovered,
}
