//! Streaming decoder of message bodies.

use bytes::{Bytes, BytesMut};

use super::framing::BodyFraming;
use super::grammar;
use super::head::HeadError;

/// Maximum length of a chunk-size line or a trailer field, in bytes.
const LINE_LIMIT: usize = 4 * 1024;
/// Maximum length of all trailer fields of a body, in bytes.
const TRAILERS_LIMIT: usize = 16 * 1024;

/// Decodes one body from a buffer, piece by piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    /// Trailer fields of this length have been read.
    Trailers(usize),
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// Creates a decoder of a body with this framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::None => State::Done,
            BodyFraming::Length(length) => State::Length(length),
            BodyFraming::Chunked => State::ChunkSize,
            BodyFraming::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the close of the connection ends the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// The next piece; none if more bytes are needed or the body is complete.
    ///
    /// # Errors
    /// A [`HeadError`] if the chunked encoding is malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, HeadError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::UntilClose => return Ok(take(buffer, u64::MAX).map(|(piece, _)| piece)),
                State::Length(left) => {
                    let Some((piece, taken)) = take(buffer, left) else {
                        return Ok(None);
                    };
                    self.state =
                        if taken == left { State::Done } else { State::Length(left - taken) };
                    return Ok(Some(piece));
                }
                State::Chunk(left) => {
                    let Some((piece, taken)) = take(buffer, left) else {
                        return Ok(None);
                    };
                    self.state =
                        if taken == left { State::ChunkEnd } else { State::Chunk(left - taken) };
                    return Ok(Some(piece));
                }
                State::ChunkSize => match take_line(buffer)? {
                    Some(line) => self.state = chunk_state(&line)?,
                    None => return Ok(None),
                },
                State::ChunkEnd => match take_line(buffer)? {
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(malformed("bytes after a chunk")),
                    None => return Ok(None),
                },
                State::Trailers(read) => match take_line(buffer)? {
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) => self.state = trailers_state(read, &line)?,
                    None => return Ok(None),
                },
            }
        }
    }
}

fn chunk_state(line: &[u8]) -> Result<State, HeadError> {
    if !grammar::is_text(line) {
        return Err(malformed("control bytes in the line of a chunk"));
    }
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let hexadecimal = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| malformed("size of a chunk"))?;
    let size = u64::from_str_radix(text, 16).ok().filter(|_| hexadecimal);
    match size.ok_or_else(|| malformed("size of a chunk"))? {
        0 => Ok(State::Trailers(0)),
        size => Ok(State::Chunk(size)),
    }
}

fn trailers_state(read: usize, line: &[u8]) -> Result<State, HeadError> {
    if !grammar::is_field_line(line) {
        return Err(malformed("a trailer that is no field"));
    }
    let read = read + line.len();
    if read > TRAILERS_LIMIT {
        return Err(malformed("trailers without an end"));
    }
    Ok(State::Trailers(read))
}

fn take(buffer: &mut BytesMut, limit: u64) -> Option<(Bytes, u64)> {
    let count = (buffer.len() as u64).min(limit);
    if count == 0 {
        return None;
    }
    Some((buffer.split_to(count as usize).freeze(), count))
}

/// Splits off a line without its CRLF; none if the buffer holds no complete line.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, HeadError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        if buffer.len() > LINE_LIMIT {
            return Err(malformed("a line without an end"));
        }
        return Ok(None);
    };
    let line = buffer.split_to(end + 1).freeze();
    match line.strip_suffix(b"\r\n") {
        Some(text) => Ok(Some(line.slice(..text.len()))),
        None => Err(malformed("a line that ends with a bare line feed")),
    }
}

fn malformed(reason: &str) -> HeadError {
    HeadError::Malformed(reason.to_owned())
}
