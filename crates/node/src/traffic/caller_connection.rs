//! Connections from callers over HTTP/1.1 and HTTP/2, their limits and their graceful shutdown.
//!
//! A request that has arrived when the shutdown begins gets its response, also if its connection has not
//! been accepted yet or its bytes have not been read. A connection that has just been opened may still
//! send its first request for [`FIRST_REQUEST_GRACE`].

use crate::lifecycle::LifecyclePhase;
use crate::shared_state::NodeState;
use crate::traffic::body::{BodyError, ResponseBody};
use crate::traffic::connection_reuse::stated_idle_seconds;
use crate::traffic::headers;
use crate::traffic::lookup::{LOOKUP_PATH, handle_lookup};
use crate::traffic::request_handler::handle_request;
use crate::traffic::response::{Refusal, refusal_response};
use http::{HeaderMap, HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use sniperelay_core::reason::RefusalReason;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SetOnce, watch};

/// Pause after a failed accept, for example when no file descriptor is available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a connection without a request is kept open during a shutdown. Callers send their first
/// request as soon as they are connected: at most one round trip between regions later.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);
/// Maximum number of concurrent streams on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// Accepts connections from callers until `drain` becomes true. Then closes them gracefully, and
/// returns when all are closed or the drain limit has passed. Returns whether all were closed in
/// time.
pub async fn serve_callers(
    node_state: Arc<NodeState>,
    listener: TcpListener,
    mut drain: watch::Receiver<bool>,
) -> bool {
    let acceptor = ConnectionAcceptor::new(node_state, drain.clone());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drain.wait_for(|is_draining| *is_draining) => break,
        };
        match accepted {
            Ok((stream, caller)) => acceptor.serve(stream, caller),
            Err(error) => {
                log::warn!("cannot accept a connection from a caller: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    acceptor.set_stop_deadline();
    for (stream, caller) in take_backlog(listener) {
        acceptor.serve(stream, caller);
    }
    acceptor.wait_for_connections().await
}

/// Closes a listener and returns the connections that were waiting to be accepted. Without this they
/// would be reset, although their callers may already have sent requests.
pub fn take_backlog(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("cannot accept the last connections from callers: {error}");
            return Vec::new();
        }
    };
    // The listener does not block: the first error ends the backlog.
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    let adopt = |(stream, caller): (std::net::TcpStream, SocketAddr)| {
        let adopted = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        adopted
            .inspect_err(|error| log::warn!("cannot serve a connection from {caller}: {error}"))
            .ok()
            .map(|stream| (stream, caller))
    };
    accepted.filter_map(adopt).collect()
}

/// Starts a task for each accepted connection, up to the connection limit.
struct ConnectionAcceptor {
    node_state: Arc<NodeState>,
    drain: watch::Receiver<bool>,
    /// One permit for each connection.
    permits: Arc<Semaphore>,
    connection_limit: u32,
}

impl ConnectionAcceptor {
    fn new(node_state: Arc<NodeState>, drain: watch::Receiver<bool>) -> Self {
        let connection_limit =
            u32::try_from(node_state.settings.limits.caller_connections).unwrap_or(u32::MAX);
        let permits = Arc::new(Semaphore::new(connection_limit as usize));
        Self { node_state, drain, permits, connection_limit }
    }

    fn serve(&self, stream: TcpStream, caller: SocketAddr) {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            self.node_state.metrics.rank("-", "-").count_refusal(RefusalReason::ConnectionLimit);
            return;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY on the connection from {caller}: {error}");
        }
        let (node_state, drain) = (self.node_state.clone(), self.drain.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_connection(node_state, stream, caller, drain).await {
                log::debug!("connection from caller {caller} ended with an error: {error}");
            }
            drop(permit);
        });
    }

    /// Starts the drain limit for the requests in flight.
    fn set_stop_deadline(&self) {
        let drain_limit = self.node_state.settings.entry.drain_limit;
        self.node_state.stop_deadline.set(Instant::now() + drain_limit);
    }

    /// Waits until all connections have ended. Returns false if the drain limit passes first.
    async fn wait_for_connections(&self) -> bool {
        let all_permits = self.permits.acquire_many(self.connection_limit);
        tokio::time::timeout(self.node_state.settings.entry.drain_limit, all_permits).await.is_ok()
    }
}

/// Serves one connection until it ends. When `drain` becomes true, requests that have arrived are
/// finished, and the connection is closed.
async fn serve_connection(
    node_state: Arc<NodeState>,
    stream: TcpStream,
    caller: SocketAddr,
    mut drain: watch::Receiver<bool>,
) -> Result<(), BodyError> {
    let first_request = Arc::new(SetOnce::new());
    let has_request = first_request.clone();
    let builder = connection_builder(&node_state);
    let service = service_fn(move |request| {
        // Already set by an earlier request of the connection, unless this is the first one.
        let _ = has_request.set(());
        route_request(node_state.clone(), caller, request)
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        ended = connection.as_mut() => return ended,
        _ = drain.wait_for(|is_draining| *is_draining) => {}
    }
    let ready_to_close = async {
        let first_request = tokio::time::timeout(FIRST_REQUEST_GRACE, first_request.wait());
        // After the grace period the connection is closed without a request.
        let _ = first_request.await;
        // The runtime learns of received bytes when a task yields. They are read before the connection is
        // found to be idle.
        tokio::task::yield_now().await;
        tokio::task::yield_now().await;
    };
    tokio::select! {
        biased;
        ended = connection.as_mut() => return ended,
        () = ready_to_close => {}
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

fn connection_builder(node_state: &NodeState) -> auto::Builder<TokioExecutor> {
    let limits = &node_state.settings.limits;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.caller_timeout)
        .max_buf_size(limits.header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(limits.header_bytes as u32)
        .keep_alive_interval(limits.caller_timeout);
    builder
}

async fn route_request(
    node_state: Arc<NodeState>,
    caller: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let version = request.version();
    let is_last = headers::asks_for_close(request.headers());
    let attempt_id = request.headers().get(headers::ATTEMPT).cloned();
    let mut response = if request.uri().path() == LOOKUP_PATH {
        handle_lookup(&node_state, caller, request.uri())
    } else if node_state.lifecycle.phase() == LifecyclePhase::Stopped {
        refusal_response(&Refusal::not_run(RefusalReason::Stopping))
    } else {
        handle_request(node_state.clone(), caller.ip(), request).await
    };
    // A planned stop may have begun while the request was handled.
    let is_stopping = node_state.lifecycle.phase() != LifecyclePhase::Serving;
    if is_stopping && version < Version::HTTP_2 {
        // Makes callers with persistent connections look up the service again.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if !is_stopping && !is_last && version == Version::HTTP_11 {
        state_idle_time(response.headers_mut(), node_state.settings.limits.caller_timeout);
    }
    if let Some(id) = attempt_id {
        // The caller may be an entry VM that recognizes its responses by this ID.
        response.headers_mut().insert(headers::ATTEMPT, id);
    }
    Ok(response)
}

/// Reasons of refusals whose connection is closed, because the request body has not been read.
const UNREAD_BODY_REASONS: [RefusalReason; 3] =
    [RefusalReason::BodyTooLarge, RefusalReason::SlowCaller, RefusalReason::CallerGone];

/// States for how long the connection of a response may stay idle. It is closed after `idle_timeout`.
fn state_idle_time(fields: &mut HeaderMap, idle_timeout: Duration) {
    let seconds = stated_idle_seconds(idle_timeout);
    let reason = fields.get(headers::REASON);
    let is_unread = UNREAD_BODY_REASONS.iter().any(|unread| reason.is_some_and(|it| it == unread.as_str()));
    if seconds == 0 || is_unread {
        return;
    }
    if let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) {
        fields.insert(headers::KEEP_ALIVE, value);
    }
}
