//! Time from the acceptance of an edit until it is in force on every entry VM.

use crate::bench::report::{BenchFigure, BoundSide};
use crate::cluster::{ADMIN_TOKEN, ClusterOptions, ClusterStandin, send_operator_request};
use crate::deployment::{DeploymentSpec, cooperative};
use anyhow::{Result, bail, ensure};
use http::{Method, StatusCode};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const ENTRY_VM_COUNT: usize = 16;
/// Number of edits measured for each platform state.
const EDITS_PER_CASE: u64 = 20;
/// Bound on the time from acceptance until an edit is in force on every entry VM, in milliseconds.
const MAX_EDIT_MS: f64 = 2000.0;
/// Timeout for an edit to be accepted, and for an accepted edit to be in force.
const EDIT_TIMEOUT: Duration = Duration::from_secs(20);

/// State of the platform during an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlatformCase {
    /// Available.
    Up,
    /// Unavailable from the acceptance of the edit on.
    DownAfterAcceptance,
    /// The write is applied, but its response is lost.
    ResponseLost,
}

/// Measures all cases on 16 entry VMs.
///
/// # Errors
///
/// Returns an error if a component cannot be started or an edit is not accepted.
pub async fn bench_config(seed: u64) -> Result<Vec<BenchFigure>> {
    let spec = cooperative();
    let services = spec.services[..1].to_vec();
    let spec = DeploymentSpec { services, entry_vm_count: ENTRY_VM_COUNT, ..spec };
    let cluster = ClusterStandin::start(spec, ClusterOptions::default()).await?;
    let mut figures = Vec::new();
    let mut generation = 1;
    let cases = [
        ("platform-up", PlatformCase::Up),
        ("platform-down-after-acceptance", PlatformCase::DownAfterAcceptance),
        ("answer-lost", PlatformCase::ResponseLost),
    ];
    for (name, case) in cases {
        let mut times = Vec::new();
        for _ in 0..EDITS_PER_CASE {
            times.push(measure_edit(&cluster, case, generation).await?);
            generation += 1;
        }
        times.sort_unstable();
        let millis = |index: usize| times[index].as_secs_f64() * 1000.0;
        let middle = times.len() / 2;
        let last = times.len() - 1;
        figures.push(BenchFigure::plain(format!("config/{name}/p50"), millis(middle), "ms", seed));
        figures.push(
            BenchFigure::plain(format!("config/{name}/max"), millis(last), "ms", seed)
                .with_bound(BoundSide::AtMost, MAX_EDIT_MS),
        );
    }
    let peak = cluster.platform.peak_calls_per_second();
    figures.push(BenchFigure::plain("config/platform-calls-peak", peak as f64, "1/s", seed));
    cluster.shut_down();
    Ok(figures)
}

async fn measure_edit(cluster: &ClusterStandin, case: PlatformCase, base: u64) -> Result<Duration> {
    let service = &cluster.spec.services[0];
    let name = &service.document.name;
    let worth = 1000 + base;
    let text = service.text.replace("worth = 100", &format!("worth = {worth}"));
    let operator = cluster.entry_vms[base as usize % cluster.entry_vms.len()].operator_address();
    if case == PlatformCase::ResponseLost {
        cluster.platform.control.responses_to_lose.store(1, Ordering::Relaxed);
    }
    let started = Instant::now();
    // Entry VMs refresh the status that reports their active version twice per second. An edit refused
    // with status 503 is retried.
    let path = format!("/config/{name}?base={base}");
    loop {
        let (status, body) =
            send_operator_request(operator, Method::PUT, &path, Some(ADMIN_TOKEN), &text).await?;
        match status {
            StatusCode::OK => break,
            StatusCode::SERVICE_UNAVAILABLE if started.elapsed() < EDIT_TIMEOUT => {
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            _ => bail!("edit rejected: {status} {body}"),
        }
    }
    let accepted = Instant::now();
    if case == PlatformCase::DownAfterAcceptance {
        cluster.platform.control.is_down.store(true, Ordering::Relaxed);
    }
    let is_in_force = || {
        cluster.entry_vms.iter().all(|entry_vm| {
            entry_vm.node_state().services.load()[name].document.ranks[0].worth == worth as f64
        })
    };
    while !is_in_force() {
        ensure!(
            accepted.elapsed() < EDIT_TIMEOUT,
            "edit not in force on every entry VM within {EDIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let time = accepted.elapsed();
    cluster.platform.control.is_down.store(false, Ordering::Relaxed);
    // Waits until every entry VM reports the new version in its status.
    tokio::time::sleep(Duration::from_millis(600)).await;
    Ok(time)
}
