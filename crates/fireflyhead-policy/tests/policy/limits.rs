//! Rate limits, in-flight limits and floors of routes.

use fireflyhead_policy::Name;
use fireflyhead_policy::config::RoutePolicy;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::limits::RouteLimits;

use crate::setup::ms;
use crate::setup::plain_job;
use crate::setup::test_node;

/// Guards against a route that exceeds its rate limit, also because each of several nodes grants
/// the whole limit.
#[test]
fn a_rate_limit_is_divided_among_the_nodes() {
    let policy = RoutePolicy { rate: Some(20.0), ..RoutePolicy::default() };
    let route = Name::from("drafts");
    for (nodes, expected) in [(1, 20 + 100), (4, 5 + 25)] {
        let mut limits = RouteLimits::default();
        let admitted = (0..5_000)
            .filter(|now| limits.try_acquire(ms(*now), &route, &policy, nodes).is_ok())
            .count();
        assert!(admitted.abs_diff(expected) <= 1, "{nodes} nodes: {admitted} admitted");
    }
}

/// Guards against a route that admits nothing for a long time once it gets a rate, because it took tokens
/// while it had none.
#[test]
fn requests_without_a_rate_take_no_tokens() {
    let route = Name::from("drafts");
    let mut limits = RouteLimits::default();
    for now in 0..60_000 {
        assert!(limits.try_acquire(ms(now), &route, &RoutePolicy::default(), 1).is_ok());
    }
    let policy = RoutePolicy { rate: Some(100.0), ..RoutePolicy::default() };
    let admitted = (60_000..61_000)
        .filter(|now| limits.try_acquire(ms(*now), &route, &policy, 1).is_ok())
        .count();
    assert!(admitted.abs_diff(200) <= 1, "{admitted} admitted");
}

/// Guards against an in-flight limit that is exceeded, and against a route that stays blocked
/// because a finished request still counts.
#[test]
fn a_finished_request_frees_a_slot_of_the_in_flight_limit() {
    let policy = RoutePolicy { in_flight: Some(3), ..RoutePolicy::default() };
    let route = Name::from("drafts");
    let mut limits = RouteLimits::default();
    let admitted: Vec<bool> =
        (0..4).map(|_| limits.try_acquire(ms(0), &route, &policy, 1).is_ok()).collect();
    assert_eq!(admitted, [true, true, true, false]);
    limits.release(&route);
    assert!(limits.try_acquire(ms(0), &route, &policy, 1).is_ok());
}

/// Guards against the starvation of background requests by a flood of urgent ones: the background
/// route must get its floor, 0.2 of the requests that are sent.
#[test]
fn a_background_route_gets_its_floor_in_a_flood_of_urgent_requests() {
    let mut node = test_node(0, 1);
    let mut next = 0;
    let mut running: Vec<JobId> = Vec::new();
    let mut sent = [0_u32; 2];
    for step in 0..1_500 {
        let now = ms(step * 10);
        for (priority, floor) in [(0, 0.0), (2, 0.2)] {
            next += 1;
            let job =
                Job { floor, ..plain_job(next * 2 + u64::from(priority == 2), now, priority) };
            let id = job.id;
            if node.submit(now, job).is_some() {
                running.push(id);
            }
        }
        if running.len() >= 9 {
            node.record_outcome(now, running.remove(0), SendOutcome::Served);
        }
        for (id, decision) in node.dispatch_waiting(now) {
            if matches!(decision, fireflyhead_policy::dispatch::DispatchDecision::Send { .. }) {
                sent[(id.0 % 2) as usize] += 1;
                running.push(id);
            }
        }
    }
    let share = f64::from(sent[1]) / f64::from(sent[0] + sent[1]);
    assert!(
        (0.19..0.3).contains(&share),
        "share of the background route: {share:.3}, sent: {sent:?}"
    );
}
