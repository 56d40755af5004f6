//! Answers as bytes.

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use sniperelay_core::reason::{Outcome, RefusalReason};
use sniperelay_node::traffic::headers as relay_headers;
use std::time::Duration;

/// A whole answer.
#[derive(Debug)]
pub struct CallerResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers without those that concern only one connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Length that the answer states for a body that is not sent, as with `HEAD`.
    pub declared_length: Option<HeaderValue>,
}

/// A request that ended here, why, and what is known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// What is known.
    pub outcome: Outcome,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl RelayRefusal {
    /// A request that no target ran and none will.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: Some(retry_after) }
    }

    /// A request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Status of the answer. `503` promises that the request did not run.
    pub fn status(&self) -> StatusCode {
        match (self.outcome, self.reason) {
            (_, RefusalReason::UnknownRank | RefusalReason::UnknownService) => StatusCode::NOT_FOUND,
            (_, RefusalReason::BadRequest) => StatusCode::BAD_REQUEST,
            (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
            (_, RefusalReason::TargetTimeout) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

impl CallerResponse {
    /// The answer to a refused request.
    pub fn from_refusal(refusal: &RelayRefusal) -> Self {
        let status = refusal.status();
        let mut headers = HeaderMap::new();
        headers.insert(relay_headers::REASON, HeaderValue::from_static(refusal.reason.as_str()));
        headers.insert(relay_headers::OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
        if let Some(delay) = refusal.retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        Self { status, headers, body: Bytes::new(), declared_length: None }
    }

    /// An answer with a status alone.
    pub fn status_only(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new(), declared_length: None }
    }

    /// Writes the head, and the body if it is small enough to go along; returns what is left.
    pub fn encode(self, method: &Method, close_connection: bool, buffer: &mut BytesMut) -> Bytes {
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
        if close_connection {
            put_header(buffer, "connection", b"close");
        }
        buffer.put_slice(b"\r\n");
        if self.body.len() > MAX_INLINE_BODY_BYTES {
            return self.body;
        }
        buffer.put_slice(&self.body);
        Bytes::new()
    }
}

/// Bodies up to this size are copied behind their head and written with it.
const MAX_INLINE_BODY_BYTES: usize = 16 * 1024;

fn put_header(buffer: &mut BytesMut, name: &str, value: &[u8]) {
    buffer.put_slice(name.as_bytes());
    buffer.put_slice(b": ");
    buffer.put_slice(value);
    buffer.put_slice(b"\r\n");
}
