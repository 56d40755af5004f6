//! Request bodies on their way from a caller to a target, and the body types of both directions.

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use std::time::Duration;

/// Error of a request or response body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;
/// Body of a request to a target.
pub type RequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// Maximum size of a request body that is read completely before a slot is requested, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Returns a body with the given content.
pub fn full_body(content: impl Into<Bytes>) -> UnsyncBoxBody<Bytes, BodyError> {
    Full::new(content.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reason for which a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFailure {
    /// The body is larger than the limit.
    TooLarge,
    /// The caller did not send the body in time.
    TimedOut,
    /// The caller disconnected before the end of the body.
    Incomplete,
}

/// Request body that has been read completely or in part.
#[derive(Debug)]
pub enum InboundBody {
    /// The complete body.
    Complete(Bytes),
    /// The first part of a larger body, and the unread rest.
    Partial(Bytes, Incoming),
}

/// Reads a request body within `read_timeout`, up to about [`MAX_BUFFERED_BYTES`]. The rest of a larger
/// body remains unread. `limit` is the maximum size of the body in bytes.
///
/// # Errors
///
/// Returns an error if the body is larger than `limit`, or if the timeout expires or the caller
/// disconnects while the body is being read.
pub async fn read_body(
    mut incoming: Incoming,
    limit: u64,
    read_timeout: Duration,
) -> Result<InboundBody, ReadFailure> {
    if incoming.size_hint().lower() > limit {
        return Err(ReadFailure::TooLarge);
    }
    if incoming.is_end_stream() {
        return Ok(InboundBody::Complete(Bytes::new()));
    }
    let buffered = tokio::time::timeout(read_timeout, buffer_body(&mut incoming)).await;
    let (bytes, is_complete) = buffered.map_err(|_| ReadFailure::TimedOut)??;
    if bytes.len() as u64 > limit {
        return Err(ReadFailure::TooLarge);
    }
    Ok(if is_complete { InboundBody::Complete(bytes) } else { InboundBody::Partial(bytes, incoming) })
}

async fn buffer_body(incoming: &mut Incoming) -> Result<(Bytes, bool), ReadFailure> {
    let mut buffer = Vec::new();
    while buffer.len() < MAX_BUFFERED_BYTES {
        match incoming.frame().await {
            None => return Ok((buffer.into(), true)),
            Some(Err(_)) => return Err(ReadFailure::Incomplete),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buffer.extend_from_slice(data);
                }
            }
        }
    }
    let is_complete = incoming.is_end_stream();
    Ok((buffer.into(), is_complete))
}

/// Returns a request body that consists of `head` and of `rest`, which is read from the caller while
/// the body is sent. The body fails if it exceeds `limit` bytes or if the caller sends no frame for
/// `idle_timeout`.
pub fn stream_body(head: Bytes, rest: Incoming, limit: u64, idle_timeout: Duration) -> RequestBody {
    let remaining = limit.saturating_sub(head.len() as u64);
    let state = (Some(head), rest, remaining);
    let frames = futures_util::stream::unfold(state, move |(head, mut rest, remaining)| async move {
        if let Some(head) = head {
            return Some((Ok(Frame::data(head)), (None, rest, remaining)));
        }
        let frame = match tokio::time::timeout(idle_timeout, rest.frame()).await {
            Err(_) => Err(BodyError::from("timeout while reading the request body from the caller")),
            Ok(None) => return None,
            Ok(Some(frame)) => frame.map_err(BodyError::from),
        };
        let size = frame.as_ref().ok().and_then(Frame::data_ref).map_or(0, Bytes::len) as u64;
        let frame = if size > remaining {
            Err(BodyError::from("request body is larger than the limit"))
        } else {
            frame
        };
        Some((frame, (None, rest, remaining.saturating_sub(size))))
    });
    StreamBody::new(frames).boxed_unsync()
}
