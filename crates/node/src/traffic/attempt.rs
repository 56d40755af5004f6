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
pub struct AttemptLimit {
    /// End on the monotonic clock.
    pub end: Instant,
    /// End on the wall clock, as the time since the Unix epoch.
    pub wall_end: Duration,
}

impl AttemptLimit {
    /// Creates a limit that ends at `end`.
    pub fn until(end: Instant) -> Self {
        let remaining = end.saturating_duration_since(Instant::now());
        Self { end, wall_end: wall_clock::since_epoch() + remaining }
    }

    /// Returns the remaining time, on the clock on which less remains.
    pub fn remaining(&self) -> Duration {
        let wall = self.wall_end.saturating_sub(wall_clock::since_epoch());
        self.end.saturating_duration_since(Instant::now()).min(wall)
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptEnd {
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
    limit: AttemptLimit,
    key: Option<Arc<ClaimedKey>>,
    slot: Option<AttemptSlot>,
) -> AttemptEnd {
    loop {
        let Ok(mut connection) = pool.take(address).await else {
            return AttemptEnd::Failed { failure: AttemptFailure::Connect, slot };
        };
        let Some(sender) = connection.sender() else { continue };
        if sender.ready().await.is_err() {
            if connection.is_reused {
                continue;
            }
            return AttemptEnd::Failed { failure: AttemptFailure::Connect, slot };
        }
        // Checked last before the write, so that a process that was suspended does not send a
        // request after its time limit.
        let remaining = limit.remaining();
        if remaining.is_zero() || key.as_ref().is_some_and(|key| !key.mark_sent()) {
            return AttemptEnd::NotSent;
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
                    return AttemptEnd::Failed { failure: AttemptFailure::Connect, slot };
                }
                None => return AttemptEnd::Failed { failure: AttemptFailure::ConnectionLost, slot },
            },
        }
    }
}

fn classify_response(
    response: Response<Incoming>,
    connection: PooledConnection,
    slot: Option<AttemptSlot>,
    key: Option<&ClaimedKey>,
) -> AttemptEnd {
    if response.headers().contains_key(headers::REFUSED) && response.status().is_server_error() {
        key.iter().for_each(|key| key.mark_refused());
        return AttemptEnd::Failed { failure: AttemptFailure::Refused, slot };
    }
    key.iter().for_each(|key| key.mark_ran(response.status().as_u16()));
    AttemptEnd::Responded { response: Box::new(response), connection, slot }
}
