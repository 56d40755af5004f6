//! Connections from callers over HTTP/1.1 and HTTP/2, their limits and their graceful shutdown.

use crate::lifecycle::LifecyclePhase;
use crate::shared_state::NodeState;
use crate::traffic::body::ResponseBody;
use crate::traffic::headers;
use crate::traffic::lookup::{LOOKUP_PATH, handle_lookup};
use crate::traffic::request_handler::handle_request;
use crate::traffic::response::{Refusal, refusal_response};
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use sniperelay_core::reason::RefusalReason;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// Pause after a failed accept, for example when no file descriptor is available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
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
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(node_state.settings.limits.caller_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drain.wait_for(|is_draining| *is_draining) => break,
        };
        match accepted {
            Ok((stream, caller)) => serve_connection(&node_state, stream, caller, &graceful, &permits),
            Err(error) => {
                log::warn!("cannot accept a connection from a caller: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    tokio::time::timeout(node_state.settings.entry.drain_limit, graceful.shutdown()).await.is_ok()
}

fn serve_connection(
    node_state: &Arc<NodeState>,
    stream: TcpStream,
    caller: SocketAddr,
    graceful: &GracefulShutdown,
    permits: &Arc<Semaphore>,
) {
    let Ok(permit) = permits.clone().try_acquire_owned() else {
        node_state.metrics.rank("-", "-").count_refusal(RefusalReason::ConnectionLimit);
        return;
    };
    let _ = stream.set_nodelay(true);
    let state = node_state.clone();
    let service = service_fn(move |request| route_request(state.clone(), caller, request));
    let connection =
        connection_builder(node_state).serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            log::debug!("connection from caller {caller} ended with an error: {error}");
        }
        drop(permit);
    });
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
    let attempt_id = request.headers().get(headers::ATTEMPT).cloned();
    let phase = node_state.lifecycle.phase();
    let mut response = if request.uri().path() == LOOKUP_PATH {
        handle_lookup(&node_state, caller, request.uri())
    } else if phase == LifecyclePhase::Stopped {
        refusal_response(&Refusal::not_run(RefusalReason::Stopping))
    } else {
        handle_request(node_state.clone(), caller.ip(), request).await
    };
    if phase != LifecyclePhase::Serving && version < Version::HTTP_2 {
        // Makes callers with persistent connections look up the service again.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(id) = attempt_id {
        // The caller may be an entry VM that recognizes its responses by this ID.
        response.headers_mut().insert(headers::ATTEMPT, id);
    }
    Ok(response)
}
