//! Route lookup and the traffic split of a route.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::config::RequestLimits;
use fireflyhead_policy::config::Route;
use fireflyhead_policy::config::RouteKind;
use fireflyhead_policy::config::RoutePolicy;
use fireflyhead_policy::config::TrafficShare;
use proptest::prelude::*;

pub(crate) fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: Name::from(format!("{host}{prefix}")),
        host: Name::from(host),
        prefix: Name::from(prefix),
        method: None,
        is_public: false,
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        pause_objective: None,
        stall_timeout: None,
        priority: 0,
        traffic_split: vec![TrafficShare { service: Name::from("desk"), weight: 1 }],
        max_attempts: 2,
        policy: RoutePolicy::default(),
    }
}

fn config(prefixes: &[String]) -> Config {
    let routes = prefixes.iter().map(|prefix| route("example", prefix)).collect();
    Config::new(1, RequestLimits::default(), routes, Vec::new())
}

proptest! {
    /// Guards against a request that is assigned to the route of a shorter prefix: the lookup by
    /// hash must give the same route as a search through all routes.
    #[test]
    fn the_longest_prefix_wins(
        prefixes in proptest::collection::vec("(/[ab]{1,2}){0,3}/", 1..12),
        path in "(/[abc]{1,2}){0,4}/?",
    ) {
        let config = config(&prefixes);
        let expected = prefixes
            .iter()
            .filter(|prefix| path.starts_with(prefix.as_str()))
            .max_by_key(|prefix| prefix.len());
        let found = config.route("example", &path).map(|route| route.prefix.to_string());
        prop_assert_eq!(found.as_ref(), expected);
        prop_assert!(config.route("other", &path).is_none());
    }
}

/// Guards against a traffic split that deviates from its weights, and against a retry that is sent
/// to another service because the second lookup of the request gives another one.
#[test]
fn the_traffic_split_follows_its_weights() {
    let mut route = route("example", "/a/");
    route.traffic_split = vec![
        TrafficShare { service: Name::from("one"), weight: 90 },
        TrafficShare { service: Name::from("two"), weight: 10 },
    ];
    let ids: Vec<String> = (0..4_000).map(|n| format!("request-{n}")).collect();
    let second = ids.iter().filter(|id| route.service_for(id).is_some_and(|s| s.as_str() == "two"));
    let share = second.count() as f64 / ids.len() as f64;
    assert!((0.08..0.12).contains(&share), "share of the second service: {share}");
    assert!(ids.iter().all(|id| route.service_for(id) == route.service_for(id)));
    route.traffic_split.clear();
    assert_eq!(route.service_for("request-1"), None);
}
