//! Service times of the routes, and the requests that a stopping node may still begin.

use std::time::Duration;

use fireflyhead_policy::Time;
use fireflyhead_policy::config::Route;
use fireflyhead_policy::config::RouteKind;
use fireflyhead_policy::service_times::ServiceTimes;

use crate::config::route;
use crate::setup::ms;

/// Returns a route of this kind with an objective of 300 ms.
fn route_of(kind: RouteKind) -> Route {
    Route { kind, objective: Duration::from_millis(300), ..route("shop.example", "/r/") }
}

/// Guards against a service time that is forgotten soon after it was observed, or kept for good.
#[test]
fn the_longest_service_time_is_remembered_for_one_to_two_minutes() {
    let mut times = ServiceTimes::default();
    let name = route("shop.example", "/r/").name;
    let longest = |times: &ServiceTimes, at: Time| times.longest(at, &name);
    assert_eq!(longest(&times, ms(0)), None);
    times.record(ms(0), &name, Duration::from_secs(5));
    for n in 1..=90 {
        times.record(ms(n * 1_000), &name, Duration::from_secs(1));
    }
    assert_eq!(longest(&times, ms(90_000)), Some(Duration::from_secs(5)));
    times.record(ms(121_000), &name, Duration::from_secs(1));
    assert_eq!(longest(&times, ms(121_000)), Some(Duration::from_secs(1)));
    assert_eq!(longest(&times, ms(400_000)), None);
}

/// Guards against requests that are begun although they outlast the process, and against those that
/// are rejected although their caller gives up, or their route's requests end, before that.
#[test]
fn a_request_begins_only_if_it_is_expected_to_end_before_the_process() {
    let stream = route_of(RouteKind::Streaming { resumable: true });
    let idempotent = route_of(RouteKind::Idempotent);
    let order = route_of(RouteKind::NonIdempotent);
    let (now, late, early, end) = (ms(1_000), ms(20_000), ms(4_000), ms(5_000));
    let mut times = ServiceTimes::default();
    for (route, unknown_fits) in [(&stream, false), (&order, false), (&idempotent, true)] {
        assert_eq!(times.ends_before(now, route, late, end), unknown_fits, "{:?}", route.kind);
        assert!(times.ends_before(now, route, early, end), "{:?}", route.kind);
    }
    times.record(ms(0), &stream.name, Duration::from_millis(4_000));
    for route in [&stream, &order, &idempotent] {
        assert!(times.ends_before(now, route, late, end));
        assert!(!times.ends_before(ms(1_001), route, late, end));
        assert!(times.ends_before(ms(1_001), route, early, end));
    }
}
