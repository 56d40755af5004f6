//! Test stand-in for a caller of `sniperelay serve`. It looks up entry VMs, caches lookup responses,
//! creates idempotency keys, and checks that each response is complete and belongs to its request.
//!
//! The callers in [`crate::soak::caller`] use neither lookups nor keys.

use crate::content::{REQUEST_ID_HEADER, RESPONSE_SIZE_HEADER, SERVICE_TIME_HEADER, matches_content};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sniperelay_node::traffic::headers;
use sniperelay_node::traffic::lookup::{LOOKUP_PATH, LookupAddress, LookupResponse};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Addresses of the entry VMs that serve lookups.
pub type SeedList = Arc<Mutex<Vec<SocketAddr>>>;

/// Maximum number of addresses that a caller tries for one call.
const MAX_ATTEMPTS: usize = 3;

/// Parameters of one call.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path of the request.
    pub path: String,
    /// Identifier of the request, unique within the run.
    pub id: u64,
    /// Service time requested from the target.
    pub service_time: Duration,
    /// Size of the response body requested from the target, in bytes.
    pub response_bytes: usize,
    /// Whether the request must carry an idempotency key.
    pub needs_key: bool,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The complete response to this request.
    Complete,
    /// A response that ended normally, with content of another request or of the wrong length.
    WrongContent,
    /// The response was cut off with a connection error.
    Truncated,
    /// An entry VM responded itself instead of forwarding a response of a target.
    Refused {
        /// Value of the outcome header: `ran`, `not-run` or `unknown`.
        outcome: String,
        /// Value of the reason header.
        reason: String,
    },
    /// An error response from a target.
    TargetError(StatusCode),
    /// No response was received.
    NoResponse,
}

/// Result of a call, as observed by the caller.
#[derive(Debug, Clone)]
pub struct CallerResult {
    /// How the call ended.
    pub end: CallEnd,
    /// Time from the start of the call until the response head was received, including the lookup and
    /// earlier attempts; zero if no request was sent.
    pub head_latency: Duration,
    /// Number of addresses tried, including those that could not be connected to.
    pub attempts: usize,
}

#[derive(Debug, Clone)]
struct CachedLookup {
    addresses: Vec<LookupAddress>,
    expires_at: Instant,
}

/// A caller with its own connections and lookup cache.
#[derive(Debug)]
pub struct CallerStandin {
    domain: Option<String>,
    seeds: SeedList,
    lookups: Mutex<HashMap<String, CachedLookup>>,
    idle_connections: Mutex<HashMap<SocketAddr, Vec<RequestSender>>>,
    next_suffix: AtomicU64,
    next_seed: AtomicU64,
    /// Address that is called without a lookup, if any.
    direct: Option<SocketAddr>,
    /// Maximum number of addresses of a lookup response that are tried.
    max_attempts: usize,
}

impl CallerStandin {
    /// Creates a caller that sends its lookups to `seeds`.
    pub fn new(seeds: Vec<SocketAddr>, domain: Option<String>) -> Self {
        Self::with_seed_list(Arc::new(Mutex::new(seeds)), domain)
    }

    /// Creates a caller whose list of lookup addresses is shared and may change.
    pub fn with_seed_list(seeds: SeedList, domain: Option<String>) -> Self {
        let next_suffix = AtomicU64::new(1);
        let next_seed = AtomicU64::new(0);
        Self {
            domain,
            seeds,
            lookups: Mutex::default(),
            idle_connections: Mutex::default(),
            next_suffix,
            next_seed,
            direct: None,
            max_attempts: MAX_ATTEMPTS,
        }
    }

    /// Creates a caller that calls one target directly, without an entry VM.
    pub fn direct(address: SocketAddr) -> Self {
        Self { direct: Some(address), ..Self::new(vec![address], None) }
    }

    /// Restricts the caller to the first address of each lookup response.
    pub fn without_fallback(mut self) -> Self {
        self.max_attempts = 1;
        self
    }

    /// Performs a call. Tries the next address if a connection fails or no response head arrives, and
    /// repeats the request with the same idempotency key.
    pub async fn call(&self, spec: &CallSpec) -> CallerResult {
        let started = Instant::now();
        let mut result = CallerResult { end: CallEnd::NoResponse, head_latency: Duration::ZERO, attempts: 0 };
        let addresses = self.entry_vm_addresses(&spec.service).await;
        // The key is created once. A repeated request carries the same key, whichever entry VM receives it.
        let mut key = None;
        for address in addresses.iter().take(self.max_attempts) {
            result.attempts += 1;
            let Some(sender) = self.connect(address.address).await else {
                // Nothing was sent. If no key exists yet, it is created from the ticket of the next entry VM.
                self.discard_lookup(&spec.service);
                continue;
            };
            if spec.needs_key && key.is_none() {
                let suffix = self.next_suffix.fetch_add(1, Ordering::Relaxed);
                key = Some(format!("{}-{suffix}-{}", address.ticket, spec.id));
            }
            let response = self.send(sender, address.address, spec, key.as_deref(), started).await;
            (result.end, result.head_latency) = response;
            let is_final = !matches!(result.end, CallEnd::NoResponse);
            if is_final {
                return result;
            }
            self.discard_lookup(&spec.service);
        }
        result
    }

    /// Returns the entry VMs of a service from the lookup cache, or performs a lookup. Returns an empty
    /// list if no entry VM responds to the lookup.
    pub async fn entry_vm_addresses(&self, service: &str) -> Vec<LookupAddress> {
        if let Some(address) = self.direct {
            return vec![LookupAddress { address, ticket: String::new(), domain: String::new() }];
        }
        if let Some(cached) = self.cached_lookup(service) {
            return cached;
        }
        let mut seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let first_seed = self.next_seed.fetch_add(1, Ordering::Relaxed) as usize;
        let count = seeds.len().max(1);
        seeds.rotate_left(first_seed % count);
        for seed in seeds {
            let Some(response) = self.look_up(seed, service).await else { continue };
            let expires_at = Instant::now() + Duration::from_millis(response.keep_ms);
            let cached = CachedLookup { addresses: response.addresses, expires_at };
            let mut lookups = self.lookups.lock().unwrap_or_else(PoisonError::into_inner);
            lookups.insert(service.to_owned(), cached.clone());
            return cached.addresses;
        }
        Vec::new()
    }

    fn cached_lookup(&self, service: &str) -> Option<Vec<LookupAddress>> {
        let lookups = self.lookups.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = lookups.get(service)?;
        (Instant::now() < cached.expires_at).then(|| cached.addresses.clone())
    }

    fn discard_lookup(&self, service: &str) {
        self.lookups.lock().unwrap_or_else(PoisonError::into_inner).remove(service);
    }

    async fn look_up(&self, seed: SocketAddr, service: &str) -> Option<LookupResponse> {
        let mut sender = self.connect(seed).await?;
        let domain = self.domain.as_ref().map(|domain| format!("&domain={domain}")).unwrap_or_default();
        let request = Request::get(format!("{LOOKUP_PATH}?service={service}{domain}"))
            .header("host", "lookup")
            .body(Full::new(Bytes::new()))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    async fn connect(&self, address: SocketAddr) -> Option<RequestSender> {
        while let Some(sender) = self.take_idle(address) {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<RequestSender> {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner).get_mut(&address)?.pop()
    }

    async fn send(
        &self,
        mut sender: RequestSender,
        address: SocketAddr,
        spec: &CallSpec,
        key: Option<&str>,
        started: Instant,
    ) -> (CallEnd, Duration) {
        let mut builder = Request::builder()
            .method(spec.method.clone())
            .uri(spec.path.as_str())
            .header("host", spec.service.as_str())
            .header(REQUEST_ID_HEADER, spec.id)
            .header(RESPONSE_SIZE_HEADER, spec.response_bytes)
            .header(SERVICE_TIME_HEADER, spec.service_time.as_micros() as u64);
        if let Some(key) = key {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key);
        }
        let Ok(request) = builder.body(Full::new(Bytes::new())) else {
            return (CallEnd::NoResponse, Duration::ZERO);
        };
        let Ok(response) = sender.send_request(request).await else {
            return (CallEnd::NoResponse, started.elapsed());
        };
        let latency = started.elapsed();
        let end = read_response(response, spec).await;
        if end != CallEnd::Truncated {
            let mut idle_connections = self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
            idle_connections.entry(address).or_default().push(sender);
        }
        (end, latency)
    }
}

async fn read_response(response: Response<Incoming>, spec: &CallSpec) -> CallEnd {
    let status = response.status();
    let text = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value: &http::HeaderValue| value.to_str().ok())
            .map(str::to_owned)
    };
    let outcome = text(headers::OUTCOME);
    let reason = text(headers::REASON).unwrap_or_default();
    let mut body = response.into_body();
    let mut offset = 0;
    let mut is_matching = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return CallEnd::Truncated };
        if let Some(data) = frame.data_ref() {
            is_matching &= matches_content(spec.id, offset, data);
            offset += data.len();
        }
    }
    if let Some(outcome) = outcome {
        return CallEnd::Refused { outcome, reason };
    }
    if !status.is_success() {
        return CallEnd::TargetError(status);
    }
    if is_matching && offset == spec.response_bytes { CallEnd::Complete } else { CallEnd::WrongContent }
}
