//! Guards against accepting requests that no holder of the key sent.

use fireflyhead_core::types::NodeRef;

use super::AuthError;
use super::Authenticator;

const NOW: u64 = 1_000_000;

fn node() -> NodeRef {
    NodeRef { id: "node-1".into(), incarnation: 7 }
}

#[test]
fn rejects_each_kind_of_forged_request() {
    let auth = Authenticator::new("key");
    type Fault = fn(&mut http::HeaderMap);
    let cases: [(&str, Fault, &str, u64, AuthError); 7] = [
        ("no mac", |h| drop(h.remove("x-peer-mac")), "/a", NOW, AuthError::Malformed),
        (
            "bad time",
            |h| drop(h.insert("x-peer-time", "x".parse().unwrap())),
            "/a",
            NOW,
            AuthError::Malformed,
        ),
        (
            "other node",
            |h| drop(h.insert("x-peer-node", "node-2".parse().unwrap())),
            "/a",
            NOW,
            AuthError::WrongMac,
        ),
        (
            "other incarnation",
            |h| drop(h.insert("x-peer-incarnation", "8".parse().unwrap())),
            "/a",
            NOW,
            AuthError::WrongMac,
        ),
        ("other path", |_| (), "/b", NOW, AuthError::WrongMac),
        ("late", |_| (), "/a", NOW + 30_001, AuthError::Expired),
        ("early", |_| (), "/a", NOW - 30_001, AuthError::Expired),
    ];
    for (name, fault, path, now, expected) in cases {
        let mut headers = auth.sign_at(&node(), "/a", NOW, 1);
        fault(&mut headers);
        assert_eq!(auth.verify_at(&headers, path, now), Err(expected), "{name}");
    }
    let foreign = Authenticator::new("other").sign_at(&node(), "/a", NOW, 1);
    assert_eq!(auth.verify_at(&foreign, "/a", NOW), Err(AuthError::WrongMac));
}

#[test]
fn accepts_a_request_once() {
    let auth = Authenticator::new("key");
    let headers = auth.sign_at(&node(), "/a", NOW, 1);
    assert_eq!(auth.verify_at(&headers, "/a", NOW + 29_000), Ok(node()));
    assert_eq!(auth.verify_at(&headers, "/a", NOW + 29_001), Err(AuthError::Replayed));
}
