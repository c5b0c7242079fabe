//! Propagation of the trace context.

use http::HeaderMap;
use tracing::Span;

use super::traceparent;

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
