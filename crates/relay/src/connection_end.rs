//! How caller connections end, and the report about requests that got no response on them.
//!
//! A request gets no response if its caller ends the connection while it is in flight, or if its bytes arrive
//! after this process has closed the connection. Both are counted, and logged with the request's ID where it
//! is known.

use crate::decision_log::DecisionKind;
use crate::request_head::parse_head;
use crate::shared_state::RelayState;
use bytes::BytesMut;
use http::HeaderValue;
use sniperelay_hosted::headers::REQUEST_ID;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Reason why a caller connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The last response announced the end.
    Responded,
    /// The caller closed its sending side.
    CallerClosed,
    /// No request was sent within the idle timeout.
    IdleTimeout,
    /// It was idle, and others need its place.
    MadeRoom,
    /// This process is shutting down.
    ShuttingDown,
    /// Reading or writing failed.
    Failed,
}

impl ConnectionEnd {
    /// Returns whether the caller may still be reading a response that has just been written.
    pub fn follows_response(self) -> bool {
        matches!(self, Self::Responded | Self::CallerClosed)
    }

    /// Returns the name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Responded => "responded",
            Self::CallerClosed => "caller-closed",
            Self::IdleTimeout => "idle-timeout",
            Self::MadeRoom => "made-room",
            Self::ShuttingDown => "shutting-down",
            Self::Failed => "failed",
        }
    }
}

/// Maximum number of bytes that are kept of what arrives after the close, to find the ID of a request.
pub const MAX_LATE_BYTES: usize = 4096;

/// Counts and logs a request that was in flight when its connection ended.
pub fn report_cancelled(state: &RelayState, end: ConnectionEnd, request_id: Option<&HeaderValue>) {
    state.metrics.process().requests_cancelled.fetch_add(1, Ordering::Relaxed);
    log_unanswered(state, end, request_id, "in flight at the end of its connection");
}

/// Counts and logs bytes that arrived after this process had closed a connection. `bytes` is their beginning,
/// `idle` the time for which the connection had been idle when it was closed.
pub fn report_late_bytes(state: &RelayState, end: ConnectionEnd, bytes: &[u8], idle: Duration) {
    state.metrics.process().requests_discarded.fetch_add(1, Ordering::Relaxed);
    let head = parse_head(&mut BytesMut::from(bytes), MAX_LATE_BYTES).ok().flatten();
    let request_id = head.as_ref().and_then(|head| head.headers.get(REQUEST_ID));
    let text = format!("arrived after the close of its connection, which had been idle for {idle:?}");
    log_unanswered(state, end, request_id, &text);
}

fn log_unanswered(state: &RelayState, end: ConnectionEnd, request_id: Option<&HeaderValue>, text: &str) {
    let kind = DecisionKind::Unanswered;
    let Some(suppressed_lines) = state.decisions.admit(kind, end.as_str(), Instant::now()) else { return };
    let id = request_id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    log::info!(
        target: "request",
        request = id, decision = kind.as_str(), left_out = suppressed_lines;
        "request {id} {}: {text} ({})", kind.as_str(), end.as_str()
    );
}
