//! Reading of completion requests.

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;

use super::model;

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against bodies that panic the reader.
    #[test]
    fn any_body_is_read_or_refused(body in vec(any::<u8>(), 0..200)) {
        let _read = model::parse(&body);
    }

    /// Guards against prompts in the forms of the interface that are not counted.
    #[test]
    fn prompts_and_messages_are_counted(text in "[a-zé ]{0,80}", stream in any::<bool>()) {
        let prompt = serde_json::json!({"model": "a", "stream": stream, "prompt": text});
        let parts = serde_json::json!({"model": "a", "prompt": [text]});
        for body in [prompt, parts] {
            let read = model::parse(body.to_string().as_bytes()).map_err(|e| e.message);
            assert_eq!(read.map(|read| read.prompt_tokens as usize), Ok(text.len() / 4));
        }
    }
}
