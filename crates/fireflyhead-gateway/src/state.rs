//! State shared by the tasks of a node.

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
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::admission::AddressedResponse;
use fireflyhead_policy::admission::AdmissionController;
use fireflyhead_policy::authentication::ConfigView;
use fireflyhead_policy::budget::RetryBudget;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::dispatch::UnresponsiveHolder;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::fleet::Fleet;
use fireflyhead_policy::limits::RouteLimits;
use fireflyhead_policy::message::AdmissionDecision;
use fireflyhead_policy::message::AdmissionResponse;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::ERA_PROTOCOL;
use fireflyhead_policy::message::EngineModel;
use fireflyhead_policy::message::HolderMessage;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::message::PACE_PROTOCOL;
use fireflyhead_policy::message::Placement;
use fireflyhead_policy::peers::Peers;
use fireflyhead_policy::protocol::LoadReport;
use fireflyhead_policy::protocol::ModelRef;
use fireflyhead_policy::protocol::PlatformProtocol;
use fireflyhead_policy::readers;
use fireflyhead_policy::readers::Feed;
use fireflyhead_policy::readers::ReaderCandidate;
use fireflyhead_policy::service_times::ServiceTimes;
use fireflyhead_policy::serving;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock;
use crate::config_exchange::ConfigExchangeState;
use crate::datagram_sender::DatagramSender;
use crate::feed_queue::FeedQueue;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Phase;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::protocol_versions::ProtocolVersions;
use crate::quarantine::QuarantineState;
use crate::quota::QuotaState;
use crate::request_limits;
use crate::request_memory::RequestMemory;
use crate::response_memory::ResponseMemory;
use crate::serving::ServingState;
use crate::settings::GatewaySettings;

/// Number of low bits of a job id that count requests; the bits above hold the start time of the
/// process in milliseconds. Ids stay unique across a restart as long as a process takes fewer
/// than 2^16 requests per millisecond on average.
const JOB_ID_SEQUENCE_BITS: u32 = 16;

/// Part of the memory of the process, as its divisor, that responses may take which are held back.
const RESPONSE_MEMORY_DIVISOR: usize = 8;

/// Part of the memory of the process, as its divisor, that the bodies of requests may take.
const REQUEST_MEMORY_DIVISOR: usize = 8;

/// Shared state of a node. A lock is held for a single decision and never across an `await`.
pub struct Shared {
    /// Settings with which the node was started, with the addresses that were bound.
    pub settings: GatewaySettings,
    /// Start of the process in milliseconds of Unix time.
    pub incarnation: u64,
    /// Format of the platform's headers, paths and bodies.
    pub protocol: Arc<dyn PlatformProtocol>,
    /// Counters, gauges and histograms.
    pub metrics: Arc<Metrics>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Store changes received from other nodes and not applied yet.
    pub feed_queue: FeedQueue,
    /// Protocol versions of the other nodes.
    pub protocol_versions: ProtocolVersions,
    /// Evidence on prompt parts that crash engines.
    pub quarantine: QuarantineState,
    /// Quotas of client accounts.
    pub quota: QuotaState,
    /// Memory of the responses that are held back.
    pub response_memory: Arc<ResponseMemory>,
    /// Memory of the bodies of requests.
    pub request_memory: Arc<RequestMemory>,
    /// Exchange of the configuration with the other nodes.
    pub config_exchange: ConfigExchangeState,
    /// Whether this node serves callers.
    pub serving: ServingState,
    /// Wakes the heartbeat task: it sends the heartbeats that are due.
    pub heartbeat_now: Notify,
    /// Wakes the heartbeat task, which also decides on the waiting requests.
    pub dispatch_now: Notify,
    /// Whether placements have changed since the last heartbeat.
    placements_changed: AtomicBool,
    /// Whether a process of another node has begun to send heartbeats since the last one to nodes that
    /// don't serve callers.
    has_new_peer: AtomicBool,
    /// Whether all nodes are to be sent a heartbeat.
    announcement_due: AtomicBool,
    /// Phase of the node.
    pub lifecycle: Lifecycle,
    /// Version of the configuration in effect, for tasks that wait for its changes; 0 before the
    /// first one.
    config_changes: watch::Sender<u64>,
    /// What the node knows of the age of its configuration.
    pub(crate) config_view: Mutex<ConfigView>,
    config: Mutex<Option<Arc<Config>>>,
    fleet: Mutex<Fleet>,
    dispatcher: Mutex<Dispatcher>,
    admission: Mutex<AdmissionController>,
    datagrams: DatagramSender,
    budget: Mutex<RetryBudget>,
    limits: Mutex<RouteLimits>,
    service_times: Mutex<ServiceTimes>,
    peers: Mutex<Peers>,
    placements: Mutex<Vec<Placement>>,
    members: Mutex<HashMap<Name, SocketAddr>>,
    pending_decisions: Mutex<HashMap<JobId, oneshot::Sender<DispatchDecision>>>,
    adapter_loads_in_progress: AtomicUsize,
    /// Interval of the engine controller's ticks, in milliseconds.
    controller_interval_ms: AtomicU64,
    next_job_id: AtomicU64,
    open_requests: AtomicUsize,
    open_connections: AtomicUsize,
}

/// Locks `mutex` and ignores poisoning: the values stay usable after a panic of another task.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Creates the state of a node without configuration, upstreams and peers.
    pub fn new(
        settings: GatewaySettings,
        protocol: Arc<dyn PlatformProtocol>,
        metrics: Arc<Metrics>,
        dispatcher: Dispatcher,
        budget: RetryBudget,
    ) -> Shared {
        let fleet = Fleet::new(settings.upstream_heartbeat);
        let response_memory =
            Arc::new(ResponseMemory::new(settings.memory / RESPONSE_MEMORY_DIVISOR));
        let request_memory = Arc::new(RequestMemory::new(settings.memory / REQUEST_MEMORY_DIVISOR));
        let config_exchange = ConfigExchangeState::new(settings.node.clone());
        let incarnation = clock::unix_millis();
        let quota = QuotaState::new(&settings, incarnation);
        Shared {
            settings,
            config_exchange,
            incarnation,
            protocol,
            metrics,
            pool: Pool::default(),
            feed_queue: FeedQueue::default(),
            protocol_versions: ProtocolVersions::default(),
            quarantine: QuarantineState::default(),
            quota,
            response_memory,
            request_memory,
            serving: ServingState::default(),
            heartbeat_now: Notify::new(),
            dispatch_now: Notify::new(),
            placements_changed: AtomicBool::new(false),
            has_new_peer: AtomicBool::new(false),
            announcement_due: AtomicBool::new(true),
            lifecycle: Lifecycle::default(),
            config_changes: watch::Sender::new(0),
            config_view: Mutex::new(ConfigView::default()),
            config: Mutex::new(None),
            fleet: Mutex::new(fleet),
            dispatcher: Mutex::new(dispatcher),
            admission: Mutex::new(AdmissionController::default()),
            datagrams: DatagramSender::default(),
            budget: Mutex::new(budget),
            limits: Mutex::new(RouteLimits::default()),
            service_times: Mutex::new(ServiceTimes::default()),
            peers: Mutex::new(Peers::default()),
            placements: Mutex::new(Vec::new()),
            members: Mutex::new(HashMap::new()),
            pending_decisions: Mutex::new(HashMap::new()),
            adapter_loads_in_progress: AtomicUsize::new(0),
            controller_interval_ms: AtomicU64::new(0),
            // Holders identify a request by node and job id, so an id must not recur after a
            // restart.
            next_job_id: AtomicU64::new(clock::unix_millis() << JOB_ID_SEQUENCE_BITS),
            open_requests: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
        }
    }

    /// Returns the configuration in effect; `None` before the first one has been read.
    pub fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config).clone()
    }

    /// Puts a configuration into effect. Returns `false`, without a change, if its version is not
    /// newer than the current one.
    pub fn set_config(&self, config: Config) -> bool {
        let mut current = lock(&self.config);
        if current.as_ref().is_some_and(|current| current.version >= config.version) {
            return false;
        }
        let version = config.version;
        *current = Some(Arc::new(config));
        drop(current);
        self.config_changes.send_replace(version);
        true
    }

    /// Returns a receiver that is notified of each change of the configuration.
    pub(crate) fn config_changes(&self) -> watch::Receiver<u64> {
        self.config_changes.subscribe()
    }

    /// Locks the upstreams that the store lists.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Records that the store has replied to this node, or to one that forwards its changes.
    pub(crate) fn record_store_reply(&self, now: Time) {
        if let Some(pause) = self.fleet().record_store_reply(now) {
            tracing::warn!(event = "store_outage_ended", ms = pause.as_millis() as u64);
        }
    }

    /// Locks the dispatcher, which selects the upstreams of this node's requests.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    /// Locks the admission control of the engines that this node owns.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        lock(&self.admission)
    }

    /// Returns the sender of datagrams to other nodes.
    pub fn datagrams(&self) -> &DatagramSender {
        &self.datagrams
    }

    /// Locks the retry budget.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Locks the rate and concurrency limits of the routes.
    pub fn limits(&self) -> MutexGuard<'_, RouteLimits> {
        lock(&self.limits)
    }

    /// Locks the recent service times of the routes.
    pub(crate) fn service_times(&self) -> MutexGuard<'_, ServiceTimes> {
        lock(&self.service_times)
    }

    /// Locks the state of the other nodes, as received in their heartbeats.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Locks the adapter placements at the engines that this node owns.
    pub fn placements(&self) -> MutexGuard<'_, Vec<Placement>> {
        lock(&self.placements)
    }

    /// Locks the peer addresses of the nodes that the store lists.
    pub fn members(&self) -> MutexGuard<'_, HashMap<Name, SocketAddr>> {
        lock(&self.members)
    }

    /// Sets the number of loads from the adapter store in progress that this node ordered.
    pub fn set_adapter_loads_in_progress(&self, loads: usize) {
        self.adapter_loads_in_progress.store(loads, Ordering::Relaxed);
    }

    /// Returns the number of loads from the adapter store in progress that this node ordered.
    pub fn adapter_loads_in_progress(&self) -> usize {
        self.adapter_loads_in_progress.load(Ordering::Relaxed)
    }

    /// Sets the interval of the engine controller's ticks.
    pub(crate) fn set_controller_interval(&self, interval: Duration) {
        let ms = u64::try_from(interval.as_millis()).unwrap_or(u64::MAX);
        self.controller_interval_ms.store(ms, Ordering::Relaxed);
    }

    /// Returns the interval of the engine controller's ticks.
    pub(crate) fn controller_interval(&self) -> Duration {
        Duration::from_millis(self.controller_interval_ms.load(Ordering::Relaxed).max(1))
    }

    /// Returns an unused job id.
    pub fn new_job_id(&self) -> JobId {
        JobId(self.next_job_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the outcome of a request that is dropped before its response is complete: its
    /// caller has disconnected, or the node has stopped.
    pub(crate) fn abandoned_outcome(&self) -> &'static str {
        match self.lifecycle.phase() {
            Phase::Ended => "interrupted",
            Phase::Serving | Phase::Draining | Phase::Closing => "caller_left",
        }
    }

    /// Returns the state of the node as reported to callers and to other nodes.
    pub fn node_state(&self) -> NodeState {
        match (self.lifecycle.phase(), lock(&self.config).is_some()) {
            (Phase::Draining | Phase::Closing | Phase::Ended, _) => NodeState::Leaving,
            (Phase::Serving, true) => NodeState::Ready,
            (Phase::Serving, false) => NodeState::Starting,
        }
    }

    /// Returns the counter of requests whose response is not known yet or is being streamed.
    pub fn open_requests(&self) -> &AtomicUsize {
        &self.open_requests
    }

    /// Returns the counter of open connections of callers.
    pub fn open_connections(&self) -> &AtomicUsize {
        &self.open_connections
    }

    /// Returns how many nodes like this one share upstreams, rates and the retry budget: the live
    /// nodes, this one included, weighted by whether they serve callers.
    pub fn node_count(&self, now: Time) -> usize {
        let own_serving = self.serving.is_serving();
        let peers = self.peers();
        let (mut serving, mut idle) = (usize::from(own_serving), usize::from(!own_serving));
        for peer in peers.live(now) {
            match peer.heartbeat.is_serving() {
                true => serving += 1,
                false => idle += 1,
            }
        }
        serving::equivalent_nodes(own_serving, serving, idle)
    }

    /// Makes the heartbeat task send the placements to the nodes that serve callers.
    pub(crate) fn send_placements(&self) {
        self.placements_changed.store(true, Ordering::Relaxed);
        self.heartbeat_now.notify_one();
    }

    /// Makes the heartbeat task send the state of this node to all nodes.
    pub(crate) fn announce(&self) {
        self.announcement_due.store(true, Ordering::Relaxed);
        self.heartbeat_now.notify_one();
    }

    /// Returns whether placements have changed since the last call.
    pub(crate) fn take_placements_changed(&self) -> bool {
        self.placements_changed.swap(false, Ordering::Relaxed)
    }

    /// Records that a process of another node has begun to send heartbeats.
    pub(crate) fn note_new_peer(&self) {
        self.has_new_peer.store(true, Ordering::Relaxed);
    }

    /// Returns whether such a process has begun to since the last call.
    pub(crate) fn take_new_peer(&self) -> bool {
        self.has_new_peer.swap(false, Ordering::Relaxed)
    }

    /// Returns whether all nodes are to be sent a heartbeat, and resets that.
    pub(crate) fn take_announcement_due(&self) -> bool {
        self.announcement_due.swap(false, Ordering::Relaxed)
    }

    /// Submits a request to the dispatcher. The result resolves to the decision.
    pub fn submit(self: &Arc<Shared>, now: Time, job: Job) -> PendingJob {
        let id = job.id;
        let (tx, rx) = oneshot::channel();
        let mut dispatcher = self.dispatcher();
        if job.tried.is_empty()
            && dispatcher.is_under_pressure(job.service.as_str())
            && let Some(ModelRef { model, adapter: Some(adapter) }) = &job.model
        {
            let presence = dispatcher.adapter_presence(model, adapter, None);
            self.metrics.record_adapter_lookup(presence.code());
        }
        let decision = dispatcher.submit(now, job);
        drop(dispatcher);
        match decision {
            Some(decision) => {
                // Can't fail: the receiver `rx` is still open.
                let _sent = tx.send(decision);
            }
            None => {
                lock(&self.pending_decisions).insert(id, tx);
                self.dispatch_now.notify_one();
            }
        }
        self.send_holder_messages(now);
        PendingJob { shared: Arc::clone(self), id, rx }
    }

    /// Decides on the waiting requests, of this node and of other nodes at its engines, and
    /// delivers the decisions.
    pub fn dispatch_waiting(&self, now: Time) {
        let mut dispatcher = self.dispatcher();
        let decided = dispatcher.dispatch_waiting(now);
        let unresponsive = dispatcher.take_unresponsive_holders();
        drop(dispatcher);
        for UnresponsiveHolder { upstream, holder } in unresponsive {
            tracing::warn!(event = "holder_silent", %upstream, %holder);
        }
        self.deliver_decisions(now, decided);
        let responses = self.admission().admit_waiting(now);
        self.send_admission_responses(now, responses);
        self.send_holder_messages(now);
    }

    /// Records the load that an upstream reported with a response.
    pub(crate) fn record_load_report(&self, now: Time, upstream: &Name, load: LoadReport) {
        self.dispatcher().record_load_report(now, upstream.as_str(), load);
    }

    /// Applies the speeds of engines that a holder knows.
    pub(crate) fn apply_engine_models(&self, now: Time, models: &[EngineModel]) {
        for model in models {
            let valid = self.dispatcher().apply_engine_model(now, model);
            if !valid {
                tracing::warn!(event = "bad_engine_model", ?model);
            }
        }
    }

    /// Tells the nodes that serve callers, this one included, which engines of this node have changed
    /// their speed.
    pub(crate) fn send_engine_models(&self, now: Time) {
        let models = self.admission().take_changed_models(now);
        if models.is_empty() {
            return;
        }
        self.metrics.record_engine_models(models.len());
        self.apply_engine_models(now, &models);
        let targets: Vec<SocketAddr> = self
            .peers()
            .live(now)
            .map(|peer| &peer.heartbeat)
            .filter(|heartbeat| heartbeat.is_serving())
            .filter(|heartbeat| self.protocol_versions.understands(heartbeat, PACE_PROTOCOL))
            .map(|heartbeat| heartbeat.peer_address)
            .collect();
        self.datagrams.send_all(&targets, &Datagram::EngineModels(models));
    }

    /// Returns whether `node` announced at least protocol version `version`.
    pub(crate) fn node_understands(&self, node: &Name, version: u32) -> bool {
        let peers = self.peers();
        let heartbeat = peers.all().map(|peer| &peer.heartbeat).find(|beat| beat.node == *node);
        heartbeat.is_some_and(|heartbeat| self.protocol_versions.understands(heartbeat, version))
    }

    /// Replaces the messages that `holder` doesn't understand because it is of an earlier build.
    fn adapt_messages(&self, holder: &Name, messages: Vec<HolderMessage>) -> Vec<HolderMessage> {
        let current = !messages.iter().any(HolderMessage::needs_pace_protocol)
            || self.node_understands(holder, PACE_PROTOCOL);
        match current {
            true => messages,
            false => messages.into_iter().filter_map(HolderMessage::for_earlier_build).collect(),
        }
    }

    /// Returns whether requests wait in this node, or at the engines that it owns.
    pub(crate) fn has_waiting(&self) -> bool {
        self.dispatcher().has_waiting() || self.admission().waiting() > 0
    }

    /// Rejects the requests that wait in this node and were not sent before, and from now on each
    /// new one.
    pub fn stop_dispatching(&self, now: Time) {
        let rejected = self.dispatcher().stop();
        self.deliver_decisions(now, rejected);
        self.send_holder_messages(now);
    }

    /// Handles messages that `node` sent to this node as the holder of engines.
    pub fn handle_holder_messages(&self, now: Time, node: &Name, messages: Vec<HolderMessage>) {
        let mut responses = Vec::new();
        self.coordinate_limited(now, &messages);
        let mut admission = self.admission();
        for message in messages {
            match message {
                HolderMessage::AdmissionRequest(request) => {
                    responses.push(admission.handle_request(now, node, &request))
                }
                HolderMessage::ProgressReport(report) => {
                    admission.handle_progress(now, node, &report)
                }
            }
        }
        responses.extend(admission.admit_waiting(now));
        if admission.waiting() > 0 {
            self.dispatch_now.notify_one();
        }
        drop(admission);
        self.send_admission_responses(now, responses);
    }

    /// Makes this node admit requests to the limited upstreams that other nodes ask it for.
    fn coordinate_limited(&self, now: Time, messages: &[HolderMessage]) {
        if !self.dispatcher().has_request_limits() {
            return;
        }
        for message in messages {
            let HolderMessage::AdmissionRequest(request) = message else { continue };
            let limited = self.dispatcher().limited_upstream(request.upstream.as_str());
            if let Some(limited) = limited {
                self.admission().coordinate(now, &limited);
            }
        }
    }

    /// Handles the responses of `holder` to admission requests of this node.
    pub fn handle_admission_responses(
        &self,
        now: Time,
        holder: &Name,
        responses: Vec<AdmissionResponse>,
    ) {
        let mut dispatcher = self.dispatcher();
        let unaware: Vec<Name> = responses
            .iter()
            .filter(|response| response.decision == AdmissionDecision::NotHolder)
            .map(|response| response.load.upstream.clone())
            .filter(|upstream| dispatcher.request_limit(upstream.as_str()).is_some())
            .collect();
        let decided = responses
            .into_iter()
            .filter_map(|response| dispatcher.handle_admission_response(now, holder, response))
            .collect();
        drop(dispatcher);
        unaware.iter().for_each(|upstream| request_limits::inform(self, upstream, holder));
        self.deliver_decisions(now, decided);
    }

    /// Sends the queued messages of the dispatcher to the holders of engines. Handling those to
    /// this node itself may queue further ones, hence the loop.
    pub fn send_holder_messages(&self, now: Time) {
        loop {
            let messages = self.dispatcher().take_holder_messages();
            if messages.is_empty() {
                return;
            }
            let mut by_holder: HashMap<Name, Vec<HolderMessage>> = HashMap::new();
            for (holder, message) in messages {
                by_holder.entry(holder).or_default().push(message);
            }
            for (holder, messages) in by_holder {
                let node = self.settings.node.clone();
                match holder == node {
                    true => self.handle_holder_messages(now, &node, messages),
                    false => {
                        let messages = self.adapt_messages(&holder, messages);
                        if !messages.is_empty() {
                            let datagram = Datagram::HolderMessages { node, messages };
                            self.send_to_node(&holder, &datagram);
                        }
                    }
                }
            }
        }
    }

    /// Sends responses to the nodes that requested admission.
    fn send_admission_responses(&self, now: Time, responses: Vec<AddressedResponse>) {
        let mut by_node: HashMap<Name, Vec<AdmissionResponse>> = HashMap::new();
        for AddressedResponse { node, response } in responses {
            by_node.entry(node).or_default().push(response);
        }
        for (node, responses) in by_node {
            match node == self.settings.node {
                true => self.handle_admission_responses(now, &node, responses),
                false => {
                    let holder = self.settings.node.clone();
                    self.send_to_node(&node, &Datagram::AdmissionResponses { holder, responses });
                }
            }
        }
    }

    /// Returns whether this node watches the store on behalf of the other nodes of its zone.
    pub fn is_reader(&self, now: Time) -> bool {
        let own = ReaderCandidate {
            node: self.settings.node.clone(),
            capacity: (self.settings.capacity * 1_000.0) as u32,
        };
        let others = self.peers().reader_candidates(now, &self.settings.zone);
        readers::is_reader(&own, others.iter())
    }

    /// Returns the other live nodes that announced at least protocol version `version`. Earlier
    /// builds log an error for a message that they don't understand.
    pub(crate) fn peers_with_protocol(&self, now: Time, version: u32) -> Vec<(Name, SocketAddr)> {
        let peers = self.peers();
        peers
            .live(now)
            .map(|peer| &peer.heartbeat)
            .filter(|heartbeat| self.protocol_versions.understands(heartbeat, version))
            .map(|heartbeat| (heartbeat.node.clone(), heartbeat.peer_address))
            .collect()
    }

    /// Sends store changes to the other live nodes of the zone.
    pub fn forward_feed(&self, now: Time, feed: Feed) {
        let needs_announcement = feed.era != Era::FIRST;
        let datagram = Datagram::Feed(feed);
        let targets: Vec<SocketAddr> = self
            .peers()
            .live(now)
            .map(|peer| &peer.heartbeat)
            .filter(|heartbeat| heartbeat.zone == self.settings.zone)
            .filter(|heartbeat| {
                !needs_announcement || self.protocol_versions.understands(heartbeat, ERA_PROTOCOL)
            })
            .map(|heartbeat| heartbeat.peer_address)
            .collect();
        self.datagrams.send_all(&targets, &datagram);
    }

    /// Sends a datagram to `node`, at the address from its heartbeats or else from the store.
    pub(crate) fn send_to_node(&self, node: &Name, datagram: &Datagram) {
        let address = self.peers().address(node.as_str());
        let address = address.or_else(|| self.members().get(node).copied());
        match address {
            Some(address) => self.datagrams.send(address, datagram),
            None => tracing::debug!(event = "datagram_without_address", %node),
        }
    }

    /// Delivers decisions to the requests that wait for them.
    fn deliver_decisions(&self, now: Time, decided: Vec<(JobId, DispatchDecision)>) {
        for (id, decision) in decided {
            let tx = lock(&self.pending_decisions).remove(&id);
            let undelivered = match tx {
                Some(tx) => tx.send(decision).err(),
                None => Some(decision),
            };
            if let Some(DispatchDecision::Send { .. }) = undelivered {
                // The caller disconnected before the decision was delivered; nothing was sent.
                self.dispatcher().record_outcome(now, id, SendOutcome::Abandoned);
            }
        }
    }
}

/// Submitted request; dropping it before the decision cancels the request.
pub struct PendingJob {
    shared: Arc<Shared>,
    id: JobId,
    rx: oneshot::Receiver<DispatchDecision>,
}

impl PendingJob {
    /// Waits for the decision; `None` if the node stops.
    pub async fn decision(&mut self) -> Option<DispatchDecision> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for PendingJob {
    fn drop(&mut self) {
        let undecided = lock(&self.shared.pending_decisions).remove(&self.id).is_some();
        match self.rx.try_recv() {
            _ if undecided => {
                self.shared.dispatcher().cancel(self.id);
                self.shared.send_holder_messages(clock::now());
            }
            // The caller disconnected before the request was sent to the selected upstream.
            Ok(DispatchDecision::Send { .. }) => {
                self.shared.dispatcher().record_outcome(
                    clock::now(),
                    self.id,
                    SendOutcome::Abandoned,
                );
            }
            Ok(DispatchDecision::Reject { .. }) | Err(_) => {}
        }
    }
}
