//! Callers of the soak, and the log of their requests.
//!
//! They send HTTP/1.1 over plain sockets to the entry VMs of the fleet, without the lookups and
//! idempotency keys of [`crate::caller`].

use crate::soak::fleet::SoakFleet;
use crate::soak::target::{RunCounter, response_body};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of a caller for a connection attempt, and for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);

/// An HTTP/1.1 request or response.
#[derive(Debug)]
pub struct HttpMessage {
    /// Request or status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl HttpMessage {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.clone())
    }

    /// Returns the status code, or 0 if the first line has none.
    pub(super) fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message whose body length is given by `Content-Length`, or 0 without it. Bytes beyond the
/// message stay in the buffer. Returns `None` if the connection ends before the message is complete.
pub async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<HttpMessage> {
    loop {
        if let Some(head_end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..head_end]).to_string();
            let mut lines = head.lines();
            let first_line = lines.next()?.to_owned();
            let split = |line: &str| {
                line.split_once(':').map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
            };
            let headers: Vec<(String, String)> = lines.filter_map(split).collect();
            let mut message = HttpMessage { first_line, headers, body: String::new() };
            let length: usize =
                message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if buffer.len() >= head_end + 4 + length {
                let bytes: Vec<u8> = buffer.drain(..head_end + 4 + length).skip(head_end + 4).collect();
                message.body = String::from_utf8_lossy(&bytes).to_string();
                return Some(message);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// A request that a caller sent, and its response.
#[derive(Debug)]
struct RequestRecord {
    id: String,
    is_claim: bool,
    /// Status of the response; `None` if no complete response arrived.
    status: Option<u16>,
    /// Whether the body is the one that belongs to this request.
    has_expected_body: bool,
    /// Time from the start of the request to its response, or to the end of its connection.
    duration: Duration,
}

/// Requests and responses of all callers.
#[derive(Debug, Clone, Default)]
pub struct RequestLog {
    requests: Arc<Mutex<Vec<RequestRecord>>>,
    is_stopped: Arc<AtomicBool>,
}

impl RequestLog {
    fn lock(&self) -> MutexGuard<'_, Vec<RequestRecord>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the callers to stop after their current request.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the callers have to stop.
    pub(super) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Adds a request, its response, and the time that it took.
    pub(super) fn record(
        &self,
        id: String,
        is_claim: bool,
        response: Option<&HttpMessage>,
        duration: Duration,
    ) {
        let status = response.map(HttpMessage::status);
        let has_expected_body = response.is_some_and(|response| response.body == response_body(&id));
        self.lock().push(RequestRecord { id, is_claim, status, has_expected_body, duration });
    }

    /// Returns a description of each request whose connection was closed without an answer though it ran, or later than
    /// `slack` after it had been sent.
    pub(super) fn find_cut_requests(&self, run_counter: &RunCounter, slack: Duration) -> Vec<String> {
        let requests = self.lock();
        let unanswered = requests.iter().filter(|request| request.status.is_none());
        let cut = unanswered.filter_map(|request| {
            let (runs, after) = (run_counter.runs(&request.id), request.duration);
            let is_cut = runs > 0 || after > slack;
            is_cut
                .then(|| format!("request {} got no answer in {after:.1?}, and ran {runs} times", request.id))
        });
        cut.collect()
    }

    /// Returns the number of requests sent and the number of responses with status 200.
    pub fn counts(&self) -> (usize, usize) {
        let requests = self.lock();
        (requests.len(), requests.iter().filter(|request| request.status == Some(200)).count())
    }

    /// Returns a description of each violated guarantee.
    pub fn find_violations(&self, run_counter: &RunCounter) -> Vec<String> {
        let requests = self.lock();
        let violations = requests.iter().filter_map(|request| {
            let runs = run_counter.runs(&request.id);
            let id = &request.id;
            match request.status {
                _ if request.is_claim && runs > 1 => Some(format!("claim {id} ran {runs} times")),
                Some(status @ (429 | 503 | 408 | 421)) if request.is_claim && runs > 0 => {
                    Some(format!("claim {id} ran, but its response had status {status}"))
                }
                Some(200) if !request.has_expected_body => {
                    Some(format!("request {id} got a response body other than its own"))
                }
                Some(200) if runs == 0 => Some(format!("request {id} got status 200, but never ran")),
                Some(404) => Some(format!("request {id} got status 404, although its route always existed")),
                _ => None,
            }
        });
        violations.collect()
    }
}

/// Sends requests until the log is stopped. Reuses connections where possible.
pub async fn run_caller(fleet: SoakFleet, request_log: RequestLog, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut idle_stream: Option<TcpStream> = None;
    let mut number = 0u64;
    while !request_log.is_stopped() {
        number += 1;
        let is_claim = rng.random_bool(0.4);
        let id = format!("{seed:x}-{number:x}");
        let mut stream = match idle_stream.take() {
            Some(stream) => stream,
            None => match connect(&fleet, rng.random_range(0..usize::MAX)).await {
                Some(stream) => stream,
                None => continue,
            },
        };
        let sent_at = Instant::now();
        let response = send_request(&mut stream, &id, is_claim).await;
        let is_reusable = response.as_ref().is_some_and(|response| response.header("connection").is_none());
        request_log.record(id, is_claim, response.as_ref(), sent_at.elapsed());
        if is_reusable && rng.random_bool(0.9) {
            idle_stream = Some(stream);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

/// Sends `count` reads, each on a new connection. Returns a description of each one that is not served: its ID,
/// and the status and reason of the response.
pub async fn send_final_reads(fleet: &SoakFleet, request_log: &RequestLog, count: usize) -> Vec<String> {
    let mut unserved = Vec::new();
    for number in 0..count {
        let id = format!("proof-{number}");
        let Some(mut stream) = connect(fleet, number).await else {
            unserved.push(format!("{id}: no connection"));
            continue;
        };
        let sent_at = Instant::now();
        let response = send_request(&mut stream, &id, false).await;
        match &response {
            Some(response) if response.status() == 200 => {}
            Some(response) => {
                let reason = response.header("sniperelay-reason").unwrap_or_default();
                unserved.push(format!("{id}: {} {reason}", response.status()));
            }
            None => unserved.push(format!("{id}: no response")),
        }
        request_log.record(id, false, response.as_ref(), sent_at.elapsed());
    }
    unserved
}

/// Connects to an entry VM. Returns `None` after a short pause if the connection fails or times out.
pub(super) async fn connect(fleet: &SoakFleet, index: usize) -> Option<TcpStream> {
    let connect = TcpStream::connect(fleet.caller_address(index));
    match tokio::time::timeout(REQUEST_TIMEOUT, connect).await {
        Ok(Ok(stream)) => Some(stream),
        _ => {
            tokio::time::sleep(Duration::from_millis(20)).await;
            None
        }
    }
}

/// Sends a claim or a read. Returns `None` if no complete response arrives.
async fn send_request(stream: &mut TcpStream, id: &str, is_claim: bool) -> Option<HttpMessage> {
    let (method, path) = if is_claim { ("POST", "/claim/1") } else { ("GET", "/read/1") };
    let body = if is_claim { "Content-Length: 4\r\n\r\nbody" } else { "\r\n" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n{body}"
    );
    exchange(stream, &request).await
}

/// Sends a request. Returns `None` if no complete response arrives.
pub(super) async fn exchange(stream: &mut TcpStream, request: &str) -> Option<HttpMessage> {
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut buffer = Vec::new();
    tokio::time::timeout(REQUEST_TIMEOUT, read_message(stream, &mut buffer)).await.ok()?
}
