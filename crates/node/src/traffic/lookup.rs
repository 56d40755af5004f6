//! Lookups. A lookup response lists the entry VMs that a caller should use for a service, a ticket
//! for idempotency keys for each of them, and the time for which the response is valid.

use crate::lifecycle::LifecyclePhase;
use crate::shared_state::{MemberSnapshot, NodeState};
use crate::traffic::body::ResponseBody;
use crate::traffic::response::{Refusal, json_response, refusal_response};
use crate::wall_clock;
use http::{Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use sniperelay_core::home::{HomeCandidate, order_for_caller};
use sniperelay_core::ids::IncarnationId;
use sniperelay_core::reason::RefusalReason;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// URL path of lookups.
pub const LOOKUP_PATH: &str = "/.sniperelay/lookup";
/// Maximum number of entry VMs listed in addition to the homes of the service.
const MAX_SPARES: usize = 2;

/// One entry VM in a lookup response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAddress {
    /// Address for callers.
    pub address: SocketAddr,
    /// Ticket: the prefix of idempotency keys for this entry VM.
    pub ticket: String,
    /// Failure domain of the entry VM.
    pub domain: String,
}

/// Response to a lookup.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupResponse {
    /// Name of the service.
    pub service: String,
    /// Entry VMs in order of preference.
    pub addresses: Vec<LookupAddress>,
    /// Time for which the response may be cached, in milliseconds.
    pub keep_ms: u64,
}

/// Handles `GET /.sniperelay/lookup?service=NAME[&domain=NAME]`, where `domain` is the failure domain
/// of the caller.
pub fn handle_lookup(node_state: &NodeState, caller: SocketAddr, uri: &Uri) -> Response<ResponseBody> {
    node_state.metrics.process().lookups.fetch_add(1, Ordering::Relaxed);
    let query = uri.query().unwrap_or("");
    let Some(service) = query_value(query, "service") else {
        return refusal_response(&Refusal::not_run(RefusalReason::BadRequest));
    };
    if !node_state.services.load().contains_key(service) {
        return refusal_response(&Refusal::not_run(RefusalReason::UnknownService));
    }
    let members = node_state.members.load();
    let ordered = order_members(node_state, &members, service, caller, query_value(query, "domain"));
    let now_millis = wall_clock::unix_millis();
    let records = ordered.iter().filter_map(|incarnation| members.members.get(incarnation));
    let addresses = records.map(|record| LookupAddress {
        address: record.caller_address,
        ticket: node_state.ticket_for(record, now_millis).to_string(),
        domain: record.domain.clone(),
    });
    let response = LookupResponse {
        service: service.to_owned(),
        addresses: addresses.collect(),
        keep_ms: node_state.settings.entry.lookup_ttl.as_millis() as u64,
    };
    json_response(StatusCode::OK, &response)
}

fn order_members(
    node_state: &NodeState,
    members: &MemberSnapshot,
    service: &str,
    caller: SocketAddr,
    domain: Option<&str>,
) -> Vec<IncarnationId> {
    let homes = members.homes.get(service).cloned().unwrap_or_default();
    let is_spare = |candidate: &&HomeCandidate| !homes.contains(candidate);
    let spares: Vec<HomeCandidate> = members.candidates.iter().filter(is_spare).cloned().collect();
    let caller_text = caller.to_string();
    let mut ordered = order_for_caller(homes, &caller_text, domain);
    ordered.extend(order_for_caller(spares, &caller_text, domain).into_iter().take(MAX_SPARES));
    let is_last_resort = !members.is_connected || node_state.lifecycle.phase() != LifecyclePhase::Serving;
    let mut incarnations: Vec<IncarnationId> = ordered.iter().map(|home| home.incarnation).collect();
    if is_last_resort {
        // The local view may be stale or this entry VM may be about to stop, so it is listed last.
        incarnations.sort_by_key(|incarnation| *incarnation == node_state.incarnation);
    }
    incarnations
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}
