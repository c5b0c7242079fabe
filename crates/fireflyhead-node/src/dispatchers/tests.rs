//! Contract of the load scheduler between nodes.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_schema::NodeSettings;
use fireflyhead_schema::messages::AdapterKey;
use fireflyhead_schema::messages::LoadFinished;
use fireflyhead_schema::messages::LoadGrantAnswer;
use fireflyhead_schema::messages::LoadGrantRequest;
use fireflyhead_schema::messages::call_answer::Body;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::loads::Loads;
use crate::context::NodeContext;
use crate::peer::auth::Authenticator;
use crate::peer::client::Peers;

fn loads(in_flight: u64) -> (Loads, CancellationToken) {
    let settings = NodeSettings {
        loads_per_second: 1_000.0,
        loads_in_flight: in_flight,
        ..NodeSettings::default()
    };
    let cx = NodeContext::new(settings, 1);
    let stop = CancellationToken::new();
    let auth = Arc::new(Authenticator::new("key"));
    let peers = Peers::new(cx.me.clone(), auth, Duration::from_secs(1), stop.clone());
    (Loads::start(cx, peers, stop.clone()), stop)
}

fn request(owner: &str, waiting: u32) -> LoadGrantRequest {
    LoadGrantRequest {
        owner: owner.to_owned(),
        weight_store: "models".to_owned(),
        adapter: Some(AdapterKey { name: "haiku".to_owned(), version: "1".to_owned() }),
        rank: 1,
        waiting,
    }
}

fn is_granted(body: &Body) -> bool {
    matches!(body, Body::LoadGrant(LoadGrantAnswer { granted: true, .. }))
}

/// Guards against a peer that waits forever for a request that it has replaced or withdrawn.
#[tokio::test]
async fn a_replaced_request_is_denied_and_a_finished_load_makes_room() {
    let (loads, _stop) = loads(1);
    assert!(is_granted(&loads.answer(request("worker-1", 1)).await));
    let first = tokio::spawn({
        let loads = loads.clone();
        async move { loads.answer(request("worker-2", 1)).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!first.is_finished(), "the limit of loads in flight is reached");
    let second = tokio::spawn({
        let loads = loads.clone();
        async move { loads.answer(request("worker-2", 9)).await }
    });
    let replaced = timeout(Duration::from_secs(1), first).await.unwrap().unwrap();
    assert!(!is_granted(&replaced), "{replaced:?}");
    let adapter = request("worker-1", 0).adapter;
    let (owner, weight_store) = ("worker-1".to_owned(), "models".to_owned());
    loads.answer_finished(LoadFinished { owner, weight_store, adapter, ok: true });
    let granted = timeout(Duration::from_secs(1), second).await.unwrap().unwrap();
    assert!(is_granted(&granted), "{granted:?}");
}

/// Guards against malformed requests that reach the scheduler.
#[tokio::test]
async fn malformed_requests_are_refused() {
    let (loads, _stop) = loads(1);
    let cases = [
        ("rank", LoadGrantRequest { rank: 3, ..request("worker-1", 1) }),
        ("no adapter", LoadGrantRequest { adapter: None, ..request("worker-1", 1) }),
        (
            "empty adapter",
            LoadGrantRequest { adapter: Some(AdapterKey::default()), ..request("worker-1", 1) },
        ),
    ];
    for (name, request) in cases {
        assert!(matches!(loads.answer(request).await, Body::Error(_)), "{name}");
    }
    let finished = LoadFinished { owner: "w".to_owned(), ..LoadFinished::default() };
    assert!(matches!(loads.answer_finished(finished), Body::Error(_)));
}
