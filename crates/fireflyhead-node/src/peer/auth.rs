//! Authentication of requests between nodes.
//!
//! Each request carries its sender, a timestamp, a nonce and an HMAC of them
//! under the peers' key. The timestamp bounds how long a nonce must be
//! remembered to recognise a replayed request.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use hmac::Hmac;
use hmac::Mac;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use sha2::Sha256;

/// Largest difference between the timestamp of a request and the receiver's wall clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);

/// Nonces remembered at most; more requests within the skew are refused.
const MAX_NONCES: usize = 1_000_000;

/// Remembered nonces above which expired ones are searched.
const SWEEP_NONCES: usize = 10_000;

/// Bytes of the code of a placement token.
const TOKEN_MAC_BYTES: usize = 16;

/// Prefix that separates codes of tokens from codes of requests.
const TOKEN_DOMAIN: &[u8] = b"placement-token\0";

const NODE: HeaderName = HeaderName::from_static("x-peer-node");
const INCARNATION: HeaderName = HeaderName::from_static("x-peer-incarnation");
const TIME: HeaderName = HeaderName::from_static("x-peer-time");
const NONCE: HeaderName = HeaderName::from_static("x-peer-nonce");
const MAC: HeaderName = HeaderName::from_static("x-peer-mac");

/// Reason for which a request is not authentic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum AuthError {
    /// an authentication header is missing or malformed
    Malformed,
    /// the authentication code does not match
    WrongMac,
    /// the timestamp is too far from the receiver's clock
    Expired,
    /// the nonce was used before
    Replayed,
}

impl std::error::Error for AuthError {}

/// Signs and verifies requests between nodes.
pub struct Authenticator {
    key: Vec<u8>,
    seen: Mutex<Seen>,
}

#[derive(Default)]
struct Seen {
    nonces: HashMap<(Name, u64, u64), u64>,
    swept_ms: u64,
}

impl Authenticator {
    /// Authenticator under the peers' key.
    pub fn new(key: &str) -> Authenticator {
        Authenticator { key: key.as_bytes().to_vec(), seen: Mutex::default() }
    }

    /// Headers that authenticate a request of `node` to `path`.
    pub fn sign(&self, node: &NodeRef, path: &str) -> HeaderMap {
        self.sign_at(node, path, unix_ms(), rand::random())
    }

    fn sign_at(&self, node: &NodeRef, path: &str, time_ms: u64, nonce: u64) -> HeaderMap {
        let mac = self.mac(node, path, time_ms, nonce).finalize().into_bytes();
        let mut headers = HeaderMap::new();
        let mut insert = |name, text: &str| {
            if let Ok(value) = HeaderValue::from_str(text) {
                headers.insert(name, value);
            }
        };
        insert(NODE, node.id.as_str());
        insert(INCARNATION, &node.incarnation.to_string());
        insert(TIME, &time_ms.to_string());
        insert(NONCE, &nonce.to_string());
        insert(MAC, &URL_SAFE_NO_PAD.encode(mac));
        headers
    }

    /// Sender of a request to `path`.
    ///
    /// # Errors
    /// Requests that no holder of the key sent just now for the first time.
    pub fn verify(&self, headers: &HeaderMap, path: &str) -> Result<NodeRef, AuthError> {
        self.verify_at(headers, path, unix_ms())
    }

    fn verify_at(&self, headers: &HeaderMap, path: &str, now: u64) -> Result<NodeRef, AuthError> {
        let text = |name| {
            let value: Option<&HeaderValue> = headers.get(name);
            value.and_then(|value| value.to_str().ok()).ok_or(AuthError::Malformed)
        };
        let number = |name| text(name)?.parse::<u64>().map_err(|_| AuthError::Malformed);
        let node = NodeRef { id: Name::from(text(NODE)?), incarnation: number(INCARNATION)? };
        let (time, nonce) = (number(TIME)?, number(NONCE)?);
        let mac = URL_SAFE_NO_PAD.decode(text(MAC)?).map_err(|_| AuthError::Malformed)?;
        // `verify_slice` compares in constant time.
        let computed = self.mac(&node, path, time, nonce);
        computed.verify_slice(&mac).map_err(|_| AuthError::WrongMac)?;
        if u128::from(now.abs_diff(time)) > MAX_CLOCK_SKEW.as_millis() {
            return Err(AuthError::Expired);
        }
        self.remember(&node, nonce, time, now)?;
        Ok(node)
    }

    /// Code of the bytes of a placement token.
    pub fn sign_token(&self, bytes: &[u8]) -> Vec<u8> {
        let mac = self.token_mac(bytes).finalize().into_bytes();
        mac[..TOKEN_MAC_BYTES].to_vec()
    }

    /// Whether `mac` is the code of the bytes of a placement token.
    pub fn verify_token(&self, bytes: &[u8], mac: &[u8]) -> bool {
        // `verify_truncated_left` compares in constant time.
        mac.len() == TOKEN_MAC_BYTES && self.token_mac(bytes).verify_truncated_left(mac).is_ok()
    }

    fn token_mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC takes a key of any length");
        mac.update(TOKEN_DOMAIN);
        mac.update(bytes);
        mac
    }

    fn mac(&self, node: &NodeRef, path: &str, time_ms: u64, nonce: u64) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC takes a key of any length");
        for part in [node.id.as_str(), path] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        for number in [node.incarnation, time_ms, nonce] {
            mac.update(&number.to_be_bytes());
        }
        mac
    }

    fn remember(&self, node: &NodeRef, nonce: u64, time: u64, now: u64) -> Result<(), AuthError> {
        let skew = u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap_or(u64::MAX);
        let mut seen = self.seen.lock().expect("no holder of this lock panics");
        if seen.nonces.len() >= SWEEP_NONCES && now.saturating_sub(seen.swept_ms) > skew {
            seen.nonces.retain(|_, time| time.saturating_add(skew) >= now);
            seen.swept_ms = now;
        }
        if seen.nonces.len() >= MAX_NONCES {
            return Err(AuthError::Replayed);
        }
        match seen.nonces.insert((node.id.clone(), node.incarnation, nonce), time) {
            Some(_) => Err(AuthError::Replayed),
            None => Ok(()),
        }
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
