//! Messages of the JSON gateway.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Bytes, in base64 on the wire.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Base64(pub(super) Vec<u8>);

impl Base64 {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Base64, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Base64).map_err(D::Error::custom)
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

/// 64-bit number: a string on the wire, also accepted as a number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Int64(pub(super) i64);

impl Int64 {
    #[expect(clippy::trivially_copy_pass_by_ref, reason = "required by serde")]
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum NumberOrText {
    Number(i64),
    Text(String),
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Int64, D::Error> {
        match NumberOrText::deserialize(deserializer)? {
            NumberOrText::Number(number) => Ok(Int64(number)),
            NumberOrText::Text(text) => text.parse().map(Int64).map_err(D::Error::custom),
        }
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(super) struct Header {
    pub(super) revision: Int64,
}

#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(super) struct KeyValue {
    pub(super) key: Base64,
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub(super) create_revision: Int64,
    pub(super) mod_revision: Int64,
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub(super) version: Int64,
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub(super) value: Base64,
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub(super) lease: Int64,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    pub(super) key: Base64,
    pub(super) range_end: Base64,
    pub(super) limit: Int64,
}

#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(super) struct RangeResponse {
    pub(super) header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub(super) count: Int64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) more: bool,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    pub(super) key: Base64,
    pub(super) value: Base64,
    pub(super) lease: Int64,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct DeleteRequest {
    pub(super) key: Base64,
    pub(super) range_end: Base64,
}

#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    #[serde(rename = "NOT_EQUAL")]
    NotEqual,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    pub(super) result: CompareResult,
    pub(super) target: CompareTarget,
    pub(super) key: Base64,
    pub(super) mod_revision: Int64,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RequestOp {
    pub(super) request_range: Option<RangeRequest>,
    pub(super) request_put: Option<PutRequest>,
    pub(super) request_delete_range: Option<DeleteRequest>,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<RequestOp>,
    pub(super) failure: Vec<RequestOp>,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(super) id: Int64,
    #[serde(rename = "TTL")]
    pub(super) ttl: Int64,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    pub(super) key: Base64,
    pub(super) range_end: Base64,
    pub(super) start_revision: Int64,
    pub(super) progress_notify: bool,
}
