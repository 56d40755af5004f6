//! Tests of the cache of encoded replication responses.

use proptest::prelude::*;
use sniperelay_platform::api::{EventList, ObjectEvent, ObjectList, StoredObject};
use sniperelay_relay::content_coding::ContentCoding::{self, Deflate, Identity};
use sniperelay_relay::content_coding::deflate;
use sniperelay_relay::replication::StoreReplica;
use sniperelay_relay::response_cache::{
    EncodedBody, MAX_CACHED_BYTES, MIN_COMPRESSED_BYTES, ReplicaRead, ResponseCache,
};

const PREFIXES: [&str; 2] = ["a/", "b/"];

/// Returns a text that is large enough to be compressed.
fn large_value(seed: u64) -> String {
    format!("{seed} ").repeat(MIN_COMPRESSED_BYTES)
}

fn list(prefix: &str, revision: u64, seed: u64) -> ObjectList {
    let object = StoredObject { key: format!("{prefix}main"), version: revision, value: large_value(seed) };
    ObjectList { revision, items: vec![object] }
}

fn changes(prefix: &str, revision: u64, seed: u64) -> EventList {
    let value = Some(large_value(seed));
    EventList {
        revision,
        events: vec![ObjectEvent { key: format!("{prefix}main"), version: revision, value }],
    }
}

/// Returns what a replica that is read without a cache would send, compressed.
fn expected_body(replica: &StoreReplica, prefix: &str, read: ReplicaRead) -> Option<Vec<u8>> {
    let json = match read {
        ReplicaRead::List => serde_json::to_vec(&replica.snapshot(prefix)?),
        ReplicaRead::Changes(since) => serde_json::to_vec(&replica.numbered_changes(prefix, since)?.1),
    };
    let json = json.unwrap();
    Some(if json.len() < MIN_COMPRESSED_BYTES { json } else { deflate(&json).unwrap() })
}

fn encode(
    cache: &ResponseCache,
    replica: &StoreReplica,
    read: ReplicaRead,
    accepted: ContentCoding,
) -> EncodedBody {
    cache.encode(replica, "a/", read, accepted).unwrap().unwrap()
}

#[test]
fn large_response_is_compressed_once_for_all_followers() {
    let (cache, replica) = (ResponseCache::default(), StoreReplica::default());
    replica.apply_snapshot("a/", &list("a/", 5, 1));
    replica.apply_changes("a/", &changes("a/", 6, 2));
    for read in [ReplicaRead::List, ReplicaRead::Changes(5)] {
        let first = encode(&cache, &replica, read, Deflate);
        let second = encode(&cache, &replica, read, Deflate);
        assert_eq!((first.coding, second.coding), (Deflate, Deflate));
        assert_eq!(first.bytes.as_ptr(), second.bytes.as_ptr(), "{read:?} was compressed twice");
        // A change of another prefix leaves the body in the cache.
        replica.apply_snapshot("b/", &list("b/", 7, 3));
        encode_other_prefix(&cache, &replica);
        let third = encode(&cache, &replica, read, Deflate);
        assert_eq!(first.bytes.as_ptr(), third.bytes.as_ptr(), "{read:?} was compressed again");
        let plain = encode(&cache, &replica, read, Identity);
        assert_eq!(plain.coding, Identity);
        assert!(serde_json::from_slice::<serde_json::Value>(&plain.bytes).is_ok());
    }
}

fn encode_other_prefix(cache: &ResponseCache, replica: &StoreReplica) {
    assert!(cache.encode(replica, "b/", ReplicaRead::List, Deflate).unwrap().is_some());
}

#[test]
fn contents_that_change_without_a_new_revision_are_encoded_again() {
    let (cache, replica) = (ResponseCache::default(), StoreReplica::default());
    replica.apply_snapshot("a/", &list("a/", 5, 1));
    let first = encode(&cache, &replica, ReplicaRead::List, Deflate);
    replica.apply_snapshot("a/", &list("a/", 5, 2));
    let second = encode(&cache, &replica, ReplicaRead::List, Deflate);
    assert_ne!(first, second);
    assert_eq!(Some(second.bytes.to_vec()), expected_body(&replica, "a/", ReplicaRead::List));
}

#[test]
fn cached_bodies_stay_within_their_maximum_size() {
    let (cache, replica) = (ResponseCache::default(), StoreReplica::default());
    // A text without repetitions, of which half is left after compression.
    let mut state = 1_u64;
    let mut next_digits = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        format!("{:08x}", state >> 32)
    };
    let mut largest = 0;
    for index in 0..6 {
        let value: String = (0..300_000).map(|_| next_digits()).collect();
        let object = StoredObject { key: "main".to_owned(), version: 1, value };
        let prefix = format!("{index}/");
        replica.apply_snapshot(&prefix, &ObjectList { revision: 1, items: vec![object] });
        let body = cache.encode(&replica, &prefix, ReplicaRead::List, Deflate).unwrap().unwrap();
        largest = largest.max(body.bytes.len());
        assert!(cache.cached_bytes() <= MAX_CACHED_BYTES, "{} bytes", cache.cached_bytes());
    }
    assert!(6 * largest > MAX_CACHED_BYTES, "the bodies are too small for this test");
    assert!(cache.cached_bytes() + largest > MAX_CACHED_BYTES, "more was dropped than necessary");
    let value: String = (0..1_500_000).map(|_| next_digits()).collect();
    let object = StoredObject { key: "main".to_owned(), version: 1, value };
    replica.apply_snapshot("large/", &ObjectList { revision: 1, items: vec![object] });
    let before = cache.cached_bytes();
    let body = cache.encode(&replica, "large/", ReplicaRead::List, Deflate).unwrap().unwrap();
    assert!(body.bytes.len() > MAX_CACHED_BYTES);
    assert_eq!(cache.cached_bytes(), before, "a body above the maximum size is not cached");
}

/// One step of the model test.
#[derive(Debug, Clone)]
enum Step {
    /// Replaces a prefix by a list; the revision rises by this number.
    List { prefix: usize, rise: u64 },
    /// Applies a change; the revision rises by this number.
    Change { prefix: usize, rise: u64 },
    /// Applies an empty list of changes; the revision rises by this number.
    NoChange { prefix: usize, rise: u64 },
    /// Reads a list, or changes since the current revision less this number.
    Read { prefix: usize, back: Option<u64> },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let prefix = 0..PREFIXES.len();
    let step = prop_oneof![
        1 => (prefix.clone(), 0..2_u64).prop_map(|(prefix, rise)| Step::List { prefix, rise }),
        3 => (prefix.clone(), 1..3_u64).prop_map(|(prefix, rise)| Step::Change { prefix, rise }),
        2 => (prefix.clone(), 0..2_u64).prop_map(|(prefix, rise)| Step::NoChange { prefix, rise }),
        8 => (prefix, proptest::option::of(0..4_u64)).prop_map(|(prefix, back)| Step::Read { prefix, back }),
    ];
    proptest::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever changes, in any order, a response with the cache is the one without it.
    #[test]
    fn cache_never_returns_a_body_of_another_state(steps in steps()) {
        let (cache, replica) = (ResponseCache::default(), StoreReplica::default());
        let mut revision = 1;
        for (seed, step) in (0..).zip(steps) {
            match step {
                Step::List { prefix, rise } => {
                    revision += rise;
                    replica.apply_snapshot(PREFIXES[prefix], &list(PREFIXES[prefix], revision, seed));
                }
                Step::Change { prefix, rise } => {
                    revision += rise;
                    replica.apply_changes(PREFIXES[prefix], &changes(PREFIXES[prefix], revision, seed));
                }
                Step::NoChange { prefix, rise } => {
                    revision += rise;
                    replica.apply_changes(PREFIXES[prefix], &EventList { revision, events: Vec::new() });
                }
                Step::Read { prefix, back } => {
                    let read = back.map_or(ReplicaRead::List, |back| {
                        ReplicaRead::Changes(revision.saturating_sub(back))
                    });
                    let body = cache.encode(&replica, PREFIXES[prefix], read, Deflate).unwrap();
                    let bytes = body.map(|body| body.bytes.to_vec());
                    prop_assert_eq!(bytes, expected_body(&replica, PREFIXES[prefix], read));
                }
            }
        }
    }
}
