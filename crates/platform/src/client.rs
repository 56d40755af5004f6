//! HTTP and JSON client of the platform.

use crate::api::{
    EventList, MAX_ANSWER_BYTES, ObjectList, ObjectVersion, PlatformApi, PlatformError, Result, StoredObject,
};
use crate::pace::{CallPace, PaceRefusal};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time within which the platform must answer, beyond the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Deserialize)]
struct VersionAnswer {
    version: ObjectVersion,
}

/// Calls to the platform, counted.
#[derive(Debug, Default)]
pub struct CallCounters {
    /// Calls made.
    pub made: AtomicU64,
    /// Calls without a usable answer.
    pub failed: AtomicU64,
    /// Calls held back by the rate.
    pub held_by_rate: AtomicU64,
    /// Calls held back by the circuit breaker.
    pub held_by_breaker: AtomicU64,
    /// Bytes of request and answer bodies.
    pub bytes: AtomicU64,
}

/// Client of the platform; a connection per call, since calls are few.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    pace: Mutex<CallPace>,
    counters: CallCounters,
}

impl HttpPlatform {
    /// A client that makes at most `calls_per_second`.
    pub fn new(address: SocketAddr, calls_per_second: u32) -> Self {
        let pace = Mutex::new(CallPace::new(calls_per_second));
        Self { address, pace, counters: CallCounters::default() }
    }

    /// Counters of the calls made.
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    fn take_call(&self) -> Result<()> {
        let mut pace = self.pace.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        pace.try_take(Instant::now()).map_err(|refusal| match refusal {
            PaceRefusal::Rate => {
                self.counters.held_by_rate.fetch_add(1, Ordering::Relaxed);
                PlatformError::HeldBack("the call rate is used up")
            }
            PaceRefusal::Open => {
                self.counters.held_by_breaker.fetch_add(1, Ordering::Relaxed);
                PlatformError::HeldBack("the platform failed lately")
            }
        })
    }

    fn record<T>(&self, result: &Result<T>) {
        let mut pace = self.pace.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match result {
            Err(PlatformError::Unanswered(_) | PlatformError::Malformed(_) | PlatformError::Refused(_)) => {
                self.counters.failed.fetch_add(1, Ordering::Relaxed);
                pace.record_failure(Instant::now(), &mut rand::rng());
            }
            _ => pace.record_success(),
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: String,
        expected: Option<ObjectVersion>,
        body: &str,
        wait: Duration,
    ) -> Result<Option<T>> {
        self.take_call()?;
        self.counters.made.fetch_add(1, Ordering::Relaxed);
        let exchange = self.exchange(method, path, expected, body);
        let result = match tokio::time::timeout(wait + CALL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Unanswered("timed out".to_owned())),
        };
        self.record(&result);
        result
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: String,
        expected: Option<ObjectVersion>,
        body: &str,
    ) -> Result<Option<T>> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let driver = tokio::spawn(connection);
        let request = make_request(method, &path, expected, body, self.address)?;
        let answer = sender.send_request(request).await;
        let result = self.read_answer(answer).await;
        driver.abort();
        result
    }

    async fn read_answer<T: DeserializeOwned>(
        &self,
        answer: std::result::Result<http::Response<hyper::body::Incoming>, hyper::Error>,
    ) -> Result<Option<T>> {
        let answer = answer.map_err(|error| PlatformError::Unanswered(error.to_string()))?;
        let status = answer.status();
        let limited = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body =
            limited.collect().await.map_err(|error| PlatformError::Unanswered(error.to_string()))?.to_bytes();
        self.counters.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        interpret(status, &body)
    }
}

fn make_request(
    method: Method,
    path: &str,
    expected: Option<ObjectVersion>,
    body: &str,
    host: SocketAddr,
) -> Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder().method(method).uri(path).header("host", host.to_string());
    if let Some(version) = expected {
        builder = builder.header("if-match", version.to_string());
    }
    builder
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .map_err(|error| PlatformError::Refused(error.to_string()))
}

fn interpret<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<Option<T>> {
    let malformed = |error: serde_json::Error| PlatformError::Malformed(error.to_string());
    match status {
        StatusCode::OK => serde_json::from_slice(body).map(Some).map_err(malformed),
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::CONFLICT => {
            let answer: VersionAnswer = serde_json::from_slice(body).map_err(malformed)?;
            Err(PlatformError::Conflict { current: answer.version })
        }
        StatusCode::GONE => Err(PlatformError::WatchTooOld),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Refused(status.to_string()))
        }
        other => Err(PlatformError::Unanswered(other.to_string())),
    }
}

fn required<T>(answer: Option<T>) -> Result<T> {
    answer.ok_or_else(|| PlatformError::Malformed("unexpected 404".to_owned()))
}

impl PlatformApi for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>> {
        self.call(Method::GET, format!("/objects/{key}"), None, "", Duration::ZERO).await
    }

    async fn list(&self, prefix: &str) -> Result<ObjectList> {
        let path = format!("/list/{prefix}");
        required(self.call(Method::GET, path, None, "", Duration::ZERO).await?)
    }

    async fn put(&self, key: &str, expected: ObjectVersion, value: &str) -> Result<ObjectVersion> {
        let path = format!("/objects/{key}");
        let answer: Option<VersionAnswer> =
            self.call(Method::PUT, path, Some(expected), value, Duration::ZERO).await?;
        Ok(required(answer)?.version)
    }

    async fn delete(&self, key: &str, expected: ObjectVersion) -> Result<ObjectVersion> {
        let path = format!("/objects/{key}");
        let answer: Option<VersionAnswer> =
            self.call(Method::DELETE, path, Some(expected), "", Duration::ZERO).await?;
        Ok(required(answer)?.version)
    }

    async fn watch(&self, prefix: &str, since: ObjectVersion, wait: Duration) -> Result<EventList> {
        let path = format!("/watch/{prefix}?since={since}&wait_ms={}", wait.as_millis());
        required(self.call(Method::GET, path, None, "", wait).await?)
    }
}
