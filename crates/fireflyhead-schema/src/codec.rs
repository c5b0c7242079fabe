//! Encoding of messages between nodes: bincode with a size limit.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Reason for which a message can't be encoded or decoded.
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

/// Encodes `message`.
///
/// # Errors
/// Values that bincode can't represent.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).map_err(CodecError::Encode)
}

/// Decodes a message that fills `bytes` exactly.
///
/// # Errors
/// Malformed, oversized or trailing input.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, used) =
        bincode::serde::decode_from_slice(bytes, config).map_err(CodecError::Decode)?;
    match bytes.len() - used {
        0 => Ok(message),
        trailing => Err(CodecError::Trailing(trailing)),
    }
}
