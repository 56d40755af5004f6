//! How current the local copies of the store's contents are, by prefix.
//!
//! Each prefix is read on its own, so a response for one prefix says nothing about the copy of another one.
//! Time is passed in; see [`sniperelay_node::boot_clock`].

use sniperelay_node::boot_clock::BootTime;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// State of the copy of one prefix.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CopyStatus {
    /// Highest revision up to which the copy is complete.
    pub revision: u64,
    /// Time of the last response for this prefix; `None` before the first one.
    pub confirmed_at: Option<BootTime>,
    /// Time since which a read of this prefix has been open; `None` between two reads.
    pub read_since: Option<BootTime>,
}

/// The copies of all prefixes that this entry VM reads.
#[derive(Debug, Default)]
pub struct CopyTable {
    statuses: Mutex<BTreeMap<&'static str, CopyStatus>>,
}

impl CopyTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, CopyStatus>> {
        self.statuses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a read of a prefix begins.
    pub fn begin_read(&self, prefix: &'static str, now: BootTime) {
        self.lock().entry(prefix).or_default().read_since = Some(now);
    }

    /// Records that a read of a prefix ends without a response.
    pub fn end_read(&self, prefix: &'static str) {
        self.lock().entry(prefix).or_default().read_since = None;
    }

    /// Records a response that completes the copy of a prefix up to a revision.
    pub fn confirm(&self, prefix: &'static str, revision: u64, now: BootTime) {
        let mut statuses = self.lock();
        let status = statuses.entry(prefix).or_default();
        status.revision = status.revision.max(revision);
        status.confirmed_at = Some(now);
    }

    /// Returns the gauges of all copies, each with its prefix and its name. Times are in milliseconds; one that has
    /// not begun has no gauge.
    pub fn gauges(&self, now: BootTime) -> Vec<([&'static str; 2], u64)> {
        let millis_since = |time: BootTime| now.saturating_sub(time).as_millis() as u64;
        let mut gauges = Vec::new();
        for (prefix, status) in self.lock().iter() {
            gauges.push(([*prefix, "revision"], status.revision));
            gauges.extend(status.confirmed_at.map(|at| ([*prefix, "age_ms"], millis_since(at))));
            gauges.extend(status.read_since.map(|since| ([*prefix, "read_ms"], millis_since(since))));
        }
        gauges
    }

    /// Returns the states of all copies.
    pub fn statuses(&self) -> BTreeMap<&'static str, CopyStatus> {
        self.lock().clone()
    }
}
