//! The service that serves a request, by the active configuration, and the move to another one.
//!
//! Invariants:
//!
//! - A request is moved only before its first attempt. Its deadline, its id and its caller stay the same, and the stricter
//!   one of both routes decides whether it may be repeated.
//! - If the configuration has client accounts, a request has the account that holds its API key in the version of its route,
//!   or its route is public.

use super::{DEFAULT_RETRY_AFTER, RequestHandler, Result};
use crate::caller_response::RelayRefusal;
use crate::config_proof::KeyCheck;
use crate::decision_log::DecisionKind;
use crate::shared_state::{ActiveRoutes, RelayState};
use http::HeaderMap;
use sniperelay_core::account::{AccountId, ApiKey, ClientAccount, NO_ACCOUNT};
use sniperelay_core::ids::RankId;
use sniperelay_core::key_fence::retry_after_outdated;
use sniperelay_core::reason::RefusalReason;
use sniperelay_core::route::{RouteSpec, RouteVersion};
use sniperelay_hosted::headers::{AccountHeader, read_api_key};
use sniperelay_node::boot_clock;
use sniperelay_node::dispatcher_handle::ServiceEntry;
use std::sync::Arc;
use std::time::Duration;

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
    /// Client account whose API key the request carries; `None` without client accounts and on public routes.
    pub(super) account: Option<Arc<ClientAccount>>,
    /// What targets get as the client account.
    pub(super) account_header: AccountHeader,
}

impl RequestRoute {
    /// Returns the ID of the client account.
    pub(super) fn account_id(&self) -> AccountId {
        self.account.as_ref().map_or(NO_ACCOUNT, |account| account.id())
    }

    /// Returns whether the request has this account, with the priority that it has now.
    fn has_account(&self, account: Option<&ClientAccount>) -> bool {
        let identity = |account: &ClientAccount| (account.id(), account.priority);
        self.account.as_deref().map(identity) == account.map(identity)
    }
}

/// Finds the client account whose API key a request carries. Returns `None` if the request needs none. `check` must have
/// begun before `routes` was read.
fn find_account(
    check: KeyCheck,
    routes: &ActiveRoutes,
    spec: &RouteSpec,
    headers: &HeaderMap,
) -> std::result::Result<Option<Arc<ClientAccount>>, RefusalReason> {
    let Some(accounts) = routes.accounts.as_ref().filter(|_| !spec.is_public) else { return Ok(None) };
    let account = read_api_key(headers).and_then(|key| accounts.find(&key).cloned());
    check.judge(account.is_some())?;
    Ok(account)
}

/// Finds the route and the client account of a request in the active configuration, and chooses one of the services to
/// which the route leads.
pub(super) fn find_route(
    state: &RelayState,
    host: &str,
    path: &str,
    headers: &HeaderMap,
) -> std::result::Result<RequestRoute, RefusalReason> {
    let check = state.config_proof.begin_check(boot_clock::now());
    let routes = state.routes.load_full().ok_or(RefusalReason::NoTarget)?;
    let route = routes.table.find(host, path).ok_or(RefusalReason::UnknownRank)?;
    let account = find_account(check, &routes, route.spec(), headers)?;
    let destination = route.next_destination();
    let priority = account.as_ref().and_then(|account| account.priority);
    let entry = state.services.load().get(&destination.service).cloned().ok_or(RefusalReason::NoTarget)?;
    Ok(RequestRoute {
        entry,
        ranks: RequestRanks { on_time: destination.rank_for(priority), late: destination.late_rank },
        spec: route.spec().clone(),
        version: routes.config.version,
        account_header: match &account {
            Some(account) => AccountHeader::named(&account.name),
            None if routes.accounts.is_some() => AccountHeader::Absent,
            None => AccountHeader::Unmanaged,
        },
        account,
    })
}

/// Returns the time after which a caller may retry a request whose route or account was not found.
pub(super) fn route_retry_after(state: &RelayState, reason: RefusalReason) -> Duration {
    match reason {
        RefusalReason::ConfigurationOutdated => retry_after_outdated(state.replica.is_store_unavailable()),
        _ => DEFAULT_RETRY_AFTER,
    }
}

impl RequestHandler {
    /// Returns the refusal of a request whose API key may have been revoked since the request was admitted, immediately
    /// before it is handed to a target.
    pub(super) fn revocation_refusal(&self) -> Option<RelayRefusal> {
        let account = self.route.account.as_ref()?;
        let check = self.state.config_proof.begin_check(boot_clock::now());
        let routes = self.state.routes.load_full()?;
        let accounts = routes.accounts.as_ref()?;
        let holds_key = |key: &ApiKey| accounts.find(key).is_some_and(|holder| holder.id() == account.id());
        let is_known = routes.config.version == self.route.version
            || read_api_key(&self.outbound.headers).as_ref().is_some_and(holds_key);
        let reason = check.judge(is_known).err()?;
        Some(self.make_refusal(reason, route_retry_after(&self.state, reason)))
    }

    /// Returns whether the active configuration leads the request to other services only, or nowhere, or has another
    /// client account for it, or none.
    pub(super) fn is_moved(&mut self) -> bool {
        let check = self.state.config_proof.begin_check(boot_clock::now());
        let Some(routes) = self.state.routes.load_full() else { return false };
        let service = &self.route.entry.document.name;
        let route = routes.table.find(&self.host, self.outbound.path());
        let has_same_account = |spec: &RouteSpec| {
            find_account(check, &routes, spec, &self.outbound.headers)
                .is_ok_and(|account| self.route.has_account(account.as_deref()))
        };
        let is_moved = !route.is_some_and(|route| route.leads_to(service) && has_same_account(route.spec()));
        if !is_moved {
            self.route.version = routes.config.version;
        }
        is_moved
    }

    /// Moves the request, which has had no attempt, to a service to which its route leads now.
    pub(super) fn follow_route(&mut self) -> Result<()> {
        let route = find_route(&self.state, &self.host, self.outbound.path(), &self.outbound.headers);
        let route =
            route.map_err(|reason| self.make_refusal(reason, route_retry_after(&self.state, reason)))?;
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
