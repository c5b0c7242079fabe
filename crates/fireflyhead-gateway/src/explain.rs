//! Explains on the metrics address what this node would do with a request.
//!
//! Evaluates the request with the code that decides on real ones, on copies of the state, so that the
//! answer has no effect. An explanation copies the state of the dispatcher, which takes some
//! milliseconds on a large deployment; [`MIN_INTERVAL`] bounds what that takes from requests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::extract::Query;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::ClientAccount;
use fireflyhead_policy::authentication::ConfigState;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::config::Route;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::explain::CandidateReport;
use fireflyhead_policy::dispatch::explain::Exclusion;
use fireflyhead_policy::dispatch::explain::Explanation;
use fireflyhead_policy::dispatch::explain::Verdict;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::protocol::ModelRef;
use fireflyhead_policy::protocol::TokenCount;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::lifecycle::Phase;
use crate::quarantine;
use crate::quarantine::QUARANTINED;
use crate::state::Shared;

/// Path of the explanations on the metrics address.
pub const EXPLAIN_PATH: &str = "/explain";
/// Shortest time between two explanations. A copy takes some 5 ms, a twentieth of it.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Id of the job that is explained: behind all real ones of the same urgency.
const EXPLAINED_JOB: JobId = JobId(u64::MAX);

/// Request to be explained.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExplainQuery {
    /// Name of the route.
    pub route: String,
    /// Base model; absent for a plain service.
    pub model: Option<String>,
    /// Adapter.
    pub adapter: Option<String>,
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt: u32,
    /// Largest number of output tokens.
    #[serde(default)]
    pub output: u32,
    /// Parts of the prompt that other requests may share, separated by commas.
    pub prefix: Option<String>,
    /// Name of the client account.
    pub account: Option<String>,
}

/// What the node would do with a request.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExplainReport {
    /// Name of the node.
    pub node: String,
    /// `starting`, `ready` or `leaving`.
    pub state: String,
    /// Version of the configuration in effect.
    pub config_version: Option<u64>,
    /// `current`, `unconfirmed` or `behind`.
    pub config_state: String,
    /// Matched route; absent while the node has no configuration.
    pub route: Option<RouteReport>,
    /// Client account, if one was named.
    pub account: Option<AccountReport>,
    /// Number of requests that wait.
    pub waiting: usize,
    /// Newest version of the adapter that operators have set.
    pub newest_version: Option<u64>,
    /// Upstreams of the service.
    pub candidates: Vec<CandidateRow>,
    /// Decision.
    pub decision: DecisionReport,
}

/// Route of an explained request.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RouteReport {
    /// Name.
    pub name: String,
    /// Service to which this request is sent.
    pub service: String,
    /// Priority of the request.
    pub priority: u8,
    /// Latency objective in ms.
    pub objective_ms: u64,
    /// Longest wait of a caller in ms.
    pub timeout_ms: u64,
}

/// Client account of an explained request.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AccountReport {
    /// Name.
    pub name: String,
    /// Units that the request counts as; absent without a quota.
    pub cost: Option<u64>,
    /// Units per second.
    pub rate: Option<f64>,
    /// Largest number of units at once.
    pub burst: Option<f64>,
    /// Units that this node may admit now; absent if that is not known.
    pub remaining: Option<f64>,
}

/// Upstream of an explained request.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CandidateRow {
    /// Id.
    pub upstream: String,
    /// Availability zone.
    pub zone: String,
    /// Expected delay in ms, with a random part of up to 3 ms.
    pub expected_ms: Option<f64>,
    /// What excludes it.
    pub excluded: Option<String>,
    /// Requests in flight from all nodes.
    pub in_flight: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens that it has yet to process.
    pub backlog_tokens: u32,
    /// Share of late streams, from 0 to 1.
    pub late_share: f64,
    /// Node that admits requests to it.
    pub holder: Option<String>,
    /// Age of the holder's figures in ms; absent if they are those of this node.
    pub holder_age_ms: Option<u64>,
    /// Age of the load that it reported itself in ms.
    pub report_age_ms: Option<u64>,
}

/// Decision on an explained request.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DecisionReport {
    /// `send`, `ask_holder`, `wait` or `refuse`.
    pub action: String,
    /// Upstream that the action concerns.
    pub upstream: Option<String>,
    /// Adapter version that must serve the request.
    pub version: Option<u64>,
    /// Reason for a wait or a refusal.
    pub reason: Option<String>,
    /// Status of a refusal.
    pub status: Option<u16>,
    /// `Retry-After` of a refusal, in ms.
    pub retry_after_ms: Option<u64>,
}

impl DecisionReport {
    fn new(action: &str) -> DecisionReport {
        DecisionReport { action: action.to_owned(), ..DecisionReport::default() }
    }

    fn wait(reason: &str, upstream: Option<&Name>) -> DecisionReport {
        DecisionReport {
            reason: Some(reason.to_owned()),
            upstream: upstream.map(Name::to_string),
            ..DecisionReport::new("wait")
        }
    }

    fn refuse(reason: &str, retry_after: Duration) -> DecisionReport {
        DecisionReport {
            reason: Some(reason.to_owned()),
            status: Some(StatusCode::SERVICE_UNAVAILABLE.as_u16()),
            retry_after_ms: Some(millis(retry_after)),
            ..DecisionReport::new("refuse")
        }
    }
}

/// Time of the last explanation.
#[derive(Debug, Default)]
pub(crate) struct ExplainLimit {
    /// In microseconds of [`clock::now`].
    last: AtomicU64,
}

impl ExplainLimit {
    /// Returns whether an explanation may be made now, and records it.
    fn try_acquire(&self, now: Time) -> bool {
        let last = Time::from_micros(self.last.load(Ordering::Relaxed));
        let allowed = last == Time::default() || now.since(last) >= MIN_INTERVAL;
        if allowed {
            self.last.store(now.as_micros(), Ordering::Relaxed);
        }
        allowed
    }
}

/// Responds to a query for an explanation.
pub(crate) fn respond(shared: &Shared, limit: &ExplainLimit, uri: &Uri) -> Response {
    let query = match Query::<ExplainQuery>::try_from_uri(uri) {
        Ok(Query(query)) => query,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let now = clock::now();
    if !limit.try_acquire(now) {
        let text = format!("one explanation each {} ms", MIN_INTERVAL.as_millis());
        return (StatusCode::TOO_MANY_REQUESTS, text).into_response();
    }
    match explain(shared, now, &query) {
        Ok(report) => Json(report).into_response(),
        Err(reason) => (StatusCode::NOT_FOUND, reason).into_response(),
    }
}

/// Returns what the node would do with a request that arrives now.
///
/// # Errors
/// The configuration has no such route or account; the value says so.
pub fn explain(shared: &Shared, now: Time, query: &ExplainQuery) -> Result<ExplainReport, String> {
    let state = match shared.node_state() {
        NodeState::Starting => "starting",
        NodeState::Ready => "ready",
        NodeState::Leaving => "leaving",
    };
    let config_state = match shared.config_state(now) {
        ConfigState::Current => "current",
        ConfigState::Unconfirmed => "unconfirmed",
        ConfigState::Behind => "behind",
    };
    let report = ExplainReport {
        node: shared.settings.node.to_string(),
        state: state.to_owned(),
        config_state: config_state.to_owned(),
        ..ExplainReport::default()
    };
    let Some(config) = shared.config() else {
        return Ok(ExplainReport {
            decision: DecisionReport::refuse("no_config", Duration::ZERO),
            ..report
        });
    };
    let report = ExplainReport { config_version: Some(config.version), ..report };
    let route =
        config.routes().find(|route| route.name.as_str() == query.route).ok_or_else(|| {
            format!("configuration {} has no route `{}`", config.version, query.route)
        })?;
    let account = find_account(&config, query.account.as_deref())?;
    explain_route(shared, now, query, route, account, report)
}

fn find_account<'a>(
    config: &'a Config,
    name: Option<&str>,
) -> Result<Option<&'a ClientAccount>, String> {
    let Some(name) = name else { return Ok(None) };
    let account = config.accounts.as_ref().and_then(|accounts| accounts.get(name));
    let unknown = || format!("configuration {} has no account `{name}`", config.version);
    account.map(|account| Some(account.as_ref())).ok_or_else(unknown)
}

/// Explains a request of a known route.
fn explain_route(
    shared: &Shared,
    now: Time,
    query: &ExplainQuery,
    route: &Route,
    account: Option<&ClientAccount>,
    report: ExplainReport,
) -> Result<ExplainReport, String> {
    let service = route.service_for("").cloned();
    let service = service.ok_or_else(|| format!("route `{}` has no service", route.name))?;
    let job = job(now, query, route, service, account);
    let explanation = shared.dispatcher().explain(now, &job);
    let decision = early_refusal(shared, now, query, route, &job)
        .unwrap_or_else(|| decision(&explanation.verdict));
    let Explanation { candidates, waiting, newest_version, .. } = explanation;
    Ok(ExplainReport {
        route: Some(RouteReport {
            name: route.name.to_string(),
            service: job.service.to_string(),
            priority: job.priority,
            objective_ms: millis(route.objective),
            timeout_ms: millis(route.timeout),
        }),
        account: account.map(|account| account_report(account, query)),
        waiting,
        newest_version,
        candidates: candidates.into_iter().map(candidate_row).collect(),
        decision,
        ..report
    })
}

/// Returns the refusal of a request that doesn't reach the dispatcher.
fn early_refusal(
    shared: &Shared,
    now: Time,
    query: &ExplainQuery,
    route: &Route,
    job: &Job,
) -> Option<DecisionReport> {
    if shared.lifecycle.phase() >= Phase::Closing {
        return Some(DecisionReport::refuse("stopping", Duration::ZERO));
    }
    let nodes = shared.node_count(now);
    // On a copy, because it takes a token.
    let mut limits = shared.limits().clone();
    if let Err(retry_after) = limits.try_acquire(now, &route.name, &route.policy, nodes) {
        return Some(DecisionReport::refuse("limit", retry_after));
    }
    let parts: Vec<Name> =
        query.prefix.iter().flat_map(|parts| parts.split(',')).map(Name::from).collect();
    let is_refused = quarantine::is_refused(shared, &job.service, &parts);
    is_refused.then(|| DecisionReport {
        retry_after_ms: None,
        ..DecisionReport::refuse(QUARANTINED, Duration::ZERO)
    })
}

/// Returns the request as the dispatcher sees it.
fn job(
    now: Time,
    query: &ExplainQuery,
    route: &Route,
    service: Name,
    account: Option<&ClientAccount>,
) -> Job {
    let deadline = now + route.timeout;
    let model = query.model.as_deref().map(|model| ModelRef {
        model: Name::from(model),
        adapter: query.adapter.as_deref().map(Name::from),
    });
    Job {
        id: EXPLAINED_JOB,
        route: route.name.clone(),
        weight: route.policy.weight,
        floor: route.policy.floor,
        service,
        model,
        priority: account.and_then(|account| account.priority).unwrap_or(route.priority),
        arrived: now,
        objective: now + route.objective,
        first_output_deadline: match route.stall_timeout {
            Some(stall_timeout) => deadline.min(now + stall_timeout),
            None => deadline,
        },
        deadline,
        prompt_tokens: query.prompt,
        output_tokens: query.output,
        tried: Vec::new(),
        possibly_executed: false,
        give_up: Some(now + route.objective),
    }
}

fn account_report(account: &ClientAccount, query: &ExplainQuery) -> AccountReport {
    let tokens = TokenCount { prompt: query.prompt, output: query.output };
    let quota = account.quota.as_ref();
    AccountReport {
        name: account.name.to_string(),
        cost: quota.map(|quota| quota.cost(Some(tokens))),
        rate: quota.map(|quota| quota.rate),
        burst: quota.map(|quota| quota.burst),
        remaining: None,
    }
}

fn decision(verdict: &Verdict) -> DecisionReport {
    match verdict {
        Verdict::Send { upstream, version } => DecisionReport {
            upstream: Some(upstream.to_string()),
            version: *version,
            ..DecisionReport::new("send")
        },
        Verdict::AskHolder { upstream } => DecisionReport {
            upstream: Some(upstream.to_string()),
            ..DecisionReport::new("ask_holder")
        },
        Verdict::WaitForAdapter { upstream } => {
            DecisionReport::wait("adapter_load", upstream.as_ref())
        }
        Verdict::WaitForCapacity => DecisionReport::wait("all_full", None),
        Verdict::WaitForUpstream => DecisionReport::wait("no_upstream", None),
        Verdict::WaitUntil { wait } => {
            DecisionReport::wait(&format!("upstreams away for {} ms", millis(*wait)), None)
        }
        Verdict::Reject { reason, retry_after } => {
            DecisionReport::refuse(reason.code(), *retry_after)
        }
    }
}

fn candidate_row(report: CandidateReport) -> CandidateRow {
    CandidateRow {
        upstream: report.upstream.to_string(),
        zone: report.zone.to_string(),
        expected_ms: report.cost_ms.map(|cost| (cost * 10.0).round() / 10.0),
        excluded: report.excluded.as_ref().map(exclusion),
        in_flight: report.in_flight,
        slots: report.slots,
        backlog_tokens: report.backlog_tokens,
        late_share: report.late_stream_share,
        holder: report.holder.map(|holder| holder.to_string()),
        holder_age_ms: report.holder_report_age.map(millis),
        report_age_ms: report.own_report_age.map(millis),
    }
}

fn exclusion(exclusion: &Exclusion) -> String {
    match exclusion {
        Exclusion::Draining => "draining".to_owned(),
        Exclusion::Misdirected => "another upstream at its address".to_owned(),
        Exclusion::Full(left) => format!("full for {} ms", millis(*left)),
        Exclusion::Away(left) => format!("away for {} ms", millis(*left)),
        Exclusion::Ejected => "ejected after failures".to_owned(),
        Exclusion::AdapterAbsent => "adapter absent".to_owned(),
        Exclusion::AdapterLoading => "adapter loading".to_owned(),
        Exclusion::AdapterOutdated(version) => format!("adapter version {version} outdated"),
        Exclusion::AdapterReportedAbsent => "reported the adapter absent".to_owned(),
        Exclusion::AtLimit => "at its limit".to_owned(),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
