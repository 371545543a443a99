//! Complete messages, and decoders that enforce limits on them.

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

use crate::http1::{self, BodyFraming, HeadError};
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

/// Reads one message; none if the peer closed the connection between messages.
pub(crate) async fn read_message<IO, D, H>(
    framed: &mut FramedRead<IO, ()>,
    limits: &Limits,
) -> Result<Option<(H, Bytes)>, TransportError>
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
    check_declared_length(head.headers(), limits)?;
    let body = read_body(framed, body, limits).await?;
    Ok(Some((head, body)))
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

fn check_declared_length(headers: &HeaderMap, limits: &Limits) -> Result<(), TransportError> {
    let declared = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    match declared {
        Some(length) if length > limits.body_bytes => {
            Err(TransportError::BodyTooLarge(limits.body_bytes))
        }
        _ => Ok(()),
    }
}

async fn read_body<IO: AsyncReadRent>(
    framed: &mut FramedRead<IO, ()>,
    body: BodyDecoder,
    limits: &Limits,
) -> Result<Bytes, TransportError> {
    match body {
        PayloadDecoder::None => Ok(Bytes::new()),
        PayloadDecoder::Fixed(mut decoder) => match framed.next_with(&mut decoder).await {
            None => Err(TransportError::ConnectionClosed),
            Some(Ok(bytes)) => Ok(bytes),
            Some(Err(_)) => Err(TransportError::ConnectionClosed),
        },
        PayloadDecoder::Streamed(_) => read_chunks(framed, limits).await,
    }
}

/// Decodes chunks in pieces as they arrive. The decoder of `monoio-http` buffers a whole chunk,
/// whatever size the peer declares.
struct ChunkDecoder(http1::BodyDecoder);

impl Decoder for ChunkDecoder {
    type Item = Option<Bytes>;
    type Error = TransportError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        let malformed = |error: HeadError| TransportError::Malformed(error.to_string());
        match self.0.decode(source).map_err(malformed)? {
            Some(piece) => Ok(Decoded::Some(Some(piece))),
            None if self.0.is_done() => Ok(Decoded::Some(None)),
            None => Ok(Decoded::Insufficient),
        }
    }
}

async fn read_chunks<IO: AsyncReadRent>(
    framed: &mut FramedRead<IO, ()>,
    limits: &Limits,
) -> Result<Bytes, TransportError> {
    let mut decoder = ChunkDecoder(http1::BodyDecoder::new(BodyFraming::Chunked));
    let mut collected = BytesMut::new();
    loop {
        let piece = framed.next_with(&mut decoder).await;
        match piece.ok_or(TransportError::ConnectionClosed)?? {
            None => return Ok(collected.freeze()),
            Some(piece) => {
                if collected.len() + piece.len() > limits.body_bytes {
                    return Err(TransportError::BodyTooLarge(limits.body_bytes));
                }
                collected.extend_from_slice(&piece);
            }
        }
    }
}

/// Converts a body for the encoder.
pub(crate) fn payload(body: Bytes) -> Payload {
    if body.is_empty() { Payload::None } else { Payload::Fixed(FixedPayload::new(body)) }
}
