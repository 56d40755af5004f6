//! Tests that an entry VM that cannot be started, or is dropped, ends its threads and reports the first
//! error, also in async code.

mod common;

use common::{start_cluster, wait_until};
use sniperelay_config::parse_settings;
use sniperelay_node::EntryVm;
use std::net::TcpStream;

fn settings_text(operator_address: &str) -> String {
    format!(
        "[entry-vm]\nfailure-domain = d\ncaller-address = 127.0.0.1:0\npeer-address = 127.0.0.1:0\n\
         operator-address = {operator_address}\n[platform]\naddress = 127.0.0.1:9\n[peers]\n\
         ca-file = /nonexistent/ca.pem\ncertificate-file = /nonexistent/vm.pem\nkey-file = /nonexistent/vm.key\n\
         [operators]\nadmin = startup-test\n"
    )
}

#[tokio::test]
async fn start_that_fails_reports_the_first_error() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let occupied_address = occupied.local_addr().unwrap().to_string();
    for (operator_address, expected) in
        [("127.0.0.1:0", "/nonexistent/ca.pem"), (occupied_address.as_str(), "operator-address")]
    {
        let settings = parse_settings("test.ini", &settings_text(operator_address)).unwrap();
        let error = EntryVm::start(settings, None).expect_err("the entry VM started without certificates");
        assert!(format!("{error:#}").contains(expected), "{error:#}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_entry_vm_ends_its_threads() {
    let mut cluster = start_cluster(1, 1).await;
    let entry_vm = cluster.entry_vms.remove(0);
    let (callers, operators) = (entry_vm.caller_address(), entry_vm.operator_address());
    drop(entry_vm);
    wait_until("its sockets have been closed", || {
        TcpStream::connect(callers).is_err() && TcpStream::connect(operators).is_err()
    })
    .await;
    cluster.shut_down();
}

/// VMs are registered by address. An entry VM whose UDP port had the number of a target's TCP port replaced
/// the registration of that target.
#[tokio::test(flavor = "multi_thread")]
async fn entry_vms_and_targets_of_a_cluster_are_registered_under_different_hosts() {
    let cluster = start_cluster(2, 2).await;
    for entry_vm in &cluster.entry_vms {
        for target in cluster.targets.values().flatten() {
            assert_ne!(entry_vm.peer_address().ip(), target.address().ip());
        }
    }
    cluster.shut_down();
}
