//! Start and stop of one node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fireflyhead_core::once::OnceInput;
use fireflyhead_core::once::RequestId;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::NodeSettings;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::Done;
use fireflyhead_schema::messages::IntentAck;
use fireflyhead_schema::messages::TableAnswer;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;
use crate::dispatchers::Dispatchers;
use crate::dispatchers::OrderGate;
use crate::dispatchers::loads::Loads;
use crate::entry::Entry;
use crate::entry::EntryParts;
use crate::entry::account::Accounting;
use crate::entry::account::Counts;
use crate::http::CallerApi;
use crate::http::serve::ServeOptions;
use crate::http::serve::serve;
use crate::kv::HttpStore;
use crate::kv::HttpStoreConfig;
use crate::kv::Store;
use crate::once::OnceHandle;
use crate::once::outcome_from_wire;
use crate::once::reply_to_wire;
use crate::once::token_to_wire;
use crate::owners::HandoverReceived;
use crate::owners::Owners;
use crate::peer::PeerHandler;
use crate::peer::auth::Authenticator;
use crate::peer::client::Peers;
use crate::peer::server::PeerServer;
use crate::peer::stream::RunPort;
use crate::telemetry;
use crate::telemetry::Metrics;

mod cluster;
#[cfg(test)]
pub(crate) mod tests;

use crate::node::cluster::Cluster;

/// Connections of operators at the same time.
const MAX_OPERATOR_CONNECTIONS: usize = 256;

/// Bytes by which an entry may lengthen a caller's body.
const REWRITTEN_BYTES: u64 = 64 << 10;

/// Time for connections to end after their last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two looks at the dispatchers during a planned stop.
const IDLE_POLL: Duration = Duration::from_millis(20);

/// Connections of callers at the same time.
const MAX_CALLER_CONNECTIONS: usize = 20_000;

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
}

/// Listeners of a node, bound before anything else starts.
pub struct Listeners {
    caller: TcpListener,
    operator: TcpListener,
    peer: TcpListener,
}

impl Listeners {
    /// Binds the addresses of `settings` and writes the ports that were chosen back.
    ///
    /// # Errors
    /// An address that can't be bound.
    pub async fn bind(settings: &mut NodeSettings) -> io::Result<Listeners> {
        let caller = bind(&mut settings.caller_address).await?;
        let operator = bind(&mut settings.operator_address).await?;
        let peer = bind(&mut settings.peer_address).await?;
        Ok(Listeners { caller, operator, peer })
    }
}

async fn bind(address: &mut SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(*address).await;
    let listener = listener.map_err(|e| io::Error::new(e.kind(), format!("{address}: {e}")))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Probe intervals in which the other nodes learn that a node is leaving. A change
/// reaches 330 nodes in about 6 intervals; a busy host takes longer.
const LEAVE_INTERVALS: u32 = 10;

/// What a stop interrupted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that had no outcome when the node stopped.
    pub interrupted: u64,
    /// Requests since the start, by outcome.
    pub counts: Counts,
    /// Whether the other nodes declared this incarnation dead.
    pub declared_dead: bool,
}

/// Reason for which a node does not start.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum StartError {
    /// cannot listen on {0}
    Listen(io::Error),
    /// cannot set up the client of the key-value service: {0}
    Store(reqwest::Error),
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(e: io::Error) -> StartError {
        StartError::Listen(e)
    }
}

/// Running node.
pub struct Node {
    cx: NodeContext,
    entry: Entry,
    dispatchers: Dispatchers,
    cluster: Option<Cluster>,
    /// Told when an operator asks for a planned stop.
    drain_requested: Arc<Notify>,
    /// Listeners for callers and operators.
    listeners: Mutex<Vec<JoinHandle<()>>>,
    /// Ends the listeners after their current requests.
    drain: CancellationToken,
    /// Ends everything.
    stop: CancellationToken,
}

impl Node {
    /// Starts a node with these settings.
    ///
    /// # Errors
    /// An address that can't be bound.
    pub async fn start(mut settings: NodeSettings) -> Result<Node, StartError> {
        let listeners = Listeners::bind(&mut settings).await?;
        let socket = UdpSocket::bind(settings.peer_address).await?;
        let store = HttpStore::new(HttpStoreConfig {
            url: settings.store_url.clone(),
            connect_timeout: settings.connect_timeout,
            ..HttpStoreConfig::default()
        });
        let store: Arc<dyn Store> = Arc::new(store.map_err(StartError::Store)?);
        let cx = NodeContext::new(settings, new_incarnation());
        let stop = CancellationToken::new();
        let auth = Arc::new(Authenticator::new(cx.settings.peer_key.expose()));
        let peers = Peers::new(cx.me.clone(), auth, cx.settings.connect_timeout, stop.clone());
        let cluster = Cluster::start(&cx, &store, &peers, socket);
        Ok(Node::with(cx, store, listeners, peers, stop, Some(cluster)))
    }

    /// Starts the request path of a node whose context somebody else keeps up to date.
    pub fn assemble(cx: NodeContext, store: Arc<dyn Store>, listeners: Listeners) -> Node {
        let stop = CancellationToken::new();
        let auth = Arc::new(Authenticator::new(cx.settings.peer_key.expose()));
        let peers = Peers::new(cx.me.clone(), auth, cx.settings.connect_timeout, stop.clone());
        Node::with(cx, store, listeners, peers, stop, None)
    }

    fn with(
        cx: NodeContext,
        store: Arc<dyn Store>,
        listeners: Listeners,
        peers: Peers,
        stop: CancellationToken,
        cluster: Option<Cluster>,
    ) -> Node {
        let drain = CancellationToken::new();
        let auth = peers.authenticator().clone();
        let gate = match &cluster {
            Some(cluster) => OrderGate::Owners(cluster.owners.clone()),
            None => OrderGate::Roles,
        };
        let loads = Loads::start(cx.clone(), peers.clone(), stop.clone());
        let dispatchers = Dispatchers::start(cx.clone(), loads.clone(), gate, stop.clone());
        let (submit, submissions) = mpsc::unbounded_channel();
        let once = OnceHandle::start(&cx, &peers, auth.clone(), submit, stop.clone());
        let meter = opentelemetry::global::meter("fireflyhead");
        let accounting = Accounting::new(Metrics::new(&meter));
        telemetry::observe_node(&meter, &cx, &accounting);
        let entry = Entry::start(EntryParts {
            cx: cx.clone(),
            dispatchers: dispatchers.clone(),
            peers: peers.clone(),
            once: once.clone(),
            store,
            accounting,
            stop: stop.clone(),
        });
        tokio::spawn(entry.clone().run_submissions(submissions));
        let handler = Arc::new(Handler {
            cx: cx.clone(),
            entry: entry.clone(),
            once: once.clone(),
            dispatchers: dispatchers.clone(),
            loads,
            owners: cluster.as_ref().map(|cluster| cluster.owners.clone()),
        });
        let body_limit = cx.settings.body_limit + REWRITTEN_BYTES;
        let server = PeerServer { auth, handler, body_limit, stop: stop.clone() };
        tokio::spawn(server.serve(listeners.peer));
        let options = ServeOptions {
            header_timeout: cx.settings.header_timeout,
            max_connections: MAX_CALLER_CONNECTIONS,
            drain: drain.clone(),
            stop: stop.clone(),
        };
        let drain_requested = Arc::new(Notify::new());
        let api = CallerApi { cx: cx.clone(), entry: entry.clone(), once, peers: peers.clone() };
        let mut tasks = vec![tokio::spawn(serve(listeners.caller, api.router(), options.clone()))];
        if let Some(cluster) = &cluster {
            let (accounting, drain) = (entry.accounting().clone(), drain_requested.clone());
            let router = cluster.operators(&cx, &peers, accounting, drain);
            let options = ServeOptions { max_connections: MAX_OPERATOR_CONNECTIONS, ..options };
            tasks.push(tokio::spawn(serve(listeners.operator, router, options)));
            cluster.follow(&cx, &dispatchers, &peers, &stop);
            tokio::spawn(drain_when_dead(cx.clone(), drain_requested.clone(), stop.clone()));
        }
        let listeners = Mutex::new(tasks);
        Node { cx, entry, dispatchers, cluster, drain_requested, listeners, drain, stop }
    }

    /// Addresses on which the node listens.
    pub fn addresses(&self) -> NodeAddresses {
        let settings = &self.cx.settings;
        NodeAddresses {
            caller: settings.caller_address,
            operator: settings.operator_address,
            peer: settings.peer_address,
        }
    }

    /// Context of the node.
    pub fn context(&self) -> &NodeContext {
        &self.cx
    }

    /// Requests since the start, by outcome.
    pub fn counts(&self) -> Counts {
        self.entry.accounting().counts()
    }

    /// Waits until an operator asks for a planned stop.
    pub async fn drain_requested(&self) {
        self.drain_requested.notified().await;
    }

    /// Stops as planned: hands the upstreams over and finishes all requests, at most
    /// for the drain timeout.
    ///
    /// Callers may use the addresses of an earlier resolve answer, so the node serves
    /// requests until these answers have expired.
    pub async fn shutdown(&self) -> StopReport {
        tracing::info!("planned stop");
        self.cx.draining.send_replace(true);
        let limit = self.cx.settings.drain_timeout;
        if timeout(limit, self.finish_work()).await.is_err() {
            tracing::warn!("the drain timeout passed before all requests ended");
        }
        self.drain.cancel();
        let listeners = std::mem::take(&mut *self.listeners.lock().expect("no holder panics"));
        let _expired = timeout(CLOSE_TIMEOUT, futures::future::join_all(listeners)).await;
        if let Some(cluster) = &self.cluster {
            cluster.revoke().await;
        }
        self.kill()
    }

    async fn finish_work(&self) {
        // Until then callers may hold ids that name this node as home or witness.
        let settings = &self.cx.settings;
        let expired = sleep(settings.resolve_ttl + settings.probe_interval * LEAVE_INTERVALS);
        let others =
            self.cx.members.borrow().iter().any(|member| {
                member.state == MemberState::Alive && member.node.id != self.cx.me.id
            });
        match &self.cluster {
            // Without another node the queued requests can only run here.
            Some(cluster) if others => cluster.leave().await,
            Some(_) | None => {}
        }
        expired.await;
        loop {
            self.entry.accounting().idle().await;
            if self.dispatchers.is_idle() {
                break;
            }
            sleep(IDLE_POLL).await;
        }
        if let Some(cluster) = &self.cluster {
            cluster.released().await;
        }
    }

    /// Drops everything at once.
    pub fn kill(&self) -> StopReport {
        let counts = self.counts();
        let interrupted = counts.in_flight.max(self.dispatchers.jobs());
        self.stop.cancel();
        if let Some(cluster) = &self.cluster {
            cluster.kill();
        }
        StopReport { interrupted, counts, declared_dead: is_declared_dead(&self.cx) }
    }
}

/// Number that differs for every start of a node and rises.
fn new_incarnation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Whether the members declared this incarnation of the node dead.
fn is_declared_dead(cx: &NodeContext) -> bool {
    let members = cx.members.borrow();
    members.iter().any(|member| member.node == cx.me && member.state == MemberState::Dead)
}

/// Asks for a planned stop once this incarnation was declared dead, for example after a
/// pause: its upstreams have other owners, and only a new incarnation can join again.
async fn drain_when_dead(cx: NodeContext, drain: Arc<Notify>, stop: CancellationToken) {
    let mut members = cx.members.subscribe();
    while !is_declared_dead(&cx) {
        tokio::select! {
            changed = members.changed() => match changed {
                Ok(()) => {}
                Err(_) => return,
            },
            () = stop.cancelled() => return,
        }
    }
    tracing::error!("the other nodes declared this incarnation dead; it stops");
    drain.notify_one();
}

/// Work of a node for its peers.
struct Handler {
    cx: NodeContext,
    entry: Entry,
    once: OnceHandle,
    dispatchers: Dispatchers,
    loads: Loads,
    owners: Option<ActorRef<Owners>>,
}

impl PeerHandler for Handler {
    fn dispatch(&self, _from: NodeRef, dispatch: Dispatch, port: RunPort) {
        self.dispatchers.submit(dispatch, port);
    }

    fn call(
        &self,
        from: NodeRef,
        body: call_request::Body,
    ) -> BoxFuture<'static, call_answer::Body> {
        let (cx, entry, once) = (self.cx.clone(), self.entry.clone(), self.once.clone());
        let (loads, owners) = (self.loads.clone(), self.owners.clone());
        Box::pin(async move {
            match body {
                call_request::Body::Intent(intent) => match RequestId::parse(&intent.request_id) {
                    Ok(id) if once.is_authentic(id.token()) => {
                        let accepted = once.intent(id, from).await;
                        let tick_ms = cx.clock.now().as_millis();
                        call_answer::Body::Intent(IntentAck { accepted, tick_ms })
                    }
                    _ => malformed(),
                },
                call_request::Body::Outcome(wire) => {
                    let id = RequestId::parse(&wire.request_id);
                    match (id, outcome_from_wire(wire)) {
                        (Ok(id), Ok(outcome)) => {
                            once.input(OnceInput::Outcome { id, outcome });
                            call_answer::Body::Done(Done {})
                        }
                        _ => malformed(),
                    }
                }
                call_request::Body::Lookup(lookup) => match RequestId::parse(&lookup.request_id) {
                    Ok(id) if once.is_authentic(id.token()) => {
                        let reply = once.lookup(id.clone()).await;
                        call_answer::Body::Lookup(reply_to_wire(&id, &reply))
                    }
                    _ => malformed(),
                },
                call_request::Body::Forward(forward) => entry.serve_forwarded(forward).await,
                call_request::Body::LoadGrant(request) => loads.answer(request).await,
                call_request::Body::LoadFinished(finished) => loads.answer_finished(finished),
                call_request::Body::Usage(usage) => {
                    entry.learn_usage(from, &usage);
                    call_answer::Body::Done(Done {})
                }
                call_request::Body::Token(_) => match once.issue().await {
                    Some(token) => call_answer::Body::Token(token_to_wire(&token)),
                    None => call_answer::Body::Error("the node stops".to_owned()),
                },
                call_request::Body::TableFetch(fetch) => {
                    let table = cx.table.borrow().clone();
                    let newer = table.version > fetch.known_version;
                    let csv = if newer { table.to_csv() } else { String::new() };
                    call_answer::Body::Table(TableAnswer { version: table.version, csv })
                }
                call_request::Body::Handover(handover) => {
                    if let Some(owners) = owners {
                        let received = HandoverReceived {
                            from,
                            upstream: Name::from(handover.upstream),
                            fencing: handover.fencing,
                            in_use: !handover.pinned.is_empty(),
                        };
                        let _stopped = owners.tell(received).await;
                    }
                    call_answer::Body::Done(Done {})
                }
            }
        })
    }
}

fn malformed() -> call_answer::Body {
    call_answer::Body::Error("malformed message".to_owned())
}
