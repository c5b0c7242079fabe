//! Tests of the membership's actor over sockets of the loopback interface.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::membership::RumorBody;
use fireflyhead_core::table::Table;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::UpstreamAdvert;
use fireflyhead_schema::NodeSettings;
use kameo::actor::ActorRef;
use tokio::net::UdpSocket;

use crate::context::NodeContext;
use crate::members;
use crate::members::Announce;
use crate::members::GetContact;
use crate::members::Leave;
use crate::members::Members;
use crate::members::TickOf;
use crate::members::WatchTableVersion;

/// Longest wait for an expected state.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Starts the membership of a node on a free port.
pub(crate) async fn start(
    id: &str,
    key: &'static str,
    seeds: &str,
) -> (NodeContext, ActorRef<Members>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("it is bound").to_string();
    let settings = NodeSettings::read(|name| match name {
        "node-id" => Some(id.to_owned()),
        "peer-address" => Some(address.clone()),
        "seeds" => Some(seeds.to_owned()),
        "probe-interval" => Some("50ms".to_owned()),
        "peer-key" => Some(key.to_owned()),
        _ => None,
    });
    let cx = NodeContext::new(settings.expect("valid settings"), 1);
    let actor = members::spawn(cx.clone(), socket);
    (cx, actor)
}

/// Waits until `check` holds.
pub(crate) async fn eventually(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + WAIT_LIMIT;
    while !check().await {
        assert!(tokio::time::Instant::now() < end, "never: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn state(cx: &NodeContext, id: &str) -> Option<MemberState> {
    let members = cx.members.borrow();
    members.iter().find(|member| member.node.id.as_str() == id).map(|member| member.state)
}

/// Guards against nodes that don't find each other, values that don't arrive, and
/// adverts of dead owners that still attract requests.
#[tokio::test]
async fn members_rumors_and_deaths_are_published() {
    let (first, first_actor) = start("first", "key", "").await;
    let seed = first.settings.peer_address.to_string();
    let (second, second_actor) = start("second", "key", &seed).await;
    let (third, third_actor) = start("third", "key", &seed).await;
    for cx in [&first, &second, &third] {
        eventually("all are alive", async || {
            ["first", "second", "third"].iter().all(|id| state(cx, id) == Some(MemberState::Alive))
        })
        .await;
    }

    let mut table = Table::default();
    table.version = 7;
    first.table.send_replace(Arc::new(table));
    let versions = third_actor.ask(WatchTableVersion).await.expect("it runs").0;
    eventually("the table version arrives", async || *versions.borrow() == 7).await;

    let upstream = Name::from("worker-1");
    let advert = UpstreamAdvert { queued: 3, ..UpstreamAdvert::default() };
    let body = RumorBody::Advert { upstream: upstream.clone(), advert: advert.clone() };
    third_actor.tell(Announce(body)).await.expect("it runs");
    eventually("the advert arrives", async || {
        first.adverts.borrow().get(&upstream) == Some(&advert)
    })
    .await;
    assert_eq!(third.adverts.borrow().get(&upstream), None, "own adverts have another writer");

    eventually("the clock of a node arrives", async || {
        first_actor.ask(TickOf(second.me.clone())).await.expect("it runs").is_some()
    })
    .await;

    second_actor.tell(Leave).await.expect("it runs");
    eventually("the planned stop arrives", async || {
        state(&first, "second") == Some(MemberState::Leaving)
    })
    .await;

    third_actor.stop_gracefully().await.expect("it runs");
    eventually("the death arrives", async || state(&first, "third") == Some(MemberState::Dead))
        .await;
    assert_eq!(first.adverts.borrow().get(&upstream), None);
    let contact = first_actor.ask(GetContact).await.expect("it runs");
    assert!(contact.majority && !contact.isolated);
}

/// Guards against hosts of another deployment that join by a wrong seed address.
#[tokio::test]
async fn a_node_with_another_key_is_ignored() {
    let (first, _first_actor) = start("first", "key", "").await;
    let seed = first.settings.peer_address.to_string();
    let (other, _other_actor) = start("other", "another key", &seed).await;
    let (_third, _third_actor) = start("third", "key", &seed).await;
    eventually("the third is known", async || state(&first, "third").is_some()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!((state(&first, "other"), state(&other, "first")), (None, None));
}
