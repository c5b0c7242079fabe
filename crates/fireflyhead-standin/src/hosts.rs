//! Stand-in for the platform's host list: `GET /hosts`, showing an older state by a lag.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::faults::Switches;
use crate::faults::lock;
use crate::faults::state_routes;
use crate::net::Connections;
use crate::net::Server;
use crate::net::serve;

/// Kind of a host's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostKind {
    /// Node of the serving layer.
    Node,
    /// Model engine.
    Engine,
    /// Plain service instance.
    Service,
}

/// State of a host as the platform shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// Entry of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Host {
    /// Name, unique in the list.
    pub name: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Service that it belongs to.
    pub service: String,
    /// Kind.
    pub kind: HostKind,
    /// State.
    pub state: HostState,
    /// Adapter slots; 0 if not an engine.
    #[serde(default)]
    pub slots: usize,
    /// Whether it rejects orders with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Id of the process's start.
    #[serde(default)]
    pub boot_id: String,
}

/// Fault switches of a host list.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Age of the state shown, in milliseconds.
    pub lag_ms: u64,
    /// Answer every read with status 503.
    pub down: bool,
}

/// What a host list counted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostListCounters {
    /// Reads of the list.
    pub reads: u64,
}

type Snapshot = BTreeMap<String, Host>;

struct List {
    switches: Switches<HostListFaults>,
    /// Earlier states with the time at which each began, the newest last.
    history: Mutex<VecDeque<(Instant, Snapshot)>>,
    counters: Mutex<HostListCounters>,
}

/// Older states kept, which bounds how long a lag can be shown under many changes.
const MAX_HISTORY: usize = 4_096;

impl List {
    fn change(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut history = lock(&self.history);
        let mut next = history.back().map(|(_, hosts)| hosts.clone()).unwrap_or_default();
        change(&mut next);
        history.push_back((Instant::now(), next));
        if history.len() > MAX_HISTORY {
            history.pop_front();
        }
    }

    /// State in force `lag` ago; empty if there was none yet.
    fn shown(&self, lag: Duration) -> Vec<Host> {
        let now = Instant::now();
        let history = lock(&self.history);
        let visible = history.iter().rev().find(|(since, _)| now.duration_since(*since) >= lag);
        visible.map(|(_, hosts)| hosts.values().cloned().collect()).unwrap_or_default()
    }
}

/// Handle of a running host list.
#[derive(Clone)]
pub struct HostList {
    server: Arc<Server>,
    list: Arc<List>,
}

/// Starts a host list with the entries `hosts`, on loopback `port` (0 for a free one).
///
/// # Errors
/// The port can't be bound.
pub async fn start(port: u16, hosts: Vec<Host>) -> io::Result<HostList> {
    let list = Arc::new(List {
        switches: Switches::new(1),
        history: Mutex::default(),
        counters: Mutex::default(),
    });
    list.change(|all| all.extend(hosts.into_iter().map(|host| (host.name.clone(), host))));
    let app = Router::new()
        .route("/hosts", get(read).post(add))
        .route("/hosts/{name}", delete(remove))
        .route("/hosts/{name}/leave", post(leave))
        .with_state(list.clone())
        .merge(state_routes(
            &list,
            |s| s.switches.get(),
            |s, faults| s.switches.set(faults),
            |s| lock(&s.counters).clone(),
        ));
    let server = Arc::new(serve(app, port, Connections::new()).await?);
    Ok(HostList { server, list })
}

impl HostList {
    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/hosts", self.server.address)
    }

    /// Adds or replaces a host.
    pub fn add(&self, host: Host) {
        self.list.change(|all| {
            all.insert(host.name.clone(), host);
        });
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        self.list.change(|all| {
            all.remove(name);
        });
    }

    /// Sets the state of a host.
    pub fn set_state(&self, name: &str, state: HostState) {
        self.list.change(|all| {
            if let Some(host) = all.get_mut(name) {
                host.state = state;
            }
        });
    }

    /// Counters now.
    pub fn counters(&self) -> HostListCounters {
        lock(&self.list.counters).clone()
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, faults: HostListFaults) {
        self.list.switches.set(faults);
    }
}

async fn read(State(list): State<Arc<List>>) -> Result<Json<Vec<Host>>, StatusCode> {
    lock(&list.counters).reads += 1;
    let faults = list.switches.get();
    match faults.down {
        true => Err(StatusCode::SERVICE_UNAVAILABLE),
        false => Ok(Json(list.shown(Duration::from_millis(faults.lag_ms)))),
    }
}

async fn add(State(list): State<Arc<List>>, Json(host): Json<Host>) {
    list.change(|all| {
        all.insert(host.name.clone(), host);
    });
}

async fn remove(State(list): State<Arc<List>>, Path(name): Path<String>) {
    list.change(|all| {
        all.remove(&name);
    });
}

async fn leave(State(list): State<Arc<List>>, Path(name): Path<String>) {
    list.change(|all| {
        if let Some(host) = all.get_mut(&name) {
            host.state = HostState::Leaving;
        }
    });
}
