//! One attempt to send a request to a target.
//!
//! A response counts as the response to this attempt only if it returns the attempt's ID. On a new
//! connection, a response without an ID is accepted, too, because nothing else can arrive there; such a
//! connection is not reused.
//!
//! A connection is reused within the idle time that its peer states. Entry VMs close idle connections sooner
//! than most targets: a connection to one that states no time is not reused.

use crate::dispatcher_handle::AttemptSlot;
use crate::shared_state::ClaimedKey;
use crate::traffic::body::RequestBody;
use crate::traffic::connection_reuse::{NON_IDEMPOTENT_MAX_IDLE, keep_alive_time};
use crate::traffic::headers;
use crate::traffic::pool::{MAX_IDLE_TIME, PooledConnection, TargetPool};
use crate::wall_clock;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use sniperelay_core::dispatch::AttemptFailure;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Deadline of an attempt on two clocks. The monotonic clock stops while the machine is suspended, the
/// wall clock does not.
#[derive(Debug, Clone, Copy)]
pub struct AttemptDeadline {
    /// Deadline on the monotonic clock.
    pub monotonic: Instant,
    /// Deadline on the wall clock, as the time since the Unix epoch.
    pub wall: Duration,
}

impl AttemptDeadline {
    /// Creates a deadline at `monotonic` and at the corresponding wall-clock time.
    pub fn at(monotonic: Instant) -> Self {
        let remaining = monotonic.saturating_duration_since(Instant::now());
        Self { monotonic, wall: wall_clock::since_epoch() + remaining }
    }

    /// Returns the time until the deadline, on the clock on which less time remains. Returns zero once
    /// the deadline has passed on either clock.
    pub fn remaining(&self) -> Duration {
        let wall_remaining = self.wall.saturating_sub(wall_clock::since_epoch());
        self.monotonic.saturating_duration_since(Instant::now()).min(wall_remaining)
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The response head was received.
    Responded {
        /// The response.
        response: Box<Response<Incoming>>,
        /// The connection on which the response body arrives.
        connection: PooledConnection,
        /// Slot of the attempt; `None` for a request that is forwarded to another entry VM.
        slot: Option<AttemptSlot>,
    },
    /// The attempt failed.
    Failed {
        /// Type of the failure.
        failure: AttemptFailure,
        /// Slot of the attempt; `None` for a request that is forwarded to another entry VM.
        slot: Option<AttemptSlot>,
    },
    /// Nothing was sent, because the deadline had passed or the key must not be sent.
    NotSent,
}

/// Sends the request to the target or entry VM at `address` and waits for the response head. Updates
/// the state of `key` accordingly.
///
/// The request is written to at most one connection. If a reused connection was closed before any byte
/// of the request was written to it, another connection is used.
pub async fn run_attempt(
    pool: TargetPool,
    address: SocketAddr,
    mut request: Request<RequestBody>,
    deadline: AttemptDeadline,
    key: Option<Arc<ClaimedKey>>,
    slot: Option<AttemptSlot>,
) -> AttemptResult {
    // Only requests with a key are forwarded to other entry VMs.
    let is_idempotent = key.is_none() && slot.is_some();
    let max_idle = if is_idempotent { MAX_IDLE_TIME } else { NON_IDEMPOTENT_MAX_IDLE };
    loop {
        let Ok(mut connection) = pool.take_fresh(address, max_idle).await else {
            return AttemptResult::Failed { failure: AttemptFailure::Connect, slot };
        };
        let Some(sender) = connection.sender() else { continue };
        if sender.ready().await.is_err() {
            if connection.is_reused {
                continue;
            }
            return AttemptResult::Failed { failure: AttemptFailure::Connect, slot };
        }
        // The deadline is checked immediately before the write, so that a process that was suspended
        // does not send an overdue request.
        let remaining = deadline.remaining();
        if remaining.is_zero() || key.as_ref().is_some_and(|key| !key.mark_sent()) {
            return AttemptResult::NotSent;
        }
        headers::set_number(request.headers_mut(), headers::DEADLINE_MS, remaining.as_millis() as u64);
        let attempt_id = HeaderValue::from(rand::random::<u64>());
        request.headers_mut().insert(headers::ATTEMPT, attempt_id.clone());
        match sender.try_send_request(request).await {
            Ok(response) => {
                return classify_response(response, &attempt_id, connection, slot, key.as_deref());
            }
            Err(mut error) => match error.take_message() {
                // The connection was already closed, and no byte of the request was written to it.
                Some(unsent) if connection.is_reused => {
                    key.iter().for_each(|key| key.mark_refused());
                    request = unsent;
                }
                Some(_) => {
                    key.iter().for_each(|key| key.mark_refused());
                    return AttemptResult::Failed { failure: AttemptFailure::Connect, slot };
                }
                None => return AttemptResult::Failed { failure: AttemptFailure::ConnectionLost, slot },
            },
        }
    }
}

fn classify_response(
    response: Response<Incoming>,
    attempt_id: &HeaderValue,
    mut connection: PooledConnection,
    slot: Option<AttemptSlot>,
    key: Option<&ClaimedKey>,
) -> AttemptResult {
    match response.headers().get(headers::ATTEMPT) {
        Some(returned_id) if returned_id == attempt_id => {}
        None if !connection.is_reused => connection.forbid_reuse(),
        returned_id => {
            log::warn!(
                "response from {} belongs to another request (attempt {returned_id:?}); connection closed",
                connection.address()
            );
            return AttemptResult::Failed { failure: AttemptFailure::ConnectionLost, slot };
        }
    }
    if !headers::is_final_status(response.status()) {
        log::warn!(
            "response from {} has the status {}; connection closed",
            connection.address(),
            response.status()
        );
        return AttemptResult::Failed { failure: AttemptFailure::ConnectionLost, slot };
    }
    match keep_alive_time(response.headers()) {
        Some(time) => connection.set_max_idle_time(time),
        None if slot.is_none() => connection.forbid_reuse(),
        None => {}
    }
    if response.headers().contains_key(headers::REFUSED) && response.status().is_server_error() {
        key.iter().for_each(|key| key.mark_refused());
        return AttemptResult::Failed { failure: AttemptFailure::Refused, slot };
    }
    key.iter().for_each(|key| key.mark_ran(response.status().as_u16()));
    AttemptResult::Responded { response: Box::new(response), connection, slot }
}
