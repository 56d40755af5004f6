//! How current the local copies of the store's contents are, by prefix.
//!
//! Each prefix is read on its own, so a response for one prefix says nothing about the copy of another one. All
//! responses of the store show its revision, though, which rises with each change under any prefix, and readers
//! state the latest change of each prefix. A copy that is complete up to that revision is current; any other one
//! has to be checked.
//!
//! Invariants:
//!
//! - The revision of a copy, and that of the latest change that may concern it, never decrease.
//! - A copy counts as confirmed only by an up-to-date response for its prefix, or by a latest change that it includes.
//! - Responses for other prefixes confirm a copy only if it has been confirmed before: they may be stale, and then show a
//!   revision that a stale copy includes as well.
//!
//! Time is passed in; see [`sniperelay_node::boot_clock`].

use sniperelay_node::boot_clock::BootTime;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Maximum time since its confirmation at which a copy counts as current. Two thirds of the time within which a
/// change must be in force after an outage, so that followers have time to use another source.
pub const MAX_COPY_AGE: Duration = Duration::from_secs(2);

/// State of the copy of one prefix.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CopyStatus {
    /// Highest revision up to which the copy is complete.
    pub revision: u64,
    /// Highest known revision at which an object of the prefix may have changed.
    latest_change: u64,
    /// Time at which the copy was last known to be complete; `None` before the first response.
    pub confirmed_at: Option<BootTime>,
    /// Time since which a read of this prefix has been open; `None` between two reads.
    pub read_since: Option<BootTime>,
    /// Whether the copy has been reported as out of date.
    is_reported: bool,
}

impl CopyStatus {
    /// Returns the time since the last confirmation; `None` before the first one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Records the latest change that may concern the copy, and confirms it if it includes that change.
    fn observe_change(&mut self, revision: u64, now: BootTime) {
        self.latest_change = self.latest_change.max(revision);
        if self.includes_latest_change() {
            self.confirmed_at = Some(now);
        }
    }

    fn includes_latest_change(&self) -> bool {
        self.revision >= self.latest_change
    }

    fn is_current(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < MAX_COPY_AGE)
    }
}

/// A copy that has become out of date, or current again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyTransition {
    /// Prefix of the copy.
    pub prefix: &'static str,
    /// Whether the copy is current now.
    pub is_current: bool,
    /// Revision up to which the copy is complete.
    pub revision: u64,
    /// Time since its last confirmation.
    pub age: Duration,
}

/// The copies of all prefixes that this entry VM reads.
#[derive(Debug, Default)]
pub struct CopyTable {
    statuses: Mutex<BTreeMap<&'static str, CopyStatus>>,
    /// Notified when a later change may concern a copy.
    observed: watch::Sender<()>,
}

impl CopyTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, CopyStatus>> {
        self.statuses.lock().unwrap_or_else(PoisonError::into_inner)
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
    }

    /// Records a copy that may be out of date. It counts as unconfirmed.
    pub fn restore(&self, prefix: &'static str, revision: u64) {
        let mut statuses = self.lock();
        let status = statuses.entry(prefix).or_default();
        status.revision = status.revision.max(revision);
    }

    /// Returns whether the copy of a prefix has ever been confirmed.
    pub fn is_confirmed(&self, prefix: &str) -> bool {
        self.lock().get(prefix).is_some_and(|status| status.confirmed_at.is_some())
    }

    /// Records the revision of the store in any of its responses, which may be stale: up to it, the objects of every
    /// prefix may have changed.
    pub fn observe_store(&self, revision: u64, now: BootTime) {
        for status in self.lock().values_mut() {
            status.latest_change = status.latest_change.max(revision);
            if status.confirmed_at.is_some() && status.includes_latest_change() {
                status.confirmed_at = Some(now);
            }
        }
        self.observed.send_replace(());
    }

    /// Records the latest changes that a reader states: those after the revision stated before, by prefix. Other
    /// prefixes have not changed since.
    pub fn observe_reader(&self, changes: &BTreeMap<&str, u64>, now: BootTime) {
        for (prefix, status) in self.lock().iter_mut() {
            status.observe_change(changes.get(prefix).copied().unwrap_or(0), now);
        }
        self.observed.send_replace(());
    }

    /// Waits until the objects of a prefix may have changed after a revision. Returns the revision of the latest change.
    pub async fn wait_until_behind(&self, prefix: &str, revision: u64) -> u64 {
        let mut observed = self.observed.subscribe();
        loop {
            let latest_change = self.lock().get(prefix).map_or(0, |status| status.latest_change);
            if latest_change > revision {
                return latest_change;
            }
            if observed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Returns the revision up to which the copy of a prefix is complete; 0 before the first response.
    pub fn revision(&self, prefix: &str) -> u64 {
        self.lock().get(prefix).map_or(0, |status| status.revision)
    }

    /// Returns whether the copy of a prefix has been confirmed within [`MAX_COPY_AGE`].
    pub fn is_current(&self, prefix: &str, now: BootTime) -> bool {
        self.lock().get(prefix).is_some_and(|status| status.is_current(now))
    }

    /// Returns whether all copies have been confirmed within [`MAX_COPY_AGE`]. Copies that have not been read yet do
    /// not count.
    pub fn are_current(&self, now: BootTime) -> bool {
        self.lock().values().filter(|status| status.revision > 0).all(|status| status.is_current(now))
    }

    /// Returns the copies that have become out of date or current again since the last call.
    pub fn take_transitions(&self, now: BootTime) -> Vec<CopyTransition> {
        let mut transitions = Vec::new();
        for (prefix, status) in self.lock().iter_mut() {
            let Some(age) = status.age(now) else { continue };
            let is_current = status.is_current(now);
            if is_current == status.is_reported {
                status.is_reported = !is_current;
                transitions.push(CopyTransition { prefix, is_current, revision: status.revision, age });
            }
        }
        transitions
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
