//! Detection of a partition between this entry VM and all targets, and of its end.
//!
//! While no target has responded for a while, a few targets are checked at their health endpoints over new
//! connections; see [`sniperelay_core::reachability`]. Targets that are limited, paused or leaving are not checked.

use crate::shared_state::RelayState;
use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, header};
use http_body_util::{BodyExt, Limited};
use rand::seq::IndexedRandom;
use sniperelay_core::reachability::{ReachabilityChange, TargetReachability};
use sniperelay_node::traffic::body::full_body;
use sniperelay_node::traffic::connection_reuse::keep_alive_time;
use sniperelay_node::traffic::pool::MAX_IDLE_TIME;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Interval between two looks at whether a round of checks is due.
const CHECK_TICK: Duration = Duration::from_millis(50);
/// Number of targets that a round checks.
const TARGETS_PER_ROUND: usize = 3;
/// Timeout of a check. Health endpoints respond immediately.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum size of the body of a health response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4096;

/// A target to check.
#[derive(Debug, Clone)]
struct CheckedTarget {
    address: SocketAddr,
    health_path: String,
}

/// The links between this entry VM and all targets, as observed by all tasks.
#[derive(Debug)]
pub struct TargetLinks {
    reachability: Mutex<TargetReachability>,
    is_isolated: watch::Sender<bool>,
}

impl Default for TargetLinks {
    fn default() -> Self {
        Self { reachability: Mutex::default(), is_isolated: watch::Sender::new(false) }
    }
}

impl TargetLinks {
    /// Records that something is being sent to a target.
    pub fn record_send(&self) {
        self.lock().record_send(Instant::now());
    }

    /// Records a response of a target.
    pub fn record_response(&self) {
        self.lock().record_response(Instant::now());
    }

    /// Returns whether this entry VM reaches no target.
    pub fn is_isolated(&self) -> bool {
        *self.is_isolated.borrow()
    }

    /// Returns whether no target has responded for a while.
    pub fn is_suspect(&self) -> bool {
        self.lock().is_suspect(Instant::now())
    }

    /// Returns a receiver that is notified when a partition begins or ends.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.is_isolated.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, TargetReachability> {
        self.reachability.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks the links to the targets whenever there is a suspicion, until the process ends.
pub async fn check_target_links(state: Arc<RelayState>) {
    loop {
        tokio::time::sleep(CHECK_TICK).await;
        if state.links.lock().take_due_idle_check(Instant::now()) {
            tokio::spawn(check_when_idle(state.clone()));
        }
        if !state.links.lock().take_due_round(Instant::now()) {
            continue;
        }
        let targets = choose_targets(&state);
        let responses =
            join_all(targets.iter().map(|target| check_target(&state, target, Duration::ZERO))).await;
        // Without a target that may be checked, only requests can show whether targets respond.
        let is_successful = targets.is_empty() || responses.contains(&true);
        let change = state.links.lock().record_round(is_successful, Instant::now());
        apply_change(&state, change, targets.len());
    }
}

fn apply_change(state: &RelayState, change: ReachabilityChange, checked: usize) {
    match change {
        ReachabilityChange::Unchanged => return,
        ReachabilityChange::Isolated => {
            state.metrics.process().isolations.fetch_add(1, Ordering::Relaxed);
            log::warn!(checked; "no target responds, to requests or to checks: this entry VM is isolated");
            // The open connections may hang after the partition.
            state.pool.close_all();
        }
        ReachabilityChange::Connected => log::warn!("targets respond again"),
    }
    state.links.is_isolated.send_replace(change == ReachabilityChange::Isolated);
}

/// Returns a few usable targets of all services, at random.
fn choose_targets(state: &RelayState) -> Vec<CheckedTarget> {
    let services = state.services.load();
    let candidates: Vec<CheckedTarget> = services
        .values()
        .flat_map(|entry| {
            let addresses: Vec<SocketAddr> = entry.dispatcher_handle.read(|dispatcher| {
                let targets = dispatcher.targets().iter().map(|(_, target)| target);
                targets.filter(|target| target.may_be_checked()).map(|target| target.address).collect()
            });
            let health_path = entry.document.measuring.path.clone();
            addresses
                .into_iter()
                .map(move |address| CheckedTarget { address, health_path: health_path.clone() })
        })
        .collect();
    candidates.choose_multiple(&mut rand::rng(), TARGETS_PER_ROUND).cloned().collect()
}

/// Checks one target, over an open connection if there is one. Without a response, rounds of checks follow.
async fn check_when_idle(state: Arc<RelayState>) {
    let Some(target) = choose_targets(&state).into_iter().next() else { return };
    state.links.record_send();
    if check_target(&state, &target, MAX_IDLE_TIME).await {
        state.links.record_response();
    }
}

async fn check_target(state: &RelayState, target: &CheckedTarget, max_idle: Duration) -> bool {
    state.metrics.process().probe_calls.fetch_add(1, Ordering::Relaxed);
    let response = tokio::time::timeout(CHECK_TIMEOUT, request_health(state, target, max_idle)).await;
    response.is_ok_and(|response| response.is_some())
}

/// Returns `Some` if the target responds at all, over a connection that has been idle for less than `max_idle` or
/// a new one.
async fn request_health(state: &RelayState, target: &CheckedTarget, max_idle: Duration) -> Option<()> {
    let mut connection = state.pool.take_fresh(target.address, max_idle).await.ok()?;
    let request = Request::get(target.health_path.as_str())
        .header(header::HOST, target.address.to_string())
        .body(full_body(Bytes::new()))
        .ok()?;
    let response = connection.sender()?.send_request(request).await.ok()?;
    let keep_alive = keep_alive_time(response.headers()).unwrap_or(Duration::ZERO);
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    if body.is_ok() {
        connection.return_to_pool_for(keep_alive);
    }
    Some(())
}
