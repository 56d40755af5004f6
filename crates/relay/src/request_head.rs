//! Parsing of request heads.
//!
//! Ambiguous heads are rejected: if this process and a target parsed a head differently, a request
//! could be smuggled past this process.

use bytes::{Buf, BytesMut};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};

/// Result of parsing a request.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Maximum number of headers of one request.
const MAX_HEADERS: usize = 100;

/// Reason for which a request is rejected while it is read. Such a request is not sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The request is malformed or ambiguous.
    Malformed,
    /// The head exceeds the configured limit.
    HeadTooLarge,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The body is within the configured limit but exceeds the limit of this process.
    NoRoom,
    /// Too many caller connections are open.
    ConnectionLimit,
}

impl RequestError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoom | Self::ConnectionLimit => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes; 0 if there is no body.
    Length(usize),
    /// The body is sent in chunks.
    Chunked,
}

/// A parsed request head.
#[derive(Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: Method,
    /// Path and query as sent by the caller.
    pub path_and_query: String,
    /// Host without its port, in lower case.
    pub host: String,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the caller requests that the connection be closed after the response.
    pub wants_close: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        path_of(&self.path_and_query)
    }
}

/// Returns the path of a request target without its query.
pub(crate) fn path_of(path_and_query: &str) -> &str {
    path_and_query.split('?').next().unwrap_or(path_and_query)
}

/// Parses a head at the start of `buffer` and removes it from the buffer. Returns `None` if the head
/// is incomplete.
///
/// # Errors
///
/// Returns an error if the head is malformed, ambiguous or too large.
pub fn parse_head(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<RequestHead>> {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut header_storage);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > max_bytes => return Err(RequestError::HeadTooLarge),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLarge),
        Err(_) => return Err(RequestError::Malformed),
    };
    if length > max_bytes {
        return Err(RequestError::HeadTooLarge);
    }
    let head = make_head(&parsed)?;
    buffer.advance(length);
    Ok(Some(head))
}

fn make_head(parsed: &httparse::Request<'_, '_>) -> Result<RequestHead> {
    let malformed = RequestError::Malformed;
    let method = Method::from_bytes(parsed.method.unwrap_or("").as_bytes()).map_err(|_| malformed)?;
    let path_and_query = parsed.path.unwrap_or("").to_owned();
    if !path_and_query.starts_with('/') || parsed.version != Some(1) || method == Method::CONNECT {
        return Err(malformed);
    }
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| malformed)?;
        headers.append(name, value);
    }
    let host = read_host(&headers)?;
    let framing = read_framing(&headers)?;
    let wants_close = requests_close(&headers);
    let expects_continue = headers.get(header::EXPECT).is_some_and(|value| value == "100-continue");
    sniperelay_node::traffic::headers::strip_hop_by_hop(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    Ok(RequestHead { method, path_and_query, host, headers, framing, wants_close, expects_continue })
}

fn read_host(headers: &HeaderMap) -> Result<String> {
    let mut values = headers.get_all(header::HOST).iter();
    let value = values.next().ok_or(RequestError::Malformed)?;
    if values.next().is_some() {
        return Err(RequestError::Malformed);
    }
    let text = value.to_str().map_err(|_| RequestError::Malformed)?;
    let host = text.rsplit_once(':').map_or(text, |(host, _)| host);
    Ok(host.to_ascii_lowercase())
}

fn read_framing(headers: &HeaderMap) -> Result<BodyFraming> {
    let lengths: Vec<&HeaderValue> = headers.get_all(header::CONTENT_LENGTH).iter().collect();
    let codings: Vec<&HeaderValue> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(BodyFraming::Length(0)),
        ([length], []) => read_length(length).map(BodyFraming::Length),
        ([], [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(BodyFraming::Chunked),
        _ => Err(RequestError::Malformed),
    }
}

fn read_length(value: &HeaderValue) -> Result<usize> {
    let text = value.to_str().map_err(|_| RequestError::Malformed)?;
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal {
        return Err(RequestError::Malformed);
    }
    text.parse().map_err(|_| RequestError::BodyTooLarge)
}

fn requests_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}
