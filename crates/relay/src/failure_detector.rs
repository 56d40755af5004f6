//! Liveness checks of neighbours, and removal of failed entry VMs.
//!
//! Entry VMs form a ring, sorted by name. Each one sends readiness checks to the next two over
//! persistent connections. A neighbour that does not respond to several checks in a row is excluded
//! from this entry VM's lookup responses. After further failed checks its registration is deleted,
//! on condition that its version has not changed, so that all entry VMs exclude it. An entry VM that
//! was still running finds its registration deleted and registers again.

use crate::copy_offers::send_offers;
use crate::shared_state::RelayState;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Empty;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sniperelay_hosted::isolation::ISOLATION_PREFIX;
use sniperelay_hosted::lookup::READY_PATH;
use sniperelay_hosted::registration::{ENTRY_VM_PREFIX, EntryVmRecord, decode_entry_vm};
use sniperelay_platform::api::PlatformApi;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Number of neighbours that each entry VM checks.
const NEIGHBOUR_COUNT: usize = 2;
/// Pause between two rounds of checks. A round checks the neighbours one after the other.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout for the response to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of consecutive failed checks after which a neighbour is considered unresponsive.
const UNRESPONSIVE_THRESHOLD: u32 = 2;
/// Number of consecutive failed checks after which a neighbour's registration is deleted. Deletion is
/// tried again after each further series of this length.
const DEREGISTER_THRESHOLD: u32 = 4;

/// Connection to a neighbour, and the number of consecutive failed checks.
#[derive(Debug, Default)]
struct NeighbourCheck {
    sender: Option<SendRequest<Empty<Bytes>>>,
    failures: u32,
}

/// Checks the neighbours at regular intervals until the process ends.
pub async fn check_neighbours(state: Arc<RelayState>) {
    let mut checks: HashMap<String, NeighbourCheck> = HashMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let neighbours = next_neighbours(&state);
        checks.retain(|name, _| neighbours.iter().any(|neighbour| neighbour.name == *name));
        state.lock_unresponsive_vms().retain(|name| checks.contains_key(name));
        for neighbour in neighbours {
            let check = checks.entry(neighbour.name.clone()).or_default();
            let status = check_neighbour(check, neighbour.ready_address).await;
            check.failures = if status.is_some() { 0 } else { check.failures + 1 };
            handle_check_result(&state, &neighbour, check.failures).await;
            if status.is_some_and(|status| status != StatusCode::OK) && state.has_copies() {
                send_offers(&state, vec![neighbour]).await;
            }
        }
    }
}

fn next_neighbours(state: &RelayState) -> Vec<EntryVmRecord> {
    let vms = state.entry_vms.load();
    let own = state.settings.entry.name.clone();
    let after = vms.range(own.clone()..).filter(|(name, _)| **name != own);
    let before = vms.range(..own.clone());
    after.chain(before).take(NEIGHBOUR_COUNT).map(|(_, record)| record.clone()).collect()
}

async fn handle_check_result(state: &RelayState, neighbour: &EntryVmRecord, failures: u32) {
    if failures == 0 {
        let was_unresponsive = state.lock_unresponsive_vms().remove(&neighbour.name);
        if was_unresponsive {
            state.assign_targets();
            log::info!(entry_vm = neighbour.name.as_str(); "neighbour responds again");
        }
        return;
    }
    if failures == UNRESPONSIVE_THRESHOLD {
        log::warn!(entry_vm = neighbour.name.as_str(); "neighbour is silent; excluded from lookup responses");
        state.lock_unresponsive_vms().insert(neighbour.name.clone());
        state.assign_targets();
    }
    if failures.is_multiple_of(DEREGISTER_THRESHOLD) {
        remove_registration(state, neighbour).await;
    }
}

async fn remove_registration(state: &RelayState, neighbour: &EntryVmRecord) {
    let key = format!("{ENTRY_VM_PREFIX}{}", neighbour.name);
    let found = match state.store.get(&key).await {
        Ok(Some(found)) => found,
        Ok(None) => return,
        Err(error) => {
            log::info!("cannot read the registration of an unresponsive neighbour: {error}");
            return;
        }
    };
    let is_unchanged =
        decode_entry_vm(&neighbour.name, &found.value).is_ok_and(|record| record == *neighbour);
    if !is_unchanged {
        return;
    }
    match state.store.delete(&key, found.version).await {
        Ok(_) => log::warn!(entry_vm = neighbour.name.as_str(); "registration of a silent neighbour deleted"),
        Err(error) => log::info!("cannot delete the registration of an unresponsive neighbour: {error}"),
    }
    remove_isolation_report(state, neighbour).await;
}

/// Deletes the report of a failed entry VM that it is isolated. It writes it again if it is still running.
async fn remove_isolation_report(state: &RelayState, neighbour: &EntryVmRecord) {
    if !state.isolated_vms.load().contains(&neighbour.name) {
        return;
    }
    let key = format!("{ISOLATION_PREFIX}{}", neighbour.name);
    let deleted = match state.store.get(&key).await {
        Ok(Some(found)) => state.store.delete(&key, found.version).await.map(drop),
        Ok(None) => return,
        Err(error) => Err(error),
    };
    if let Err(error) = deleted {
        log::info!("cannot delete the report that an unresponsive neighbour is isolated: {error}");
    }
}

/// Returns the status of the neighbour's readiness; `None` if it does not respond. An entry VM that is not ready removes
/// its own registration, or has just started and has no copies yet.
async fn check_neighbour(check: &mut NeighbourCheck, address: SocketAddr) -> Option<StatusCode> {
    let response = tokio::time::timeout(CHECK_TIMEOUT, send_check(check, address)).await;
    let status = response.ok().flatten();
    if status.is_none() {
        check.sender = None;
    }
    status
}

async fn send_check(check: &mut NeighbourCheck, address: SocketAddr) -> Option<StatusCode> {
    if check.sender.as_ref().is_none_or(|sender| !sender.is_ready()) {
        check.sender = Some(connect(address).await?);
    }
    let request = Request::get(READY_PATH).header("host", address.to_string()).body(Empty::new()).ok()?;
    let response = check.sender.as_mut()?.send_request(request).await.ok()?;
    Some(response.status())
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to a neighbour ended: {error}");
        }
    });
    Some(sender)
}
