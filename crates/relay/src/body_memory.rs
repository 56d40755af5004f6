//! Memory of request bodies. Callers decide how many arrive at the same time, and how large they are.
//!
//! A body is kept until its request ends. One with a stated length reserves it before it is read; one in chunks extends its
//! share as it arrives. A request whose body finds no room is refused before a target is given it.
//!
//! Invariants:
//!
//! - All bodies together never take more than `request-memory-bytes`.
//! - Large bodies leave [`SMALL_BODY_ROOM`] to small ones.

use crate::request_head::{BodyFraming, RequestError, Result};
use bytes::Bytes;
use sniperelay_core::memory_budget::{MemoryBudget, MemoryShare};
use std::sync::Arc;

/// Maximum size of a small body, in bytes.
const MAX_SMALL_BYTES: usize = 64 * 1024;
/// Memory that large bodies leave to small ones, in bytes.
pub const SMALL_BODY_ROOM: usize = sniperelay_config::relay::SMALL_BODY_ROOM;
/// Bytes by which the share of a large body in chunks is extended at a time.
const EXTENSION_BYTES: usize = 256 * 1024;

/// A complete request body, with its share of the memory.
#[derive(Debug)]
pub struct StoredBody {
    /// The content.
    pub content: Bytes,
    _share: MemoryShare,
}

/// Share of a body that is being received.
#[derive(Debug)]
pub struct BodyMemory {
    share: MemoryShare,
}

impl BodyMemory {
    /// Opens the share of a body, and reserves its length if that is stated.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it.
    pub fn open(budget: &Arc<MemoryBudget>, framing: BodyFraming) -> Result<Self> {
        let mut memory = Self { share: budget.open_share() };
        match framing {
            BodyFraming::Length(length) => memory.extend(length, length)?,
            BodyFraming::Chunked => {}
        }
        Ok(memory)
    }

    /// Extends the share to the length of what has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it.
    pub fn cover(&mut self, length: usize) -> Result<()> {
        let missing = length.saturating_sub(self.share.bytes());
        if missing == 0 {
            return Ok(());
        }
        let step = if length > MAX_SMALL_BYTES { missing.max(EXTENSION_BYTES) } else { missing };
        self.extend(step, length)
    }

    /// Returns whether the share is that of a large body.
    pub fn is_large(&self) -> bool {
        self.share.bytes() > MAX_SMALL_BYTES
    }

    /// Returns the complete body, which keeps the share.
    pub fn store(self, content: Bytes) -> StoredBody {
        StoredBody { content, _share: self.share }
    }

    fn extend(&mut self, bytes: usize, length: usize) -> Result<()> {
        let kept_free = if length > MAX_SMALL_BYTES { SMALL_BODY_ROOM } else { 0 };
        self.share.try_extend(bytes, kept_free).then_some(()).ok_or(RequestError::NoRoom)
    }
}
