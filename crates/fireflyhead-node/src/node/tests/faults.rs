//! Silent connections, broken upstreams and limits.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use fireflyhead_core::types::UpstreamKind;
use fireflyhead_standin::engine::EngineFaults;
use fireflyhead_standin::engine::expected_text;
use fireflyhead_standin::service::ServiceConfig;
use fireflyhead_standin::service::ServiceFaults;
use futures::StreamExt;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

use super::Fleet;
use super::info;
use super::member;
use super::streamed_text;

/// Bound for the replacement of silent connections, with the run that follows.
const REPLACED_WITHIN: Duration = Duration::from_secs(5);

/// TCP proxy whose open connections can be made silent.
struct Proxy {
    address: SocketAddr,
    frozen: Arc<std::sync::Mutex<Arc<AtomicBool>>>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let frozen: Arc<std::sync::Mutex<Arc<AtomicBool>>> = Arc::default();
        let shared = frozen.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else { continue };
                let flag = shared.lock().unwrap().clone();
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(copy(near_read, far_write, flag.clone()));
                tokio::spawn(copy(far_read, near_write, flag));
            }
        });
        Proxy { address, frozen }
    }

    /// Makes the connections open now silent; new ones work.
    fn freeze(&self) {
        let old = std::mem::take(&mut *self.frozen.lock().unwrap());
        old.store(true, Ordering::SeqCst);
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    frozen: Arc<AtomicBool>,
) -> io::Result<()> {
    let mut buf = vec![0; 16 << 10];
    loop {
        let count = from.read(&mut buf).await?;
        if frozen.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..count]).await?;
    }
}

async fn stream(fleet: &Fleet, node: usize, max_tokens: u32) -> reqwest::Response {
    let body =
        json!({"model": "haiku@2", "prompt": "spring", "max_tokens": max_tokens, "stream": true});
    let request = fleet.http.post(fleet.url(node, "/v1/completions")).body(body.to_string());
    request.send().await.unwrap()
}

/// Text of a stream during which `fault` happens after the first output.
async fn text_with_fault(response: reqwest::Response, fault: impl FnOnce()) -> String {
    let mut body = Vec::new();
    let mut chunks = response.bytes_stream();
    body.extend(chunks.next().await.unwrap().unwrap());
    fault();
    while let Some(chunk) = chunks.next().await {
        body.extend(chunk.unwrap());
    }
    streamed_text(&String::from_utf8(body).unwrap())
}

/// Guards against streams and calls that hang on a silent connection to the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_upstreams_are_replaced() {
    let fleet = Fleet::start(1, 0).await;
    assert_eq!(fleet.complete(0, false).await.status(), 200);
    let started = Instant::now();
    let response = stream(&fleet, 0, 30).await;
    let freeze = || {
        fleet
            .engine
            .set_faults(EngineFaults { freeze_connections: true, ..EngineFaults::default() });
    };
    let text = text_with_fault(response, freeze).await;
    assert_eq!(text, expected_text("haiku@2", "spring", 30));
    assert!(
        started.elapsed() < REPLACED_WITHIN + Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    let status = || fleet.http.get(fleet.url(0, "/svc/desk/orders/1")).send();
    assert_eq!(status().await.unwrap().status(), 200);
    fleet
        .service
        .set_faults(ServiceFaults { freeze_connections: true, ..ServiceFaults::default() });
    let started = Instant::now();
    assert_eq!(status().await.unwrap().status(), 200);
    assert!(started.elapsed() < REPLACED_WITHIN, "{:?}", started.elapsed());
    fleet.assert_settled().await;
}

/// Guards against requests that hang on, or run twice because of, a silent connection to the owner.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_between_nodes_are_replaced() {
    let call_time = Duration::from_millis(1_500);
    let cfg = ServiceConfig { call_time, ..ServiceConfig::default() };
    let fleet = Arc::new(Fleet::with_service(2, 1, cfg).await);
    let proxy = Proxy::start(fleet.nodes[1].addresses().peer).await;
    let mut members = vec![member(&fleet.nodes[0]), member(&fleet.nodes[1])];
    members[1].peer_address = proxy.address.to_string().into();
    fleet.publish_members(&fleet.upstreams, 1, &members);
    assert_eq!(fleet.complete(0, false).await.status(), 200);
    let order = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.order(0, &[]).await }
    });
    // Before the witness has the intent, the order would rightly end as `not_run`.
    while fleet.service.counters().running == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let response = stream(&fleet, 0, 40).await;
    let started = Instant::now();
    let text = text_with_fault(response, || proxy.freeze()).await;
    assert_eq!(text, expected_text("haiku@2", "spring", 40));
    assert!(
        started.elapsed() < REPLACED_WITHIN + Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    let (status, body) = order.await.unwrap();
    assert!(status == 200 || body["error"]["outcome"] == "outcome_unknown", "{body}");
    assert_eq!(fleet.service.ledger().duplicates(), 0);
    assert_eq!(fleet.order(0, &[]).await.0, 200);
    fleet.assert_settled().await;
}

/// Guards against an answer for another request or of another adapter, and against gaps after a resume.
#[tokio::test(flavor = "multi_thread")]
async fn swapped_and_broken_streams_end_with_the_right_text() {
    let fleet = Arc::new(Fleet::start(1, 0).await);
    assert_eq!(fleet.complete(0, false).await.status(), 200);
    fleet.engine.set_faults(EngineFaults { swap: 0.3, cut: 0.2, ..EngineFaults::default() });
    let ask = |version: usize| {
        let fleet = fleet.clone();
        async move {
            let model = format!("haiku@{}", version % 2 + 1);
            let prompt = format!("spring {version}");
            let body = json!({"model": model, "prompt": prompt, "max_tokens": 12, "stream": true});
            let request = fleet.http.post(fleet.url(0, "/v1/completions")).body(body.to_string());
            let response = request.send().await.unwrap();
            let whole = response.status() == 200;
            match response.text().await {
                Ok(body) if whole && body.ends_with("data: [DONE]\n\n") => {
                    assert_eq!(streamed_text(&body), expected_text(&model, &prompt, 12));
                    1
                }
                // Ended with an error, which is allowed under this rate of faults.
                Ok(_) | Err(_) => 0,
            }
        }
    };
    let answered: usize = futures::future::join_all((0..24).map(ask)).await.into_iter().sum();
    assert!(answered >= 12, "{answered} of 24 answered");
    fleet.assert_settled().await;
}

/// Guards against rows that exceed their rate, and against refusals without a time to retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_row_above_its_rate_is_refused_with_retry_after() {
    let fleet = Fleet::start(1, 0).await;
    let mut refused = 0;
    for _ in 0..10 {
        let response = fleet.http.get(fleet.url(0, "/svc/desk/quotes")).send().await.unwrap();
        if response.status() == 429 {
            assert!(response.headers().contains_key("retry-after"));
            let body: Value = response.json().await.unwrap();
            assert_eq!(body["error"]["code"], "row_limit");
            assert_eq!(body["error"]["outcome"], "not_run");
            refused += 1;
        }
    }
    // Two requests a second and a burst of one second.
    assert!((6..=8).contains(&refused), "{refused} of 10 refused");
    fleet.assert_settled().await;
}

/// Guards against work that goes on, or stays queued, after its caller has gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_its_place_at_the_engine() {
    let fleet = Fleet::start(2, 1).await;
    let response = stream(&fleet, 0, 500).await;
    drop(response);
    let started = Instant::now();
    while !fleet.nodes[1].dispatchers.is_idle() {
        assert!(started.elapsed() < Duration::from_secs(3));
        sleep(Duration::from_millis(20)).await;
    }
    fleet.assert_settled().await;
}

/// Guards against permits spent on an instance that refuses connections.
#[tokio::test(flavor = "multi_thread")]
async fn orders_avoid_an_instance_that_refuses_connections() {
    let fleet = Fleet::start(2, 1).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let mut upstreams = fleet.upstreams.clone();
    upstreams.push(info("service-2", "desk", closed, UpstreamKind::Service));
    fleet.publish(&upstreams, 1);
    sleep(Duration::from_millis(500)).await;
    for _ in 0..10 {
        let (status, body) = fleet.order(0, &[]).await;
        assert_eq!(status, 200, "{body}");
    }
    fleet.assert_settled().await;
}

/// Guards against a refused order whose caller has no id to try again with.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_no_upstream_takes_is_not_run_and_gets_a_new_placement() {
    let fleet = Fleet::start(1, 0).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    fleet.publish(&[info("service", "desk", closed, UpstreamKind::Service)], 0);
    sleep(Duration::from_millis(500)).await;
    let id = fleet.id(0, "x").await;
    let request = fleet.http.post(fleet.url(0, "/svc/desk/orders")).header("x-request-id", &id);
    let response = request.send().await.unwrap();
    assert!(response.headers().contains_key("x-placement"));
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["error"]["outcome"], "not_run", "{body}");
    let (_, again) = fleet.order(0, &[("x-request-id", &id)]).await;
    assert_eq!(again["error"]["outcome"], "not_run", "{again}");
    fleet.assert_settled().await;
}
