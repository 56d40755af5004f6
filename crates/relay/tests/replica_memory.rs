//! Test of the memory that a replica takes. It is alone in its program, because it reads the memory of the process.

use sniperelay_platform::api::{EventList, MAX_VALUE_BYTES, ObjectEvent, ObjectList};
use sniperelay_relay::content_coding::ContentCoding;
use sniperelay_relay::replication::StoreReplica;
use sniperelay_relay::response_cache::{ReplicaRead, ResponseCache};

/// Memory for the copies of the store's contents and their encoded forms on the smallest VM, in bytes; see the budget
/// in docs/CAPACITY.md.
const COPIES_BUDGET_BYTES: u64 = 32 * 1000 * 1000;
/// Number of changes: a day of the users' target has 10,000, so that a log of them would take twice the memory of the
/// smallest VM within 48 minutes.
const CHANGES: u64 = 333;
/// Number of changes between two responses, which take most of the test's time.
const CHANGES_PER_RESPONSE: u64 = 37;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
}

/// Returns a value of the maximum size that differs by version and cannot be compressed much.
fn large_value(version: u64) -> String {
    let words = (0..).map(|index: u64| (index ^ version).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    words.take(MAX_VALUE_BYTES / 16).map(|word| format!("{word:016x}")).collect()
}

/// Guards against entry VMs that exceed their memory, because they keep every version of a large configuration for
/// followers.
#[test]
fn changes_of_a_large_configuration_take_no_memory_once_superseded() {
    let (replica, cache) = (StoreReplica::default(), ResponseCache::default());
    replica.apply_snapshot("config/", &ObjectList { revision: 1, items: Vec::new() });
    let before = resident_bytes();
    for version in 2..2 + CHANGES {
        let value = Some(large_value(version));
        let event = ObjectEvent { key: "config/main".to_owned(), version, value };
        replica.apply_changes("config/", &EventList { revision: version, events: vec![event] });
        let reads = if version % CHANGES_PER_RESPONSE == 0 { &[1, version - 1][..] } else { &[] };
        for &since in reads {
            let read = ReplicaRead::Changes(since);
            let body = cache.encode(&replica, "config/", read, ContentCoding::Deflate).unwrap();
            assert!(body.is_some(), "the changes since {since} are not known");
        }
        let growth = resident_bytes().saturating_sub(before);
        assert!(growth < COPIES_BUDGET_BYTES, "{growth} bytes after {} changes", version - 1);
    }
}
