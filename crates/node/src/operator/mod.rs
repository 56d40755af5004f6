//! HTTP interface for operators: metrics, status, documents, drain, log level and reload of keys.
//!
//! Requests that only read need no authentication. All others need the bearer token of a team. A team
//! may only edit its own documents; the team `admin` may do everything.
//!
//! | module | contents |
//! |---|---|
//! | [`access`] | authentication of operators |
//! | [`config`] | reading and editing of service documents |

pub mod access;
pub mod config;

use crate::control::ControlEvent;
use crate::logs::LogControl;
use crate::shared_state::NodeState;
use crate::traffic::body::{ResponseBody, full_body};
use crate::traffic::response::json_response;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use sniperelay_config::reader::MAX_TEXT_BYTES;
use sniperelay_config::settings::ADMIN_TEAM;
use sniperelay_platform::HttpPlatform;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;

/// Timeout for the headers of an operator's request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// State used by requests of operators.
#[derive(Debug)]
pub struct OperatorContext {
    /// State shared by all threads.
    pub node_state: Arc<NodeState>,
    /// Client of the platform.
    pub platform: Arc<HttpPlatform>,
    /// Sender of events to the control thread.
    pub event_sender: UnboundedSender<ControlEvent>,
    /// Notified to request a planned stop.
    pub stop_request: Arc<tokio::sync::Notify>,
    /// Handle for changing the log level; `None` if this process did not set up its own logging.
    pub log_control: Option<Arc<LogControl>>,
}

/// Body of an error response to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// Description of the error and, where possible, how to resolve it.
    pub error: String,
}

/// Serves operators until the runtime shuts down.
pub async fn serve_operators(listener: TcpListener, context: Arc<OperatorContext>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| handle_request(context.clone(), request));
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("connection from an operator ended with an error: {error}");
            }
        });
    }
}

async fn handle_request(
    context: Arc<OperatorContext>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let response = match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["metrics"]) => metrics_response(&context),
        (&Method::GET, ["status"]) => json_response(StatusCode::OK, &**context.node_state.status.load()),
        (&Method::GET, ["config", service]) => config::get_document(&context, service).await,
        (&Method::GET, ["config", service, "versions"]) => config::list_versions(&context, service).await,
        (&Method::PUT, ["config", service]) => {
            let Some(team) = access::find_team(&context.node_state.settings.operators, &parts.headers) else {
                return Ok(unauthorized());
            };
            match read_text(body).await {
                Some(text) => config::put_document(&context, &team, service, &parts, text).await,
                None => {
                    error_response(StatusCode::PAYLOAD_TOO_LARGE, "the document is too large or not UTF-8")
                }
            }
        }
        (&Method::POST, ["drain"]) => require_admin(&context, &parts.headers, |context| {
            context.stop_request.notify_one();
            json_response(StatusCode::ACCEPTED, &serde_json::json!({"phase": "withdrawing"}))
        }),
        (&Method::PUT, ["log-level", level]) => {
            require_admin(&context, &parts.headers, |context| change_level(context, level))
        }
        (&Method::POST, ["reload-keys"]) => require_admin(&context, &parts.headers, |context| {
            let _ = context.event_sender.send(ControlEvent::ReloadKeys);
            json_response(StatusCode::ACCEPTED, &serde_json::json!({}))
        }),
        _ => error_response(StatusCode::NOT_FOUND, &format!("no such resource: {} {path}", parts.method)),
    };
    Ok(response)
}

fn metrics_response(context: &OperatorContext) -> Response<ResponseBody> {
    match context.node_state.metrics.render() {
        Ok(text) => Response::new(full_body(text)),
        Err(error) => {
            error_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("cannot render metrics: {error}"))
        }
    }
}

fn change_level(context: &OperatorContext, level: &str) -> Response<ResponseBody> {
    let Some(log_control) = &context.log_control else {
        return error_response(StatusCode::CONFLICT, "this process does not control its log level");
    };
    match log_control.change_level(level) {
        Ok(()) => json_response(StatusCode::OK, &serde_json::json!({"level": level})),
        Err(error) => error_response(StatusCode::BAD_REQUEST, &format!("{error:#}")),
    }
}

fn require_admin(
    context: &OperatorContext,
    fields: &http::HeaderMap,
    action: impl FnOnce(&OperatorContext) -> Response<ResponseBody>,
) -> Response<ResponseBody> {
    match access::find_team(&context.node_state.settings.operators, fields) {
        Some(team) if team == ADMIN_TEAM => action(context),
        Some(team) => error_response(
            StatusCode::FORBIDDEN,
            &format!("team {team} may not do this; use the token of team {ADMIN_TEAM}"),
        ),
        None => unauthorized(),
    }
}

fn unauthorized() -> Response<ResponseBody> {
    error_response(StatusCode::UNAUTHORIZED, "send 'Authorization: Bearer TOKEN' with the token of your team")
}

async fn read_text(body: Incoming) -> Option<String> {
    let collected = Limited::new(body, MAX_TEXT_BYTES).collect().await.ok()?;
    String::from_utf8(collected.to_bytes().to_vec()).ok()
}

/// Returns an error response with a description of the error.
pub fn error_response(status: StatusCode, error: &str) -> Response<ResponseBody> {
    json_response(status, &OperatorError { error: error.to_owned() })
}
