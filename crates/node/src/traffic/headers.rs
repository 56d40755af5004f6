//! Header names, and rules for the headers that are forwarded.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode, Version};
use sniperelay_core::target::LoadReport;
use std::net::IpAddr;
use std::time::Duration;
use thiserror::Error;

/// Result of reading a header.
pub type Result<T> = std::result::Result<T, HeaderError>;

/// Error returned for a header that is repeated or malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a header is repeated or malformed")]
pub struct HeaderError;

/// Name of the service. Takes precedence over `Host`.
pub const SERVICE: HeaderName = HeaderName::from_static("sniperelay-service");
/// Name of the requested rank. A caller can only lower the urgency of a request.
pub const RANK: HeaderName = HeaderName::from_static("sniperelay-rank");
/// Remaining time for the request, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("sniperelay-deadline-ms");
/// End of the remaining time, in milliseconds since the Unix epoch. A target must not start the
/// request after this time.
pub const DEADLINE_UNIX_MS: HeaderName = HeaderName::from_static("sniperelay-deadline-unix-ms");
/// Marks a request as a retry. Layers below must not retry it again.
pub const RETRIED: HeaderName = HeaderName::from_static("sniperelay-retried");
/// Marks a request that was forwarded by another entry VM.
pub const FORWARDED_BY_PEER: HeaderName = HeaderName::from_static("sniperelay-forwarded");
/// Number of attempts that are left to a forwarded request.
pub const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("sniperelay-attempts-left");
/// Version of the configuration by which a forwarded request was admitted. An entry VM with an older one does not
/// take the request.
pub const MIN_VERSION: HeaderName = HeaderName::from_static("sniperelay-min-version");
/// Takes the place of [`MIN_VERSION`] in a request whose configuration has client accounts. A build that does not resolve
/// API keys does not take a request without [`MIN_VERSION`].
pub const ACCOUNT_MIN_VERSION: HeaderName = HeaderName::from_static("sniperelay-account-min-version");
/// Address of the caller of a forwarded request.
pub const CALLER: HeaderName = HeaderName::from_static("sniperelay-caller");
/// Present on the response to a forwarded request that was taken.
pub const ACCEPTED: HeaderName = HeaderName::from_static("sniperelay-accepted");
/// Present on the response to a forwarded request that was not taken and has not been sent to a target.
pub const NOT_ACCEPTED: HeaderName = HeaderName::from_static("sniperelay-not-accepted");
/// Outcome of the request, in refusals by sniperelay.
pub const OUTCOME: HeaderName = HeaderName::from_static("sniperelay-outcome");
/// Reason of the refusal, in refusals by sniperelay.
pub const REASON: HeaderName = HeaderName::from_static("sniperelay-reason");
/// Time after which the caller may retry, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("sniperelay-retry-after-ms");
/// Load that a target reports with a response: `busy=N;queued=N`.
pub const LOAD: HeaderName = HeaderName::from_static("sniperelay-load");
/// Marks a response in which a target reports that it refused the request without executing it.
pub const REFUSED: HeaderName = HeaderName::from_static("sniperelay-refused");
/// Identifies an attempt on its connection. A target returns it, which proves that a response belongs
/// to this attempt and is not a late copy of an earlier one.
pub const ATTEMPT: HeaderName = HeaderName::from_static("sniperelay-attempt");
/// State of a target: `live` or `leaving`.
pub const TARGET_STATE: HeaderName = HeaderName::from_static("sniperelay-target-state");
/// Idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time for which an idle connection may be reused.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

const VIA_VALUE: &str = "1.1 sniperelay";
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop headers, in addition to those named by `Connection`.
static HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns whether a status can be that of the final response to a request: 200 to 599. The HTTP library also accepts the
/// statuses 101 and 600 to 999; it rejects lower ones as malformed.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1).
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = connection_options(headers).filter_map(|name| name.parse().ok()).collect();
    HOP_BY_HOP.iter().chain(&named).for_each(|name| drop(headers.remove(name)));
}

/// Returns whether a message asks for its connection to be closed after it.
pub fn asks_for_close(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}

/// Prepares the headers of a request for a target: removes headers that are not forwarded, and adds
/// `Via` and `Forwarded`.
pub fn prepare_request_headers(headers: &mut HeaderMap, caller: IpAddr) {
    strip_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    headers.remove(FORWARDED_BY_PEER);
    headers.remove(ATTEMPT);
    append(headers, header::VIA, VIA_VALUE);
    append(headers, header::FORWARDED, &format_forwarded(caller));
}

/// Prepares the headers of a response for the caller: removes hop-by-hop headers and the target's load
/// state and attempt ID, and adds `Via`.
pub fn prepare_response_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(LOAD);
    headers.remove(TARGET_STATE);
    headers.remove(ATTEMPT);
    append(headers, header::VIA, VIA_VALUE);
}

fn format_forwarded(caller: IpAddr) -> String {
    match caller {
        IpAddr::V4(address) => format!("for={address}"),
        IpAddr::V6(address) => format!("for=\"[{address}]\""),
    }
}

fn append(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.append(name, value);
    }
}

/// Sets a header to a number.
pub fn set_number(headers: &mut HeaderMap, name: HeaderName, value: u64) {
    headers.insert(name, HeaderValue::from(value));
}

/// Returns the value of a header, or `None` if the header is missing.
///
/// # Errors
///
/// Returns an error if the header is repeated or its value is not visible ASCII.
pub fn single_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(HeaderError);
    }
    first.to_str().map(Some).map_err(|_| HeaderError)
}

/// Returns the duration in a header whose value is a number of milliseconds, or `None` if the header is
/// missing.
///
/// # Errors
///
/// Returns an error if the header is repeated or its value is not a number.
pub fn single_millis(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>> {
    let text = single_text(headers, name)?;
    text.map(|text| text.trim().parse().map(Duration::from_millis).map_err(|_| HeaderError)).transpose()
}

/// Returns the load reported by a target, or `None` if the header is missing or malformed.
pub fn read_load(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let field = |name: &str| {
        let fields = text.split(';').filter_map(|field| field.trim().split_once('='));
        fields.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    };
    Some(LoadReport { busy: field("busy")?, queued: field("queued").unwrap_or(0) })
}

/// Returns whether a request uses an HTTP feature that is not forwarded: a tunnel, an upgrade, an
/// ambiguous body length or a version before HTTP/1.1.
pub fn uses_unsupported_feature(method: &Method, version: Version, headers: &HeaderMap) -> bool {
    let is_tunnel = *method == Method::CONNECT || headers.contains_key(header::UPGRADE);
    let has_both_lengths =
        headers.contains_key(header::TRANSFER_ENCODING) && headers.contains_key(header::CONTENT_LENGTH);
    let has_many_lengths = headers.get_all(header::CONTENT_LENGTH).iter().count() > 1;
    let is_old = version < Version::HTTP_11;
    is_tunnel || has_both_lengths || has_many_lengths || is_old
}
