//! Probes of targets within the measuring budget.
//!
//! Responses carry load reports at no extra cost, so only ejected targets are probed, which normally
//! receive no new requests. A successful response to a probe readmits the target, or marks it as
//! leaving if it reports that. Probing requires a probe right, which is a lease in the platform's
//! store.

use crate::dispatcher_handle::ServiceEntry;
use crate::shared_state::NodeState;
use crate::traffic::body::full_body;
use crate::traffic::headers;
use crate::wall_clock;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};
use sniperelay_core::probe_schedule::{PROBE_RIGHT_COUNT, ProbeBudget, open_window};
use sniperelay_platform::{PlatformApi, PlatformError};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Duration of a lease on a probe right.
const LEASE_DURATION: Duration = Duration::from_secs(30);
/// Safety margin against clock offsets: the holder of a lease stops using it this long before its end,
/// and others take it over only this long after its end.
const LEASE_MARGIN: Duration = Duration::from_secs(5);
/// Interval between two scans for targets to probe.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two attempts to acquire or renew a lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(8);
/// Maximum size of a probe and its response in bytes.
const MAX_PROBE_BYTES: u32 = 512;
/// Timeout for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Serialize, Deserialize)]
struct ProbeLease {
    holder: String,
    expires_unix_ms: u64,
}

/// A probe right, and the time until which it can be used, as the time since the Unix epoch.
#[derive(Debug, Clone, Copy)]
struct HeldRight {
    right: u64,
    version: u64,
    usable_until: Duration,
}

/// Acquires the probe right to which this entry VM is assigned when that right is free, and probes
/// targets while the right is held.
pub async fn run_probes(platform: Arc<impl PlatformApi>, node_state: Arc<NodeState>) {
    let mut held: Option<HeldRight> = None;
    let mut next_renewal = Instant::now() + LEASE_RENEWAL_INTERVAL / 4;
    let mut probed_windows: HashMap<SocketAddr, u64> = HashMap::new();
    loop {
        tokio::time::sleep(SCAN_INTERVAL).await;
        if Instant::now() >= next_renewal {
            next_renewal = Instant::now() + LEASE_RENEWAL_INTERVAL;
            held = renew_lease(&*platform, &node_state, held).await;
        }
        if let Some(right) = held {
            probe_targets(&node_state, right, &mut probed_windows).await;
        }
    }
}

async fn renew_lease(
    platform: &impl PlatformApi,
    node_state: &NodeState,
    held: Option<HeldRight>,
) -> Option<HeldRight> {
    let right = held.map_or(node_state.incarnation % PROBE_RIGHT_COUNT, |held| held.right);
    let key = format!("measuring/right-{right}");
    let holder = format!("{:016x}", node_state.incarnation);
    let stored = platform.get(&key).await.ok()?;
    let now = wall_clock::since_epoch();
    let lease = stored.as_ref().and_then(|object| serde_json::from_str::<ProbeLease>(&object.value).ok());
    let is_taken = lease.is_some_and(|lease| {
        lease.holder != holder && Duration::from_millis(lease.expires_unix_ms) + LEASE_MARGIN > now
    });
    if is_taken {
        return None;
    }
    let expires = now + LEASE_DURATION;
    let value =
        serde_json::to_string(&ProbeLease { holder, expires_unix_ms: expires.as_millis() as u64 }).ok()?;
    let expected = stored.map_or(0, |object| object.version);
    match platform.put(&key, expected, &value).await {
        Ok(version) => Some(HeldRight { right, version, usable_until: expires - LEASE_MARGIN }),
        Err(PlatformError::Conflict { .. }) => None,
        Err(_) => held,
    }
}

async fn probe_targets(
    node_state: &Arc<NodeState>,
    right: HeldRight,
    probed_windows: &mut HashMap<SocketAddr, u64>,
) {
    let services = node_state.services.load_full();
    for entry in services.values() {
        for target in ejected_targets(entry) {
            let measuring = &entry.document.measuring;
            let budget = ProbeBudget {
                calls_per_second: measuring.calls_per_second,
                bytes_per_second: measuring.bytes_per_second,
                bytes_per_call: MAX_PROBE_BYTES,
            };
            let now = wall_clock::since_epoch();
            let window = open_window(right.right, target, now, budget).filter(|_| now < right.usable_until);
            let is_due = window.is_some_and(|window| probed_windows.insert(target, window) != Some(window));
            if is_due {
                tokio::spawn(probe_target(node_state.clone(), entry.clone(), target));
            }
        }
    }
    log::trace!("probe right {} at version {}", right.right, right.version);
}

fn ejected_targets(entry: &ServiceEntry) -> Vec<SocketAddr> {
    entry.dispatcher_handle.read(|dispatcher| {
        let ejected = dispatcher.targets().iter().filter(|(_, target)| target.is_ejected());
        ejected.map(|(_, target)| target.address).collect()
    })
}

async fn probe_target(node_state: Arc<NodeState>, entry: Arc<ServiceEntry>, target: SocketAddr) {
    let process = node_state.metrics.process();
    process.probe_calls.fetch_add(1, Ordering::Relaxed);
    process.probe_bytes.fetch_add(u64::from(MAX_PROBE_BYTES), Ordering::Relaxed);
    let response = tokio::time::timeout(PROBE_TIMEOUT, query_load(&node_state, &entry, target)).await;
    match response {
        Ok(Some(is_leaving)) if is_leaving => {
            entry.dispatcher_handle.run_operation(|dispatcher, _, _| dispatcher.mark_leaving(target));
        }
        Ok(Some(_)) => entry
            .dispatcher_handle
            .run_operation(|dispatcher, now, actions| dispatcher.readmit(target, now, actions)),
        _ => log::debug!("no valid response to the probe of target {target}"),
    }
}

/// Requests the load endpoint of a target. Returns whether the target reports that it is leaving, or
/// `None` if the probe failed.
async fn query_load(node_state: &NodeState, entry: &ServiceEntry, target: SocketAddr) -> Option<bool> {
    let request = Request::get(entry.document.measuring.path.as_str())
        .header(header::HOST, entry.document.name.as_str())
        .body(full_body(Bytes::new()))
        .ok()?;
    let mut connection = node_state.pool.take(target).await.ok()?;
    let response = connection.sender()?.send_request(request).await.ok()?;
    let is_leaving = response.headers().get(headers::TARGET_STATE).is_some_and(|state| state == "leaving");
    let is_success = response.status().is_success();
    Limited::new(response.into_body(), MAX_PROBE_BYTES as usize).collect().await.ok()?;
    is_success.then_some(is_leaving)
}
