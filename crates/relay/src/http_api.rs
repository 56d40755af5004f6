//! HTTP API for everything but caller traffic: lookups, readiness checks, metrics and replication to
//! followers.

use crate::account_claims::{LOT_PATH, handle_lot_claims};
use crate::claim_transport;
use crate::content_coding::ContentCoding;
use crate::copy_offers::{OFFER_PATH, handle_offer};
use crate::forwarded_requests::handle_forwarded;
use crate::limit_claims::{CLAIM_PATH, handle_claims};
use crate::replication::{SNAPSHOT_PREFIX, hold_liveness_check};
use crate::response_cache::{EncodedBody, ReplicaRead};
use crate::shared_state::RelayState;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sniperelay_hosted::lookup::{
    CONTENT_TYPE, LOOKUP_PATH, READY_PATH, encode_lookup_response, parse_lookup_query,
};
use sniperelay_node::boot_clock;
use sniperelay_node::traffic::headers::FORWARDED_BY_PEER;
use sniperelay_platform::content_coding::DEFLATE_CODING;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;

/// Path of followers' liveness checks.
const LIVENESS_PATH: &str = "/list/sniperelay-pulse/";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Timeout for reading a request's head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

pub(crate) type ApiResponse = Response<Full<Bytes>>;

/// Who uses a listener of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiAudience {
    /// Anybody. All paths are available on all listeners.
    Public,
    /// Other entry VMs, which may also forward requests and claim shares of limits.
    EntryVms,
}

/// Serves the API on one listener.
pub async fn serve_http_api(state: Arc<RelayState>, listener: TcpListener, audience: ApiAudience) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cannot accept an API connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let state = state.clone();
                async move { Ok::<_, Infallible>(handle_api_request(&state, audience, peer, request).await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("API connection ended: {error}");
            }
        });
    }
}

async fn handle_api_request(
    state: &Arc<RelayState>,
    audience: ApiAudience,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> ApiResponse {
    if audience == ApiAudience::EntryVms {
        if request.headers().contains_key(FORWARDED_BY_PEER) {
            return handle_forwarded(state, peer, request).await;
        }
        if request.uri().path() == CLAIM_PATH && request.method() == Method::POST {
            return claims_response(handle_claims(state, request.into_body()).await);
        }
        if request.uri().path() == LOT_PATH && request.method() == Method::POST {
            let view = state.account_view();
            let is_registered = |home| state.peer_address(home).is_some();
            let (quotas, body) = (&state.account_quotas, request.into_body());
            return claims_response(handle_lot_claims(quotas, view, is_registered, body).await);
        }
    }
    let query = request.uri().query().unwrap_or("");
    if audience == ApiAudience::EntryVms && request.uri().path() == OFFER_PATH {
        return handle_offer(state, query);
    }
    match request.uri().path() {
        READY_PATH => handle_ready(state),
        LOOKUP_PATH => handle_lookup(state, query, peer.ip()),
        METRICS_PATH => handle_metrics(state),
        path => {
            let accepted = ContentCoding::negotiate(request.headers());
            handle_replication(state, path, query, accepted).await
        }
    }
}

/// Returns the response to claims of another entry VM.
fn claims_response(answer: claim_transport::Result<Bytes>) -> ApiResponse {
    match answer {
        Ok(answer) => Response::new(Full::new(answer)),
        Err(error) => {
            log::info!("claims for parts of limits refused: {error}");
            text_response(StatusCode::BAD_REQUEST, "claims refused")
        }
    }
}

/// Handles lists, watches and liveness checks of entry VMs that follow this one, in the project's own
/// dialect of the object API.
async fn handle_replication(
    state: &RelayState,
    path: &str,
    query: &str,
    accepted: ContentCoding,
) -> ApiResponse {
    let query_number = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<u64>().ok())
    };
    if path == LIVENESS_PATH {
        let received_at = boot_clock::now();
        let can_serve_followers =
            hold_liveness_check(state, query_number("hold_ms").map(Duration::from_millis)).await;
        return if can_serve_followers {
            let mut changes = state.replica.latest_changes(query_number("since").unwrap_or(0));
            let statement = state.config_proof.state_proof(received_at);
            changes.items.extend(statement.map(|statement| statement.encode()));
            json_response(&changes)
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not a reader")
        };
    }
    if let Some(prefix) = path.strip_prefix("/list/").and_then(|prefix| prefix.strip_prefix(SNAPSHOT_PREFIX))
    {
        return list_response(state, prefix, accepted);
    }
    if !state.replica.can_serve_followers() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "not a reader");
    }
    if let Some(prefix) = path.strip_prefix("/list/") {
        return list_response(state, prefix, accepted);
    }
    if let (Some(prefix), Some(since)) = (path.strip_prefix("/watch/"), query_number("since")) {
        let wait = Duration::from_millis(query_number("wait_ms").unwrap_or(0));
        state.replica.wait_for_change(prefix, since, wait).await;
        let changes = encode_read(state, prefix, ReplicaRead::Changes(since), accepted);
        return changes.unwrap_or_else(|| text_response(StatusCode::GONE, ""));
    }
    text_response(StatusCode::NOT_FOUND, "")
}

fn list_response(state: &RelayState, prefix: &str, accepted: ContentCoding) -> ApiResponse {
    let list = encode_read(state, prefix, ReplicaRead::List, accepted);
    list.unwrap_or_else(|| text_response(StatusCode::SERVICE_UNAVAILABLE, "not known yet"))
}

/// Returns the response with the contents of the replica, or `None` if it does not have them.
fn encode_read(
    state: &RelayState,
    prefix: &str,
    read: ReplicaRead,
    accepted: ContentCoding,
) -> Option<ApiResponse> {
    match state.response_cache.encode(&state.replica, prefix, read, accepted) {
        Ok(body) => body.map(encoded_response),
        Err(error) => Some(encoding_failure(&error)),
    }
}

fn encoded_response(body: EncodedBody) -> ApiResponse {
    let mut response = Response::new(Full::new(body.bytes));
    if body.coding == ContentCoding::Deflate {
        response.headers_mut().insert(header::CONTENT_ENCODING, DEFLATE_CODING);
    }
    response
}

fn encoding_failure(error: &dyn std::fmt::Display) -> ApiResponse {
    log::error!("cannot encode a response: {error}");
    text_response(StatusCode::INTERNAL_SERVER_ERROR, "")
}

fn json_response(value: &impl serde::Serialize) -> ApiResponse {
    match serde_json::to_string(value) {
        Ok(text) => text_response(StatusCode::OK, &text),
        Err(error) => encoding_failure(&error),
    }
}

fn handle_ready(state: &RelayState) -> ApiResponse {
    text_response(if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
}

fn handle_lookup(state: &RelayState, query: &str, caller: IpAddr) -> ApiResponse {
    let Some(lookup) = parse_lookup_query(query) else {
        return text_response(StatusCode::BAD_REQUEST, "the query does not contain a host");
    };
    state.metrics.process().lookups.fetch_add(1, Ordering::Relaxed);
    if state.routes.load().is_none() {
        // Without a configuration the homes are unknown; the caller must query another entry VM.
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration has been received yet");
    }
    let homes = state.homes_for_caller(&lookup.host, lookup.domain.as_deref(), caller);
    if homes.is_empty() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no entry VM is available for this host");
    }
    let mut response =
        text_response(StatusCode::OK, &encode_lookup_response(&homes, state.settings.entry.lookup_ttl));
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(CONTENT_TYPE));
    response
}

fn handle_metrics(state: &RelayState) -> ApiResponse {
    state.update_metrics();
    match state.metrics.render() {
        Ok(text) => text_response(StatusCode::OK, &text),
        Err(error) => {
            log::warn!("cannot render metrics: {error:#}");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

pub(crate) fn text_response(status: StatusCode, text: &str) -> ApiResponse {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
