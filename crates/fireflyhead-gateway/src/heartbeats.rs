//! Heartbeats and other datagrams between nodes.
//!
//! Every node sends its whole state to every other node: often within its zone, and less often to
//! other zones, because traffic between zones is charged. The intervals grow with the number of
//! nodes, which bounds the number of datagrams that a node sends. When the placement of adapters
//! changes, a heartbeat is sent to all nodes immediately. Slots at engines are requested from the
//! holders of the engines, so that admission doesn't depend on the age of a heartbeat.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::message::AdapterRequest;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;
use kameo::actor::ActorRef;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock;
use crate::datagram_sender::MAX_DATAGRAM_BYTES;
use crate::departures;
use crate::engine_controller::ControllerMsg;
use crate::engine_controller::EngineController;
use crate::quarantine;
use crate::state::Shared;

/// Shortest interval of heartbeats within the zone. It determines the age of the load figures of
/// plain upstreams and of those used to choose among replicas.
const SAME_ZONE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval per node of the zone, which limits a node to 100 datagrams per second.
const SAME_ZONE_INTERVAL_PER_NODE: Duration = Duration::from_millis(10);
/// Shortest interval of heartbeats to other zones.
const OTHER_ZONES_INTERVAL: Duration = Duration::from_millis(150);
/// Interval per node of other zones, which limits a node to 125 datagrams per second.
const OTHER_ZONES_INTERVAL_PER_NODE: Duration = Duration::from_millis(8);
/// One heartbeat in this many repeats the placements, in case the one with their last change was
/// lost.
const FULL_HEARTBEAT_EVERY: u64 = 4;
/// Interval at which due adapter requests are sent.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Sends heartbeats and adapter requests until the process ends.
pub async fn run_sender(shared: Arc<Shared>, controller: ActorRef<EngineController>) {
    let datagrams = shared.datagrams();
    let mut seq = 0;
    let mut force_full = true;
    // Numbers of heartbeats sent within the zone and to other zones.
    let (mut same_zone_sent, mut other_zones_sent) = (0_u64, 0_u64);
    let (mut next_same_zone, mut next_other_zones) = (clock::now(), clock::now());
    loop {
        let now = clock::now();
        shared.dispatch_waiting(now);
        let requests = shared.dispatcher().due_adapter_requests(now, &shared.settings.node);
        if !requests.is_empty() {
            send_adapter_requests(&shared, &controller, requests).await;
        }
        if now >= next_same_zone.min(next_other_zones) {
            let PeerTargets { same_zone, other_zones } = peer_targets(&shared);
            seq += 1;
            let heartbeat = build_heartbeat(&shared, seq);
            if now >= next_same_zone {
                let full = force_full || same_zone_sent % FULL_HEARTBEAT_EVERY == 0;
                same_zone_sent += 1;
                datagrams.send_all_waiting(&same_zone, &heartbeat_datagram(&heartbeat, full)).await;
                next_same_zone = now
                    + interval(SAME_ZONE_INTERVAL, SAME_ZONE_INTERVAL_PER_NODE, same_zone.len());
            }
            if now >= next_other_zones {
                let full = force_full || other_zones_sent % FULL_HEARTBEAT_EVERY == 0;
                other_zones_sent += 1;
                datagrams
                    .send_all_waiting(&other_zones, &heartbeat_datagram(&heartbeat, full))
                    .await;
                let interval = interval(
                    OTHER_ZONES_INTERVAL,
                    OTHER_ZONES_INTERVAL_PER_NODE,
                    other_zones.len(),
                );
                shared.peers().set_heartbeat_interval(interval);
                next_other_zones = now + interval;
            }
            force_full = false;
        }
        if timeout(ADAPTER_REQUEST_INTERVAL, shared.heartbeat_now.notified()).await.is_ok() {
            force_full = true;
            (next_same_zone, next_other_zones) = (clock::now(), clock::now());
        }
    }
}

/// Returns the datagram of a heartbeat. Unless `full`, it omits the placements and the load per
/// adapter, which seldom change.
fn heartbeat_datagram(heartbeat: &Heartbeat, full: bool) -> Datagram {
    let mut heartbeat = heartbeat.clone();
    if !full {
        heartbeat.placements = None;
        heartbeat.upstream_loads.iter_mut().for_each(|load| load.adapters.clear());
    }
    Datagram::Heartbeat(Box::new(heartbeat))
}

/// Returns the interval of heartbeats to `nodes` nodes.
fn interval(shortest: Duration, per_node: Duration, nodes: usize) -> Duration {
    shortest.max(per_node.saturating_mul(u32::try_from(nodes).unwrap_or(u32::MAX)))
}

/// Receives and handles datagrams until the process ends.
pub async fn run_receiver(
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    controller: ActorRef<EngineController>,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _)) => len,
            Err(error) => {
                tracing::warn!(event = "receive_failed", %error);
                sleep(SAME_ZONE_INTERVAL).await;
                continue;
            }
        };
        match decode_datagram(&buf[..len]) {
            Ok(Datagram::Heartbeat(heartbeat)) => handle_heartbeat(&shared, *heartbeat),
            Ok(Datagram::AdapterRequests(requests)) => {
                send_to_controller(&controller, ControllerMsg::AdapterRequests(requests)).await
            }
            Ok(Datagram::Feed(feed)) => shared.feed_queue.push(feed),
            Ok(Datagram::HolderMessages { node, messages }) => {
                shared.handle_holder_messages(clock::now(), &node, messages);
            }
            Ok(Datagram::AdmissionResponses { holder, responses }) => {
                shared.handle_admission_responses(clock::now(), &holder, responses);
            }
            Ok(Datagram::CrashReports(reports)) => quarantine::handle_reports(&shared, &reports),
            Ok(Datagram::Departures(departures)) => departures::handle_notice(&shared, &departures),
            Err(error) => tracing::warn!(event = "bad_datagram", error, len),
        }
    }
}

/// Decodes a received datagram; the error is the reason for the log.
fn decode_datagram(bytes: &[u8]) -> Result<Datagram, String> {
    let datagram: wire::Datagram = codec::decode(bytes).map_err(|e| e.to_string())?;
    Datagram::try_from(datagram).map_err(|e| e.to_string())
}

/// Clears the loads of nodes whose heartbeats have stopped, marks these nodes as inactive holders
/// of their engines, removes their requests from admission, and updates the number of live nodes.
pub fn drop_unreachable_nodes(shared: &Shared) {
    let now = clock::now();
    let unreachable = shared.peers().prune_and_list_unreachable(now);
    for node in unreachable {
        let heartbeat = shared
            .peers()
            .all()
            .find(|peer| peer.heartbeat.node == node)
            .map(|p| p.heartbeat.clone());
        let mut dispatcher = shared.dispatcher();
        dispatcher.set_peer_loads(now, &node, Vec::new());
        for mut placement in
            heartbeat.into_iter().flat_map(|heartbeat| heartbeat.placements).flatten()
        {
            placement.holder_active = false;
            dispatcher.apply_placement(now, &node, &placement);
        }
        drop(dispatcher);
        shared.admission().remove_node(&node);
    }
    let nodes = shared.node_count(now);
    shared.dispatcher().set_node_count(nodes);
}

/// Sends a message to the controller; waits while its mailbox is full.
pub(crate) async fn send_to_controller(
    controller: &ActorRef<EngineController>,
    msg: ControllerMsg,
) {
    if controller.tell(msg).await.is_err() {
        tracing::error!(event = "keeper_stopped");
    }
}

/// Applies the heartbeat of another node if it is newer than the last one of that node.
fn handle_heartbeat(shared: &Shared, heartbeat: Heartbeat) {
    if heartbeat.node == shared.settings.node {
        return;
    }
    let now = clock::now();
    if !shared.peers().record_heartbeat(now, heartbeat.clone()) {
        return;
    }
    let mut dispatcher = shared.dispatcher();
    for placement in heartbeat.placements.iter().flatten() {
        dispatcher.apply_placement(now, &heartbeat.node, placement);
    }
    dispatcher.set_peer_loads(now, &heartbeat.node, heartbeat.upstream_loads);
    drop(dispatcher);
    shared.dispatch_waiting(now);
}

/// Builds the node's own heartbeat.
fn build_heartbeat(shared: &Shared, seq: u64) -> Heartbeat {
    let settings = &shared.settings;
    let now = clock::now();
    let engine_loads = shared.admission().engine_loads(now);
    let mut dispatcher = shared.dispatcher();
    dispatcher.set_peer_loads(now, &settings.node, engine_loads.clone());
    let mut loads = dispatcher.plain_upstream_loads();
    drop(dispatcher);
    loads.extend(engine_loads);
    Heartbeat {
        node: settings.node.clone(),
        incarnation: shared.incarnation,
        seq,
        zone: settings.zone.clone(),
        caller_address: settings.caller,
        peer_address: settings.peer,
        state: shared.node_state(),
        capacity: (settings.capacity * 1_000.0) as u32,
        adapter_loads_in_progress: u32::try_from(shared.adapter_loads_in_progress())
            .unwrap_or(u32::MAX),
        upstream_loads: loads,
        placements: Some(shared.placements().clone()),
    }
}

/// Addresses of the other nodes.
struct PeerTargets {
    /// Nodes of the same zone, and those whose zone is not known yet.
    same_zone: Vec<SocketAddr>,
    /// Nodes of other zones.
    other_zones: Vec<SocketAddr>,
}

/// Returns the addresses of all nodes that the store lists or that have sent a heartbeat.
fn peer_targets(shared: &Shared) -> PeerTargets {
    let mut nodes: HashMap<Name, (SocketAddr, bool)> =
        shared.members().iter().map(|(node, address)| (node.clone(), (*address, false))).collect();
    for peer in shared.peers().all() {
        let is_other_zone = peer.heartbeat.zone != shared.settings.zone;
        nodes.insert(peer.heartbeat.node.clone(), (peer.heartbeat.peer_address, is_other_zone));
    }
    nodes.remove(&shared.settings.node);
    let (other_zones, same_zone): (Vec<_>, Vec<_>) =
        nodes.into_values().partition(|(_, is_other_zone)| *is_other_zone);
    let addresses = |nodes: Vec<(SocketAddr, bool)>| nodes.into_iter().map(|(a, _)| a).collect();
    PeerTargets { same_zone: addresses(same_zone), other_zones: addresses(other_zones) }
}

/// Sends each adapter request to the holder of its engine: another node, or the controller of this
/// one. Requests for engines without an active holder are dropped.
async fn send_adapter_requests(
    shared: &Shared,
    controller: &ActorRef<EngineController>,
    requests: Vec<AdapterRequest>,
) {
    // The key is the address of the holder, or `None` if it is this node.
    let mut by_holder: HashMap<Option<SocketAddr>, Vec<AdapterRequest>> = HashMap::new();
    {
        let own_placements = shared.placements();
        let peers = shared.peers();
        for request in requests {
            let is_own_engine =
                own_placements.iter().any(|placement| placement.upstream == request.upstream);
            let holder = peers.all().find(|peer| {
                peer.heartbeat
                    .placements
                    .iter()
                    .flatten()
                    .any(|p| p.upstream == request.upstream && p.holder_active)
            });
            if request.is_first {
                let holder =
                    holder.filter(|_| !is_own_engine).map(|peer| peer.heartbeat.node.as_str());
                log_adapter_request(&request, holder, is_own_engine);
            }
            match holder {
                _ if is_own_engine => by_holder.entry(None).or_default().push(request),
                Some(holder) => {
                    by_holder.entry(Some(holder.heartbeat.peer_address)).or_default().push(request)
                }
                // The dispatcher repeats the request, and by then a holder may be known.
                None => {}
            }
        }
    }
    for (address, requests) in by_holder {
        match address {
            None => send_to_controller(controller, ControllerMsg::AdapterRequests(requests)).await,
            Some(address) => {
                let requests = Datagram::AdapterRequests(requests);
                shared.datagrams().send_all_waiting(&[address], &requests).await;
            }
        }
    }
}

fn log_adapter_request(request: &AdapterRequest, holder: Option<&str>, is_own_engine: bool) {
    tracing::info!(
        event = "want",
        upstream = %request.upstream,
        adapter = %request.adapter,
        waiting = request.waiting,
        holder = if is_own_engine { Some(request.node.as_str()) } else { holder }
    );
}
