//! Requests that are handled by another entry VM, because this one reaches no target.
//!
//! A request is forwarded once: an entry VM that receives a forwarded request never forwards it. Other entry VMs
//! are chosen like the homes of the request's host, without those that are known to reach no target, so that few
//! of them send to the same targets and different hosts use different ones. One that refuses to take the request
//! has not sent it on; the next one is then asked. So is one that does not state that it has taken the request: entry
//! VMs of earlier builds, which do not know forwarding, respond like that.
//!
//! Invariant: a request that is not idempotent is written to a connection of one entry VM at most. If that
//! connection is lost, it is not known whether the request has run.

use crate::attempt::{OutboundRequest, collect_body};
use crate::caller_response::CallerResponse;
use crate::shared_state::RelayState;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, header};
use hyper::body::Incoming;
use sniperelay_core::reason::RefusalReason;
use sniperelay_hosted::headers::{AccountHeader, REQUEST_ID, set_forwarding_headers};
use sniperelay_hosted::registration::EntryVmRecord;
use sniperelay_node::boot_clock;
use sniperelay_node::traffic::body::{RequestBody, full_body};
use sniperelay_node::traffic::headers::{
    ACCEPTED, ACCOUNT_MIN_VERSION, ATTEMPTS_LEFT, CALLER, FORWARDED_BY_PEER, MIN_VERSION, NOT_ACCEPTED,
    OUTCOME, REASON, strip_hop_by_hop,
};
use sniperelay_node::traffic::pool::PooledConnection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of entry VMs that are asked to take one request.
const MAX_PEERS_ASKED: usize = 4;
/// Timeout for a connection to another entry VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum idle time of a connection to another entry VM, well below the time after which its end is closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time for which an entry VM that did not take a request is not asked again.
const EXCLUSION_TIME: Duration = Duration::from_secs(1);
/// Time for which nothing is forwarded for lack of single connections after another entry VM could not connect
/// either.
const FALLBACK_PAUSE: Duration = Duration::from_millis(300);

/// Result of forwarding a request.
#[derive(Debug, Default)]
pub struct ForwardResult {
    /// Name and response of the entry VM that has responded; `None` if none has taken the request and responded.
    pub response: Option<(String, CallerResponse)>,
    /// Whether the connection to an entry VM that had taken the request was lost, so that it may have run there.
    pub may_have_run: bool,
}

/// State of the other entry VMs as recipients of forwarded requests.
#[derive(Debug, Default)]
pub struct ForwardingPeers {
    excluded_until: Mutex<HashMap<String, Instant>>,
    fallback_paused_until: Mutex<Option<Instant>>,
}

impl ForwardingPeers {
    /// Returns whether a request may be forwarded although only single connections have failed here.
    pub fn may_fall_back(&self) -> bool {
        let paused_until = *self.lock_pause();
        paused_until.is_none_or(|until| until <= Instant::now())
    }

    /// Records that another entry VM could not connect to a target either.
    pub fn pause_fallback(&self) {
        *self.lock_pause() = Some(Instant::now() + FALLBACK_PAUSE);
    }

    fn is_excluded(&self, name: &str, now: Instant) -> bool {
        self.lock_excluded().get(name).is_some_and(|until| *until > now)
    }

    fn exclude(&self, name: &str, now: Instant) {
        let mut excluded = self.lock_excluded();
        excluded.retain(|_, until| *until > now);
        excluded.insert(name.to_owned(), now + EXCLUSION_TIME);
    }

    fn lock_excluded(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.excluded_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_pause(&self) -> MutexGuard<'_, Option<Instant>> {
        self.fallback_paused_until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request to be forwarded.
#[derive(Debug)]
pub struct ForwardedRequest<'a> {
    /// The request.
    pub outbound: &'a OutboundRequest,
    /// Its host.
    pub host: &'a str,
    /// Number of attempts that are left to the request.
    pub attempts_left: u32,
    /// Version of the configuration by which it was admitted. An entry VM with an older one does not take it.
    pub version: u64,
    /// What targets get as its client account. The other entry VM resolves the API key itself.
    pub account_header: &'a AccountHeader,
}

/// Result of asking one entry VM.
enum PeerAnswer {
    Responded(Box<CallerResponse>),
    NotAccepted,
    Lost,
}

/// Forwards a request to another entry VM. If that one is lost, an idempotent request is forwarded to the next one.
pub async fn forward_request(state: &RelayState, request: &ForwardedRequest<'_>) -> ForwardResult {
    let mut result = ForwardResult::default();
    for _ in 0..MAX_PEERS_ASKED {
        let now = Instant::now();
        let is_candidate =
            |record: &EntryVmRecord| !state.peers_for_forwarding.is_excluded(&record.name, now);
        let Some(peer) = state.choose_peer(request.host, is_candidate) else {
            break;
        };
        state.metrics.process().requests_forwarded.fetch_add(1, Ordering::Relaxed);
        match ask_peer(state, request, peer.peer_address).await {
            PeerAnswer::Responded(response) => {
                result.response = Some((peer.name, *response));
                break;
            }
            PeerAnswer::NotAccepted => state.peers_for_forwarding.exclude(&peer.name, now),
            PeerAnswer::Lost => {
                result.may_have_run = true;
                state.peers_for_forwarding.exclude(&peer.name, now);
                if !request.outbound.is_idempotent {
                    break;
                }
            }
        }
    }
    result
}

async fn ask_peer(state: &RelayState, request: &ForwardedRequest<'_>, address: SocketAddr) -> PeerAnswer {
    loop {
        let connection = state.pool.take_fresh(address, MAX_IDLE_TIME);
        let Ok(Ok(mut connection)) = tokio::time::timeout(CONNECT_TIMEOUT, connection).await else {
            return PeerAnswer::NotAccepted;
        };
        let Some(encoded) = encode_request(state, request) else { return PeerAnswer::NotAccepted };
        let Some(sender) = connection.sender() else { continue };
        match sender.try_send_request(encoded).await {
            Ok(response) => return receive_response(state, request, response, connection).await,
            Err(mut error) => match error.take_message() {
                // Nothing was written: the connection had been closed.
                Some(_) if connection.is_reused => continue,
                Some(_) => return PeerAnswer::NotAccepted,
                None => return PeerAnswer::Lost,
            },
        }
    }
}

fn encode_request(state: &RelayState, request: &ForwardedRequest<'_>) -> Option<Request<RequestBody>> {
    let outbound = request.outbound;
    let remaining = outbound.deadline.saturating_sub(boot_clock::now());
    let builder = Request::builder().method(outbound.method.clone()).uri(&outbound.path_and_query);
    let mut encoded = builder.body(full_body(outbound.body.content.clone())).ok()?;
    let headers = encoded.headers_mut();
    *headers = outbound.headers.clone();
    set_forwarding_headers(headers, remaining);
    headers.insert(FORWARDED_BY_PEER, HeaderValue::from_str(&state.settings.entry.name).ok()?);
    headers.insert(ATTEMPTS_LEFT, HeaderValue::from(request.attempts_left));
    headers.insert(min_version_header(request.account_header), HeaderValue::from(request.version));
    headers.insert(CALLER, HeaderValue::from_str(&outbound.caller.to_string()).ok()?);
    Some(encoded)
}

fn min_version_header(account: &AccountHeader) -> HeaderName {
    if *account == AccountHeader::Unmanaged { MIN_VERSION } else { ACCOUNT_MIN_VERSION }
}

async fn receive_response(
    state: &RelayState,
    request: &ForwardedRequest<'_>,
    response: Response<Incoming>,
    connection: PooledConnection,
) -> PeerAnswer {
    let is_accepted = states_acceptance(request.outbound, response.headers());
    // The other entry VM has lost its targets while it handled the request, which may have run.
    let is_lost = is_refused_as_isolated(response.headers());
    let (mut parts, incoming) = response.into_parts();
    let mut memory = state.response_memory.open_share();
    let Ok(body) = collect_body(incoming, &mut memory).await else {
        return if is_accepted { PeerAnswer::Lost } else { PeerAnswer::NotAccepted };
    };
    connection.return_to_pool_for(MAX_IDLE_TIME);
    if !is_accepted {
        return PeerAnswer::NotAccepted;
    }
    if is_lost {
        return PeerAnswer::Lost;
    }
    let declared_length = take_declared_length(&request.outbound.method, &mut parts.headers);
    strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(ACCEPTED);
    PeerAnswer::Responded(Box::new(CallerResponse {
        status: parts.status,
        headers: parts.headers,
        body,
        declared_length,
        memory: Some(memory),
    }))
}

/// Returns whether a response states that the other entry VM has taken the request.
///
/// Builds without the header for it (before the registration states a protocol) state it by what only a request that was
/// taken gets: an outcome, or its ID, which the target returns. Builds that do not know forwarding respond with neither,
/// and have sent nothing to a target.
fn states_acceptance(outbound: &OutboundRequest, headers: &HeaderMap) -> bool {
    let id = outbound.headers.get(REQUEST_ID);
    let returns_id = id.is_some() && headers.get(REQUEST_ID) == id;
    !headers.contains_key(NOT_ACCEPTED)
        && (headers.contains_key(ACCEPTED) || headers.contains_key(OUTCOME) || returns_id)
}

fn is_refused_as_isolated(headers: &HeaderMap) -> bool {
    headers.get(REASON).is_some_and(|reason| reason == RefusalReason::Isolated.as_str())
}

fn take_declared_length(method: &Method, headers: &mut HeaderMap) -> Option<HeaderValue> {
    headers.remove(header::CONTENT_LENGTH).filter(|_| method == Method::HEAD)
}
