//! Ejection of failing upstreams.

use fireflyhead_policy::Time;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::health::Health;

use crate::setup::ms;

fn ejected_after(failures: &[Failure]) -> bool {
    let mut health = Health::default();
    failures.iter().any(|kind| health.failure(ms(0), *kind).is_some())
}

/// Guards against an upstream that keeps receiving requests that it can't answer, and against
/// one that is ejected for errors that the application makes by itself.
#[test]
fn kinds_of_failure_weigh_differently() {
    use Failure::Broken;
    use Failure::Connect;
    use Failure::Error;
    use Failure::Silent;
    let cases: [(&str, &[Failure], bool); 6] = [
        ("one reset", &[Broken], false),
        ("three resets in a row", &[Broken, Broken, Broken], true),
        ("two failed connections", &[Connect, Connect], true),
        ("two silences", &[Silent, Silent], true),
        ("three errors", &[Error, Error, Error], false),
        ("nothing", &[], false),
    ];
    for (name, failures, expected) in cases {
        assert_eq!(ejected_after(failures), expected, "{name}");
    }
}

/// Guards against an application error rate of a seventh, which one route has by design, ejecting all upstreams.
#[test]
fn one_error_in_seven_ejects_nobody() {
    let mut health = Health::default();
    for n in 0..700 {
        match n % 7 {
            0 => assert_eq!(health.failure(ms(n), Failure::Error), None, "at request {n}"),
            _ => health.success(),
        }
    }
}

/// Guards against an upstream that never comes back, and against one that is tried at once.
#[test]
fn ejections_end_and_grow_while_it_fails() {
    let mut health = Health::default();
    let mut spans = Vec::new();
    let mut now = Time::default();
    for _ in 0..4 {
        let until = loop {
            if let Some(until) = health.failure(now, Failure::Connect) {
                break until;
            }
        };
        spans.push(until.since(now).as_millis());
        assert!(health.ejected(now));
        assert!(!health.ejected(until));
        now = until;
    }
    assert_eq!(spans, vec![600, 1_200, 2_400, 2_400]);
}
