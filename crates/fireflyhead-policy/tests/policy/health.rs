//! Ejection of failing upstreams.

use fireflyhead_policy::Time;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::health::UpstreamHealth;

use crate::setup::ms;

fn ejected_after(failures: &[Failure]) -> bool {
    let mut health = UpstreamHealth::default();
    failures.iter().any(|kind| health.record_failure(ms(0), *kind).is_some())
}

/// Guards against an upstream that keeps receiving requests that it can't answer, and against
/// one that is ejected for errors that the application makes by itself.
#[test]
fn kinds_of_failure_weigh_differently() {
    use Failure::Broken;
    use Failure::Connect;
    use Failure::ErrorResponse;
    use Failure::Timeout;
    let cases: [(&str, &[Failure], bool); 6] = [
        ("one reset", &[Broken], false),
        ("three resets in a row", &[Broken, Broken, Broken], true),
        ("two failed connections", &[Connect, Connect], true),
        ("two silences", &[Timeout, Timeout], true),
        ("three errors", &[ErrorResponse, ErrorResponse, ErrorResponse], false),
        ("nothing", &[], false),
    ];
    for (name, failures, expected) in cases {
        assert_eq!(ejected_after(failures), expected, "{name}");
    }
}

/// Guards against an application error rate of a seventh, which one route has by design, ejecting all upstreams.
#[test]
fn one_error_in_seven_ejects_nobody() {
    let mut health = UpstreamHealth::default();
    for n in 0..700 {
        match n % 7 {
            0 => assert_eq!(
                health.record_failure(ms(n), Failure::ErrorResponse),
                None,
                "at request {n}"
            ),
            _ => health.record_success(),
        }
    }
}

/// Guards against an upstream that never comes back, and against one that is tried at once.
#[test]
fn ejections_end_and_grow_while_it_fails() {
    let mut health = UpstreamHealth::default();
    let mut spans = Vec::new();
    let mut now = Time::default();
    for _ in 0..4 {
        let until = loop {
            if let Some(until) = health.record_failure(now, Failure::Connect) {
                break until;
            }
        };
        spans.push(until.since(now).as_millis());
        assert!(health.is_ejected(now));
        assert!(!health.is_ejected(until));
        now = until;
    }
    assert_eq!(spans, vec![600, 1_200, 2_400, 2_400]);
}
