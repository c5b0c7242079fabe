//! Tries of a request at upstreams.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fireflyhead_core::once::RequestId;
use fireflyhead_core::placement::Observation;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Name;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::Outcome;
use fireflyhead_schema::messages::Permit;
use fireflyhead_schema::messages::Started;
use fireflyhead_schema::messages::peer_frame::Body;
use http::HeaderMap;
use http::StatusCode;
use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::dispatchers::CONNECTION_SILENT;
use crate::dispatchers::NOT_OWNER;
use crate::entry::Entry;
use crate::entry::JobSpec;
use crate::entry::error::EntryError;
use crate::entry::error::ErrorOutcome;
use crate::entry::output::Output;
use crate::entry::routes::Route;
use crate::once::OnceHandle;
use crate::peer::stream::RunStream;
use crate::upstream::from_wire;

/// Tries of one request: redirects and runs that failed.
const MAX_TRIES: u32 = 3;

/// Longest pause while no node dispatches to any upstream of the service.
const ROUTE_PAUSE: Duration = Duration::from_millis(100);

/// Owners of one request that may be lost.
const MAX_LOST: u32 = 5;

/// Time to start again for a response that has begun.
const RESUME_DEADLINE: Duration = Duration::from_secs(10);

/// Time after which a caller may repeat a request that no upstream took.
const REFUSED_RETRY: Duration = Duration::from_secs(1);

/// Code of a run that failed.
const UPSTREAM_FAILED: &str = "upstream_failed";

/// Code of a run with another adapter or version.
const WRONG_ADAPTER: &str = "wrong_adapter";

/// Upper bound of the first random pause before a request runs again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Largest response of a request that must not run twice, in bytes.
const MAX_COLLECTED_BYTES: usize = 16 << 20;

/// End of one try.
pub(super) enum TryEnd {
    /// The response is complete.
    Answered,
    /// The dispatcher sends the request elsewhere; it did not run.
    Redirected,
    /// The dispatcher refuses the request; it did not run.
    Refused(EntryError),
    /// The run failed; `sent` if the upstream may have received the request.
    Failed { sent: bool, code: &'static str },
    /// The connection to the upstream fell silent; the request may have run.
    Silent,
    /// The node does not dispatch to the upstream; the request did not run.
    NotOwner,
    /// Home denied the permit; the request does not run.
    Denied,
    /// The owner can't be reached; the request was not queued.
    Unreachable,
    /// The owner was lost after the request was sent to it.
    Lost,
    /// The receiver of the response is gone.
    CallerGone,
}

/// Receiver of the response of one try.
pub(super) enum Receiver<'a> {
    /// The caller, who receives the response while it is produced.
    Caller(&'a mut Output),
    /// Memory, with the home that grants the permit.
    Collect(&'a mut Collected),
}

/// Response of a request that must not run twice.
pub(super) struct Collected {
    once: OnceHandle,
    id: RequestId,
    attempt: u32,
    /// Whether home was asked for the permit.
    pub(super) asked: bool,
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) body: BytesMut,
}

impl Collected {
    pub(super) fn new(once: OnceHandle, id: RequestId, attempt: u32) -> Collected {
        Collected {
            once,
            id,
            attempt,
            asked: false,
            status: 0,
            headers: HeaderMap::new(),
            body: BytesMut::new(),
        }
    }
}

impl Receiver<'_> {
    fn has_output(&self) -> bool {
        matches!(self, Receiver::Caller(output) if output.bytes > 0)
    }

    fn resume_from(&self) -> u32 {
        match self {
            Receiver::Caller(output) if output.bytes > 0 => output.tokens,
            Receiver::Caller(_) | Receiver::Collect(_) => 0,
        }
    }

    fn can_run_again(&self) -> bool {
        match self {
            Receiver::Caller(output) => output.can_run_again(),
            Receiver::Collect(collected) => !collected.asked,
        }
    }

    fn needs_permit(&self) -> bool {
        matches!(self, Receiver::Collect(_))
    }

    fn asked(&self) -> bool {
        matches!(self, Receiver::Collect(collected) if collected.asked)
    }

    fn start(&mut self, started: &Started) {
        let headers = from_wire(&started.headers);
        let status = u16::try_from(started.status).unwrap_or_default();
        match self {
            Receiver::Caller(output) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                output.head(status, headers);
            }
            Receiver::Collect(collected) => {
                collected.status = status;
                collected.headers = headers;
            }
        }
    }

    async fn data(&mut self, bytes: Bytes, tokens: u32) -> Result<(), TryEnd> {
        match self {
            Receiver::Caller(output) => {
                output.data(bytes, tokens).await.map_err(|_| TryEnd::CallerGone)
            }
            Receiver::Collect(collected)
                if collected.body.len() + bytes.len() > MAX_COLLECTED_BYTES =>
            {
                Err(TryEnd::Failed { sent: true, code: UPSTREAM_FAILED })
            }
            Receiver::Collect(collected) => {
                collected.body.extend_from_slice(&bytes);
                Ok(())
            }
        }
    }

    /// Asks home for the permit; idempotent requests need none.
    fn ask(&mut self) -> Option<oneshot::Receiver<bool>> {
        match self {
            Receiver::Caller(_) => None,
            Receiver::Collect(collected) => {
                collected.asked = true;
                Some(collected.once.permit_requested(collected.id.clone(), collected.attempt))
            }
        }
    }

    async fn gone(&self) {
        match self {
            Receiver::Caller(output) => output.caller_gone().await,
            // Others may join the run, and its outcome must be recorded.
            Receiver::Collect(_) => std::future::pending().await,
        }
    }
}

/// Why a request ended without a complete response.
pub(super) enum Stopped {
    /// The caller is told this error.
    Error(EntryError),
    /// The owner was lost after it asked for the permit; home decides.
    Lost,
    /// Nobody waits for the response, or home denied the permit.
    Gone,
}

/// Tries so far.
struct Tries {
    /// Upstreams not to try again, as long as there are others.
    tried: Vec<Name>,
    /// Redirects and failed runs.
    count: u32,
    /// Owners lost.
    lost: u32,
    /// Whether an upstream may have received the request.
    sent: bool,
    /// Whether a run failed at its upstream.
    rerun: bool,
    /// Code of the last failure.
    code: &'static str,
}

impl Tries {
    fn new() -> Tries {
        Tries {
            tried: Vec::new(),
            count: 0,
            lost: 0,
            sent: false,
            rerun: false,
            code: UPSTREAM_FAILED,
        }
    }

    fn error(&self, code: &'static str, message: &str) -> Stopped {
        let e = EntryError::not_run(code, message);
        Stopped::Error(match self.sent {
            true => EntryError { outcome: ErrorOutcome::OutcomeUnknown, ..e },
            false => e.retry_after(REFUSED_RETRY),
        })
    }
}

/// What happened next in a try.
enum Next {
    Frame(Option<Box<Body>>),
    Permit(bool),
    Gone,
}

impl Entry {
    /// Runs an idempotent request until it has an outcome.
    pub(super) async fn run_idempotent(&self, spec: JobSpec, mut output: Output) {
        let result = self.try_upstreams(&spec, &mut Receiver::Caller(&mut output)).await;
        match result {
            Ok(()) => output.answered().await,
            Err(Stopped::Error(e)) => output.failed(e).await,
            // Dropping the output counts the outcome.
            Err(Stopped::Gone | Stopped::Lost) => {}
        }
    }

    /// Tries upstreams until the request ends.
    pub(super) async fn try_upstreams(
        &self,
        spec: &JobSpec,
        receiver: &mut Receiver<'_>,
    ) -> Result<(), Stopped> {
        let deadline = self.cx().clock.now() + spec.policy.terms.deadline;
        let mut tries = Tries::new();
        loop {
            let left = deadline.since(self.cx().clock.now());
            let Some((upstream, route)) = self.pick(spec, &tries.tried) else {
                if left.is_zero() {
                    return Err(tries.error("no_upstream", "no upstream takes the request"));
                }
                tries.tried.clear();
                self.wait_for_owner(left).await;
                continue;
            };
            // A response that has begun is finished, however late.
            let left = match receiver.has_output() {
                true => left.max(RESUME_DEADLINE),
                false if left.is_zero() => {
                    return Err(
                        tries.error("deadline", "the deadline passed before the request ran")
                    );
                }
                false => left,
            };
            let dispatch = spec.dispatch(&upstream, left, tries.rerun, receiver.resume_from());
            let end = self.try_one(spec, &upstream, &route, dispatch, receiver).await;
            if let TryEnd::Answered = end {
                return Ok(());
            }
            self.judge(spec, upstream, end, receiver, &mut tries)?;
            // Full jitter keeps entries that lost the same owner from retrying in step.
            let bound = RETRY_PAUSE * 2_u32.pow((tries.count + tries.lost).min(5));
            let pause = rand::rng().random_range(Duration::ZERO..=bound);
            sleep(pause.min(left)).await;
        }
    }

    /// Decides after a try without a response whether another one follows.
    fn judge(
        &self,
        spec: &JobSpec,
        upstream: Name,
        end: TryEnd,
        receiver: &Receiver<'_>,
        tries: &mut Tries,
    ) -> Result<(), Stopped> {
        let asked = receiver.asked();
        // The upstream itself responds, and may hold the adapter.
        let stay = matches!(end, TryEnd::Silent);
        let seen = match &end {
            TryEnd::Redirected => Some(Observation::Redirected),
            TryEnd::Refused(_) => Some(Observation::Refused),
            TryEnd::Failed { sent: false, .. } | TryEnd::Unreachable | TryEnd::Lost => {
                Some(Observation::Unreachable)
            }
            TryEnd::NotOwner
            | TryEnd::Answered
            | TryEnd::Silent
            | TryEnd::Failed { .. }
            | TryEnd::Denied
            | TryEnd::CallerGone => None,
        };
        if let Some(seen) = seen {
            self.observe(&upstream, spec, seen);
        }
        match end {
            TryEnd::CallerGone | TryEnd::Denied => return Err(Stopped::Gone),
            TryEnd::Redirected | TryEnd::NotOwner | TryEnd::Lost if asked => {
                return Err(Stopped::Lost);
            }
            TryEnd::Answered | TryEnd::NotOwner | TryEnd::Unreachable => {}
            TryEnd::Refused(e) if tries.sent => {
                return Err(tries.error(e.code, "a repeated run was refused"));
            }
            TryEnd::Refused(e) => return Err(Stopped::Error(e)),
            TryEnd::Redirected => tries.count += 1,
            TryEnd::Lost => {
                tries.lost += 1;
                tries.sent |= !receiver.needs_permit();
            }
            // Like a lost owner, no sign of overload: the retry budget does not apply.
            TryEnd::Silent => {
                tries.lost += 1;
                tries.sent = true;
            }
            TryEnd::Failed { sent, code } => {
                tries.count += 1;
                tries.sent |= sent;
                tries.code = code;
                tries.rerun |= sent;
                // A lost owner is not the upstream's failure, so only failed runs are limited.
                if sent && !asked && !self.inner.admission.admit_rerun(self.now(), &spec.policy) {
                    return Err(tries.error(tries.code, "the retry budget of the row is spent"));
                }
            }
        }
        let failure = tries.error(tries.code, "the upstream did not complete the request");
        if asked || !receiver.can_run_again() || tries.lost >= MAX_LOST {
            return Err(failure);
        }
        if tries.count >= MAX_TRIES {
            return Err(match tries.sent {
                true => failure,
                false => tries.error("no_upstream", "no upstream takes the request"),
            });
        }
        if !stay {
            tries.tried.push(upstream);
        }
        Ok(())
    }

    /// Best upstream that was not tried and that a live node dispatches to.
    fn pick(&self, spec: &JobSpec, tried: &[Name]) -> Option<(Name, Route)> {
        let now = self.cx().clock.now();
        let chosen = self.placement().choose(now, &spec.place_request());
        let mut fresh = chosen.into_iter().filter(|name| !tried.contains(name));
        fresh.find_map(|name| self.route(&name).map(|route| (name, route)))
    }

    /// Waits until a node may have taken over an upstream, at most for `left`.
    async fn wait_for_owner(&self, left: Duration) {
        let mut owners = self.cx().owners.subscribe();
        let _changed = timeout(left.min(ROUTE_PAUSE), owners.changed()).await;
    }

    async fn try_one(
        &self,
        spec: &JobSpec,
        upstream: &Name,
        route: &Route,
        dispatch: Dispatch,
        receiver: &mut Receiver<'_>,
    ) -> TryEnd {
        if let Receiver::Caller(output) = receiver {
            output.may_run();
        }
        let RunStream { orders, mut frames } = match self.open(route, dispatch).await {
            Ok(run) => run,
            Err(e) => {
                tracing::debug!(%upstream, error = %e, "owner not reached");
                return TryEnd::Unreachable;
            }
        };
        let mut permit: Option<oneshot::Receiver<bool>> = None;
        loop {
            let next = tokio::select! {
                frame = frames.recv() => Next::Frame(frame.map(Box::new)),
                granted = granted(&mut permit) => Next::Permit(granted),
                () = receiver.gone() => Next::Gone,
            };
            match next {
                Next::Gone => return TryEnd::CallerGone,
                Next::Permit(granted) => {
                    permit = None;
                    let _lost = orders.send(Body::Permit(Permit { granted })).await;
                    if !granted {
                        return TryEnd::Denied;
                    }
                }
                Next::Frame(Some(frame)) => match *frame {
                    Body::PermitRequest(_) => permit = receiver.ask(),
                    Body::Started(started) => {
                        let queued = Duration::from_millis(started.queued_ms.into());
                        self.observe(upstream, spec, Observation::Delay(queued));
                        receiver.start(&started);
                    }
                    Body::Chunk(chunk) => {
                        if let Err(end) = receiver.data(chunk.bytes, chunk.tokens).await {
                            return end;
                        }
                    }
                    last => return last_frame(spec, last),
                },
                Next::Frame(None) => return TryEnd::Lost,
            }
        }
    }
}

/// Answer of home; pending while it was not asked.
async fn granted(permit: &mut Option<oneshot::Receiver<bool>>) -> bool {
    match permit {
        Some(receiver) => receiver.await.unwrap_or(false),
        None => std::future::pending().await,
    }
}

/// End of a try by the owner's last frame.
fn last_frame(spec: &JobSpec, frame: Body) -> TryEnd {
    match frame {
        Body::End(end) if end.outcome() == Outcome::Answered => {
            let adapter = end.adapter.map(AdapterKey::try_from);
            match (adapter, &spec.policy.adapter) {
                (None, None) => TryEnd::Answered,
                (Some(Ok(made)), Some(wanted)) if made == *wanted => TryEnd::Answered,
                _ => TryEnd::Failed { sent: true, code: WRONG_ADAPTER },
            }
        }
        Body::End(end) if end.code == CONNECTION_SILENT => TryEnd::Silent,
        Body::End(end) => TryEnd::Failed {
            sent: end.outcome() != Outcome::NotRun,
            code: if end.code == WRONG_ADAPTER { WRONG_ADAPTER } else { UPSTREAM_FAILED },
        },
        Body::Redirect(redirect) if redirect.reason == NOT_OWNER => TryEnd::NotOwner,
        Body::Redirect(_) => TryEnd::Redirected,
        Body::Refused(refused) => {
            TryEnd::Refused(EntryError::refused(&refused.code, refused.retry_after_ms))
        }
        // An owner sends no other frame; the peer does not follow the protocol.
        _ => TryEnd::Lost,
    }
}
