//! A short fault soak of entry VM processes. Longer soaks are run by hand.

use sniperelay_standin::soak::{ENTRY_VM_COUNT, SoakPlan, run_soak};
use std::path::PathBuf;

#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_violates_no_guarantee() {
    let plan = SoakPlan {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_sniperelay")),
        seed: 1,
        fault_count: 8,
        entry_vm_count: ENTRY_VM_COUNT,
        crashing_requests: false,
        stated_limits: false,
    };
    let report = run_soak(&plan).await.unwrap();
    assert!(
        report.violations.is_empty(),
        "guarantees violated: {:?}; faults: {:?}",
        report.violations,
        report.faults
    );
    assert!(report.served > 0);
}
