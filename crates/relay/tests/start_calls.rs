//! Tests of the calls to the store by entry VMs that start: a start must not be a herd of calls.

mod common;

use common::{config, registration, start_configured_relay};
use sniperelay_platform::transport::{CallResult, CallVerb};
use sniperelay_relay::RunningRelay;
use sniperelay_relay::replication::StoreSource;
use sniperelay_standin::platform::PlatformStandin;
use std::sync::Arc;
use std::time::Duration;

/// Number of entry VMs: the three readers, and many more.
const ENTRY_VMS: usize = 12;
/// Up-to-date calls of an entry VM that starts beside readers: its registration, and a read of the entry VMs that have
/// registered with it. One more is left for a reader that responds late.
const MAX_CURRENT_CALLS: u64 = 3;
/// Timeout after which a condition that does not come true fails the test.
const HANG_LIMIT: Duration = Duration::from_secs(30);

struct StartingFleet {
    store: Arc<PlatformStandin>,
    relays: Vec<RunningRelay>,
}

impl StartingFleet {
    /// Starts all entry VMs at the same time, for the first time.
    async fn start() -> Self {
        let store = PlatformStandin::start().await.unwrap();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let target = registration(listener.local_addr().unwrap(), "ready");
        store.put("servers/i0", target.to_string());
        store.put("config/main", config("00000001").to_string());
        let start = |index| start_relay(&store, index, "first-start = true\n");
        let fleet = Self { relays: (0..ENTRY_VMS).map(start).collect(), store };
        fleet.wait_until_ready(&fleet.relays).await;
        fleet
    }

    async fn wait_until_ready(&self, relays: &[RunningRelay]) {
        let all_ready = async {
            while !relays.iter().all(|relay| relay.state().is_ready()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(HANG_LIMIT, all_ready).await.expect("an entry VM is not ready");
    }
}

fn start_relay(store: &PlatformStandin, index: usize, more: &str) -> RunningRelay {
    start_configured_relay(&format!("vm{index:02}"), store.address(), "", more)
}

/// Returns the number of calls that the store answers from its current state.
fn current_calls(relay: &RunningRelay) -> u64 {
    let counters = relay.state().store.counters();
    let verbs = [CallVerb::Get, CallVerb::List, CallVerb::Watch, CallVerb::Put];
    verbs.iter().map(|verb| counters.count(*verb, CallResult::Responded)).sum()
}

#[tokio::test]
async fn most_entry_vms_of_a_first_start_read_from_readers() {
    let fleet = StartingFleet::start().await;
    let mut calls: Vec<u64> = fleet.relays.iter().map(current_calls).collect();
    calls.sort_unstable();
    assert!(calls[ENTRY_VMS / 2] <= MAX_CURRENT_CALLS, "calls by entry VM: {calls:?}");
}

#[tokio::test]
async fn entry_vm_that_starts_beside_readers_reads_from_one() {
    let fleet = StartingFleet::start().await;
    let mut calls = Vec::new();
    for index in 0..5 {
        let relay = [start_relay(&fleet.store, ENTRY_VMS + index, "")];
        fleet.wait_until_ready(&relay).await;
        calls.push(current_calls(&relay[0]));
    }
    calls.sort_unstable();
    assert!(calls[2] <= MAX_CURRENT_CALLS, "calls by entry VM: {calls:?}");
}

/// A reader that does not respond must not delay a start.
#[tokio::test]
async fn entry_vm_that_starts_beside_dead_readers_reads_the_store() {
    let store = PlatformStandin::start().await.unwrap();
    // A listener that never accepts.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for index in 0..3 {
        let address = silent.local_addr().unwrap();
        let record = sniperelay_hosted::registration::EntryVmRecord {
            name: format!("dead{index}"),
            domain: "z".to_owned(),
            caller_address: address,
            ready_address: address,
            peer_address: address,
            incarnation: index,
            capacity: 1_000_000,
        };
        let value = sniperelay_hosted::registration::encode_entry_vm(&record);
        store.put(&format!("sniperelay-entry-vms/dead{index}"), value);
    }
    store.put("servers/i0", registration(silent.local_addr().unwrap(), "ready").to_string());
    store.put("config/main", config("00000001").to_string());
    let relay = start_relay(&store, 0, "");
    let is_ready = async {
        while !relay.state().is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, is_ready).await.expect("the entry VM is not ready");
    assert!(matches!(relay.state().replica.source(), StoreSource::Direct));
}
