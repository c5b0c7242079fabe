//! Callers of the demo: requests of all kinds, whose answers are checked.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use fireflyhead_core::types::Rank;
use fireflyhead_standin::engine::expected_text;
use futures::StreamExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::Zipf;
use reqwest::Response;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use crate::ops::call::Resolved;
use crate::ops::demo::deployment::Kind;
use crate::ops::demo::deployment::Plan;
use crate::ops::demo::deployment::Work;

/// Times that a request without an answer is sent, with the same id.
const ATTEMPTS: usize = 6;
/// Delay before a request is sent again, multiplied by the number of attempts so far.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which a request is given up, above the longest deadline in the table.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(150);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Ended {
    /// With the upstream's response.
    Answered,
    /// Rejected without having run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Without any outcome, which must not happen.
    Nothing,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Class of work.
    pub class: &'static str,
    /// Rank.
    pub rank: Rank,
    /// How it ended.
    pub ended: Ended,
    /// Time to the first token or the response.
    pub first: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Error code.
    pub code: Option<String>,
    /// What happened, if there was no outcome.
    pub detail: Option<String>,
    /// Whether the adapter was loaded nowhere when the request was sent.
    pub stalled: bool,
    /// What is wrong with the answer.
    pub wrong: Option<String>,
    /// Id of a non-idempotent order.
    pub order: Option<String>,
}

impl Record {
    /// Whether the request was rejected only because of its id.
    fn needs_new_id(&self) -> bool {
        let code = self.code.as_deref();
        self.ended == Ended::NotRun && matches!(code, Some("closed_id" | "expired_id"))
    }
}

/// Request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// Kind of work.
    pub kind: Kind,
    /// Unique number.
    pub number: u64,
    /// Popularity rank of the adapter, for drafts.
    pub adapter: usize,
}

/// Generator of requests with exponential gaps and skewed adapters.
pub struct Generator {
    rng: ChaCha8Rng,
    popularity: Zipf<f64>,
    next: Vec<(Duration, Kind)>,
    number: u64,
}

impl Generator {
    /// Generator of the traffic of `plan`, the same for the same `seed`.
    pub fn new(plan: &Plan, seed: u64) -> Generator {
        #[expect(clippy::cast_precision_loss, reason = "a few thousand adapters")]
        let adapters = plan.adapters as f64;
        let popularity = Zipf::new(adapters, plan.zipf).expect("a positive size and exponent");
        let next = plan.kinds.iter().map(|kind| (Duration::ZERO, *kind)).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut generator = Generator { rng, popularity, next, number: 0 };
        for index in 0..generator.next.len() {
            generator.advance(index);
        }
        generator
    }

    fn advance(&mut self, index: usize) {
        let gaps = Exp::new(self.next[index].1.per_second).expect("a positive rate");
        let gap = Duration::from_secs_f64(gaps.sample(&mut self.rng));
        self.next[index].0 += gap;
    }
}

impl Iterator for Generator {
    type Item = (Duration, Request);

    /// Next request, with its time since the start.
    fn next(&mut self) -> Option<(Duration, Request)> {
        let index = (0..self.next.len()).min_by_key(|&index| self.next[index].0)?;
        let (at, kind) = self.next[index];
        self.advance(index);
        self.number += 1;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a rank")]
        let adapter = self.popularity.sample(&mut self.rng) as usize - 1;
        Some((at, Request { kind, number: self.number, adapter }))
    }
}

/// Caller that resolves addresses, keeps them for a while and sends requests.
pub struct Caller {
    http: reqwest::Client,
    /// Nodes to ask for addresses.
    bases: Vec<String>,
    resolved: Mutex<Option<(Instant, Resolved)>>,
    plan: Arc<Plan>,
}

/// Error body of a node.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct ErrorBody {
    code: String,
    outcome: String,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Envelope {
    error: Option<ErrorBody>,
}

/// What one attempt gave.
enum Attempt {
    Ended(Record),
    /// No outcome; the same request may be sent again.
    Broken(String),
}

impl Caller {
    /// Caller that asks the nodes at `bases` for addresses, the first one first.
    ///
    /// # Errors
    /// The HTTP client can't be set up.
    pub fn new(plan: Arc<Plan>, bases: Vec<String>) -> Result<Caller, reqwest::Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(Duration::from_secs(1))
            .build()?;
        Ok(Caller { http, bases, resolved: Mutex::new(None), plan })
    }

    /// Forgets the cached addresses.
    pub fn forget(&self) {
        *self.resolved.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    async fn resolve(&self) -> Result<Resolved, String> {
        let cached = self.resolved.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some((until, resolved)) = cached
            && Instant::now() < until
        {
            return Ok(resolved);
        }
        let mut reason = "no node to ask".to_owned();
        for base in &self.bases {
            let request = self.http.get(format!("{base}/v1/resolve"));
            match fetch_resolved(request.timeout(Duration::from_secs(2))).await {
                Ok(resolved) => {
                    let until = Instant::now() + Duration::from_millis(resolved.ttl_ms);
                    let mut cached = self.resolved.lock().unwrap_or_else(PoisonError::into_inner);
                    *cached = Some((until, resolved.clone()));
                    return Ok(resolved);
                }
                Err(error) => reason = error,
            }
        }
        Err(reason)
    }

    /// Sends `req` until it has an outcome, with the same id as long as that may run.
    pub async fn run(&self, req: &Request, stalled: bool) -> Record {
        let start = Instant::now();
        let mut current: Option<String> = None;
        let mut detail = String::new();
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                self.forget();
                tokio::time::sleep(RETRY_DELAY * u32::try_from(attempt).unwrap_or(1)).await;
            }
            let resolved = match self.resolve().await {
                Ok(resolved) => resolved,
                Err(error) => {
                    detail = error;
                    continue;
                }
            };
            let Some(address) = resolved.addresses.get(attempt % resolved.addresses.len().max(1))
            else {
                "no address".clone_into(&mut detail);
                continue;
            };
            let id = current.get_or_insert_with(|| {
                format!("{}.{}-{}-{attempt}", address.placement, self.plan.name, req.number)
            });
            match self.attempt(req, &address.url, id, start).await {
                // The id never runs, so that the request may be sent under a new one.
                Attempt::Ended(record) if record.needs_new_id() && attempt + 1 < ATTEMPTS => {
                    detail = "the id is closed".to_owned();
                    current = None;
                }
                Attempt::Ended(record) => return Record { stalled, ..record },
                Attempt::Broken(reason) => detail = reason,
            }
        }
        let ended = Record { stalled, ..self.record(req, Ended::Nothing, start) };
        Record { detail: Some(detail), ..ended }
    }

    fn record(&self, req: &Request, ended: Ended, start: Instant) -> Record {
        Record {
            class: req.kind.class,
            rank: req.kind.rank,
            ended,
            first: None,
            total: start.elapsed(),
            code: None,
            detail: None,
            stalled: false,
            wrong: None,
            order: (req.kind.work == Work::Order).then(|| self.order_id(req)),
        }
    }

    fn order_id(&self, req: &Request) -> String {
        format!("{}-order-{}", self.plan.name, req.number)
    }

    fn prompt(&self, req: &Request) -> String {
        format!("{} request {} for adapter {}", self.plan.name, req.number, req.adapter)
    }

    fn request(&self, req: &Request, base: &str) -> reqwest::RequestBuilder {
        let service = self.plan.plain_service;
        let orders = self.plan.orders_path;
        match req.kind.work {
            Work::Order => self
                .http
                .post(format!("{base}/svc/{service}{orders}"))
                .json(&json!({"order_id": self.order_id(req)})),
            Work::Status => self.http.get(format!("{base}/svc/{service}{orders}/{}", req.number)),
            Work::Draft { tokens } => self
                .http
                .post(format!("{base}/v1/completions"))
                .header("x-work-class", req.kind.class)
                .json(&json!({
                    "model": self.plan.model(req.adapter),
                    "prompt": self.prompt(req),
                    "max_tokens": tokens,
                    "stream": true,
                })),
        }
    }

    async fn attempt(&self, req: &Request, base: &str, id: &str, start: Instant) -> Attempt {
        let request = self.request(req, base).header("x-request-id", id).timeout(REQUEST_TIMEOUT);
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Attempt::Broken(format!("no response: {error:?}")),
        };
        if !response.status().is_success() {
            return self.failure(req, response, start).await;
        }
        match req.kind.work {
            Work::Draft { tokens } => self.draft(req, tokens, response, start).await,
            Work::Order | Work::Status => self.call(req, id, response, start).await,
        }
    }

    /// End of a request whose response has an error status.
    async fn failure(&self, req: &Request, response: Response, start: Instant) -> Attempt {
        let status = response.status();
        let body = match response.bytes().await {
            Ok(body) => body,
            Err(error) => return Attempt::Broken(format!("error body broke off: {error}")),
        };
        match serde_json::from_slice::<Envelope>(&body).unwrap_or_default().error {
            Some(error) => self.error(req, error, start),
            None => Attempt::Broken(format!("status {status} without an outcome")),
        }
    }

    fn error(&self, req: &Request, error: ErrorBody, start: Instant) -> Attempt {
        let ended = match error.outcome.as_str() {
            "not_run" => Ended::NotRun,
            "outcome_unknown" => Ended::Unknown,
            "upstream" => Ended::Answered,
            other => return Attempt::Broken(format!("outcome `{other}`, code {}", error.code)),
        };
        let record = self.record(req, ended, start);
        Attempt::Ended(Record { code: Some(error.code), ..record })
    }

    async fn call(&self, req: &Request, id: &str, response: Response, start: Instant) -> Attempt {
        let first = start.elapsed();
        let body: serde_json::Value = match response.json().await {
            Ok(body) => body,
            Err(error) => return Attempt::Broken(format!("the response broke off: {error}")),
        };
        let path = format!("{}/{}", self.plan.orders_path, req.number);
        let right = match req.kind.work {
            Work::Order => body["order_id"] == json!(self.order_id(req)),
            _ => body["path"].as_str().is_some_and(|found| found.ends_with(&path)),
        };
        let wrong = (!right).then(|| format!("request {id} got {body}"));
        let record = self.record(req, Ended::Answered, start);
        Attempt::Ended(Record { first: Some(first), wrong, ..record })
    }

    async fn draft(
        &self,
        req: &Request,
        tokens: u32,
        response: Response,
        start: Instant,
    ) -> Attempt {
        let mut stream = response.bytes_stream();
        let mut answer = Streamed::default();
        let mut first = None;
        while let Some(chunk) = stream.next().await {
            let chunk = match chunk {
                Ok(chunk) => chunk,
                Err(error) => return Attempt::Broken(format!("the stream broke off: {error}")),
            };
            answer.push(&chunk);
            if !answer.text.is_empty() {
                first.get_or_insert_with(|| start.elapsed());
            }
        }
        match answer.error {
            Some(error) => return self.error(req, error, start),
            None if !answer.done => return Attempt::Broken("the stream ended early".to_owned()),
            None => {}
        }
        let model = self.plan.model(req.adapter);
        let wanted = expected_text(&model, &self.prompt(req), tokens);
        let wrong = match () {
            () if answer.models.iter().any(|found| *found != model) => {
                Some(format!("{model} was asked for, {:?} answered", answer.models))
            }
            () if answer.text != wanted => Some(format!("the text of {model} differs")),
            () => None,
        };
        let record = self.record(req, Ended::Answered, start);
        Attempt::Ended(Record { first, wrong, ..record })
    }
}

async fn fetch_resolved(request: reqwest::RequestBuilder) -> Result<Resolved, String> {
    let response = request.send().await.map_err(|e| format!("resolve: {e:?}"))?;
    let response = response.error_for_status().map_err(|e| format!("resolve: {e}"))?;
    response.json().await.map_err(|e| format!("resolve: {e}"))
}

/// Streamed answer, put together.
#[derive(Default)]
struct Streamed {
    buf: Vec<u8>,
    text: String,
    models: Vec<String>,
    done: bool,
    error: Option<ErrorBody>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Chunk {
    model: String,
    choices: Vec<Choice>,
    error: Option<ErrorBody>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Choice {
    text: String,
}

impl Streamed {
    fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
        while let Some(end) = self.buf.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.buf.drain(..=end).collect();
            if let Some(data) = line.strip_prefix(b"data:") {
                self.event(data.trim_ascii());
            }
        }
    }

    fn event(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Chunk = serde_json::from_slice(data).unwrap_or_default();
        self.error = self.error.take().or(chunk.error);
        if !chunk.model.is_empty() && !self.models.contains(&chunk.model) {
            self.models.push(chunk.model);
        }
        for choice in chunk.choices {
            self.text.push_str(&choice.text);
        }
    }
}
