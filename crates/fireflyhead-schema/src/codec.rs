//! Encodes and decodes messages between nodes as bincode; decoding has a size limit.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest message that is decoded, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Error of encoding or decoding a message.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum CodecError {
    /// cannot encode the message: {0}
    Encode(bincode::error::EncodeError),
    /// cannot decode the message: {0}
    Decode(bincode::error::DecodeError),
    /// the message is followed by {0} unexpected bytes
    Trailing(usize),
}

impl std::error::Error for CodecError {}

/// Encodes `message` as bincode.
///
/// # Errors
/// Returns [`CodecError::Encode`] if bincode can't represent a value.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).map_err(CodecError::Encode)
}

/// Decodes one message that takes up all of `bytes`.
///
/// # Errors
/// Returns [`CodecError::Decode`] if the input is malformed or larger than [`MAX_MESSAGE_BYTES`],
/// and [`CodecError::Trailing`] if bytes follow the message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, consumed) =
        bincode::serde::decode_from_slice(bytes, config).map_err(CodecError::Decode)?;
    match bytes.len() - consumed {
        0 => Ok(message),
        trailing => Err(CodecError::Trailing(trailing)),
    }
}
