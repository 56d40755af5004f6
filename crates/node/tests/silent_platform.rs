//! Tests of a platform that accepts a watch and never answers it.

mod common;

use common::{start_cluster, wait_until};
use sniperelay_core::edition::{ConfigEdition, EditMark};
use sniperelay_node::entry_vm::EntryVm;
use sniperelay_standin::platform::SilentCalls;
use std::time::Duration;

/// Time within which a change of configuration must be active on all entry VMs (the users' target).
const ACTIVE_BOUND: Duration = Duration::from_secs(12);

/// Guards against a document that stays out of date for longer than allowed, because the watch that would have returned
/// its change is never answered.
#[tokio::test(flavor = "multi_thread")]
async fn watch_without_a_response_does_not_hold_back_a_document() {
    let cluster = start_cluster(1, 1).await;
    cluster.platform.control.set_silent_calls(Some(SilentCalls::WaitingWatches("watch/config")));
    // Ends the watch that is open, so that the next one gets no response.
    cluster.platform.put("config/none", "not json");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let text = cluster.spec.services[0].text.replace("worth = 100", "worth = 103");
    let edition = ConfigEdition {
        service: "rota-board".to_owned(),
        mark: EditMark { edit_id: 5, generation: 99, author: "x".to_owned(), unix_millis: 0 },
        history: Vec::new(),
        text,
    };
    let value = serde_json::to_string(&edition).unwrap();
    cluster.platform.put("config/rota-board", value);
    let worth =
        |entry_vm: &EntryVm| entry_vm.node_state().services.load()["rota-board"].document.ranks[0].worth;
    let active = wait_until("the document is active", || worth(&cluster.entry_vms[0]) == 103.0);
    tokio::time::timeout(ACTIVE_BOUND, active).await.expect("the document is not active in time");
    cluster.shut_down();
}
