//! The platform's object API: versioned objects, conditional writes, lists and watches.
//!
//! The version of an object is the store revision at the time of its last write. Revisions increase
//! across all objects, so a recreated object has a higher version than the deleted one.

use serde::{Deserialize, Serialize};
use std::future::Future;
use std::time::Duration;
use thiserror::Error;

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, PlatformError>;
/// Version of an object, or revision of the store.
///
/// A store that returns from an older copy gives out revisions again. The upper bits therefore hold the
/// number of the store's history, which is higher after each such return; see [`version_in_history`]. Stores
/// without such a number have a single history, 0.
pub type ObjectVersion = u64;

/// Number of bits of an [`ObjectVersion`] that hold the store's own revision.
const REVISION_BITS: u32 = 40;

/// Returns the version for a revision in one history of the store. Versions of a later history are higher
/// than all versions of earlier ones.
pub fn version_in_history(history: u64, revision: u64) -> ObjectVersion {
    (history << REVISION_BITS) | revision_of(revision)
}

/// Returns the number of the history in which a version was given out.
pub fn history_of(version: ObjectVersion) -> u64 {
    version >> REVISION_BITS
}

/// Returns the store's own revision of a version.
pub fn revision_of(version: ObjectVersion) -> u64 {
    version & ((1 << REVISION_BITS) - 1)
}

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum size of a response body that a client reads, in bytes: three times a list of 16,000 targets
/// with entries of 350 bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Key of the object.
    pub key: String,
    /// Version assigned by the last write.
    pub version: ObjectVersion,
    /// Value of the object.
    pub value: String,
}

/// Response to a list: all objects under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Store revision at which the list was taken.
    pub revision: ObjectVersion,
    /// The objects, sorted by key.
    pub items: Vec<StoredObject>,
}

/// Response to a list that the platform may read from an old state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaleList {
    /// The objects.
    pub list: ObjectList,
    /// Whether the list includes all changes made before the last call that it took.
    pub is_current: bool,
}

impl StaleList {
    /// Creates a list that includes all changes made before the last call that it took.
    pub fn current(list: ObjectList) -> Self {
        Self { list, is_current: true }
    }
}

/// A change under a watched prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEvent {
    /// Key of the object.
    pub key: String,
    /// Revision of the change.
    pub version: ObjectVersion,
    /// New value; `None` for a deletion.
    pub value: Option<String>,
}

/// Response to a watch: the changes under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventList {
    /// Revision from which to continue watching.
    pub revision: ObjectVersion,
    /// The changes, in the order in which they were made.
    pub events: Vec<ObjectEvent>,
}

/// Error of a platform call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The version of the object differs from the expected version; nothing was written.
    #[error("version conflict: the object is at version {current}")]
    Conflict {
        /// Current version of the object; 0 if the object does not exist.
        current: ObjectVersion,
    },
    /// The platform no longer has the changes since the start of the watch. The caller must list
    /// again.
    #[error("the watch starts before the retained history; a new list is required")]
    WatchTooOld,
    /// The platform refused the call before it took effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// No usable response was received. A write may or may not have taken effect.
    #[error("no response from the platform: {0}")]
    NoResponse(String),
    /// The response could not be decoded. A write may or may not have taken effect.
    #[error("malformed response from the platform: {0}")]
    Malformed(String),
    /// The call was not sent because of the call rate limit or the circuit breaker.
    #[error("call to the platform not sent: {0}")]
    Throttled(&'static str),
}

impl PlatformError {
    /// Returns whether the platform certainly did not execute the call.
    pub fn proves_no_effect(&self) -> bool {
        matches!(self, Self::Conflict { .. } | Self::WatchTooOld | Self::Refused(_) | Self::Throttled(_))
    }
}

/// Access to the platform's object store.
pub trait PlatformApi: Send + Sync {
    /// Reads an object; returns `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredObject>>> + Send;
    /// Lists the objects under a prefix, as they are at the revision of the list.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<ObjectList>> + Send;
    /// Lists the objects under a prefix from a state that may be a few seconds old. This costs less
    /// than a full call on platforms that support stale reads; by default it is a full list.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<StaleList>> + Send {
        async { self.list(prefix).await.map(StaleList::current) }
    }
    /// Writes an object if its version is `expected`, and returns the new version. With `expected`
    /// 0, the object must not exist yet. Otherwise fails with [`PlatformError::Conflict`].
    fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> impl Future<Output = Result<ObjectVersion>> + Send;
    /// Deletes an object if its version is `expected`, and returns the version of the deletion if
    /// the platform reports it, otherwise the deleted version. Fails with [`PlatformError::Conflict`]
    /// if the object has another version.
    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> impl Future<Output = Result<ObjectVersion>> + Send;
    /// Waits up to `wait` for changes under a prefix that are newer than revision `since`; the list is
    /// empty if there are none. Fails with [`PlatformError::WatchTooOld`] if the platform no longer has
    /// these changes.
    fn watch(
        &self,
        prefix: &str,
        since: ObjectVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<EventList>> + Send;
    /// Returns the changes under a prefix that are newer than revision `since`, without waiting, from a state that
    /// may be a few seconds old; its revision may be lower than `since`. This costs less than a full call on
    /// platforms that support stale reads; by default it is a full call.
    fn poll_stale(
        &self,
        prefix: &str,
        since: ObjectVersion,
    ) -> impl Future<Output = Result<EventList>> + Send {
        self.watch(prefix, since, Duration::ZERO)
    }
}
