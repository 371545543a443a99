//! Complete messages, and decoders that enforce limits on them.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use monoio::io::AsyncReadRent;
use monoio_codec::{Decoded, Decoder, FramedRead};
use monoio_http::common::request::{Request, RequestHead};
use monoio_http::common::response::{Response, ResponseHead};
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, DirectWrapper, FixedBodyDecoder, GenericHeadDecoder, PayloadDecoder,
    RequestHeadDecoder, ResponseHeadDecoder,
};
use monoio_http::h1::payload::{FixedPayload, Payload};

use crate::body::CollectedBody;
use crate::http1::{self, BodyFraming};
use crate::memory::{MemoryCharge, MemoryShare};
use crate::{Limits, TransportError};

/// A request with its complete body.
pub type HttpRequest = http::Request<Bytes>;
/// A response with its complete body.
pub type HttpResponse = http::Response<Bytes>;

pub(crate) type RequestDecoder = GenericHeadDecoder<Request, RequestHeadDecoder, DirectWrapper>;
pub(crate) type ResponseDecoder = GenericHeadDecoder<Response, ResponseHeadDecoder, DirectWrapper>;
type BodyDecoder = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// Access to the headers of a request or response head.
pub(crate) trait Head {
    fn headers(&self) -> &HeaderMap;
}

impl Head for RequestHead {
    fn headers(&self) -> &HeaderMap {
        &self.headers
    }
}

impl Head for ResponseHead {
    fn headers(&self) -> &HeaderMap {
        &self.headers
    }
}

/// Wraps a head decoder; fails if the head, or what is buffered of an incomplete one, exceeds
/// `limit` bytes.
pub(crate) struct BoundedHead<D> {
    pub(crate) inner: D,
    pub(crate) limit: usize,
}

impl<D> Decoder for BoundedHead<D>
where
    D: Decoder,
    D::Error: Into<TransportError>,
{
    type Item = D::Item;
    type Error = TransportError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        let buffered = source.len();
        let decoded = self.inner.decode(source).map_err(Into::into)?;
        let head_bytes = buffered - source.len();
        let whole = matches!(decoded, Decoded::Some(_));
        if (whole && head_bytes > self.limit) || (!whole && buffered > self.limit) {
            return Err(TransportError::HeadTooLarge(self.limit));
        }
        Ok(decoded)
    }
}

/// Length up to which a body is read in any case, in bytes, so that the connection can be kept.
const SHORT_BODY_BYTES: u64 = 4 * 1024;

/// A message as read.
pub(crate) struct ReadMessage<H> {
    pub head: H,
    pub body: Bytes,
    /// Charge for the body.
    pub charge: Option<MemoryCharge>,
    /// Whether the body was left unread, so that nothing more can be read.
    pub has_unread_body: bool,
}

/// Reads one message; none if the peer closed the connection between messages. The body is charged
/// to a connection that is accounted for. A long one is left unread unless its head is one that
/// `takes_body`.
pub(crate) async fn read_message<IO, D, H>(
    framed: &mut FramedRead<IO, ()>,
    limits: &Limits,
    share: Option<&Rc<MemoryShare>>,
    takes_body: impl FnOnce(&H) -> bool,
) -> Result<Option<ReadMessage<H>>, TransportError>
where
    IO: AsyncReadRent,
    D: Decoder<Item = (H, BodyDecoder)> + Default,
    D::Error: Into<TransportError>,
    H: Head,
{
    let mut decoder = BoundedHead { inner: D::default(), limit: limits.head_bytes };
    let (head, body) = match framed.next_with(&mut decoder).await {
        None => return Ok(None),
        Some(result) => result?,
    };
    check_framing(head.headers())?;
    let framing = match body {
        PayloadDecoder::None => BodyFraming::None,
        PayloadDecoder::Fixed(_) => BodyFraming::Length(declared_length(head.headers())?),
        PayloadDecoder::Streamed(_) => BodyFraming::Chunked,
    };
    if !framing.is_at_most(SHORT_BODY_BYTES) && !takes_body(&head) {
        let unread = ReadMessage { head, body: Bytes::new(), charge: None, has_unread_body: true };
        return Ok(Some(unread));
    }
    let body = read_body(framed, framing, limits, share).await?;
    let (body, charge) = body.finish();
    Ok(Some(ReadMessage { head, body, charge, has_unread_body: false }))
}

/// Rejects a message whose length is declared more than once. Otherwise peers that honour
/// different declarations would disagree on where the next message begins (request smuggling).
fn check_framing(headers: &HeaderMap) -> Result<(), TransportError> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let declarations = lengths + usize::from(headers.contains_key(TRANSFER_ENCODING));
    if declarations > 1 {
        return Err(TransportError::Malformed("its length is declared more than once".to_owned()));
    }
    Ok(())
}

fn declared_length(headers: &HeaderMap) -> Result<u64, TransportError> {
    let malformed = || TransportError::Malformed("the length of its body".to_owned());
    let length = headers.get(CONTENT_LENGTH).ok_or_else(malformed)?.as_bytes();
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(malformed());
    }
    let length = std::str::from_utf8(length).ok().and_then(|text| text.parse().ok());
    length.ok_or_else(malformed)
}

/// Decodes a body in pieces as they arrive. The decoders of `monoio-http` buffer a whole body, or a
/// whole chunk, whatever size the peer declares.
struct PieceDecoder(http1::BodyDecoder);

impl Decoder for PieceDecoder {
    type Item = Option<Bytes>;
    type Error = TransportError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        match self.0.decode(source)? {
            Some(piece) => Ok(Decoded::Some(Some(piece))),
            None if self.0.is_done() => Ok(Decoded::Some(None)),
            None => Ok(Decoded::Insufficient),
        }
    }
}

async fn read_body<IO: AsyncReadRent>(
    framed: &mut FramedRead<IO, ()>,
    framing: BodyFraming,
    limits: &Limits,
    share: Option<&Rc<MemoryShare>>,
) -> Result<CollectedBody, TransportError> {
    let most = match framing {
        BodyFraming::Length(length) if length > limits.body_bytes as u64 => {
            return Err(TransportError::BodyTooLarge(limits.body_bytes));
        }
        BodyFraming::Length(length) => length as usize,
        _ => limits.body_bytes,
    };
    let mut body = CollectedBody::new(share, most);
    let mut decoder = PieceDecoder(http1::BodyDecoder::new(framing));
    while !decoder.0.is_done() {
        let piece = framed.next_with(&mut decoder).await;
        match piece.ok_or(TransportError::ConnectionClosed)?? {
            None => break,
            Some(piece) if body.len() + piece.len() > limits.body_bytes => {
                return Err(TransportError::BodyTooLarge(limits.body_bytes));
            }
            Some(piece) => body.push(&piece).await?,
        }
    }
    Ok(body)
}

/// Converts a body for the encoder.
pub(crate) fn payload(body: Bytes) -> Payload {
    if body.is_empty() { Payload::None } else { Payload::Fixed(FixedPayload::new(body)) }
}
