//! Limit on concurrent loads from the adapter store, over all nodes, and the inputs of the decisions
//! under pressure.

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::AdapterPresence;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::protocol::OrderKind;
use fireflyhead_policy::residency::EngineCall;
use fireflyhead_policy::residency::Residency;

use crate::state::Shared;

/// Number of concurrent loads from the adapter store, over all nodes, that is always allowed. The
/// limit is the larger of this number and [`CONCURRENT_LOADS_PER_ENGINE`] times the number of
/// engines; an engine without a load in progress may start one beyond the limit. Beyond it, loads
/// take longer in proportion to their number. The platform specifies no limit; its deployments
/// sustain 0.44 to 0.9 loads per engine.
const MIN_CONCURRENT_LOADS: u32 = 8;
/// Number of concurrent loads from the adapter store per engine; see [`MIN_CONCURRENT_LOADS`].
const CONCURRENT_LOADS_PER_ENGINE: f64 = 0.5;
/// Returns the number of concurrent loads from the adapter store that the holder of an engine with
/// `residency` allows with `engines` engines.
pub(super) fn max_concurrent_loads(engines: usize, pressure: bool, residency: &Residency) -> u32 {
    let per_engine = match pressure {
        true => residency.sustained_loads_per_engine(),
        false => CONCURRENT_LOADS_PER_ENGINE,
    };
    MIN_CONCURRENT_LOADS.max((engines as f64 * per_engine) as u32)
}

/// Tells `residency` whether the decisions for insufficient capacity are in effect for its engine,
/// and which adapters other engines keep.
pub(super) fn update_pressure(
    shared: &Shared,
    now: Time,
    entry: &UpstreamEntry,
    residency: &mut Residency,
) {
    let dispatcher = shared.dispatcher();
    let pressure = dispatcher.is_under_pressure(entry.service.as_str());
    residency.set_pressure(pressure);
    if pressure {
        let model = residency.model().clone();
        residency.update_spare_replicas(|adapter| {
            dispatcher.is_spare_replica(now, &entry.id, &model, adapter)
        });
    }
}

/// Logs what an order for an adapter is based on, and counts a load by its cause. `loads` are the
/// concurrent loads from the adapter store and their limit.
pub(super) fn record_adapter_order(
    shared: &Shared,
    now: Time,
    upstream: &Name,
    residency: &Residency,
    call: &EngineCall,
    loads: (u32, u32),
) {
    let EngineCall::SendOrder { kind, adapter: Some(adapter), .. } = call else { return };
    let inputs = residency.order_inputs(now, adapter);
    let elsewhere =
        shared.dispatcher().adapter_presence(residency.model(), adapter, Some(upstream));
    match kind {
        OrderKind::Load => {
            let cause = match elsewhere {
                _ if inputs.holds_earlier => "version",
                AdapterPresence::Held | AdapterPresence::Loading => "replica",
                AdapterPresence::Absent if inputs.is_warm => "reload",
                AdapterPresence::Absent => "absent",
            };
            shared.metrics.record_adapter_load(cause);
            let (loading, limit) = loads;
            tracing::info!(
                event = "adapter_load",
                %upstream,
                %adapter,
                cause,
                waiting = inputs.waiting,
                requested_ms = inputs.requested_for.as_millis() as u64,
                loading,
                limit,
            );
        }
        OrderKind::Unload => tracing::info!(
            event = "adapter_evicted",
            %upstream,
            %adapter,
            idle_ms = inputs.idle.map(|idle| idle.as_millis() as u64),
            popularity = inputs.popularity,
            spare = inputs.is_spare,
            elsewhere = elsewhere.code(),
        ),
    }
}
