//! Test of changes in the platform that exceed the size of a response.

mod common;

use common::{start_cluster, wait_until};
use sniperelay_core::vm::{VmRole, VmState};
use sniperelay_node::entry_vm::EntryVm;
use sniperelay_platform::api::{MAX_RESPONSE_BYTES, MAX_VALUE_BYTES};
use sniperelay_standin::cluster::register_vm;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time within which a change must be active on all entry VMs (the users' target).
const ACTIVE_BOUND: Duration = Duration::from_secs(12);

/// Guards against entry VMs that ask for more changes of the list of VMs than a response can hold, again and again, and
/// learn of no target any more.
#[tokio::test(flavor = "multi_thread")]
async fn list_of_vms_is_read_anew_if_its_changes_exceed_a_response() {
    let cluster = start_cluster(1, 1).await;
    cluster.platform.control.is_down.store(true, Ordering::Relaxed);
    // Ends the watch that is open.
    cluster.platform.put("vms/large", "not json");
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..=MAX_RESPONSE_BYTES / MAX_VALUE_BYTES {
        cluster.platform.put("vms/large", "x".repeat(MAX_VALUE_BYTES));
    }
    let role = VmRole::Target("rota-board".to_owned());
    register_vm(&cluster.platform, role, "127.0.0.1:9".parse().unwrap(), "erie-shore", VmState::Live);
    cluster.platform.control.is_down.store(false, Ordering::Relaxed);
    let target_count = |entry_vm: &EntryVm| {
        let services = entry_vm.node_state().services.load();
        services["rota-board"].dispatcher_handle.read(|dispatcher| dispatcher.targets().len())
    };
    let known = wait_until("the new target is known", || target_count(&cluster.entry_vms[0]) == 2);
    tokio::time::timeout(ACTIVE_BOUND, known).await.expect("the new target is not known in time");
    cluster.shut_down();
}
