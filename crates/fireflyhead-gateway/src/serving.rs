//! Whether this node serves callers, and how much of its capacity it uses.
//!
//! A node serves callers while it is among those to which they are directed
//! ([`fireflyhead_policy::serving`]), or receives more than single requests, such as checks of the
//! configuration. Other nodes are sent less, see [`heartbeats`](crate::heartbeats); they decide on
//! single requests with older figures.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fireflyhead_policy::Time;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::serving;
use fireflyhead_policy::serving::Host;
use fireflyhead_policy::serving::HostLoad;
use tokio::runtime::Handle;

use crate::clock;
use crate::state::Shared;

/// Number of requests within [`REQUEST_PERIOD`] from which a node serves callers, whether or not
/// they are directed to it.
const MIN_REQUESTS: usize = 10;
/// See [`MIN_REQUESTS`].
const REQUEST_PERIOD: Duration = Duration::from_secs(1);
/// Time without so many requests after which a node no longer serves callers.
const REQUEST_LINGER: Duration = Duration::from_secs(5);
/// Shortest time over which the utilisation is measured.
const MEASURING_TIME: Duration = Duration::from_secs(1);
/// Weight of the newest measurement in the moving averages.
const LOAD_ALPHA: f64 = 0.5;

/// State at the start of a measurement.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    at: Time,
    /// Processing time of the runtime since the start of the process.
    busy: Duration,
    request_count: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Times of the last [`MIN_REQUESTS`] requests.
    requests: VecDeque<Time>,
    /// Time at which there were last so many requests.
    busy_at: Option<Time>,
    /// Whether callers are directed to this node.
    selected: bool,
    serving: bool,
    utilisation: f64,
    requests_per_s: f64,
    /// Number of requests since the start of the process.
    request_count: u64,
    measured_from: Option<Measurement>,
}

/// Records requests and utilisation of this node.
#[derive(Debug, Default)]
pub struct ServingState {
    state: Mutex<State>,
}

impl ServingState {
    /// Returns whether the node serves callers.
    pub fn is_serving(&self) -> bool {
        self.lock().serving
    }

    /// Returns the recent load of the node.
    pub fn load(&self) -> HostLoad {
        let state = self.lock();
        // Rounded up, so that a node with any request reports a rate.
        HostLoad {
            utilisation_permille: (state.utilisation * 1_000.0) as u32,
            requests_per_s: state.requests_per_s.ceil() as u32,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records a request of a caller. The other nodes are told at once if the node begins to serve.
pub fn record_request(shared: &Shared) {
    let now = clock::now();
    let mut state = shared.serving.lock();
    state.request_count += 1;
    state.requests.push_back(now);
    if state.requests.len() > MIN_REQUESTS {
        state.requests.pop_front();
    }
    let oldest = state.requests.front().copied().unwrap_or(now);
    if state.requests.len() < MIN_REQUESTS || now.since(oldest) > REQUEST_PERIOD {
        return;
    }
    state.busy_at = Some(now);
    drop(state);
    update_serving(shared, now);
}

/// Measures the load and checks whether callers are directed to this node.
pub fn check(shared: &Shared) {
    let now = clock::now();
    measure_load(&shared.serving, now);
    let selected = is_selected(shared, now);
    shared.serving.lock().selected = selected;
    update_serving(shared, now);
}

fn update_serving(shared: &Shared, now: Time) {
    let mut state = shared.serving.lock();
    let is_busy = state.busy_at.is_some_and(|at| now.since(at) < REQUEST_LINGER);
    let serving = state.selected || is_busy;
    let changed = std::mem::replace(&mut state.serving, serving) != serving;
    let selected = state.selected;
    drop(state);
    if changed {
        tracing::info!(event = "serving", serving, selected);
        shared.peers().set_serving(now, serving);
        shared.announce();
    }
}

fn measure_load(serving: &ServingState, now: Time) {
    let metrics = Handle::current().metrics();
    let workers = metrics.num_workers();
    let busy: Duration = (0..workers).map(|n| metrics.worker_total_busy_duration(n)).sum();
    let mut state = serving.lock();
    let next = Measurement { at: now, busy, request_count: state.request_count };
    let Some(start) = state.measured_from else {
        state.measured_from = Some(next);
        return;
    };
    let elapsed = now.since(start.at);
    if elapsed < MEASURING_TIME {
        return;
    }
    state.measured_from = Some(next);
    let available = elapsed.as_secs_f64() * workers as f64;
    let used = next.busy.saturating_sub(start.busy).as_secs_f64();
    state.utilisation += LOAD_ALPHA * ((used / available).min(1.0) - state.utilisation);
    let requests = (next.request_count - start.request_count) as f64;
    state.requests_per_s += LOAD_ALPHA * (requests / elapsed.as_secs_f64() - state.requests_per_s);
}

/// Returns whether callers of this node's zone are directed to it.
fn is_selected(shared: &Shared, now: Time) -> bool {
    if shared.node_state() != NodeState::Ready {
        return false;
    }
    let zone = &shared.settings.zone;
    let mut hosts: Vec<Host> = shared
        .peers()
        .ready(now)
        .map(|peer| &peer.heartbeat)
        .filter(|heartbeat| heartbeat.zone == *zone)
        .map(host)
        .collect();
    hosts.push(own_host(shared));
    let selected = serving::select(&mut hosts);
    hosts[..selected].iter().any(|host| host.node == shared.settings.node)
}

/// Returns the host of the node that sent `heartbeat`.
pub(crate) fn host(heartbeat: &Heartbeat) -> Host {
    let load = heartbeat.activity.map(|activity| HostLoad {
        utilisation_permille: activity.utilisation_permille,
        requests_per_s: activity.requests_per_s,
    });
    Host { node: heartbeat.node.clone(), capacity: heartbeat.capacity, load }
}

/// Returns the host of this node.
pub(crate) fn own_host(shared: &Shared) -> Host {
    let capacity = (shared.settings.capacity * 1_000.0) as u32;
    Host { node: shared.settings.node.clone(), capacity, load: Some(shared.serving.load()) }
}
