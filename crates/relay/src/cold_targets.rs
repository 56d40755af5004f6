//! Log lines and counters about cold targets.

use crate::decision_log::{DecisionKind, DecisionLog};
use sniperelay_core::dispatch::ColdTargetReport;
use sniperelay_core::target::WarmUpChange;
use sniperelay_node::metrics::ProcessCounters;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// Logs and counts what has happened to the cold targets of a service.
pub(crate) fn log_cold_targets(
    service: &str,
    report: ColdTargetReport,
    decisions: &DecisionLog,
    counters: &ProcessCounters,
) {
    counters.requests_withheld.fetch_add(report.withheld, Ordering::Relaxed);
    for (address, instance, change) in report.changes {
        let counter = match change {
            WarmUpChange::Cold => &counters.targets_turned_cold,
            WarmUpChange::Lost => &counters.targets_lost,
            WarmUpChange::Warm => &counters.targets_turned_warm,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        // The targets of a whole failure domain may change at once.
        if let Some(suppressed_lines) = decisions.admit(DecisionKind::WarmUpChanged, service, Instant::now())
        {
            let text = change.as_str();
            log::info!(target = instance.as_str(), service, left_out = suppressed_lines; "target {address} is {text}");
        }
    }
}
