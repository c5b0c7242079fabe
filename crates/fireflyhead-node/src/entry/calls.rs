//! Requests that must not run twice.
//!
//! The request id names the home that decides whether the request may run. The
//! entry passes the request to its home, or asks the witness if home can't be
//! reached; home runs it once and everybody else joins the run.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use fireflyhead_core::once::OnceInput;
use fireflyhead_core::once::OnceReply;
use fireflyhead_core::once::RequestId;
use fireflyhead_core::once::StoredOutcome;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Outcome;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::Forward;
use fireflyhead_schema::messages::ForwardAnswer;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use tokio::sync::mpsc;

use crate::entry::CallerRequest;
use crate::entry::Entry;
use crate::entry::JobSpec;
use crate::entry::KEY_HEADER;
use crate::entry::Target;
use crate::entry::account::Accepted;
use crate::entry::error::EntryError;
use crate::entry::error::ErrorOutcome;
use crate::entry::error::PLACEMENT_HEADER;
use crate::entry::run::Collected;
use crate::entry::run::Receiver;
use crate::entry::run::Stopped;
use crate::once::Submission;
use crate::once::lookup_at;
use crate::upstream::REQUEST_ID_HEADER;
use crate::upstream::from_wire;
use crate::upstream::to_wire;

/// Largest body of a request that must not run twice, in bytes: it travels to its home in one message.
const MAX_CALL_BODY_BYTES: usize = 16 << 20;

/// Time that home needs beyond the deadline and the progress timeout of a request.
const FORWARD_MARGIN: Duration = Duration::from_secs(10);

/// Response with the outcome of its request.
pub(crate) struct Settled {
    pub(crate) outcome: Outcome,
    pub(crate) response: Response,
}

impl From<EntryError> for Settled {
    fn from(e: EntryError) -> Settled {
        let outcome = match e.outcome {
            ErrorOutcome::NotRun => Outcome::NotRun,
            ErrorOutcome::OutcomeUnknown => Outcome::OutcomeUnknown,
        };
        Settled { outcome, response: e.into_response() }
    }
}

impl Entry {
    /// Serves a request that must not run twice.
    ///
    /// The work goes on if the caller disconnects: its retry joins it.
    pub(super) async fn call(
        &self,
        request: CallerRequest,
        spec: JobSpec,
        mut accepted: Accepted,
    ) -> Response {
        if request.body.len() > MAX_CALL_BODY_BYTES {
            let message = "the body of a request that must not run twice has more than 16 MiB";
            return EntryError::not_run("body_too_large", message).field("body").into_response();
        }
        let (entry, stop) = (self.clone(), self.inner.parts.stop.clone());
        let work = async move {
            let id = match entry.identify(&request, &spec).await {
                Ok(id) => id,
                Err(e) => return e.into_response(),
            };
            accepted.may_run();
            let text = id.to_string();
            let Settled { outcome, mut response } = entry.settle(request, spec, id).await;
            accepted.finish(outcome);
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(REQUEST_ID_HEADER, value);
            }
            response
        };
        let task = tokio::spawn(tracing::Instrument::in_current_span(async move {
            tokio::select! {
                () = stop.cancelled() => None,
                response = work => Some(response),
            }
        }));
        match task.await {
            Ok(Some(response)) => response,
            Ok(None) | Err(_) => {
                EntryError::unknown("draining", "the node stopped before the request ended")
                    .into_response()
            }
        }
    }

    /// Id of a request: the caller's, or one bound to its key, or a new one.
    async fn identify(
        &self,
        request: &CallerRequest,
        spec: &JobSpec,
    ) -> Result<RequestId, EntryError> {
        let id = request.header(REQUEST_ID_HEADER);
        let key = match id.map(RequestId::parse) {
            Some(Ok(id)) if self.inner.parts.once.is_authentic(id.token()) => return Ok(id),
            Some(Ok(_)) => {
                let message = "the placement token of the request id is not authentic";
                return Err(EntryError::not_run("malformed_body", message).field("x-request-id"));
            }
            // Without a token the id is a bare key: its retry may arrive at any node.
            Some(Err(_)) => id,
            None => request.header(KEY_HEADER),
        };
        let token = self.inner.parts.once.issue().await;
        let Some(token) = token else {
            return Err(EntryError::not_run("not_ready", "the node can't place the request"));
        };
        let Some(key) = key else {
            let suffix = format!("{:032x}", rand::random::<u128>());
            return RequestId::new(token, &suffix)
                .map_err(|e| EntryError::not_run("not_ready", e.to_string()));
        };
        let bound = self.inner.keys.bind(spec.policy.service.as_str(), key, token).await;
        bound.map_err(|e| {
            let message = format!("the idempotency key can't be recorded: {e}");
            EntryError::not_run("idempotency_unavailable", message)
                .retry_after(Duration::from_secs(1))
        })
    }

    /// Outcome of the request `id` from its home or, failing that, its witness.
    async fn settle(&self, request: CallerRequest, spec: JobSpec, id: RequestId) -> Settled {
        let home = &id.token().home;
        if home.id == self.cx().me.id {
            return self.begin(spec, id).await;
        }
        if let Some(address) = self.peer_address(home) {
            match self.forward(&address, &request, &spec, &id).await {
                Some(settled) => return settled,
                None => tracing::debug!(home = %home.id, "home did not answer"),
            }
        }
        let reply = match &id.token().witness {
            None => OnceReply::Unknown,
            Some(witness) if witness.id == self.cx().me.id => {
                self.inner.parts.once.lookup(id.clone()).await
            }
            Some(witness) => match self.peer_address(witness) {
                Some(address) => lookup_at(&self.inner.parts.peers, &address, &id)
                    .await
                    .unwrap_or(OnceReply::Unknown),
                None => OnceReply::Unknown,
            },
        };
        self.settled(reply).await
    }

    /// Starts or joins the request at this home.
    async fn begin(&self, mut spec: JobSpec, id: RequestId) -> Settled {
        spec.request_id = id.to_string();
        let once = &self.inner.parts.once;
        // A call that joins a run causes no work, so the limits don't apply to it.
        let admitted = match once.is_running(id.clone()).await {
            true => None,
            false => Some(self.inner.admission.admit(self.now(), &spec.policy, spec.retry)),
        };
        let reply = match &admitted {
            Some(Err(e)) => match once.refuse(id).await {
                OnceReply::NotRun => return self.with_placement(e.clone().into()).await,
                // The id is known: it runs or has ended.
                reply => reply,
            },
            Some(Ok(_)) | None => once.begin(id, Arc::new(spec)).await,
        };
        drop(admitted);
        self.settled(reply).await
    }

    /// Passes the request to its home; `None` if home gave no answer.
    async fn forward(
        &self,
        address: &Name,
        request: &CallerRequest,
        spec: &JobSpec,
        id: &RequestId,
    ) -> Option<Settled> {
        let mut headers = request.headers.clone();
        headers.insert(REQUEST_ID_HEADER, HeaderValue::from_str(&id.to_string()).ok()?);
        let path = match &request.target {
            Target::Model => request.path.clone(),
            Target::Service(service) => format!("/svc/{service}{}", request.path),
        };
        let body = call_request::Body::Forward(Forward {
            method: request.method.to_string(),
            path,
            headers: to_wire(&headers),
            body: request.body.clone(),
        });
        let limit =
            spec.policy.terms.deadline + self.cx().settings.request_timeout + FORWARD_MARGIN;
        match self.inner.parts.peers.call(address, body, limit).await {
            Ok(call_answer::Body::Forward(answer)) => {
                let outcome = Outcome::try_from(answer.outcome()).ok()?;
                let status = u16::try_from(answer.status).ok()?;
                let response = response(status, from_wire(&answer.headers), answer.body);
                Some(Settled { outcome, response })
            }
            Ok(_) => None,
            Err(e) => {
                tracing::debug!(error = %e, "request not forwarded");
                None
            }
        }
    }

    /// Serves a request that another node forwarded to this home.
    pub(crate) async fn serve_forwarded(&self, forward: Forward) -> call_answer::Body {
        let settled = match self.read_forwarded(forward) {
            Ok((spec, id)) if id.token().home.id == self.cx().me.id => self.begin(spec, id).await,
            Ok(_) => return call_answer::Body::Error("this node is not the home".to_owned()),
            Err(e) => Settled::from(e),
        };
        let (parts, body) = settled.response.into_parts();
        let body = axum::body::to_bytes(body, usize::MAX).await.unwrap_or_default();
        call_answer::Body::Forward(ForwardAnswer {
            status: parts.status.as_u16().into(),
            headers: to_wire(&parts.headers),
            body,
            outcome: messages::Outcome::from(settled.outcome).into(),
        })
    }

    fn read_forwarded(&self, forward: Forward) -> Result<(JobSpec, RequestId), EntryError> {
        let malformed = || EntryError::not_run("malformed_body", "malformed forwarded request");
        let (target, path) = split_path(&forward.path).ok_or_else(malformed)?;
        let request = CallerRequest {
            target,
            method: forward.method.parse().map_err(|_| malformed())?,
            path,
            headers: from_wire(&forward.headers),
            body: forward.body,
        };
        let id = request.header(REQUEST_ID_HEADER).map(RequestId::parse);
        match id {
            Some(Ok(id)) if self.inner.parts.once.is_authentic(id.token()) => {
                Ok((self.admit(&request)?, id))
            }
            _ => Err(malformed()),
        }
    }

    /// Starts the runs that home asks for, until the node stops.
    pub(crate) async fn run_submissions(
        self,
        mut submissions: mpsc::UnboundedReceiver<Submission>,
    ) {
        while let Some(submission) = submissions.recv().await {
            let (entry, stop) = (self.clone(), self.inner.parts.stop.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = entry.run_submission(submission) => {}
                }
            });
        }
    }

    async fn run_submission(&self, submission: Submission) {
        let Submission { id, attempt, spec } = submission;
        let once = &self.inner.parts.once;
        let mut collected = Collected::new(once.clone(), id.clone(), attempt);
        let result = self.try_upstreams(&spec, &mut Receiver::Collect(&mut collected)).await;
        let outcome = match result {
            Ok(()) => StoredOutcome {
                outcome: Outcome::Answered,
                status: collected.status,
                headers: stored_headers(&collected.headers),
                body: collected.body.freeze(),
            },
            Err(Stopped::Error(e)) => stored_error(&e),
            Err(Stopped::Lost) => return once.input(OnceInput::OwnerLost { id, attempt }),
            // Home denied the permit and has recorded the outcome.
            Err(Stopped::Gone) => return,
        };
        once.input(OnceInput::Completed { id, attempt, outcome });
    }

    /// Adds a fresh placement to the response for a request id that is closed.
    async fn with_placement(&self, mut settled: Settled) -> Settled {
        if settled.outcome == Outcome::NotRun
            && let Some(token) = self.inner.parts.once.issue().await
            && let Ok(value) = HeaderValue::from_str(&token.to_string())
        {
            settled.response.headers_mut().insert(PLACEMENT_HEADER, value);
        }
        settled
    }

    async fn settled(&self, reply: OnceReply) -> Settled {
        let bare = match reply {
            OnceReply::Stored(stored) if stored.status != 0 => {
                let mut headers = HeaderMap::new();
                for (name, value) in &stored.headers {
                    let name = HeaderName::from_bytes(name.as_str().as_bytes());
                    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
                        headers.append(name, value);
                    }
                }
                let response = response(stored.status, headers, stored.body);
                let settled = Settled { outcome: stored.outcome, response };
                return self.with_placement(settled).await;
            }
            OnceReply::Stored(stored) => stored.outcome,
            OnceReply::NotRun => Outcome::NotRun,
            OnceReply::Expired => {
                let message = "the request id is too old; the request may have run";
                return EntryError::unknown("expired_id", message).into();
            }
            OnceReply::Joined | OnceReply::Unknown => Outcome::OutcomeUnknown,
        };
        match bare {
            Outcome::NotRun => {
                let message = "the request did not run and never will under this id";
                let placement = self.inner.parts.once.issue().await;
                let placement = placement.map(|token| token.to_string());
                EntryError { placement, ..EntryError::not_run("closed_id", message) }.into()
            }
            Outcome::Answered | Outcome::OutcomeUnknown => {
                let message = "the request may have run; its answer is lost";
                EntryError::unknown("upstream_failed", message).into()
            }
        }
    }
}

/// Target and upstream path of a caller's path with its query.
pub(crate) fn split_path(path: &str) -> Option<(Target, String)> {
    let end = path.find('?').unwrap_or(path.len());
    if matches!(&path[..end], "/v1/completions" | "/v1/chat/completions") {
        return Some((Target::Model, path.to_owned()));
    }
    let rest = path.strip_prefix("/svc/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    (!service.is_empty()).then(|| (Target::Service(service.to_owned()), path))
}

fn response(status: u16, headers: HeaderMap, body: Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

fn stored_headers(headers: &HeaderMap) -> Vec<(Name, Bytes)> {
    let header = |header: messages::Header| (Name::from(header.name), header.value);
    to_wire(headers).into_iter().map(header).collect()
}

/// Outcome of a request that ended with an error.
fn stored_error(e: &EntryError) -> StoredOutcome {
    let Settled { outcome, response } = Settled::from(e.clone());
    StoredOutcome {
        outcome,
        status: e.status.as_u16(),
        headers: stored_headers(response.headers()),
        body: Bytes::from(e.to_json().to_string()),
    }
}
