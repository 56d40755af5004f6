//! Probes for targets' load reports.
//!
//! Targets change their speed several times per second and report it in every response. A target
//! that has not responded for a while is probed at its health endpoint, which responds immediately,
//! as long as this entry VM receives requests for its service. The health status in the response is
//! ignored: it may be wrong either way.

use crate::attempt::log_limit_change;
use crate::cold_targets::log_cold_targets;
use crate::domain_departures::log_leaving_change;
use crate::shared_state::RelayState;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Limited};
use sniperelay_core::ids::TargetKey;
use sniperelay_core::target::SharedReport;
use sniperelay_hosted::fields::Result;
use sniperelay_hosted::headers::{
    TargetReport, is_leaving, read_instance, read_pause, read_rate_limit, read_report, read_warm_up_left,
};
use sniperelay_node::dispatcher_handle::ServiceEntry;
use sniperelay_node::traffic::body::full_body;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Interval between two checks for reports that are out of date.
const PROBE_TICK: Duration = Duration::from_millis(25);
/// Timeout for a probe. A report that arrives later is out of date.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of the body of a health response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4096;

/// Probes targets whose reports are out of date until the process ends.
pub async fn probe_targets(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(PROBE_TICK).await;
        if state.links.is_isolated() {
            continue;
        }
        for entry in state.services.load().values() {
            log_leaving_change(entry);
            let targets_to_probe = entry
                .dispatcher_handle
                .run_operation(|dispatcher, now, _| dispatcher.take_targets_to_probe(now));
            let report = entry
                .dispatcher_handle
                .run_operation(|dispatcher, _, _| dispatcher.take_cold_target_report());
            log_cold_targets(&entry.document.name, report, &state.decisions, state.metrics.process());
            for (target, address) in targets_to_probe {
                tokio::spawn(probe_target(state.clone(), entry.clone(), target, address));
            }
        }
    }
}

async fn probe_target(
    state: Arc<RelayState>,
    entry: Arc<ServiceEntry>,
    target: TargetKey,
    address: SocketAddr,
) {
    state.metrics.process().probe_calls.fetch_add(1, Ordering::Relaxed);
    if entry.dispatcher_handle.read(|dispatcher| dispatcher.targets().stated_limit(target).is_some()) {
        state.metrics.process().limited_sends.fetch_add(1, Ordering::Relaxed);
    }
    let result = tokio::time::timeout(PROBE_TIMEOUT, request_report(&state, &entry, target, address)).await;
    if let Ok(Err(ConnectionLost)) = result {
        entry.dispatcher_handle.run_operation(|dispatcher, now, _| dispatcher.record_loss(target, now));
    }
    let Ok(Ok(Some(report))) = result else {
        log::debug!("no report from target {address}");
        return;
    };
    entry.dispatcher_handle.run_operation(|dispatcher, now, actions| {
        let own = dispatcher.targets().get(target).map_or(0, |target| target.in_flight);
        let report = SharedReport { occupied: report.busy + report.queued, own, slowdown: report.slowdown };
        dispatcher.record_report(target, report, now, actions);
    });
}

async fn request_report(
    state: &RelayState,
    entry: &ServiceEntry,
    target: TargetKey,
    address: SocketAddr,
) -> std::result::Result<Option<TargetReport>, ConnectionLost> {
    let mut connection = state.pool.take(address).await.map_err(|_| ConnectionLost)?;
    let request = Request::get(entry.document.measuring.path.as_str())
        .header(header::HOST, address.to_string())
        .body(full_body(Bytes::new()));
    let Ok(request) = request else { return Ok(None) };
    let sender = connection.sender().ok_or(ConnectionLost)?;
    let sent_at = Instant::now();
    let response = sender.send_request(request).await.map_err(|_| ConnectionLost)?;
    state.links.record_response();
    let report = read_report(response.headers());
    let is_target_leaving = is_leaving(response.headers());
    let pause = read_pause(&response);
    let limit = read_rate_limit(response.headers());
    let warm_up = read_warm_up_left(response.headers());
    let instance = read_instance(response.headers()).map(str::to_owned);
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    if body.is_err() {
        return Ok(None);
    }
    // A response without an instance is none to a probe: another response has arrived in its place.
    let Some(instance) = instance else { return Ok(None) };
    connection.return_to_pool();
    let expected = entry
        .dispatcher_handle
        .read(|dispatcher| dispatcher.targets().get(target).map(|target| target.instance.clone()));
    if Some(&instance) != expected.as_ref() {
        return Ok(None);
    }
    if is_target_leaving {
        state.record_leaving(&instance);
    }
    record_warm_up(entry, (target, address), warm_up, sent_at);
    record_probed_limit(state, entry, (target, address), &instance, limit);
    if let Some(pause) = pause {
        log::info!(target = instance.as_str(); "target {address} held off for {pause:?}, as it asked");
        state.metrics.process().targets_held_off.fetch_add(1, Ordering::Relaxed);
        entry
            .dispatcher_handle
            .run_operation(|dispatcher, now, actions| dispatcher.hold_off(target, pause, now, actions));
    }
    Ok(report)
}

/// The connection for a probe could not be opened or was lost: the target may have restarted.
#[derive(Debug)]
struct ConnectionLost;

/// Records for how long a target stays cold. A value that cannot be read changes nothing.
fn record_warm_up(
    entry: &ServiceEntry,
    (target, address): (TargetKey, SocketAddr),
    left: Result<Duration>,
    sent_at: Instant,
) {
    match left {
        Ok(left) => entry.dispatcher_handle.run_operation(|dispatcher, now, actions| {
            dispatcher.record_warm_up(target, left, sent_at, now, actions)
        }),
        Err(error) => log::info!("warm-up of target {address} ignored: {error}"),
    }
}

fn record_probed_limit(
    state: &RelayState,
    entry: &ServiceEntry,
    (target, address): (TargetKey, SocketAddr),
    instance: &str,
    limit: Result<Option<f64>>,
) {
    match limit {
        Ok(per_second) => {
            let change = entry.dispatcher_handle.run_operation(|dispatcher, now, actions| {
                dispatcher.record_probed_limit(target, per_second, now, actions)
            });
            log_limit_change(state, instance, address, change);
        }
        Err(error) => log::info!("limit of target {address} ignored: {error}"),
    }
}
