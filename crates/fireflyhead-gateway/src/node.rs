//! Start and stop of a node.

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
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::beats;
use crate::clock;
use crate::directory;
use crate::directory::Page;
use crate::ingress;
use crate::ingress::Phase;
use crate::keeper;
use crate::keeper::Keeper;
use crate::keeper::membership;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::state::Shared;
use crate::store;
use crate::store::StoreClient;
use crate::sync;

/// Connections that wait to be accepted; a burst of callers must not overflow it.
const BACKLOG: i32 = 1_024;
/// Messages that wait for the keeper.
const KEEPER_MAILBOX: usize = 1_024;
/// Interval of the checks that need no precise time.
const SWEEP: Duration = Duration::from_millis(250);
/// Time after the stop signal for which new requests are still taken, while callers learn of the stop.
const LINGER: Duration = Duration::from_millis(2_600);

/// Node that runs. Dropping it ends it as a kill does.
pub struct Node {
    shared: Arc<Shared>,
    phase: watch::Sender<Phase>,
    keeper: ActorRef<Keeper>,
    _tasks: JoinSet<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.keeper.kill();
    }
}

/// Requests at the end of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that were cut off.
    pub interrupted: usize,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// An address can't be bound or a client can't be set up.
    pub async fn start(
        mut settings: GatewaySettings,
        protocol: Arc<dyn PlatformProtocol>,
    ) -> anyhow::Result<Node> {
        let metrics = Arc::new(Metrics::new());
        let store = Arc::new(StoreClient::new(
            settings.store,
            Arc::clone(&protocol),
            Arc::clone(&metrics),
        )?);
        let http = store::http_client()?;
        let caller = listen(&mut settings.caller)?;
        let readiness = settings.readiness.as_mut().map(listen).transpose()?;
        let directory = settings.directory.as_mut().map(listen).transpose()?;
        let page = settings.metrics.as_mut().map(listen).transpose()?;
        let socket = Arc::new(UdpSocket::bind(settings.peer).await?);
        settings.peer = socket.local_addr()?;
        let dispatcher = Dispatcher::new(DispatchSettings {
            zone: settings.zone.clone(),
            version_bound: settings.version_bound,
            seed: clock::unix_millis(),
        });
        let budget = RetryBudget::new(RetryBudgetSettings {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
        });
        let shared = Arc::new(Shared::new(settings, protocol, metrics, dispatcher, budget));
        shared.outgoing().open(Arc::clone(&socket));

        let keeper = Keeper::new(Arc::clone(&shared), Arc::clone(&store), http);
        let keeper = Keeper::spawn_with_mailbox(keeper, mailbox::bounded(KEEPER_MAILBOX));
        let mut tasks = JoinSet::new();
        tasks.spawn(keeper::ticks(keeper.clone()));
        tasks.spawn(membership::keep(Arc::clone(&shared), Arc::clone(&store), keeper.clone()));
        tasks.spawn(sync::follow(Arc::clone(&shared), store, keeper.clone()));
        tasks.spawn(beats::send(Arc::clone(&shared), keeper.clone()));
        tasks.spawn(beats::receive(Arc::clone(&shared), socket, keeper.clone()));
        tasks.spawn(sweep(Arc::clone(&shared)));
        for listener in readiness.into_iter().chain(directory) {
            tasks.spawn(directory::serve(Arc::clone(&shared), listener, Page::Directory));
        }
        if let Some(listener) = page {
            tasks.spawn(directory::serve(Arc::clone(&shared), listener, Page::Metrics));
        }
        let (phase, phases) = watch::channel(Phase::Open);
        tasks.spawn(ingress::accept(Arc::clone(&shared), caller, phases));
        Ok(Node { shared, phase, keeper, _tasks: tasks })
    }

    /// Settings with the addresses that were bound.
    pub fn settings(&self) -> &GatewaySettings {
        &self.shared.settings
    }

    /// Metrics as text.
    ///
    /// # Errors
    /// The values can't be encoded.
    pub fn metrics(&self) -> anyhow::Result<String> {
        Ok(String::from_utf8(self.shared.metrics.text()?)?)
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> Option<u64> {
        self.shared.config().map(|config| config.version)
    }

    /// Stops the node: callers are sent elsewhere, requests under way are finished.
    pub async fn stop(self) -> StopReport {
        let started = clock::now();
        let grace = self.shared.settings.grace;
        self.shared.leave();
        self.shared.beat_now.notify_one();
        let open = || self.shared.requests().load(Ordering::Relaxed);
        sleep(LINGER.min(grace / 2)).await;
        if self.phase.send(Phase::Closing).is_err() {
            tracing::debug!(event = "nobody_listens");
        }
        while open() > 0 && clock::now().since(started) < grace {
            sleep(Duration::from_millis(20)).await;
        }
        // Lets the last bytes of finished responses leave.
        sleep(Duration::from_millis(30)).await;
        StopReport { interrupted: open() }
    }
}

/// Checks of silent nodes, old entries and idle connections.
async fn sweep(shared: Arc<Shared>) {
    loop {
        beats::tick(&shared);
        sync::tick(&shared);
        shared.pool.tick(clock::now());
        sleep(SWEEP).await;
    }
}

/// Listens on `address` and puts the port in its place that was bound for port 0.
fn listen(address: &mut SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(*address), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process must be able to bind while connections of the old one linger.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&(*address).into())?;
    socket.listen(BACKLOG)?;
    let listener = TcpListener::from_std(socket.into())?;
    *address = listener.local_addr()?;
    Ok(listener)
}
