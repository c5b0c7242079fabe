//! Access to the load scheduler of a weight store.
//!
//! The node that rendezvous hashing selects among the live members schedules the
//! loads of a weight store; there is one weight store for each service. If that
//! node can't be reached, this node schedules its own loads within its fair
//! share of the limit.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fireflyhead_core::loads::LoadConfig;
use fireflyhead_core::loads::LoadEffect;
use fireflyhead_core::loads::LoadInput;
use fireflyhead_core::loads::LoadScheduler;
use fireflyhead_core::placement::Candidate;
use fireflyhead_core::placement::rendezvous;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Rank;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::LoadFinished;
use fireflyhead_schema::messages::LoadGrantAnswer;
use fireflyhead_schema::messages::LoadGrantRequest;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;
use crate::dispatchers::LoadReply;
use crate::dispatchers::LoadVerdict;
use crate::peer::client::Peers;

/// Time between two ticks of the schedulers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for the answer of a remote scheduler; longer than its own limit.
const GRANT_TIMEOUT: Duration = Duration::from_secs(12);

/// Longest time of a message to a remote scheduler that needs no grant.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before the next request after the one in flight was replaced.
const SUPERSEDED_RETRY: Duration = Duration::from_millis(50);

/// Request of one dispatcher for one load.
pub(crate) struct LoadRequest {
    pub(crate) upstream: Name,
    pub(crate) service: Name,
    pub(crate) adapter: AdapterKey,
    pub(crate) rank: Rank,
    pub(crate) waiting: u32,
    pub(crate) reply: LoadReply,
}

/// Party and adapter of a load.
type Key = (Name, AdapterKey);

/// Which scheduler of this node is meant.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Scope {
    /// Schedules the weight store for all nodes.
    Store(Name),
    /// Schedules the loads of this node within its fair share.
    Share(Name),
}

struct Scheduler {
    state: LoadScheduler,
    /// Version of the table whose floors apply.
    table_version: u64,
    waiting: HashMap<Key, oneshot::Sender<LoadVerdict>>,
}

/// Load schedulers as the dispatchers of one node use them.
#[derive(Clone)]
pub struct Loads {
    inner: Arc<Inner>,
}

struct Inner {
    cx: NodeContext,
    peers: Peers,
    schedulers: Mutex<HashMap<Scope, Scheduler>>,
    /// Requests of this node that wait for an answer.
    pending: Mutex<HashMap<Key, Pending>>,
}

/// Newest request for one load.
#[derive(Clone, Copy)]
struct Pending {
    rank: Rank,
    waiting: u32,
    /// Number of requests for the load before this one.
    generation: u64,
}

impl Loads {
    /// Schedulers that tick until `stop`.
    pub fn start(cx: NodeContext, peers: Peers, stop: CancellationToken) -> Loads {
        let (schedulers, pending) = (Mutex::default(), Mutex::default());
        let this = Loads { inner: Arc::new(Inner { cx, peers, schedulers, pending }) };
        let ticker = this.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = sleep(TICK_INTERVAL) => ticker.tick(),
                }
            }
        });
        this
    }

    fn tick(&self) {
        let now = self.inner.cx.clock.now();
        let mut schedulers = self.inner.schedulers.lock().expect("no holder of this lock panics");
        for scheduler in schedulers.values_mut() {
            if scheduler.state.next_tick().is_some_and(|due| due <= now) {
                scheduler.handle(now, LoadInput::Tick);
            }
        }
    }

    /// Asks for a load; a repeated request with another rank or far more waiters updates the first.
    pub(crate) fn request(&self, request: LoadRequest) {
        let key = (request.upstream.clone(), request.adapter.clone());
        let Some(generation) = self.note(&key, &request) else { return };
        let this = self.clone();
        tokio::spawn(async move {
            let verdict = this.verdict(&request).await;
            let newest = this.settle(&key, generation, verdict.is_ok());
            match (newest, verdict) {
                (Some(_), Ok(())) => request.reply.send(request.adapter, Ok(())),
                // A withdrawn request has no receiver for its grant.
                (None, Ok(())) => {
                    this.withdraw(&request.service, &request.upstream, &request.adapter);
                }
                (Some(true), Err(delay)) => request.reply.send(request.adapter, Err(delay)),
                // A newer request is still on its way.
                (Some(false) | None, Err(_)) => {}
            }
        });
    }

    /// Generation of a request that must be sent; `None` if the one in flight says the same.
    fn note(&self, key: &Key, request: &LoadRequest) -> Option<u64> {
        let mut pending = self.inner.pending.lock().expect("no holder of this lock panics");
        let (rank, waiting) = (request.rank, request.waiting);
        let generation = match pending.get(key) {
            Some(old) if old.rank == rank && waiting < old.waiting.saturating_mul(2) => {
                return None;
            }
            Some(old) => old.generation + 1,
            None => 0,
        };
        pending.insert(key.clone(), Pending { rank, waiting, generation });
        Some(generation)
    }

    /// Whether the answered request is the newest one; `None` if all were withdrawn. A grant
    /// settles the newer ones as well.
    fn settle(&self, key: &Key, generation: u64, granted: bool) -> Option<bool> {
        let mut pending = self.inner.pending.lock().expect("no holder of this lock panics");
        let newest = pending.get(key)?.generation == generation;
        if newest || granted {
            pending.remove(key);
        }
        Some(newest)
    }

    /// Verdict on a request; a request that a newer one replaced is denied.
    async fn verdict(&self, request: &LoadRequest) -> LoadVerdict {
        let Some(peer) = self.remote(&request.service) else {
            let scope = Scope::Store(request.service.clone());
            return self.local(scope, request).await;
        };
        let body = call_request::Body::LoadGrant(LoadGrantRequest {
            owner: request.upstream.to_string(),
            weight_store: request.service.to_string(),
            adapter: Some(messages::AdapterKey::from(&request.adapter)),
            rank: u32::try_from(request.rank.index()).unwrap_or_default(),
            waiting: request.waiting.max(1),
        });
        match self.inner.peers.call(&peer, body, GRANT_TIMEOUT).await {
            Ok(call_answer::Body::LoadGrant(LoadGrantAnswer { granted: true, .. })) => Ok(()),
            Ok(call_answer::Body::LoadGrant(LoadGrantAnswer { retry_after_ms, .. })) => {
                Err(Duration::from_millis(retry_after_ms))
            }
            Ok(_) => Err(SUPERSEDED_RETRY),
            Err(e) => {
                tracing::warn!(error = %e, "load scheduler unreachable; using the fair share");
                self.local(Scope::Share(request.service.clone()), request).await
            }
        }
    }

    async fn local(&self, scope: Scope, request: &LoadRequest) -> LoadVerdict {
        let key = (request.upstream.clone(), request.adapter.clone());
        let verdict = self.enqueue(scope, key, request.rank, request.waiting).await;
        verdict.unwrap_or(Err(SUPERSEDED_RETRY))
    }

    fn enqueue(
        &self,
        scope: Scope,
        key: Key,
        rank: Rank,
        waiting: u32,
    ) -> oneshot::Receiver<LoadVerdict> {
        let (tx, rx) = oneshot::channel();
        self.with(scope, |scheduler, now| {
            scheduler.waiting.insert(key.clone(), tx);
            let (owner, adapter) = key;
            scheduler.handle(now, LoadInput::Request { owner, adapter, rank, waiting });
        });
        rx
    }

    /// Withdraws a request or returns a grant that is not used.
    pub(crate) fn cancel(&self, service: &Name, upstream: &Name, adapter: &AdapterKey) {
        let key = (upstream.clone(), adapter.clone());
        self.inner.pending.lock().expect("no holder of this lock panics").remove(&key);
        self.withdraw(service, upstream, adapter);
    }

    fn withdraw(&self, service: &Name, upstream: &Name, adapter: &AdapterKey) {
        let (owner, key) = (upstream.clone(), adapter.clone());
        self.local_input(service, || LoadInput::Cancel {
            owner: owner.clone(),
            adapter: key.clone(),
        });
        self.notify(
            service,
            call_request::Body::LoadGrant(LoadGrantRequest {
                owner: upstream.to_string(),
                weight_store: service.to_string(),
                adapter: Some(messages::AdapterKey::from(adapter)),
                rank: 0,
                waiting: 0,
            }),
        );
    }

    /// Reports the end of a granted load.
    pub(crate) fn finished(&self, service: &Name, upstream: &Name, adapter: &AdapterKey, ok: bool) {
        let (owner, key) = (upstream.clone(), adapter.clone());
        self.local_input(service, || LoadInput::Done {
            owner: owner.clone(),
            adapter: key.clone(),
            ok,
        });
        self.notify(
            service,
            call_request::Body::LoadFinished(LoadFinished {
                owner: upstream.to_string(),
                weight_store: service.to_string(),
                adapter: Some(messages::AdapterKey::from(adapter)),
                ok,
            }),
        );
    }

    /// Handles an input at every scheduler of this node that may know the load.
    fn local_input(&self, service: &Name, input: impl Fn() -> LoadInput) {
        let now = self.inner.cx.clock.now();
        let mut schedulers = self.inner.schedulers.lock().expect("no holder of this lock panics");
        for scope in [Scope::Store(service.clone()), Scope::Share(service.clone())] {
            if let Some(scheduler) = schedulers.get_mut(&scope) {
                scheduler.handle(now, input());
            }
        }
    }

    fn notify(&self, service: &Name, body: call_request::Body) {
        let Some(peer) = self.remote(service) else { return };
        let peers = self.inner.peers.clone();
        tokio::spawn(async move {
            if let Err(e) = peers.call(&peer, body, NOTICE_TIMEOUT).await {
                tracing::debug!(error = %e, "load scheduler not notified");
            }
        });
    }

    /// Answers a peer's request for a load.
    pub(crate) async fn answer(&self, request: LoadGrantRequest) -> call_answer::Body {
        let rank = fireflyhead_core::wire::rank_from_wire(request.rank);
        let adapter = request.adapter.and_then(|wire| AdapterKey::try_from(wire).ok());
        let (Ok(rank), Some(adapter)) = (rank, adapter) else {
            return call_answer::Body::Error("malformed load request".to_owned());
        };
        let key = (Name::from(request.owner), adapter);
        let scope = Scope::Store(Name::from(request.weight_store));
        if request.waiting == 0 {
            self.with(scope, |scheduler, now| {
                let (owner, adapter) = key;
                scheduler.handle(now, LoadInput::Cancel { owner, adapter });
            });
            return call_answer::Body::Done(messages::Done {});
        }
        let verdict = self.enqueue(scope, key, rank, request.waiting).await;
        let verdict = verdict.unwrap_or(Err(SUPERSEDED_RETRY));
        call_answer::Body::LoadGrant(match verdict {
            Ok(()) => LoadGrantAnswer { granted: true, retry_after_ms: 0 },
            Err(retry_after) => {
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                LoadGrantAnswer { granted: false, retry_after_ms }
            }
        })
    }

    /// Takes note of the end of a peer's load.
    pub(crate) fn answer_finished(&self, finished: LoadFinished) -> call_answer::Body {
        let Some(Ok(adapter)) = finished.adapter.map(AdapterKey::try_from) else {
            return call_answer::Body::Error("malformed load notice".to_owned());
        };
        let (owner, ok) = (Name::from(finished.owner), finished.ok);
        self.with(Scope::Store(Name::from(finished.weight_store)), |scheduler, now| {
            scheduler.handle(now, LoadInput::Done { owner, adapter, ok });
        });
        call_answer::Body::Done(messages::Done {})
    }

    fn with(&self, scope: Scope, run: impl FnOnce(&mut Scheduler, fireflyhead_core::types::Time)) {
        let now = self.inner.cx.clock.now();
        let (Scope::Store(service) | Scope::Share(service)) = &scope;
        let service = service.clone();
        let mut schedulers = self.inner.schedulers.lock().expect("no holder of this lock panics");
        let scheduler = schedulers.entry(scope).or_insert_with_key(|scope| Scheduler {
            state: LoadScheduler::new(self.config(scope)),
            table_version: 0,
            waiting: HashMap::new(),
        });
        self.follow_table(&service, scheduler);
        run(scheduler, now);
    }

    /// Keeps the floors of the newest table for the grants as well.
    fn follow_table(&self, service: &Name, scheduler: &mut Scheduler) {
        let table = self.inner.cx.table.borrow();
        if scheduler.table_version != table.version {
            scheduler.table_version = table.version;
            scheduler.state.set_floors(table.floors(service));
        }
    }

    fn config(&self, scope: &Scope) -> LoadConfig {
        let settings = &self.inner.cx.settings;
        let limit = usize::try_from(settings.loads_in_flight).unwrap_or(usize::MAX);
        let nodes = match scope {
            Scope::Store(_) => 1,
            Scope::Share(_) => live(&self.inner.cx.members.borrow()).count().max(1),
        };
        #[allow(clippy::cast_precision_loss)]
        let loads_per_second = settings.loads_per_second / nodes as f64;
        let max_in_flight = (limit / nodes).max(1);
        LoadConfig { loads_per_second, max_in_flight, ..LoadConfig::default() }
    }

    /// Peer address of the node that schedules the loads of `service`; `None` if it is this one.
    fn remote(&self, service: &Name) -> Option<Name> {
        let members = self.inner.cx.members.borrow().clone();
        let alive: Vec<&Member> = live(&members).collect();
        let candidates: Vec<Candidate> =
            alive.iter().map(|member| Candidate::new(member.node.id.clone())).collect();
        let first = *rendezvous(service.as_str().as_bytes(), &candidates).first()?;
        let chosen = alive[first];
        (chosen.node.id != self.inner.cx.me.id).then(|| chosen.peer_address.clone())
    }
}

fn live(members: &[Member]) -> impl Iterator<Item = &Member> {
    members.iter().filter(|member| member.state == MemberState::Alive)
}

impl Scheduler {
    fn handle(&mut self, now: fireflyhead_core::types::Time, input: LoadInput) {
        let mut effects = Vec::new();
        self.state.handle(now, input, &mut effects);
        for effect in effects {
            let (key, verdict) = match effect {
                LoadEffect::Grant { owner, adapter } => ((owner, adapter), Ok(())),
                LoadEffect::Deny { owner, adapter, retry_after } => {
                    ((owner, adapter), Err(retry_after))
                }
            };
            if let Some(reply) = self.waiting.remove(&key) {
                let _gone = reply.send(verdict);
            }
        }
    }
}
