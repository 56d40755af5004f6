//! Bucketed digests of tables, for anti-entropy between two entry VMs.
//!
//! Entries are spread over buckets by their key. Two tables that differ in few entries differ in
//! few buckets, and only those are exchanged.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Buckets of a digest.
pub const BUCKET_COUNT: usize = 8;

/// One order-independent hash per bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigest {
    buckets: [u32; BUCKET_COUNT],
}

impl BucketDigest {
    /// Adds or removes an entry: doing it twice restores the digest.
    pub fn toggle(&mut self, key: &[u8], content: &[u8]) {
        let mut bytes = key.to_vec();
        bytes.push(0);
        bytes.extend_from_slice(content);
        self.buckets[bucket_of(key)] ^= xxh3_64(&bytes) as u32;
    }

    /// Buckets in which the two digests differ, as a bit mask.
    pub fn difference(&self, other: &Self) -> u8 {
        let pairs = self.buckets.iter().zip(&other.buckets).enumerate();
        pairs.filter(|(_, (left, right))| left != right).fold(0, |mask, (index, _)| mask | 1 << index)
    }
}

/// Bucket of a key.
pub fn bucket_of(key: &[u8]) -> usize {
    (xxh3_64(key) % BUCKET_COUNT as u64) as usize
}

/// Whether the key's bucket is in the mask.
pub fn is_in_mask(key: &[u8], mask: u8) -> bool {
    mask & (1 << bucket_of(key)) != 0
}
