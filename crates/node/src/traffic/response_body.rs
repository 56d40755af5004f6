//! Response bodies on their way from a target to a caller.
//!
//! Invariants:
//!
//! - A body ends cleanly for the caller only if it ended cleanly at the target. A body that breaks off,
//!   exceeds a limit, or is cut because its caller does not read it ends with an error, so that the
//!   server closes the caller's connection or resets the stream.
//! - The end of a body that has neither a length nor chunks is the end of its connection, which looks the
//!   same as a break-off. Such a body therefore ends with an error, too.
//! - The slot of an attempt is held until its body has ended or the attempt is cancelled.
//! - At most [`MAX_BUFFERED_FRAMES`] frames of a body are in memory, each no larger than the read buffer
//!   of the connection ([`crate::traffic::pool::READ_BUFFER_BYTES`]).

use crate::dispatcher_handle::AttemptSlot;
use crate::metrics::ProcessCounters;
use crate::traffic::body::{BodyError, ResponseBody};
use crate::traffic::pool::PooledConnection;
use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Maximum size of a response body that is forwarded without the frame buffer, in bytes.
const MAX_DIRECT_BYTES: u64 = 64 * 1024;
/// Maximum number of buffered frames of a larger response body.
const MAX_BUFFERED_FRAMES: usize = 16;

/// Limits of the response body of one request.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: u64,
    /// Maximum time from the response head to the end of the body.
    pub time: Duration,
    /// Maximum time without progress, at the target or at the caller.
    pub idle_time: Duration,
}

/// What is held until a response body has ended.
#[derive(Debug)]
pub struct AttemptResources {
    /// Connection on which the body arrives.
    pub connection: PooledConnection,
    /// Slot of the attempt; `None` for a request that was forwarded to another entry VM.
    pub slot: Option<AttemptSlot>,
}

/// Body of a response from a target, with the resources that it holds.
#[derive(Debug)]
pub struct TargetBody {
    incoming: Incoming,
    resources: Option<AttemptResources>,
    /// Whether the message itself states where the body ends.
    has_framing: bool,
    /// Number of further bytes that are accepted.
    remaining_bytes: u64,
    /// Time by which the body must have ended.
    ends_by: Instant,
    counters: Arc<ProcessCounters>,
}

impl TargetBody {
    /// Creates the body of a response whose head was just received.
    pub fn new(
        response: Response<Incoming>,
        resources: AttemptResources,
        limits: BodyLimits,
        counters: Arc<ProcessCounters>,
    ) -> Self {
        let headers = response.headers();
        let has_framing = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let incoming = response.into_body();
        Self {
            has_framing: has_framing || incoming.is_end_stream(),
            incoming,
            resources: Some(resources),
            remaining_bytes: limits.bytes,
            ends_by: Instant::now() + limits.time,
            counters,
        }
    }

    /// Releases the slot after a clean end, and returns the connection to the pool.
    fn release_complete(&mut self) {
        let Some(AttemptResources { connection, slot }) = self.resources.take() else { return };
        connection.return_to_pool();
        if let Some(slot) = slot {
            slot.record_complete_body();
        }
    }

    /// Releases the slot after a body that broke off, and closes the connection.
    fn release_broken(&mut self, cause: &dyn std::fmt::Display) {
        let Some(AttemptResources { connection, slot }) = self.resources.take() else { return };
        log::info!("response body from {} cut: {cause}", connection.address());
        self.counters.responses_cut.fetch_add(1, Ordering::Relaxed);
        drop(connection);
        if let Some(slot) = slot {
            slot.record_broken_body();
        }
    }

    fn check_limits(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let size = frame.data_ref().map_or(0, Bytes::len) as u64;
        if size > self.remaining_bytes {
            return Err("larger than the limit".into());
        }
        if Instant::now() > self.ends_by {
            return Err("not complete within the time limit".into());
        }
        self.remaining_bytes -= size;
        Ok(frame)
    }

    fn handle_end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.has_framing {
            self.release_complete();
            return None;
        }
        let error = "ended with its connection, without a length or chunks";
        self.release_broken(&error);
        Some(Err(error.into()))
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(frame) = ready!(Pin::new(&mut self.incoming).poll_frame(context)) else {
            return Poll::Ready(self.handle_end());
        };
        let frame = frame.map_err(BodyError::from).and_then(|frame| self.check_limits(frame));
        match &frame {
            Err(error) => self.release_broken(error),
            Ok(_) if self.has_framing && self.incoming.is_end_stream() => self.release_complete(),
            Ok(_) => {}
        }
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.has_framing && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Converts the body received from a target to the body sent to the caller.
///
/// A body that may be larger than `MAX_DIRECT_BYTES` passes through a bounded buffer. If the buffer
/// stays full for the idle time, the body is cut, so that a slow caller does not hold the slot. If the
/// target sends nothing for this time, the body fails.
pub fn forward_body(mut body: TargetBody, limits: BodyLimits) -> ResponseBody {
    if body.is_end_stream() {
        body.release_complete();
    }
    let is_small = body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_DIRECT_BYTES);
    if is_small {
        return body.boxed_unsync();
    }
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let size = body.size_hint();
    tokio::spawn(forward_frames(body, sender, limits));
    BufferedBody { receiver, size, has_ended: false }.boxed_unsync()
}

/// Part of a body in the frame buffer.
enum BodyPart {
    Frame(Frame<Bytes>),
    Failure(BodyError),
    /// The clean end. A buffer that closes without it belongs to a body that was cut.
    End,
}

async fn forward_frames(mut body: TargetBody, sender: mpsc::Sender<BodyPart>, limits: BodyLimits) {
    let mut is_last = false;
    while !is_last {
        let wait = limits.idle_time.min(body.ends_by.saturating_duration_since(Instant::now()));
        let part = match tokio::time::timeout(wait, body.frame()).await {
            Ok(Some(Ok(frame))) => BodyPart::Frame(frame),
            Ok(Some(Err(error))) => BodyPart::Failure(error),
            Ok(None) => BodyPart::End,
            Err(_) => {
                let error = "timeout while reading the response body from the target";
                body.release_broken(&error);
                BodyPart::Failure(error.into())
            }
        };
        is_last = !matches!(part, BodyPart::Frame(_));
        if !send_part(&sender, part, limits.idle_time).await {
            return;
        }
    }
}

/// Sends a part to the caller's side. Returns false if the caller does not read it in time or is gone.
async fn send_part(sender: &mpsc::Sender<BodyPart>, part: BodyPart, idle_time: Duration) -> bool {
    match tokio::time::timeout(idle_time, sender.send(part)).await {
        Ok(Ok(())) => true,
        // The caller has disconnected or cancelled the stream.
        Ok(Err(_)) => false,
        Err(_) => {
            log::info!("response body cut: its caller has read nothing for {idle_time:?}");
            false
        }
    }
}

/// Receiving end of a buffered body. It reports the announced size, so that a body that ends before
/// this size does not end cleanly.
struct BufferedBody {
    receiver: mpsc::Receiver<BodyPart>,
    size: SizeHint,
    has_ended: bool,
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let part = ready!(self.receiver.poll_recv(context));
        self.has_ended = !matches!(part, Some(BodyPart::Frame(_)));
        Poll::Ready(match part {
            Some(BodyPart::Frame(frame)) => Some(Ok(frame)),
            Some(BodyPart::Failure(error)) => Some(Err(error)),
            Some(BodyPart::End) => None,
            None => Some(Err("cut because its caller did not read it".into())),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.has_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
