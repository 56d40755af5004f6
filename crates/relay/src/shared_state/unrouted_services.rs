//! Services that have lost their last route.
//!
//! Requests that were admitted by an earlier configuration may still wait or be repeated there. The dispatcher of such a
//! service therefore gets the same updates of its targets as any other, and keeps its state for the return of a route.
//!
//! Invariant: a service with requests is kept; of the idle ones, those that lost their routes last.

use super::ServiceMap;
use sniperelay_core::dispatch::ServiceDispatcher;
use sniperelay_node::dispatcher_handle::ServiceEntry;
use std::sync::Arc;

/// Maximum number of services without a route, unless more of them have requests. Bounds the memory for the names that
/// configurations have used.
const MAX_UNROUTED_SERVICES: usize = 64;

/// Returns the services without a route after the services of the active configuration change from `previous` to
/// `routed`, in the order in which they lost their routes.
pub(super) fn keep_unrouted(
    unrouted: &[Arc<ServiceEntry>],
    previous: &ServiceMap,
    routed: &ServiceMap,
) -> Vec<Arc<ServiceEntry>> {
    let known = unrouted.iter().chain(previous.values());
    let is_unrouted = |entry: &&Arc<ServiceEntry>| !routed.contains_key(&entry.document.name);
    let mut kept: Vec<Arc<ServiceEntry>> = known.filter(is_unrouted).cloned().collect();
    let mut excess = kept.len().saturating_sub(MAX_UNROUTED_SERVICES);
    kept.retain(|entry| {
        let is_dropped = excess > 0 && entry.dispatcher_handle.read(ServiceDispatcher::is_idle);
        excess -= usize::from(is_dropped);
        !is_dropped
    });
    kept
}
