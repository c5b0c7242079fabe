//! Tests of the merged host list.

use std::time::Duration;

use proptest::prelude::*;

use crate::hostlist::Host;
use crate::hostlist::HostKind;
use crate::hostlist::HostList;
use crate::hostlist::HostListConfig;
use crate::types::Name;
use crate::types::Time;
use crate::types::UpstreamKind;

const RETENTION: Duration = Duration::from_secs(10);

fn host(boot: u8, leaving: bool, node: bool) -> Host {
    let engine = HostKind::Upstream(UpstreamKind::Engine { slots: 8 });
    Host {
        name: Name::from("host-1"),
        address: Name::from("127.0.0.1:9000"),
        zone: Name::from("zone-a"),
        service: Name::from("models"),
        kind: if node { HostKind::Node } else { engine },
        leaving,
        fencing: true,
        boot_id: Name::from(boot.to_string()),
    }
}

/// Guards against seeds and upstreams of the wrong kind.
#[test]
fn nodes_are_seeds_and_other_hosts_upstreams() {
    let mut list = HostList::new(HostListConfig::default());
    list.update(Time::default(), vec![host(1, false, true)]);
    assert_eq!((list.upstreams().count(), list.node_seeds().count()), (0, 1));
    list.update(Time::default(), vec![host(2, false, false)]);
    assert_eq!((list.upstreams().count(), list.node_seeds().count()), (1, 0));
}

proptest! {
    /// Guards against a lagging list that returns a leaving host to the live state,
    /// and against a mark that outlives a restart or a long absence.
    #[test]
    fn leaving_mark_reverts_only_after_absence_or_restart(
        reads in prop::collection::vec((0_u64..6, prop::option::of((0_u8..3, any::<bool>()))), 1..60),
    ) {
        let mut list =
            HostList::new(HostListConfig { retention: RETENTION, ..HostListConfig::default() });
        let mut now = Time::default();
        // Boot id, whether it must be marked, and the first read without the host.
        let mut expected: Option<(u8, bool, Option<Time>)> = None;
        for (wait, shown) in reads {
            now = now + Duration::from_secs(wait);
            expected = match (shown, expected) {
                (Some((boot, leaving)), Some((last, marked, _))) => {
                    Some((boot, leaving || (marked && boot == last), None))
                }
                (Some((boot, leaving)), None) => Some((boot, leaving, None)),
                (None, Some((last, marked, since))) => {
                    let since = since.unwrap_or(now);
                    (now.since(since) < RETENTION).then_some((last, marked, Some(since)))
                }
                (None, None) => None,
            };
            let shown = shown.map(|(boot, leaving)| host(boot, leaving, false));
            list.update(now, shown.into_iter().collect());
            let seen = list.upstreams().next().map(|upstream| upstream.leaving);
            prop_assert_eq!(seen, expected.map(|(_, marked, _)| marked));
        }
    }
}
