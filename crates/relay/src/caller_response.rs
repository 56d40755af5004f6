//! Responses to callers and their encoding.

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use sniperelay_core::memory_budget::MemoryShare;
use sniperelay_core::reason::{Outcome, RefusalReason};
use sniperelay_node::traffic::connection_reuse::stated_idle_seconds;
use sniperelay_node::traffic::headers as relay_headers;
use std::time::Duration;

/// A complete response to a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// Response status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Content length of a body that is not sent, as in a response to `HEAD`.
    pub declared_length: Option<HeaderValue>,
    /// Memory of the body of a target's response. It is returned when the response has been written.
    pub memory: Option<MemoryShare>,
}

/// What a response states about further requests on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The connection is closed after the response.
    Closed,
    /// The connection may be reused after it has been idle for at most this time. With 0 seconds, no time is
    /// stated.
    Idle {
        /// Idle time in seconds, the unit of the header.
        seconds: u64,
    },
}

impl ConnectionReuse {
    /// Returns what to state on a connection that is closed after `idle_timeout` without a request.
    pub fn within(idle_timeout: Duration) -> Self {
        Self::Idle { seconds: stated_idle_seconds(idle_timeout) }
    }
}

/// End of a request without a target's response: the reason, and whether the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayRefusal {
    /// Reason why there is no response of a target.
    pub reason: RefusalReason,
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// Time after which the caller may retry; `None` if the request may have run.
    pub retry_after: Option<Duration>,
}

impl RelayRefusal {
    /// Creates the refusal of a request that no target has run or will run.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: Some(retry_after) }
    }

    /// Creates the refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Returns the status of the response. Statuses 503 and 429 guarantee that the request did not run.
    pub fn status(&self) -> StatusCode {
        match (self.outcome, self.reason) {
            (_, RefusalReason::UnknownRank | RefusalReason::UnknownService) => StatusCode::NOT_FOUND,
            (_, RefusalReason::BadRequest) => StatusCode::BAD_REQUEST,
            (Outcome::NotRun, RefusalReason::ApiKeyUnknown) => StatusCode::UNAUTHORIZED,
            (Outcome::NotRun, RefusalReason::AccountLimit) => StatusCode::TOO_MANY_REQUESTS,
            (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
            (_, RefusalReason::TargetTimeout) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

impl CallerResponse {
    /// Creates the response to a refused request.
    pub fn from_refusal(refusal: &RelayRefusal) -> Self {
        let status = refusal.status();
        let mut headers = HeaderMap::new();
        headers.insert(relay_headers::REASON, HeaderValue::from_static(refusal.reason.as_str()));
        headers.insert(relay_headers::OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
        let invites_retry = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        if let Some(delay) = refusal.retry_after.filter(|_| invites_retry) {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        Self { status, headers, body: Bytes::new(), declared_length: None, memory: None }
    }

    /// Creates a response with a status but no headers and no body.
    pub fn status_only(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new(), declared_length: None, memory: None }
    }

    /// Writes the head to `buffer`, followed by the body if it is small. Returns the body that remains
    /// to be written.
    pub fn encode(self, method: &Method, reuse: ConnectionReuse, buffer: &mut BytesMut) -> Bytes {
        buffer.reserve(512);
        buffer.put_slice(b"HTTP/1.1 ");
        buffer.put_slice(self.status.as_str().as_bytes());
        buffer.put_u8(b' ');
        buffer.put_slice(self.status.canonical_reason().unwrap_or("").as_bytes());
        buffer.put_slice(b"\r\n");
        for (name, value) in &self.headers {
            put_header(buffer, name.as_str(), value.as_bytes());
        }
        let has_no_body = self.status == StatusCode::NO_CONTENT || self.status == StatusCode::NOT_MODIFIED;
        match self.declared_length {
            Some(length) => put_header(buffer, "content-length", length.as_bytes()),
            None if has_no_body || (*method == Method::HEAD && self.body.is_empty()) => {}
            None => put_header(buffer, "content-length", self.body.len().to_string().as_bytes()),
        }
        match reuse {
            ConnectionReuse::Closed => put_header(buffer, "connection", b"close"),
            ConnectionReuse::Idle { seconds: 0 } => {}
            ConnectionReuse::Idle { seconds } => {
                put_header(buffer, "keep-alive", format!("timeout={seconds}").as_bytes());
            }
        }
        buffer.put_slice(b"\r\n");
        if self.body.len() > MAX_INLINE_BODY_BYTES {
            return self.body;
        }
        buffer.put_slice(&self.body);
        Bytes::new()
    }
}

/// Maximum size of a body that is copied into the buffer after its head and written together with it,
/// in bytes.
const MAX_INLINE_BODY_BYTES: usize = 16 * 1024;

fn put_header(buffer: &mut BytesMut, name: &str, value: &[u8]) {
    buffer.put_slice(name.as_bytes());
    buffer.put_slice(b": ");
    buffer.put_slice(value);
    buffer.put_slice(b"\r\n");
}
