//! Test stand-in for a backend server with slots, a queue, load reports and injected faults.
//!
//! It uses the headers of `sniperelay serve`, and faults are injected through [`TargetControl`]. The
//! targets in [`crate::soak::target`] use the headers of `sniperelay relay` and misbehave at random.
//!
//! The [`RunLedger`] counts how often each request and each idempotency key was executed. Tests use
//! it to detect duplicate executions and false `not-run` outcomes.

use crate::content::{
    BODY_SIZE_HEADER, CONTENT_LENGTH_HEADER, ECHO_HEADER, REQUEST_ID_HEADER, RESPONSE_SIZE_HEADER,
    SERVICE_TIME_HEADER, make_content,
};
use anyhow::Result;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sniperelay_node::traffic::headers;
use sniperelay_node::wall_clock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

type BodyError = Box<dyn std::error::Error + Send + Sync>;
type TargetBody = UnsyncBoxBody<Bytes, BodyError>;

/// Slowdown of a target at normal speed, in thousandths.
pub const NORMAL_SLOWDOWN: u32 = 1000;
/// Size of the data chunks of a streamed response body.
const CHUNK_BYTES: usize = 16 * 1024;
/// Delay between the last data chunk of a truncated body and the error that ends it.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct LedgerState {
    runs_by_id: HashMap<u64, u32>,
    runs_by_key: HashMap<String, u32>,
}

/// Counts executions by request and by idempotency key, over all targets of a deployment.
#[derive(Debug, Default)]
pub struct RunLedger {
    state: Mutex<LedgerState>,
}

impl RunLedger {
    fn record(&self, id: u64, key: Option<&str>) {
        let mut state = self.lock();
        *state.runs_by_id.entry(id).or_default() += 1;
        if let Some(key) = key {
            *state.runs_by_key.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Returns how often the request with ID `id` was executed.
    pub fn run_count(&self, id: u64) -> u32 {
        self.lock().runs_by_id.get(&id).copied().unwrap_or(0)
    }

    /// Returns the number of idempotency keys executed more than once.
    pub fn duplicated_key_count(&self) -> usize {
        self.lock().runs_by_key.values().filter(|runs| **runs > 1).count()
    }

    /// Returns the number of idempotency keys executed at least once.
    pub fn key_count(&self) -> usize {
        self.lock().runs_by_key.len()
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Injected faults and counters of one target.
#[derive(Debug)]
pub struct TargetControl {
    /// Factor applied to the service time, in thousandths; [`NORMAL_SLOWDOWN`] is the usual speed.
    pub slowdown_permille: AtomicU32,
    /// Whether the target responds to every request with a server error immediately.
    pub is_failing: AtomicBool,
    /// Whether every response reports the state `leaving`.
    pub is_leaving: AtomicBool,
    /// Whether new requests are refused as `draining`, without execution.
    pub is_refusing: AtomicBool,
    /// Share of responses truncated in the middle of the body, in thousandths.
    pub truncation_permille: AtomicU32,
    /// Requests that were not refused as `draining` or `shed`.
    pub accepted: AtomicU64,
    /// Wall-clock time of the latest accepted request, in milliseconds since the Unix epoch.
    pub last_accepted_ms: AtomicU64,
    /// Requests cancelled while queued or running.
    pub cancelled: AtomicU64,
    /// Requests refused because their deadline had expired when they got a slot.
    pub overdue: AtomicU64,
    /// Load probes received.
    pub probes: AtomicU64,
    /// Connections accepted.
    pub connections: AtomicU64,
    /// Connections currently open.
    pub open_connections: AtomicU64,
    /// Maximum number of connections open at the same time.
    pub peak_connections: AtomicU64,
}

/// A running target stand-in.
#[derive(Debug)]
pub struct TargetStandin {
    address: SocketAddr,
    slots: Semaphore,
    slot_count: u32,
    queue_limit: u32,
    queued: AtomicU32,
    ledger: Arc<RunLedger>,
    accept_task: Mutex<Option<AbortHandle>>,
    /// Injected faults and counters.
    pub control: TargetControl,
}

/// Counts a request as cancelled if it is dropped before the target has a response.
struct RunGuard {
    target: Arc<TargetStandin>,
    is_finished: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.target.control.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl TargetStandin {
    /// Starts a target with `slot_count` slots on a free loopback port. It refuses requests while
    /// `queue_limit` requests are queued.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(slot_count: u32, queue_limit: u32, ledger: Arc<RunLedger>) -> Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Arc::new(Self {
            address: listener.local_addr()?,
            slots: Semaphore::new(slot_count as usize),
            slot_count,
            queue_limit,
            queued: AtomicU32::new(0),
            ledger,
            accept_task: Mutex::default(),
            control: TargetControl {
                slowdown_permille: AtomicU32::new(NORMAL_SLOWDOWN),
                is_failing: AtomicBool::new(false),
                is_leaving: AtomicBool::new(false),
                is_refusing: AtomicBool::new(false),
                truncation_permille: AtomicU32::new(0),
                accepted: AtomicU64::new(0),
                last_accepted_ms: AtomicU64::new(0),
                cancelled: AtomicU64::new(0),
                overdue: AtomicU64::new(0),
                probes: AtomicU64::new(0),
                connections: AtomicU64::new(0),
                open_connections: AtomicU64::new(0),
                peak_connections: AtomicU64::new(0),
            },
        });
        let task = tokio::spawn(target.clone().accept(listener));
        *target.accept_task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task.abort_handle());
        Ok(target)
    }

    /// Returns the address on which the target listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the numbers of busy slots and queued requests.
    pub fn busy_and_queued(&self) -> (u32, u32) {
        let busy = self.slot_count - self.slots.available_permits() as u32;
        (busy, self.queued.load(Ordering::Relaxed))
    }

    /// Stops accepting connections. Open connections stay in use.
    pub fn close_listener(&self) {
        if let Some(task) = self.accept_task.lock().unwrap_or_else(PoisonError::into_inner).take() {
            task.abort();
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let target = self.clone();
            target.control.connections.fetch_add(1, Ordering::Relaxed);
            let open = target.control.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
            target.control.peak_connections.fetch_max(open, Ordering::Relaxed);
            tokio::spawn(async move {
                let handler = target.clone();
                let service = service_fn(move |request| handler.clone().handle(request));
                // Truncated responses end the connection with an error; this is intended.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                target.control.open_connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<TargetBody>, BodyError> {
        let attempt_id = request.headers().get(headers::ATTEMPT).cloned();
        let mut response = self.handle_request(request).await?;
        if let Some(id) = attempt_id {
            response.headers_mut().insert(headers::ATTEMPT, id);
        }
        Ok(response)
    }

    async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<TargetBody>, BodyError> {
        if request.uri().path() == "/load" {
            self.control.probes.fetch_add(1, Ordering::Relaxed);
            return Ok(self.make_response(StatusCode::OK, full_body("{}")));
        }
        if self.control.is_refusing.load(Ordering::Relaxed) {
            return Ok(self.refuse("draining"));
        }
        if self.queued.load(Ordering::Relaxed) >= self.queue_limit {
            return Ok(self.refuse("shed"));
        }
        self.control.accepted.fetch_add(1, Ordering::Relaxed);
        self.control.last_accepted_ms.store(wall_clock::unix_millis(), Ordering::Relaxed);
        let mut guard = RunGuard { target: self.clone(), is_finished: false };
        let response = self.serve(request).await;
        guard.is_finished = true;
        response
    }

    async fn serve(&self, request: Request<Incoming>) -> Result<Response<TargetBody>, BodyError> {
        let (parts, body) = request.into_parts();
        let body_length = body.collect().await?.to_bytes().len();
        let number =
            |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let id = number(REQUEST_ID_HEADER).unwrap_or(0);
        if self.control.is_failing.load(Ordering::Relaxed) {
            return Ok(self.make_response(StatusCode::INTERNAL_SERVER_ERROR, full_body("failing")));
        }
        let permit = self.wait_for_slot().await?;
        let deadline = number(headers::DEADLINE_UNIX_MS.as_str());
        if deadline.is_some_and(|deadline| wall_clock::unix_millis() > deadline) {
            self.control.overdue.fetch_add(1, Ordering::Relaxed);
            return Ok(self.refuse("deadline"));
        }
        let key = parts.headers.get(headers::IDEMPOTENCY_KEY).and_then(|key| key.to_str().ok());
        self.ledger.record(id, key);
        let slowdown = u64::from(self.control.slowdown_permille.load(Ordering::Relaxed));
        let micros = number(SERVICE_TIME_HEADER).unwrap_or(0) * slowdown / u64::from(NORMAL_SLOWDOWN);
        tokio::time::sleep(Duration::from_micros(micros)).await;
        if parts.headers.contains_key(BODY_SIZE_HEADER) {
            return Ok(self.make_response(StatusCode::OK, full_body(format!("received {body_length} bytes"))));
        }
        if parts.headers.contains_key(ECHO_HEADER) {
            return Ok(self.make_response(StatusCode::OK, full_body(format_headers(&parts.headers))));
        }
        let size = number(RESPONSE_SIZE_HEADER).unwrap_or(0) as usize;
        drop(permit);
        let mut response = self.make_response(StatusCode::OK, self.make_body(id, size));
        if parts.headers.contains_key(CONTENT_LENGTH_HEADER) {
            response.headers_mut().insert(http::header::CONTENT_LENGTH, HeaderValue::from(size));
        }
        Ok(response)
    }

    async fn wait_for_slot(&self) -> Result<tokio::sync::SemaphorePermit<'_>, BodyError> {
        struct WaitGuard<'a>(&'a AtomicU32);
        impl Drop for WaitGuard<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::Relaxed);
            }
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        let _guard = WaitGuard(&self.queued);
        Ok(self.slots.acquire().await?)
    }

    fn make_body(&self, id: u64, size: usize) -> TargetBody {
        let permille = u64::from(self.control.truncation_permille.load(Ordering::Relaxed));
        let is_truncated = size > 0 && id.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 1000 < permille;
        if size <= CHUNK_BYTES && !is_truncated {
            return full_body(make_content(id, 0, size));
        }
        let end = if is_truncated { size / 2 } else { size };
        let chunks = (0..end).step_by(CHUNK_BYTES).map(move |offset| {
            let length = CHUNK_BYTES.min(end - offset);
            Ok(Frame::data(make_content(id, offset, length)))
        });
        let chunks = futures_util::stream::iter(chunks);
        if !is_truncated {
            return StreamBody::new(chunks).boxed_unsync();
        }
        // Waits until the data chunks have been sent, so that the body is cut in the middle.
        let tail = futures_util::stream::once(async {
            tokio::time::sleep(TRUNCATION_DELAY).await;
            Err(BodyError::from("body truncated by an injected fault"))
        });
        StreamBody::new(futures_util::StreamExt::chain(chunks, tail)).boxed_unsync()
    }

    fn refuse(&self, reason: &'static str) -> Response<TargetBody> {
        let mut response = self.make_response(StatusCode::SERVICE_UNAVAILABLE, full_body(reason));
        response.headers_mut().insert(headers::REFUSED, HeaderValue::from_static(reason));
        response
    }

    fn make_response(&self, status: StatusCode, body: TargetBody) -> Response<TargetBody> {
        let (busy, queued) = self.busy_and_queued();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        if let Ok(load) = HeaderValue::from_str(&format!("busy={busy};queued={queued}")) {
            response.headers_mut().insert(headers::LOAD, load);
        }
        let is_leaving = self.control.is_leaving.load(Ordering::Relaxed);
        let state = if is_leaving { "leaving" } else { "live" };
        response.headers_mut().insert(headers::TARGET_STATE, HeaderValue::from_static(state));
        response
    }
}

fn format_headers(headers: &HeaderMap) -> String {
    let lines = headers.iter().map(|(name, value)| format!("{name}: {}\n", value.to_str().unwrap_or("?")));
    lines.collect()
}

fn full_body(content: impl Into<Bytes>) -> TargetBody {
    Full::new(content.into()).map_err(|never| match never {}).boxed_unsync()
}
