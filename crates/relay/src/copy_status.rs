//! How current the local copies of the store's contents are, by prefix.
//!
//! Each prefix is read on its own, so a response for one prefix says nothing about the copy of another one. All
//! responses of the store show its revision, though, which rises with each change under any prefix. A copy that
//! is complete up to that revision is current; any other one has to be checked.
//!
//! Invariants:
//!
//! - The revision of a copy and the known revision of the store never decrease.
//! - A copy counts as confirmed only by a response for its prefix, or by a revision of the store that it has reached.
//!
//! Time is passed in; see [`sniperelay_node::boot_clock`].

use sniperelay_node::boot_clock::BootTime;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// State of the copy of one prefix.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CopyStatus {
    /// Highest revision up to which the copy is complete.
    pub revision: u64,
    /// Time at which the copy was last known to be complete; `None` before the first response.
    pub confirmed_at: Option<BootTime>,
    /// Time since which a read of this prefix has been open; `None` between two reads.
    pub read_since: Option<BootTime>,
}

impl CopyStatus {
    /// Returns the time since the last confirmation; `None` before the first one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}

/// The copies of all prefixes that this entry VM reads.
#[derive(Debug, Default)]
pub struct CopyTable {
    statuses: Mutex<BTreeMap<&'static str, CopyStatus>>,
    /// Highest revision of the store in any response.
    store_revision: watch::Sender<u64>,
}

impl CopyTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, CopyStatus>> {
        self.statuses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver of the highest known revision of the store.
    pub fn subscribe_store_revision(&self) -> watch::Receiver<u64> {
        self.store_revision.subscribe()
    }

    /// Records that a read of a prefix begins.
    pub fn begin_read(&self, prefix: &'static str, now: BootTime) {
        self.lock().entry(prefix).or_default().read_since = Some(now);
    }

    /// Records that a read of a prefix ends.
    pub fn end_read(&self, prefix: &'static str) {
        self.lock().entry(prefix).or_default().read_since = None;
    }

    /// Records a response for a prefix that completes its copy up to a revision.
    pub fn confirm(&self, prefix: &'static str, revision: u64, now: BootTime) {
        let mut statuses = self.lock();
        let status = statuses.entry(prefix).or_default();
        status.revision = status.revision.max(revision);
        status.confirmed_at = Some(now);
        drop(statuses);
        self.raise_store_revision(revision);
    }

    /// Records the revision of the store in a response for another prefix, and confirms the copies that have
    /// reached it.
    pub fn observe_store(&self, revision: u64, now: BootTime) {
        self.raise_store_revision(revision);
        let latest = *self.store_revision.borrow();
        let mut statuses = self.lock();
        let complete = statuses.values_mut().filter(|status| status.revision >= latest);
        complete.for_each(|status| status.confirmed_at = Some(now));
    }

    fn raise_store_revision(&self, revision: u64) {
        self.store_revision.send_if_modified(|latest| {
            let is_higher = revision > *latest;
            *latest = revision.max(*latest);
            is_higher
        });
    }

    /// Returns the revision up to which the copy of a prefix is complete; 0 before the first response.
    pub fn revision(&self, prefix: &str) -> u64 {
        self.lock().get(prefix).map_or(0, |status| status.revision)
    }

    /// Returns the gauges of all copies, each with its prefix and its name. Times are in milliseconds; one that has
    /// not begun has no gauge.
    pub fn gauges(&self, now: BootTime) -> Vec<([&'static str; 2], u64)> {
        let mut gauges = Vec::new();
        for (prefix, status) in self.lock().iter() {
            let read_time = status.read_since.map(|since| now.saturating_sub(since));
            gauges.push(([*prefix, "revision"], status.revision));
            gauges.extend(status.age(now).map(|age| ([*prefix, "age_ms"], age.as_millis() as u64)));
            gauges.extend(read_time.map(|time| ([*prefix, "read_ms"], time.as_millis() as u64)));
        }
        gauges
    }

    /// Returns the states of all copies.
    pub fn statuses(&self) -> BTreeMap<&'static str, CopyStatus> {
        self.lock().clone()
    }
}
