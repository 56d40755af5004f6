//! HTTP interface for operators: metrics, status, documents, drain, log level.
//!
//! Reading is open; whatever changes something needs a team's bearer token. A team edits its own
//! documents only; the team `admin` may do everything.
//!
//! | module | job |
//! |---|---|
//! | [`access`] | who a caller is and what it may do |
//! | [`config`] | reading and editing documents |

pub mod access;
pub mod config;

use crate::control::ControlEvent;
use crate::logs::LogControl;
use crate::shared_state::NodeState;
use crate::traffic::answer::make_json;
use crate::traffic::body::{AnswerBody, full_body};
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

/// Time within which an operator must send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// What operator requests work with.
#[derive(Debug)]
pub struct OperatorDesk {
    /// Shared state.
    pub shared: Arc<NodeState>,
    /// The platform.
    pub platform: Arc<HttpPlatform>,
    /// Events for the control loop.
    pub events: UnboundedSender<ControlEvent>,
    /// Asks for a planned stop.
    pub stop_request: Arc<tokio::sync::Notify>,
    /// Changes the log level.
    pub log_control: Option<Arc<LogControl>>,
}

/// Error text of an operator answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// What went wrong, where, and what to do.
    pub error: String,
}

/// Serves operators until the runtime ends.
pub async fn serve_operators(listener: TcpListener, desk: Arc<OperatorDesk>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let desk = desk.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| answer_operator(desk.clone(), request));
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("operator connection ended: {error}");
            }
        });
    }
}

async fn answer_operator(
    desk: Arc<OperatorDesk>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let answer = match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["metrics"]) => answer_metrics(&desk),
        (&Method::GET, ["status"]) => make_json(StatusCode::OK, &**desk.shared.status.load()),
        (&Method::GET, ["config", service]) => config::answer_get(&desk, service).await,
        (&Method::GET, ["config", service, "versions"]) => config::answer_versions(&desk, service).await,
        (&Method::PUT, ["config", service]) => {
            let Some(team) = access::find_team(&desk.shared.settings.operators, &parts.headers) else {
                return Ok(refuse_unknown());
            };
            match read_text(body).await {
                Some(text) => config::answer_put(&desk, &team, service, &parts, text).await,
                None => make_error(StatusCode::PAYLOAD_TOO_LARGE, "the document is too large or not UTF-8"),
            }
        }
        (&Method::POST, ["drain"]) => admin_only(&desk, &parts.headers, |desk| {
            desk.stop_request.notify_one();
            make_json(StatusCode::ACCEPTED, &serde_json::json!({"phase": "withdrawing"}))
        }),
        (&Method::PUT, ["log-level", level]) => {
            admin_only(&desk, &parts.headers, |desk| change_level(desk, level))
        }
        (&Method::POST, ["reload-keys"]) => admin_only(&desk, &parts.headers, |desk| {
            let _ = desk.events.send(ControlEvent::ReloadKeys);
            make_json(StatusCode::ACCEPTED, &serde_json::json!({}))
        }),
        _ => make_error(StatusCode::NOT_FOUND, &format!("no such resource: {} {path}", parts.method)),
    };
    Ok(answer)
}

fn answer_metrics(desk: &OperatorDesk) -> Response<AnswerBody> {
    match desk.shared.metrics.render() {
        Ok(text) => Response::new(full_body(text)),
        Err(error) => {
            make_error(StatusCode::INTERNAL_SERVER_ERROR, &format!("cannot render metrics: {error}"))
        }
    }
}

fn change_level(desk: &OperatorDesk, level: &str) -> Response<AnswerBody> {
    let Some(control) = &desk.log_control else {
        return make_error(StatusCode::CONFLICT, "logging is not under this process's control");
    };
    match control.change_level(level) {
        Ok(()) => make_json(StatusCode::OK, &serde_json::json!({"level": level})),
        Err(error) => make_error(StatusCode::BAD_REQUEST, &format!("{error:#}")),
    }
}

fn admin_only(
    desk: &OperatorDesk,
    fields: &http::HeaderMap,
    action: impl FnOnce(&OperatorDesk) -> Response<AnswerBody>,
) -> Response<AnswerBody> {
    match access::find_team(&desk.shared.settings.operators, fields) {
        Some(team) if team == ADMIN_TEAM => action(desk),
        Some(team) => make_error(
            StatusCode::FORBIDDEN,
            &format!("team {team} may not do this; it needs the token of {ADMIN_TEAM}"),
        ),
        None => refuse_unknown(),
    }
}

fn refuse_unknown() -> Response<AnswerBody> {
    make_error(StatusCode::UNAUTHORIZED, "send 'Authorization: Bearer TOKEN' with the token of your team")
}

async fn read_text(body: Incoming) -> Option<String> {
    let collected = Limited::new(body, MAX_TEXT_BYTES).collect().await.ok()?;
    String::from_utf8(collected.to_bytes().to_vec()).ok()
}

/// An answer that says what went wrong.
pub fn make_error(status: StatusCode, error: &str) -> Response<AnswerBody> {
    make_json(status, &OperatorError { error: error.to_owned() })
}
