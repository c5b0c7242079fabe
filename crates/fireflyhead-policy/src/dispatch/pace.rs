//! Speed of upstreams, learned from the values that they report with their responses.
//!
//! Handles upstreams that differ in speed and slow down for short periods. A reported value is the
//! time that work takes there now, relative to the usual time. It is split into a base factor, which
//! lasts, and a momentary factor, which is worthless once a slow period has passed.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::EngineModel;

use super::Dispatcher;

/// Duration of a slow period. Upstreams report values of 2.5 times their base for some 600 ms.
const SLOW_PERIOD: Duration = Duration::from_millis(600);
/// Reported value, relative to the base factor, above which an upstream counts as slowed down.
const SLOW_RATIO: f64 = 1.15;
/// Time during which all values must be above the base factor before it rises. It exceeds
/// [`SLOW_PERIOD`], and a lasting change is learned within one second.
const RAISE_DURATION: Duration = Duration::from_millis(800);
/// Number of values above the base factor before it rises. A node that rarely uses an upstream sees
/// values of several slow periods in a row: three in 0.3% of the cases if 15% of the time is slow.
const RAISE_SAMPLES: u32 = 3;
/// Usable values in percent. Work that takes a hundred times as long as usual exceeds all deadlines,
/// so a higher value is an error.
pub const USABLE_PERCENT: RangeInclusive<u32> = 1..=10_000;
/// Weight of the newest value near the base factor.
const BASE_ALPHA: f64 = 0.25;
/// Weight of the newest value in the averages over a service. It averages over the last hundred
/// values, some seconds of a busy service.
const SLOW_ALPHA: f64 = 0.01;

/// Speed of one upstream. Factors are the time that work takes there, where 1 is the usual time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    base: Option<f64>,
    /// Time of the first value.
    first_at: Option<Time>,
    /// Newest value, with its time.
    newest: Option<(Time, f64)>,
    /// Values above the base factor since the last one near it.
    above: Option<Above>,
}

/// Values above the base factor, without a value near it between them.
#[derive(Clone, Copy, Debug)]
struct Above {
    since: Time,
    lowest: f64,
    count: u32,
}

impl Pace {
    /// Records a value that the upstream reported. Returns whether the base factor changed.
    pub(crate) fn record(&mut self, now: Time, factor: f64) -> bool {
        self.newest = Some((now, factor));
        self.first_at.get_or_insert(now);
        let Some(base) = self.base else {
            self.base = Some(factor);
            return true;
        };
        // Slow periods only lengthen work, so a lower value is valid at once.
        if factor < base {
            self.above = None;
            self.base = Some(factor);
            return true;
        }
        if factor <= base * SLOW_RATIO {
            self.above = None;
            self.base = Some(base + BASE_ALPHA * (factor - base));
            return factor > base;
        }
        let above = self.above.get_or_insert(Above { since: now, lowest: factor, count: 0 });
        above.lowest = above.lowest.min(factor);
        above.count += 1;
        let raised = above.count >= RAISE_SAMPLES && now.since(above.since) >= RAISE_DURATION;
        if raised {
            self.base = Some(above.lowest);
            self.above = None;
        }
        raised
    }

    /// Takes over the base factor and the newest value, from `at`, that the engine's holder knows.
    /// Returns whether the base factor changed.
    pub(crate) fn adopt(&mut self, at: Time, base: f64, newest: f64) -> bool {
        if self.newest.is_none_or(|(own, _)| own < at) {
            self.newest = Some((at, newest));
        }
        self.above = None;
        self.base.replace(base) != Some(base)
    }

    /// Returns the newest value with its age; `None` before the first one.
    pub(crate) fn newest(&self, now: Time) -> Option<(f64, Duration)> {
        self.newest.map(|(at, factor)| (factor, now.since(at)))
    }

    /// Returns whether values have been seen for longer than a slow period lasts, so that the base
    /// factor is not one of a slow period.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        self.first_at.is_some_and(|at| now.since(at) >= RAISE_DURATION)
    }

    /// Returns whether the newest value was above the base factor.
    pub(crate) fn is_slow(&self) -> bool {
        let (Some(base), Some((_, newest))) = (self.base, self.newest) else { return false };
        newest > base * SLOW_RATIO
    }

    /// Returns the base factor; `None` before the first value.
    pub(crate) fn base(&self) -> Option<f64> {
        self.base
    }

    /// Returns the expected factor at `now`; `None` before the first value. The newest value counts
    /// less the older it is, because the remaining duration of a slow period at a random moment is
    /// distributed evenly.
    pub(crate) fn expected(&self, now: Time) -> Option<f64> {
        let base = self.base?;
        let (at, factor) = self.newest?;
        let age = now.since(at).as_secs_f64() / SLOW_PERIOD.as_secs_f64();
        Some(base + (factor - base) * (1.0 - age).max(0.0))
    }
}

/// Speed of the upstreams of one service, for those that reported nothing yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServicePace {
    /// Median of the base factors.
    pub(crate) median: f64,
    /// Share of the time in which an upstream is slowed down.
    pub(crate) slow_share: f64,
    /// Factor of a slowed upstream relative to its base factor.
    pub(crate) slow_ratio: f64,
}

impl Default for ServicePace {
    fn default() -> ServicePace {
        ServicePace { median: 1.0, slow_share: 0.0, slow_ratio: 1.0 }
    }
}

impl ServicePace {
    /// Records the value of an upstream with the factor `base`.
    pub(crate) fn record(&mut self, factor: f64, base: f64) {
        let ratio = factor / base.max(f64::MIN_POSITIVE);
        let slow = ratio > SLOW_RATIO;
        self.slow_share += SLOW_ALPHA * (f64::from(u8::from(slow)) - self.slow_share);
        if slow {
            // Slow values are rare, so that the first ones count more.
            let weight = if self.slow_ratio <= 1.0 { 1.0 } else { 0.1 };
            self.slow_ratio += weight * (ratio - self.slow_ratio);
        }
    }

    /// Sets the median from the base factors of the upstreams.
    pub(crate) fn set_median(&mut self, mut bases: Vec<f64>) {
        if !bases.is_empty() {
            let middle = bases.len() / 2;
            let (_, median, _) = bases.select_nth_unstable_by(middle, f64::total_cmp);
            self.median = *median;
        }
    }
}

/// What the selection of an upstream was based on, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectionInputs {
    /// Time that work takes at the upstream outside slow periods, in percent of the usual time.
    pub base_percent: u32,
    /// Time that work is expected to take there now, in percent of the usual time.
    pub expected_percent: u32,
    /// Age of the newest value that the upstream reported; `None` if it has reported none.
    pub pace_age: Option<Duration>,
    /// Requests in flight from all nodes.
    pub in_flight: u32,
    /// Prompt tokens from all nodes that the engine has yet to process.
    pub backlog_tokens: u32,
    /// Streams that paused for too long, in thousandths of the recent ones.
    pub late_streams_permille: u32,
    /// Age of the load that the holder reported; `None` if there is no usable report.
    pub load_age: Option<Duration>,
}

impl Dispatcher {
    /// Takes over the speed of an engine from its holder. Returns `false` if it is out of range.
    pub fn apply_engine_model(&mut self, now: Time, model: &EngineModel) -> bool {
        let EngineModel { upstream, incarnation, base_percent, newest_percent, age } = model;
        if ![base_percent, newest_percent].into_iter().all(|value| USABLE_PERCENT.contains(value)) {
            return false;
        }
        let Some(known) = self.upstreams.get_mut(upstream) else { return true };
        if known.entry.incarnation == *incarnation {
            let base = f64::from(*base_percent) / 100.0;
            let changed = known.pace.adopt(now - *age, base, f64::from(*newest_percent) / 100.0);
            known.own_load.set_work_factor(now, base);
            let service = known.entry.service.clone();
            self.update_service_pace(&service, changed);
        }
        true
    }

    /// Records the time that work takes at an upstream, in percent of the usual time.
    pub(super) fn record_pace_report(&mut self, now: Time, upstream: &str, percent: u32) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        let factor = f64::from(percent) / 100.0;
        let changed = upstream.pace.record(now, factor);
        let base = upstream.pace.base().unwrap_or(factor);
        upstream.own_load.set_work_factor(now, base);
        let service = upstream.entry.service.clone();
        if let Some(pace) = self.update_service_pace(&service, changed) {
            pace.record(factor, base);
        }
    }

    /// Returns the speed of `service`, whose upstreams report it, after an update of the median if
    /// the base factor of an upstream changed.
    fn update_service_pace(&mut self, service: &Name, changed: bool) -> Option<&mut ServicePace> {
        let service = self.services.get_mut(service)?;
        let pace = service.pace.get_or_insert_default();
        if changed {
            service.placement_order = None;
            let members = service.members.iter().filter_map(|id| self.upstreams.get(id));
            pace.set_median(members.filter_map(|upstream| upstream.pace.base()).collect());
        }
        Some(pace)
    }

    /// Returns the speed of the upstreams of `service`; `None` if they don't report it.
    pub(super) fn service_pace(&self, service: &Name) -> Option<ServicePace> {
        self.services.get(service)?.pace
    }

    /// Returns what the selection of `upstream` was based on; `None` unless the upstreams of its
    /// service report their speed.
    pub fn selection_inputs(&self, now: Time, upstream: &Name) -> Option<SelectionInputs> {
        let upstream = self.upstreams.get(upstream)?;
        let pace = self.service_pace(&upstream.entry.service)?;
        Some(SelectionInputs {
            base_percent: (upstream.base_factor(&pace) * 100.0).round() as u32,
            expected_percent: (upstream.work_factor(now, &pace) * 100.0).round() as u32,
            pace_age: upstream.pace.newest(now).map(|(_, age)| age),
            in_flight: upstream.in_flight(now),
            backlog_tokens: upstream.backlog(now),
            late_streams_permille: (upstream.late_stream_share(now) * 1_000.0) as u32,
            load_age: upstream.holder_load_age(now),
        })
    }

    /// Returns whether the memory of the engines of `service` is bounded.
    pub fn limits_engine_memory(&self, service: &Name) -> bool {
        self.is_under_pressure(service.as_str())
    }
}
