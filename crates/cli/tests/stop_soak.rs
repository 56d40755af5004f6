//! A short soak of planned stops. It is alone in its program: the addresses of a soak are derived from the process id.

use sniperelay_standin::soak::ENTRY_VM_COUNT;
use sniperelay_standin::soak::stops::{StopPlan, run_stop_soak};
use std::path::PathBuf;

/// Guards against planned stops that end with requests that have got no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_of_planned_stops_cuts_no_request() {
    let plan = StopPlan {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_sniperelay")),
        seed: 1,
        entry_vm_count: ENTRY_VM_COUNT,
        stop_count: 8,
    };
    let report = run_stop_soak(&plan).await.unwrap();
    assert!(
        report.violations.is_empty(),
        "guarantees violated: {:?}; stops: {:?}",
        report.violations,
        report.stops
    );
    assert!(report.served > 0);
}
