//! Stand-in of a caller: looks up entry VMs, keeps the answer, makes keys, and checks that each
//! answer is the whole answer to its own request.

use crate::content::{ID_HEADER, SIZE_HEADER, TIME_HEADER, is_content};
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

type Sender = http1::SendRequest<Full<Bytes>>;

/// Entry VMs that callers may ask for lookups.
pub type SeedList = Arc<Mutex<Vec<SocketAddr>>>;

/// Addresses that a caller tries for one call.
const MAX_TRIES: usize = 3;

/// One call.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Service.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Number of the request, unique in the run.
    pub id: u64,
    /// Service time at the target.
    pub service_time: Duration,
    /// Size of the answer.
    pub answer_bytes: usize,
    /// Whether a key is needed.
    pub needs_key: bool,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer to this request.
    Whole,
    /// A complete answer with other content than this request's.
    Mixed,
    /// The answer broke off visibly.
    Broken,
    /// The system answered itself.
    Refused {
        /// `ran`, `not-run` or `unknown`.
        outcome: String,
        /// Reason.
        reason: String,
    },
    /// A target's own error answer.
    TargetError(StatusCode),
    /// No answer.
    Unanswered,
}

/// Result of a call.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// How it ended.
    pub end: CallEnd,
    /// Time until the answer began.
    pub head_latency: Duration,
    /// Addresses tried.
    pub tries: usize,
}

#[derive(Debug, Clone)]
struct KeptLookup {
    addresses: Vec<LookupAddress>,
    until: Instant,
}

/// A caller with its own connections and lookup answers.
#[derive(Debug)]
pub struct CallerStandin {
    domain: Option<String>,
    seeds: SeedList,
    lookups: Mutex<HashMap<String, KeptLookup>>,
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
    next_suffix: AtomicU64,
    next_lookup: AtomicU64,
    /// Address to call without a lookup.
    direct: Option<SocketAddr>,
    /// Addresses of a lookup answer that are tried.
    max_tries: usize,
}

impl CallerStandin {
    /// A caller that knows these entry VMs.
    pub fn new(seeds: Vec<SocketAddr>, domain: Option<String>) -> Self {
        Self::with_seed_list(Arc::new(Mutex::new(seeds)), domain)
    }

    /// A caller whose list of entry VMs others may change.
    pub fn with_seed_list(seeds: SeedList, domain: Option<String>) -> Self {
        let next_suffix = AtomicU64::new(1);
        let next_lookup = AtomicU64::new(0);
        Self {
            domain,
            seeds,
            lookups: Mutex::default(),
            idle: Mutex::default(),
            next_suffix,
            next_lookup,
            direct: None,
            max_tries: MAX_TRIES,
        }
    }

    /// A caller that calls one target directly, without an entry VM.
    pub fn direct(address: SocketAddr) -> Self {
        Self { direct: Some(address), ..Self::new(vec![address], None) }
    }

    /// Makes the caller use the first address of a lookup answer only.
    pub fn without_fallback(mut self) -> Self {
        self.max_tries = 1;
        self
    }

    /// Performs a call.
    pub async fn call(&self, spec: &CallSpec) -> CallResult {
        let started = Instant::now();
        let mut result = CallResult { end: CallEnd::Unanswered, head_latency: Duration::ZERO, tries: 0 };
        let addresses = self.addresses(&spec.service).await;
        // A key is made once: a repeated request keeps the key, wherever it goes.
        let mut key = None;
        for address in addresses.iter().take(self.max_tries) {
            result.tries += 1;
            let Some(sender) = self.connect(address.address).await else {
                // Nothing was sent; the next entry VM gets a key of its own.
                self.forget_lookup(&spec.service);
                continue;
            };
            if spec.needs_key && key.is_none() {
                let suffix = self.next_suffix.fetch_add(1, Ordering::Relaxed);
                key = Some(format!("{}-{suffix}-{}", address.ticket, spec.id));
            }
            let answer = self.exchange(sender, address.address, spec, key.as_deref(), started).await;
            (result.end, result.head_latency) = answer;
            let is_final = !matches!(result.end, CallEnd::Unanswered);
            if is_final {
                return result;
            }
            self.forget_lookup(&spec.service);
        }
        result
    }

    /// Looks a service up, or uses the kept answer.
    pub async fn addresses(&self, service: &str) -> Vec<LookupAddress> {
        if let Some(address) = self.direct {
            return vec![LookupAddress { address, ticket: String::new(), domain: String::new() }];
        }
        if let Some(kept) = self.kept_lookup(service) {
            return kept;
        }
        let mut seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let turn = self.next_lookup.fetch_add(1, Ordering::Relaxed) as usize;
        let count = seeds.len().max(1);
        seeds.rotate_left(turn % count);
        for seed in seeds {
            let Some(answer) = self.look_up(seed, service).await else { continue };
            let until = Instant::now() + Duration::from_millis(answer.keep_ms);
            let kept = KeptLookup { addresses: answer.addresses, until };
            let mut lookups = self.lookups.lock().unwrap_or_else(PoisonError::into_inner);
            lookups.insert(service.to_owned(), kept.clone());
            return kept.addresses;
        }
        Vec::new()
    }

    fn kept_lookup(&self, service: &str) -> Option<Vec<LookupAddress>> {
        let lookups = self.lookups.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = lookups.get(service)?;
        (Instant::now() < kept.until).then(|| kept.addresses.clone())
    }

    fn forget_lookup(&self, service: &str) {
        self.lookups.lock().unwrap_or_else(PoisonError::into_inner).remove(service);
    }

    async fn look_up(&self, seed: SocketAddr, service: &str) -> Option<LookupResponse> {
        let mut sender = self.connect(seed).await?;
        let domain = self.domain.as_ref().map(|domain| format!("&domain={domain}")).unwrap_or_default();
        let request = Request::get(format!("{LOOKUP_PATH}?service={service}{domain}"))
            .header("host", "lookup")
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer = sender.send_request(request).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    async fn connect(&self, address: SocketAddr) -> Option<Sender> {
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

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).get_mut(&address)?.pop()
    }

    async fn exchange(
        &self,
        mut sender: Sender,
        address: SocketAddr,
        spec: &CallSpec,
        key: Option<&str>,
        started: Instant,
    ) -> (CallEnd, Duration) {
        let mut builder = Request::builder()
            .method(spec.method.clone())
            .uri(spec.path.as_str())
            .header("host", spec.service.as_str())
            .header(ID_HEADER, spec.id)
            .header(SIZE_HEADER, spec.answer_bytes)
            .header(TIME_HEADER, spec.service_time.as_micros() as u64);
        if let Some(key) = key {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key);
        }
        let Ok(request) = builder.body(Full::new(Bytes::new())) else {
            return (CallEnd::Unanswered, Duration::ZERO);
        };
        let Ok(answer) = sender.send_request(request).await else {
            return (CallEnd::Unanswered, started.elapsed());
        };
        let latency = started.elapsed();
        let end = read_answer(answer, spec).await;
        if end != CallEnd::Broken {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(address).or_default().push(sender);
        }
        (end, latency)
    }
}

async fn read_answer(answer: Response<Incoming>, spec: &CallSpec) -> CallEnd {
    let status = answer.status();
    let text = |name| {
        answer
            .headers()
            .get(name)
            .and_then(|value: &http::HeaderValue| value.to_str().ok())
            .map(str::to_owned)
    };
    let outcome = text(headers::OUTCOME);
    let reason = text(headers::REASON).unwrap_or_default();
    let mut body = answer.into_body();
    let mut offset = 0;
    let mut is_own = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return CallEnd::Broken };
        if let Some(data) = frame.data_ref() {
            is_own &= is_content(spec.id, offset, data);
            offset += data.len();
        }
    }
    if let Some(outcome) = outcome {
        return CallEnd::Refused { outcome, reason };
    }
    if !status.is_success() {
        return CallEnd::TargetError(status);
    }
    if is_own && offset == spec.answer_bytes { CallEnd::Whole } else { CallEnd::Mixed }
}
