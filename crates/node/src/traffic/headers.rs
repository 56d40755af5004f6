//! Header names, and the rules by which headers pass through.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Version};
use sniperelay_core::target::LoadReport;
use std::net::IpAddr;
use std::time::Duration;
use thiserror::Error;

/// Result of reading a header.
pub type Result<T> = std::result::Result<T, HeaderError>;

/// A header occurs more than once, or is not what it must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a header is repeated or malformed")]
pub struct HeaderError;

/// Names the service, where `Host` does not.
pub const SERVICE: HeaderName = HeaderName::from_static("sniperelay-service");
/// Rank by name; a caller can only lower it.
pub const RANK: HeaderName = HeaderName::from_static("sniperelay-rank");
/// Remaining time in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("sniperelay-deadline-ms");
/// End of the remaining time, in milliseconds since the Unix epoch; a target must not start later.
pub const DEADLINE_UNIX_MS: HeaderName = HeaderName::from_static("sniperelay-deadline-unix-ms");
/// The call is a further attempt; layers below must not retry it.
pub const RETRIED: HeaderName = HeaderName::from_static("sniperelay-retried");
/// The request was passed on by another entry VM.
pub const FORWARDED_BY_PEER: HeaderName = HeaderName::from_static("sniperelay-forwarded");
/// Outcome, in answers that the system makes itself.
pub const OUTCOME: HeaderName = HeaderName::from_static("sniperelay-outcome");
/// Reason, in answers that the system makes itself.
pub const REASON: HeaderName = HeaderName::from_static("sniperelay-reason");
/// When to come back, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("sniperelay-retry-after-ms");
/// Load that a target reports with an answer: `busy=N;queued=N`.
pub const LOAD: HeaderName = HeaderName::from_static("sniperelay-load");
/// A target's word that it refused the request without running it.
pub const REFUSED: HeaderName = HeaderName::from_static("sniperelay-refused");
/// A target's state: `live` or `leaving`.
pub const TARGET_STATE: HeaderName = HeaderName::from_static("sniperelay-target-state");
/// Idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const VIA_VALUE: &str = "1.1 sniperelay";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that end at each hop, besides those that `Connection` names.
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

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1).
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    HOP_BY_HOP.iter().chain(&named).for_each(|name| drop(headers.remove(name)));
}

/// Prepares a request's headers for a target.
pub fn prepare_request_headers(headers: &mut HeaderMap, caller: IpAddr) {
    strip_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    headers.remove(FORWARDED_BY_PEER);
    append(headers, header::VIA, VIA_VALUE);
    append(headers, header::FORWARDED, &format_forwarded(caller));
}

/// Prepares an answer's headers for the caller.
pub fn prepare_response_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(LOAD);
    headers.remove(TARGET_STATE);
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

/// Value of a header that must occur at most once and be visible ASCII.
pub fn single_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(HeaderError);
    }
    first.to_str().map(Some).map_err(|_| HeaderError)
}

/// A duration in milliseconds from a header.
pub fn single_millis(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>> {
    let text = single_text(headers, name)?;
    text.map(|text| text.trim().parse().map(Duration::from_millis).map_err(|_| HeaderError)).transpose()
}

/// Load that a target reported, if it did so in the agreed form.
pub fn read_load(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let field = |name: &str| {
        let fields = text.split(';').filter_map(|field| field.trim().split_once('='));
        fields.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    };
    Some(LoadReport { busy: field("busy")?, queued: field("queued").unwrap_or(0) })
}

/// Whether a request asks for something that the system does not pass on.
pub fn uses_unsupported_feature(method: &Method, version: Version, headers: &HeaderMap) -> bool {
    let is_tunnel = *method == Method::CONNECT || headers.contains_key(header::UPGRADE);
    let has_both_lengths =
        headers.contains_key(header::TRANSFER_ENCODING) && headers.contains_key(header::CONTENT_LENGTH);
    let has_many_lengths = headers.get_all(header::CONTENT_LENGTH).iter().count() > 1;
    let is_old = version < Version::HTTP_11;
    is_tunnel || has_both_lengths || has_many_lengths || is_old
}
