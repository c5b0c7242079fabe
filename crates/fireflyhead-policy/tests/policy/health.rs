//! Ejection of failing upstreams.

use fireflyhead_policy::Time;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::health::UpstreamHealth;

use crate::setup::ms;

/// Returns whether `failures` in a row eject an upstream.
fn ejected_after(failures: &[Failure]) -> bool {
    let mut health = UpstreamHealth::default();
    failures.iter().any(|kind| health.record_failure(ms(0), *kind).is_some())
}

/// Guards against an upstream that still receives requests although it can't serve them, and
/// against the ejection of one that works but returns error responses of its application.
#[test]
fn connection_failures_and_timeouts_eject_but_error_responses_do_not() {
    use Failure::Broken;
    use Failure::Connect;
    use Failure::ErrorResponse;
    use Failure::Timeout;
    let cases: [(&str, &[Failure], bool); 6] = [
        ("one broken connection", &[Broken], false),
        ("three broken connections in a row", &[Broken, Broken, Broken], true),
        ("two failed connections", &[Connect, Connect], true),
        ("two timeouts", &[Timeout, Timeout], true),
        ("three error responses", &[ErrorResponse, ErrorResponse, ErrorResponse], false),
        ("no failure", &[], false),
    ];
    for (name, failures, expected) in cases {
        assert_eq!(ejected_after(failures), expected, "{name}");
    }
}

/// Guards against the ejection of all upstreams by a route on which one response in seven is an
/// application error by design.
#[test]
fn one_error_response_in_seven_ejects_no_upstream() {
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

/// Guards against an upstream that stays ejected forever, and against one that receives requests
/// again too soon although it still fails.
#[test]
fn ejections_end_and_double_up_to_the_maximum() {
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
