//! Logs, traces and metrics.

/// Span of work for a request whose caller is in another process.
pub fn remote_span(name: &'static str, traceparent: &str) -> tracing::Span {
    tracing::info_span!("hop", name, traceparent)
}
