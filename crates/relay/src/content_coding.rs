//! Compression of response bodies for callers that accept it.
//!
//! The only supported coding is `deflate`, which in HTTP means the zlib format. `sniperelay_platform`
//! decodes it.

use flate2::Compression;
use flate2::write::ZlibEncoder;
use http::{HeaderMap, header};
use sniperelay_platform::content_coding::DEFLATE_CODING;
use std::io::{Result, Write};

/// Coding of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentCoding {
    /// Not encoded.
    Identity,
    /// Compressed in the zlib format.
    Deflate,
}

impl ContentCoding {
    /// Returns the coding to use for a request with these headers: `Deflate` only if the request lists it.
    pub fn negotiate(headers: &HeaderMap) -> Self {
        let values = headers.get_all(header::ACCEPT_ENCODING).iter().filter_map(|value| value.to_str().ok());
        let accepts_deflate = values.flat_map(|value| value.split(',')).any(is_deflate_accepted);
        if accepts_deflate { Self::Deflate } else { Self::Identity }
    }
}

/// Returns whether one element of an `Accept-Encoding` header permits `deflate`. The weight 0 forbids it.
fn is_deflate_accepted(element: &str) -> bool {
    let mut parts = element.split(';').map(str::trim);
    let is_deflate =
        parts.next().is_some_and(|name| name.as_bytes().eq_ignore_ascii_case(DEFLATE_CODING.as_bytes()));
    let weight = parts.find_map(|part| part.strip_prefix("q="));
    is_deflate && weight.is_none_or(|weight| weight.parse::<f32>().is_ok_and(|weight| weight > 0.0))
}

/// Compresses a body at the level that costs the least CPU time.
///
/// # Errors
///
/// Returns an error if the encoder fails.
pub fn deflate(body: &[u8]) -> Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    encoder.finish()
}
