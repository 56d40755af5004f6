//! Request and response bodies.
//!
//! A response body that is truncated must also be truncated for the caller. Body errors are
//! therefore forwarded, so that the server closes the caller's connection without a clean end. The
//! slot of an attempt is held until its response body has ended or the attempt is cancelled.

use crate::dispatcher_handle::AttemptSlot;
use crate::traffic::pool::PooledConnection;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// Error of a request or response body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;
/// Body of a request to a target.
pub type RequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// Maximum size of a request body that is read completely before a slot is requested, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum size of a response body that is forwarded without the frame buffer, in bytes.
const MAX_DIRECT_BYTES: u64 = 64 * 1024;
/// Maximum number of buffered frames of a larger response body.
const MAX_BUFFERED_FRAMES: usize = 16;

/// Returns a body with the given content.
pub fn full_body(content: impl Into<Bytes>) -> UnsyncBoxBody<Bytes, BodyError> {
    Full::new(content.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Body of a response from a target, with the slot and the connection that it holds.
#[derive(Debug)]
pub struct TargetBody {
    incoming: Incoming,
    held: Option<(Option<AttemptSlot>, PooledConnection)>,
}

impl TargetBody {
    /// Creates the body of a response whose head was just received.
    pub fn new(incoming: Incoming, slot: Option<AttemptSlot>, connection: PooledConnection) -> Self {
        Self { incoming, held: Some((slot, connection)) }
    }

    /// Releases the slot. Returns the connection to the pool after a clean end, and closes it otherwise.
    fn release(&mut self, is_clean: bool) {
        if let Some((slot, connection)) = self.held.take() {
            if is_clean {
                connection.return_to_pool();
            }
            drop(slot);
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.release(true),
            Poll::Ready(Some(Err(_))) => self.release(false),
            Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => self.release(true),
            _ => {}
        }
        polled.map(|frame| frame.map(|result| result.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Converts the body received from a target to the body sent to the caller.
///
/// A body that may be larger than `MAX_DIRECT_BYTES` passes through a bounded buffer. If the buffer
/// stays full for `idle_timeout`, the body is dropped, so that a slow caller does not hold the slot. If
/// the target sends nothing for this time, the body fails.
pub fn forward_body(mut body: TargetBody, idle_timeout: Duration) -> ResponseBody {
    if body.is_end_stream() {
        body.release(true);
    }
    let is_small = body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_DIRECT_BYTES);
    if is_small {
        return body.boxed_unsync();
    }
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let size = body.size_hint();
    tokio::spawn(forward_frames(body, sender, idle_timeout));
    ChannelBody { receiver, size }.boxed_unsync()
}

async fn forward_frames(
    mut body: TargetBody,
    sender: mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    idle_timeout: Duration,
) {
    loop {
        let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_) => Err("timeout while reading the response body from the target".into()),
        };
        let is_broken = frame.is_err();
        let sent = tokio::time::timeout(idle_timeout, sender.send(frame)).await;
        if is_broken || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Receiving end of a buffered body. It reports the announced size, so that a body that ends before
/// this size does not end cleanly.
struct ChannelBody {
    receiver: mpsc::Receiver<Result<Frame<Bytes>, BodyError>>,
    size: SizeHint,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.receiver.poll_recv(context)
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
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
