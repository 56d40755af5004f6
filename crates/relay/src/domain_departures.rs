//! Log lines and metrics about requests that leave the failure domain.
//!
//! A service has one line when its requests begin to leave, and one when none has left for a second.

use sniperelay_core::domain_overflow::{LeaveReason, LeavingChange};
use sniperelay_node::dispatcher_handle::{DispatcherHandle, ServiceEntry};
use sniperelay_node::metrics::ProcessCounters;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Logs that requests of a service have begun to leave the failure domain, or no longer do.
pub(crate) fn log_leaving_change(entry: &ServiceEntry) {
    let change =
        entry.dispatcher_handle.run_operation(|dispatcher, now, _| dispatcher.take_leaving_change(now));
    let service = entry.document.name.as_str();
    match change {
        None => {}
        Some(LeavingChange::Began { reason, own_wait }) => {
            let wait_ms = own_wait.as_ref().map_or(-1.0, to_millis);
            let reason = match reason {
                LeaveReason::NoOwnTarget => "no usable target in it",
                LeaveReason::Wait => "the wait for a target in it",
            };
            log::info!(service, wait_ms; "requests begin to leave the failure domain: {reason}");
        }
        Some(LeavingChange::Ended { left, started, duration }) => {
            let share = left as f64 / started.max(1) as f64;
            let duration_ms = to_millis(&duration);
            log::info!(service, left, share, duration_ms; "requests no longer leave the failure domain");
        }
    }
}

fn to_millis(duration: &Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Copies the totals of all services to the counters of the process, which do not decrease when a service is removed.
pub(crate) fn export_leaving_totals<'a>(
    counters: &ProcessCounters,
    dispatchers: impl Iterator<Item = &'a DispatcherHandle>,
) {
    let mut sums = [0; 4];
    for dispatcher in dispatchers {
        let totals = dispatcher.read(|dispatcher| dispatcher.leaving_totals());
        let values =
            [totals.left_by_wait, totals.left_without_target, totals.request_bytes, totals.response_bytes];
        sums.iter_mut().zip(values).for_each(|(sum, value)| *sum += value);
    }
    let exported: [&AtomicU64; 4] = [
        &counters.left_domain_by_wait,
        &counters.left_domain_without_target,
        &counters.cross_domain_request_bytes,
        &counters.cross_domain_response_bytes,
    ];
    for (counter, sum) in exported.iter().zip(sums) {
        counter.fetch_max(sum, Ordering::Relaxed);
    }
}
