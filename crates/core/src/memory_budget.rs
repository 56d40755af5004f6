//! Budget of the memory in which bodies are collected before they are passed on.
//!
//! Request bodies: one is of no use before it is complete, and most state their length. Its share is reserved as a whole, so
//! that several bodies do not keep each other from being completed.
//!
//! Responses: targets in trouble may send them without end. A response may grow while it is no larger than the
//! memory that is left, so that a few endless responses neither exhaust the memory nor keep others from
//! being collected: with `n` such responses each gets at most `limit / (n + 1)`, and as much is left for
//! the next one. These are the dynamic thresholds of Choudhury and Hahne, "Dynamic Queue Length Thresholds
//! for Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2), 1998, with a factor of 1.
//!
//! Invariant: the shares never add up to more than the limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory shared by all request bodies, or all responses, of the process.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns an empty share.
    pub fn open_share(self: &Arc<Self>) -> MemoryShare {
        MemoryShare { budget: self.clone(), bytes: 0 }
    }
}

/// Part of a [`MemoryBudget`] that one body uses. It is returned on drop.
#[derive(Debug)]
pub struct MemoryShare {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryShare {
    /// Returns the size of the share, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds `bytes` to the share. Returns false, and leaves the share as it is, if less than `kept_free` bytes would then
    /// be left.
    pub fn try_extend(&mut self, bytes: usize, kept_free: usize) -> bool {
        let limit = self.budget.limit.saturating_sub(kept_free);
        let extend = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let is_extended = self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, extend).is_ok();
        if is_extended {
            self.bytes += bytes;
        }
        is_extended
    }

    /// Adds `bytes` to the share. Returns false, and leaves the share as it is, if it would then be larger
    /// than the memory that is left.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let grown = self.bytes.saturating_add(bytes);
        let grow = |used: usize| {
            let used_after = used.checked_add(bytes)?;
            let left = self.budget.limit.checked_sub(used_after)?;
            (grown <= left).then_some(used_after)
        };
        let has_grown = self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow).is_ok();
        if has_grown {
            self.bytes = grown;
        }
        has_grown
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
