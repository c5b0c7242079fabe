//! Collects and exchanges evidence on prompt parts and requests that crash upstreams.
//!
//! The decisions are in [`fireflyhead_policy::quarantine`]. A request whose connection breaks
//! before its output makes its parts and its content suspect, but only after a connection attempt has
//! shown that no process listens at the upstream's address any more, or the upstream is listed with a
//! new start: a caller or an upstream that resets connections is no evidence.

pub mod stored;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::EVIDENCE_PROTOCOL;
use fireflyhead_policy::quarantine::Change;
use fireflyhead_policy::quarantine::CrashId;
use fireflyhead_policy::quarantine::CrashReport;
use fireflyhead_policy::quarantine::PartId;
use fireflyhead_policy::quarantine::ProbeResult;
use fireflyhead_policy::quarantine::Quarantine;
use fireflyhead_policy::quarantine::Verdict;
use fireflyhead_policy::rendezvous;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock;
use crate::forward::Framing;
use crate::pool::PROBE_DELAY;
use crate::pool::Pool;
use crate::sse::FirstEvent;
use crate::state::Shared;

use self::stored::StoredGroups;

/// Interval at which all evidence is sent to some other nodes, in case a message was lost or a node
/// has restarted.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of nodes to which all evidence is sent in each interval.
const EXCHANGE_NODES: usize = 3;
/// Time after which a connection attempt without a reply is given up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of connection attempts until one gets a reply.
const PROBE_ATTEMPTS: u32 = 3;
/// Code of the refusals in logs and metrics.
pub(crate) const QUARANTINED: &str = "quarantined";

/// Evidence and verdicts of a node.
#[derive(Debug)]
pub struct QuarantineState {
    policy: Mutex<Quarantine>,
    /// Changes with each change of the verdicts.
    verdicts: watch::Sender<()>,
    /// Makes the exchange task send before the interval has passed.
    unsent: Notify,
    /// Evidence in the store.
    stored: Mutex<StoredGroups>,
}

impl Default for QuarantineState {
    fn default() -> QuarantineState {
        QuarantineState {
            policy: Mutex::default(),
            verdicts: watch::Sender::new(()),
            unsent: Notify::new(),
            stored: Mutex::default(),
        }
    }
}

impl QuarantineState {
    /// Returns a receiver that is notified of each change of the verdicts.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.verdicts.subscribe()
    }

    /// Locks what the store holds.
    fn stored(&self) -> MutexGuard<'_, StoredGroups> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn policy(&self) -> MutexGuard<'_, Quarantine> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Changes the evidence, and makes the consequences known.
fn update<R>(shared: &Shared, change: impl FnOnce(&mut Quarantine) -> R) -> R {
    let state = &shared.quarantine;
    let mut policy = state.policy();
    let result = change(&mut policy);
    let changes = policy.take_changes();
    let quarantined: usize = policy.groups().iter().map(|group| group.parts.len()).sum();
    let has_unsent = policy.has_unsent();
    drop(policy);
    for change in &changes {
        match change {
            Change::Quarantined(parts) => {
                tracing::warn!(event = "part_quarantined", parts = list(parts));
            }
            Change::Released(parts) => tracing::info!(event = "part_released", parts = list(parts)),
        }
    }
    if !changes.is_empty() {
        shared.metrics.set_quarantined_parts(quarantined);
        state.verdicts.send_replace(());
    }
    if has_unsent {
        state.unsent.notify_one();
    }
    result
}

/// Returns the ids of parts, separated by commas, for the log.
fn list(parts: &[PartId]) -> String {
    parts.iter().map(PartId::to_string).collect::<Vec<_>>().join(",")
}

/// Returns names, separated by commas, for the log.
fn join(names: &[Name]) -> String {
    names.iter().map(Name::as_str).collect::<Vec<_>>().join(",")
}

/// Shared prompt parts of one request, and its content.
#[derive(Debug)]
pub(crate) struct RequestParts {
    /// Ids of the prompt parts, and of the content as the last one.
    ids: Arc<[PartId]>,
    /// Names of the prompt parts, in the same order.
    names: Arc<[Name]>,
    /// Whether the next send is a trial of a quarantined group.
    is_trial: AtomicBool,
}

impl RequestParts {
    pub(crate) fn new(service: &Name, names: &[Name], content: PartId) -> RequestParts {
        let prompt_parts = names.iter().map(|part| PartId::new(service.as_str(), part.as_str()));
        RequestParts {
            ids: prompt_parts.chain([content]).collect(),
            names: names.into(),
            is_trial: AtomicBool::new(false),
        }
    }

    /// Decides on the request `id`; if it is refused, returns the time after which a retry may
    /// succeed.
    pub(crate) fn check(&self, shared: &Shared, id: &Name) -> Option<Duration> {
        if self.is_trial.load(Ordering::Relaxed) {
            return None;
        }
        let now = clock::now();
        let verdict = {
            let mut policy = shared.quarantine.policy();
            policy.check(now, &self.ids, |part| is_first_in_order(shared, now, part))
        };
        match verdict {
            Verdict::Serve => None,
            Verdict::Trial => {
                self.is_trial.store(true, Ordering::Relaxed);
                tracing::info!(event = "quarantine_trial", %id, parts = join(&self.names));
                None
            }
            Verdict::Refuse { retry_after } => {
                tracing::info!(
                    event = QUARANTINED,
                    %id,
                    parts = join(&self.names),
                    hashes = list(&self.ids)
                );
                Some(retry_after)
            }
        }
    }

    /// Returns whether the request may be sent now. A trial may be sent once.
    pub(crate) fn may_send(&self, shared: &Shared) -> bool {
        self.is_trial.swap(false, Ordering::Relaxed)
            || !shared.quarantine.policy().is_refused(&self.ids)
    }
}

/// Returns whether this node ranks first among the live nodes with the same protocol for `part`.
fn is_first_in_order(shared: &Shared, now: Time, part: PartId) -> bool {
    let subject = part.to_string();
    let weight = |node: &Name| (rendezvous::weight(&subject, node.as_str()), node.clone());
    let own = weight(&shared.settings.node);
    exchange_peers(shared, now).iter().all(|(node, _)| weight(node) < own)
}

/// Observes one attempt of a request, for evidence on its prompt parts.
#[derive(Debug)]
pub(crate) struct PartObserver {
    id: Name,
    upstream: Name,
    incarnation: u64,
    ids: Arc<[PartId]>,
    names: Arc<[Name]>,
    /// Whether data was received.
    has_data: bool,
    /// Progress of the stream. An engine may crash while it sends the first event, in any number of
    /// pieces, so that the response counts as begun only after it.
    first_event: FirstEvent,
    /// Whether the response has begun or is complete.
    begun: bool,
    /// Whether the response has a length or chunks, so that its regular end is no crash.
    framed: bool,
}

impl PartObserver {
    /// Creates the observer of an attempt of the request `id` at `upstream`.
    pub(crate) fn new(id: &Name, parts: &RequestParts, upstream: &UpstreamEntry) -> PartObserver {
        PartObserver {
            id: id.clone(),
            upstream: upstream.id.clone(),
            incarnation: upstream.incarnation,
            ids: Arc::clone(&parts.ids),
            names: Arc::clone(&parts.names),
            has_data: false,
            first_event: FirstEvent::default(),
            begun: false,
            framed: false,
        }
    }

    /// Records data of a stream.
    pub(crate) fn record_data(&mut self, shared: &Shared, data: &[u8]) {
        self.has_data |= !data.is_empty();
        self.first_event.push(data);
        if self.first_event.is_passed() && !self.begun {
            self.begun = true;
            self.record_output(shared);
        }
    }

    /// Records how the end of the response is marked.
    pub(crate) fn record_framing(&mut self, framing: Framing) {
        self.framed = framing != Framing::Connection;
    }

    /// Records a complete response. Without a length or chunks, its end may be a crash.
    pub(crate) fn record_complete(&mut self, shared: &Shared) {
        if self.framed {
            self.begun = true;
            self.record_output(shared);
        }
    }

    /// Makes the observer ignore the end of the attempt: the upstream responded, but not with an
    /// answer to the request.
    pub(crate) fn ignore(&mut self) {
        self.begun = true;
    }

    /// Records the end of the attempt.
    pub(crate) fn record_end(&mut self, shared: &Arc<Shared>, outcome: SendOutcome) {
        if self.begun {
            return;
        }
        match outcome {
            SendOutcome::Served if self.has_data && self.framed => self.record_output(shared),
            // The check that the response is whole has shown that the upstream still listens.
            SendOutcome::Served if self.names.is_empty() => {}
            // A response without a length or chunks ends like this if the upstream crashes.
            SendOutcome::Served | SendOutcome::Failed(Failure::Broken) => self.record_break(shared),
            SendOutcome::Failed(_)
            | SendOutcome::Full
            | SendOutcome::AdapterAbsent
            | SendOutcome::Misdirected
            | SendOutcome::Abandoned => {}
        }
    }

    fn record_output(&self, shared: &Shared) {
        update(shared, |policy| policy.record_output(clock::now(), &self.ids));
    }

    fn record_break(&self, shared: &Arc<Shared>) {
        let Some(address) = ready_address(shared, &self.upstream, self.incarnation) else { return };
        tracing::info!(
            event = "broken_before_output",
            id = %self.id,
            upstream = %self.upstream,
            born = self.incarnation,
            parts = join(&self.names),
            hashes = list(&self.ids)
        );
        let crash = update(shared, |policy| {
            policy.record_break(clock::now(), &self.upstream, self.incarnation, &self.ids)
        });
        if let Some(crash) = crash {
            let (shared, upstream) = (Arc::clone(shared), self.upstream.clone());
            let keeps_connection = !self.names.is_empty();
            let incarnation = self.incarnation;
            let probe = probe(shared, upstream, incarnation, address, crash, keeps_connection);
            tokio::spawn(probe);
        }
    }
}

/// Returns the address of an upstream that is listed as ready with this start.
fn ready_address(shared: &Shared, upstream: &Name, incarnation: u64) -> Option<SocketAddr> {
    let fleet = shared.fleet();
    let entry = fleet.get(upstream.as_str())?;
    let is_ready = entry.state == UpstreamState::Ready && entry.incarnation == incarnation;
    is_ready.then_some(entry.address)
}

/// Finds out whether a process listens at the address of an upstream whose connection broke. Its next
/// request may use the connection if `keeps_connection`.
async fn probe(
    shared: Arc<Shared>,
    upstream: Name,
    incarnation: u64,
    address: SocketAddr,
    crash: CrashId,
    keeps_connection: bool,
) {
    let mut result = ProbeResult::NoReply;
    for _ in 0..PROBE_ATTEMPTS {
        sleep(PROBE_DELAY).await;
        result = match keeps_connection {
            true => shared.pool.probe(&upstream, address, PROBE_TIMEOUT).await,
            false => Pool::probe_and_close(address, PROBE_TIMEOUT).await,
        };
        if result != ProbeResult::NoReply {
            break;
        }
    }
    if ready_address(&shared, &upstream, incarnation).is_none() {
        // A new start of the engine has confirmed the crash already.
        update(&shared, |policy| policy.forget_upstream(upstream.as_str()));
        return;
    }
    tracing::debug!(event = "upstream_probed", %upstream, ?result);
    let confirmed = update(&shared, |policy| policy.record_probe(clock::now(), crash, result));
    log_crash(&shared, &upstream, incarnation, confirmed);
}

fn log_crash(shared: &Shared, upstream: &Name, incarnation: u64, crash: Option<CrashReport>) {
    let Some(crash) = crash else { return };
    shared.metrics.record_upstream_crash();
    tracing::warn!(
        event = "upstream_crashed",
        %upstream,
        born = incarnation,
        crash = %crash.crash,
        ms = crash.age.as_millis() as u64,
        suspects = list(&crash.suspects),
        cleared = list(&crash.cleared)
    );
}

/// Applies the entry of an upstream that was listed or changed its state or start.
pub(crate) fn handle_listed(shared: &Shared, entry: &UpstreamEntry) {
    let confirmed = update(shared, |policy| match entry.state {
        UpstreamState::Ready => {
            policy.record_start(clock::now(), entry.id.as_str(), entry.incarnation)
        }
        UpstreamState::Draining => {
            policy.forget_upstream(entry.id.as_str());
            None
        }
    });
    log_crash(shared, &entry.id, entry.incarnation, confirmed);
}

/// Applies the removal of an upstream, which is no crash.
pub(crate) fn handle_removed(shared: &Shared, upstream: &Name) {
    update(shared, |policy| policy.forget_upstream(upstream.as_str()));
}

/// Returns whether a request with these shared prompt parts is refused now, without starting a trial.
pub(crate) fn is_refused(shared: &Shared, service: &Name, parts: &[Name]) -> bool {
    let ids: Vec<PartId> =
        parts.iter().map(|part| PartId::new(service.as_str(), part.as_str())).collect();
    shared.quarantine.policy().is_refused(&ids)
}

/// Merges the evidence of another node.
pub(crate) fn handle_reports(shared: &Shared, reports: &[CrashReport]) {
    update(shared, |policy| policy.merge(clock::now(), reports));
}

/// Sends evidence to other nodes until the process ends: new crashes to all of them at once, and
/// everything to some of them at an interval.
pub async fn run_exchange(shared: Arc<Shared>) {
    let mut round: u64 = 0;
    let mut next = clock::now() + EXCHANGE_INTERVAL;
    loop {
        let wait = next.since(clock::now());
        if timeout(wait, shared.quarantine.unsent.notified()).await.is_ok() {
            let now = clock::now();
            let reports = shared.quarantine.policy().take_unsent(now);
            let targets: Vec<SocketAddr> =
                exchange_peers(&shared, now).into_iter().map(|(_, address)| address).collect();
            send(&shared, &targets, reports);
            continue;
        }
        let now = clock::now();
        next = now + EXCHANGE_INTERVAL;
        round += 1;
        update(&shared, |policy| policy.refresh(now));
        let reports = shared.quarantine.policy().reports(now);
        if reports.is_empty() {
            continue;
        }
        let subject = format!("{} {round}", shared.settings.node);
        let mut peers = exchange_peers(&shared, now);
        peers.sort_by_key(|(node, _)| rendezvous::weight(&subject, node.as_str()));
        let targets: Vec<SocketAddr> =
            peers.into_iter().take(EXCHANGE_NODES).map(|(_, address)| address).collect();
        send(&shared, &targets, reports);
    }
}

fn send(shared: &Shared, targets: &[SocketAddr], reports: Vec<CrashReport>) {
    if !reports.is_empty() {
        shared.datagrams().send_all(targets, &Datagram::CrashReports(reports));
    }
}

/// Returns the live nodes that understand evidence.
fn exchange_peers(shared: &Shared, now: Time) -> Vec<(Name, SocketAddr)> {
    shared.peers_with_protocol(now, EVIDENCE_PROTOCOL)
}
