//! Home and witness of requests that must not run twice.
//!
//! An actor owns `core::once::Once`, exchanges intents and outcomes with other
//! nodes, and hands the runs that it starts to the entry.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::once::CallerRef;
use fireflyhead_core::once::Once;
use fireflyhead_core::once::OnceConfig;
use fireflyhead_core::once::OnceEffect;
use fireflyhead_core::once::OnceInput;
use fireflyhead_core::once::OnceReply;
use fireflyhead_core::once::PlacementToken;
use fireflyhead_core::once::RequestId;
use fireflyhead_core::once::StoredOutcome;
use fireflyhead_core::placement::Candidate;
use fireflyhead_core::placement::rendezvous;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::IntentAck;
use fireflyhead_schema::messages::Lookup;
use fireflyhead_schema::messages::TokenRequest;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::mailbox;
use kameo::message::Context;
use kameo::message::Message;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;
use crate::entry::JobSpec;
use crate::peer::auth::Authenticator;
use crate::peer::client::PeerError;
use crate::peer::client::Peers;

#[cfg(test)]
mod tests;
mod wire;

pub(crate) use wire::outcome_from_wire;
pub(crate) use wire::outcome_to_wire;
pub(crate) use wire::reply_to_wire;
pub(crate) use wire::token_from_wire;
pub(crate) use wire::token_to_wire;

/// Longest wait for a witness.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of the clocks of possible witnesses.
const CLOCK_INTERVAL: Duration = Duration::from_secs(5);

/// Nodes whose clocks are followed, so that they can be witnesses.
const WITNESSES: usize = 4;

/// Run that home wants the entry to start.
pub(crate) struct Submission {
    pub(crate) id: RequestId,
    pub(crate) attempt: u32,
    pub(crate) spec: Arc<JobSpec>,
}

/// Message to the actor.
pub(crate) enum OnceMsg {
    Begin { id: RequestId, spec: Arc<JobSpec>, reply: oneshot::Sender<OnceReply> },
    Lookup { id: RequestId, reply: oneshot::Sender<OnceReply> },
    Intent { id: RequestId, from: NodeRef, reply: oneshot::Sender<bool> },
    Refuse { id: RequestId, reply: oneshot::Sender<OnceReply> },
    IsRunning { id: RequestId, reply: oneshot::Sender<bool> },
    Permit { id: RequestId, attempt: u32, reply: oneshot::Sender<bool> },
    Issue { reply: oneshot::Sender<PlacementToken> },
    Clock { node: NodeRef, tick_ms: u64 },
    WitnessReplied { caller: CallerRef, reply: OnceReply },
    Input(OnceInput),
}

/// Handle of the actor.
#[derive(Clone)]
pub struct OnceHandle {
    actor: ActorRef<OnceActor>,
    auth: Arc<Authenticator>,
}

impl OnceHandle {
    /// Starts the actor; the runs that it wants started arrive at `submissions`.
    pub(crate) fn start(
        cx: &NodeContext,
        peers: &Peers,
        auth: Arc<Authenticator>,
        submissions: mpsc::UnboundedSender<Submission>,
        stop: CancellationToken,
    ) -> OnceHandle {
        let cfg = OnceConfig { retention: cx.settings.request_retention, ..OnceConfig::default() };
        let args = OnceArgs {
            once: Once::new(cfg, cx.me.clone()),
            cx: cx.clone(),
            peers: peers.clone(),
            submissions,
        };
        let actor = OnceActor::spawn_with_mailbox(args, mailbox::unbounded());
        let work = (tick(actor.clone()), follow_clocks(cx.clone(), peers.clone(), actor.clone()));
        let ended = actor.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = work.0 => {}
                () = work.1 => {}
            }
            ended.kill();
        });
        OnceHandle { actor, auth }
    }

    /// Starts or joins the request `id` at this home and waits for its outcome.
    pub(crate) async fn begin(&self, id: RequestId, spec: Arc<JobSpec>) -> OnceReply {
        self.ask(|reply| OnceMsg::Begin { id, spec, reply }).await.unwrap_or(OnceReply::Unknown)
    }

    /// Closes `id` at this home without a run; its outcome if it is known.
    pub(crate) async fn refuse(&self, id: RequestId) -> OnceReply {
        self.ask(|reply| OnceMsg::Refuse { id, reply }).await.unwrap_or(OnceReply::Unknown)
    }

    /// Whether `id` runs at this home.
    pub(crate) async fn is_running(&self, id: RequestId) -> bool {
        self.ask(|reply| OnceMsg::IsRunning { id, reply }).await.unwrap_or(false)
    }

    /// Outcome of `id` as this witness knows it.
    pub(crate) async fn lookup(&self, id: RequestId) -> OnceReply {
        self.ask(|reply| OnceMsg::Lookup { id, reply }).await.unwrap_or(OnceReply::Unknown)
    }

    /// Records an intent as witness; whether it was accepted.
    pub(crate) async fn intent(&self, id: RequestId, from: NodeRef) -> bool {
        self.ask(|reply| OnceMsg::Intent { id, from, reply }).await.unwrap_or(false)
    }

    /// Token for a caller with this node as home.
    pub(crate) async fn issue(&self) -> Option<PlacementToken> {
        let mut token = self.ask(|reply| OnceMsg::Issue { reply }).await?;
        token.mac = self.auth.sign_token(&token.signed_bytes());
        Some(token)
    }

    /// Whether a node with the peers' key issued `token`.
    pub(crate) fn is_authentic(&self, token: &PlacementToken) -> bool {
        self.auth.verify_token(&token.signed_bytes(), &token.mac)
    }

    /// Asks home for the permit of an attempt.
    pub(crate) fn permit_requested(&self, id: RequestId, attempt: u32) -> oneshot::Receiver<bool> {
        let (reply, answer) = oneshot::channel();
        self.tell(OnceMsg::Permit { id, attempt, reply });
        answer
    }

    /// Reports an event to the state machine.
    pub(crate) fn input(&self, input: OnceInput) {
        self.tell(OnceMsg::Input(input));
    }

    fn tell(&self, msg: OnceMsg) {
        // A stopped actor drops the reply channels, which their receivers notice.
        let _stopped = self.actor.tell(msg).try_send();
    }

    async fn ask<T>(&self, msg: impl FnOnce(oneshot::Sender<T>) -> OnceMsg) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.tell(msg(reply));
        answer.await.ok()
    }
}

async fn tick(actor: ActorRef<OnceActor>) {
    while actor.tell(OnceMsg::Input(OnceInput::Tick)).try_send().is_ok() {
        sleep(TICK_INTERVAL).await;
    }
}

/// Follows the clocks of nodes that may become witnesses.
async fn follow_clocks(cx: NodeContext, peers: Peers, actor: ActorRef<OnceActor>) {
    let mut members = cx.members.subscribe();
    loop {
        for member in possible_witnesses(&cx) {
            let body = call_request::Body::Token(TokenRequest {});
            let answer = peers.call(&member.peer_address, body, WITNESS_TIMEOUT).await;
            let token = match answer {
                Ok(call_answer::Body::Token(token)) => token,
                _ => continue,
            };
            if let Some(Ok(node)) = token.home.map(NodeRef::try_from) {
                let tick_ms = token.home_tick_ms;
                let _stopped = actor.tell(OnceMsg::Clock { node, tick_ms }).try_send();
            }
        }
        tokio::select! {
            changed = members.changed() => if changed.is_err() { return },
            () = sleep(CLOCK_INTERVAL) => {}
        }
    }
}

/// Live nodes that may be witnesses of this home, those in other zones first.
fn possible_witnesses(cx: &NodeContext) -> Vec<Member> {
    let members = cx.members.borrow().clone();
    let usable =
        |member: &&Member| member.state == MemberState::Alive && member.node.id != cx.me.id;
    let zone = cx.settings.zone.as_str();
    let (far, near): (Vec<&Member>, Vec<&Member>) =
        members.iter().filter(usable).partition(|member| member.zone.as_str() != zone);
    let list = if far.is_empty() { near } else { far };
    let candidates: Vec<Candidate> =
        list.iter().map(|member| Candidate::new(member.node.id.clone())).collect();
    let order = rendezvous(cx.me.id.as_str().as_bytes(), &candidates);
    order.into_iter().take(WITNESSES).map(|i| list[i].clone()).collect()
}

/// State of the actor.
pub(crate) struct OnceActor {
    me: ActorRef<OnceActor>,
    cx: NodeContext,
    peers: Peers,
    once: Once,
    submissions: mpsc::UnboundedSender<Submission>,
    specs: HashMap<RequestId, Arc<JobSpec>>,
    callers: HashMap<CallerRef, oneshot::Sender<OnceReply>>,
    permits: HashMap<(RequestId, u32), oneshot::Sender<bool>>,
    /// Reply to the intent that is being handled.
    intent: Option<oneshot::Sender<bool>>,
    clocks: HashMap<NodeRef, u64>,
    next_caller: u64,
    /// Tick of the last token; each token has another one, so that no two are equal.
    last_tick_ms: u64,
}

/// Arguments of the actor.
pub(crate) struct OnceArgs {
    once: Once,
    cx: NodeContext,
    peers: Peers,
    submissions: mpsc::UnboundedSender<Submission>,
}

impl Actor for OnceActor {
    type Args = OnceArgs;
    type Error = Infallible;

    async fn on_start(args: OnceArgs, me: ActorRef<Self>) -> Result<OnceActor, Infallible> {
        Ok(OnceActor {
            me,
            cx: args.cx,
            peers: args.peers,
            once: args.once,
            submissions: args.submissions,
            specs: HashMap::new(),
            callers: HashMap::new(),
            permits: HashMap::new(),
            intent: None,
            clocks: HashMap::new(),
            next_caller: 0,
            last_tick_ms: 0,
        })
    }
}

impl Message<OnceMsg> for OnceActor {
    type Reply = ();

    async fn handle(&mut self, msg: OnceMsg, _cx: &mut Context<Self, ()>) {
        match msg {
            OnceMsg::Begin { id, spec, reply } => {
                let caller = self.caller(reply);
                self.specs.entry(id.clone()).or_insert(spec);
                self.input(OnceInput::Begin { id, caller });
            }
            OnceMsg::Refuse { id, reply } => {
                let caller = self.caller(reply);
                self.input(OnceInput::Refuse { id, caller });
            }
            OnceMsg::IsRunning { id, reply } => {
                let _gone = reply.send(self.specs.contains_key(&id));
            }
            OnceMsg::Lookup { id, reply } => {
                let caller = self.caller(reply);
                self.input(OnceInput::Lookup { id, caller });
            }
            OnceMsg::Intent { id, from, reply } => {
                self.intent = Some(reply);
                self.input(OnceInput::Intent { id, from });
                self.intent = None;
            }
            OnceMsg::Permit { id, attempt, reply } => {
                self.permits.insert((id.clone(), attempt), reply);
                self.input(OnceInput::PermitRequested { id, attempt });
            }
            OnceMsg::Issue { reply } => {
                let _gone = reply.send(self.issue());
            }
            OnceMsg::Clock { node, tick_ms } => {
                self.clocks.retain(|other, _| other.id != node.id);
                self.clocks.insert(node, tick_ms);
            }
            OnceMsg::WitnessReplied { caller, reply } => self.reply(caller, reply),
            OnceMsg::Input(input) => self.input(input),
        }
    }
}

impl OnceActor {
    fn caller(&mut self, reply: oneshot::Sender<OnceReply>) -> CallerRef {
        self.next_caller += 1;
        let caller = CallerRef(self.next_caller);
        self.callers.insert(caller, reply);
        caller
    }

    fn issue(&mut self) -> PlacementToken {
        let witnesses = possible_witnesses(&self.cx);
        let known: Vec<(NodeRef, u64)> = witnesses
            .into_iter()
            .filter_map(|member| {
                self.clocks.get(&member.node).map(|tick| (member.node.clone(), *tick))
            })
            .collect();
        let witness = known.choose(&mut rand::rng()).cloned();
        let mut token = self.once.issue(self.cx.clock.now(), witness);
        token.home_tick_ms = token.home_tick_ms.max(self.last_tick_ms + 1);
        self.last_tick_ms = token.home_tick_ms;
        token
    }

    fn input(&mut self, input: OnceInput) {
        let mut effects = Vec::new();
        self.once.handle(self.cx.clock.now(), input, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: OnceEffect) {
        match effect {
            OnceEffect::SendIntent { to, id } => self.send_intent(&to, id),
            OnceEffect::Submit { id, attempt } => {
                if let Some(spec) = self.specs.get(&id) {
                    let _stopped =
                        self.submissions.send(Submission { id, attempt, spec: spec.clone() });
                }
            }
            OnceEffect::Permit { id, attempt, granted } => {
                if let Some(reply) = self.permits.remove(&(id, attempt)) {
                    let _gone = reply.send(granted);
                }
            }
            OnceEffect::ReplicateOutcome { to, id, outcome } => {
                // Sent for every id that ends, whether or not a call waits for it.
                self.specs.remove(&id);
                self.replicate(&to, &id, &outcome);
            }
            OnceEffect::AckIntent { accepted, .. } => {
                if let Some(reply) = self.intent.take() {
                    let _gone = reply.send(accepted);
                }
            }
            OnceEffect::AskWitness { to, id, caller } => self.ask_witness(to, id, caller),
            OnceEffect::Reply { reply: OnceReply::Joined, .. } => {}
            OnceEffect::Reply { caller, id, reply } => {
                self.specs.remove(&id);
                self.reply(caller, reply);
            }
        }
    }

    fn reply(&mut self, caller: CallerRef, reply: OnceReply) {
        if let Some(waiting) = self.callers.remove(&caller) {
            let _gone = waiting.send(reply);
        }
    }

    fn address(&self, node: &NodeRef) -> Option<Name> {
        let members = self.cx.members.borrow();
        let found =
            members.iter().find(|member| member.node == *node && member.state != MemberState::Dead);
        found.map(|member| member.peer_address.clone())
    }

    fn send_intent(&self, to: &NodeRef, id: RequestId) {
        let Some(address) = self.address(to) else {
            let _stopped =
                self.me.tell(OnceMsg::Input(OnceInput::WitnessUnreachable { id })).try_send();
            return;
        };
        let (peers, me, witness) = (self.peers.clone(), self.me.clone(), to.clone());
        let from = Some(messages::NodeRef::from(&self.cx.me));
        tokio::spawn(async move {
            let request_id = id.to_string();
            let body = call_request::Body::Intent(messages::Intent { request_id, from });
            let input = match peers.call(&address, body, WITNESS_TIMEOUT).await {
                Ok(call_answer::Body::Intent(IntentAck { accepted, tick_ms })) => {
                    let _stopped = me.tell(OnceMsg::Clock { node: witness, tick_ms }).try_send();
                    OnceInput::WitnessAck { id, accepted }
                }
                Ok(_) => OnceInput::WitnessAck { id, accepted: false },
                Err(e) => {
                    tracing::debug!(error = %e, "witness unreachable");
                    OnceInput::WitnessUnreachable { id }
                }
            };
            let _stopped = me.tell(OnceMsg::Input(input)).try_send();
        });
    }

    fn replicate(&self, to: &NodeRef, id: &RequestId, outcome: &StoredOutcome) {
        let Some(address) = self.address(to) else { return };
        let body = call_request::Body::Outcome(outcome_to_wire(id, outcome));
        let peers = self.peers.clone();
        tokio::spawn(async move {
            if let Err(e) = peers.call(&address, body, WITNESS_TIMEOUT).await {
                tracing::debug!(error = %e, "outcome not replicated");
            }
        });
    }

    fn ask_witness(&self, to: NodeRef, id: RequestId, caller: CallerRef) {
        let address = self.address(&to);
        let (peers, me) = (self.peers.clone(), self.me.clone());
        tokio::spawn(async move {
            let reply = match address {
                Some(address) => {
                    lookup_at(&peers, &address, &id).await.unwrap_or(OnceReply::Unknown)
                }
                None => OnceReply::Unknown,
            };
            let _stopped = me.tell(OnceMsg::WitnessReplied { caller, reply }).try_send();
        });
    }
}

/// Outcome of `id` as the witness at `address` knows it.
pub(crate) async fn lookup_at(
    peers: &Peers,
    address: &Name,
    id: &RequestId,
) -> Result<OnceReply, PeerError> {
    let body = call_request::Body::Lookup(Lookup { request_id: id.to_string() });
    let answer = peers.call(address, body, WITNESS_TIMEOUT).await?;
    Ok(match answer {
        call_answer::Body::Lookup(messages::LookupAnswer { outcome: Some(outcome), .. }) => {
            wire::reply_from_wire(outcome)
        }
        _ => OnceReply::Unknown,
    })
}
