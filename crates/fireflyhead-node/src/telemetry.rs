//! Logs, traces and metrics.
//!
//! Logs are JSON lines on standard error. Each hop of a request has a span; the
//! trace context travels from the caller through the peer stream to the upstream.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::types::Name;
use fireflyhead_core::types::Outcome;
use fireflyhead_core::types::Rank;
use fireflyhead_schema::NodeSettings;
use http::HeaderMap;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::UpDownCounter;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::context::NodeContext;
use crate::entry::account::Accounting;

#[cfg(test)]
mod tests;

/// Header with the trace context of W3C Trace Context.
const TRACEPARENT: &str = "traceparent";

/// Instruments of a node, labelled by rank and class.
#[derive(Clone)]
pub struct Metrics {
    accepted: Counter<u64>,
    finished: Counter<u64>,
    in_flight: UpDownCounter<i64>,
    first_output: Histogram<f64>,
}

impl Metrics {
    /// Instruments of `meter`.
    pub fn new(meter: &Meter) -> Metrics {
        Metrics {
            accepted: meter.u64_counter("fireflyhead.requests.accepted").build(),
            finished: meter.u64_counter("fireflyhead.requests.finished").build(),
            in_flight: meter.i64_up_down_counter("fireflyhead.requests.in_flight").build(),
            first_output: meter
                .f64_histogram("fireflyhead.requests.first_output")
                .with_unit("s")
                .build(),
        }
    }

    pub(crate) fn accepted(&self, rank: Rank, class: &Name) {
        let labels = labels(rank, class);
        self.accepted.add(1, &labels);
        self.in_flight.add(1, &labels);
    }

    pub(crate) fn finished(&self, rank: Rank, class: &Name, outcome: Outcome) {
        let [rank, class] = labels(rank, class);
        self.in_flight.add(-1, &[rank.clone(), class.clone()]);
        let outcome = KeyValue::new("outcome", outcome_name(outcome));
        self.finished.add(1, &[rank, class, outcome]);
    }

    pub(crate) fn first_output(&self, rank: Rank, class: &Name, delay: Duration) {
        self.first_output.record(delay.as_secs_f64(), &labels(rank, class));
    }
}

/// Registers the figures of a node that are read when metrics are collected: the table in
/// force, and requests accepted without an outcome and not in flight, which must be 0.
pub(crate) fn observe_node(meter: &Meter, cx: &NodeContext, accounting: &Arc<Accounting>) {
    let table = cx.table.clone();
    meter
        .u64_observable_gauge("fireflyhead.table.version")
        .with_callback(move |gauge| gauge.observe(table.borrow().version, &[]))
        .build();
    let accounting = accounting.clone();
    meter
        .u64_observable_gauge("fireflyhead.requests.unaccounted")
        .with_callback(move |gauge| gauge.observe(accounting.counts().unaccounted(), &[]))
        .build();
}

fn labels(rank: Rank, class: &Name) -> [KeyValue; 2] {
    [KeyValue::new("rank", rank.as_str()), KeyValue::new("class", class.to_string())]
}

/// Name of an outcome in metrics and error bodies.
pub const fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not_run",
        Outcome::OutcomeUnknown => "outcome_unknown",
    }
}

/// Span of a caller's request; its trace continues the caller's.
pub(crate) fn caller_span(headers: &HeaderMap) -> Span {
    let span = tracing::info_span!("request", otel.kind = "server");
    if let Some(traceparent) = traceparent_of(headers) {
        continue_trace(&span, traceparent);
    }
    span
}

/// Span of the work of an owner for another node's request.
pub(crate) fn dispatch_span(traceparent: &str) -> Span {
    let span = tracing::info_span!("dispatch", otel.kind = "server");
    continue_trace(&span, traceparent);
    span
}

/// Trace context for the next hop: that of the current span, or the caller's if
/// this node records no traces.
pub(crate) fn traceparent(span: &Span, headers: &HeaderMap) -> String {
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    match carrier.remove(TRACEPARENT) {
        Some(traceparent) => traceparent,
        None => traceparent_of(headers).unwrap_or_default().to_owned(),
    }
}

/// Trace context that the upstream receives.
pub(crate) fn outgoing(span: &Span, received: &str) -> String {
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_else(|| received.to_owned())
}

/// A `traceparent` header of version 00: `00-<trace id>-<span id>-<flags>`.
fn traceparent_of(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(TRACEPARENT)?.to_str().ok()?;
    let parts: Vec<&str> = text.split('-').collect();
    let lengths: Vec<usize> = parts.iter().map(|part| part.len()).collect();
    let hex = parts.iter().all(|part| part.bytes().all(|byte| byte.is_ascii_hexdigit()));
    (lengths == [2, 32, 16, 2] && hex).then_some(text)
}

fn continue_trace(span: &Span, traceparent: &str) {
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
    let parent = TraceContextPropagator::new().extract(&carrier);
    if parent.span().span_context().is_valid() {
        // Fails only without a trace exporter.
        let _no_exporter = span.set_parent(parent);
    }
}

/// Failure to set up logs, traces or metrics.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum TelemetryError {
    /// setting `log-filter` is invalid: {0}
    Filter(tracing_subscriber::filter::ParseError),
    /// cannot set up the exporter: {0}
    Exporter(opentelemetry_otlp::ExporterBuildError),
    /// logs were set up before
    Subscriber,
}

impl std::error::Error for TelemetryError {}

impl From<opentelemetry_otlp::ExporterBuildError> for TelemetryError {
    fn from(e: opentelemetry_otlp::ExporterBuildError) -> TelemetryError {
        TelemetryError::Exporter(e)
    }
}

/// Exporters of a process.
#[derive(Default)]
pub struct Telemetry {
    traces: Option<SdkTracerProvider>,
    metrics: Option<SdkMeterProvider>,
}

impl Telemetry {
    /// Sends what is left and ends the exporters.
    pub fn shutdown(self) {
        if let Some(Err(e)) = self.traces.map(|traces| traces.shutdown()) {
            tracing::warn!(error = %e, "some traces were not exported");
        }
        if let Some(Err(e)) = self.metrics.map(|metrics| metrics.shutdown()) {
            tracing::warn!(error = %e, "some metrics were not exported");
        }
    }
}

/// Sets up the logs and exporters of the process.
///
/// # Errors
/// An invalid filter or endpoint, or a second call.
pub fn init(settings: &NodeSettings) -> Result<Telemetry, TelemetryError> {
    let filter =
        EnvFilter::builder().parse(&settings.log_filter).map_err(TelemetryError::Filter)?;
    let telemetry = exporters(settings)?;
    let traces = telemetry
        .traces
        .as_ref()
        .map(|provider| tracing_opentelemetry::layer().with_tracer(provider.tracer("fireflyhead")));
    let logs = tracing_subscriber::fmt::layer().json().with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(filter)
        .with(traces)
        .with(logs)
        .try_init()
        .map_err(|_| TelemetryError::Subscriber)?;
    if let Some(metrics) = &telemetry.metrics {
        opentelemetry::global::set_meter_provider(metrics.clone());
    }
    Ok(telemetry)
}

fn exporters(settings: &NodeSettings) -> Result<Telemetry, TelemetryError> {
    let resource = Resource::builder()
        .with_service_name("fireflyhead-node")
        .with_attribute(KeyValue::new("service.instance.id", settings.node_id.clone()))
        .with_attribute(KeyValue::new("cloud.availability_zone", settings.zone.clone()))
        .build();
    let traces = SdkTracerProvider::builder().with_resource(resource.clone());
    let metrics = SdkMeterProvider::builder().with_resource(resource);
    let (traces, metrics) = match settings.telemetry.as_str() {
        "stdout" => (
            traces.with_batch_exporter(opentelemetry_stdout::SpanExporter::default()),
            metrics.with_periodic_exporter(opentelemetry_stdout::MetricExporter::default()),
        ),
        "otlp" => {
            let endpoint = settings.otlp_endpoint.trim_end_matches('/');
            let spans = opentelemetry_otlp::SpanExporter::builder()
                .with_http()
                .with_endpoint(format!("{endpoint}/v1/traces"))
                .build()?;
            let figures = opentelemetry_otlp::MetricExporter::builder()
                .with_http()
                .with_endpoint(format!("{endpoint}/v1/metrics"))
                .build()?;
            (traces.with_batch_exporter(spans), metrics.with_periodic_exporter(figures))
        }
        _ => return Ok(Telemetry::default()),
    };
    Ok(Telemetry { traces: Some(traces.build()), metrics: Some(metrics.build()) })
}
