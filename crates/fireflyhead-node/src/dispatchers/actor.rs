//! Actor of one upstream.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fireflyhead_core::dispatch::DispatchEffect;
use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::dispatch::Dispatcher;
use fireflyhead_core::dispatch::DispatcherConfig;
use fireflyhead_core::dispatch::RunResult;
use fireflyhead_core::table::Table;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Job;
use fireflyhead_core::types::JobId;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Role;
use fireflyhead_core::types::RowId;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_core::types::UpstreamKind;
use fireflyhead_core::wire::rank_from_wire;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::PermitRequest;
use fireflyhead_schema::messages::Redirect;
use fireflyhead_schema::messages::Refused;
use fireflyhead_schema::messages::peer_frame::Body;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::mailbox;
use kameo::message::Context;
use kameo::message::Message;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tracing::Instrument;

use crate::context::NodeContext;
use crate::dispatchers::LoadReply;
use crate::dispatchers::NOT_OWNER;
use crate::dispatchers::OrderGate;
use crate::dispatchers::loads::LoadRequest;
use crate::dispatchers::loads::Loads;
use crate::dispatchers::runs::Run;
use crate::dispatchers::runs::follow_orders;
use crate::peer::stream::RunPort;
use crate::telemetry;
use crate::upstream::RunRequest;
use crate::upstream::UpstreamClient;
use crate::upstream::UpstreamError;
use crate::upstream::UpstreamTimeouts;
use crate::upstream::from_wire;

/// Time between two reads of an upstream's load figures and two adverts.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time without progress after which a connection is checked. With the time of
/// the check it stays below the 5 s within which silent connections are replaced.
const MIN_CHECK_AFTER: Duration = Duration::from_secs(3);

/// Targets to first output that pass before a connection to a plain service is checked.
const CHECK_TARGETS: u32 = 6;

/// Time of one token above which an engine is slow: about twice the target of 46 ms.
const SLOW_TOKEN: Duration = Duration::from_millis(100);

/// Message to the actor of an upstream.
pub(crate) enum DispatcherMsg {
    /// An entry sent a request.
    Submit {
        /// The request.
        dispatch: Box<Dispatch>,
        /// Its frames and orders.
        port: RunPort,
    },
    /// Something happened that the dispatcher reacts to.
    Input(DispatchInput),
    /// The entry cancelled a request or is gone.
    EntryCancelled(JobId),
    /// A run ended.
    Ended { job: JobId, result: RunResult },
    /// The role of this node changed.
    Role(Role),
    /// Another table version is in force.
    Table(Arc<Table>),
    /// Finish the running jobs, then stop.
    Drain,
    /// The load figures could not be read; whether the connection was refused.
    Down(bool),
    /// Publish the load figures.
    Advertise,
}

/// Job at this dispatcher.
struct JobEntry {
    request: Arc<RunRequest>,
    frames: mpsc::Sender<Body>,
    cancel: CancellationToken,
    /// Whether the entry asked for the cancellation, rather than a restart of the upstream.
    by_entry: Arc<AtomicBool>,
    idempotent: bool,
    /// Whether a run was started and has not ended.
    running: bool,
    submitted: Time,
    attempt: u32,
    span: tracing::Span,
}

/// State of the dispatcher of one upstream.
pub(crate) struct DispatcherActor {
    cx: NodeContext,
    info: UpstreamInfo,
    me: ActorRef<DispatcherActor>,
    dispatcher: Dispatcher,
    client: UpstreamClient,
    loads: Loads,
    gate: OrderGate,
    /// Ends the node.
    stop: CancellationToken,
    /// Whether the upstream refused the last connection.
    down: bool,
    /// Number of `jobs`, for others to read.
    unfinished: Arc<AtomicU64>,
    jobs: HashMap<JobId, JobEntry>,
    next_job: u64,
    role: Role,
    draining: bool,
    effects: Vec<DispatchEffect>,
    next_tick: watch::Sender<Option<Time>>,
    /// Ends the tasks of the actor with the actor.
    _tasks: DropGuard,
}

/// Arguments of the actor.
pub(crate) struct DispatcherArgs {
    cx: NodeContext,
    info: UpstreamInfo,
    role: Role,
    loads: Loads,
    gate: OrderGate,
    stop: CancellationToken,
    client: UpstreamClient,
    unfinished: Arc<AtomicU64>,
}

/// Starts the actor of the upstream `info`.
pub(crate) fn spawn(
    cx: &NodeContext,
    info: &UpstreamInfo,
    role: Role,
    loads: &Loads,
    gate: &OrderGate,
    stop: &CancellationToken,
) -> Result<(ActorRef<DispatcherActor>, Arc<AtomicU64>), UpstreamError> {
    let timeouts = UpstreamTimeouts {
        connect: cx.settings.connect_timeout,
        progress: cx.settings.request_timeout,
    };
    let client = UpstreamClient::new(info, timeouts)?;
    let (cx, info, loads, gate) = (cx.clone(), info.clone(), loads.clone(), gate.clone());
    let stop = stop.clone();
    let unfinished: Arc<AtomicU64> = Arc::default();
    let args = DispatcherArgs {
        cx,
        info,
        role,
        loads,
        gate,
        stop,
        client,
        unfinished: unfinished.clone(),
    };
    Ok((DispatcherActor::spawn_with_mailbox(args, mailbox::unbounded()), unfinished))
}

impl Actor for DispatcherActor {
    type Args = DispatcherArgs;
    type Error = Infallible;

    async fn on_start(
        args: DispatcherArgs,
        me: ActorRef<Self>,
    ) -> Result<DispatcherActor, Infallible> {
        let DispatcherArgs { cx, info, role, loads, gate, stop, client, unfinished } = args;
        let table = cx.table.borrow().clone();
        let cfg = config(&cx, &info, role);
        let mut dispatcher = Dispatcher::new(cfg, table, rand::random());
        dispatcher.set_role(&role);
        let tasks = CancellationToken::new();
        let next_tick = watch::Sender::new(None);
        let work = (
            tick(me.clone(), cx.clone(), next_tick.subscribe()),
            report(me.clone(), client.clone()),
        );
        let token = tasks.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = token.cancelled() => {}
                () = work.0 => {}
                () = work.1 => {}
            }
        });
        Ok(DispatcherActor {
            cx,
            info,
            me,
            dispatcher,
            client,
            loads,
            gate,
            stop,
            down: false,
            unfinished,
            jobs: HashMap::new(),
            next_job: 0,
            role,
            draining: false,
            effects: Vec::new(),
            next_tick,
            _tasks: tasks.drop_guard(),
        })
    }

    async fn on_stop(
        &mut self,
        _me: kameo::actor::WeakActorRef<Self>,
        _reason: kameo::error::ActorStopReason,
    ) -> Result<(), Infallible> {
        for job in self.jobs.values() {
            job.cancel.cancel();
        }
        let name = self.info.name.clone();
        self.cx.adverts.send_modify(|adverts| {
            Arc::make_mut(adverts).remove(&name);
        });
        Ok(())
    }
}

fn config(cx: &NodeContext, info: &UpstreamInfo, role: Role) -> DispatcherConfig {
    let pinned_until = match role {
        Role::Owner { pinned_until, .. } => pinned_until,
        Role::Caretaker | Role::None => Time::default(),
    };
    let count = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
    DispatcherConfig {
        upstream: info.name.clone(),
        service: info.service.clone(),
        kind: info.kind,
        max_in_flight: count(cx.settings.upstream_in_flight),
        fencing: info.fencing,
        max_queue: count(cx.settings.queue_limit),
        caretaker: role == Role::Caretaker,
        pinned_until,
        ..DispatcherConfig::default()
    }
}

/// Delivers ticks at the times that the dispatcher asks for.
async fn tick(
    me: ActorRef<DispatcherActor>,
    cx: NodeContext,
    mut next: watch::Receiver<Option<Time>>,
) {
    loop {
        let due = *next.borrow_and_update();
        let changed = match due {
            Some(time) => tokio::select! {
                changed = next.changed() => changed,
                () = sleep_until(cx.clock.instant(time)) => {
                    if me.tell(DispatcherMsg::Input(DispatchInput::Tick)).try_send().is_err() {
                        return;
                    }
                    // The actor answers with the next time, which may be the same one.
                    next.changed().await
                }
            },
            None => next.changed().await,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Reads the load figures of the upstream again and again.
async fn report(me: ActorRef<DispatcherActor>, client: UpstreamClient) {
    loop {
        let msg = match client.report().await {
            Ok(report) => DispatcherMsg::Input(DispatchInput::Report(report)),
            Err(e) => {
                tracing::debug!(upstream = %client.name(), error = %e, "no load figures");
                DispatcherMsg::Down(e.is_refused())
            }
        };
        if me.tell(msg).try_send().is_err() || me.tell(DispatcherMsg::Advertise).try_send().is_err()
        {
            return;
        }
        sleep(REPORT_INTERVAL).await;
    }
}

impl Message<DispatcherMsg> for DispatcherActor {
    type Reply = ();

    async fn handle(&mut self, msg: DispatcherMsg, cx: &mut Context<Self, ()>) {
        match msg {
            DispatcherMsg::Submit { dispatch, port } => self.submit(&dispatch, port),
            DispatcherMsg::Input(DispatchInput::Permit { job, granted: false }) => {
                self.input(DispatchInput::Permit { job, granted: false });
                self.forget_idle(job);
            }
            DispatcherMsg::Input(input) => {
                self.down &= !matches!(input, DispatchInput::Report(_));
                self.input(input);
            }
            DispatcherMsg::Down(down) => self.down = down,
            DispatcherMsg::EntryCancelled(job) => {
                if let Some(entry) = self.jobs.get(&job) {
                    entry.by_entry.store(true, Ordering::Release);
                }
                self.input(DispatchInput::Cancel(job));
                self.forget_idle(job);
            }
            DispatcherMsg::Ended { job, result } => {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.running = false;
                }
                self.input(DispatchInput::Finished { job, result });
                self.forget_finished(job, result);
            }
            DispatcherMsg::Role(role) if role != self.role => {
                self.role = role;
                self.dispatcher.set_role(&role);
                self.input(DispatchInput::Tick);
            }
            DispatcherMsg::Role(_) => {}
            DispatcherMsg::Table(table) => self.dispatcher.set_table(table),
            DispatcherMsg::Drain if !self.draining => {
                self.draining = true;
                self.input(DispatchInput::Drain);
            }
            DispatcherMsg::Drain => {}
            DispatcherMsg::Advertise => self.advertise(),
        }
        self.unfinished.store(self.jobs.len() as u64, Ordering::Release);
        if self.draining && self.jobs.is_empty() {
            cx.stop();
        }
    }
}

/// Drains the dispatcher and asks for the adapters that running jobs use.
pub(crate) struct HandOver;

impl Message<HandOver> for DispatcherActor {
    type Reply = Vec<AdapterKey>;

    async fn handle(
        &mut self,
        _: HandOver,
        cx: &mut Context<Self, Self::Reply>,
    ) -> Vec<AdapterKey> {
        if !std::mem::replace(&mut self.draining, true) {
            self.input(DispatchInput::Drain);
        }
        self.unfinished.store(self.jobs.len() as u64, Ordering::Release);
        if self.jobs.is_empty() {
            cx.stop();
        }
        let used = self.jobs.values().filter_map(|job| job.request.adapter.clone());
        let used: HashSet<AdapterKey> = used.collect();
        used.into_iter().collect()
    }
}

impl DispatcherActor {
    fn submit(&mut self, dispatch: &Dispatch, port: RunPort) {
        self.next_job += 1;
        let id = JobId(self.next_job);
        // Without a connection the job can't run here, and the permit of a request that
        // must not run twice would be spent for nothing.
        if self.down {
            let reason = "the upstream refuses connections".to_owned();
            let _gone = port.frames.try_send(Body::Redirect(Redirect { reason }));
            return;
        }
        let span = telemetry::dispatch_span(&dispatch.traceparent);
        let traceparent = telemetry::outgoing(&span, &dispatch.traceparent);
        let Some((job, request)) = self.accept(id, dispatch, &traceparent) else {
            let code = "malformed_body".to_owned();
            let _gone = port.frames.try_send(Body::Refused(Refused { code, retry_after_ms: 0 }));
            return;
        };
        let entry = JobEntry {
            request: Arc::new(request),
            frames: port.frames,
            cancel: CancellationToken::new(),
            by_entry: Arc::default(),
            idempotent: dispatch.idempotent,
            running: false,
            submitted: self.cx.clock.now(),
            attempt: dispatch.attempt,
            span,
        };
        let (me, ended) = (self.me.clone(), entry.cancel.clone());
        self.jobs.insert(id, entry);
        tokio::spawn(follow_orders(me, id, port.orders, ended));
        self.input(DispatchInput::Submit(job));
    }

    /// Job and upstream request of a well-formed message.
    fn accept(
        &self,
        id: JobId,
        dispatch: &Dispatch,
        traceparent: &str,
    ) -> Option<(Job, RunRequest)> {
        let adapter = match &dispatch.adapter {
            Some(wire) => Some(AdapterKey::try_from(wire.clone()).ok()?),
            None => None,
        };
        let job = Job {
            id,
            row: RowId(dispatch.row),
            rank: rank_from_wire(dispatch.rank).ok()?,
            adapter: adapter.clone(),
            prompt_tokens: dispatch.prompt_tokens,
            output_tokens: dispatch.output_tokens,
            deadline: Duration::from_millis(dispatch.deadline_ms),
            retry: dispatch.retry,
            idempotent: dispatch.idempotent,
        };
        let mut headers = from_wire(&dispatch.headers);
        if let (false, Ok(value)) = (traceparent.is_empty(), traceparent.parse()) {
            headers.insert("traceparent", value);
        }
        let request = RunRequest {
            id: self.upstream_id(id, dispatch, adapter.is_some()),
            method: dispatch.method.parse().ok()?,
            path: dispatch.path.clone(),
            headers,
            body: dispatch.body.clone(),
            adapter,
            resume_from: dispatch.resume_from,
            check_after: dispatch.idempotent.then(|| self.check_after(dispatch, job.row)),
        };
        Some((job, request))
    }

    /// Time without progress after which the connection is checked. It is longer for
    /// responses that come as a whole, so that slow work is not taken for a silent connection.
    fn check_after(&self, dispatch: &Dispatch, row: RowId) -> Duration {
        let expected = match self.info.kind {
            UpstreamKind::Engine { .. } if dispatch.streamed => Duration::ZERO,
            UpstreamKind::Engine { .. } => SLOW_TOKEN.saturating_mul(dispatch.output_tokens),
            UpstreamKind::Service => {
                let table = self.cx.table.borrow();
                table.row(row).map_or(Duration::ZERO, |row| row.terms.target * CHECK_TARGETS)
            }
        };
        MIN_CHECK_AFTER.max(expected)
    }

    /// Engines get an id of our own, because two callers may choose the same one. Plain
    /// services get the caller's id, by which they may recognise a repeated call.
    fn upstream_id(&self, id: JobId, dispatch: &Dispatch, engine: bool) -> String {
        let me = &self.cx.me;
        if engine || dispatch.request_id.is_empty() {
            let text = format!("{}-{:x}-{}-{}", me.id, me.incarnation, self.info.name, id.0);
            // The id is part of a header and of a path.
            let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
            text.chars().map(plain).collect()
        } else {
            dispatch.request_id.clone()
        }
    }

    fn input(&mut self, input: DispatchInput) {
        let now = self.cx.clock.now();
        let mut effects = std::mem::take(&mut self.effects);
        self.dispatcher.handle(now, input, &mut effects);
        for effect in effects.drain(..) {
            self.execute(effect);
        }
        self.effects = effects;
        self.next_tick.send_replace(self.dispatcher.next_tick());
    }

    fn execute(&mut self, effect: DispatchEffect) {
        match effect {
            DispatchEffect::RequestPermit { job } => {
                if let Some(entry) = self.jobs.get(&job) {
                    let frame = Body::PermitRequest(PermitRequest { attempt: entry.attempt });
                    let _gone = entry.frames.try_send(frame);
                }
            }
            DispatchEffect::Run { job } => self.run(job),
            DispatchEffect::Refuse { job, reason, retry_after } => {
                let code = reason.code().to_owned();
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                self.end(job, Body::Refused(Refused { code, retry_after_ms }));
            }
            DispatchEffect::Redirect { job } => {
                let reason = if self.draining { NOT_OWNER } else { "elsewhere" }.to_owned();
                self.end(job, Body::Redirect(Redirect { reason }));
            }
            DispatchEffect::CancelRun { job } => {
                if let Some(entry) = self.jobs.get(&job) {
                    entry.cancel.cancel();
                }
            }
            DispatchEffect::RequestLoad { adapter, rank, waiting } => {
                self.loads.request(LoadRequest {
                    upstream: self.info.name.clone(),
                    service: self.info.service.clone(),
                    adapter,
                    rank,
                    waiting,
                    reply: LoadReply(self.me.clone()),
                });
            }
            DispatchEffect::CancelLoadRequest { adapter } => {
                self.loads.cancel(&self.info.service, &self.info.name, &adapter);
            }
            DispatchEffect::Load { adapter } => self.order(adapter, true),
            DispatchEffect::Unload { adapter } => self.order(adapter, false),
        }
    }

    /// Sends the last frame of a job that did not run here.
    fn end(&mut self, job: JobId, frame: Body) {
        if let Some(entry) = self.jobs.remove(&job) {
            let _gone = entry.frames.try_send(frame);
            entry.cancel.cancel();
        }
    }

    /// Forgets a job that the dispatcher dropped, unless it runs.
    fn forget_idle(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|entry| !entry.running)
            && let Some(entry) = self.jobs.remove(&job)
        {
            entry.cancel.cancel();
        }
    }

    /// Forgets a job after its run, unless the dispatcher queued it again.
    fn forget_finished(&mut self, job: JobId, result: RunResult) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        if result == RunResult::Cancelled && !entry.by_entry.load(Ordering::Acquire) {
            return;
        }
        if let Some(entry) = self.jobs.remove(&job) {
            entry.cancel.cancel();
        }
    }

    fn run(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        // A job that is run again after a restart of the upstream has a spent token.
        if entry.cancel.is_cancelled() && !entry.by_entry.load(Ordering::Acquire) {
            entry.cancel = CancellationToken::new();
        }
        entry.running = true;
        let queued = self.cx.clock.now().since(entry.submitted);
        let task = Run {
            queued_ms: u32::try_from(queued.as_millis()).unwrap_or(u32::MAX),
            me: self.me.clone(),
            client: self.client.clone(),
            job,
            request: entry.request.clone(),
            frames: entry.frames.clone(),
            cancel: entry.cancel.clone(),
            by_entry: entry.by_entry.clone(),
            idempotent: entry.idempotent,
        };
        let span = tracing::info_span!(parent: &entry.span, "upstream", upstream = %self.info.name);
        let stop = self.stop.clone();
        let run = async move {
            tokio::select! {
                biased;
                () = stop.cancelled() => {}
                () = task.execute() => {}
            }
        };
        tokio::spawn(run.instrument(span));
    }

    /// Gives a load or unload order if the node may give orders at this moment.
    fn order(&self, adapter: AdapterKey, load: bool) {
        let (me, client) = (self.me.clone(), self.client.clone());
        let (loads, upstream) = (self.loads.clone(), self.info.name.clone());
        let (gate, cx) = (self.gate.clone(), self.cx.clone());
        let service = self.info.service.clone();
        tokio::spawn(async move {
            let result = match gate.fencing(&cx, &upstream).await {
                Some(fencing) if load => client.load(&adapter, fencing).await,
                Some(fencing) => client.unload(&adapter, fencing).await,
                None => Err(UpstreamError::NotAllowed),
            };
            if let Err(e) = &result {
                tracing::warn!(%upstream, %adapter, load, error = %e, "order failed");
            }
            let ok = result.is_ok();
            if load {
                loads.finished(&service, &upstream, &adapter, ok);
            }
            let input = match load {
                true => DispatchInput::LoadDone { adapter, ok },
                false => DispatchInput::UnloadDone { adapter, ok },
            };
            let _stopped = me.tell(DispatcherMsg::Input(input)).try_send();
        });
    }

    fn advertise(&self) {
        let advert = self.dispatcher.advert(self.cx.clock.now());
        let name: &Name = &self.info.name;
        self.cx.adverts.send_if_modified(|adverts| {
            if adverts.get(name) == Some(&advert) {
                return false;
            }
            Arc::make_mut(adverts).insert(name.clone(), advert);
            true
        });
    }
}
