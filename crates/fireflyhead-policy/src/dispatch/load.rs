//! Load of one engine: requests, unread prompt tokens, adapters in use, stalled streams.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;

/// Share of an engine's slots that are filled before requests wait.
const ENGINE_FILL_SHARE: f64 = 0.95;
/// Backlog below which a prompt of any size is added.
const SMALL_BACKLOG_TOKENS: u32 = 300;
/// Prompt tokens that an engine may have unread when another prompt is added.
///
/// An engine reads prompts between the steps of its running requests, so a longer backlog
/// stretches the pause between the events of every stream there beyond its objective.
const PREFILL_WINDOW_TOKENS: u32 = 2_500;
/// Prompt from which an engine with late pauses is avoided; it takes several steps to read.
const LARGE_PROMPT_TOKENS: u32 = 1_500;
/// Share of late pauses from which an engine is avoided for large prompts.
const LATE_SHARE_LIMIT: f64 = 0.4;
/// Weight of the newest stream in the share of late pauses.
const PAUSE_ALPHA: f64 = 0.08;
/// Prompt tokens a second that an engine is sent at first.
///
/// Engines read about 20,000 a second while they generate nothing. At half of that, steps
/// that read a prompt alternate with steps that don't, and pauses stay within objectives.
const INITIAL_PACE_TOKENS_PER_S: f64 = 11_000.0;
/// Range of the pace; engines of the planned deployments read 19,000 to 26,000 tokens a second.
const PACE_RANGE_TOKENS_PER_S: (f64, f64) = (6_000.0, 30_000.0);
/// Longest pause of a stream, in thousandths of its objective, below which the pace rises and
/// above which it falls a little.
const PAUSE_BAND_PERMILLE: (u32, u32) = (750, 900);
/// Factors of the pace for a stream with short pauses, with pauses near the objective and with
/// a late one. Streams end some six times a second at an engine, so the pace doubles in 12 s
/// and falls by a sixth in a second of late streams.
const PACE_FACTORS: (f64, f64, f64) = (1.01, 0.995, 0.97);
/// Weight that older prompts keep in the measured read rate with each new one.
const PREFILL_RATE_DECAY: f64 = 0.95;
/// Least measured read rate, in tokens a second; a stuck engine must not predict endless waits.
const MIN_PREFILL_TOKENS_PER_S: f64 = 1_000.0;

/// Requests of one engine that are known exactly: those of the own node, or at the holder of
/// the engine those of all nodes.
#[derive(Debug)]
pub(crate) struct EngineLoad {
    /// Prompt tokens sent lately, drained at the read rate.
    bucket_level: f64,
    bucket_updated: Time,
    in_flight: u32,
    /// Prompt tokens of requests without output.
    pending_prompt_tokens: u32,
    adapter_usage: HashMap<Name, u32>,
    /// Share of the streams whose longest pause was over its objective, newest first.
    late_stream_share: f64,
    /// Prompt tokens that the engine is sent a second, learnt from the pauses of its streams.
    pace: f64,
    prefill_rate: PrefillRate,
}

impl Default for EngineLoad {
    fn default() -> EngineLoad {
        EngineLoad {
            bucket_level: 0.0,
            bucket_updated: Time::default(),
            in_flight: 0,
            pending_prompt_tokens: 0,
            adapter_usage: HashMap::new(),
            late_stream_share: 0.0,
            pace: INITIAL_PACE_TOKENS_PER_S,
            prefill_rate: PrefillRate::default(),
        }
    }
}

/// Prompt tokens that an engine read lately, and the time that it took.
#[derive(Debug)]
struct PrefillRate {
    tokens: f64,
    seconds: f64,
    /// Time since which the newest unread prompt counts.
    since: Time,
}

impl Default for PrefillRate {
    fn default() -> PrefillRate {
        PrefillRate { tokens: INITIAL_PACE_TOKENS_PER_S, seconds: 1.0, since: Time::default() }
    }
}

impl PrefillRate {
    /// Counts a prompt that was read while others may have waited.
    fn record(&mut self, now: Time, tokens: u32) {
        let elapsed = now.since(self.since).as_secs_f64();
        self.since = now;
        self.tokens = self.tokens * PREFILL_RATE_DECAY + f64::from(tokens);
        self.seconds = self.seconds * PREFILL_RATE_DECAY + elapsed;
    }
}

impl EngineLoad {
    /// Counts a request that is sent.
    pub(crate) fn record_send(&mut self, now: Time, adapter: Option<&Name>, tokens: u32) {
        self.bucket_level = self.current_bucket_level(now) + f64::from(tokens);
        self.bucket_updated = now;
        if self.pending_prompt_tokens == 0 {
            self.prefill_rate.since = now;
        }
        self.pending_prompt_tokens += tokens;
        self.add_running(adapter);
    }

    /// Counts a request that runs already and whose prompt is read.
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

    /// Records the end of a request with a prompt of `tokens` that had no output.
    pub(crate) fn discard_pending(&mut self, tokens: u32) {
        self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_sub(tokens);
    }

    /// Prompt tokens a second that the engine read lately while it had some to read.
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

    /// Records the longest pause of a stream, in thousandths of its objective. The pace rises only
    /// while requests are `waiting` for it; a faster one would shorten nothing but pauses' slack.
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

    /// Prompt tokens that the engine is sent a second.
    pub(crate) fn pace(&self) -> f64 {
        self.pace
    }

    /// Requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Adapters in use, with the number of their requests.
    pub(crate) fn adapter_usage(&self) -> &HashMap<Name, u32> {
        &self.adapter_usage
    }

    /// Requests that use `adapter`.
    pub(crate) fn requests_using(&self, adapter: &Name) -> u32 {
        self.adapter_usage.get(adapter).copied().unwrap_or(0)
    }

    /// Share of the streams that paused for too long.
    pub(crate) fn late_stream_share(&self) -> f64 {
        self.late_stream_share
    }

    /// Prompt tokens that the engine has still to read at the pace that keeps streams on time.
    pub(crate) fn paced_backlog(&self, now: Time) -> u32 {
        self.pending_prompt_tokens.max(self.current_bucket_level(now) as u32)
    }

    /// Prompt tokens of requests without output. Engines read faster than the pace if they must,
    /// at the price of pauses.
    pub(crate) fn pending_prompt_tokens(&self) -> u32 {
        self.pending_prompt_tokens
    }

    fn current_bucket_level(&self, now: Time) -> f64 {
        drain(self.bucket_level, now.since(self.bucket_updated), self.pace)
    }
}

/// Prompt tokens that are left of `tokens` after `elapsed` at a pace in tokens a second.
pub(crate) fn drain(tokens: f64, elapsed: Duration, pace: f64) -> f64 {
    (tokens - elapsed.as_secs_f64() * pace).max(0.0)
}

/// Requests that an engine with `slots` gets at once.
pub(crate) fn max_in_flight(slots: u32) -> f64 {
    (f64::from(slots) * ENGINE_FILL_SHARE).max(1.0)
}

/// Whether a prompt of `tokens` may be added to a backlog. A request that has waited for long
/// takes a slow engine, too.
pub(crate) fn accepts_prompt(
    backlog: u32,
    late_stream_share: f64,
    tokens: u32,
    unpaced: bool,
) -> bool {
    let avoided = !unpaced && avoids_large_prompt(late_stream_share, tokens);
    !avoided && (backlog < SMALL_BACKLOG_TOKENS || backlog + tokens <= PREFILL_WINDOW_TOKENS)
}

/// Whether a large prompt should go elsewhere.
pub(crate) fn avoids_large_prompt(late_stream_share: f64, tokens: u32) -> bool {
    tokens >= LARGE_PROMPT_TOKENS && late_stream_share >= LATE_SHARE_LIMIT
}
