//! Dispatchers of the upstreams that this node dispatches to.
//!
//! One actor for each upstream owns a `core::dispatch::Dispatcher` and carries
//! out its effects. Actors are started and drained as the roles in
//! `context.owners` change.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Role;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::Redirect;
use fireflyhead_schema::messages::peer_frame::Body;
use kameo::actor::ActorRef;
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;
use crate::owners::MayOrder;
use crate::owners::Owners;
use crate::peer::stream::RunPort;

mod actor;
pub mod loads;
mod runs;
#[cfg(test)]
mod tests;

use crate::dispatchers::actor::DispatcherActor;
use crate::dispatchers::actor::DispatcherMsg;
use crate::dispatchers::loads::Loads;

/// Reason of a redirect by a node that does not dispatch to the upstream.
pub(crate) const NOT_OWNER: &str = "not_owner";

/// Code between nodes of a run whose connection fell silent.
pub(crate) const CONNECTION_SILENT: &str = "connection_silent";

/// Answer of the load scheduler to one dispatcher.
pub(crate) type LoadVerdict = Result<(), Duration>;

/// Decides right before a load or unload order whether it may be given.
#[derive(Clone)]
pub enum OrderGate {
    /// The actor that checks the lease by its own clock.
    Owners(ActorRef<Owners>),
    /// The roles of the context, for nodes without the actor.
    Roles,
}

impl OrderGate {
    /// Fencing number for an order to `upstream`, if it may be given now.
    pub(crate) async fn fencing(&self, cx: &NodeContext, upstream: &Name) -> Option<u64> {
        match self {
            OrderGate::Owners(owners) => owners.ask(MayOrder(upstream.clone())).await.ok()?,
            OrderGate::Roles => match cx.owners.borrow().get(upstream)?.role {
                Role::Owner { fencing, orders_allowed: true, .. } => Some(fencing),
                Role::Owner { .. } | Role::Caretaker | Role::None => None,
            },
        }
    }
}

/// Dispatchers of one node.
#[derive(Clone)]
pub struct Dispatchers {
    inner: Arc<Inner>,
}

struct Inner {
    cx: NodeContext,
    loads: Loads,
    gate: OrderGate,
    stop: CancellationToken,
    actors: Mutex<HashMap<Name, Running>>,
}

/// Actor of one upstream.
#[derive(Clone)]
struct Running {
    actor: ActorRef<DispatcherActor>,
    info: UpstreamInfo,
    draining: bool,
    /// Unfinished jobs.
    jobs: Arc<AtomicU64>,
}

impl Dispatchers {
    /// Starts and drains dispatchers as roles change, until `stop`.
    pub fn start(
        cx: NodeContext,
        loads: Loads,
        gate: OrderGate,
        stop: CancellationToken,
    ) -> Dispatchers {
        let actors = Mutex::default();
        let this = Dispatchers { inner: Arc::new(Inner { cx, loads, gate, stop, actors }) };
        let follower = this.clone();
        tokio::spawn(async move { follower.follow().await });
        this
    }

    /// Queues `dispatch`; redirects it if this node does not dispatch to its upstream.
    pub fn submit(&self, dispatch: Dispatch, port: RunPort) {
        let actor = {
            let actors = self.inner.actors.lock().expect("no holder of this lock panics");
            let running = actors.get(dispatch.upstream.as_str());
            running.map(|running| running.actor.clone()).filter(ActorRef::is_alive)
        };
        match actor {
            Some(actor) => {
                // A stopped actor drops the port, which the entry sees as a lost owner.
                let _stopped = actor
                    .tell(DispatcherMsg::Submit { dispatch: Box::new(dispatch), port })
                    .try_send();
            }
            None => {
                let reason = NOT_OWNER.to_owned();
                let _gone = port.frames.try_send(Body::Redirect(Redirect { reason }));
            }
        }
    }

    /// Upstreams that this node dispatches to.
    pub fn upstreams(&self) -> Vec<Name> {
        let actors = self.inner.actors.lock().expect("no holder of this lock panics");
        actors.keys().cloned().collect()
    }

    /// Whether no dispatcher has unfinished jobs.
    pub fn is_idle(&self) -> bool {
        let actors = self.inner.actors.lock().expect("no holder of this lock panics");
        actors
            .values()
            .all(|running| !running.actor.is_alive() || running.jobs.load(Ordering::Acquire) == 0)
    }

    /// Unfinished jobs at all dispatchers.
    pub fn jobs(&self) -> u64 {
        let actors = self.inner.actors.lock().expect("no holder of this lock panics");
        let alive = actors.values().filter(|running| running.actor.is_alive());
        alive.map(|running| running.jobs.load(Ordering::Acquire)).sum()
    }

    /// Drains the dispatcher of `upstream`; the adapters that its running jobs use.
    pub(crate) async fn hand_over(&self, upstream: &Name) -> Vec<AdapterKey> {
        let actor = {
            let mut actors = self.inner.actors.lock().expect("no holder of this lock panics");
            actors.get_mut(upstream).map(|running| {
                running.draining = true;
                running.actor.clone()
            })
        };
        match actor {
            Some(actor) => actor.ask(actor::HandOver).await.unwrap_or_default(),
            None => Vec::new(),
        }
    }

    async fn follow(&self) {
        let cx = &self.inner.cx;
        let mut owners = cx.owners.subscribe();
        let mut upstreams = cx.upstreams.subscribe();
        let mut table = cx.table.subscribe();
        loop {
            self.reconcile();
            // A removed actor ends on its own; its successor starts after that.
            let retry = tokio::time::sleep(Duration::from_millis(500));
            let changed = tokio::select! {
                () = self.inner.stop.cancelled() => return self.stop_all(),
                changed = owners.changed() => changed,
                changed = upstreams.changed() => changed,
                changed = table.changed() => {
                    self.broadcast_table();
                    changed
                }
                () = retry => Ok(()),
            };
            if changed.is_err() {
                return self.stop_all();
            }
        }
    }

    fn broadcast_table(&self) {
        let table = self.inner.cx.table.borrow().clone();
        for running in self.inner.actors.lock().expect("no holder of this lock panics").values() {
            let _stopped = running.actor.tell(DispatcherMsg::Table(table.clone())).try_send();
        }
    }

    fn stop_all(&self) {
        for (_, running) in self.inner.actors.lock().expect("no holder of this lock panics").drain()
        {
            running.actor.kill();
        }
    }

    /// Brings the actors in line with the roles and the upstream list.
    fn reconcile(&self) {
        let owners = self.inner.cx.owners.borrow().clone();
        let upstreams = self.inner.cx.upstreams.borrow().clone();
        let mut actors = self.inner.actors.lock().expect("no holder of this lock panics");
        actors.retain(|_, running| running.actor.is_alive());
        for (name, running) in actors.iter_mut() {
            let role = owners.get(name).map_or(Role::None, |owned| owned.role);
            let listed = upstreams.get(name);
            let same = listed.is_some_and(|info| {
                info.address == running.info.address && info.kind == running.info.kind
            });
            let keep = same && role != Role::None && listed.is_some_and(|info| !info.leaving);
            running.draining |= !keep;
            let msg =
                if running.draining { DispatcherMsg::Drain } else { DispatcherMsg::Role(role) };
            let _stopped = running.actor.tell(msg).try_send();
        }
        for (name, info) in upstreams.iter().filter(|(_, info)| !info.leaving) {
            let role = owners.get(name).map_or(Role::None, |owned| owned.role);
            if role != Role::None && !actors.contains_key(name) {
                match actor::spawn(
                    &self.inner.cx,
                    info,
                    role,
                    &self.inner.loads,
                    &self.inner.gate,
                    &self.inner.stop,
                ) {
                    Ok((actor, jobs)) => {
                        let running = Running { actor, info: info.clone(), draining: false, jobs };
                        actors.insert(name.clone(), running);
                    }
                    Err(e) => tracing::error!(upstream = %name, error = %e, "no dispatcher"),
                }
            }
        }
    }
}

/// Handle by which the load scheduler answers a dispatcher.
#[derive(Clone)]
pub(crate) struct LoadReply(ActorRef<DispatcherActor>);

impl LoadReply {
    pub(crate) fn send(&self, adapter: AdapterKey, verdict: LoadVerdict) {
        let input = match verdict {
            Ok(()) => DispatchInput::LoadGranted { adapter },
            Err(retry_after) => DispatchInput::LoadDenied { adapter, retry_after },
        };
        let _stopped = self.0.tell(DispatcherMsg::Input(input)).try_send();
    }
}
