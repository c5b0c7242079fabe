//! Start and stop of one node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use fireflyhead_core::once::OnceInput;
use fireflyhead_core::once::RequestId;
use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::NodeSettings;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::Done;
use fireflyhead_schema::messages::IntentAck;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;
use crate::dispatchers::Dispatchers;
use crate::dispatchers::loads::Loads;
use crate::entry::Entry;
use crate::entry::EntryParts;
use crate::entry::account::Accounting;
use crate::entry::account::Counts;
use crate::http::CallerApi;
use crate::http::serve::ServeOptions;
use crate::http::serve::serve;
use crate::kv::Store;
use crate::once::OnceHandle;
use crate::once::outcome_from_wire;
use crate::once::reply_to_wire;
use crate::once::token_to_wire;
use crate::peer::PeerHandler;
use crate::peer::auth::Authenticator;
use crate::peer::client::Peers;
use crate::peer::server::PeerServer;
use crate::peer::stream::RunPort;
use crate::telemetry::Metrics;

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

/// What a stop interrupted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that had no outcome when the node stopped.
    pub interrupted: u64,
    /// Requests since the start, by outcome.
    pub counts: Counts,
}

/// Running node.
pub struct Node {
    cx: NodeContext,
    entry: Entry,
    /// Ends the listeners after their current requests.
    drain: CancellationToken,
    /// Ends everything.
    stop: CancellationToken,
}

impl Node {
    /// Starts the request path of a node whose context somebody else keeps up to date.
    pub fn assemble(cx: NodeContext, store: Arc<dyn Store>, listeners: Listeners) -> Node {
        let (stop, drain) = (CancellationToken::new(), CancellationToken::new());
        let auth = Arc::new(Authenticator::new(cx.settings.peer_key.expose()));
        let connect_timeout = cx.settings.connect_timeout;
        let peers = Peers::new(cx.me.clone(), auth.clone(), connect_timeout, stop.clone());
        let loads = Loads::start(cx.clone(), peers.clone(), stop.clone());
        let dispatchers = Dispatchers::start(cx.clone(), loads.clone(), stop.clone());
        let (submit, submissions) = mpsc::unbounded_channel();
        let once = OnceHandle::start(&cx, &peers, auth.clone(), submit, stop.clone());
        let meter = opentelemetry::global::meter("fireflyhead");
        let accounting = Accounting::new(Metrics::new(&meter));
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
            dispatchers,
            loads,
        });
        let body_limit = cx.settings.body_limit;
        let server = PeerServer { auth, handler, body_limit, stop: stop.clone() };
        tokio::spawn(server.serve(listeners.peer));
        let options = ServeOptions {
            header_timeout: cx.settings.header_timeout,
            max_connections: MAX_CALLER_CONNECTIONS,
            drain: drain.clone(),
            stop: stop.clone(),
        };
        let api = CallerApi { cx: cx.clone(), entry: entry.clone(), once, peers };
        tokio::spawn(serve(listeners.caller, api.router(), options));
        drop(listeners.operator);
        Node { cx, entry, drain, stop }
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

    /// Stops as planned: finishes all requests, at most for the drain timeout.
    pub async fn shutdown(&self) -> StopReport {
        self.cx.draining.send_replace(true);
        let limit = self.cx.settings.drain_timeout;
        let _expired = timeout(limit, self.entry.accounting().idle()).await;
        self.drain.cancel();
        self.kill()
    }

    /// Drops everything at once.
    pub fn kill(&self) -> StopReport {
        let counts = self.counts();
        self.stop.cancel();
        StopReport { interrupted: counts.in_flight, counts }
    }
}

/// Work of a node for its peers.
struct Handler {
    cx: NodeContext,
    entry: Entry,
    once: OnceHandle,
    dispatchers: Dispatchers,
    loads: Loads,
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
        let loads = self.loads.clone();
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
                call_request::Body::Token(_) => match once.issue().await {
                    Some(token) => call_answer::Body::Token(token_to_wire(&token)),
                    None => call_answer::Body::Error("the node stops".to_owned()),
                },
                call_request::Body::TableFetch(_) | call_request::Body::Handover(_) => {
                    call_answer::Body::Error("not supported by this node".to_owned())
                }
            }
        })
    }
}

fn malformed() -> call_answer::Body {
    call_answer::Body::Error("malformed message".to_owned())
}

#[cfg(test)]
mod tests;
