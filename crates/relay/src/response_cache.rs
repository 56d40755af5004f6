//! Encoded replication responses. All followers of a reader ask for the same contents, so each large response
//! is compressed once and kept while the replica stays as it is.
//!
//! Invariants:
//!
//! - A cached body is returned only for the state of the replica from which it was encoded. The change number
//!   of the prefix identifies that state; revisions do not, because a list that consists of several pages may
//!   contain objects that are newer than its revision.
//! - The cached bodies take up at most [`MAX_CACHED_BYTES`]. The oldest are dropped first.

use crate::content_coding::{ContentCoding, deflate};
use crate::replication::StoreReplica;
use bytes::Bytes;
use std::collections::VecDeque;
use std::io::Result;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Size from which responses are compressed, in bytes.
pub const MIN_COMPRESSED_BYTES: usize = 8 * 1024;
/// Maximum total size of the cached bodies, in bytes.
pub const MAX_CACHED_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of cached bodies.
const MAX_CACHED_BODIES: usize = 16;

/// What a follower reads from the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRead {
    /// All objects under the prefix.
    List,
    /// The changes after this revision.
    Changes(u64),
}

/// A response body and its coding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedBody {
    /// Coding of the bytes.
    pub coding: ContentCoding,
    /// The encoded body.
    pub bytes: Bytes,
}

/// What determines the contents of a response.
#[derive(Debug, PartialEq, Eq)]
struct ResponseKey {
    prefix: String,
    read: ReplicaRead,
    change_number: u64,
}

/// Compressed responses of one replica, the oldest first.
#[derive(Debug, Default)]
pub struct ResponseCache {
    responses: Mutex<VecDeque<(ResponseKey, Bytes)>>,
}

impl ResponseCache {
    /// Returns the current contents of a prefix as JSON. The body is compressed if `accepted` permits it and
    /// the JSON text has at least [`MIN_COMPRESSED_BYTES`]. Returns `None` if the prefix has not been read yet
    /// or not all changes since then are known.
    ///
    /// # Errors
    ///
    /// Returns an error if the contents cannot be encoded.
    pub fn encode(
        &self,
        replica: &StoreReplica,
        prefix: &str,
        read: ReplicaRead,
        accepted: ContentCoding,
    ) -> Result<Option<EncodedBody>> {
        if accepted == ContentCoding::Deflate
            && let Some(bytes) = self.find(replica, prefix, read)
        {
            return Ok(Some(EncodedBody { coding: ContentCoding::Deflate, bytes }));
        }
        let Some((change_number, json)) = read_json(replica, prefix, read)? else { return Ok(None) };
        if accepted == ContentCoding::Identity || json.len() < MIN_COMPRESSED_BYTES {
            return Ok(Some(EncodedBody { coding: ContentCoding::Identity, bytes: json.into() }));
        }
        let bytes = Bytes::from(deflate(&json)?);
        self.insert(ResponseKey { prefix: prefix.to_owned(), read, change_number }, bytes.clone());
        Ok(Some(EncodedBody { coding: ContentCoding::Deflate, bytes }))
    }

    /// Returns the total size of the cached bodies, in bytes.
    pub fn cached_bytes(&self) -> usize {
        total_bytes(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(ResponseKey, Bytes)>> {
        self.responses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, replica: &StoreReplica, prefix: &str, read: ReplicaRead) -> Option<Bytes> {
        let change_number = replica.change_number(prefix)?;
        let key = ResponseKey { prefix: prefix.to_owned(), read, change_number };
        self.lock().iter().find(|(cached, _)| *cached == key).map(|(_, bytes)| bytes.clone())
    }

    /// Adds a body and drops those of other states of its prefix. A body that exceeds the maximum size is not
    /// added.
    fn insert(&self, key: ResponseKey, bytes: Bytes) {
        if bytes.len() > MAX_CACHED_BYTES {
            return;
        }
        let mut responses = self.lock();
        responses.retain(|(cached, _)| {
            cached.prefix != key.prefix || (cached.change_number == key.change_number && *cached != key)
        });
        responses.push_back((key, bytes));
        while responses.len() > MAX_CACHED_BODIES || total_bytes(&responses) > MAX_CACHED_BYTES {
            responses.pop_front();
        }
    }
}

fn total_bytes(responses: &VecDeque<(ResponseKey, Bytes)>) -> usize {
    responses.iter().map(|(_, bytes)| bytes.len()).sum()
}

/// Returns the contents as JSON text, with the change number of the state that they were read from.
fn read_json(replica: &StoreReplica, prefix: &str, read: ReplicaRead) -> Result<Option<(u64, Vec<u8>)>> {
    let encoded = match read {
        ReplicaRead::List => {
            replica.numbered_snapshot(prefix).map(|(number, list)| (number, serde_json::to_vec(&list)))
        }
        ReplicaRead::Changes(since) => {
            replica.numbered_changes(prefix, since).map(|(number, list)| (number, serde_json::to_vec(&list)))
        }
    };
    let Some((change_number, json)) = encoded else { return Ok(None) };
    Ok(Some((change_number, json?)))
}
