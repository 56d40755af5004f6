//! One attempt at one target.
//!
//! A response is accepted only if it is complete, carries the id of the request and, if it reports
//! success, the target's seal. Corrupted or truncated responses therefore never reach a caller, and
//! an idempotent request can still be retried at another target.

use crate::body_memory::StoredBody;
use crate::decision_log::DecisionKind;
use crate::request_head::path_of;
use crate::shared_state::RelayState;
use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sniperelay_core::dispatch::AttemptFailure;
use sniperelay_core::memory_budget::MemoryShare;
use sniperelay_core::rate_limit::LimitChange;
use sniperelay_hosted::headers::{self as platform_headers, AccountHeader, TargetReport};
use sniperelay_node::boot_clock::{self, BootTime};
use sniperelay_node::dispatcher_handle::AttemptSlot;
use sniperelay_node::traffic::body::{RequestBody, full_body};
use sniperelay_node::traffic::connection_reuse::{NON_IDEMPOTENT_MAX_IDLE, keep_alive_time};
use sniperelay_node::traffic::headers::{is_final_status, strip_hop_by_hop};
use sniperelay_node::traffic::pool::{PooledConnection, RequestHash};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an idle connection is kept open if the target does not state a keep-alive time:
/// half of the shortest time after which targets are known to close idle connections.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Cause of a failed attempt whose response belongs to another request, for log lines.
const FOREIGN_ANSWER: &str = "answer names another request";

/// Parts of a request that are the same in all of its attempts.
#[derive(Debug)]
pub struct OutboundRequest {
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub path_and_query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: StoredBody,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Time by which the complete response must have been received. [`run_attempt`] checks it only
    /// immediately before it writes the request, and sends the remaining time to the target. An attempt
    /// that takes longer is ended by the timeout of the request handler.
    pub deadline: BootTime,
}

impl OutboundRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        path_of(&self.path_and_query)
    }

    /// Returns a hash of the request's id, if it has one.
    fn request_hash(&self) -> Option<RequestHash> {
        self.headers.get(platform_headers::REQUEST_ID).map(|id| xxh3_64(id.as_bytes()))
    }
}

/// A complete response of a target.
#[derive(Debug)]
pub struct TargetResponse {
    /// Response status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Content length stated in a response to `HEAD`.
    pub declared_length: Option<header::HeaderValue>,
    /// Memory of the body.
    pub memory: MemoryShare,
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The target sent a complete response.
    Completed {
        /// The response.
        response: Box<TargetResponse>,
        /// Load and slowdown that the target reports.
        report: Option<TargetReport>,
        /// The slot that the attempt occupies.
        slot: AttemptSlot,
    },
    /// The attempt failed.
    Failed {
        /// Kind of the failure.
        failure: AttemptFailure,
        /// Description of the failure, for log lines.
        cause: &'static str,
        /// Load and slowdown that a target reports when it refuses the request.
        report: Option<TargetReport>,
        /// Whether the target responded with status 421, because another instance has taken over the
        /// address. The target is then marked as leaving.
        is_leaving: bool,
        /// The slot that the attempt occupies.
        slot: AttemptSlot,
    },
    /// The request was not sent, because too little time was left.
    NotSent,
}

/// Runs an attempt. The target gets `account` as the client account of the request. The request is written to a connection at most once; `is_written` is set before that.
pub async fn run_attempt(
    state: Arc<RelayState>,
    outbound: Arc<OutboundRequest>,
    account: AccountHeader,
    slot: AttemptSlot,
    is_written: Arc<AtomicBool>,
) -> AttemptResult {
    let Some(instance) = slot.instance() else {
        return failed_attempt(AttemptFailure::Connect, "target is gone", slot);
    };
    let request_hash = outbound.request_hash();
    let max_idle = match request_hash {
        // Only a new connection has no earlier response whose copy could be taken for that to this request.
        None => Duration::ZERO,
        Some(_) if outbound.is_idempotent => Duration::MAX,
        Some(_) => NON_IDEMPOTENT_MAX_IDLE,
    };
    loop {
        state.links.record_send();
        let Ok(mut connection) = state.pool.take_for(slot.address(), max_idle, request_hash).await else {
            return failed_attempt(AttemptFailure::Connect, "no connection", slot);
        };
        let Some(sender) = connection.sender() else { continue };
        if sender.ready().await.is_err() {
            if connection.is_reused {
                continue;
            }
            return failed_attempt(AttemptFailure::Connect, "connection closed at once", slot);
        }
        // The deadline is checked immediately before the write, so that a process that was suspended
        // does not send an overdue request.
        let remaining = outbound.deadline.saturating_sub(boot_clock::now());
        if remaining < MIN_REMAINING_TIME {
            return AttemptResult::NotSent;
        }
        let Some(request) = make_request(&outbound, remaining, &instance, account.clone()) else {
            return failed_attempt(AttemptFailure::Connect, "request cannot be written", slot);
        };
        count_limited_send(&state, &slot);
        is_written.store(true, Ordering::Relaxed);
        match sender.try_send_request(request).await {
            Ok(response) => {
                return receive_response(&state, &outbound, response, connection, slot).await;
            }
            Err(mut error) => match error.take_message() {
                // The connection was already closed, and no byte of the request was written to it.
                Some(_) if connection.is_reused => continue,
                Some(_) => {
                    return failed_attempt(
                        AttemptFailure::Connect,
                        "connection closed before the write",
                        slot,
                    );
                }
                None => return failed_attempt(AttemptFailure::ConnectionLost, "connection lost", slot),
            },
        }
    }
}

fn count_limited_send(state: &RelayState, slot: &AttemptSlot) {
    if slot.limit().is_some() {
        state.metrics.process().limited_sends.fetch_add(1, Ordering::Relaxed);
    }
}

/// Minimum time until the deadline with which a request is still sent.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(2);

fn failed_attempt(failure: AttemptFailure, cause: &'static str, slot: AttemptSlot) -> AttemptResult {
    AttemptResult::Failed { failure, cause, report: None, is_leaving: false, slot }
}

fn make_request(
    outbound: &OutboundRequest,
    remaining: Duration,
    instance: &str,
    account: AccountHeader,
) -> Option<Request<RequestBody>> {
    let body = full_body(outbound.body.content.clone());
    let builder = Request::builder().method(outbound.method.clone()).uri(&outbound.path_and_query);
    let mut request = builder.body(body).ok()?;
    *request.headers_mut() = outbound.headers.clone();
    platform_headers::set_attempt_headers(request.headers_mut(), remaining, instance, account);
    Some(request)
}

async fn receive_response(
    state: &RelayState,
    outbound: &OutboundRequest,
    response: Response<Incoming>,
    mut connection: PooledConnection,
    slot: AttemptSlot,
) -> AttemptResult {
    state.links.record_response();
    let report = platform_headers::read_report(response.headers());
    let is_leaving = platform_headers::is_misdirected(&response);
    let keep_alive = keep_alive_time(response.headers()).unwrap_or(DEFAULT_KEEP_ALIVE);
    let is_not_executed = is_final_status(response.status()) && platform_headers::is_not_executed(&response);
    let is_own = is_own_response(outbound, &response, connection.is_reused);
    let defect =
        if is_own { find_defect(&response).filter(|_| !is_not_executed) } else { Some(FOREIGN_ANSWER) };
    if is_own {
        record_target_wishes(state, &response, &slot);
    }
    if let Some(cause) = defect {
        return failed_attempt(AttemptFailure::ConnectionLost, cause, slot);
    }
    let (mut parts, incoming) = response.into_parts();
    let mut memory = state.response_memory.open_share();
    let body = match collect_body(incoming, &mut memory).await {
        Ok(body) => body,
        Err(cause) => {
            let failure =
                if is_not_executed { AttemptFailure::Refused } else { AttemptFailure::ConnectionLost };
            return failed_attempt(failure, cause, slot);
        }
    };
    match outbound.request_hash() {
        Some(hash) if is_not_executed => connection.record_refusal(hash),
        Some(_) => {}
        None => connection.forbid_reuse(),
    }
    connection.return_to_pool_for(keep_alive);
    if is_not_executed {
        return AttemptResult::Failed {
            failure: AttemptFailure::Refused,
            cause: "target refused",
            report,
            is_leaving,
            slot,
        };
    }
    let declared_length =
        parts.headers.remove(header::CONTENT_LENGTH).filter(|_| outbound.method == Method::HEAD);
    strip_hop_by_hop(&mut parts.headers);
    let response =
        TargetResponse { status: parts.status, headers: parts.headers, body, declared_length, memory };
    AttemptResult::Completed { response: Box::new(response), report, slot }
}

/// Records what a target asks for with its response: no new requests at all, because it is leaving, or none
/// for a while.
fn record_target_wishes(state: &RelayState, response: &Response<Incoming>, slot: &AttemptSlot) {
    let instance = slot.instance();
    if let Some(instance) = instance.as_ref().filter(|_| platform_headers::is_leaving(response.headers())) {
        state.record_leaving(instance);
    }
    if let Some(pause) = platform_headers::read_pause(response) {
        state.metrics.process().targets_held_off.fetch_add(1, Ordering::Relaxed);
        let text = instance.as_deref().unwrap_or("-");
        log::info!(target = text; "target {} held off for {pause:?}, as it asked", slot.address());
        slot.hold_off(pause);
    }
    record_limit(state, response, slot);
}

/// Records the limit that a target states. A value that cannot be read changes nothing.
fn record_limit(state: &RelayState, response: &Response<Incoming>, slot: &AttemptSlot) {
    let change = match platform_headers::read_rate_limit(response.headers()) {
        Ok(per_second) => slot.record_limit(per_second),
        Err(error) => {
            log::info!("limit of target {} ignored: {error}", slot.address());
            return;
        }
    };
    log_limit_change(state, &slot.instance().unwrap_or_default(), slot.address(), change);
}

/// Logs and counts a change of the limit that a target states.
pub(crate) fn log_limit_change(state: &RelayState, instance: &str, address: SocketAddr, change: LimitChange) {
    let text = match change {
        LimitChange::Unchanged => return,
        LimitChange::Stated(per_second) => {
            state.metrics.process().limits_stated.fetch_add(1, Ordering::Relaxed);
            format!("a limit of {per_second} requests per second")
        }
        LimitChange::Ended => "no limit any more".to_owned(),
    };
    // A target may state another limit with each response.
    if let Some(suppressed_lines) =
        state.decisions.admit(DecisionKind::LimitChanged, "targets", Instant::now())
    {
        log::info!(target = instance, left_out = suppressed_lines; "target {address} states {text}");
    }
}

/// Receives a complete body. Returns the cause of the failure, for log lines, if the body breaks off or
/// does not fit into its share of the memory for responses.
pub(crate) async fn collect_body(
    mut incoming: Incoming,
    memory: &mut MemoryShare,
) -> std::result::Result<Bytes, &'static str> {
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| "answer broke off")?;
        let Some(data) = frame.data_ref() else { continue };
        if !memory.try_grow(data.len()) {
            return Err("answer has no end or does not fit into memory");
        }
        body.extend_from_slice(data);
    }
    Ok(body.freeze())
}

/// Returns whether a response belongs to this request and is no late copy of the response to another one.
///
/// It must return the ID of the request. A refusal may lack the ID; it is then accepted on a new
/// connection only, where no other response can arrive. So is any response to a request without an ID.
fn is_own_response(outbound: &OutboundRequest, response: &Response<Incoming>, is_reused: bool) -> bool {
    let expected_id = outbound.headers.get(platform_headers::REQUEST_ID);
    match response.headers().get(platform_headers::REQUEST_ID) {
        None if platform_headers::is_not_executed(response) => !is_reused,
        returned_id => returned_id == expected_id && (expected_id.is_some() || !is_reused),
    }
}

/// Returns why a response to this request cannot be accepted as complete.
fn find_defect(response: &Response<Incoming>) -> Option<&'static str> {
    let headers = response.headers();
    if !is_final_status(response.status()) {
        return Some("answer has no valid status");
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Some("answer is encoded");
    }
    (response.status().is_success() && !platform_headers::is_from_target(headers))
        .then_some("answer bears no seal")
}
