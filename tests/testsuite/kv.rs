//! Contract of the key-value client against the stand-in, with fault cases in a table.

use std::time::Duration;

use bytes::Bytes;
use fireflyhead_node::kv::HttpStore;
use fireflyhead_node::kv::HttpStoreConfig;
use fireflyhead_node::kv::Store;
use fireflyhead_node::kv::StoreError;
use fireflyhead_node::kv::Swap;
use fireflyhead_node::kv::WatchEvent;
use fireflyhead_standin::kv;
use fireflyhead_standin::kv::Kv;
use fireflyhead_standin::kv::KvConfig;
use fireflyhead_standin::kv::KvFaults;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Longest wait for an event that must come.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

fn client(url: String) -> HttpStore {
    let cfg = HttpStoreConfig {
        url,
        call_timeout: Duration::from_millis(400),
        watch_idle_timeout: Duration::from_secs(1),
        min_reconnect_delay: Duration::from_millis(10),
        max_reconnect_delay: Duration::from_millis(100),
        ..HttpStoreConfig::default()
    };
    HttpStore::new(cfg).expect("the client can be set up")
}

async fn service() -> (Kv, HttpStore) {
    let cfg = KvConfig { progress_interval: Duration::from_millis(200), ..KvConfig::default() };
    let kv = kv::start(cfg).await.expect("a free port");
    let store = client(kv.url());
    (kv, store)
}

fn text(value: &'static str) -> Bytes {
    Bytes::from_static(value.as_bytes())
}

async fn next(events: &mut mpsc::Receiver<WatchEvent>) -> WatchEvent {
    timeout(EVENT_TIMEOUT, events.recv()).await.expect("an event in time").expect("an open watch")
}

/// Next event other than `Lost`, as text.
async fn next_change(events: &mut mpsc::Receiver<WatchEvent>) -> String {
    loop {
        match next(events).await {
            WatchEvent::Put(kv) => return format!("put {}", kv.key),
            WatchEvent::Delete(key) => return format!("delete {key}"),
            WatchEvent::Lost => {}
        }
    }
}

/// What the client reports about a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reported {
    Done,
    MayHaveTakenEffect,
    Refused,
}

fn reported(result: &Result<Swap, StoreError>) -> Reported {
    match result {
        Ok(Swap::Done(_)) => Reported::Done,
        Err(StoreError::NoAnswer(_)) => Reported::MayHaveTakenEffect,
        Err(StoreError::Refused(_)) => Reported::Refused,
        other => panic!("unexpected result {other:?}"),
    }
}

/// Guards against a lost reply that is reported as no effect, which would run a write twice.
#[tokio::test]
async fn a_write_under_each_fault_is_reported_as_it_may_be() {
    let cases = [
        ("none", KvFaults::default(), Reported::Done, true),
        (
            "reply lost",
            KvFaults { lose_replies: 1.0, ..KvFaults::default() },
            Reported::MayHaveTakenEffect,
            true,
        ),
        (
            "request lost",
            KvFaults { lose_requests: 1.0, ..KvFaults::default() },
            Reported::MayHaveTakenEffect,
            false,
        ),
        (
            "down",
            KvFaults { down: true, ..KvFaults::default() },
            Reported::MayHaveTakenEffect,
            false,
        ),
        (
            "slower than the timeout",
            KvFaults { slow_ms: 1_500, ..KvFaults::default() },
            Reported::MayHaveTakenEffect,
            false,
        ),
        ("slow", KvFaults { slow_ms: 100, ..KvFaults::default() }, Reported::Done, true),
    ];
    for (name, faults, wanted, effect) in cases {
        let (kv, store) = service().await;
        kv.set_faults(faults);
        let result = store.swap("/k", 0, text("v"), None).await;
        assert_eq!(reported(&result), wanted, "{name}: {result:?}");
        assert_eq!(kv.value("/k").is_some(), effect, "{name}");
    }
}

/// Guards against a refused call that is retried as if it might have taken effect.
#[tokio::test]
async fn refused_calls_take_no_effect() {
    let cfg = KvConfig { writes_per_second: 1.0, max_value_bytes: 10, ..KvConfig::default() };
    let kv = kv::start(cfg).await.expect("a free port");
    let store = client(kv.url());
    let too_large = store.swap("/k", 0, text("more than ten bytes"), None).await;
    assert_eq!(reported(&too_large), Reported::Refused);
    let over_rate = store.swap("/k", 0, text("v"), None).await;
    assert_eq!(reported(&over_rate), Reported::Refused);
    assert_eq!(kv.value("/k"), None);
}

/// Guards against a service without a listener that is reported as a doubtful write.
#[tokio::test]
async fn no_listener_means_no_effect() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    drop(listener);
    let result = client(url).swap("/k", 0, text("v"), None).await;
    assert!(matches!(result, Err(StoreError::Unreachable(_))), "{result:?}");
}

/// Guards against a silent connection that blocks every later call.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let (kv, store) = service().await;
    store.get("/k").await.expect("an answer");
    kv.set_faults(KvFaults { freeze_connections: true, ..KvFaults::default() });
    let first = store.get("/k").await;
    assert!(matches!(first, Err(StoreError::NoAnswer(_))), "{first:?}");
    store.get("/k").await.expect("an answer on a new connection");
}

#[tokio::test]
async fn compare_and_swap_takes_effect_only_at_the_expected_revision() {
    let (_kv, store) = service().await;
    let Ok(Swap::Done(first)) = store.swap("/a", 0, text("1"), None).await else {
        panic!("the key did not exist");
    };
    match store.swap("/a", 0, text("2"), None).await {
        Ok(Swap::Conflict(Some(current))) => {
            assert_eq!((current.value, current.revision), (text("1"), first));
        }
        other => panic!("expected a conflict, got {other:?}"),
    }
    let Ok(Swap::Done(second)) = store.swap("/a", first, text("2"), None).await else {
        panic!("the revision was right");
    };
    assert!(second > first);
    assert!(matches!(store.delete("/a", first).await, Ok(Swap::Conflict(Some(_)))));
    assert!(matches!(store.delete("/a", second).await, Ok(Swap::Done(_))));
    assert_eq!(store.get("/a").await, Ok(None));
    assert!(matches!(store.delete("/a", second).await, Ok(Swap::Conflict(None))));
}

/// Guards against a prefix that covers its neighbours.
#[tokio::test]
async fn a_list_holds_exactly_the_prefix() {
    let (kv, store) = service().await;
    for key in ["/p/a", "/p/b", "/p0", "/o", "/q"] {
        kv.put(key, b"v");
    }
    let found = store.list("/p/").await.expect("an answer");
    let keys: Vec<&str> = found.iter().map(|kv| kv.key.as_str()).collect();
    assert_eq!(keys, ["/p/a", "/p/b"]);
}

#[tokio::test]
async fn leases_end_with_their_keys() {
    let (kv, store) = service().await;
    let lease = store.grant_lease(Duration::from_millis(900)).await.expect("a lease");
    let mut events = store.watch("/n/");
    assert_eq!(next(&mut events).await, WatchEvent::Lost);
    store.swap("/n/1", 0, text("v"), Some(lease)).await.expect("an answer");
    assert_eq!(next_change(&mut events).await, "put /n/1");
    store.keep_alive(lease).await.expect("the lease exists");
    assert_eq!(next_change(&mut events).await, "delete /n/1");
    let gone = Err(StoreError::LeaseNotFound(lease));
    assert_eq!(store.keep_alive(lease).await, gone);
    let swap = store.swap("/n/1", 0, text("v"), Some(lease)).await;
    assert_eq!(swap, Err(StoreError::LeaseNotFound(lease)));
    let other = store.grant_lease(Duration::from_secs(60)).await.expect("a lease");
    store.swap("/n/2", 0, text("v"), Some(other)).await.expect("an answer");
    store.revoke_lease(other).await.expect("the lease exists");
    assert_eq!(kv.value("/n/2"), None);
}

/// Guards against a watch that stays broken or hides that events are missing.
#[tokio::test]
async fn a_watch_reports_each_loss_and_goes_on() {
    let cases = [
        ("down", KvFaults { down: true, ..KvFaults::default() }),
        ("closed by the service", KvFaults { close_watches: true, ..KvFaults::default() }),
        ("silent connection", KvFaults { freeze_connections: true, ..KvFaults::default() }),
    ];
    for (name, faults) in cases {
        let (kv, store) = service().await;
        let mut events = store.watch("/w/");
        assert_eq!(next(&mut events).await, WatchEvent::Lost, "{name}: established");
        kv.put("/w/1", b"v");
        kv.put("/x", b"v");
        assert_eq!(next_change(&mut events).await, "put /w/1", "{name}");
        kv.set_faults(faults);
        assert_eq!(next(&mut events).await, WatchEvent::Lost, "{name}: broken");
        kv.set_faults(KvFaults::default());
        assert_eq!(next(&mut events).await, WatchEvent::Lost, "{name}: established again");
        kv.put("/w/2", b"v");
        assert_eq!(next_change(&mut events).await, "put /w/2", "{name}");
    }
}
