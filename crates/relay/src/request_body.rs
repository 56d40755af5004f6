//! Reading of request bodies. A body is read completely before the request is sent to a target.

use crate::request_head::{BodyFraming, RequestError, Result};
use bytes::{Buf, BytesMut};

/// Maximum length of a chunk size line or of a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderState {
    /// This many bytes of content follow. In a chunk, a line end follows them.
    Content(usize),
    /// The size line of a chunk follows.
    ChunkSize,
    /// The line end after the content of a chunk follows.
    ChunkEnd,
    /// Trailer lines follow.
    Trailers,
    Done,
}

/// Incremental reader of one request body.
#[derive(Debug)]
pub struct BodyReader {
    state: ReaderState,
    is_chunked: bool,
    max_bytes: usize,
    content: BytesMut,
}

impl BodyReader {
    /// Creates a reader for a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the declared length exceeds `max_bytes`.
    pub fn new(framing: BodyFraming, max_bytes: usize) -> Result<Self> {
        let (state, is_chunked) = match framing {
            BodyFraming::Length(length) if length > max_bytes => return Err(RequestError::BodyTooLarge),
            BodyFraming::Length(0) => (ReaderState::Done, false),
            BodyFraming::Length(length) => (ReaderState::Content(length), false),
            BodyFraming::Chunked => (ReaderState::ChunkSize, true),
        };
        Ok(Self { state, is_chunked, max_bytes, content: BytesMut::new() })
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == ReaderState::Done
    }

    /// Returns the number of content bytes read so far.
    pub fn len(&self) -> usize {
        self.content.len()
    }

    /// Returns whether no content has been read yet.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// Returns the content.
    pub fn into_content(self) -> BytesMut {
        self.content
    }

    /// Reads as much of the body as `buffer` contains and removes it from the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the framing is malformed or the body is too large.
    pub fn read_from(&mut self, buffer: &mut BytesMut) -> Result<()> {
        while !self.is_done() {
            let is_advanced = match self.state {
                ReaderState::Content(rest) => self.read_content(buffer, rest),
                ReaderState::ChunkSize => self.read_chunk_size(buffer)?,
                ReaderState::ChunkEnd => self.read_chunk_end(buffer)?,
                ReaderState::Trailers => self.read_trailer(buffer)?,
                ReaderState::Done => false,
            };
            if !is_advanced {
                return Ok(());
            }
        }
        Ok(())
    }

    fn read_content(&mut self, buffer: &mut BytesMut, rest: usize) -> bool {
        let taken = rest.min(buffer.len());
        self.content.extend_from_slice(&buffer.split_to(taken));
        self.state = match rest - taken {
            0 if self.is_chunked => ReaderState::ChunkEnd,
            0 => ReaderState::Done,
            left => ReaderState::Content(left),
        };
        rest == taken
    }

    fn read_chunk_size(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((length, size))) => {
                buffer.advance(length);
                let size = usize::try_from(size).map_err(|_| RequestError::BodyTooLarge)?;
                if size > self.max_bytes - self.content.len().min(self.max_bytes) {
                    return Err(RequestError::BodyTooLarge);
                }
                self.state = if size == 0 { ReaderState::Trailers } else { ReaderState::Content(size) };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buffer.len() < MAX_LINE_BYTES => Ok(false),
            _ => Err(RequestError::Malformed),
        }
    }

    fn read_chunk_end(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        if buffer.len() < 2 {
            return Ok(false);
        }
        if !buffer.starts_with(b"\r\n") {
            return Err(RequestError::Malformed);
        }
        buffer.advance(2);
        self.state = ReaderState::ChunkSize;
        Ok(true)
    }

    /// Reads one trailer line. Trailers are discarded.
    fn read_trailer(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
            return if buffer.len() < MAX_LINE_BYTES { Ok(false) } else { Err(RequestError::Malformed) };
        };
        buffer.advance(end + 2);
        if end == 0 {
            self.state = ReaderState::Done;
        }
        Ok(true)
    }
}
