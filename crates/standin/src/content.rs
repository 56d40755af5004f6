//! Headers that control the target stand-in, and response bodies derived from the request ID, so that
//! wrong or truncated responses are detected.

use bytes::Bytes;

/// Header with the request ID, set by the caller.
pub const REQUEST_ID_HEADER: &str = "standin-id";
/// Header that requests a response body of this many bytes.
pub const RESPONSE_SIZE_HEADER: &str = "standin-size";
/// Header that makes the target return the headers of the request as the response body.
pub const ECHO_HEADER: &str = "standin-echo";
/// Header that makes the target return the size of the request body as the response body.
pub const BODY_SIZE_HEADER: &str = "standin-body-size";
/// Header that requests a `content-length` header in the response.
pub const CONTENT_LENGTH_HEADER: &str = "standin-length";
/// Header with the requested service time at normal target speed, in microseconds.
pub const SERVICE_TIME_HEADER: &str = "standin-micros";

const WORD_BYTES: usize = 8;
/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns `length` bytes of the response body of request `id`, starting at `offset`.
pub fn make_content(id: u64, offset: usize, length: usize) -> Bytes {
    let bytes: Vec<u8> = (offset..offset + length).map(|index| byte_at(id, index)).collect();
    bytes.into()
}

/// Returns whether `bytes` equals the response body of request `id` at `offset`.
pub fn matches_content(id: u64, offset: usize, bytes: &[u8]) -> bool {
    bytes.iter().enumerate().all(|(index, byte)| *byte == byte_at(id, offset + index))
}

fn byte_at(id: u64, index: usize) -> u8 {
    let word = (id ^ (index / WORD_BYTES) as u64).wrapping_mul(GOLDEN_RATIO);
    (word ^ (word >> 29)).to_le_bytes()[index % WORD_BYTES]
}
