//! One attempt at one target.
//!
//! An answer is taken only whole: it must name the request, bear the target's seal and be complete,
//! so that nothing spoiled or broken off reaches a caller, and an idempotent request can still be
//! tried elsewhere.

use crate::shared_state::RelayState;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use sniperelay_core::dispatch::AttemptFailure;
use sniperelay_hosted::headers::{self as wire, TargetReport};
use sniperelay_node::boot_clock::{self, BootTime};
use sniperelay_node::gate::AttemptSlot;
use sniperelay_node::traffic::body::{RequestBody, full_body};
use sniperelay_node::traffic::headers::strip_hop_by_hop;
use sniperelay_node::traffic::pool::PooledConnection;
use std::sync::Arc;
use std::time::Duration;

/// Largest answer body; a larger one counts as spoiled.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Time for which a connection is kept when the target states none: half of the shortest time
/// after which targets are known to close.
const DEFAULT_IDLE: Duration = Duration::from_secs(5);
/// Part of the time stated by the target for which a connection is kept.
const IDLE_SHARE: f64 = 0.6;
/// Time since its last use after which a connection carries no request that must not be lost: the
/// target may have forgotten it.
const CLAIM_MAX_IDLE: Duration = Duration::from_secs(1);

/// What every attempt of one request sends.
#[derive(Debug)]
pub struct OutboundRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Time by which the answer must have begun.
    pub end: BootTime,
}

/// A target's whole answer.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers without those that concern only one connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Length that the answer stated.
    pub stated_length: Option<header::HeaderValue>,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The target answered.
    Answered {
        /// The answer.
        answer: Box<TargetAnswer>,
        /// Load and speed that it reports.
        report: Option<TargetReport>,
        /// The slot.
        slot: AttemptSlot,
    },
    /// It failed.
    Failed {
        /// How.
        failure: AttemptFailure,
        /// What was seen, for logs.
        cause: &'static str,
        /// Load and speed that a refusing target reports.
        report: Option<TargetReport>,
        /// Whether another instance has the address, or the target is leaving.
        is_gone: bool,
        /// The slot.
        slot: AttemptSlot,
    },
    /// Nothing was sent: time ran out.
    NotSent,
}

/// Carries out an attempt. The request is handed to a connection at most once.
pub async fn run_attempt(
    state: Arc<RelayState>,
    outbound: Arc<OutboundRequest>,
    slot: AttemptSlot,
) -> AttemptEnd {
    let Some(instance) = slot.instance() else {
        return failed(AttemptFailure::Connect, "target is gone", slot);
    };
    let max_idle = if outbound.is_idempotent { Duration::MAX } else { CLAIM_MAX_IDLE };
    loop {
        let Ok(mut connection) = state.pool.take_fresh(slot.address(), max_idle).await else {
            return failed(AttemptFailure::Connect, "no connection", slot);
        };
        let Some(sender) = connection.sender() else { continue };
        if sender.ready().await.is_err() {
            if connection.is_reused {
                continue;
            }
            return failed(AttemptFailure::Connect, "connection closed at once", slot);
        }
        // Last thing before the write: a process that was suspended must not send what is overdue.
        let remaining = outbound.end.saturating_sub(boot_clock::now());
        if remaining < MIN_REMAINING {
            return AttemptEnd::NotSent;
        }
        let Some(request) = make_request(&outbound, remaining, &instance) else {
            return failed(AttemptFailure::Connect, "request cannot be written", slot);
        };
        match sender.try_send_request(request).await {
            Ok(response) => return take_answer(&outbound, response, connection, slot).await,
            Err(mut error) => match error.take_message() {
                // The connection had died before; no byte of the request was handed to it.
                Some(_) if connection.is_reused => continue,
                Some(_) => {
                    return failed(AttemptFailure::Connect, "connection closed before the write", slot);
                }
                None => return failed(AttemptFailure::ConnectionLost, "connection lost", slot),
            },
        }
    }
}

/// Shortest remaining time with which a request is still sent.
const MIN_REMAINING: Duration = Duration::from_millis(2);

fn failed(failure: AttemptFailure, cause: &'static str, slot: AttemptSlot) -> AttemptEnd {
    AttemptEnd::Failed { failure, cause, report: None, is_gone: false, slot }
}

fn make_request(
    outbound: &OutboundRequest,
    remaining: Duration,
    instance: &str,
) -> Option<Request<RequestBody>> {
    let body = full_body(outbound.body.clone());
    let builder = Request::builder().method(outbound.method.clone()).uri(&outbound.target);
    let mut request = builder.body(body).ok()?;
    *request.headers_mut() = outbound.headers.clone();
    wire::set_attempt_headers(request.headers_mut(), remaining, instance);
    Some(request)
}

async fn take_answer(
    outbound: &OutboundRequest,
    response: Response<Incoming>,
    connection: PooledConnection,
    slot: AttemptSlot,
) -> AttemptEnd {
    let report = wire::read_report(response.headers());
    let is_gone = wire::is_misdirected(&response);
    let lifetime = idle_lifetime(response.headers());
    let says_not_run = wire::is_not_executed(&response);
    let spoiled = find_spoiled(outbound, &response).filter(|_| !says_not_run);
    if let Some(cause) = spoiled {
        return failed(AttemptFailure::ConnectionLost, cause, slot);
    }
    let (mut parts, incoming) = response.into_parts();
    let Ok(collected) = Limited::new(incoming, MAX_ANSWER_BYTES).collect().await else {
        let failure = if says_not_run { AttemptFailure::Refused } else { AttemptFailure::ConnectionLost };
        return failed(failure, "answer broke off", slot);
    };
    connection.return_to_pool_for(lifetime);
    if says_not_run {
        return AttemptEnd::Failed {
            failure: AttemptFailure::Refused,
            cause: "target refused",
            report,
            is_gone,
            slot,
        };
    }
    let stated_length =
        parts.headers.remove(header::CONTENT_LENGTH).filter(|_| outbound.method == Method::HEAD);
    strip_hop_by_hop(&mut parts.headers);
    let answer = TargetAnswer {
        status: parts.status,
        headers: parts.headers,
        body: collected.to_bytes(),
        stated_length,
    };
    AttemptEnd::Answered { answer: Box::new(answer), report, slot }
}

/// Why an answer cannot be this request's own.
fn find_spoiled(outbound: &OutboundRequest, response: &Response<Incoming>) -> Option<&'static str> {
    let headers = response.headers();
    if headers.get(wire::REQUEST_ID) != outbound.headers.get(wire::REQUEST_ID) {
        return Some("answer names another request");
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Some("answer is encoded");
    }
    (response.status().is_success() && !wire::is_from_target(headers)).then_some("answer bears no seal")
}

fn idle_lifetime(headers: &HeaderMap) -> Duration {
    let stated = headers.get(HeaderName::from_static("keep-alive")).and_then(|value| value.to_str().ok());
    let timeout = stated.and_then(|text| {
        let parts = text.split(',').filter_map(|part| part.trim().split_once('='));
        parts
            .filter(|(name, _)| name.eq_ignore_ascii_case("timeout"))
            .find_map(|(_, value)| value.parse::<u32>().ok())
    });
    timeout.map_or(DEFAULT_IDLE, |seconds| Duration::from_secs_f64(f64::from(seconds) * IDLE_SHARE))
}
