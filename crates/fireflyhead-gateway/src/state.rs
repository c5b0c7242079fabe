//! State that the tasks of a node share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::admission::AddressedResponse;
use fireflyhead_policy::admission::AdmissionController;
use fireflyhead_policy::budget::RetryBudget;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::dispatch::UnresponsiveHolder;
use fireflyhead_policy::fleet::Fleet;
use fireflyhead_policy::limits::RouteLimits;
use fireflyhead_policy::message::AdmissionResponse;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::HolderMessage;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::message::Placement;
use fireflyhead_policy::peers::Peers;
use fireflyhead_policy::protocol::PlatformProtocol;
use fireflyhead_policy::readers;
use fireflyhead_policy::readers::Feed;
use fireflyhead_policy::readers::ReaderCandidate;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::clock;
use crate::feeds::Feeds;
use crate::metrics::Metrics;
use crate::outgoing::Outgoing;
use crate::pool::Pool;
use crate::settings::GatewaySettings;

/// Bits of a request's number below the start of the process; more requests than they count
/// don't arrive in a millisecond of its life.
const JOB_BITS: u32 = 16;

/// State of a node. Locks are held for single decisions and never across an await.
pub struct Shared {
    /// Settings at the start.
    pub settings: GatewaySettings,
    /// Start of the process in milliseconds of Unix time.
    pub incarnation: u64,
    /// Spelling of the platform.
    pub protocol: Arc<dyn PlatformProtocol>,
    /// Instruments.
    pub metrics: Arc<Metrics>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Changes of the store that other nodes handed on.
    pub feeds: Feeds,
    /// Wakes the task that sends beats before their interval is over.
    pub beat_now: Notify,
    config: Mutex<Option<Arc<Config>>>,
    fleet: Mutex<Fleet>,
    dispatcher: Mutex<Dispatcher>,
    admission: Mutex<AdmissionController>,
    outgoing: Outgoing,
    budget: Mutex<RetryBudget>,
    limits: Mutex<RouteLimits>,
    peers: Mutex<Peers>,
    placements: Mutex<Vec<Placement>>,
    members: Mutex<HashMap<Name, SocketAddr>>,
    verdicts: Mutex<HashMap<JobId, oneshot::Sender<DispatchDecision>>>,
    loading: AtomicUsize,
    next_job: AtomicU64,
    leaving: AtomicBool,
    requests: AtomicUsize,
}

/// Locks `mutex`; a panic of another task leaves plain values that are still usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// State of a node that knows nothing of the deployment yet.
    pub fn new(
        settings: GatewaySettings,
        protocol: Arc<dyn PlatformProtocol>,
        metrics: Arc<Metrics>,
        dispatcher: Dispatcher,
        budget: RetryBudget,
    ) -> Shared {
        Shared {
            settings,
            incarnation: clock::unix_millis(),
            protocol,
            metrics,
            pool: Pool::default(),
            feeds: Feeds::default(),
            beat_now: Notify::new(),
            config: Mutex::new(None),
            fleet: Mutex::new(Fleet::default()),
            dispatcher: Mutex::new(dispatcher),
            admission: Mutex::new(AdmissionController::default()),
            outgoing: Outgoing::default(),
            budget: Mutex::new(budget),
            limits: Mutex::new(RouteLimits::default()),
            peers: Mutex::new(Peers::default()),
            placements: Mutex::new(Vec::new()),
            members: Mutex::new(HashMap::new()),
            verdicts: Mutex::new(HashMap::new()),
            loading: AtomicUsize::new(0),
            // Holders tell requests apart by node and number, also across a restart.
            next_job: AtomicU64::new(clock::unix_millis() << JOB_BITS),
            leaving: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config).clone()
    }

    /// Puts a configuration in force; `false` if it is not newer than the present one.
    pub fn set_config(&self, config: Config) -> bool {
        let mut present = lock(&self.config);
        if present.as_ref().is_some_and(|present| present.version >= config.version) {
            return false;
        }
        *present = Some(Arc::new(config));
        true
    }

    /// Listed upstreams.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Decisions on requests.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    /// Admission to the engines in custody.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        lock(&self.admission)
    }

    /// Datagrams to other nodes.
    pub fn outgoing(&self) -> &Outgoing {
        &self.outgoing
    }

    /// Budget for repeated sends.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Limits of routes.
    pub fn limits(&self) -> MutexGuard<'_, RouteLimits> {
        lock(&self.limits)
    }

    /// Other nodes.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Adapters of the engines in this node's custody.
    pub fn placements(&self) -> MutexGuard<'_, Vec<Placement>> {
        lock(&self.placements)
    }

    /// Peer addresses of the nodes that the store lists.
    pub fn members(&self) -> MutexGuard<'_, HashMap<Name, SocketAddr>> {
        lock(&self.members)
    }

    /// Sets the number of adapter loads under way that this node ordered.
    pub fn set_loading(&self, loading: usize) {
        self.loading.store(loading, Ordering::Relaxed);
    }

    /// Number of adapter loads under way that this node ordered.
    pub fn loading(&self) -> usize {
        self.loading.load(Ordering::Relaxed)
    }

    /// New number for a request.
    pub fn job_id(&self) -> JobId {
        JobId(self.next_job.fetch_add(1, Ordering::Relaxed))
    }

    /// Marks the node as leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the node leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// State towards callers.
    pub fn node_state(&self) -> NodeState {
        match (self.is_leaving(), lock(&self.config).is_some()) {
            (true, _) => NodeState::Leaving,
            (false, true) => NodeState::Ready,
            (false, false) => NodeState::Starting,
        }
    }

    /// Counter of requests that are being answered.
    pub fn requests(&self) -> &AtomicUsize {
        &self.requests
    }

    /// Number of nodes that share the upstreams, this one included.
    pub fn node_count(&self, now: Time) -> usize {
        self.peers().live(now).count() + 1
    }

    /// Submits a request and returns the receiver of its verdict.
    pub fn submit(self: &Arc<Shared>, now: Time, job: Job) -> PendingJob {
        let id = job.id;
        let (tx, rx) = oneshot::channel();
        let verdict = self.dispatcher().submit(now, job);
        match verdict {
            Some(verdict) => {
                // The receiver is held below, so the send can't fail.
                let _sent = tx.send(verdict);
            }
            None => {
                lock(&self.verdicts).insert(id, tx);
            }
        }
        self.flush(now);
        PendingJob { shared: Arc::clone(self), id, rx }
    }

    /// Delivers the verdicts that became possible.
    pub fn pump(&self, now: Time) {
        let mut dispatcher = self.dispatcher();
        let decided = dispatcher.dispatch_waiting(now);
        let silent = dispatcher.take_unresponsive_holders();
        drop(dispatcher);
        for UnresponsiveHolder { upstream, holder } in silent {
            tracing::warn!(event = "holder_silent", %upstream, %holder);
        }
        self.deliver(now, decided);
        let answers = self.admission().admit_waiting(now);
        self.reply(now, answers);
        self.flush(now);
    }

    /// Takes messages of `node` to this node as the holder of engines.
    pub fn admit(&self, now: Time, node: &Name, messages: Vec<HolderMessage>) {
        let mut answers = Vec::new();
        let mut admission = self.admission();
        for message in messages {
            match message {
                HolderMessage::AdmissionRequest(ask) => {
                    answers.push(admission.handle_request(now, node, &ask))
                }
                HolderMessage::ProgressReport(progress) => {
                    admission.handle_progress(now, node, &progress)
                }
            }
        }
        answers.extend(admission.admit_waiting(now));
        drop(admission);
        self.reply(now, answers);
    }

    /// Takes answers of `holder`.
    pub fn answered(&self, now: Time, holder: &Name, answers: Vec<AdmissionResponse>) {
        let mut dispatcher = self.dispatcher();
        let decided = answers
            .into_iter()
            .filter_map(|answer| dispatcher.handle_admission_response(now, holder, answer))
            .collect();
        drop(dispatcher);
        self.deliver(now, decided);
    }

    /// Sends what the dispatcher has for the holders of engines.
    pub fn flush(&self, now: Time) {
        loop {
            let outbox = self.dispatcher().take_holder_messages();
            if outbox.is_empty() {
                return;
            }
            let mut by_holder: HashMap<Name, Vec<HolderMessage>> = HashMap::new();
            for (holder, message) in outbox {
                by_holder.entry(holder).or_default().push(message);
            }
            for (holder, messages) in by_holder {
                let node = self.settings.node.clone();
                match holder == node {
                    true => self.admit(now, &node, messages),
                    false => self.send(&holder, &Datagram::HolderMessages { node, messages }),
                }
            }
        }
    }

    fn reply(&self, now: Time, answers: Vec<AddressedResponse>) {
        let mut by_node: HashMap<Name, Vec<AdmissionResponse>> = HashMap::new();
        for AddressedResponse { node, response: answer } in answers {
            by_node.entry(node).or_default().push(answer);
        }
        for (node, answers) in by_node {
            match node == self.settings.node {
                true => self.answered(now, &node, answers),
                false => {
                    let holder = self.settings.node.clone();
                    self.send(&node, &Datagram::AdmissionResponses { holder, responses: answers });
                }
            }
        }
    }

    /// Whether this node follows the store for the others of its zone.
    pub fn is_reader(&self, now: Time) -> bool {
        let own = ReaderCandidate {
            node: self.settings.node.clone(),
            capacity: (self.settings.capacity * 1_000.0) as u32,
        };
        let others = self.peers().reader_candidates(now, &self.settings.zone);
        readers::is_reader(&own, others.iter())
    }

    /// Hands changes of the store on to the other nodes of the zone.
    pub fn hand_on(&self, now: Time, feed: Feed) {
        let datagram = Datagram::Feed(feed);
        let targets: Vec<SocketAddr> = self
            .peers()
            .live(now)
            .filter(|peer| peer.heartbeat.zone == self.settings.zone)
            .map(|peer| peer.heartbeat.peer_address)
            .collect();
        self.outgoing.send_all(&targets, &datagram);
    }

    fn send(&self, node: &Name, datagram: &Datagram) {
        let address = self.peers().address(node.as_str());
        let address = address.or_else(|| self.members().get(node).copied());
        match address {
            Some(address) => self.outgoing.send(address, datagram),
            None => tracing::debug!(event = "datagram_without_address", %node),
        }
    }

    fn deliver(&self, now: Time, decided: Vec<(JobId, DispatchDecision)>) {
        for (id, verdict) in decided {
            let tx = lock(&self.verdicts).remove(&id);
            let undelivered = match tx {
                Some(tx) => tx.send(verdict).err(),
                None => Some(verdict),
            };
            if let Some(DispatchDecision::Send { .. }) = undelivered {
                // The caller left between the verdict and now; nothing was sent.
                self.dispatcher().record_outcome(now, id, SendOutcome::CallerLeft);
            }
        }
    }
}

/// Request that waits for its verdict; dropping it withdraws the request.
pub struct PendingJob {
    shared: Arc<Shared>,
    id: JobId,
    rx: oneshot::Receiver<DispatchDecision>,
}

impl PendingJob {
    /// Waits for the verdict; `None` if the node stops.
    pub async fn verdict(&mut self) -> Option<DispatchDecision> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for PendingJob {
    fn drop(&mut self) {
        let waiting = lock(&self.shared.verdicts).remove(&self.id).is_some();
        match self.rx.try_recv() {
            _ if waiting => {
                self.shared.dispatcher().cancel(self.id);
                self.shared.flush(clock::now());
            }
            // The caller left before it could act on the verdict; nothing was sent.
            Ok(DispatchDecision::Send { .. }) => {
                self.shared.dispatcher().record_outcome(
                    clock::now(),
                    self.id,
                    SendOutcome::CallerLeft,
                );
            }
            Ok(DispatchDecision::Reject { .. }) | Err(_) => {}
        }
    }
}
