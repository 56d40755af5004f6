//! The service that serves a request, by the active configuration, and the move to another one.
//!
//! Invariant: a request is moved only before its first attempt. Its deadline, its id and its caller stay the same, and the
//! stricter one of both routes decides whether it may be repeated.

use super::{DEFAULT_RETRY_AFTER, RequestHandler, Result};
use crate::decision_log::DecisionKind;
use crate::shared_state::RelayState;
use sniperelay_core::ids::RankId;
use sniperelay_core::reason::RefusalReason;
use sniperelay_core::route::{RouteSpec, RouteVersion};
use sniperelay_node::dispatcher_handle::ServiceEntry;
use std::sync::Arc;

/// Ranks under which a request is submitted.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestRanks {
    /// Rank while the latency target can be met.
    pub(super) on_time: RankId,
    /// Rank after that.
    pub(super) late: RankId,
}

/// Route of a request in one version of the configuration, and where it leads.
#[derive(Debug)]
pub(super) struct RequestRoute {
    pub(super) entry: Arc<ServiceEntry>,
    pub(super) ranks: RequestRanks,
    pub(super) spec: Arc<RouteSpec>,
    /// Latest version in which the request is known to have this route to this service.
    pub(super) version: RouteVersion,
}

/// Finds the route of a request in the active configuration, and chooses one of the services to which it leads.
pub(super) fn find_route(
    state: &RelayState,
    host: &str,
    path: &str,
) -> std::result::Result<RequestRoute, RefusalReason> {
    let routes = state.routes.load_full().ok_or(RefusalReason::NoTarget)?;
    let route = routes.table.find(host, path).ok_or(RefusalReason::UnknownRank)?;
    let destination = route.next_destination();
    let entry = state.services.load().get(&destination.service).cloned().ok_or(RefusalReason::NoTarget)?;
    Ok(RequestRoute {
        entry,
        ranks: RequestRanks { on_time: destination.rank, late: destination.late_rank },
        spec: route.spec().clone(),
        version: routes.config.version,
    })
}

impl RequestHandler {
    /// Returns whether the active configuration leads the request to other services only, or nowhere.
    pub(super) fn is_moved(&mut self) -> bool {
        let Some(routes) = self.state.routes.load_full() else { return false };
        let service = &self.route.entry.document.name;
        let route = routes.table.find(&self.host, self.outbound.path());
        let is_moved = !route.is_some_and(|route| route.leads_to(service));
        if !is_moved {
            self.route.version = routes.config.version;
        }
        is_moved
    }

    /// Moves the request, which has had no attempt, to a service to which its route leads now.
    pub(super) fn follow_route(&mut self) -> Result<()> {
        let route = find_route(&self.state, &self.host, self.outbound.path());
        let route = route.map_err(|reason| self.make_refusal(reason, DEFAULT_RETRY_AFTER))?;
        let (from, to) = (&self.route.entry.document.name, &route.entry.document.name);
        let text = format!("from {from} to {to} by version {:08x}", route.version);
        self.log_decision(DecisionKind::Moved, &text);
        let is_stricter = self.outbound.is_idempotent && !route.spec.is_idempotent;
        self.max_attempts = self.max_attempts.min(route.spec.max_attempts);
        self.is_single_attempt |= self.max_attempts < 2 || is_stricter;
        self.route = route;
        Ok(())
    }
}
