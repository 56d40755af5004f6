//! Calls to the platform over HTTP/1.1: call rate, circuit breaker, time limits and counters.
//!
//! Each call has a connection of its own, since calls are few: whatever happens to one connection
//! harms one call. Keep-alive probes end a connection that has gone silent while a watch waits.

use crate::api::{MAX_RESPONSE_BYTES, PlatformError, Result};
use crate::limiter::{CallLimiter, LimiterRefusal};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time within which the platform must answer, beyond the wait of a watch. It answers in
/// milliseconds, and within seconds when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which a connection must be made: one retransmission of the opening packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Silence after which a connection is probed, and time between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is given up.
const KEEPALIVE_PROBES: u32 = 2;

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallVerb {
    /// One object.
    Get,
    /// The objects under a prefix.
    List,
    /// The same, as they were at most seconds ago.
    ListStale,
    /// Changes under a prefix.
    Watch,
    /// To write an object.
    Put,
    /// To delete an object.
    Delete,
}

impl CallVerb {
    /// Every verb, in declaration order.
    pub const ALL: [Self; 6] = [Self::Get, Self::List, Self::ListStale, Self::Watch, Self::Put, Self::Delete];

    /// Name in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::ListStale => "list-stale",
            Self::Watch => "watch",
            Self::Put => "put",
            Self::Delete => "delete",
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// Answered, whatever the answer.
    Responded,
    /// Turned away, or not sent for want of a connection: it was not carried out.
    Refused,
    /// No usable answer: it may have been carried out.
    NoResponse,
    /// Held back by the rate.
    RateLimited,
    /// Held back by the circuit breaker.
    CircuitOpen,
}

impl CallResult {
    /// Every result, in declaration order.
    pub const ALL: [Self; 5] =
        [Self::Responded, Self::Refused, Self::NoResponse, Self::RateLimited, Self::CircuitOpen];

    /// Name in counters.
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

/// Calls to the platform, counted by verb and result.
#[derive(Debug, Default)]
pub struct CallCounters {
    calls: [[AtomicU64; CallResult::ALL.len()]; CallVerb::ALL.len()],
    /// Bytes of answer bodies.
    pub bytes: AtomicU64,
}

impl CallCounters {
    /// Calls of this kind that ended so.
    pub fn count(&self, verb: CallVerb, result: CallResult) -> u64 {
        self.calls[verb as usize][result as usize].load(Ordering::Relaxed)
    }

    /// Calls made, whatever became of them.
    pub fn made(&self) -> u64 {
        self.sum(&[CallResult::Responded, CallResult::Refused, CallResult::NoResponse])
    }

    /// Calls made without a usable answer.
    pub fn failed(&self) -> u64 {
        self.sum(&[CallResult::Refused, CallResult::NoResponse])
    }

    fn sum(&self, results: &[CallResult]) -> u64 {
        let of_verb =
            |verb: CallVerb| results.iter().map(move |result| self.count(verb, *result)).sum::<u64>();
        CallVerb::ALL.into_iter().map(of_verb).sum()
    }

    fn record(&self, verb: CallVerb, result: CallResult) {
        self.calls[verb as usize][result as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// An answer of the platform.
#[derive(Debug)]
pub struct PlatformResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Makes calls to one platform address.
#[derive(Debug)]
pub struct PlatformTransport {
    address: SocketAddr,
    limiter: Mutex<CallLimiter>,
    counters: Arc<CallCounters>,
}

impl PlatformTransport {
    /// A transport with this pace.
    pub fn new(address: SocketAddr, limiter: CallLimiter) -> Self {
        Self { address, limiter: Mutex::new(limiter), counters: Arc::default() }
    }

    /// Address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of the calls made.
    pub fn counters(&self) -> &Arc<CallCounters> {
        &self.counters
    }

    /// Makes one call; `wait` is the time for which the platform may hold it back.
    ///
    /// # Errors
    ///
    /// When the call was held back, refused or not answered. Answers that say `429` or `503` are
    /// refusals.
    pub async fn call(
        &self,
        verb: CallVerb,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<PlatformResponse> {
        self.acquire(verb)?;
        let result = match tokio::time::timeout(wait + CALL_TIMEOUT, self.exchange(request)).await {
            Ok(result) => result.and_then(reject_overload),
            Err(_) => Err(PlatformError::NoResponse("timed out".to_owned())),
        };
        self.counters.record(verb, CallResult::from_result(&result));
        self.record(&result);
        result
    }

    fn acquire(&self, verb: CallVerb) -> Result<()> {
        let mut limiter = self.limiter.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        limiter.try_acquire(Instant::now()).map_err(|refusal| match refusal {
            LimiterRefusal::RateExceeded => {
                self.counters.record(verb, CallResult::RateLimited);
                PlatformError::Throttled("the call rate is used up")
            }
            LimiterRefusal::CircuitOpen => {
                self.counters.record(verb, CallResult::CircuitOpen);
                PlatformError::Throttled("the platform failed lately")
            }
        })
    }

    fn record(&self, result: &Result<PlatformResponse>) {
        let mut limiter = self.limiter.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match result {
            Err(PlatformError::NoResponse(_) | PlatformError::Refused(_)) => {
                limiter.record_failure(Instant::now(), &mut rand::rng());
            }
            _ => limiter.record_success(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<PlatformResponse> {
        let stream = self.connect().await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let driver = AbortOnDrop(tokio::spawn(connection));
        let no_response = |error: &dyn std::fmt::Display| PlatformError::NoResponse(error.to_string());
        let response = sender.send_request(request).await.map_err(|error| no_response(&error))?;
        let status = response.status();
        let limited = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = limited.collect().await.map_err(|error| no_response(&error))?.to_bytes();
        self.counters.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        drop(driver);
        Ok(PlatformResponse { status, body })
    }

    async fn connect(&self) -> Result<TcpStream> {
        let refused = |error: std::io::Error| PlatformError::Refused(error.to_string());
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let timed_out = |_| PlatformError::Refused("no connection in time".to_owned());
        let stream = connect.await.map_err(timed_out)?.map_err(refused)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_TIME)
            .with_retries(KEEPALIVE_PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive).map_err(refused)?;
        Ok(stream)
    }
}

/// Ends a connection's task with the call that it serves.
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
