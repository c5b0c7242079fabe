//! Tests of the host list's format.

use fireflyhead_core::hostlist::HostKind;
use fireflyhead_core::types::UpstreamKind;

use crate::hosts::parse;

/// Guards against a change of the published format going unnoticed.
#[test]
fn the_published_format_is_read() {
    let body = br#"[
        {"name": "n1", "address": "127.0.0.1:1", "zone": "a", "service": "entry", "kind": "node",
         "state": "live", "slots": 0, "fencing": false, "boot_id": "b1"},
        {"name": "w1", "address": "127.0.0.1:2", "zone": "a", "service": "models", "kind": "engine",
         "state": "leaving", "slots": 8, "fencing": true, "boot_id": "b2"},
        {"name": "s1", "address": "127.0.0.1:3", "zone": "b", "service": "desk", "kind": "service",
         "state": "live"}
    ]"#;
    let hosts = parse(body).expect("it is valid");
    let kinds: Vec<HostKind> = hosts.iter().map(|host| host.kind).collect();
    let engine = HostKind::Upstream(UpstreamKind::Engine { slots: 8 });
    assert_eq!(kinds, [HostKind::Node, engine, HostKind::Upstream(UpstreamKind::Service)]);
    assert_eq!(hosts.iter().map(|host| host.leaving).collect::<Vec<_>>(), [false, true, false]);
    assert!(hosts[1].fencing && hosts[1].boot_id.as_str() == "b2");
}

/// Guards against half a list that would show hosts as absent.
#[test]
fn malformed_lists_are_rejected() {
    for body in [&b"[{\"name\": \"n1\"}]"[..], b"", b"{}", b"[", b"null"] {
        assert!(parse(body).is_err());
    }
}
