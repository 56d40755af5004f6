//! Time that the dispatcher takes per request, by number of targets.

use crate::bench::report::BenchFigure;
use crate::deployment::cooperative;
use sniperelay_core::dispatch::{
    DispatchAction, DispatchSettings, NewRequest, ResponseMetadata, ServiceDispatcher,
};
use sniperelay_core::pick::PickPolicy;
use sniperelay_core::target::{TargetLifecycle, TargetSpec};
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TARGET_COUNTS: &[usize] = &[20, 200, 2000];
const REQUEST_COUNT: u64 = 200_000;

/// Measures the time for admission, target selection, response and release of one request, in
/// nanoseconds. Half of the slots are in use.
pub fn bench_decision(seed: u64) -> Vec<BenchFigure> {
    TARGET_COUNTS.iter().map(|size| measure_decision(*size, seed)).collect()
}

fn measure_decision(size: usize, seed: u64) -> BenchFigure {
    let document = Arc::new(cooperative().services[0].document.clone());
    let settings =
        DispatchSettings { local_domain: "erie-shore".to_owned(), policy: PickPolicy::SlotCredit, seed };
    let mut dispatcher = ServiceDispatcher::new(document, settings);
    let mut actions = Vec::new();
    dispatcher.replace_targets(&make_targets(size), Instant::now(), &mut actions);
    let in_flight = size as u64 * 2;
    let start = Instant::now();
    let mut now = start;
    let mut running = std::collections::VecDeque::new();
    for request in 0..REQUEST_COUNT {
        now += Duration::from_micros(10);
        let deadline = now + Duration::from_millis(250);
        let new = NewRequest {
            request,
            rank: 0,
            deadline,
            is_idempotent: true,
            is_retry_forbidden: false,
            account: 0,
        };
        dispatcher.submit(new, now, &mut actions);
        running.extend(actions.drain(..).filter_map(|action| match action {
            DispatchAction::Start { request, target, .. } => Some((request, target)),
            _ => None,
        }));
        if running.len() as u64 >= in_flight
            && let Some((request, target)) = running.pop_front()
        {
            let metadata = ResponseMetadata { report: None, is_error: false };
            black_box(dispatcher.response_started(request, target, metadata, now, &mut actions));
            dispatcher.attempt_ended(request, target, now, &mut actions);
        }
    }
    let nanos = start.elapsed().as_nanos() as f64 / REQUEST_COUNT as f64;
    BenchFigure::plain(format!("decision/{size}-targets"), nanos, "ns", seed)
}

fn make_targets(size: usize) -> Vec<TargetSpec> {
    let make = |index: usize| TargetSpec {
        address: SocketAddr::from(([127, 0, (index / 250) as u8, 1], 1000 + (index % 250) as u16)),
        domain: if index.is_multiple_of(4) { "erie-shore" } else { "huron-bay" }.to_owned(),
        lifecycle: TargetLifecycle::Live,
        owned_slots: 4,
    };
    (0..size).map(make).collect()
}
