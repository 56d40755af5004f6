//! Body content that belongs to one request, so that a mixed or cut answer is seen.

use bytes::Bytes;

/// Header that names the request, set by the caller.
pub const ID_HEADER: &str = "standin-id";
/// Header that asks for an answer body of this many bytes.
pub const SIZE_HEADER: &str = "standin-size";
/// Header that asks for the request's headers as the answer.
pub const ECHO_HEADER: &str = "standin-echo";
/// Header that asks for the size of the request's body as the answer.
pub const BODY_SIZE_HEADER: &str = "standin-body-size";
/// Header that asks for an answer that announces its length.
pub const LENGTH_HEADER: &str = "standin-length";
/// Header that gives the service time in microseconds.
pub const TIME_HEADER: &str = "standin-micros";

const WORD_BYTES: usize = 8;
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Content of the answer to request `id`, from `offset` on.
pub fn make_content(id: u64, offset: usize, length: usize) -> Bytes {
    let bytes: Vec<u8> = (offset..offset + length).map(|index| byte_at(id, index)).collect();
    bytes.into()
}

/// Whether `bytes` is the content of request `id` from `offset` on.
pub fn matches_content(id: u64, offset: usize, bytes: &[u8]) -> bool {
    bytes.iter().enumerate().all(|(index, byte)| *byte == byte_at(id, offset + index))
}

fn byte_at(id: u64, index: usize) -> u8 {
    let word = (id ^ (index / WORD_BYTES) as u64).wrapping_mul(GOLDEN_RATIO);
    (word ^ (word >> 29)).to_le_bytes()[index % WORD_BYTES]
}
