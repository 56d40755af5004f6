//! Responses made by sniperelay itself. Each refusal carries its outcome and its reason.

use crate::traffic::body::{ResponseBody, full_body};
use crate::traffic::headers;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use sniperelay_core::reason::{Outcome, RefusalReason};
use std::time::Duration;

/// Refusal of a request, sent to the caller instead of a response from a target.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// Time after which the caller may retry, for temporary refusals.
    pub retry_after: Option<Duration>,
    /// Status of the earlier response, for a duplicate of a finished request.
    pub earlier_status: Option<u16>,
}

impl Refusal {
    /// Creates a refusal of a request that was not executed.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None, earlier_status: None }
    }

    /// Creates a refusal of a request that may have been executed.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(reason) }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    earlier_status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the HTTP response for a refusal.
pub fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let retry_after_ms = refusal.retry_after.map(|duration| duration.as_millis() as u64);
    let body = RefusalBody {
        outcome: refusal.outcome.as_str(),
        reason: refusal.reason.as_str(),
        earlier_status: refusal.earlier_status,
        retry_after_ms,
    };
    let mut response = json_response(status_code(refusal.reason), &body);
    let fields = response.headers_mut();
    fields.insert(headers::OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
    fields.insert(headers::REASON, HeaderValue::from_static(refusal.reason.as_str()));
    if let Some(millis) = retry_after_ms {
        headers::set_number(fields, headers::RETRY_AFTER_MS, millis);
        headers::set_number(fields, header::RETRY_AFTER, millis.div_ceil(1000));
    }
    response
}

/// Returns a response with a JSON body. The body is empty if `value` cannot be serialized.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn status_code(reason: RefusalReason) -> StatusCode {
    use RefusalReason as Reason;
    match reason {
        Reason::UnknownService | Reason::UnknownRank => StatusCode::NOT_FOUND,
        Reason::BadRequest | Reason::KeyInvalid => StatusCode::BAD_REQUEST,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::SlowCaller | Reason::CallerGone => StatusCode::REQUEST_TIMEOUT,
        Reason::KeyMissing => StatusCode::PRECONDITION_REQUIRED,
        Reason::KeyExpired | Reason::KeyElsewhere | Reason::DuplicateInFlight | Reason::DuplicateFinished => {
            StatusCode::CONFLICT
        }
        Reason::ApiKeyUnknown => StatusCode::UNAUTHORIZED,
        Reason::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::ConnectionLost => StatusCode::BAD_GATEWAY,
        Reason::TargetTimeout => StatusCode::GATEWAY_TIMEOUT,
        Reason::ClaimTableFull
        | Reason::ConfigurationOutdated
        | Reason::DeadlineUnreachable
        | Reason::DeadlinePassed
        | Reason::QueueFull
        | Reason::NoMemory
        | Reason::NoTarget
        | Reason::TargetRefused
        | Reason::ConnectFailed
        | Reason::TargetLimit
        | Reason::Isolated
        | Reason::Quarantined
        | Reason::Stopping
        | Reason::ConnectionLimit => StatusCode::SERVICE_UNAVAILABLE,
    }
}
