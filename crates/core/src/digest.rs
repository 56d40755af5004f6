//! Bucketed digests of tables, for anti-entropy between two entry VMs.
//!
//! Entries are assigned to buckets by the hash of their key. Two tables that differ in few entries
//! differ in few buckets, and only the entries in those buckets are exchanged.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets in a digest.
pub const BUCKET_COUNT: usize = 8;

/// One order-independent hash per bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigest {
    buckets: [u32; BUCKET_COUNT],
}

impl BucketDigest {
    /// Adds an entry, or removes it if it was added before: toggling an entry twice restores the
    /// digest.
    pub fn toggle(&mut self, key: &[u8], content: &[u8]) {
        let mut bytes = key.to_vec();
        bytes.push(0);
        bytes.extend_from_slice(content);
        self.buckets[bucket_of(key)] ^= xxh3_64(&bytes) as u32;
    }

    /// Returns a bit mask of the buckets in which the two digests differ.
    pub fn difference(&self, other: &Self) -> u8 {
        let pairs = self.buckets.iter().zip(&other.buckets).enumerate();
        pairs.filter(|(_, (left, right))| left != right).fold(0, |mask, (index, _)| mask | 1 << index)
    }
}

/// Returns the bucket of a key.
pub fn bucket_of(key: &[u8]) -> usize {
    (xxh3_64(key) % BUCKET_COUNT as u64) as usize
}

/// Returns whether the bucket of a key is set in the bit mask.
pub fn is_in_mask(key: &[u8], mask: u8) -> bool {
    mask & (1 << bucket_of(key)) != 0
}
