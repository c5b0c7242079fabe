//! Reading of completion requests.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use bytes::Bytes;
use fireflyhead_core::table::Policy;
use serde_json::Map;
use serde_json::Value;

use crate::entry::error::EntryError;

/// Bytes of text that make a token on average, for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens generated if the request names no number, for estimates.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Largest number of tokens that a request may ask for.
const MAX_OUTPUT_TOKENS: u64 = 1 << 20;

/// Bytes at the beginning of a prompt by which equal prefixes are recognised.
const PREFIX_BYTES: usize = 512;

/// Completion request after its fields were checked.
pub(super) struct ModelRequest {
    pub(super) model: String,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) prefix: Option<u64>,
    pub(super) streamed: bool,
    object: Map<String, Value>,
}

impl ModelRequest {
    /// Body for the engine: the exact adapter version and the priority.
    pub(super) fn body_for(&mut self, policy: &Policy) -> Bytes {
        if let Some(adapter) = &policy.adapter {
            self.object.insert("model".to_owned(), adapter.to_string().into());
        }
        self.object.insert("priority".to_owned(), policy.terms.rank.index().into());
        self.object.remove("resume_from");
        Bytes::from(Value::Object(std::mem::take(&mut self.object)).to_string())
    }
}

/// Reads the JSON body of a completion request.
pub(super) fn parse(body: &[u8]) -> Result<ModelRequest, EntryError> {
    let malformed =
        |field, message: &str| Err(EntryError::not_run("malformed_body", message).field(field));
    let object = match serde_json::from_slice(body) {
        Ok(Value::Object(object)) => object,
        Ok(_) => return malformed("body", "the body must be a JSON object"),
        Err(e) => return malformed("body", &format!("the body is not JSON: {e}")),
    };
    let Some(Value::String(model)) = object.get("model") else {
        return malformed("model", "`model` must be a text such as `adapter` or `adapter@version`");
    };
    if model.is_empty() {
        return malformed("model", "`model` must not be empty");
    }
    if !matches!(object.get("stream"), None | Some(Value::Bool(_) | Value::Null)) {
        return malformed("stream", "`stream` must be true or false");
    }
    let output_tokens = match object.get("max_tokens") {
        None | Some(Value::Null) => DEFAULT_OUTPUT_TOKENS,
        Some(number) => match number.as_u64() {
            Some(count @ 1..=MAX_OUTPUT_TOKENS) => u32::try_from(count).unwrap_or(u32::MAX),
            _ => return malformed("max_tokens", "`max_tokens` must be between 1 and 1048576"),
        },
    };
    let mut text = Text { hasher: DefaultHasher::new(), bytes: 0 };
    for field in ["prompt", "messages"] {
        if let Some(value) = object.get(field) {
            text.add(value);
        }
    }
    let prefix = (text.bytes >= PREFIX_BYTES).then(|| text.hasher.finish());
    let prompt_tokens = u32::try_from(text.bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let (model, streamed) = (model.clone(), object.get("stream") == Some(&Value::Bool(true)));
    Ok(ModelRequest { model, prompt_tokens, output_tokens, prefix, streamed, object })
}

/// Length and beginning of the text of a prompt.
struct Text {
    hasher: DefaultHasher,
    bytes: usize,
}

impl Text {
    fn add(&mut self, value: &Value) {
        match value {
            Value::String(text) => {
                let left = PREFIX_BYTES.saturating_sub(self.bytes).min(text.len());
                text.as_bytes()[..left].hash(&mut self.hasher);
                self.bytes += text.len();
            }
            Value::Array(items) => items.iter().for_each(|item| self.add(item)),
            Value::Object(fields) => fields.values().for_each(|field| self.add(field)),
            Value::Null | Value::Bool(_) | Value::Number(_) => {}
        }
    }
}
