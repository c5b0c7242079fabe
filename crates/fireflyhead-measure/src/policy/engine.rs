//! Model of an engine with continuous batching.
//!
//! Assumptions: every step generates one token for each running request. The duration of a
//! step grows linearly with the batch, and each request that joins adds its prompt's
//! prefill to the step. Requests beyond the largest batch wait inside the engine by rank, then
//! in order of arrival. A load does not slow down generation. Prefix caching is not modelled.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Rank;

/// Request inside an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of the request.
    pub req: usize,
    /// Urgency.
    pub rank: Rank,
    /// Adapter.
    pub adapter: AdapterKey,
    /// Tokens still to generate.
    pub left: u32,
    /// Tokens generated since the last progress report.
    pub unreported: u32,
    /// Whether the first token was generated.
    pub started: bool,
}

/// Engine: loaded adapters and running requests.
#[derive(Debug, Default)]
pub struct EngineModel {
    /// Adapters in the slots.
    pub loaded: HashSet<AdapterKey>,
    /// Loads that were ordered and have not ended.
    pub loading: usize,
    /// Running requests.
    pub batch: Vec<Run>,
    /// Requests that wait for a place in the batch.
    pub waiting: VecDeque<Run>,
    /// Number of starts.
    pub boot: u64,
    /// Whether a step is scheduled.
    pub stepping: bool,
    /// Whether the engine is restarting.
    pub down: bool,
}

impl EngineModel {
    /// Largest batch.
    pub const MAX_BATCH: usize = 16;
    /// Prompt tokens of each request.
    pub const PROMPT_TOKENS: f64 = 300.0;
    /// Duration of the prefill for each prompt token, in milliseconds.
    pub const PREFILL_MS_PER_TOKEN: f64 = 0.1;
    /// Duration of a step with one request, in milliseconds.
    const STEP_MS: f64 = 24.0;
    /// Growth of a step for each further request, as a fraction.
    const STEP_GROWTH: f64 = 0.03;
    /// Tokens between two progress reports of a request.
    pub const REPORT_TOKENS: u32 = 16;

    /// Duration of a step of `batch` requests, in milliseconds.
    pub fn step_ms(batch: usize) -> f64 {
        Self::STEP_MS * (1.0 + Self::STEP_GROWTH * batch.saturating_sub(1) as f64)
    }

    /// Adds a request to those that wait, behind others of its rank.
    pub fn push(&mut self, run: Run) {
        let at = self.waiting.partition_point(|other| other.rank <= run.rank);
        self.waiting.insert(at, run);
    }

    /// Moves waiting requests into the batch; gives the duration of the next step, if any.
    pub fn begin_step(&mut self) -> Option<Duration> {
        let before = self.batch.len();
        while self.batch.len() < Self::MAX_BATCH {
            let Some(run) = self.waiting.pop_front() else { break };
            self.batch.push(run);
        }
        if self.down || self.batch.is_empty() {
            self.stepping = false;
            return None;
        }
        let joined = (self.batch.len() - before) as f64;
        let prefill = joined * Self::PROMPT_TOKENS * Self::PREFILL_MS_PER_TOKEN;
        self.stepping = true;
        Some(Duration::from_secs_f64((Self::step_ms(self.batch.len()) + prefill) / 1e3))
    }

    /// Whether a request of `adapter` runs or waits.
    pub fn uses(&self, adapter: &AdapterKey) -> bool {
        self.batch.iter().chain(&self.waiting).any(|run| run.adapter == *adapter)
    }

    /// Removes a request.
    pub fn remove(&mut self, req: usize) {
        self.batch.retain(|run| run.req != req);
        self.waiting.retain(|run| run.req != req);
    }
}
