//! Calls to the platform over HTTP/1.1, with call rate limit, circuit breaker, timeouts and
//! counters.
//!
//! Calls are infrequent, so each one uses its own connection: a connection failure then affects a
//! single call. TCP keep-alive probes detect a connection that fails while a watch is waiting.
//!
//! A call must be answered within its timeout. A large body may take longer, as long as it arrives at a
//! minimum rate: giving up a transfer only makes the next one start from the beginning.

use crate::api::{MAX_RESPONSE_BYTES, PlatformError, Result};
use crate::limiter::{CallLimiter, LimiterRefusal};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Timeout for the response to a call, in addition to the wait time of a watch. The platform
/// usually responds within milliseconds, and within seconds when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum mean rate at which a body must arrive after [`CALL_TIMEOUT`], in bytes per second: a twentieth of a link
/// of 10 Mbit/s.
const MIN_RECEIVE_RATE: f64 = 62_500.0;
/// Timeout for opening a connection. It allows for one retransmission of the SYN packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Idle time after which a connection is probed, and interval between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Size of the read buffer of a connection, and thereby maximum size of a response head, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Number of unacknowledged probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Operation of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallVerb {
    /// Read one object.
    Get,
    /// List the objects under a prefix.
    List,
    /// List the objects under a prefix from a state that may be a few seconds old.
    ListStale,
    /// Watch for changes under a prefix.
    Watch,
    /// Read the changes under a prefix from a state that may be a few seconds old, without waiting.
    PollStale,
    /// Write an object.
    Put,
    /// Delete an object.
    Delete,
}

impl CallVerb {
    /// All verbs, in declaration order.
    pub const ALL: [Self; 7] =
        [Self::Get, Self::List, Self::ListStale, Self::Watch, Self::PollStale, Self::Put, Self::Delete];

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::ListStale => "list-stale",
            Self::Watch => "watch",
            Self::PollStale => "poll-stale",
            Self::Put => "put",
            Self::Delete => "delete",
        }
    }
}

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The platform responded, with any result.
    Responded,
    /// The platform rejected the call, or no connection was available. The call was not executed.
    Refused,
    /// No usable response was received. The call may have been executed.
    NoResponse,
    /// The call was not sent because of the rate limit.
    RateLimited,
    /// The call was not sent because the circuit breaker was open.
    CircuitOpen,
}

impl CallResult {
    /// All results, in declaration order.
    pub const ALL: [Self; 5] =
        [Self::Responded, Self::Refused, Self::NoResponse, Self::RateLimited, Self::CircuitOpen];

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Responded => "answered",
            Self::Refused => "refused",
            Self::NoResponse => "unanswered",
            Self::RateLimited => "held-by-rate",
            Self::CircuitOpen => "held-by-breaker",
        }
    }

    fn from_result(result: &Result<PlatformResponse>) -> Self {
        match result {
            Err(PlatformError::NoResponse(_)) => Self::NoResponse,
            Err(PlatformError::Refused(_)) => Self::Refused,
            _ => Self::Responded,
        }
    }
}

/// Counters of calls to the platform, by verb and result.
#[derive(Debug, Default)]
pub struct CallCounters {
    calls: [[AtomicU64; CallResult::ALL.len()]; CallVerb::ALL.len()],
    /// Bytes of response bodies received.
    pub received_bytes: AtomicU64,
}

impl CallCounters {
    /// Returns the number of calls with this verb and result.
    pub fn count(&self, verb: CallVerb, result: CallResult) -> u64 {
        self.calls[verb as usize][result as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of calls that the limiter permitted, regardless of their result.
    pub fn attempted(&self) -> u64 {
        self.count_results(&[CallResult::Responded, CallResult::Refused, CallResult::NoResponse])
    }

    /// Returns the number of calls that were refused or got no usable response. Calls that were not sent
    /// because of the limiter are not included.
    pub fn failed(&self) -> u64 {
        self.count_results(&[CallResult::Refused, CallResult::NoResponse])
    }

    fn count_results(&self, results: &[CallResult]) -> u64 {
        let of_verb =
            |verb: CallVerb| results.iter().map(move |result| self.count(verb, *result)).sum::<u64>();
        CallVerb::ALL.into_iter().map(of_verb).sum()
    }

    fn record(&self, verb: CallVerb, result: CallResult) {
        self.calls[verb as usize][result as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// A response of the platform.
#[derive(Debug)]
pub struct PlatformResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Sends calls to one platform address.
#[derive(Debug)]
pub struct PlatformTransport {
    address: SocketAddr,
    limiter: Mutex<CallLimiter>,
    counters: Arc<CallCounters>,
    /// Time at which a part of a response body was last received.
    last_receipt: Mutex<Option<Instant>>,
}

impl PlatformTransport {
    /// Creates a transport with the given limiter.
    pub fn new(address: SocketAddr, limiter: CallLimiter) -> Self {
        Self {
            address,
            limiter: Mutex::new(limiter),
            counters: Arc::default(),
            last_receipt: Mutex::default(),
        }
    }

    /// Counts the calls with `counters`, which several transports may share.
    pub fn with_counters(mut self, counters: Arc<CallCounters>) -> Self {
        self.counters = counters;
        self
    }

    /// Returns the address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the call counters.
    pub fn counters(&self) -> &Arc<CallCounters> {
        &self.counters
    }

    /// Returns whether a part of a response body was received within the last `span`.
    pub fn has_received_within(&self, span: Duration) -> bool {
        let last_receipt = *self.last_receipt.lock().unwrap_or_else(PoisonError::into_inner);
        last_receipt.is_some_and(|receipt| receipt.elapsed() < span)
    }

    fn record_receipt(&self) {
        *self.last_receipt.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Sends one call; `wait` is the time for which the platform may delay its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the call was throttled or refused, or if no response was received. Responses
    /// with status `429` or `503` count as refusals.
    pub async fn send_call(
        &self,
        verb: CallVerb,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<PlatformResponse> {
        self.acquire_permit(verb)?;
        let result = self.exchange(request, wait + CALL_TIMEOUT).await.and_then(reject_overload);
        self.counters.record(verb, CallResult::from_result(&result));
        self.update_circuit_breaker(&result);
        result
    }

    fn acquire_permit(&self, verb: CallVerb) -> Result<()> {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.try_acquire(Instant::now()).map_err(|refusal| match refusal {
            LimiterRefusal::RateExceeded => {
                self.counters.record(verb, CallResult::RateLimited);
                PlatformError::Throttled("call rate limit exceeded")
            }
            LimiterRefusal::CircuitOpen => {
                self.counters.record(verb, CallResult::CircuitOpen);
                PlatformError::Throttled("circuit breaker is open after a failure")
            }
        })
    }

    fn update_circuit_breaker(&self, result: &Result<PlatformResponse>) {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            Err(PlatformError::NoResponse(_) | PlatformError::Refused(_)) => {
                limiter.record_failure(Instant::now(), &mut rand::rng());
            }
            _ => limiter.record_success(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, timeout: Duration) -> Result<PlatformResponse> {
        let deadline = tokio::time::Instant::now() + timeout;
        let head = tokio::time::timeout_at(deadline, self.receive_head(request));
        let (response, _driver) = head.await.unwrap_or_else(|_| Err(call_timed_out()))?;
        let (parts, incoming) = response.into_parts();
        if incoming.size_hint().lower() > MAX_RESPONSE_BYTES as u64 {
            return Err(PlatformError::Malformed(format!("the body exceeds {MAX_RESPONSE_BYTES} bytes")));
        }
        let body = self.receive_body(incoming, deadline).await?;
        self.counters.received_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(PlatformResponse { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a request and receives the head of its response. The returned driver must be kept until the body
    /// has been received.
    async fn receive_head(&self, request: Request<Full<Bytes>>) -> Result<(Response<Incoming>, DriverTask)> {
        let stream = self.connect().await?;
        let (mut sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let driver = AbortOnDrop(tokio::spawn(connection));
        let response = sender.send_request(request).await.map_err(|error| no_response(&error))?;
        Ok((response, driver))
    }

    /// Receives a body. The deadline is extended in proportion to the bytes received.
    async fn receive_body(&self, incoming: Incoming, deadline: tokio::time::Instant) -> Result<Bytes> {
        let mut limited = Limited::new(incoming, MAX_RESPONSE_BYTES);
        let mut body = BytesMut::new();
        loop {
            let extension = Duration::from_secs_f64(body.len() as f64 / MIN_RECEIVE_RATE);
            let frame = tokio::time::timeout_at(deadline + extension, limited.frame()).await;
            let Some(frame) = frame.map_err(|_| call_timed_out())? else { return Ok(body.freeze()) };
            let frame = frame.map_err(|error| no_response(&error))?;
            self.record_receipt();
            if let Some(data) = frame.data_ref() {
                body.extend_from_slice(data);
            }
        }
    }

    async fn connect(&self) -> Result<TcpStream> {
        let refused = |error: std::io::Error| PlatformError::Refused(error.to_string());
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let timed_out = |_| PlatformError::Refused("connection attempt timed out".to_owned());
        let stream = connect.await.map_err(timed_out)?.map_err(refused)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_TIME)
            .with_retries(KEEPALIVE_PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive).map_err(refused)?;
        Ok(stream)
    }
}

fn no_response(error: &dyn std::fmt::Display) -> PlatformError {
    PlatformError::NoResponse(error.to_string())
}

fn call_timed_out() -> PlatformError {
    PlatformError::NoResponse("call timed out".to_owned())
}

type DriverTask = AbortOnDrop<std::result::Result<(), hyper::Error>>;

/// Aborts the task that drives a connection when the call that uses it ends.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn reject_overload(response: PlatformResponse) -> Result<PlatformResponse> {
    match response.status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Refused(response.status.to_string()))
        }
        _ => Ok(response),
    }
}
