//! Contract of the client of upstreams: decoders on any input, and answers that must be rejected.

use bytes::Bytes;
use fireflyhead_core::types::AdapterKey;
use http::HeaderMap;
use http::Method;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use serde_json::json;

use super::RunEnd;
use super::RunRequest;
use super::parse_report;
use super::run::StreamCheck;
use super::sse::EventSplitter;
use super::sse::EventTooLarge;
use super::sse::MAX_EVENT_BYTES;

fn request(resume_from: u32) -> RunRequest {
    RunRequest {
        id: "r-1".to_owned(),
        method: Method::POST,
        path: "/v1/completions".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        adapter: Some(AdapterKey::new("haiku", "2")),
        resume_from,
        check_after: None,
    }
}

/// Guards against events of another request, adapter or position that reach the caller.
#[test]
fn events_are_checked_against_the_request() {
    let good = json!({"id": "r-1", "model": "haiku@2", "choices": [{"text": "a"}], "token_offset": 3, "tokens": 2});
    let with = |field: &str, value: serde_json::Value| {
        let mut event = good.clone();
        event[field] = value;
        event.to_string()
    };
    let failed = |end: &RunEnd| matches!(end, RunEnd::Failed { sent: true, .. });
    let wrong = |end: &RunEnd| *end == RunEnd::WrongAdapter;
    type Expected = fn(&RunEnd) -> bool;
    let cases: [(&str, String, Expected); 8] = [
        ("other version", with("model", json!("haiku@1")), wrong),
        ("other adapter", with("model", json!("sonnet@2")), wrong),
        ("no model", with("model", json!(null)), wrong),
        ("other request", with("id", json!("r-2")), failed),
        ("gap", with("token_offset", json!(4)), failed),
        ("repeated tokens", with("token_offset", json!(2)), failed),
        ("error", with("error", json!({"message": "x"})), failed),
        ("no JSON", "{".to_owned(), failed),
    ];
    let request = request(3);
    let adapter = request.adapter.clone().unwrap();
    for (name, event, expected) in cases {
        let end = StreamCheck::new(&request, &adapter).event(&event).unwrap_err();
        assert!(expected(&end), "{name}: {end:?}");
    }
    let mut check = StreamCheck::new(&request, &adapter);
    assert_eq!(check.event(&good.to_string()), Ok(2));
    assert_eq!(check.event(&with("token_offset", json!(5))), Ok(2));
    assert_eq!(check.event("[DONE]"), Ok(0));
}

/// Guards against malformed load figures that clear or fill the slots of a dispatcher.
#[test]
fn malformed_load_figures_are_refused() {
    let cases = [
        (json!({"boot_id": "x-1", "loaded": ["a@1"], "running": 1, "waiting": 2}), true),
        (json!({"boot_id": 7, "loaded": []}), true),
        (json!({"loaded": ["a@1"]}), false),
        (json!({"boot_id": 7, "loaded": ["a"]}), false),
        (json!({"boot_id": 7, "loaded": [3]}), false),
        (json!([]), false),
    ];
    for (report, ok) in cases {
        assert_eq!(parse_report(&report).is_ok(), ok, "{report}");
    }
}

/// Guards against an engine that fills the memory of a node with one endless event.
#[test]
fn an_endless_event_is_refused() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(splitter.next_event(), Err(EventTooLarge));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against events that depend on how the bytes are split on their way.
    #[test]
    fn events_survive_any_split(texts in vec("[a-z {}é]{0,30}", 1..10), cut in 1_usize..20) {
        let body: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        let mut splitter = EventSplitter::default();
        let mut found = Vec::new();
        for part in body.as_bytes().chunks(cut) {
            splitter.push(part);
            while let Some(event) = splitter.next_event().unwrap() {
                found.push(event.data);
            }
        }
        assert_eq!(found, texts);
    }

    /// Guards against input that panics the splitter or loses bytes between events.
    #[test]
    fn any_bytes_are_split(parts in vec(vec(any::<u8>(), 0..40), 0..20)) {
        let mut splitter = EventSplitter::default();
        let mut raw = Vec::new();
        for part in &parts {
            splitter.push(part);
            while let Ok(Some(event)) = splitter.next_event() {
                raw.extend_from_slice(&event.raw);
            }
        }
        assert!(parts.concat().starts_with(&raw));
    }

    /// Guards against events that panic the check.
    #[test]
    fn any_event_is_checked(data in any::<String>()) {
        let request = request(0);
        let adapter = request.adapter.clone().unwrap();
        let _checked = StreamCheck::new(&request, &adapter).event(&data);
    }
}
