//! Processing of one request up to its response.
//!
//! A request that times out is refused immediately. The refusal states the outcome `not-run` only if no
//! attempt was handed to a target connection, or if every target that received the request reported
//! that it refused the request. Otherwise it states the outcome `unknown`.

use crate::dispatcher_handle::{AttemptSlot, DispatchSignal, RequestGuard, ServiceEntry};
use crate::shared_state::{ClaimedKey, NodeState, TrafficEvent};
use crate::traffic::attempt::{AttemptDeadline, AttemptResult, run_attempt};
use crate::traffic::body::{
    InboundBody, ReadFailure, RequestBody, ResponseBody, full_body, read_body, stream_body,
};
use crate::traffic::claim_check::{KeyAction, claim_key};
use crate::traffic::headers;
use crate::traffic::inbound_request::{InboundRequest, check_request};
use crate::traffic::pool::PooledConnection;
use crate::traffic::response::{Refusal, refusal_response};
use crate::traffic::response_body::{AttemptResources, BodyLimits, TargetBody, forward_body};
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, Aborted, BoxFuture, FutureExt};
use futures_util::stream::FuturesUnordered;
use http::request::Parts;
use http::{HeaderValue, Request, Response, header};
use hyper::body::{Body, Incoming};
use sniperelay_core::account::NO_ACCOUNT;
use sniperelay_core::dispatch::{AttemptFailure, FailureDecision, ResponseDecision};
use sniperelay_core::execution::ExecutionRecord;
use sniperelay_core::ids::TargetKey;
use sniperelay_core::reason::{RefusalReason, RetryReason};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

type Result<T> = std::result::Result<T, Refusal>;

/// Time after which a caller may retry when this process is stopping: at once, at another entry VM.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Processes one request of a caller and returns the response.
pub async fn handle_request(
    node_state: Arc<NodeState>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_at = Instant::now();
    let (parts, incoming) = request.into_parts();
    let result = match check_request(&node_state, &parts, arrived_at) {
        Err(refusal) => {
            node_state.metrics.rank("-", "-").count_refusal(refusal.reason);
            return refusal_response(&refusal);
        }
        Ok(inbound) => handle_checked_request(&node_state, caller, parts, incoming, inbound).await,
    };
    result.unwrap_or_else(|refusal| refusal_response(&refusal))
}

async fn handle_checked_request(
    node_state: &Arc<NodeState>,
    caller: IpAddr,
    parts: Parts,
    incoming: Incoming,
    inbound: InboundRequest,
) -> Result<Response<ResponseBody>> {
    let counters = inbound.entry.counters[inbound.rank].clone();
    let limits = &node_state.settings.limits;
    let body = read_body(incoming, limits.body_bytes, limits.caller_timeout).await;
    let result = match body.map_err(read_failure_refusal) {
        Ok(body) => dispatch_request(node_state, caller, parts, body, inbound).await,
        Err(refusal) => Err(refusal),
    };
    result.inspect_err(|refusal| counters.count_refusal(refusal.reason))
}

fn read_failure_refusal(failure: ReadFailure) -> Refusal {
    Refusal::not_run(match failure {
        ReadFailure::TooLarge => RefusalReason::BodyTooLarge,
        ReadFailure::TimedOut => RefusalReason::SlowCaller,
        ReadFailure::Incomplete => RefusalReason::CallerGone,
    })
}

async fn dispatch_request(
    node_state: &Arc<NodeState>,
    caller: IpAddr,
    mut parts: Parts,
    body: InboundBody,
    inbound: InboundRequest,
) -> Result<Response<ResponseBody>> {
    let action =
        inbound.key.as_ref().map(|key| claim_key(node_state, key, inbound.is_forwarded)).transpose()?;
    headers::prepare_request_headers(&mut parts.headers, caller);
    let outbound = OutboundRequest { node_state: node_state.clone(), parts, body: Some(body) };
    match action {
        None => RequestHandler::new(outbound, inbound, None).run().await,
        Some(KeyAction::Forward(peer)) => forward_to_peer(outbound, peer, &inbound).await,
        Some(KeyAction::Run(key)) => {
            // Runs in a separate task, which continues after the caller disconnects, so that the
            // outcome of the key becomes known.
            let handler = RequestHandler::new(outbound, inbound, Some(Arc::new(key))).run();
            let joined = tokio::spawn(handler).await;
            joined.unwrap_or_else(|_| Err(Refusal::unknown(RefusalReason::Stopping)))
        }
    }
}

/// Forwards a request to the entry VM that its key belongs to. If this fails, the outcome is unknown,
/// because that entry VM may have sent a request with the same key to a target earlier.
async fn forward_to_peer(
    mut outbound: OutboundRequest,
    peer: SocketAddr,
    inbound: &InboundRequest,
) -> Result<Response<ResponseBody>> {
    let key_elsewhere = || Refusal::unknown(RefusalReason::KeyElsewhere);
    let service = HeaderValue::from_str(&inbound.entry.document.name).map_err(|_| key_elsewhere())?;
    outbound.parts.headers.insert(headers::SERVICE, service);
    outbound.parts.headers.insert(headers::FORWARDED_BY_PEER, HeaderValue::from_static("1"));
    let request = outbound.next_request(None).ok_or_else(key_elsewhere)?;
    let pool = outbound.node_state.pool.clone();
    let deadline = AttemptDeadline::at(inbound.final_deadline);
    let attempt = run_attempt(pool, peer, request, deadline, None, None);
    match tokio::time::timeout_at(inbound.final_deadline.into(), attempt).await {
        Ok(AttemptResult::Responded { response, connection, .. }) => {
            let resources = AttemptResources { connection, slot: None };
            Ok(forward_response(&outbound.node_state, *response, resources))
        }
        _ => Err(key_elsewhere()),
    }
}

/// A request in the form in which it is sent to targets.
struct OutboundRequest {
    node_state: Arc<NodeState>,
    parts: Parts,
    body: Option<InboundBody>,
}

impl OutboundRequest {
    /// Returns the request for the next attempt, or `None` if its body cannot be sent again.
    fn next_request(&mut self, retry: Option<RetryReason>) -> Option<Request<RequestBody>> {
        let body = self.next_body()?;
        let mut builder = Request::builder().method(self.parts.method.clone());
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        builder = builder.uri(path);
        let mut request = builder.body(body).ok()?;
        *request.headers_mut() = self.parts.headers.clone();
        if !request.headers().contains_key(header::HOST) {
            let host = self.parts.uri.host().unwrap_or("sniperelay");
            request.headers_mut().insert(header::HOST, HeaderValue::from_str(host).ok()?);
        }
        if retry.is_some() {
            request.headers_mut().insert(headers::RETRIED, HeaderValue::from_static("1"));
        }
        Some(request)
    }

    fn next_body(&mut self) -> Option<RequestBody> {
        match self.body.take()? {
            InboundBody::Complete(bytes) => {
                self.body = Some(InboundBody::Complete(bytes.clone()));
                Some(full_body(bytes))
            }
            InboundBody::Partial(head, rest) => {
                let limits = &self.node_state.settings.limits;
                // For some methods, hyper sends a body of unknown length only if this header is set.
                if !self.parts.headers.contains_key(header::CONTENT_LENGTH) {
                    let chunked = HeaderValue::from_static("chunked");
                    self.parts.headers.insert(header::TRANSFER_ENCODING, chunked);
                }
                Some(stream_body(head, rest, limits.body_bytes, limits.caller_timeout))
            }
        }
    }
}

type AttemptFuture = BoxFuture<'static, std::result::Result<AttemptResult, Aborted>>;

/// State of a request that is queued in the dispatcher or has attempts in flight.
struct RequestHandler {
    outbound: OutboundRequest,
    entry: Arc<ServiceEntry>,
    inbound: InboundRequest,
    key: Option<Arc<ClaimedKey>>,
    deadline: AttemptDeadline,
    attempts: FuturesUnordered<AttemptFuture>,
    abort_handles: Vec<(TargetKey, AbortHandle)>,
    execution: ExecutionRecord,
    last_failure_reason: Option<RefusalReason>,
}

impl RequestHandler {
    fn new(outbound: OutboundRequest, inbound: InboundRequest, key: Option<Arc<ClaimedKey>>) -> Self {
        let deadline = AttemptDeadline::at(inbound.final_deadline);
        let mut outbound = outbound;
        let wall_millis = deadline.wall.as_millis() as u64;
        headers::set_number(&mut outbound.parts.headers, headers::DEADLINE_UNIX_MS, wall_millis);
        Self {
            entry: inbound.entry.clone(),
            outbound,
            inbound,
            key,
            deadline,
            attempts: FuturesUnordered::new(),
            abort_handles: Vec::new(),
            execution: ExecutionRecord::default(),
            last_failure_reason: None,
        }
    }

    async fn run(mut self) -> Result<Response<ResponseBody>> {
        let inbound = &self.inbound;
        let dispatcher_handle = self.entry.dispatcher_handle.clone();
        let mut request_guard = dispatcher_handle.submit(
            inbound.rank,
            inbound.on_time_deadline,
            inbound.is_idempotent,
            inbound.is_retried_by_caller,
            NO_ACCOUNT,
        );
        let timeout = tokio::time::sleep_until(inbound.final_deadline.into());
        tokio::pin!(timeout);
        let node_state = self.outbound.node_state.clone();
        let rank = inbound.rank;
        let response_time = || dispatcher_handle.read(|dispatcher| dispatcher.response_time(rank));
        let stop = node_state.stop_deadline.wait_until_too_late(response_time);
        tokio::pin!(stop);
        let mut is_too_late = false;
        loop {
            let step = tokio::select! {
                signal = request_guard.next_signal() => self.handle_signal(signal),
                Some(result) = self.attempts.next() => self.handle_attempt_result(result),
                () = &mut stop, if !is_too_late => {
                    is_too_late = true;
                    None
                }
                () = &mut timeout => Some(Err(self.timeout_refusal())),
            };
            // From then on the request is refused as soon as no attempt is in flight.
            let step = step.or_else(|| if is_too_late { self.stop_refusal().map(Err) } else { None });
            if let Some(result) = step {
                return self.finish(request_guard, result);
            }
        }
    }

    fn finish(
        self,
        request_guard: RequestGuard,
        result: Result<Response<ResponseBody>>,
    ) -> Result<Response<ResponseBody>> {
        if result.is_ok() {
            let latency = self.inbound.arrived_at.elapsed();
            let is_on_time = Instant::now() <= self.inbound.on_time_deadline;
            self.entry.counters[self.inbound.rank].count_response(latency, is_on_time);
        }
        drop(request_guard);
        result
    }

    fn handle_signal(&mut self, signal: Option<DispatchSignal>) -> Option<Result<Response<ResponseBody>>> {
        match signal? {
            DispatchSignal::Start { slot, .. } if self.is_too_late_to_start() => {
                drop(slot);
                return self.stop_refusal().map(Err);
            }
            DispatchSignal::Start { slot, address, retry } => {
                return self.start_attempt(slot, address, retry);
            }
            DispatchSignal::Refuse { reason, retry_after } => {
                let reason = self.last_failure_reason.unwrap_or(reason);
                return Some(Err(self.refusal(reason).with_retry_after(retry_after)));
            }
            DispatchSignal::CancelAttempt { target } => {
                let cancelled = self.abort_handles.iter().filter(|(other, _)| *other == target);
                cancelled.for_each(|(_, handle)| handle.abort());
            }
        }
        None
    }

    /// Returns whether this process ends before a further attempt is likely to get its response.
    fn is_too_late_to_start(&self) -> bool {
        let rank = self.inbound.rank;
        let response_time = || self.entry.dispatcher_handle.read(|dispatcher| dispatcher.response_time(rank));
        self.outbound.node_state.stop_deadline.is_too_late(response_time, Instant::now())
    }

    /// Returns the refusal of a request for which no attempt may be started before this process ends, or `None` if an
    /// attempt is in flight, whose response is waited for.
    fn stop_refusal(&self) -> Option<Refusal> {
        let is_waiting = !self.execution.has_attempt_in_flight();
        is_waiting.then(|| self.refusal(RefusalReason::Stopping).with_retry_after(STOPPING_RETRY_AFTER))
    }

    fn start_attempt(
        &mut self,
        slot: AttemptSlot,
        address: SocketAddr,
        retry: Option<RetryReason>,
    ) -> Option<Result<Response<ResponseBody>>> {
        if let Some(reason) = retry {
            self.entry.counters[self.inbound.rank].count_retry(reason);
        }
        let Some(request) = self.outbound.next_request(retry) else {
            // A streamed body cannot be sent twice. The request fails unless an earlier attempt is still
            // in flight.
            let reason = self.last_failure_reason.unwrap_or(RefusalReason::ConnectionLost);
            let is_final = !self.execution.has_attempt_in_flight();
            return is_final.then(|| Err(self.refusal(reason)));
        };
        let target = slot.target();
        let pool = self.outbound.node_state.pool.clone();
        let attempt = run_attempt(pool, address, request, self.deadline, self.key.clone(), Some(slot));
        let (handle, registration) = AbortHandle::new_pair();
        self.abort_handles.push((target, handle));
        self.attempts.push(Abortable::new(attempt, registration).boxed());
        self.execution.record_start();
        None
    }

    fn handle_attempt_result(
        &mut self,
        result: std::result::Result<AttemptResult, Aborted>,
    ) -> Option<Result<Response<ResponseBody>>> {
        match result {
            Err(Aborted) => {
                self.execution.record_cancellation();
                None
            }
            Ok(AttemptResult::NotSent) => {
                self.execution.record_unsent();
                // Another attempt may still respond.
                let is_final = !self.execution.has_attempt_in_flight();
                is_final.then(|| Err(self.refusal(RefusalReason::DeadlinePassed)))
            }
            Ok(AttemptResult::Failed { failure, slot }) => self.handle_failure(failure, slot?),
            Ok(AttemptResult::Responded { response, connection, slot }) => {
                self.handle_response(*response, connection, slot?)
            }
        }
    }

    fn handle_failure(
        &mut self,
        failure: AttemptFailure,
        slot: AttemptSlot,
    ) -> Option<Result<Response<ResponseBody>>> {
        let reason = match failure {
            AttemptFailure::Connect => RefusalReason::ConnectFailed,
            AttemptFailure::Refused => RefusalReason::TargetRefused,
            AttemptFailure::ConnectionLost | AttemptFailure::ServerError => RefusalReason::ConnectionLost,
        };
        self.execution.record_failure(failure);
        self.last_failure_reason = Some(reason);
        let is_final = slot.record_failure(failure) == FailureDecision::Final;
        is_final.then(|| Err(self.refusal(reason)))
    }

    fn handle_response(
        &mut self,
        response: Response<Incoming>,
        connection: PooledConnection,
        slot: AttemptSlot,
    ) -> Option<Result<Response<ResponseBody>>> {
        self.record_target_state(&response, slot.address());
        if response.body().size_hint().lower() > self.outbound.node_state.settings.limits.response_bytes {
            log::warn!("response from {} announces a body larger than the limit", slot.address());
            return self.handle_failure(AttemptFailure::ConnectionLost, slot);
        }
        self.execution.record_response();
        if response.status().is_server_error() && self.inbound.is_idempotent {
            return self.handle_server_error(response, connection, slot);
        }
        let report = headers::read_load(response.headers());
        let is_error = response.status().is_server_error();
        if slot.record_response(report, is_error) == ResponseDecision::Discard {
            return None;
        }
        Some(Ok(self.respond(response, AttemptResources { connection, slot: Some(slot) })))
    }

    /// Handles a server error for an idempotent request. The response is forwarded to the caller only
    /// if the request is not retried and no other attempt is in flight.
    fn handle_server_error(
        &mut self,
        response: Response<Incoming>,
        connection: PooledConnection,
        slot: AttemptSlot,
    ) -> Option<Result<Response<ResponseBody>>> {
        self.last_failure_reason = Some(RefusalReason::ConnectionLost);
        match slot.record_failure(AttemptFailure::ServerError) {
            FailureDecision::Final => {
                Some(Ok(self.respond(response, AttemptResources { connection, slot: None })))
            }
            FailureDecision::Retried | FailureDecision::OtherAttemptPending => None,
        }
    }

    fn respond(&self, response: Response<Incoming>, resources: AttemptResources) -> Response<ResponseBody> {
        forward_response(&self.outbound.node_state, response, resources)
    }

    fn record_target_state(&self, response: &Response<Incoming>, target: SocketAddr) {
        let state = response.headers().get(headers::TARGET_STATE);
        if state.is_some_and(|state| state == "leaving") {
            self.entry.dispatcher_handle.run_operation(|dispatcher, _, _| dispatcher.mark_leaving(target));
            let service = self.entry.document.name.clone();
            let _ =
                self.outbound.node_state.traffic_sender.send(TrafficEvent::TargetLeaving { service, target });
        }
    }

    /// Returns the refusal for a request that timed out. A target may have executed an attempt in
    /// flight, but not a request that is still queued.
    fn timeout_refusal(&self) -> Refusal {
        let is_running = self.execution.has_attempt_in_flight();
        self.refusal(if is_running { RefusalReason::TargetTimeout } else { RefusalReason::DeadlinePassed })
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        Refusal { outcome: self.execution.outcome(), ..Refusal::not_run(reason) }
    }
}

fn forward_response(
    node_state: &NodeState,
    response: Response<Incoming>,
    resources: AttemptResources,
) -> Response<ResponseBody> {
    let settings = &node_state.settings.limits;
    let limits = BodyLimits {
        bytes: settings.response_bytes,
        time: settings.response_time,
        idle_time: settings.caller_timeout,
    };
    let status = response.status();
    let mut headers = response.headers().clone();
    headers::prepare_response_headers(&mut headers);
    let body = TargetBody::new(response, resources, limits, node_state.metrics.process().clone());
    let mut forwarded = Response::new(forward_body(body, limits));
    *forwarded.status_mut() = status;
    *forwarded.headers_mut() = headers;
    forwarded
}
