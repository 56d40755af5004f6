//! Lookups, readiness checks and metrics: small HTTP servers beside the callers' port.

use crate::state::RelayState;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sniperelay_hosted::lookup::{CONTENT_TYPE, LOOKUP_PATH, READY_PATH, read_question, write_answer};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;

/// Path of metrics.
const METRICS_PATH: &str = "/metrics";
/// Time for a request's head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type SideResponse = Response<Full<Bytes>>;

/// Serves lookups, readiness checks and metrics on one listener; each path on all of them.
pub async fn serve_side(state: Arc<RelayState>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a side connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = answer_side(&state, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("side connection ended: {error}");
            }
        });
    }
}

fn answer_side(state: &RelayState, request: &Request<Incoming>) -> SideResponse {
    match request.uri().path() {
        READY_PATH => answer_ready(state),
        LOOKUP_PATH => answer_lookup(state, request.uri().query().unwrap_or("")),
        METRICS_PATH => answer_metrics(state),
        _ => plain(StatusCode::NOT_FOUND, ""),
    }
}

fn answer_ready(state: &RelayState) -> SideResponse {
    plain(if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
}

fn answer_lookup(state: &RelayState, query: &str) -> SideResponse {
    let Some(question) = read_question(query) else {
        return plain(StatusCode::BAD_REQUEST, "the query names no host");
    };
    state.metrics.process().lookups.fetch_add(1, Ordering::Relaxed);
    if state.routes.load().is_none() {
        // An entry VM that knows nothing yet leaves the answer to another one.
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet");
    }
    let homes = state.homes_for(&question.host);
    if homes.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no entry VM is known");
    }
    let mut answer = plain(StatusCode::OK, &write_answer(&homes, state.settings.entry.lookup_keep));
    answer.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(CONTENT_TYPE));
    answer
}

fn answer_metrics(state: &RelayState) -> SideResponse {
    match state.metrics.render() {
        Ok(text) => plain(StatusCode::OK, &text),
        Err(error) => {
            log::warn!("cannot render metrics: {error:#}");
            plain(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

fn plain(status: StatusCode, text: &str) -> SideResponse {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
