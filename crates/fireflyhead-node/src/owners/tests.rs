//! Tests of the ownership's actor with a key-value service in memory.

mod store;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::ownership::OwnershipConfig;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Role;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_core::types::UpstreamKind;
use kameo::actor::ActorRef;

use crate::context::NodeContext;
use crate::context::StoreState;
use crate::members::Members;
use crate::members::tests::eventually;
use crate::members::tests::start;
use crate::owners;
use crate::owners::Drain;
use crate::owners::IsReleased;
use crate::owners::MayOrder;
use crate::owners::NODE_PREFIX;
use crate::owners::OWNER_PREFIX;
use crate::owners::Owners;
use crate::owners::Revoke;
use crate::owners::SubscribeHandovers;
use crate::owners::tests::store::FakeStore;
use crate::owners::tests::store::Faults;

/// Time to live of leases in the tests.
const TTL: Duration = Duration::from_millis(900);

struct Node {
    cx: NodeContext,
    members: ActorRef<Members>,
    owners: ActorRef<Owners>,
}

async fn node(id: &str, seeds: &str, store: &FakeStore) -> Node {
    let (cx, members) = start(id, "key", seeds).await;
    let upstream = |n: usize| UpstreamInfo {
        name: Name::from(format!("worker-{n}")),
        service: Name::from("models"),
        zone: Name::from("zone-a"),
        address: Name::from("127.0.0.1:1"),
        kind: UpstreamKind::Engine { slots: 8 },
        fencing: n == 0,
        leaving: false,
    };
    let upstreams: HashMap<Name, UpstreamInfo> =
        (0..3).map(upstream).map(|upstream| (upstream.name.clone(), upstream)).collect();
    cx.upstreams.send_replace(Arc::new(upstreams));
    let cfg = OwnershipConfig::with_ttl(TTL);
    let owners = owners::spawn_with(cx.clone(), cfg, Arc::new(store.clone()), members.clone());
    Node { cx, members, owners }
}

impl Node {
    fn owned(&self) -> usize {
        let owners = self.cx.owners.borrow();
        owners.values().filter(|owner| matches!(owner.role, Role::Owner { .. })).count()
    }

    async fn may_order(&self, upstream: &str) -> Option<u64> {
        self.owners.ask(MayOrder(Name::from(upstream))).await.expect("it runs")
    }

    async fn kill(&self) {
        self.owners.stop_gracefully().await.expect("it runs");
        self.members.stop_gracefully().await.expect("it runs");
    }
}

async fn owns_all(node: &Node) {
    eventually("all upstreams are owned", async || node.owned() == 3).await;
}

/// Guards against a lost reply that leaves an upstream without a usable owner, or
/// a fencing number that differs from the record's.
#[tokio::test]
async fn lost_replies_are_resolved_by_reading_back() {
    let store = FakeStore::default();
    store.set(Faults { lose_swaps: true, ..Faults::default() });
    let node = node("first", "", &store).await;
    owns_all(&node).await;
    let records = store.keys(OWNER_PREFIX);
    assert_eq!(records.len(), 3);
    for record in records {
        let upstream = record.key.trim_start_matches(OWNER_PREFIX);
        assert_eq!(node.may_order(upstream).await, u64::try_from(record.revision).ok());
    }
    eventually("the node is registered", async || store.keys(NODE_PREFIX).len() == 1).await;
    assert_eq!(*node.cx.store.borrow(), StoreState::Reachable);
}

/// Guards against serving that ends with an outage of the service, and against
/// owners that lose their upstreams when the service comes back without leases.
#[tokio::test]
async fn an_owner_goes_on_through_an_outage() {
    let store = FakeStore::default();
    let node = node("first", "", &store).await;
    owns_all(&node).await;
    let before = node.may_order("worker-1").await;
    store.set(Faults { down: true, ..Faults::default() });
    for _ in 0..40 {
        tokio::time::sleep(TTL / 10).await;
        assert_eq!(node.may_order("worker-1").await, before);
    }
    assert_eq!(*node.cx.store.borrow(), StoreState::Unreachable);
    store.set(Faults::default());
    eventually("the records exist again", async || store.keys(OWNER_PREFIX).len() == 3).await;
    eventually("the owner gives orders", async || node.may_order("worker-1").await > before).await;
}

/// Guards against a service so slow that it is down for all purposes.
#[tokio::test]
async fn a_slow_service_counts_as_unreachable() {
    let store = FakeStore::default();
    let node = node("first", "", &store).await;
    owns_all(&node).await;
    store.set(Faults { delay: TTL * 2, ..Faults::default() });
    eventually("the outage is seen", async || *node.cx.store.borrow() == StoreState::Unreachable)
        .await;
    assert!(node.may_order("worker-1").await.is_some());
}

/// Guards against upstreams that stay with a killed owner, and against unloads of
/// adapters that it may still use on an engine that ignores fencing numbers.
#[tokio::test]
async fn the_next_node_takes_over_from_a_killed_one() {
    let store = FakeStore::default();
    let first = node("first", "", &store).await;
    let seed = first.cx.settings.peer_address.to_string();
    owns_all(&first).await;
    let second = node("second", &seed, &store).await;
    let third = node("third", &seed, &store).await;
    eventually("all are members", async || third.cx.members.borrow().len() == 3).await;
    assert_eq!(second.owned() + third.owned(), 0);
    first.kill().await;
    eventually("others own all", async || second.owned() + third.owned() == 3).await;
    let now = second.cx.clock.now();
    for node in [&second, &third] {
        for (upstream, owner) in node.cx.owners.borrow().iter() {
            if let Role::Owner { pinned_until, .. } = owner.role {
                let fenced = upstream.as_str() == "worker-0";
                assert_eq!(pinned_until > now + TTL, !fenced, "{upstream}");
            }
        }
    }
}

/// Guards against a planned stop that leaves upstreams to the end of the lease.
#[tokio::test]
async fn a_planned_stop_hands_over() {
    let store = FakeStore::default();
    let first = node("first", "", &store).await;
    owns_all(&first).await;
    let seed = first.cx.settings.peer_address.to_string();
    let second = node("second", &seed, &store).await;
    eventually("both are members", async || second.cx.members.borrow().len() == 2).await;
    eventually("the first sees both", async || first.cx.members.borrow().len() == 2).await;
    eventually("the lists are read", async || *second.cx.store.borrow() == StoreState::Reachable)
        .await;
    let mut handovers = first.owners.ask(SubscribeHandovers).await.expect("it runs").0;
    first.owners.tell(Drain).await.expect("it runs");
    let handover = tokio::time::timeout(TTL * 3, handovers.recv()).await;
    let handover = handover.expect("a handover in time").expect("a handover");
    assert_eq!(handover.to, second.cx.me);
    assert_eq!(first.may_order(handover.upstream.as_str()).await, None);
    eventually("all is released", async || first.owners.ask(IsReleased).await.expect("it runs"))
        .await;
    owns_all(&second).await;
    assert!(first.owners.ask(Revoke).await.expect("it runs"));
    eventually("the entry is gone", async || store.keys(NODE_PREFIX).len() == 1).await;
}
