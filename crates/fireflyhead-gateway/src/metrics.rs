//! Metrics of a node, served in the Prometheus text format on the metrics address.

use std::time::Duration;

use fireflyhead_policy::Name;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::account_metrics::AccountMetrics;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0];

/// Upper bounds of the buckets of the time that work takes at an upstream, where 1 is the usual time.
const SLOWNESS_BUCKETS: [f64; 8] = [0.5, 0.7, 0.9, 1.1, 1.5, 2.0, 3.0, 5.0];

/// Counters, gauges and histograms of a node.
pub struct Metrics {
    /// Requests of client accounts.
    pub accounts: AccountMetrics,
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    rejections: Counter<u64>,
    sends: Counter<u64>,
    selected_slowness: Histogram<f64>,
    engine_models: Counter<u64>,
    store_calls: Counter<u64>,
    orders: Counter<u64>,
    reports: Counter<u64>,
    adapter_loads: Counter<u64>,
    adapter_lookups: Counter<u64>,
    upstream_crashes: Counter<u64>,
    quarantined_parts: Gauge<u64>,
    quota_tokens: Counter<u64>,
    quota_slots_without_owner: Gauge<u64>,
    first_output: Histogram<f64>,
    total: Histogram<f64>,
    queue: Histogram<f64>,
    waiting: Gauge<u64>,
    in_flight: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments in a new registry.
    ///
    /// # Panics
    /// If the exporter can't be registered in the empty registry, which would be a bug.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("an empty registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("fireflyhead");
        let latency_histogram = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(LATENCY_BUCKETS.to_vec())
                .build()
        };
        Metrics {
            accounts: AccountMetrics::default(),
            requests: meter.u64_counter("fireflyhead_requests").build(),
            rejections: meter.u64_counter("fireflyhead_rejections").build(),
            selected_slowness: meter
                .f64_histogram("fireflyhead_selected_slowness")
                .with_boundaries(SLOWNESS_BUCKETS.to_vec())
                .build(),
            engine_models: meter.u64_counter("fireflyhead_engine_models").build(),
            sends: meter.u64_counter("fireflyhead_sends").build(),
            store_calls: meter.u64_counter("fireflyhead_store_calls").build(),
            orders: meter.u64_counter("fireflyhead_orders").build(),
            reports: meter.u64_counter("fireflyhead_reports").build(),
            adapter_loads: meter.u64_counter("fireflyhead_adapter_loads").build(),
            adapter_lookups: meter.u64_counter("fireflyhead_adapter_lookups").build(),
            upstream_crashes: meter.u64_counter("fireflyhead_upstream_crashes").build(),
            quarantined_parts: meter.u64_gauge("fireflyhead_quarantined_parts").build(),
            quota_tokens: meter.u64_counter("fireflyhead_quota_tokens").build(),
            quota_slots_without_owner: meter
                .u64_gauge("fireflyhead_quota_slots_without_owner")
                .build(),
            first_output: latency_histogram("fireflyhead_first_output"),
            total: latency_histogram("fireflyhead_request"),
            queue: latency_histogram("fireflyhead_queue"),
            waiting: meter.u64_gauge("fireflyhead_waiting").build(),
            in_flight: meter.u64_gauge("fireflyhead_in_flight").build(),
            registry,
            _provider: provider,
        }
    }

    /// Records the expected time that work takes at a selected upstream, where 1 is the usual time.
    pub fn record_selected_slowness(&self, factor: f64) {
        self.selected_slowness.record(factor, &[]);
    }

    /// Counts speeds of engines that this node told other nodes of.
    pub fn record_engine_models(&self, models: usize) {
        self.engine_models.add(models as u64, &[]);
    }

    /// Counts a finished request and records its total time.
    pub fn record_request(&self, route: &str, outcome: &'static str, total: Duration) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.total.record(total.as_secs_f64(), &labels[..1]);
    }

    /// Counts a request that the node rejected.
    pub fn record_rejection(&self, reason: &'static str) {
        self.rejections.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a finished attempt to send a request to an upstream.
    pub fn record_send(&self, outcome: &'static str) {
        self.sends.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, call: &'static str, outcome: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("call", call), KeyValue::new("outcome", outcome)]);
    }

    /// Counts an order to load an adapter by what it is loaded for.
    pub fn record_adapter_load(&self, cause: &'static str) {
        self.adapter_loads.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a request that needs an adapter by whether an engine held it when it arrived.
    pub fn record_adapter_lookup(&self, result: &'static str) {
        self.adapter_lookups.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts an order to an engine.
    pub fn record_order(&self, kind: &'static str, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call for a report of an engine's state.
    pub fn record_report(&self, outcome: &'static str) {
        self.reports.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a crash of an upstream that this node confirmed.
    pub fn record_upstream_crash(&self) {
        self.upstream_crashes.add(1, &[]);
    }

    /// Sets the number of prompt parts in quarantine.
    pub fn set_quarantined_parts(&self, parts: usize) {
        self.quarantined_parts.record(u64::try_from(parts).unwrap_or(u64::MAX), &[]);
    }

    /// Counts tokens of an account with what became of them.
    pub fn record_quota_tokens(&self, account: &Name, outcome: &'static str, tokens: u64) {
        let account = KeyValue::new("account", account.to_string());
        self.quota_tokens.add(tokens, &[account, KeyValue::new("outcome", outcome)]);
    }

    /// Sets the number of quota slots that no node owns, as far as this node knows.
    pub fn set_quota_slots_without_owner(&self, slots: usize) {
        self.quota_slots_without_owner.record(u64::try_from(slots).unwrap_or(u64::MAX), &[]);
    }

    /// Records the time to the first output of a request.
    pub fn record_first_output(&self, route: &str, delay: Duration) {
        self.first_output.record(delay.as_secs_f64(), &[KeyValue::new("route", route.to_owned())]);
    }

    /// Records the time that a request waited for an upstream to be selected.
    pub fn record_queue_time(&self, delay: Duration) {
        self.queue.record(delay.as_secs_f64(), &[]);
    }

    /// Sets the numbers of requests that wait for an upstream and that are in flight.
    pub fn set_load(&self, waiting: usize, in_flight: usize) {
        self.waiting.record(u64::try_from(waiting).unwrap_or(u64::MAX), &[]);
        self.in_flight.record(u64::try_from(in_flight).unwrap_or(u64::MAX), &[]);
    }

    /// Encodes all values in the Prometheus text format.
    ///
    /// # Errors
    /// The values can't be encoded.
    pub fn encode_text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut buf = Vec::new();
        let mut families = self.registry.gather();
        families.extend(self.accounts.collect()?);
        TextEncoder::new().encode(&families, &mut buf)?;
        Ok(buf)
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
