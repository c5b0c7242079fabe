//! Logs, traces and metrics.

use std::time::Duration;

use fireflyhead_core::types::Name;
use fireflyhead_core::types::Outcome;
use fireflyhead_core::types::Rank;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::UpDownCounter;

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

/// Span of a caller's request.
pub fn caller_span(_headers: &http::HeaderMap) -> tracing::Span {
    tracing::info_span!("request")
}

/// Trace context of the current span, as a `traceparent` header.
pub fn current_traceparent() -> String {
    String::new()
}

/// Span of work for a request whose caller is in another process.
pub fn remote_span(name: &'static str, traceparent: &str) -> tracing::Span {
    tracing::info_span!("hop", name, traceparent)
}
