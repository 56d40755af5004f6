//! One request from its route to its answer.
//!
//! A request first asks for an answer on time. When that cannot be had, it asks once more for one
//! that is merely late, behind all others. What is given up gets its final answer at once.

use crate::attempt::{AttemptEnd, OutboundRequest, TargetAnswer, run_attempt};
use crate::decision::{AttemptNote, DecisionKind};
use crate::head::RequestHead;
use crate::reply::{CallerReply, RelayRefusal};
use crate::shared_state::RelayState;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, Aborted, BoxFuture, FutureExt};
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, StatusCode};
use sniperelay_core::dispatch::{AttemptFailure, FailureDecision, ResponseDecision};
use sniperelay_core::ids::{RankId, TargetKey};
use sniperelay_core::reason::{Outcome, RefusalReason, RetryReason};
use sniperelay_core::route::RouteSpec;
use sniperelay_hosted::headers::{self as wire, TargetReport};
use sniperelay_node::boot_clock;
use sniperelay_node::gate::{AttemptSlot, GatePass, GateSignal, ServiceEntry};
use sniperelay_node::life::LifePhase;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

type Result<T> = std::result::Result<T, RelayRefusal>;
type AttemptFuture = BoxFuture<'static, std::result::Result<AttemptEnd, Aborted>>;

/// When a caller may come back while nothing is known of a service.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// When a caller may come back after targets refused: the next one may well take the request.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(20);

/// When a caller may come back while this process stops: at once, at another entry VM.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Answers one request.
pub async fn answer_request(state: Arc<RelayState>, head: RequestHead, body: Bytes) -> CallerReply {
    match serve_request(&state, head, body).await {
        Ok(reply) => reply,
        Err(refusal) => CallerReply::refusal(&refusal),
    }
}

async fn serve_request(state: &Arc<RelayState>, head: RequestHead, body: Bytes) -> Result<CallerReply> {
    let arrived = Instant::now();
    if state.life.phase() >= LifePhase::Refusing {
        return Err(refuse_early(state, &head, RefusalReason::Stopping, STOP_RETRY_AFTER));
    }
    let Some(routes) = state.routes.load_full() else {
        return Err(refuse_early(state, &head, RefusalReason::NoTarget, RETRY_AFTER));
    };
    let deadline = wire::read_deadline(&head.headers);
    let deadline = deadline.map_err(|error| {
        log::debug!("a deadline cannot be read: {error}");
        refuse_early(state, &head, RefusalReason::BadRequest, RETRY_AFTER)
    })?;
    let route = routes.table.find(&head.host, head.path());
    let route = route.ok_or_else(|| refuse_early(state, &head, RefusalReason::UnknownRank, RETRY_AFTER))?;
    let choice = route.next_destination();
    let services = state.services.load();
    let entry = services.get(&choice.service).cloned();
    let entry = entry.ok_or_else(|| refuse_early(state, &head, RefusalReason::NoTarget, RETRY_AFTER))?;
    drop(services);
    let spec = route.spec();
    let limit = deadline.unwrap_or(spec.timeout).min(spec.timeout);
    let outbound = OutboundRequest {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body,
        is_idempotent: spec.is_idempotent,
        end: boot_clock::now() + limit,
    };
    let times = RequestTimes { arrived, on_time: arrived + spec.latency.min(limit), end: arrived + limit };
    let mut exchange = Exchange::new(state.clone(), entry, outbound, times, choice.rank, spec);
    let mut result = exchange.run(choice.rank, times.on_time).await;
    if result.as_ref().is_err_and(|refusal| exchange.may_still_be_late(refusal)) {
        result = exchange.run(choice.late_rank, times.end).await;
    }
    exchange.log_end(&spec.name, routes.config.version, &result);
    result
}

/// Refuses a request before any service is asked, and writes a line on it.
fn refuse_early(
    state: &RelayState,
    head: &RequestHead,
    reason: RefusalReason,
    retry_after: Duration,
) -> RelayRefusal {
    state.metrics.process().early_refusals.fetch_add(1, Ordering::Relaxed);
    let kind = DecisionKind::Refused;
    if let Some(left_out) = state.decisions.admit(kind, reason.as_str(), Instant::now()) {
        let id = request_id(&head.headers);
        let version = state.routes.load().as_ref().map_or(0, |routes| routes.config.version);
        log::info!(
            target: "request",
            request = id, decision = kind.as_str(), left_out;
            "request {id} {}: {}, host {}, configuration {version:08x}; no service was asked",
            kind.as_str(), reason.as_str(), head.host
        );
    }
    RelayRefusal::not_run(reason, retry_after)
}

/// The id that a caller gave a request, for log lines.
fn request_id(headers: &HeaderMap) -> &str {
    headers.get(wire::REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Points in time that matter to a request.
#[derive(Debug, Clone, Copy)]
struct RequestTimes {
    arrived: Instant,
    /// Until then an answer is on time.
    on_time: Instant,
    /// Until then an answer is of use.
    end: Instant,
}

/// A request on its way through the gate of its service.
struct Exchange {
    state: Arc<RelayState>,
    entry: Arc<ServiceEntry>,
    outbound: Arc<OutboundRequest>,
    times: RequestTimes,
    /// Rank by which it is served on time.
    rank: RankId,
    /// Whether another attempt is forbidden.
    is_single: bool,
    attempts: FuturesUnordered<AttemptFuture>,
    handles: Vec<(TargetKey, AbortHandle)>,
    /// Attempts so far, for log lines.
    notes: Vec<AttemptNote>,
    /// Whether an attempt was handed to a target connection that did not refuse it.
    may_have_run: bool,
    last_failure: Option<RefusalReason>,
    /// A target's own failure that may be passed on if no later attempt does better.
    spare_answer: Option<Box<TargetAnswer>>,
}

impl Exchange {
    fn new(
        state: Arc<RelayState>,
        entry: Arc<ServiceEntry>,
        outbound: OutboundRequest,
        times: RequestTimes,
        rank: RankId,
        spec: &RouteSpec,
    ) -> Self {
        Self {
            state,
            entry,
            outbound: Arc::new(outbound),
            times,
            rank,
            is_single: spec.max_attempts < 2,
            attempts: FuturesUnordered::new(),
            handles: Vec::new(),
            notes: Vec::new(),
            may_have_run: false,
            last_failure: None,
            spare_answer: None,
        }
    }

    /// Whether a request that was not started can still be answered late.
    fn may_still_be_late(&self, refusal: &RelayRefusal) -> bool {
        let is_too_late =
            matches!(refusal.reason, RefusalReason::DeadlineUnreachable | RefusalReason::DeadlinePassed);
        is_too_late && self.notes.is_empty() && Instant::now() < self.times.end
    }

    async fn run(&mut self, rank: RankId, deadline: Instant) -> Result<CallerReply> {
        let gate = self.entry.gate.clone();
        let mut pass = gate.admit(rank, deadline, self.outbound.is_idempotent, self.is_single);
        let timeout = tokio::time::sleep_until(self.times.end.into());
        tokio::pin!(timeout);
        loop {
            let step = tokio::select! {
                biased;
                Some(end) = self.attempts.next() => self.on_attempt_end(end),
                signal = pass.next_signal() => self.on_signal(signal),
                () = &mut timeout => Some(Err(self.timeout_refusal())),
            };
            if let Some(result) = step {
                return self.finish(rank, pass, result);
            }
        }
    }

    fn finish(&mut self, rank: RankId, pass: GatePass, result: Result<CallerReply>) -> Result<CallerReply> {
        let counters = &self.entry.counters[rank.min(self.entry.counters.len() - 1)];
        match &result {
            Ok(_) => {
                counters.count_answer(self.times.arrived.elapsed(), Instant::now() <= self.times.on_time)
            }
            Err(refusal) => counters.count_refusal(refusal.reason),
        }
        drop(pass);
        match (result, self.spare_answer.take()) {
            (Err(_), Some(answer)) => Ok(make_reply(*answer)),
            (result, _) => result,
        }
    }

    fn note_start(&mut self, slot: &AttemptSlot, retry: Option<RetryReason>) {
        let now = Instant::now();
        let target = slot.target();
        let seen = self.entry.gate.read(|dispatcher| {
            let targets = dispatcher.targets();
            let state = targets.get(target)?;
            let slowdown = state.expected_slowdown(targets.average_slowdown(), now);
            Some((slowdown, state.slowdown_age(now), (state.in_flight, state.foreign_in_flight())))
        });
        let (slowdown, slowdown_age, load) = seen.unwrap_or((0.0, None, (0, 0)));
        let started_after = now.saturating_duration_since(self.times.arrived);
        let address = slot.address();
        self.notes.push(AttemptNote {
            address,
            started_after,
            slowdown,
            slowdown_age,
            load,
            retry,
            end: None,
        });
        if retry.is_some() {
            self.log(DecisionKind::Repeated, "sent once more");
        }
    }

    fn note_end(&mut self, address: SocketAddr, end: &'static str) {
        let after = self.times.arrived.elapsed();
        if let Some(note) = self.notes.iter_mut().find(|note| note.address == address && note.end.is_none()) {
            note.end = Some((end, after));
        }
    }

    fn log_end(&self, route: &str, version: u64, result: &Result<CallerReply>) {
        let kind = match result {
            Err(refusal) if refusal.outcome == Outcome::NotRun => DecisionKind::Refused,
            Err(_) => DecisionKind::Failed,
            Ok(_) if Instant::now() > self.times.on_time => DecisionKind::Late,
            Ok(_) => DecisionKind::Routine,
        };
        let cause = result.as_ref().map_or_else(|refusal| refusal.reason.as_str(), |_| "answered");
        let standing = if result.is_err() { self.describe_service() } else { String::new() };
        self.log(kind, &format!("{cause}, route {route} of version {version:08x}{standing}"));
    }

    /// How the service stands, for the line on a request that got no answer.
    fn describe_service(&self) -> String {
        let rank = self.rank;
        let standing = self.entry.gate.read(|dispatcher| dispatcher.stats(rank, Instant::now()));
        format!(
            "; rank {}: {} waiting ({} in all), targets: {} usable, {} with a free slot, {} of them fast; usual answer {} ms",
            rank,
            standing.waiting_in_rank,
            standing.waiting_total,
            standing.usable_targets,
            standing.free_targets,
            standing.fast_targets,
            standing.usual_latency.as_millis()
        )
    }

    /// Writes a line on this request, unless the rate of its kind is used up.
    fn log(&self, kind: DecisionKind, what: &str) {
        let Some(left_out) = self.state.decisions.admit(kind, &self.entry.document.name, Instant::now())
        else {
            return;
        };
        let id = request_id(&self.outbound.headers);
        let notes: Vec<String> = self.notes.iter().map(AttemptNote::to_string).collect();
        log::info!(
            target: "request",
            request = id, decision = kind.as_str(), service = self.entry.document.name.as_str(),
            after_ms = self.times.arrived.elapsed().as_millis() as u64,
            on_time_ms = millis_between(self.times.arrived, self.times.on_time),
            end_ms = millis_between(self.times.arrived, self.times.end), left_out;
            "request {id} {}: {what}; attempts: [{}]", kind.as_str(), notes.join("; ")
        );
    }

    fn on_signal(&mut self, signal: Option<GateSignal>) -> Option<Result<CallerReply>> {
        match signal? {
            GateSignal::Start { slot, retry, .. } => {
                if let Some(reason) = retry {
                    self.entry.counters[0].count_retry(reason);
                }
                self.note_start(&slot, retry);
                self.start_attempt(slot);
            }
            GateSignal::Refuse { reason, retry_after } => {
                let reason = self.last_failure.unwrap_or(reason);
                return Some(Err(self.refusal(reason, retry_after)));
            }
            GateSignal::Abandon { target } => {
                let abandoned = self.handles.iter().filter(|(other, _)| *other == target);
                abandoned.for_each(|(_, handle)| handle.abort());
            }
        }
        None
    }

    fn start_attempt(&mut self, slot: AttemptSlot) {
        let target = slot.target();
        let attempt = run_attempt(self.state.clone(), self.outbound.clone(), slot);
        let (handle, registration) = AbortHandle::new_pair();
        self.handles.push((target, handle));
        self.attempts.push(Abortable::new(attempt, registration).boxed());
    }

    fn on_attempt_end(
        &mut self,
        end: std::result::Result<AttemptEnd, Aborted>,
    ) -> Option<Result<CallerReply>> {
        match end {
            Err(Aborted) => None,
            Ok(AttemptEnd::NotSent) => Some(Err(self.refusal(RefusalReason::DeadlinePassed, RETRY_AFTER))),
            Ok(AttemptEnd::Failed { failure, cause, report, is_gone, slot }) => {
                self.note_end(slot.address(), cause);
                record_report(&slot, report);
                if is_gone {
                    let address = slot.address();
                    self.entry.gate.run(|dispatcher, _, _| dispatcher.mark_leaving(address));
                }
                self.on_failure(failure, slot)
            }
            Ok(AttemptEnd::Answered { answer, report, slot }) => {
                self.note_end(slot.address(), answer_note(answer.status));
                self.on_answer(answer, report, slot)
            }
        }
    }

    fn on_failure(&mut self, failure: AttemptFailure, slot: AttemptSlot) -> Option<Result<CallerReply>> {
        let reason = match failure {
            AttemptFailure::Connect => RefusalReason::ConnectFailed,
            AttemptFailure::Refused => RefusalReason::TargetRefused,
            AttemptFailure::ConnectionLost | AttemptFailure::ServerError => RefusalReason::ConnectionLost,
        };
        self.may_have_run |= !failure.proves_not_run();
        self.last_failure = Some(reason);
        let is_final = slot.fail(failure) == FailureDecision::Final;
        is_final.then(|| Err(self.refusal(reason, REFUSED_RETRY_AFTER)))
    }

    fn on_answer(
        &mut self,
        answer: Box<TargetAnswer>,
        report: Option<TargetReport>,
        slot: AttemptSlot,
    ) -> Option<Result<CallerReply>> {
        self.may_have_run = true;
        record_report(&slot, report);
        if !answer.status.is_success() && answer.status.is_server_error() {
            return self.on_server_error(answer, slot);
        }
        if promises_not_run(answer.status) {
            // A target's word without its mark that the request did not run proves nothing.
            return self.on_failure(AttemptFailure::ServerError, slot);
        }
        slot.record_size(answer.body.len());
        if slot.record_answer(None, false) == ResponseDecision::Discard {
            return None;
        }
        self.spare_answer = None;
        Some(Ok(make_reply(*answer)))
    }

    /// A server error is passed on only when no other attempt is allowed or does better.
    fn on_server_error(
        &mut self,
        answer: Box<TargetAnswer>,
        slot: AttemptSlot,
    ) -> Option<Result<CallerReply>> {
        if wire::is_from_target(&answer.headers) && !promises_not_run(answer.status) {
            self.spare_answer = Some(answer);
        }
        self.on_failure(AttemptFailure::ServerError, slot)
    }

    /// An attempt in flight may be running; a waiting request is not.
    fn timeout_refusal(&mut self) -> RelayRefusal {
        if self.attempts.is_empty() {
            return self.refusal(RefusalReason::DeadlinePassed, RETRY_AFTER);
        }
        self.may_have_run = true;
        self.refusal(RefusalReason::TargetTimeout, RETRY_AFTER)
    }

    fn refusal(&self, reason: RefusalReason, retry_after: Duration) -> RelayRefusal {
        if self.may_have_run {
            RelayRefusal::unknown(reason)
        } else {
            RelayRefusal::not_run(reason, retry_after)
        }
    }
}

fn millis_between(from: Instant, to: Instant) -> u64 {
    to.saturating_duration_since(from).as_millis() as u64
}

/// How an attempt ended, for log lines.
fn answer_note(status: StatusCode) -> &'static str {
    if status.is_success() { "answered" } else { "answered with an error" }
}

/// Statuses by which an answer promises that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
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

fn make_reply(answer: TargetAnswer) -> CallerReply {
    CallerReply {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
        stated_length: answer.stated_length,
    }
}
