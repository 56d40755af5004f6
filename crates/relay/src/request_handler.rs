//! Handling of one request, from its route to its response.
//!
//! A request is first submitted with its latency target as the deadline. If that deadline cannot be
//! met, the request is submitted again with its timeout as the deadline and with the lowest
//! priority. A refusal is sent to the caller immediately.
//!
//! A request that waits for its first attempt follows its route if a later configuration moves it to another service. A
//! request with attempts stays at its service.

mod forward;
mod request_route;

use crate::account_quotas::{AccountQuotas, QuotaAdmission};
use crate::attempt::{AttemptResult, OutboundRequest, TargetResponse, run_attempt};
use crate::body_memory::StoredBody;
use crate::caller_response::{CallerResponse, RelayRefusal};
use crate::crash_quarantine::{
    SuspectedTarget, admit_request, check_for_crash, later_quarantine, record_completion,
};
use crate::decision_log::{AttemptRecord, DecisionKind};
use crate::request_head::RequestHead;
use crate::shared_state::RelayState;
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, Aborted, BoxFuture, FutureExt};
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, StatusCode};
use sniperelay_core::dispatch::{AttemptFailure, FailureDecision, ResponseDecision};
use sniperelay_core::execution::ExecutionRecord;
use sniperelay_core::ids::{RankId, TargetKey};
use sniperelay_core::quarantine::Admission;
use sniperelay_core::reason::{Outcome, RefusalReason, RetryReason};
use sniperelay_hosted::headers::{self as platform_headers, TargetReport};
use sniperelay_node::boot_clock;
use sniperelay_node::dispatcher_handle::{AttemptSlot, DispatchSignal, RequestGuard};
use sniperelay_node::lifecycle::LifecyclePhase;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use request_route::{RequestRoute, find_route, route_retry_after};

type Result<T> = std::result::Result<T, RelayRefusal>;
type AttemptFuture = BoxFuture<'static, std::result::Result<AttemptResult, Aborted>>;

/// Time after which a caller may retry if nothing is known about when the service will be available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time after which a caller may retry after a target refused the request or could not be connected
/// to. It is short, because another target is likely to accept the request.
const TARGET_REFUSED_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time after which a caller may retry during a shutdown of this process: immediately, at another
/// entry VM.
pub(crate) const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller sent it to this entry VM.
    Caller,
    /// Another entry VM has forwarded it.
    Peer {
        /// Number of attempts that are left to it.
        attempts_left: u32,
    },
}

/// Handles one request and returns its response.
pub async fn handle_request(
    state: Arc<RelayState>,
    caller: IpAddr,
    head: RequestHead,
    body: StoredBody,
    origin: RequestOrigin,
) -> CallerResponse {
    match try_handle_request(&state, caller, head, body, origin).await {
        Ok(response) => response,
        Err(refusal) => CallerResponse::from_refusal(&refusal),
    }
}

async fn try_handle_request(
    state: &Arc<RelayState>,
    caller: IpAddr,
    head: RequestHead,
    body: StoredBody,
    origin: RequestOrigin,
) -> Result<CallerResponse> {
    let arrived_at = Instant::now();
    if state.lifecycle.phase() >= LifecyclePhase::Refusing {
        return Err(refuse_early(state, &head, RefusalReason::Stopping, SHUTDOWN_RETRY_AFTER));
    }
    let route = find_route(state, &head.host, head.path(), &head.headers);
    let route =
        route.map_err(|reason| refuse_early(state, &head, reason, route_retry_after(state, reason)))?;
    let caller_timeout = platform_headers::read_deadline(&head.headers);
    let caller_timeout = caller_timeout.map_err(|error| {
        log::debug!("request refused: invalid deadline: {error}");
        refuse_early(state, &head, RefusalReason::BadRequest, DEFAULT_RETRY_AFTER)
    })?;
    let timeout = caller_timeout.unwrap_or(route.spec.timeout).min(route.spec.timeout);
    let quota_admission = admit_to_account(&state.account_quotas, &route, origin, timeout).await?;
    let outbound = OutboundRequest {
        method: head.method,
        path_and_query: head.path_and_query,
        headers: head.headers,
        body,
        caller,
        is_idempotent: route.spec.is_idempotent,
        deadline: boot_clock::now() + timeout,
    };
    let admission = admit_request(state, &outbound, &head.host);
    if let Admission::Quarantined { retry_after, .. } = admission {
        route.entry.rank_counters(route.ranks.on_time).count_refusal(RefusalReason::Quarantined);
        quota_admission.into_iter().for_each(QuotaAdmission::give_back);
        return Err(RelayRefusal::not_run(RefusalReason::Quarantined, retry_after));
    }
    let times = RequestTimes {
        arrived_at,
        on_time_deadline: arrived_at + route.spec.latency.min(timeout),
        final_deadline: arrived_at + timeout,
    };
    let mut handler = RequestHandler::new(state.clone(), route, head.host, outbound, times);
    handler.is_trial = admission == Admission::Trial;
    handler.is_single_attempt |= handler.is_trial || admission == Admission::SingleAttempt;
    handler.limit_attempts(origin);
    let result = match origin {
        RequestOrigin::Caller => handler.run_or_forward().await,
        RequestOrigin::Peer { .. } => handler.run_here().await,
    };
    handler.log_result(&result);
    if handler.has_not_run(&result) {
        quota_admission.into_iter().for_each(QuotaAdmission::give_back);
    }
    result
}

/// Admits a request under the limit of its client account. A request that another entry VM has forwarded was admitted
/// there.
async fn admit_to_account(
    quotas: &AccountQuotas,
    route: &RequestRoute,
    origin: RequestOrigin,
    timeout: Duration,
) -> Result<Option<QuotaAdmission>> {
    let Some(account) = route.account.as_ref().filter(|_| origin == RequestOrigin::Caller) else {
        return Ok(None);
    };
    quotas.admit(account, timeout).await.map_err(|refusal| {
        let reason = RefusalReason::AccountLimit;
        route.entry.rank_counters(route.ranks.on_time).count_refusal(reason);
        RelayRefusal::not_run(reason, refusal.retry_after)
    })
}

/// Refuses a request before it is submitted to a service, and logs the refusal.
fn refuse_early(
    state: &RelayState,
    head: &RequestHead,
    reason: RefusalReason,
    retry_after: Duration,
) -> RelayRefusal {
    state.metrics.process().early_refusals.fetch_add(1, Ordering::Relaxed);
    state.metrics.rank("-", "-").count_refusal(reason);
    let kind = DecisionKind::Refused;
    if let Some(suppressed_lines) = state.decisions.admit(kind, reason.as_str(), Instant::now()) {
        let id = request_id(&head.headers);
        let version = state.routes.load().as_ref().map_or(0, |routes| routes.config.version);
        log::info!(
            target: "request",
            request = id, decision = kind.as_str(), left_out = suppressed_lines;
            "request {id} {}: {}, host {}, configuration {version:08x}; no service was asked",
            kind.as_str(), reason.as_str(), head.host
        );
    }
    RelayRefusal::not_run(reason, retry_after)
}

/// Returns the id that the caller gave the request, for log lines.
fn request_id(headers: &HeaderMap) -> &str {
    headers.get(platform_headers::REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Arrival time and deadlines of a request.
#[derive(Debug, Clone, Copy)]
struct RequestTimes {
    arrived_at: Instant,
    /// Time until which a response meets the latency target.
    on_time_deadline: Instant,
    /// Time until which a response is useful to the caller.
    final_deadline: Instant,
}

/// State of a request that passes through the dispatcher of its service.
struct RequestHandler {
    state: Arc<RelayState>,
    route: RequestRoute,
    /// Host that the request names.
    host: String,
    outbound: Arc<OutboundRequest>,
    times: RequestTimes,
    /// Whether the route allows only one attempt.
    is_single_attempt: bool,
    /// Number of attempts that the route allows, or that are left to a forwarded request.
    max_attempts: u32,
    /// Whether the request stays here although this entry VM reaches no target, because no other one takes it.
    is_bound_here: bool,
    /// Name of the entry VM that has responded to the forwarded request, for log lines.
    forwarded_to: Option<String>,
    /// Whether the request is the trial of a quarantined content.
    is_trial: bool,
    attempts: FuturesUnordered<AttemptFuture>,
    abort_handles: Vec<(TargetKey, AbortHandle)>,
    /// Whether the last attempt has written the request to a connection.
    is_last_written: Arc<AtomicBool>,
    /// Attempts made so far, for log lines.
    attempt_records: Vec<AttemptRecord>,
    execution: ExecutionRecord,
    last_failure_reason: Option<RefusalReason>,
    /// Server error of a target, which is sent to the caller if no later attempt succeeds.
    fallback_response: Option<Box<TargetResponse>>,
}

impl RequestHandler {
    fn new(
        state: Arc<RelayState>,
        route: RequestRoute,
        host: String,
        outbound: OutboundRequest,
        times: RequestTimes,
    ) -> Self {
        Self {
            state,
            is_single_attempt: route.spec.max_attempts < 2,
            max_attempts: route.spec.max_attempts,
            route,
            host,
            outbound: Arc::new(outbound),
            times,
            is_bound_here: false,
            forwarded_to: None,
            is_trial: false,
            attempts: FuturesUnordered::new(),
            abort_handles: Vec::new(),
            is_last_written: Arc::default(),
            attempt_records: Vec::new(),
            execution: ExecutionRecord::default(),
            last_failure_reason: None,
            fallback_response: None,
        }
    }

    /// Returns whether the request is certain not to have run, here or at the entry VM that it was forwarded to.
    fn has_not_run(&self, result: &Result<CallerResponse>) -> bool {
        match result {
            Err(refusal) => refusal.outcome == Outcome::NotRun,
            Ok(response) => self.forwarded_to.is_some() && indicates_not_run(response.status),
        }
    }

    fn limit_attempts(&mut self, origin: RequestOrigin) {
        if let RequestOrigin::Peer { attempts_left } = origin {
            self.max_attempts = self.max_attempts.min(attempts_left);
            self.is_single_attempt |= attempts_left < 2;
        }
    }

    /// Handles the request here. It follows its route as long as it waits for its first attempt.
    async fn run_here(&mut self) -> Result<CallerResponse> {
        loop {
            if let Some(result) = self.run_at_service().await {
                return result;
            }
            if let Err(refusal) = self.follow_route() {
                let result = Err(refusal);
                self.count_result(self.route.ranks.on_time, &result);
                return result;
            }
        }
    }

    /// Handles the request at its service, first with its latency target as the deadline. Returns `None` if its route
    /// leads to another service now.
    async fn run_at_service(&mut self) -> Option<Result<CallerResponse>> {
        let ranks = self.route.ranks;
        let result = self.submit_and_wait(ranks.on_time, self.times.on_time_deadline).await?;
        if result.as_ref().is_err_and(|refusal| self.can_be_resubmitted(refusal)) {
            return self.submit_and_wait(ranks.late, self.times.final_deadline).await;
        }
        Some(result)
    }

    /// Returns whether a request that was refused because of its deadline can be submitted again with a
    /// later one: no attempt was started, and the timeout has not expired.
    fn can_be_resubmitted(&self, refusal: &RelayRefusal) -> bool {
        let is_too_late = matches!(
            refusal.reason,
            RefusalReason::DeadlineUnreachable | RefusalReason::DeadlinePassed | RefusalReason::TargetLimit
        );
        is_too_late && self.attempt_records.is_empty() && Instant::now() < self.times.final_deadline
    }

    /// Submits the request to the dispatcher of its service and runs attempts until there is a response
    /// or a refusal. Neither comes later than the final deadline. Returns `None` if the route of the request leads to
    /// another service before its first attempt.
    async fn submit_and_wait(&mut self, rank: RankId, deadline: Instant) -> Option<Result<CallerResponse>> {
        let dispatcher_handle = self.route.entry.dispatcher_handle.clone();
        let mut request_guard = dispatcher_handle.submit(
            rank,
            deadline,
            self.outbound.is_idempotent,
            self.is_single_attempt,
            self.route.account_id(),
        );
        let timeout = tokio::time::sleep_until(self.times.final_deadline.into());
        tokio::pin!(timeout);
        let mut links = self.state.links.subscribe();
        let isolation = async { drop(links.wait_for(|is_isolated| *is_isolated).await) };
        tokio::pin!(isolation);
        let mut is_isolation_awaited = !self.is_bound_here;
        let state = self.state.clone();
        let response_time = || dispatcher_handle.read(|dispatcher| dispatcher.response_time(rank));
        let stop = state.stop_deadline.wait_until_too_late(response_time);
        tokio::pin!(stop);
        let mut is_too_late = false;
        loop {
            let is_waiting = self.attempt_records.is_empty();
            let step = tokio::select! {
                biased;
                Some(result) = self.attempts.next() => self.handle_attempt_result(result),
                () = state.wait_for_later_config(self.route.version), if is_waiting => {
                    if self.is_moved() { return None } else { None }
                }
                signal = request_guard.next_signal() => self.handle_signal(signal),
                () = &mut isolation, if is_isolation_awaited => {
                    is_isolation_awaited = false;
                    self.isolation_refusal().map(Err)
                }
                () = &mut stop, if !is_too_late => {
                    is_too_late = true;
                    None
                }
                () = &mut timeout => Some(Err(self.timeout_refusal())),
            };
            // From then on the request is refused as soon as no attempt is in flight.
            let step = step.or_else(|| if is_too_late { self.stop_refusal().map(Err) } else { None });
            if let Some(result) = step {
                return Some(self.finish(rank, request_guard, result));
            }
        }
    }

    /// Counts the result. Replaces a refusal by the server error of a target, if there is one.
    fn finish(
        &mut self,
        rank: RankId,
        request_guard: RequestGuard,
        result: Result<CallerResponse>,
    ) -> Result<CallerResponse> {
        self.count_result(rank, &result);
        drop(request_guard);
        match (result, self.fallback_response.take()) {
            (Err(_), Some(response)) => Ok(make_response(*response)),
            (result, _) => result,
        }
    }

    fn count_result(&self, rank: RankId, result: &Result<CallerResponse>) {
        let counters = self.route.entry.rank_counters(rank);
        match result {
            Ok(_) => counters.count_response(
                self.times.arrived_at.elapsed(),
                Instant::now() <= self.times.on_time_deadline,
            ),
            Err(refusal) => counters.count_refusal(refusal.reason),
        }
    }

    fn record_attempt_start(&mut self, slot: &AttemptSlot, retry: Option<RetryReason>) {
        let now = Instant::now();
        let target = slot.target();
        let target_load = self.route.entry.dispatcher_handle.read(|dispatcher| {
            let targets = dispatcher.targets();
            let state = targets.get(target)?;
            let slowdown = state.expected_slowdown(targets.average_slowdown(), now);
            Some((slowdown, state.slowdown_age(now), (state.in_flight, state.foreign_in_flight())))
        });
        let (slowdown, slowdown_age, load) = target_load.unwrap_or((0.0, None, (0, 0)));
        let started_after = now.saturating_duration_since(self.times.arrived_at);
        let address = slot.address();
        self.attempt_records.push(AttemptRecord {
            address,
            started_after,
            slowdown,
            slowdown_age,
            load,
            retry,
            end: None,
        });
        if retry.is_some() {
            self.log_decision(DecisionKind::Retried, "sent once more");
        }
    }

    fn record_attempt_end(&mut self, address: SocketAddr, end: &'static str) {
        let after = self.times.arrived_at.elapsed();
        if let Some(record) =
            self.attempt_records.iter_mut().find(|record| record.address == address && record.end.is_none())
        {
            record.end = Some((end, after));
        }
    }

    fn log_result(&self, result: &Result<CallerResponse>) {
        let kind = match result {
            Err(refusal) if refusal.outcome == Outcome::NotRun => DecisionKind::Refused,
            Err(_) => DecisionKind::Failed,
            Ok(_) if Instant::now() > self.times.on_time_deadline => DecisionKind::Late,
            Ok(_) => DecisionKind::OnTime,
        };
        let cause = result.as_ref().map_or_else(|refusal| refusal.reason.as_str(), |_| "answered");
        let service_stats = if result.is_err() { self.service_stats_text() } else { String::new() };
        let through = self.forwarded_to.as_ref().map_or_else(String::new, |name| format!(" through {name}"));
        let (route, version) = (&self.route.spec.name, self.route.version);
        let text = format!("{cause}{through}, route {route} of version {version:08x}{service_stats}");
        self.log_decision(kind, &text);
    }

    /// Returns the load of the service as text, for log lines about requests without a response.
    fn service_stats_text(&self) -> String {
        let rank = self.route.ranks.on_time;
        let stats =
            self.route.entry.dispatcher_handle.read(|dispatcher| dispatcher.stats(rank, Instant::now()));
        format!(
            "; rank {}: {} waiting ({} in all), targets: {} usable, {} with a free slot, {} of them fast; usual answer {} ms",
            rank,
            stats.queued_in_rank,
            stats.queued_total,
            stats.usable_targets,
            stats.free_targets,
            stats.fast_targets,
            stats.usual_latency.as_millis()
        )
    }

    /// Logs a line about this request, unless the rate limit for its kind is exceeded.
    fn log_decision(&self, kind: DecisionKind, text: &str) {
        let Some(suppressed_lines) =
            self.state.decisions.admit(kind, &self.route.entry.document.name, Instant::now())
        else {
            return;
        };
        let id = request_id(&self.outbound.headers);
        let records: Vec<String> = self.attempt_records.iter().map(AttemptRecord::to_string).collect();
        log::info!(
            target: "request",
            request = id, decision = kind.as_str(), service = self.route.entry.document.name.as_str(),
            after_ms = self.times.arrived_at.elapsed().as_millis() as u64,
            on_time_ms = millis_between(self.times.arrived_at, self.times.on_time_deadline),
            end_ms = millis_between(self.times.arrived_at, self.times.final_deadline), left_out = suppressed_lines;
            "request {id} {}: {text}; attempts: [{}]", kind.as_str(), records.join("; ")
        );
    }

    fn handle_signal(&mut self, signal: Option<DispatchSignal>) -> Option<Result<CallerResponse>> {
        match signal? {
            DispatchSignal::Start { slot, retry, .. } => {
                // Targets may have crashed under the same content while the request was queued.
                if let Some(retry_after) = self.begun_quarantine() {
                    drop(slot);
                    let is_final = !self.execution.has_attempt_in_flight();
                    return is_final.then(|| Err(self.make_refusal(RefusalReason::Quarantined, retry_after)));
                }
                if let Some(refusal) = self.revocation_refusal() {
                    drop(slot);
                    let is_final = !self.execution.has_attempt_in_flight();
                    return is_final.then_some(Err(refusal));
                }
                if self.is_too_late_to_start() {
                    drop(slot);
                    return self.stop_refusal().map(Err);
                }
                if let Some(reason) = retry {
                    self.route.entry.counters[0].count_retry(reason);
                }
                self.record_attempt_start(&slot, retry);
                self.start_attempt(slot);
            }
            DispatchSignal::Refuse { reason, retry_after } => {
                let reason = self.last_failure_reason.unwrap_or(reason);
                return Some(Err(self.make_refusal(reason, retry_after)));
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
        let response_time = || {
            self.route
                .entry
                .dispatcher_handle
                .read(|dispatcher| dispatcher.response_time(self.route.ranks.on_time))
        };
        self.state.stop_deadline.is_too_late(response_time, Instant::now())
    }

    /// Returns the refusal of a request for which no attempt may be started before this process ends, or `None` if an
    /// attempt is in flight, whose response is waited for.
    fn stop_refusal(&mut self) -> Option<RelayRefusal> {
        self.cancel_unwritten_attempt();
        let is_waiting = !self.execution.has_attempt_in_flight();
        is_waiting.then(|| self.make_refusal(RefusalReason::Stopping, SHUTDOWN_RETRY_AFTER))
    }

    fn start_attempt(&mut self, slot: AttemptSlot) {
        let target = slot.target();
        self.is_last_written = Arc::default();
        let is_written = self.is_last_written.clone();
        let attempt = run_attempt(
            self.state.clone(),
            self.outbound.clone(),
            self.route.account_header.clone(),
            slot,
            is_written,
        );
        let (handle, registration) = AbortHandle::new_pair();
        self.abort_handles.push((target, handle));
        self.attempts.push(Abortable::new(attempt, registration).boxed());
        self.execution.record_start();
    }

    fn handle_attempt_result(
        &mut self,
        result: std::result::Result<AttemptResult, Aborted>,
    ) -> Option<Result<CallerResponse>> {
        match result {
            Err(Aborted) => {
                self.execution.record_cancellation();
                None
            }
            Ok(AttemptResult::NotSent) => {
                self.execution.record_unsent();
                // Another attempt may still respond.
                let is_final = !self.execution.has_attempt_in_flight();
                is_final.then(|| Err(self.make_refusal(RefusalReason::DeadlinePassed, DEFAULT_RETRY_AFTER)))
            }
            Ok(AttemptResult::Failed { failure, cause, report, is_leaving, slot }) => {
                self.record_attempt_end(slot.address(), cause);
                record_report(&slot, report);
                if is_leaving {
                    let address = slot.address();
                    self.route
                        .entry
                        .dispatcher_handle
                        .run_operation(|dispatcher, _, _| dispatcher.mark_leaving(address));
                }
                self.handle_failure(failure, slot)
            }
            Ok(AttemptResult::Completed { response, report, slot }) => {
                self.record_attempt_end(slot.address(), attempt_end_text(response.status));
                self.handle_response(response, report, slot)
            }
        }
    }

    fn handle_failure(
        &mut self,
        failure: AttemptFailure,
        slot: AttemptSlot,
    ) -> Option<Result<CallerResponse>> {
        let reason = match failure {
            AttemptFailure::Connect => RefusalReason::ConnectFailed,
            AttemptFailure::Refused => RefusalReason::TargetRefused,
            AttemptFailure::ConnectionLost | AttemptFailure::ServerError => RefusalReason::ConnectionLost,
        };
        if failure == AttemptFailure::ConnectionLost {
            self.start_crash_check(&slot);
        }
        self.execution.record_failure(failure);
        self.last_failure_reason = Some(reason);
        let is_final = slot.record_failure(failure) == FailureDecision::Final;
        is_final.then(|| Err(self.make_refusal(reason, TARGET_REFUSED_RETRY_AFTER)))
    }

    /// Returns the time until the end of a quarantine that has begun since this request was admitted.
    fn begun_quarantine(&self) -> Option<Duration> {
        if self.is_trial { None } else { later_quarantine(&self.state, &self.outbound) }
    }

    /// Starts to check whether the target of a lost connection has crashed.
    fn start_crash_check(&self, slot: &AttemptSlot) {
        let Some(instance) = slot.instance() else { return };
        let health_path = self.route.entry.document.measuring.path.clone();
        let target = SuspectedTarget { instance, address: slot.address(), health_path };
        let check = check_for_crash(self.state.clone(), self.outbound.clone(), target);
        tokio::spawn(check);
    }

    fn handle_response(
        &mut self,
        response: Box<TargetResponse>,
        report: Option<TargetReport>,
        slot: AttemptSlot,
    ) -> Option<Result<CallerResponse>> {
        record_report(&slot, report);
        if !response.status.is_success() && response.status.is_server_error() {
            return self.handle_server_error(response, slot);
        }
        if indicates_not_run(response.status) {
            // Without the target's header that the request was not executed, the status proves nothing.
            return self.handle_failure(AttemptFailure::ServerError, slot);
        }
        self.execution.record_response();
        record_completion(&self.state, &self.outbound);
        slot.record_response_size(response.body.len());
        slot.record_transfer(self.outbound.body.content.len(), response.body.len());
        if slot.record_response(None, false) == ResponseDecision::Discard {
            return None;
        }
        self.fallback_response = None;
        Some(Ok(make_response(*response)))
    }

    /// Handles a server error. It is sent to the caller only if no other attempt is allowed or succeeds.
    fn handle_server_error(
        &mut self,
        response: Box<TargetResponse>,
        slot: AttemptSlot,
    ) -> Option<Result<CallerResponse>> {
        if platform_headers::is_from_target(&response.headers) && !indicates_not_run(response.status) {
            self.fallback_response = Some(response);
            record_completion(&self.state, &self.outbound);
        }
        self.handle_failure(AttemptFailure::ServerError, slot)
    }

    /// Returns the refusal of a request whose timeout has expired. With an attempt in flight, the request
    /// may be running; a request that is still queued is not.
    fn timeout_refusal(&self) -> RelayRefusal {
        let is_running = self.execution.has_attempt_in_flight();
        let reason = if is_running { RefusalReason::TargetTimeout } else { RefusalReason::DeadlinePassed };
        self.make_refusal(reason, DEFAULT_RETRY_AFTER)
    }

    fn make_refusal(&self, reason: RefusalReason, retry_after: Duration) -> RelayRefusal {
        match self.execution.outcome() {
            Outcome::NotRun => RelayRefusal::not_run(reason, retry_after),
            Outcome::Ran | Outcome::Unknown => RelayRefusal::unknown(reason),
        }
    }
}

fn millis_between(from: Instant, to: Instant) -> u64 {
    to.saturating_duration_since(from).as_millis() as u64
}

/// Returns how an attempt ended, for log lines.
fn attempt_end_text(status: StatusCode) -> &'static str {
    if status.is_success() { "answered" } else { "answered with an error" }
}

/// Returns whether a status means by convention that the request did not run. The status alone is no
/// proof of it.
fn indicates_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn record_report(slot: &AttemptSlot, report: Option<TargetReport>) {
    if let Some(report) = report {
        slot.record_report(report.busy + report.queued, report.slowdown);
    }
}

fn make_response(response: TargetResponse) -> CallerResponse {
    CallerResponse {
        status: response.status,
        headers: response.headers,
        body: response.body,
        declared_length: response.declared_length,
        memory: Some(response.memory),
    }
}
