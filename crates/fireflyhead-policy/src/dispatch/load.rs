//! Load of one engine: requests, unread prompt tokens, adapters in use, stalled streams.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;

/// Share of an engine's slots that are filled before requests wait.
const ENGINE_WINDOW: f64 = 0.95;
/// Backlog below which a prompt of any size is added.
const NO_BACKLOG_TOKENS: u32 = 300;
/// Prompt tokens that an engine may have unread when another prompt is added.
///
/// An engine reads prompts between the steps of its running requests, so a longer backlog
/// stretches the pause between the events of every stream there beyond its objective.
const PREFILL_WINDOW_TOKENS: u32 = 2_500;
/// Prompt from which an engine with late pauses is avoided; it takes several steps to read.
const LARGE_PROMPT_TOKENS: u32 = 1_500;
/// Share of late pauses from which an engine is avoided for large prompts.
const SLOW_SHARE: f64 = 0.4;
/// Weight of the newest stream in the share of late pauses.
const PAUSE_ALPHA: f64 = 0.08;
/// Prompt tokens a second that an engine is sent at first.
///
/// Engines read about 20,000 a second while they generate nothing. At half of that, steps
/// that read a prompt alternate with steps that don't, and pauses stay within objectives.
const FIRST_PACE: f64 = 11_000.0;
/// Range of the pace; engines of the planned deployments read 19,000 to 26,000 tokens a second.
const PACE_RANGE: (f64, f64) = (6_000.0, 30_000.0);
/// Longest pause of a stream, in thousandths of its objective, below which the pace rises and
/// above which it falls a little.
const PAUSE_BAND: (u32, u32) = (750, 900);
/// Factors of the pace for a stream with short pauses, with pauses near the objective and with
/// a late one. Streams end some six times a second at an engine, so the pace doubles in 12 s
/// and falls by a sixth in a second of late streams.
const PACE_STEPS: (f64, f64, f64) = (1.01, 0.995, 0.97);
/// Weight that older prompts keep in the measured read rate with each new one.
const READING_DECAY: f64 = 0.95;
/// Least measured read rate, in tokens a second; a stuck engine must not predict endless waits.
const LEAST_READS_PER_S: f64 = 1_000.0;

/// Requests of one engine that are known exactly: those of the own node, or at the holder of
/// the engine those of all nodes.
#[derive(Debug)]
pub(crate) struct EngineLoad {
    /// Prompt tokens sent lately, drained at the read rate.
    level: f64,
    level_at: Time,
    in_flight: u32,
    /// Prompt tokens of requests without output.
    pending_tokens: u32,
    in_use: HashMap<Name, u32>,
    /// Share of the streams whose longest pause was over its objective, newest first.
    late_pauses: f64,
    /// Prompt tokens that the engine is sent a second, learnt from the pauses of its streams.
    pace: f64,
    reading: Reading,
}

impl Default for EngineLoad {
    fn default() -> EngineLoad {
        EngineLoad {
            level: 0.0,
            level_at: Time::default(),
            in_flight: 0,
            pending_tokens: 0,
            in_use: HashMap::new(),
            late_pauses: 0.0,
            pace: FIRST_PACE,
            reading: Reading::default(),
        }
    }
}

/// Prompt tokens that an engine read lately, and the time that it took.
#[derive(Debug)]
struct Reading {
    tokens: f64,
    seconds: f64,
    /// Time since which the newest unread prompt counts.
    since: Time,
}

impl Default for Reading {
    fn default() -> Reading {
        Reading { tokens: FIRST_PACE, seconds: 1.0, since: Time::default() }
    }
}

impl Reading {
    /// Counts a prompt that was read while others may have waited.
    fn read(&mut self, now: Time, tokens: u32) {
        let elapsed = now.since(self.since).as_secs_f64();
        self.since = now;
        self.tokens = self.tokens * READING_DECAY + f64::from(tokens);
        self.seconds = self.seconds * READING_DECAY + elapsed;
    }
}

impl EngineLoad {
    /// Counts a request that is sent.
    pub(crate) fn started(&mut self, now: Time, adapter: Option<&Name>, tokens: u32) {
        self.level = self.level(now) + f64::from(tokens);
        self.level_at = now;
        if self.pending_tokens == 0 {
            self.reading.since = now;
        }
        self.pending_tokens += tokens;
        self.adopted(adapter);
    }

    /// Counts a request that runs already and whose prompt is read.
    pub(crate) fn adopted(&mut self, adapter: Option<&Name>) {
        self.in_flight += 1;
        if let Some(adapter) = adapter {
            *self.in_use.entry(adapter.clone()).or_insert(0) += 1;
        }
    }

    /// Records the first output of a request with a prompt of `tokens`.
    pub(crate) fn output(&mut self, now: Time, tokens: u32) {
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
        self.reading.read(now, tokens);
    }

    /// Records the end of a request with a prompt of `tokens` that had no output.
    pub(crate) fn unread(&mut self, tokens: u32) {
        self.pending_tokens = self.pending_tokens.saturating_sub(tokens);
    }

    /// Prompt tokens a second that the engine read lately while it had some to read.
    pub(crate) fn reads_per_s(&self) -> f64 {
        (self.reading.tokens / self.reading.seconds.max(0.001)).max(LEAST_READS_PER_S)
    }

    /// Records the end of a request.
    pub(crate) fn ended(&mut self, adapter: Option<&Name>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(adapter) = adapter else { return };
        match self.in_use.get_mut(adapter) {
            Some(count) if *count > 1 => *count -= 1,
            Some(_) => {
                self.in_use.remove(adapter);
            }
            None => {}
        }
    }

    /// Records the longest pause of a stream, in thousandths of its objective. The pace rises only
    /// while requests are `waiting` for it; a faster one would shorten nothing but pauses' slack.
    pub(crate) fn paused(&mut self, now: Time, permille: u32, waiting: bool) {
        let late = permille > 1_000;
        let sample = if late { 1.0 } else { 0.0 };
        self.late_pauses += PAUSE_ALPHA * (sample - self.late_pauses);
        let (raised, lowered, cut) = PACE_STEPS;
        let factor = match permille {
            _ if late => cut,
            p if p < PAUSE_BAND.0 && waiting => raised,
            p if p > PAUSE_BAND.1 => lowered,
            _ => 1.0,
        };
        self.level = self.level(now);
        self.level_at = now;
        self.pace = (self.pace * factor).clamp(PACE_RANGE.0, PACE_RANGE.1);
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
    pub(crate) fn in_use(&self) -> &HashMap<Name, u32> {
        &self.in_use
    }

    /// Requests that use `adapter`.
    pub(crate) fn uses(&self, adapter: &Name) -> u32 {
        self.in_use.get(adapter).copied().unwrap_or(0)
    }

    /// Share of the streams that paused for too long.
    pub(crate) fn late_pauses(&self) -> f64 {
        self.late_pauses
    }

    /// Prompt tokens that the engine has still to read at the pace that keeps streams on time.
    pub(crate) fn backlog(&self, now: Time) -> u32 {
        self.pending_tokens.max(self.level(now) as u32)
    }

    /// Prompt tokens of requests without output. Engines read faster than the pace if they must,
    /// at the price of pauses.
    pub(crate) fn pending_tokens(&self) -> u32 {
        self.pending_tokens
    }

    fn level(&self, now: Time) -> f64 {
        drained(self.level, now.since(self.level_at), self.pace)
    }
}

/// Prompt tokens that are left of `tokens` after `elapsed` at a pace in tokens a second.
pub(crate) fn drained(tokens: f64, elapsed: Duration, pace: f64) -> f64 {
    (tokens - elapsed.as_secs_f64() * pace).max(0.0)
}

/// Requests that an engine with `slots` gets at once.
pub(crate) fn places(slots: u32) -> f64 {
    (f64::from(slots) * ENGINE_WINDOW).max(1.0)
}

/// Whether a prompt of `tokens` may be added to a backlog. A request that has waited for long
/// takes a slow engine, too.
pub(crate) fn takes_prompt(backlog: u32, late_pauses: f64, tokens: u32, late: bool) -> bool {
    let avoided = !late && is_too_slow(late_pauses, tokens);
    !avoided && (backlog < NO_BACKLOG_TOKENS || backlog + tokens <= PREFILL_WINDOW_TOKENS)
}

/// Whether a large prompt should go elsewhere.
pub(crate) fn is_too_slow(late_pauses: f64, tokens: u32) -> bool {
    tokens >= LARGE_PROMPT_TOKENS && late_pauses >= SLOW_SHARE
}
