//! State of an engine and its decoding loop.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::engine::EngineConfig;
use crate::engine::EngineCounters;
use crate::engine::EngineFaults;
use crate::engine::LoadReport;
use crate::engine::expected_token;
use crate::faults::Switches;
use crate::faults::lock;
use crate::net::Connections;

/// Time between two samples of the load report.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Piece of a response, with the request that it really belongs to.
#[derive(Clone, Debug)]
pub(super) struct Piece {
    pub(super) id: String,
    pub(super) model: String,
    /// Offset of the first token.
    pub(super) offset: u32,
    pub(super) tokens: u32,
    pub(super) text: String,
    pub(super) last: bool,
}

/// Request at the engine.
pub(super) struct Sequence {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) prompt: String,
    /// Token to generate next.
    pub(super) next: u32,
    /// Tokens of the whole answer.
    pub(super) end: u32,
    /// Lower values run first.
    pub(super) priority: i64,
    /// Token at which the stream breaks off.
    pub(super) cut_at: Option<u32>,
    pub(super) output: mpsc::UnboundedSender<Piece>,
}

/// State of a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Slot {
    Loading,
    Ready,
}

struct Inner {
    boot_id: String,
    slots: BTreeMap<String, Slot>,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    fencing: u64,
    counters: EngineCounters,
    runs: HashMap<String, u32>,
    /// Samples of the load report, the newest last.
    reports: VecDeque<(Instant, LoadReport)>,
}

/// Engine without its HTTP server.
pub(super) struct Worker {
    pub(super) cfg: EngineConfig,
    pub(super) switches: Switches<EngineFaults>,
    pub(super) client: reqwest::Client,
    connections: Arc<Connections>,
    inner: Mutex<Inner>,
    /// Wakes the decoding loop.
    work: Notify,
}

/// Outcome of a reservation of a slot.
pub(super) enum Reserved {
    /// The adapter is loaded or being loaded already.
    Present,
    /// The slot is reserved under this boot id.
    Free(String),
    /// No slot is free.
    Full,
}

fn new_boot_id(name: &str) -> String {
    format!("{name}-{:016x}", rand::random::<u64>())
}

impl Worker {
    pub(super) fn new(cfg: EngineConfig, connections: Arc<Connections>) -> Worker {
        let inner = Inner {
            boot_id: new_boot_id(&cfg.name),
            slots: cfg.preloaded.iter().map(|model| (model.clone(), Slot::Ready)).collect(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            fencing: 0,
            counters: EngineCounters::default(),
            runs: HashMap::new(),
            reports: VecDeque::new(),
        };
        Worker {
            switches: Switches::new(cfg.seed),
            client: reqwest::Client::new(),
            connections,
            inner: Mutex::new(inner),
            work: Notify::new(),
            cfg,
        }
    }

    pub(super) fn counters(&self) -> EngineCounters {
        lock(&self.inner).counters.clone()
    }

    pub(super) fn runs(&self) -> HashMap<String, u32> {
        lock(&self.inner).runs.clone()
    }

    pub(super) fn has_loaded(&self, model: &str) -> bool {
        lock(&self.inner).slots.get(model) == Some(&Slot::Ready)
    }

    pub(super) fn slot(&self, model: &str) -> Option<Slot> {
        lock(&self.inner).slots.get(model).copied()
    }

    pub(super) fn set_faults(&self, faults: EngineFaults) {
        if faults.freeze_connections {
            self.connections.freeze();
        }
        if faults.restart {
            self.restart();
        }
        self.switches.set(EngineFaults { freeze_connections: false, restart: false, ..faults });
    }

    pub(super) fn restart(&self) {
        {
            let mut inner = lock(&self.inner);
            inner.boot_id = new_boot_id(&self.cfg.name);
            inner.slots.clear();
            inner.running.clear();
            inner.waiting.clear();
            inner.fencing = 0;
            inner.reports.clear();
            inner.counters.restarts += 1;
        }
        self.connections.cut();
    }

    /// Report without lag.
    pub(super) fn report(&self) -> LoadReport {
        let inner = lock(&self.inner);
        let ready = inner.slots.iter().filter(|(_, slot)| **slot == Slot::Ready);
        LoadReport {
            boot_id: inner.boot_id.clone(),
            loaded: ready.map(|(model, _)| model.clone()).collect(),
            running: inner.running.len(),
            waiting: inner.waiting.len(),
            slots: self.cfg.slots,
        }
    }

    /// Newest report that is at least as old as the lag, else the oldest.
    pub(super) fn lagging_report(&self) -> LoadReport {
        let now = Instant::now();
        let inner = lock(&self.inner);
        let old_enough = inner
            .reports
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= self.cfg.report_lag)
            .or(inner.reports.front());
        match old_enough {
            Some((_, report)) => report.clone(),
            None => {
                let boot_id = inner.boot_id.clone();
                LoadReport { boot_id, slots: self.cfg.slots, ..LoadReport::default() }
            }
        }
    }

    /// Whether an order with this fencing number is to be carried out.
    pub(super) fn accepts_order(&self, fencing: Option<u64>) -> bool {
        let checked = self.cfg.fencing && !self.switches.get().ignore_fencing;
        let mut inner = lock(&self.inner);
        let number = fencing.unwrap_or(0);
        let old = number < inner.fencing;
        inner.fencing = inner.fencing.max(number);
        if checked && old {
            inner.counters.fenced += 1;
        }
        !(checked && old)
    }

    pub(super) fn reserve_slot(&self, model: &str) -> Reserved {
        let mut inner = lock(&self.inner);
        match inner.slots.len() {
            _ if inner.slots.contains_key(model) => Reserved::Present,
            used if used >= self.cfg.slots => {
                inner.counters.no_slot += 1;
                Reserved::Full
            }
            _ => {
                inner.slots.insert(model.to_owned(), Slot::Loading);
                Reserved::Free(inner.boot_id.clone())
            }
        }
    }

    /// Ends a load that began under `boot_id`; whether the adapter is loaded now.
    pub(super) fn finish_load(&self, model: &str, boot_id: &str, ok: bool) -> bool {
        let mut inner = lock(&self.inner);
        if inner.boot_id != boot_id {
            return false;
        }
        match ok {
            true => {
                inner.counters.loads += 1;
                inner.slots.insert(model.to_owned(), Slot::Ready);
            }
            false => {
                inner.counters.failed_loads += 1;
                inner.slots.remove(model);
            }
        }
        ok
    }

    /// Unloads an adapter; requests for it break off and are counted as an error.
    pub(super) fn unload(&self, model: &str) -> bool {
        let mut inner = lock(&self.inner);
        if inner.slots.get(model) != Some(&Slot::Ready) {
            return false;
        }
        inner.slots.remove(model);
        inner.counters.unloads += 1;
        let before = inner.running.len() + inner.waiting.len();
        inner.running.retain(|sequence| sequence.model != model);
        inner.waiting.retain(|sequence| sequence.model != model);
        if inner.running.len() + inner.waiting.len() < before {
            inner.counters.unloaded_while_serving += 1;
        }
        true
    }

    /// Queues a request; `false` if its adapter is not loaded.
    pub(super) fn submit(&self, mut sequence: Sequence) -> bool {
        let faults = self.switches.get();
        if self.switches.strikes(faults.cut) {
            sequence.cut_at = Some(sequence.next + (sequence.end - sequence.next) / 2);
        }
        let swap = self.switches.strikes(faults.swap);
        let mut inner = lock(&self.inner);
        if inner.slots.get(&sequence.model) != Some(&Slot::Ready) {
            inner.counters.not_loaded += 1;
            return false;
        }
        *inner.runs.entry(sequence.id.clone()).or_default() += 1;
        let unstarted = |other: &&mut Sequence| other.next == 0 && sequence.next == 0;
        if swap && let Some(other) = inner.waiting.iter_mut().find(unstarted) {
            std::mem::swap(&mut other.output, &mut sequence.output);
        } else if swap && let Some(other) = inner.running.iter_mut().find(unstarted) {
            std::mem::swap(&mut other.output, &mut sequence.output);
        }
        let at = inner.waiting.partition_point(|other| other.priority <= sequence.priority);
        inner.waiting.insert(at, sequence);
        drop(inner);
        self.work.notify_one();
        true
    }

    /// Ends a request early; whether it was there.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut inner = lock(&self.inner);
        let before = inner.running.len() + inner.waiting.len();
        inner.running.retain(|sequence| sequence.id != id);
        inner.waiting.retain(|sequence| sequence.id != id);
        let found = inner.running.len() + inner.waiting.len() < before;
        if found {
            inner.counters.cancelled += 1;
        }
        found
    }

    /// Fills the batch; duration of the next step, `None` without work.
    fn begin_step(&self) -> Option<Duration> {
        let mut inner = lock(&self.inner);
        let mut prompt_bytes = 0;
        while inner.running.len() < self.cfg.max_batch {
            let Some(sequence) = inner.waiting.pop_front() else { break };
            prompt_bytes += sequence.prompt.len();
            inner.running.push(sequence);
        }
        let batch = u32::try_from(inner.running.len()).unwrap_or(u32::MAX);
        if batch == 0 {
            return None;
        }
        inner.counters.steps += 1;
        inner.counters.batch_sum += u64::from(batch);
        let growth = 1.0 + self.cfg.batch_growth * f64::from(batch - 1);
        let decode = self.cfg.token_time.mul_f64(growth) * self.cfg.chunk_tokens;
        let prompt_tokens = u32::try_from(prompt_bytes / 4).unwrap_or(u32::MAX);
        Some(decode + self.cfg.prefill_time * prompt_tokens)
    }

    fn end_step(&self) {
        let mut inner = lock(&self.inner);
        let Inner { running, counters, .. } = &mut *inner;
        running.retain_mut(|sequence| emit(sequence, self.cfg.chunk_tokens, counters));
    }
}

/// Emits the next tokens of `sequence`; whether it goes on.
fn emit(sequence: &mut Sequence, tokens: u32, counters: &mut EngineCounters) -> bool {
    if sequence.cut_at.is_some_and(|at| sequence.next >= at) {
        return false;
    }
    let offset = sequence.next;
    let until = (offset + tokens).min(sequence.end);
    let text = (offset..until)
        .map(|index| expected_token(&sequence.model, &sequence.prompt, index))
        .collect();
    sequence.next = until;
    let last = until >= sequence.end;
    counters.tokens += u64::from(until - offset);
    let piece = Piece {
        id: sequence.id.clone(),
        model: sequence.model.clone(),
        offset,
        tokens: until - offset,
        text,
        last,
    };
    match sequence.output.send(piece) {
        Ok(()) if last => counters.finished += 1,
        Ok(()) => {}
        Err(_) => counters.cancelled += 1,
    }
    !last && !sequence.output.is_closed()
}

/// Decodes as long as there is work.
pub(super) async fn decode(worker: Arc<Worker>) {
    loop {
        match worker.begin_step() {
            Some(step) => {
                tokio::time::sleep(step).await;
                worker.end_step();
            }
            None => worker.work.notified().await,
        }
    }
}

/// Records the load report at intervals.
pub(super) async fn sample(worker: Arc<Worker>) {
    loop {
        let report = worker.report();
        {
            let now = Instant::now();
            let mut inner = lock(&worker.inner);
            if inner.boot_id == report.boot_id {
                inner.reports.push_back((now, report));
            }
            let keep = worker.cfg.report_lag + 2 * SAMPLE_INTERVAL;
            while inner.reports.front().is_some_and(|(at, _)| now.duration_since(*at) > keep) {
                inner.reports.pop_front();
            }
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
