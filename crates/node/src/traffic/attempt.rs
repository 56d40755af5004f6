//! One attempt at one target.

use crate::gate::AttemptSlot;
use crate::shared::HeldKey;
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

/// Time limits of an attempt, by both clocks: the monotonic one stands still while the machine is
/// paused, the wall clock does not.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimit {
    /// End by the monotonic clock.
    pub end: Instant,
    /// End by the wall clock, since the Unix epoch.
    pub wall_end: Duration,
}

impl AttemptLimit {
    /// A limit that ends at `end`.
    pub fn until(end: Instant) -> Self {
        let remaining = end.saturating_duration_since(Instant::now());
        Self { end, wall_end: wall_clock::since_epoch() + remaining }
    }

    /// Time left by the clock that leaves less.
    pub fn remaining(&self) -> Duration {
        let wall = self.wall_end.saturating_sub(wall_clock::since_epoch());
        self.end.saturating_duration_since(Instant::now()).min(wall)
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The target's answer has begun.
    Responded {
        /// The answer.
        response: Box<Response<Incoming>>,
        /// The connection on which its body arrives.
        connection: PooledConnection,
        /// The slot, if the target has slots.
        slot: Option<AttemptSlot>,
    },
    /// It failed.
    Failed {
        /// How.
        failure: AttemptFailure,
        /// The slot, if the target has slots.
        slot: Option<AttemptSlot>,
    },
    /// Nothing was sent: time ran out, or the key must not be sent.
    NotSent,
}

/// Carries out an attempt. The request is handed to a connection at most once.
pub async fn run_attempt(
    pool: TargetPool,
    address: SocketAddr,
    mut request: Request<RequestBody>,
    limit: AttemptLimit,
    key: Option<Arc<HeldKey>>,
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
        // Last thing before the write: a process that was paused must not send what is overdue.
        let remaining = limit.remaining();
        if remaining.is_zero() || key.as_ref().is_some_and(|key| !key.mark_sent()) {
            return AttemptEnd::NotSent;
        }
        headers::set_number(request.headers_mut(), headers::DEADLINE_MS, remaining.as_millis() as u64);
        match sender.try_send_request(request).await {
            Ok(response) => return classify_response(response, connection, slot, key.as_deref()),
            Err(mut error) => match error.take_message() {
                // The connection had died before; no byte of the request was handed to it.
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
    key: Option<&HeldKey>,
) -> AttemptEnd {
    if response.headers().contains_key(headers::REFUSED) && response.status().is_server_error() {
        key.iter().for_each(|key| key.mark_refused());
        return AttemptEnd::Failed { failure: AttemptFailure::Refused, slot };
    }
    key.iter().for_each(|key| key.mark_ran(response.status().as_u16()));
    AttemptEnd::Responded { response: Box::new(response), connection, slot }
}
