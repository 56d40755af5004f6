//! A short fault soak of real processes; longer ones are run by hand.

use sniperelay_standin::soak::{SoakPlan, run_soak};
use std::path::PathBuf;

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak() {
    let plan = SoakPlan { binary: PathBuf::from(env!("CARGO_BIN_EXE_sniperelay")), seed: 1, faults: 8 };
    let report = run_soak(&plan).await.unwrap();
    assert!(report.broken.is_empty(), "{:?} after {:?}", report.broken, report.faults);
    assert!(report.served > 0);
}
