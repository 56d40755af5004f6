//! The platform's object API: versioned objects, conditional writes, lists and watches.
//!
//! Versions are the platform's revision at the time of the write: they rise over all objects, and
//! a recreated object has a higher version than the deleted one.

use serde::{Deserialize, Serialize};
use std::future::Future;
use std::time::Duration;
use thiserror::Error;

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, PlatformError>;
/// Version of an object, or revision of the store.
pub type ObjectVersion = u64;

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Largest answer that a client reads, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// One stored object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Its key.
    pub key: String,
    /// Version of the last write.
    pub version: ObjectVersion,
    /// Its value.
    pub value: String,
}

/// Objects under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision of the store that the list shows.
    pub revision: ObjectVersion,
    /// The objects, sorted by key.
    pub items: Vec<StoredObject>,
}

/// One change under a watched prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEvent {
    /// Key of the object.
    pub key: String,
    /// Revision of the change.
    pub version: ObjectVersion,
    /// New value; `None` for a deletion.
    pub value: Option<String>,
}

/// Changes under a watched prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventList {
    /// Revision from which to go on watching.
    pub revision: ObjectVersion,
    /// The changes in order.
    pub events: Vec<ObjectEvent>,
}

/// Why a platform call failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The object's version is not the expected one; nothing was written.
    #[error("the object has version {current}, not the expected one")]
    Conflict {
        /// Version of the object; 0 when there is none.
        current: ObjectVersion,
    },
    /// The watch starts before what the platform remembers; list again.
    #[error("the watch is too old; list again")]
    WatchTooOld,
    /// The platform refused the call before it took effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// No answer: a write may or may not have taken effect.
    #[error("no answer from the platform: {0}")]
    NoResponse(String),
    /// The answer could not be understood; a write may or may not have taken effect.
    #[error("malformed answer from the platform: {0}")]
    Malformed(String),
    /// The call was not made: the call rate or the circuit breaker forbids it.
    #[error("call to the platform held back: {0}")]
    Throttled(&'static str),
}

impl PlatformError {
    /// Whether the platform is known not to have carried out the call.
    pub fn proves_no_effect(&self) -> bool {
        matches!(self, Self::Conflict { .. } | Self::WatchTooOld | Self::Refused(_) | Self::Throttled(_))
    }
}

/// The platform as the system uses it.
pub trait PlatformApi: Send + Sync {
    /// Reads an object.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredObject>>> + Send;
    /// Lists the objects under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<ObjectList>> + Send;
    /// Lists the objects under a prefix as they were at most seconds ago, for less than a full call
    /// where the platform offers that.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<ObjectList>> + Send {
        self.list(prefix)
    }
    /// Writes an object if its version is `expected`; 0 expects that there is none.
    fn put(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> impl Future<Output = Result<ObjectVersion>> + Send;
    /// Deletes an object if its version is `expected`.
    fn delete(
        &self,
        key: &str,
        expected: ObjectVersion,
    ) -> impl Future<Output = Result<ObjectVersion>> + Send;
    /// Waits up to `wait` for changes under a prefix after revision `since`.
    fn watch(
        &self,
        prefix: &str,
        since: ObjectVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<EventList>> + Send;
}
