//! Startup and shutdown of a node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fireflyhead_policy::budget::RetryBudget;
use fireflyhead_policy::budget::RetryBudgetSettings;
use fireflyhead_policy::dispatch::DispatchSettings;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::protocol::PlatformProtocol;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::mailbox;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock;
use crate::config_exchange;
use crate::directory;
use crate::directory::Page;
use crate::engine_controller;
use crate::engine_controller::EngineController;
use crate::engine_controller::membership;
use crate::heartbeats;
use crate::ingress;
use crate::lifecycle::Phase;
use crate::metrics::Metrics;
use crate::quarantine;
use crate::quota;
use crate::serving;
use crate::settings::GatewaySettings;
use crate::state::Shared;
use crate::store;
use crate::store::StoreClient;
use crate::store_watch;

/// Length of the queue of connections to be accepted. A burst of callers must not overflow it.
const ACCEPT_BACKLOG: i32 = 1_024;
/// Capacity of the engine controller's mailbox, in messages.
const CONTROLLER_MAILBOX_CAPACITY: usize = 1_024;
/// Interval of the periodic checks that need no precise timing.
const PERIODIC_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the stop signal during which new requests are still accepted, while callers learn
/// that the node is shutting down.
const DRAIN_LINGER: Duration = Duration::from_millis(2_600);
/// Time after the grace period in which the last responses are sent.
const FLUSH_TIME: Duration = Duration::from_millis(150);

/// Running node. Dropping it stops it at once, like a kill of the process.
pub struct Node {
    shared: Arc<Shared>,
    controller: ActorRef<EngineController>,
    /// Task that serves the connections of callers.
    ingress: JoinSet<()>,
    _tasks: JoinSet<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.controller.kill();
    }
}

/// Result of a graceful stop, see [`Node::stop`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopReport {
    /// Number of requests that were still open at the end of the grace period and were interrupted.
    pub interrupted_requests: usize,
    /// Number of connections of callers that were still open when the stop ended.
    pub open_connections: usize,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// An address can't be bound, or an HTTP client can't be created.
    pub async fn start(
        mut settings: GatewaySettings,
        protocol: Arc<dyn PlatformProtocol>,
    ) -> anyhow::Result<Node> {
        let metrics = Arc::new(Metrics::new());
        let store = Arc::new(StoreClient::new(
            settings.store,
            Arc::clone(&protocol),
            Arc::clone(&metrics),
            settings.memory,
        )?);
        let http = store::http_client()?;
        let caller_listener = listen(&mut settings.caller)?;
        let readiness_listener = settings.readiness.as_mut().map(listen).transpose()?;
        let directory_listener = settings.directory.as_mut().map(listen).transpose()?;
        let metrics_listener = settings.metrics.as_mut().map(listen).transpose()?;
        let socket = Arc::new(UdpSocket::bind(settings.peer).await?);
        settings.peer = socket.local_addr()?;
        let dispatcher = Dispatcher::new(DispatchSettings {
            zone: settings.zone.clone(),
            version_bound: settings.version_bound,
            pressure: settings.pressure,
            seed: clock::unix_millis(),
        });
        let budget = RetryBudget::new(RetryBudgetSettings {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
        });
        let shared = Arc::new(Shared::new(settings, protocol, metrics, dispatcher, budget));
        shared.datagrams().set_socket(Arc::clone(&socket));

        let controller = EngineController::new(Arc::clone(&shared), Arc::clone(&store), http);
        let controller = EngineController::spawn_with_mailbox(
            controller,
            mailbox::bounded(CONTROLLER_MAILBOX_CAPACITY),
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(engine_controller::send_ticks(Arc::clone(&shared), controller.clone()));
        tasks.spawn(membership::maintain(
            Arc::clone(&shared),
            Arc::clone(&store),
            controller.clone(),
        ));
        tasks.spawn(quota::slots::hold(Arc::clone(&shared), Arc::clone(&store)));
        tasks.spawn(quota::run(Arc::clone(&shared)));
        tasks.spawn(quarantine::stored::keep(Arc::clone(&shared), Arc::clone(&store)));
        tasks.spawn(store_watch::run(Arc::clone(&shared), store, controller.clone()));
        tasks.spawn(heartbeats::run_sender(Arc::clone(&shared), controller.clone()));
        tasks.spawn(heartbeats::run_receiver(Arc::clone(&shared), socket, controller.clone()));
        tasks.spawn(run_periodic_checks(Arc::clone(&shared)));
        tasks.spawn(quarantine::run_exchange(Arc::clone(&shared)));
        tasks.spawn(config_exchange::run(Arc::clone(&shared)));
        for listener in readiness_listener.into_iter().chain(directory_listener) {
            tasks.spawn(directory::serve(Arc::clone(&shared), listener, Page::Directory));
        }
        if let Some(listener) = metrics_listener {
            tasks.spawn(directory::serve(Arc::clone(&shared), listener, Page::Metrics));
        }
        let mut ingress = JoinSet::new();
        ingress.spawn(ingress::accept(Arc::clone(&shared), caller_listener));
        Ok(Node { shared, controller, ingress, _tasks: tasks })
    }

    /// Returns the settings, with the addresses that were bound.
    pub fn settings(&self) -> &GatewaySettings {
        &self.shared.settings
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    /// The values can't be encoded.
    pub fn metrics(&self) -> anyhow::Result<String> {
        Ok(String::from_utf8(self.shared.metrics.encode_text()?)?)
    }

    /// Returns the version of the configuration in effect; `None` before one has been read.
    pub fn config_version(&self) -> Option<u64> {
        self.shared.config().map(|config| config.version)
    }

    /// Stops the node gracefully: directs callers to other nodes, rejects requests that are expected to
    /// outlast the grace period or still wait when half of it is over, and waits until all
    /// connections have ended. A request without a response at the end of the grace period gets an
    /// error response, and a stream is cut off.
    pub async fn stop(mut self) -> StopReport {
        let grace = self.shared.settings.grace;
        let linger = DRAIN_LINGER.min(grace / 2);
        let lifecycle = &self.shared.lifecycle;
        lifecycle.begin_stop(clock::now() + grace);
        self.shared.announce();
        sleep(linger).await;
        lifecycle.enter(Phase::Closing);
        let mut ended = timeout(grace / 2 - linger, self.ingress.join_next()).await.is_ok();
        if !ended {
            self.shared.stop_dispatching(clock::now());
            ended = timeout(grace / 2, self.ingress.join_next()).await.is_ok();
        }
        let interrupted_requests = self.shared.open_requests().load(Ordering::Relaxed);
        lifecycle.enter(Phase::Ended);
        if !ended && timeout(FLUSH_TIME, self.ingress.join_next()).await.is_err() {
            tracing::warn!(event = "connections_not_flushed");
        }
        let open_connections = self.shared.open_connections().load(Ordering::Relaxed);
        StopReport { interrupted_requests, open_connections }
    }
}

/// Periodically drops the state of unreachable nodes, lapsed upstreams and idle connections.
async fn run_periodic_checks(shared: Arc<Shared>) {
    loop {
        heartbeats::drop_unreachable_nodes(&shared);
        serving::check(&shared);
        store_watch::end_grace(&shared);
        shared.pool.close_expired(clock::now());
        sleep(PERIODIC_CHECK_INTERVAL).await;
    }
}

/// Listens on `address` and replaces it by the bound address, so that port 0 becomes the real one.
fn listen(address: &mut SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(*address), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process must be able to bind while connections of the old one are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&(*address).into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    let listener = TcpListener::from_std(socket.into())?;
    *address = listener.local_addr()?;
    Ok(listener)
}
