//! Duration of adapter loads, and the times at which reports on them are requested.
//!
//! A report shows the state of about 100 ms before, so the first report that shows a load is later
//! than its end. Under pressure the holder learns this time and requests reports around it only.

use std::time::Duration;

use crate::Time;
use crate::protocol::EngineReport;

use super::AdapterSlot;
use super::AdapterState;
use super::EngineCall;
use super::REPORT_INTERVAL;
use super::REPORT_INTERVAL_SLOW;
use super::Residency;

/// Delay between the order to load an adapter from the adapter store and the first report that is
/// requested on it; no deployment loads an adapter in less than 250 ms.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(200);
/// Same as [`FIRST_REPORT_DELAY`] for an adapter that the engine held before, which loads faster.
const FIRST_REPORT_DELAY_RELOAD: Duration = Duration::from_millis(30);
/// Same as [`FIRST_REPORT_DELAY_RELOAD`] under pressure: a load of 29 ms and the delay of reports.
const FIRST_REPORT_DELAY_WARM: Duration = Duration::from_millis(110);
/// Age of a load from which reports are requested seldom.
const LONG_LOAD: Duration = Duration::from_secs(2);
/// Delay with which reports show the state of an engine.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Interval between reports around the expected end of a load.
const CLOSE_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Share of the expected time, as a divisor, by which the first report on a load is requested
/// earlier. While the adapter store is overloaded, the times of loads differ by more than that, and a
/// load that is seen late holds back others.
const REPORT_LEAD_DIVISOR: u32 = 8;
/// Time after the expected one up to which reports are requested at short intervals.
const REPORT_LAST: Duration = Duration::from_millis(60);
/// Expected time from an order to the first report that shows the adapter, before the first sample:
/// 250 ms, the shortest load of any deployment, and the delay of reports.
const INITIAL_VISIBLE_TIME: Duration = Duration::from_millis(350);
/// Longest time that is learned; longer loads are failures of the adapter store.
const MAX_VISIBLE_TIME: Duration = Duration::from_millis(1_500);
/// Concurrent loads for each engine that are allowed at first. The adapter stores of the deployments
/// under pressure sustain 0.53 and 0.67.
const INITIAL_SUSTAINED: f64 = 0.55;
/// Fewest and most concurrent loads for each engine; deployments sustain 0.44 to 0.9.
const SUSTAINED_RANGE: (f64, f64) = (0.44, 0.9);
/// Duration of a load, relative to the shortest one, from which the adapter store is overloaded. The
/// interval of reports alone makes a difference of a tenth.
const SLOW_LOAD_RATIO: f64 = 1.2;
/// Change of the limit with a load at full speed that others had to wait for, and factor with a slow
/// one. A holder sees one or two loads a second.
const SUSTAINED_STEP: f64 = 0.02;
const SUSTAINED_CUT: f64 = 0.95;
/// Weight of the newest load in the moving average.
const LOAD_TIME_ALPHA: f64 = 0.3;

/// Time that loads from the adapter store take until a report shows them.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadTimes {
    visible: Duration,
    /// Shortest load so far.
    shortest: Duration,
    /// Concurrent loads for each engine that the adapter store sustains at full speed.
    sustained: f64,
    /// Whether a load waited for the others since the last one ended.
    limited: bool,
}

impl Default for LoadTimes {
    fn default() -> LoadTimes {
        LoadTimes {
            visible: INITIAL_VISIBLE_TIME,
            shortest: MAX_VISIBLE_TIME,
            sustained: INITIAL_SUSTAINED,
            limited: false,
        }
    }
}

impl LoadTimes {
    /// Records that a report requested at `age` after the order is the first to show the adapter.
    pub(super) fn record(&mut self, age: Duration) {
        let age = age.min(MAX_VISIBLE_TIME);
        self.visible = self.visible.mul_f64(1.0 - LOAD_TIME_ALPHA) + age.mul_f64(LOAD_TIME_ALPHA);
        let time = age.saturating_sub(REPORT_DELAY);
        self.shortest = self.shortest.min(time);
        let (least, most) = SUSTAINED_RANGE;
        if time > self.shortest.mul_f64(SLOW_LOAD_RATIO) {
            self.sustained = (self.sustained * SUSTAINED_CUT).max(least);
        } else if std::mem::take(&mut self.limited) {
            self.sustained = (self.sustained + SUSTAINED_STEP).min(most);
        }
    }

    /// Returns the age from which a load has probably ended, although no report shows it yet.
    pub(super) fn expected(&self) -> Duration {
        self.visible.saturating_sub(REPORT_DELAY)
    }

    /// Records that a load waits because of the number of loads in progress.
    pub(super) fn record_limited(&mut self) {
        self.limited = true;
    }

    /// Returns the age of a load at which the first report is requested, and the interval to the
    /// next one at `age`.
    fn report_times(&self, age: Duration) -> (Duration, Duration) {
        let interval = match age {
            _ if age <= self.visible + REPORT_LAST => CLOSE_REPORT_INTERVAL,
            _ if age < LONG_LOAD => REPORT_INTERVAL,
            _ => REPORT_INTERVAL_SLOW,
        };
        (self.visible.saturating_sub(self.visible / REPORT_LEAD_DIVISOR), interval)
    }
}

impl AdapterSlot {
    /// Records that a report at `now` shows the load that began at `since`. Under pressure the time
    /// of residence counts from its end, so that the waiting requests find the adapter.
    pub(super) fn complete_load(&mut self, now: Time, since: Time, version: u64, pressure: bool) {
        self.state = AdapterState::Resident { since: if pressure { now } else { since } };
        self.last_used = now;
        self.version = version;
    }
}

impl Residency {
    /// Records the loads that a report shows as complete although it is older than the last accepted
    /// order. Orders to one engine follow each other within the delay of its reports, so that newer
    /// reports may come too late for the requests that wait.
    pub(super) fn complete_earlier_loads(&mut self, now: Time, sent: Time, report: &EngineReport) {
        for held in &report.adapters {
            let warm = self.reloads_fast(now, &held.adapter);
            let Some(slot) = self.adapters.get_mut(&held.adapter) else { continue };
            let AdapterState::Loading { since } = slot.state else { continue };
            if report.orders >= slot.load_order && slot.version <= held.version {
                if !warm {
                    self.load_times.record(sent.since(since));
                }
                slot.complete_load(now, since, held.version, true);
            }
        }
    }

    /// Returns the number of loads that the adapter store transmits. Under pressure, loads that have
    /// probably ended don't count.
    pub fn loads_in_store(&self, now: Time) -> u32 {
        if !self.pressure {
            return self.loads_in_progress();
        }
        let loading = self
            .adapters
            .iter()
            .filter(|(adapter, slot)| match slot.state {
                AdapterState::Loading { since } => {
                    !self.reloads_fast(now, adapter)
                        && now.since(since) < self.load_times.expected()
                }
                AdapterState::Resident { .. } | AdapterState::Unloading { .. } => false,
            })
            .count();
        u32::try_from(loading).unwrap_or(u32::MAX)
    }

    /// Returns the number of concurrent loads from the adapter store for each engine that its holder
    /// allows under pressure. It rises while loads wait although the store is at full speed, and
    /// falls when loads take longer.
    pub fn sustained_loads_per_engine(&self) -> f64 {
        self.load_times.sustained
    }

    /// Returns a call for a report if an operation is in progress whose state is due to be checked.
    pub(super) fn due_report(&self, now: Time) -> Option<EngineCall> {
        let due = self.adapters.iter().any(|(adapter, slot)| match slot.state {
            AdapterState::Loading { since } => {
                let age = now.since(since);
                let (first, interval) = match self.reloads_fast(now, adapter) {
                    true if self.pressure && age < LONG_LOAD => {
                        (FIRST_REPORT_DELAY_WARM, CLOSE_REPORT_INTERVAL)
                    }
                    true => (FIRST_REPORT_DELAY_RELOAD, REPORT_INTERVAL),
                    false if self.pressure => self.load_times.report_times(age),
                    false if age < LONG_LOAD => (FIRST_REPORT_DELAY, REPORT_INTERVAL),
                    false => (FIRST_REPORT_DELAY, REPORT_INTERVAL_SLOW),
                };
                age >= first && self.is_report_due(now, interval)
            }
            AdapterState::Unloading { .. } => self.is_report_due(now, REPORT_INTERVAL_SLOW),
            AdapterState::Resident { .. } => false,
        });
        due.then_some(EngineCall::FetchReport)
    }
}
