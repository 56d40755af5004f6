//! One attempt to send a request to a target.

use crate::dispatcher_handle::AttemptSlot;
use crate::shared_state::ClaimedKey;
use crate::traffic::body::RequestBody;
use crate::traffic::headers;
use crate::traffic::pool::{PooledConnection, TargetPool};
use crate::wall_clock;
use http::{Request, Response};
use hyper::body::Incoming;
use sniperelay_core::dispatch::AttemptFailure;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit of an attempt on two clocks. The monotonic clock stops while the machine is suspended,
/// the wall clock does not.
#[derive(Debug, Clone, Copy)]
pub struct AttemptDeadline {
    /// End on the monotonic clock.
    pub monotonic: Instant,
    /// End on the wall clock, as the time since the Unix epoch.
    pub wall: Duration,
}

impl AttemptDeadline {
    /// Creates a limit that ends at `monotonic`.
    pub fn at(monotonic: Instant) -> Self {
        let remaining = monotonic.saturating_duration_since(Instant::now());
        Self { monotonic, wall: wall_clock::since_epoch() + remaining }
    }

    /// Returns the remaining time, on the clock on which less remains.
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
        /// The slot, if the target has slots.
        slot: Option<AttemptSlot>,
    },
    /// The attempt failed.
    Failed {
        /// Type of the failure.
        failure: AttemptFailure,
        /// The slot, if the target has slots.
        slot: Option<AttemptSlot>,
    },
    /// Nothing was sent, because the time limit had passed or the key must not be sent.
    NotSent,
}

/// Sends the request to the target at `address` and waits for the response head.
///
/// At most one connection takes the request. If a pooled connection turns out to be closed before it
/// has taken any byte of the request, another connection is used.
pub async fn run_attempt(
    pool: TargetPool,
    address: SocketAddr,
    mut request: Request<RequestBody>,
    deadline: AttemptDeadline,
    key: Option<Arc<ClaimedKey>>,
    slot: Option<AttemptSlot>,
) -> AttemptResult {
    loop {
        let Ok(mut connection) = pool.take(address).await else {
            return AttemptResult::Failed { failure: AttemptFailure::Connect, slot };
        };
        let Some(sender) = connection.sender() else { continue };
        if sender.ready().await.is_err() {
            if connection.is_reused {
                continue;
            }
            return AttemptResult::Failed { failure: AttemptFailure::Connect, slot };
        }
        // Checked last before the write, so that a process that was suspended does not send a
        // request after its time limit.
        let remaining = deadline.remaining();
        if remaining.is_zero() || key.as_ref().is_some_and(|key| !key.mark_sent()) {
            return AttemptResult::NotSent;
        }
        headers::set_number(request.headers_mut(), headers::DEADLINE_MS, remaining.as_millis() as u64);
        match sender.try_send_request(request).await {
            Ok(response) => return classify_response(response, connection, slot, key.as_deref()),
            Err(mut error) => match error.take_message() {
                // The pooled connection was already closed and has taken no byte of the request.
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
    connection: PooledConnection,
    slot: Option<AttemptSlot>,
    key: Option<&ClaimedKey>,
) -> AttemptResult {
    if response.headers().contains_key(headers::REFUSED) && response.status().is_server_error() {
        key.iter().for_each(|key| key.mark_refused());
        return AttemptResult::Failed { failure: AttemptFailure::Refused, slot };
    }
    key.iter().for_each(|key| key.mark_ran(response.status().as_u16()));
    AttemptResult::Responded { response: Box::new(response), connection, slot }
}
