//! Validation and classification of requests before they are processed.

use crate::dispatcher_handle::ServiceEntry;
use crate::shared_state::NodeState;
use crate::traffic::headers;
use crate::traffic::response::Refusal;
use http::request::Parts;
use http::{HeaderMap, Uri, header};
use sniperelay_core::claim::ClaimKey;
use sniperelay_core::ids::RankId;
use sniperelay_core::reason::RefusalReason;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A valid request.
#[derive(Debug)]
pub struct InboundRequest {
    /// The requested service.
    pub entry: Arc<ServiceEntry>,
    /// Rank by which it is scheduled.
    pub rank: RankId,
    /// Whether executing the request twice is harmless.
    pub is_idempotent: bool,
    /// Idempotency key, if the request is not idempotent.
    pub key: Option<ClaimKey>,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// Latest time at which the response can begin and still be on time.
    pub on_time_deadline: Instant,
    /// Time at which the request is cancelled if no response has begun.
    pub final_deadline: Instant,
    /// Whether the caller marked the request as a retry, so that it must not be retried again.
    pub is_retried_by_caller: bool,
    /// Whether another entry VM forwarded the request.
    pub is_forwarded: bool,
}

/// Checks the head of a request.
///
/// # Errors
///
/// Returns a refusal with the outcome `not-run` if the request is invalid, or if its service or rank is
/// unknown.
pub fn check_request(
    node_state: &NodeState,
    parts: &Parts,
    arrived_at: Instant,
) -> Result<InboundRequest, Refusal> {
    let bad_request = || Refusal::not_run(RefusalReason::BadRequest);
    if headers::uses_unsupported_feature(&parts.method, parts.version, &parts.headers) {
        return Err(bad_request());
    }
    let entry = find_service(node_state, parts)?;
    let class = entry.document.classify(parts.method.as_str(), parts.uri.path());
    let class = class.ok_or_else(|| Refusal::not_run(RefusalReason::UnknownRank))?;
    let rank = effective_rank(&entry, class, &parts.headers).map_err(|_| bad_request())?;
    let remaining =
        headers::single_millis(&parts.headers, &headers::DEADLINE_MS).map_err(|_| bad_request())?;
    let policy = &entry.document.ranks[class];
    let bounded = |limit: Duration| arrived_at + remaining.map_or(limit, |remaining| remaining.min(limit));
    let key = if policy.idempotent { None } else { Some(read_key(&parts.headers)?) };
    Ok(InboundRequest {
        rank,
        is_idempotent: policy.idempotent,
        key,
        arrived_at,
        on_time_deadline: bounded(policy.latency),
        final_deadline: bounded(policy.give_up),
        is_retried_by_caller: parts.headers.contains_key(headers::RETRIED),
        is_forwarded: parts.headers.contains_key(headers::FORWARDED_BY_PEER),
        entry,
    })
}

fn find_service(node_state: &NodeState, parts: &Parts) -> Result<Arc<ServiceEntry>, Refusal> {
    let bad_request = |_| Refusal::not_run(RefusalReason::BadRequest);
    let named = headers::single_text(&parts.headers, &headers::SERVICE).map_err(bad_request)?;
    let host = headers::single_text(&parts.headers, &header::HOST).map_err(bad_request)?;
    let name = named.or_else(|| host.or(host_of(&parts.uri)).and_then(first_label));
    let found = name.and_then(|name| node_state.services.load().get(name).cloned());
    found.ok_or_else(|| Refusal::not_run(RefusalReason::UnknownService))
}

fn host_of(uri: &Uri) -> Option<&str> {
    uri.host()
}

fn first_label(host: &str) -> Option<&str> {
    host.split([':', '.']).next()
}

/// Returns the rank that the caller requests if it is less urgent than `class`, the rank from the
/// service document, and `class` otherwise.
fn effective_rank(entry: &ServiceEntry, class: RankId, fields: &HeaderMap) -> headers::Result<RankId> {
    let Some(name) = headers::single_text(fields, &headers::RANK)? else { return Ok(class) };
    let requested = entry.document.ranks.iter().position(|rank| rank.name == name);
    Ok(requested.map_or(class, |rank| rank.max(class)))
}

fn read_key(fields: &HeaderMap) -> Result<ClaimKey, Refusal> {
    let invalid = || Refusal::not_run(RefusalReason::KeyInvalid);
    let text = headers::single_text(fields, &headers::IDEMPOTENCY_KEY).map_err(|_| invalid())?;
    let text = text.ok_or_else(|| Refusal::not_run(RefusalReason::KeyMissing))?;
    text.parse().map_err(|_| invalid())
}
