//! Decoding of compressed response bodies.
//!
//! The only supported coding is `deflate`, which in HTTP means the zlib format (RFC 9110, section 8.4.1.2).
//! Its checksum covers the whole body. Decoding yields the whole body or an error, never a part of it, and
//! stops as soon as the decoded size exceeds [`MAX_RESPONSE_BYTES`].

use crate::api::{MAX_RESPONSE_BYTES, PlatformError, Result};
use bytes::Bytes;
use flate2::{Decompress, FlushDecompress, Status};
use http::{HeaderMap, HeaderValue, header};

/// Name of the coding in `Accept-Encoding` and `Content-Encoding` headers.
pub const DEFLATE_CODING: HeaderValue = HeaderValue::from_static("deflate");
/// Size of the buffer for one step of decoding, in bytes.
const STEP_BYTES: usize = 64 * 1024;

/// Decodes a response body according to its headers. A body without a coding is returned as it is.
///
/// # Errors
///
/// Returns [`PlatformError::Malformed`] if the coding is not supported, if the data is corrupt or incomplete,
/// or if the decoded body exceeds [`MAX_RESPONSE_BYTES`].
pub fn decode_body(headers: &HeaderMap, body: &Bytes) -> Result<Bytes> {
    match headers.get(header::CONTENT_ENCODING) {
        None => Ok(body.clone()),
        Some(coding) if coding.as_bytes().eq_ignore_ascii_case(DEFLATE_CODING.as_bytes()) => {
            inflate(body).map(Bytes::from)
        }
        Some(coding) => Err(malformed(&format!("the content coding {coding:?} is not supported"))),
    }
}

fn inflate(body: &[u8]) -> Result<Vec<u8>> {
    let mut inflater = Decompress::new(true);
    let mut decoded = Vec::new();
    let mut step = vec![0; STEP_BYTES];
    let mut rest = body;
    loop {
        let (read_before, written_before) = (inflater.total_in(), inflater.total_out());
        let status = inflater.decompress(rest, &mut step, FlushDecompress::None);
        let status = status.map_err(|_| malformed("the compressed body is corrupt"))?;
        let read = (inflater.total_in() - read_before) as usize;
        let written = (inflater.total_out() - written_before) as usize;
        if decoded.len() + written > MAX_RESPONSE_BYTES {
            return Err(malformed(&format!("the decoded body exceeds {MAX_RESPONSE_BYTES} bytes")));
        }
        decoded.extend_from_slice(&step[..written]);
        rest = &rest[read..];
        match status {
            Status::StreamEnd if rest.is_empty() => return Ok(decoded),
            Status::StreamEnd => return Err(malformed("the compressed body is followed by other data")),
            _ if read == 0 && written == 0 => return Err(malformed("the compressed body is incomplete")),
            _ => {}
        }
    }
}

fn malformed(reason: &str) -> PlatformError {
    PlatformError::Malformed(reason.to_owned())
}
