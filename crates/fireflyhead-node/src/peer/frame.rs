//! Length-prefixed bincode frames on an h2 stream.

use std::future::poll_fn;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use fireflyhead_schema::codec;
use fireflyhead_schema::codec::CodecError;
use h2::RecvStream;
use h2::SendStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest frame on a dispatch stream, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Largest message of a short call, in bytes; a whole table fits.
pub const MAX_CALL_BYTES: usize = 20 << 20;

/// Bytes of the length that precedes a frame.
const LENGTH_BYTES: usize = 4;

/// Failure to read or write a frame.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum FrameError {
    /// the frame has {length} bytes, the limit is {limit}
    TooLarge {
        /// Announced or actual length.
        length: usize,
        /// Limit of the stream.
        limit: usize,
    },
    /// the stream ended within a frame
    Truncated,
    /// the stream ended before the expected frame
    Ended,
    /// {0}
    Codec(CodecError),
    /// the stream failed: {0}
    Stream(h2::Error),
}

impl std::error::Error for FrameError {}

impl From<CodecError> for FrameError {
    fn from(e: CodecError) -> FrameError {
        FrameError::Codec(e)
    }
}

impl From<h2::Error> for FrameError {
    fn from(e: h2::Error) -> FrameError {
        FrameError::Stream(e)
    }
}

/// Splits received bytes into frames.
///
/// It buffers what was received and no more: an announced length reserves nothing.
#[derive(Debug)]
pub struct FrameDecoder {
    buf: BytesMut,
    limit: usize,
}

impl FrameDecoder {
    /// Decoder of frames of at most `limit` bytes.
    pub fn new(limit: usize) -> FrameDecoder {
        FrameDecoder { buf: BytesMut::new(), limit }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether no bytes are left over.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Bytes that the decoder has reserved.
    #[cfg(test)]
    pub(crate) fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    /// Next complete frame, if one was received.
    ///
    /// # Errors
    /// A length above the limit or bytes that don't decode.
    pub fn next_frame<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(mut head) = self.buf.get(..LENGTH_BYTES) else { return Ok(None) };
        let length = head.get_u32() as usize;
        if length > self.limit {
            return Err(FrameError::TooLarge { length, limit: self.limit });
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let frame = self.buf.split_to(LENGTH_BYTES + length);
        Ok(Some(codec::decode(&frame[LENGTH_BYTES..])?))
    }
}

/// Encodes `message` with its length.
///
/// # Errors
/// Messages above `limit`.
pub fn encode<T: Serialize>(message: &T, limit: usize) -> Result<Bytes, FrameError> {
    let body = codec::encode(message)?;
    match u32::try_from(body.len()) {
        Ok(length) if body.len() <= limit => {
            let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
            buf.put_u32(length);
            buf.extend_from_slice(&body);
            Ok(buf.freeze())
        }
        _ => Err(FrameError::TooLarge { length: body.len(), limit }),
    }
}

/// Reads frames from a received body.
pub struct FrameReader {
    body: RecvStream,
    decoder: FrameDecoder,
}

impl FrameReader {
    /// Reader of `body` with frames of at most `limit` bytes.
    pub fn new(body: RecvStream, limit: usize) -> FrameReader {
        FrameReader { body, decoder: FrameDecoder::new(limit) }
    }

    /// Next frame; `None` at the end of the stream.
    ///
    /// # Errors
    /// A failed stream or a malformed, truncated or oversized frame.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(Some(frame));
            }
            match self.body.data().await {
                Some(data) => {
                    let data = data?;
                    // Fails only if the peer has closed the stream, which needs no window then.
                    let _closed = self.body.flow_control().release_capacity(data.len());
                    self.decoder.push(&data);
                }
                None if self.decoder.is_empty() => return Ok(None),
                None => return Err(FrameError::Truncated),
            }
        }
    }
}

/// Writes frames to a sent body.
pub struct FrameWriter {
    body: SendStream<Bytes>,
    limit: usize,
}

impl FrameWriter {
    /// Writer to `body` with frames of at most `limit` bytes.
    pub fn new(body: SendStream<Bytes>, limit: usize) -> FrameWriter {
        FrameWriter { body, limit }
    }

    /// Writes one frame and waits until the peer's window has taken it.
    ///
    /// # Errors
    /// A failed stream or an oversized message.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), FrameError> {
        let mut data = encode(message, self.limit)?;
        while !data.is_empty() {
            self.body.reserve_capacity(data.len());
            let granted = poll_fn(|cx| self.body.poll_capacity(cx)).await;
            let granted = granted.ok_or(FrameError::Ended)??;
            self.body.send_data(data.split_to(granted.min(data.len())), false)?;
        }
        Ok(())
    }

    /// Ends the body.
    ///
    /// # Errors
    /// A stream that already failed.
    pub fn finish(&mut self) -> Result<(), FrameError> {
        Ok(self.body.send_data(Bytes::new(), true)?)
    }

    /// Resets the stream, so that the peer sees a failure instead of an end.
    pub fn reset(&mut self) {
        self.body.send_reset(h2::Reason::CANCEL);
    }

    /// Waits until the peer resets the stream or the connection fails.
    pub async fn closed(&mut self) {
        let _reason = poll_fn(|cx| self.body.poll_reset(cx)).await;
    }
}
