//! Requests that another entry VM has forwarded to this one.
//!
//! They are handled like those of callers, with what is left of their deadline and their attempts, but are never
//! forwarded again. A request that is not taken is marked as such in the response: nothing was sent to a target.

use crate::body_memory::BodyMemory;
use crate::caller_response::CallerResponse;
use crate::http_api::{ApiResponse, text_response};
use crate::request_handler::{RequestOrigin, handle_request};
use crate::request_head::{BodyFraming, RequestHead};
use crate::shared_state::{ConnectionGuard, RelayState};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use sniperelay_core::reason::RefusalReason;
use sniperelay_node::lifecycle::LifecyclePhase;
use sniperelay_node::traffic::headers::{
    ACCEPTED, ACCOUNT_MIN_VERSION, ATTEMPTS_LEFT, CALLER, FORWARDED_BY_PEER, MIN_VERSION, NOT_ACCEPTED,
    REASON, strip_hop_by_hop,
};
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Maximum number of forwarded requests in flight. More of them would displace the requests of this entry VM's
/// own callers; the forwarding entry VM then asks another one.
const MAX_FORWARDED_REQUESTS: usize = 400;

/// Handles a forwarded request. It is cancelled when the connection to the forwarding entry VM ends.
pub async fn handle_forwarded(
    state: &Arc<RelayState>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> ApiResponse {
    let _guard = ConnectionGuard::open(state);
    let _forwarded = ForwardedGuard::open(state);
    if let Some(reason) = refusal_reason(state, request.headers()) {
        log::debug!("forwarded request not taken: {reason}");
        return not_accepted(reason);
    }
    let (mut parts, body) = request.into_parts();
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let framing = length.map_or(BodyFraming::Chunked, BodyFraming::Length);
    let Ok(mut memory) = BodyMemory::open(&state.request_memory, framing) else {
        return not_accepted("no memory");
    };
    let body = match Limited::new(body, state.settings.limits.body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::info!("forwarded request not taken: its body cannot be read: {error}");
            return not_accepted("body");
        }
    };
    if memory.cover(body.len()).is_err() {
        return not_accepted("no memory");
    }
    let caller = take_header::<IpAddr>(&mut parts.headers, CALLER).unwrap_or(peer.ip());
    let attempts_left = take_header::<u32>(&mut parts.headers, ATTEMPTS_LEFT).unwrap_or(1);
    let method = parts.method.clone();
    let Some(head) = make_head(parts, body.len()) else { return not_accepted("malformed") };
    state.metrics.process().forwarded_requests_taken.fetch_add(1, Ordering::Relaxed);
    let origin = RequestOrigin::Peer { attempts_left };
    let body = memory.store(body);
    encode_response(&method, handle_request(state.clone(), caller, head, body, origin).await)
}

fn refusal_reason(state: &RelayState, headers: &HeaderMap) -> Option<&'static str> {
    let version = state.routes.load().as_ref().map_or(0, |routes| routes.config.version);
    let stated = headers.get(ACCOUNT_MIN_VERSION).or_else(|| headers.get(MIN_VERSION));
    let min_version = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if state.links.is_isolated() {
        return Some("isolated");
    }
    if state.lifecycle.phase() >= LifecyclePhase::Refusing {
        return Some("stopping");
    }
    if min_version.is_none_or(|min_version| version < min_version) {
        return Some("older configuration");
    }
    (state.forwarded_in_flight.load(Ordering::Relaxed) > MAX_FORWARDED_REQUESTS).then_some("busy")
}

fn not_accepted(reason: &'static str) -> ApiResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
    response.headers_mut().insert(NOT_ACCEPTED, HeaderValue::from_static(reason));
    response
}

fn make_head(mut parts: http::request::Parts, body_length: usize) -> Option<RequestHead> {
    let host = parts.headers.get(header::HOST)?.to_str().ok()?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host).to_ascii_lowercase();
    let path_and_query = parts.uri.path_and_query()?.as_str().to_owned();
    strip_hop_by_hop(&mut parts.headers);
    for name in [FORWARDED_BY_PEER, MIN_VERSION, ACCOUNT_MIN_VERSION, header::CONTENT_LENGTH] {
        parts.headers.remove(name);
    }
    Some(RequestHead {
        method: parts.method,
        path_and_query,
        host,
        headers: parts.headers,
        framing: BodyFraming::Length(body_length),
        wants_close: false,
        expects_continue: false,
    })
}

fn take_header<T: FromStr>(headers: &mut HeaderMap, name: HeaderName) -> Option<T> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

fn encode_response(method: &Method, response: CallerResponse) -> ApiResponse {
    let reason = response.headers.get(REASON).map(HeaderValue::as_bytes);
    let is_not_taken = response.status == StatusCode::SERVICE_UNAVAILABLE
        && [RefusalReason::Isolated, RefusalReason::Stopping, RefusalReason::ConfigurationOutdated]
            .iter()
            .any(|not_taken| reason == Some(not_taken.as_str().as_bytes()));
    let mut encoded =
        Response::new(Full::new(if *method == Method::HEAD { Bytes::new() } else { response.body }));
    *encoded.status_mut() = response.status;
    *encoded.headers_mut() = response.headers;
    if let Some(length) = response.declared_length {
        encoded.headers_mut().insert(header::CONTENT_LENGTH, length);
    }
    let (name, value) =
        if is_not_taken { (NOT_ACCEPTED, "isolated, stopping or outdated") } else { (ACCEPTED, "1") };
    encoded.headers_mut().insert(name, HeaderValue::from_static(value));
    encoded
}

/// Counts a forwarded request in flight until it is dropped.
struct ForwardedGuard(Arc<RelayState>);

impl ForwardedGuard {
    fn open(state: &Arc<RelayState>) -> Self {
        state.forwarded_in_flight.fetch_add(1, Ordering::Relaxed);
        Self(state.clone())
    }
}

impl Drop for ForwardedGuard {
    fn drop(&mut self) {
        self.0.forwarded_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
