//! Messages of the etcd v3 JSON gateway: base64 keys and values, numbers as strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde_json::Value;
use serde_json::json;

use crate::kv::KeyValue;
use crate::kv::LeaseId;

/// Code of an error that concerns a missing lease, as gRPC numbers it.
pub(super) const CODE_NOT_FOUND: u32 = 5;

fn base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}

#[derive(Deserialize)]
#[serde(untagged)]
enum NumberOrText {
    Number(i64),
    Text(String),
}

fn int64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    match NumberOrText::deserialize(deserializer)? {
        NumberOrText::Number(number) => Ok(number),
        NumberOrText::Text(text) => text.parse().map_err(D::Error::custom),
    }
}

/// Bytes as they travel in a request.
pub(super) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// First key after all keys that begin with `prefix`; `\0` stands for the end of the key space.
pub(super) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Transaction that runs `success` if the key's revision is `expected`, else reads the key.
pub(super) fn swap_request(key: &str, expected: i64, success: &Value) -> Value {
    json!({
        "compare": [{
            "target": "MOD",
            "result": "EQUAL",
            "key": encode(key.as_bytes()),
            "mod_revision": expected.to_string(),
        }],
        "success": [success],
        "failure": [{"request_range": {"key": encode(key.as_bytes())}}],
    })
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Header {
    #[serde(deserialize_with = "int64")]
    pub(super) revision: i64,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WireKeyValue {
    #[serde(deserialize_with = "base64")]
    key: Vec<u8>,
    #[serde(deserialize_with = "base64")]
    value: Vec<u8>,
    #[serde(deserialize_with = "int64")]
    mod_revision: i64,
    #[serde(deserialize_with = "int64")]
    lease: LeaseId,
}

impl From<WireKeyValue> for KeyValue {
    fn from(wire: WireKeyValue) -> KeyValue {
        KeyValue {
            key: String::from_utf8_lossy(&wire.key).into_owned(),
            value: Bytes::from(wire.value),
            revision: wire.mod_revision,
            lease: wire.lease,
        }
    }
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) kvs: Vec<WireKeyValue>,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct ResponseOp {
    pub(super) response_range: Option<RangeResponse>,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: Header,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<ResponseOp>,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID", deserialize_with = "int64")]
    pub(super) id: LeaseId,
    /// Time to live in seconds; 0 if the lease does not exist.
    #[serde(rename = "TTL", deserialize_with = "int64")]
    pub(super) ttl: i64,
}

/// Envelope of the messages of streaming calls.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Streamed<T> {
    pub(super) result: Option<T>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum EventType {
    #[default]
    Put,
    Delete,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WireEvent {
    #[serde(rename = "type")]
    pub(super) kind: EventType,
    pub(super) kv: WireKeyValue,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) header: Header,
    pub(super) created: bool,
    pub(super) canceled: bool,
    pub(super) events: Vec<WireEvent>,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct ErrorBody {
    pub(super) code: u32,
    pub(super) message: String,
}
