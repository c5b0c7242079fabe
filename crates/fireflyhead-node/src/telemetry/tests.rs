//! Propagation of the trace context.

use std::time::Duration;

use http::HeaderMap;
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::InMemorySpanExporter;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing::Span;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use super::traceparent;
use crate::node::tests::Fleet;

/// Trace of the caller.
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

/// Guards against malformed trace contexts that reach upstreams.
#[test]
fn only_well_formed_trace_contexts_are_passed_on() {
    let good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let cases = [
        (good, good),
        ("", ""),
        ("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331", ""),
        ("00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01", ""),
        ("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x", ""),
    ];
    for (received, expected) in cases {
        let mut headers = HeaderMap::new();
        headers.insert("traceparent", received.parse().unwrap());
        assert_eq!(traceparent(&Span::none(), &headers), expected, "{received}");
    }
}

/// Guards against a trace that breaks between the caller, the entry, the owner and the upstream.
#[tokio::test]
async fn every_hop_of_a_request_has_a_span_in_the_callers_trace() {
    let exporter = InMemorySpanExporter::default();
    let provider = SdkTracerProvider::builder().with_simple_exporter(exporter.clone()).build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("test"));
    let filter = EnvFilter::new("fireflyhead_node=info");
    // With a global subscriber besides the one of this thread, call sites that other tests
    // reach first are not disabled for all threads.
    let _set_by_another_test = tracing_subscriber::registry().try_init();
    let _guard = tracing_subscriber::registry().with(filter).with(layer).set_default();
    let fleet = Fleet::start(2, 1).await;
    let request = fleet
        .http
        .get(fleet.url(0, "/svc/desk/orders/1"))
        .header("traceparent", format!("00-{TRACE}-b7ad6b7169203331-01"));
    assert_eq!(request.send().await.unwrap().status(), 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let spans = exporter.get_finished_spans().unwrap();
    let span = |name: &str| {
        let found = spans
            .iter()
            .find(|span| span.name == name && span.span_context.trace_id().to_string() == TRACE);
        found.unwrap_or_else(|| panic!("no span `{name}` in the trace"))
    };
    let (request, dispatch, upstream) = (span("request"), span("dispatch"), span("upstream"));
    assert_eq!(request.parent_span_id.to_string(), "b7ad6b7169203331");
    assert_eq!(dispatch.parent_span_id, request.span_context.span_id());
    assert_eq!(upstream.parent_span_id, dispatch.span_context.span_id());
}
