//! Load of one engine: requests, unprocessed prompt tokens, adapters in use and late streams. For a
//! plain upstream, only the number of requests is used.
//!
//! Prompts are paced with a leaky bucket: it fills with the prompt tokens sent and drains at the
//! pace, which adapts to the pauses of the engine's streams.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Name;
use crate::Time;

/// Share of an engine's slots that is filled before further requests wait.
const ENGINE_FILL_SHARE: f64 = 0.95;
/// Backlog below which a prompt of any size is sent.
const SMALL_BACKLOG_TOKENS: u32 = 300;
/// Largest backlog, including the new prompt, up to which a further prompt is sent.
///
/// An engine processes prompts between the decoding steps of its running requests, so a longer
/// backlog stretches the pause between the events of every stream there beyond its objective.
const PREFILL_WINDOW_TOKENS: u32 = 2_500;
/// The same for an engine that reports its speed, at usual speed. In the replay of uneven engines,
/// 5% of the streams pause for too long with 1,500 tokens, 9% with 2,500 and 18% with 4,000.
const PACED_WINDOW_TOKENS: f64 = 1_500.0;
/// Prompt size from which an engine with late streams is avoided. Such a prompt takes several steps
/// to process.
const LARGE_PROMPT_TOKENS: u32 = 1_500;
/// Share of late streams from which an engine is avoided for large prompts.
const LATE_SHARE_LIMIT: f64 = 0.4;
/// Weight of the newest stream in the exponential moving average of late streams.
const PAUSE_ALPHA: f64 = 0.08;
/// Initial pace, in prompt tokens per second.
///
/// Engines process about 20,000 prompt tokens per second while they generate nothing. At half of
/// that rate, steps with prefill alternate with steps without, and pauses stay within their
/// objectives.
const INITIAL_PACE_TOKENS_PER_S: f64 = 11_000.0;
/// Lowest and highest pace. The engines of the planned deployments process 19,000 to 26,000 prompt
/// tokens per second.
const PACE_RANGE_TOKENS_PER_S: (f64, f64) = (6_000.0, 30_000.0);
/// Longest pause of a stream, in thousandths of its objective, below which the pace rises (first)
/// and above which it falls a little (second).
const PAUSE_BAND_PERMILLE: (u32, u32) = (750, 900);
/// Factors applied to the pace for a stream with short pauses, one with pauses near the objective,
/// and a late one. About six streams end per second at an engine, so the pace doubles in 12 s and
/// falls by a sixth in a second of late streams.
const PACE_FACTORS: (f64, f64, f64) = (1.01, 0.995, 0.97);
/// Duration of the steps of one event in ms at an engine of usual speed: three steps of 10.5 ms.
const EVENT_MS: f64 = 32.0;
/// Prompt tokens that an engine of usual speed processes per ms.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 19.2;
/// Longest pause of a stream that counts as on time, in ms.
pub(crate) const PAUSE_OBJECTIVE_MS: f64 = 300.0;
/// Weight that older prompts keep in the measured prefill rate with each new one.
const PREFILL_RATE_DECAY: f64 = 0.95;
/// Lower bound of the measured prefill rate, in tokens per second, so that a stuck engine does not
/// lead to predictions of endless waits.
const MIN_PREFILL_TOKENS_PER_S: f64 = 1_000.0;

/// Load of one engine from requests that are known exactly: those of this node, or, at the engine's
/// holder, those of all nodes.
#[derive(Clone, Debug)]
pub(crate) struct EngineLoad {
    /// Fill level of the leaky bucket at `bucket_updated`, in prompt tokens.
    bucket_level: f64,
    bucket_updated: Time,
    /// Number of requests in flight.
    in_flight: u32,
    /// Prompt tokens of the requests without output.
    pending_prompt_tokens: u32,
    /// Number of requests in flight per adapter.
    adapter_usage: BTreeMap<Name, u32>,
    /// Moving average of the share of streams whose longest pause exceeded its objective.
    late_stream_share: f64,
    /// Prompt tokens per second that the engine is sent; adapts to the pauses of its streams.
    pace: f64,
    /// Measured rate at which the engine processes prompts.
    prefill_rate: PrefillRate,
    /// Time that work takes at the engine, where 1 is the usual time; `None` if it doesn't report
    /// its speed. The pace is divided by it.
    work_factor: Option<f64>,
}

impl Default for EngineLoad {
    fn default() -> EngineLoad {
        EngineLoad {
            bucket_level: 0.0,
            bucket_updated: Time::default(),
            in_flight: 0,
            pending_prompt_tokens: 0,
            adapter_usage: BTreeMap::new(),
            late_stream_share: 0.0,
            pace: INITIAL_PACE_TOKENS_PER_S,
            prefill_rate: PrefillRate::default(),
            work_factor: None,
        }
    }
}

/// Prompt tokens that an engine processed recently, and the time that this took.
#[derive(Clone, Debug)]
struct PrefillRate {
    tokens: f64,
    seconds: f64,
    /// Time from which the processing of the oldest pending prompt is counted.
    since: Time,
}

impl Default for PrefillRate {
    fn default() -> PrefillRate {
        PrefillRate { tokens: INITIAL_PACE_TOKENS_PER_S, seconds: 1.0, since: Time::default() }
    }
}

impl PrefillRate {
    /// Records a prompt that was processed since the last call, or since the engine became busy.
    fn record(&mut self, now: Time, tokens: u32) {
        let elapsed = now.since(self.since).as_secs_f64();
        self.since = now;
        self.tokens = self.tokens * PREFILL_RATE_DECAY + f64::from(tokens);
        self.seconds = self.seconds * PREFILL_RATE_DECAY + elapsed;
    }
}

impl EngineLoad {
    /// Records that a request with a prompt of `tokens` was sent.
    pub(crate) fn record_send(&mut self, now: Time, adapter: Option<&Name>, tokens: u32) {
        self.bucket_level = self.current_bucket_level(now) + f64::from(tokens);
        self.bucket_updated = now;
        if self.pending_prompt_tokens == 0 {
            self.prefill_rate.since = now;
        }
        self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_add(tokens);
        self.add_running(adapter);
    }

    /// Counts a running request without adding its prompt to the backlog, such as one whose prompt
    /// has already been processed.
    pub(crate) fn add_running(&mut self, adapter: Option<&Name>) {
        self.in_flight += 1;
        if let Some(adapter) = adapter {
            *self.adapter_usage.entry(adapter.clone()).or_insert(0) += 1;
        }
    }

    /// Records the first output of a request with a prompt of `tokens`.
    pub(crate) fn record_first_output(&mut self, now: Time, tokens: u32) {
        self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_sub(tokens);
        self.prefill_rate.record(now, tokens);
    }

    /// Removes `tokens` from the pending prompts without counting them as processed, such as when a
    /// request ends without output.
    pub(crate) fn discard_pending(&mut self, tokens: u32) {
        self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_sub(tokens);
    }

    /// Returns the rate at which the engine processed prompts recently, in tokens per second. Time
    /// without pending prompts doesn't count.
    pub(crate) fn prefill_tokens_per_s(&self) -> f64 {
        (self.prefill_rate.tokens / self.prefill_rate.seconds.max(0.001))
            .max(MIN_PREFILL_TOKENS_PER_S)
    }

    /// Records the end of a request.
    pub(crate) fn record_end(&mut self, adapter: Option<&Name>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(adapter) = adapter else { return };
        match self.adapter_usage.get_mut(adapter) {
            Some(count) if *count > 1 => *count -= 1,
            Some(_) => {
                self.adapter_usage.remove(adapter);
            }
            None => {}
        }
    }

    /// Records the longest pause of a stream, in thousandths of its objective, and adapts the pace.
    /// The pace rises only while requests are `waiting`; otherwise a higher pace would gain nothing
    /// and only lengthen pauses.
    pub(crate) fn record_pause(&mut self, now: Time, permille: u32, waiting: bool) {
        let late = permille > 1_000;
        let sample = if late { 1.0 } else { 0.0 };
        self.late_stream_share += PAUSE_ALPHA * (sample - self.late_stream_share);
        let (raised, lowered, cut) = PACE_FACTORS;
        let factor = match permille {
            _ if late => cut,
            p if p < PAUSE_BAND_PERMILLE.0 && waiting => raised,
            p if p > PAUSE_BAND_PERMILLE.1 => lowered,
            _ => 1.0,
        };
        self.bucket_level = self.current_bucket_level(now);
        self.bucket_updated = now;
        self.pace =
            (self.pace * factor).clamp(PACE_RANGE_TOKENS_PER_S.0, PACE_RANGE_TOKENS_PER_S.1);
    }

    /// Sets the time that work takes at the engine, where 1 is the usual time.
    pub(crate) fn set_work_factor(&mut self, now: Time, factor: f64) {
        self.bucket_level = self.current_bucket_level(now);
        self.bucket_updated = now;
        self.work_factor = Some(factor);
    }

    /// Returns the time that work takes at the engine; `None` if it doesn't report its speed.
    pub(crate) fn work_factor(&self) -> Option<f64> {
        self.work_factor
    }

    /// Returns the number of prompt tokens per second that the engine is sent at its speed.
    pub(crate) fn effective_pace(&self) -> f64 {
        self.pace / self.work_factor.unwrap_or(1.0)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests in flight per adapter.
    pub(crate) fn adapter_usage(&self) -> &BTreeMap<Name, u32> {
        &self.adapter_usage
    }

    /// Returns the number of requests in flight that use `adapter`.
    pub(crate) fn requests_using(&self, adapter: &Name) -> u32 {
        self.adapter_usage.get(adapter).copied().unwrap_or(0)
    }

    /// Returns the share of recent streams that paused for too long, from 0 to 1.
    pub(crate) fn late_stream_share(&self) -> f64 {
        self.late_stream_share
    }

    /// Returns the number of prompt tokens that the engine has yet to process at the pace that
    /// keeps streams on time.
    pub(crate) fn paced_backlog(&self, now: Time) -> u32 {
        self.pending_prompt_tokens.max(self.current_bucket_level(now) as u32)
    }

    /// Returns the number of prompt tokens of requests without output. Engines process prompts
    /// faster than the pace if they must, at the price of longer pauses.
    pub(crate) fn pending_prompt_tokens(&self) -> u32 {
        self.pending_prompt_tokens
    }

    /// Returns the fill level of the leaky bucket at `now`.
    fn current_bucket_level(&self, now: Time) -> f64 {
        drain(self.bucket_level, now.since(self.bucket_updated), self.effective_pace())
    }
}

/// Returns how many of `tokens` remain after draining for `elapsed` at `pace` tokens per second.
pub(crate) fn drain(tokens: f64, elapsed: Duration, pace: f64) -> f64 {
    (tokens - elapsed.as_secs_f64() * pace).max(0.0)
}

/// Returns the number of requests that an engine with `slots` is sent at once. One whose work takes
/// longer than usual is sent fewer, because its steps grow with the number of requests.
pub(crate) fn max_in_flight(slots: u32, work_factor: Option<f64>) -> f64 {
    (f64::from(slots) * ENGINE_FILL_SHARE / work_factor.unwrap_or(1.0).max(1.0)).max(1.0)
}

/// Returns the pause in ms that the streams of an engine have while it processes `tokens` of
/// prompts.
pub(crate) fn expected_pause_ms(work_factor: f64, tokens: f64) -> f64 {
    work_factor * (EVENT_MS + tokens / PREFILL_TOKENS_PER_MS)
}

/// Returns whether a prompt of `tokens` may be added to a backlog. An `unpaced` request, which has
/// waited for a long time, is also sent to an engine with late streams.
pub(crate) fn accepts_prompt(
    backlog: u32,
    late_stream_share: f64,
    tokens: u32,
    unpaced: bool,
    work_factor: Option<f64>,
) -> bool {
    let avoided = !unpaced
        && match work_factor {
            Some(factor) => expected_pause_ms(factor, f64::from(tokens)) > PAUSE_OBJECTIVE_MS,
            None => avoids_large_prompt(late_stream_share, tokens),
        };
    let window = match work_factor {
        Some(factor) => PACED_WINDOW_TOKENS / factor,
        None => f64::from(PREFILL_WINDOW_TOKENS),
    };
    !avoided
        && (backlog < SMALL_BACKLOG_TOKENS || f64::from(backlog.saturating_add(tokens)) <= window)
}

/// Returns whether the prompt is large and the engine has too many late streams for it.
pub(crate) fn avoids_large_prompt(late_stream_share: f64, tokens: u32) -> bool {
    tokens >= LARGE_PROMPT_TOKENS && late_stream_share >= LATE_SHARE_LIMIT
}
