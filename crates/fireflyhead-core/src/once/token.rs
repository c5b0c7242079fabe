//! Placement tokens and request ids, with their text and byte encodings.

use std::fmt;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::types::Name;
use crate::types::NodeRef;

/// First byte of an encoded token.
const ENCODING_VERSION: u8 = 1;
/// Longest name of a node in a token, in bytes.
const MAX_NODE_ID_BYTES: usize = 64;
/// Longest message authentication code of a token, in bytes.
const MAX_MAC_BYTES: usize = 32;
/// Longest suffix of a request id, in bytes.
const MAX_SUFFIX_BYTES: usize = 64;

/// Placement that a resolve answer gives to a caller.
///
/// The edge of the node computes and checks `mac` over [`PlacementToken::signed_bytes`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PlacementToken {
    /// Node that decides whether an id may run.
    pub home: NodeRef,
    /// Node in another zone that confirms each id; `None` if none was available.
    pub witness: Option<NodeRef>,
    /// Home's clock at issue, in milliseconds.
    pub home_tick_ms: u64,
    /// Last clock value of the witness known to home, in milliseconds.
    pub witness_tick_ms: u64,
    /// Message authentication code; empty until the edge fills it in.
    pub mac: Vec<u8>,
}

impl PlacementToken {
    /// Bytes that the message authentication code covers.
    pub fn signed_bytes(&self) -> Vec<u8> {
        let mut buf = vec![ENCODING_VERSION];
        write_node(&mut buf, &self.home);
        match &self.witness {
            Some(witness) => {
                buf.push(1);
                write_node(&mut buf, witness);
            }
            None => buf.push(0),
        }
        buf.extend(self.home_tick_ms.to_le_bytes());
        buf.extend(self.witness_tick_ms.to_le_bytes());
        buf
    }

    /// The token with its code as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut buf = self.signed_bytes();
        buf.extend(&self.mac);
        buf
    }

    /// Decodes [`PlacementToken::to_bytes`]; the code is not checked.
    ///
    /// # Errors
    /// Input of another shape or with names or codes beyond the limits.
    pub fn from_bytes(bytes: &[u8]) -> Result<PlacementToken, IdError> {
        let mut reader = Reader { rest: bytes };
        if reader.byte()? != ENCODING_VERSION {
            return Err(IdError::Token);
        }
        let home = reader.node()?;
        let witness = match reader.byte()? {
            0 => None,
            1 => Some(reader.node()?),
            _ => return Err(IdError::Token),
        };
        let home_tick_ms = reader.number()?;
        let witness_tick_ms = reader.number()?;
        match reader.rest {
            mac if mac.len() <= MAX_MAC_BYTES => {
                let mac = mac.to_vec();
                Ok(PlacementToken { home, witness, home_tick_ms, witness_tick_ms, mac })
            }
            _ => Err(IdError::Token),
        }
    }

    /// Parses the text form.
    ///
    /// # Errors
    /// Text that is not URL-safe base64 of an encoded token.
    pub fn parse(text: &str) -> Result<PlacementToken, IdError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| IdError::Token)?;
        PlacementToken::from_bytes(&bytes)
    }
}

impl fmt::Display for PlacementToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(self.to_bytes()))
    }
}

fn write_node(buf: &mut Vec<u8>, node: &NodeRef) {
    let id = node.id.as_str().as_bytes();
    let id = &id[..id.len().min(MAX_NODE_ID_BYTES)];
    buf.push(id.len() as u8);
    buf.extend(id);
    buf.extend(node.incarnation.to_le_bytes());
}

/// Cursor over the bytes of a token.
struct Reader<'a> {
    rest: &'a [u8],
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Result<&[u8], IdError> {
        let (taken, rest) = self.rest.split_at_checked(count).ok_or(IdError::Token)?;
        self.rest = rest;
        Ok(taken)
    }

    fn byte(&mut self) -> Result<u8, IdError> {
        self.take(1).map(|bytes| bytes[0])
    }

    fn number(&mut self) -> Result<u64, IdError> {
        let bytes = self.take(8)?.try_into().map_err(|_| IdError::Token)?;
        Ok(u64::from_le_bytes(bytes))
    }

    fn node(&mut self) -> Result<NodeRef, IdError> {
        let len = usize::from(self.byte()?);
        if len == 0 || len > MAX_NODE_ID_BYTES {
            return Err(IdError::Token);
        }
        let id = std::str::from_utf8(self.take(len)?).map_err(|_| IdError::Token)?;
        let id = Name::from(id);
        Ok(NodeRef { id, incarnation: self.number()? })
    }
}

/// Id that a caller gives to a request: `<token>.<suffix>`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestId {
    token: Arc<PlacementToken>,
    suffix: Name,
}

impl RequestId {
    /// Id of `suffix` under `token`.
    ///
    /// # Errors
    /// A suffix that is empty, too long or holds other characters than letters,
    /// digits, `-` and `_`.
    pub fn new(token: PlacementToken, suffix: &str) -> Result<RequestId, IdError> {
        let allowed = |c: u8| c.is_ascii_alphanumeric() || c == b'-' || c == b'_';
        match suffix.len() {
            1..=MAX_SUFFIX_BYTES if suffix.bytes().all(allowed) => {
                Ok(RequestId { token: Arc::new(token), suffix: Name::from(suffix) })
            }
            _ => Err(IdError::Suffix),
        }
    }

    /// Parses `<token>.<suffix>`; the token's code is not checked.
    ///
    /// # Errors
    /// A malformed token or suffix.
    pub fn parse(text: &str) -> Result<RequestId, IdError> {
        let (token, suffix) = text.split_once('.').ok_or(IdError::Suffix)?;
        RequestId::new(PlacementToken::parse(token)?, suffix)
    }

    /// Token that the id was made under.
    pub fn token(&self) -> &PlacementToken {
        &self.token
    }

    /// Part that the caller chose.
    pub fn suffix(&self) -> &str {
        self.suffix.as_str()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.token, self.suffix)
    }
}

/// Reason for which a request id can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum IdError {
    /// the placement token is malformed
    Token,
    /// the request id needs a suffix of 1 to 64 letters, digits, `-` or `_` after the token
    Suffix,
}

impl std::error::Error for IdError {}
