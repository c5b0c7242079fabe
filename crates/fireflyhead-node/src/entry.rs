//! Entry role: turns a caller's request into a job and sees it through.
//!
//! An idempotent request is streamed back as it is produced; if its owner is lost
//! it is queued again, and a stream of an engine resumes behind the tokens that the
//! caller already has. A request that must not run twice goes through its home
//! (see [`calls`]), and its response is passed on once it is complete.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use fireflyhead_core::placement::Observation;
use fireflyhead_core::placement::PlaceRequest;
use fireflyhead_core::placement::Placement;
use fireflyhead_core::placement::PlacementConfig;
use fireflyhead_core::table::Policy;
use fireflyhead_core::table::Table;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::Role;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamAdvert;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::Header;
use http::HeaderMap;
use http::Method;
use tokio_util::sync::CancellationToken;
use tracing::Span;

use crate::context::NodeContext;
use crate::dispatchers::Dispatchers;
use crate::kv::Store;
use crate::once::OnceHandle;
use crate::peer::client::Peers;
use crate::telemetry;
use crate::upstream::REQUEST_ID_HEADER;
use crate::upstream::to_wire;

pub mod account;
mod admission;
pub mod calls;
pub mod error;
mod keys;
mod model;
mod output;
mod routes;
mod run;
#[cfg(test)]
mod tests;
mod usage;

use crate::entry::account::Accepted;
use crate::entry::account::Accounting;
use crate::entry::admission::Admission;
use crate::entry::admission::Admitted;
use crate::entry::error::EntryError;
use crate::entry::output::Output;

/// Header that names the class of a request.
pub const CLASS_HEADER: &str = "x-work-class";

/// Header that marks a retry; its value is the number of earlier attempts.
pub const RETRY_HEADER: &str = "x-retry-attempt";

/// Standard header that binds repeated calls together.
pub const KEY_HEADER: &str = "idempotency-key";

/// Headers of a caller that are not passed on to upstreams.
const OWN_HEADERS: [&str; 6] =
    ["host", "expect", REQUEST_ID_HEADER, CLASS_HEADER, RETRY_HEADER, "traceparent"];

/// Time between two looks at the load figures. Those of a large fleet change far more often
/// than a choice between upstreams needs.
const ADVERT_POLL: Duration = Duration::from_millis(50);

/// Time between two refreshes of the load figures in the placement.
const ADVERT_INTERVAL: Duration = Duration::from_millis(500);

/// What a caller's request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// A completion of a model; the path is that of the OpenAI interface.
    Model,
    /// A call to a plain service.
    Service(String),
}

/// Request as received from a caller or from the node that received it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// What it asks for.
    pub target: Target,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallerRequest {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Request with the policy that governs it.
#[derive(Debug)]
pub(crate) struct JobSpec {
    policy: Policy,
    class: Name,
    table_version: u64,
    method: Method,
    path: String,
    headers: Vec<Header>,
    body: Bytes,
    prompt_tokens: u32,
    output_tokens: u32,
    prefix: Option<u64>,
    streamed: bool,
    retry: bool,
    request_id: String,
    traceparent: String,
}

impl JobSpec {
    /// Message to the owner of `upstream`, with `left` until the deadline.
    fn dispatch(&self, upstream: &Name, left: Duration, rerun: bool, resume_from: u32) -> Dispatch {
        let terms = &self.policy.terms;
        Dispatch {
            job: 0,
            request_id: self.request_id.clone(),
            upstream: upstream.to_string(),
            row: self.policy.row.0,
            table_version: self.table_version,
            rank: u32::try_from(terms.rank.index()).unwrap_or_default(),
            adapter: self.policy.adapter.as_ref().map(messages::AdapterKey::from),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens.saturating_sub(resume_from),
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            retry: self.retry || rerun,
            idempotent: terms.idempotent,
            attempt: 1,
            method: self.method.to_string(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            traceparent: self.traceparent.clone(),
            resume_from,
            streamed: self.streamed,
            body_bytes: self.body.len() as u64,
        }
    }

    fn place_request(&self) -> PlaceRequest {
        PlaceRequest {
            service: self.policy.service.clone(),
            adapter: self.policy.adapter.clone(),
            rank: self.policy.terms.rank,
            prefix: self.prefix,
        }
    }
}

/// What the entry of a node works with.
pub struct EntryParts {
    /// Context of the node.
    pub cx: NodeContext,
    /// Dispatchers of this node.
    pub dispatchers: Dispatchers,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Home and witness entries of this node.
    pub once: OnceHandle,
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Accounting of accepted requests.
    pub accounting: Arc<Accounting>,
    /// Ends the entry's tasks.
    pub stop: CancellationToken,
}

/// Entry role of one node.
#[derive(Clone)]
pub struct Entry {
    inner: Arc<Inner>,
}

struct Inner {
    parts: EntryParts,
    placement: Mutex<Placement>,
    /// Services that the placement has upstreams of.
    services: Mutex<HashSet<Name>>,
    keys: keys::Keys,
    admission: Admission,
}

impl Entry {
    /// Entry that follows the upstream list and the adverts of the context.
    pub fn start(parts: EntryParts) -> Entry {
        let zone = Some(Name::from(parts.cx.settings.zone.as_str()));
        let cfg = PlacementConfig { zone, ..PlacementConfig::default() };
        let placement = Mutex::new(Placement::new(cfg, rand::random()));
        let keys = keys::Keys::new(parts.store.clone(), parts.cx.settings.request_retention);
        let admission = Admission::new(&parts.cx);
        let entry = Entry {
            inner: Arc::new(Inner {
                parts,
                placement,
                services: Mutex::default(),
                keys,
                admission,
            }),
        };
        tokio::spawn(entry.clone().follow());
        tokio::spawn(entry.clone().share_usage());
        entry
    }

    /// Accounting of accepted requests.
    pub fn accounting(&self) -> &Arc<Accounting> {
        &self.inner.parts.accounting
    }

    fn cx(&self) -> &NodeContext {
        &self.inner.parts.cx
    }

    /// Keeps the placement up to date.
    async fn follow(self) {
        let mut upstreams = self.cx().upstreams.subscribe();
        upstreams.mark_changed();
        let mut adverts = self.cx().adverts.subscribe();
        let mut members = self.cx().members.subscribe();
        members.mark_changed();
        let stop = self.inner.parts.stop.clone();
        let mut sent: HashMap<Name, UpstreamAdvert> = HashMap::new();
        let mut refreshed = tokio::time::Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                changed = upstreams.changed() => match changed {
                    Ok(()) => self.set_upstreams(&upstreams.borrow_and_update().clone()),
                    Err(_) => return,
                },
                changed = members.changed() => match changed {
                    Ok(()) => self.inner.admission.set_members(&members.borrow_and_update()),
                    Err(_) => return,
                },
                () = tokio::time::sleep(ADVERT_POLL) => {}
            }
            let all = adverts.borrow_and_update().clone();
            let stale = refreshed.elapsed() >= ADVERT_INTERVAL;
            if stale {
                refreshed = tokio::time::Instant::now();
            }
            let now = self.cx().clock.now();
            let mut placement = self.placement();
            for (name, advert) in all.iter() {
                if stale || sent.get(name) != Some(advert) {
                    placement.update_advert(now, name, advert.clone());
                }
            }
            drop(placement);
            sent.clone_from(&all);
        }
    }

    fn set_upstreams(&self, all: &HashMap<Name, UpstreamInfo>) {
        let mut services: HashMap<&Name, Vec<UpstreamInfo>> = HashMap::new();
        for info in all.values() {
            services.entry(&info.service).or_default().push(info.clone());
        }
        let mut placement = self.placement();
        let mut known = self.inner.services.lock().expect("no holder of this lock panics");
        for gone in known.iter().filter(|service| !services.contains_key(service)) {
            placement.set_upstreams(gone, Vec::new());
        }
        *known = services.keys().map(|service| (*service).clone()).collect();
        for (service, mut list) in services {
            list.sort_by(|a, b| a.name.cmp(&b.name));
            placement.set_upstreams(service, list);
        }
    }

    fn placement(&self) -> std::sync::MutexGuard<'_, Placement> {
        self.inner.placement.lock().expect("no holder of this lock panics")
    }

    fn observe(&self, upstream: &Name, spec: &JobSpec, seen: Observation) {
        let now = self.cx().clock.now();
        self.placement().observe(now, upstream, spec.policy.adapter.as_ref(), seen);
    }

    /// Serves a request of a caller.
    pub async fn serve(&self, request: CallerRequest) -> Response {
        let spec = match self.admit(&request) {
            Ok(spec) => spec,
            Err(e) => return e.into_response(),
        };
        let accounting = &self.inner.parts.accounting;
        let accepted = accounting.accept(spec.policy.terms.rank, spec.class.clone());
        match spec.policy.terms.idempotent {
            true => match self.inner.admission.admit(self.now(), &spec.policy, spec.retry) {
                Ok(admitted) => self.stream(spec, accepted, admitted).await,
                Err(e) => e.into_response(),
            },
            false => self.call(request, spec, accepted).await,
        }
    }

    fn now(&self) -> Time {
        self.inner.parts.cx.clock.now()
    }

    /// Finds the policy of a request and checks the request.
    fn admit(&self, request: &CallerRequest) -> Result<JobSpec, EntryError> {
        let table = self.cx().table.borrow().clone();
        if table.version == 0 {
            let message = "the node has not read the table yet";
            return Err(EntryError::not_run("not_ready", message));
        }
        match &request.target {
            Target::Model => self.model_spec(&table, request),
            Target::Service(service) => {
                let policy = table.find_call(service, request.method.as_str(), &request.path)?;
                let body = request.body.clone();
                Ok(self.spec(&table, request, policy, body))
            }
        }
    }

    fn model_spec(&self, table: &Table, request: &CallerRequest) -> Result<JobSpec, EntryError> {
        let mut parsed = model::parse(&request.body)?;
        let policy = table.find_adapter(&parsed.model, request.header(CLASS_HEADER))?;
        let body = parsed.body_for(&policy);
        Ok(JobSpec {
            prompt_tokens: parsed.prompt_tokens,
            output_tokens: parsed.output_tokens,
            streamed: parsed.streamed,
            prefix: parsed.prefix,
            ..self.spec(table, request, policy, body)
        })
    }

    fn spec(&self, table: &Table, request: &CallerRequest, policy: Policy, body: Bytes) -> JobSpec {
        let class = table.row(policy.class).map_or_else(|| Name::from(""), |row| row.name.clone());
        let mut headers = request.headers.clone();
        for name in OWN_HEADERS {
            headers.remove(name);
        }
        let id = request.header(REQUEST_ID_HEADER).unwrap_or_default();
        let named = request.header(RETRY_HEADER).is_some_and(|attempt| attempt != "0");
        let retry = self.inner.admission.is_retry(self.now(), id) || named;
        JobSpec {
            policy,
            class,
            table_version: table.version,
            method: request.method.clone(),
            path: request.path.clone(),
            headers: to_wire(&headers),
            body,
            prompt_tokens: 0,
            output_tokens: 0,
            streamed: false,
            prefix: None,
            retry,
            request_id: id.to_owned(),
            traceparent: telemetry::traceparent(&Span::current(), &request.headers),
        }
    }

    /// Runs an idempotent request and streams its response.
    async fn stream(&self, spec: JobSpec, accepted: Accepted, admitted: Admitted) -> Response {
        let (output, response) = Output::new(accepted);
        let (entry, stop) = (self.clone(), self.inner.parts.stop.clone());
        let work = async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = entry.run_idempotent(spec, output) => {}
            }
            drop(admitted);
        };
        tokio::spawn(tracing::Instrument::in_current_span(work));
        response.await
    }

    /// Peer address of the node `node` if it is not known to be dead.
    fn peer_address(&self, node: &NodeRef) -> Option<Name> {
        let members = self.cx().members.borrow();
        let found = members
            .iter()
            .find(|member| member.node.id == node.id && member.state != MemberState::Dead);
        found.map(|member| member.peer_address.clone())
    }

    fn role(&self, upstream: &Name) -> Role {
        self.cx().owners.borrow().get(upstream).map_or(Role::None, |owned| owned.role)
    }
}
