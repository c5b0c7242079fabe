//! Heartbeats and other datagrams between nodes.
//!
//! Every node sends its whole state to every other node: often within its zone, and less often
//! to other zones, because traffic between zones is charged. The intervals grow with the number
//! of nodes, which bounds the number of datagrams that a node sends. When the placement of
//! adapters changes, all nodes are sent a heartbeat at once. Slots at engines are requested from
//! the holders of the engines, so that admission doesn't depend on the age of a heartbeat.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::message::Beat;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::Want;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;
use kameo::actor::ActorRef;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock;
use crate::datagram_sender::MAX_DATAGRAM_BYTES;
use crate::engine_controller::ControllerMsg;
use crate::engine_controller::EngineController;
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
    let mut changed = true;
    let (mut same_zone_count, mut other_zones_count) = (0_u64, 0_u64);
    let (mut next_same_zone, mut next_other_zones) = (clock::now(), clock::now());
    loop {
        let now = clock::now();
        shared.dispatch_waiting(now);
        let wants = shared.dispatcher().wants(now, &shared.settings.node);
        if !wants.is_empty() {
            send_adapter_requests(&shared, &controller, wants).await;
        }
        if now >= next_same_zone.min(next_other_zones) {
            let PeerTargets { same_zone, other_zones } = peer_targets(&shared);
            seq += 1;
            let beat = build_heartbeat(&shared, seq);
            if now >= next_same_zone {
                let full = changed || same_zone_count % FULL_HEARTBEAT_EVERY == 0;
                same_zone_count += 1;
                datagrams.send_all_waiting(&same_zone, &heartbeat_datagram(&beat, full)).await;
                next_same_zone = now
                    + interval(SAME_ZONE_INTERVAL, SAME_ZONE_INTERVAL_PER_NODE, same_zone.len());
            }
            if now >= next_other_zones {
                let full = changed || other_zones_count % FULL_HEARTBEAT_EVERY == 0;
                other_zones_count += 1;
                datagrams.send_all_waiting(&other_zones, &heartbeat_datagram(&beat, full)).await;
                let interval = interval(
                    OTHER_ZONES_INTERVAL,
                    OTHER_ZONES_INTERVAL_PER_NODE,
                    other_zones.len(),
                );
                shared.peers().expect_beats(interval);
                next_other_zones = now + interval;
            }
            changed = false;
        }
        if timeout(ADAPTER_REQUEST_INTERVAL, shared.heartbeat_now.notified()).await.is_ok() {
            changed = true;
            (next_same_zone, next_other_zones) = (clock::now(), clock::now());
        }
    }
}

/// Returns the datagram of a heartbeat. Unless `full`, it omits the placements and the load per
/// adapter, which seldom change.
fn heartbeat_datagram(beat: &Beat, full: bool) -> Datagram {
    let mut beat = beat.clone();
    if !full {
        beat.placements = None;
        beat.loads.iter_mut().for_each(|load| load.adapters.clear());
    }
    Datagram::Beat(Box::new(beat))
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
            Ok(Datagram::Beat(beat)) => handle_heartbeat(&shared, *beat),
            Ok(Datagram::Wants(wants)) => {
                send_to_controller(&controller, ControllerMsg::AdapterRequests(wants)).await
            }
            Ok(Datagram::Feed(feed)) => shared.feed_queue.push(feed),
            Ok(Datagram::ToHolder { node, messages }) => {
                shared.handle_holder_messages(clock::now(), &node, messages);
            }
            Ok(Datagram::Answers { holder, answers }) => {
                shared.handle_admission_responses(clock::now(), &holder, answers);
            }
            Err(error) => tracing::warn!(event = "bad_datagram", error, len),
        }
    }
}

fn decode_datagram(bytes: &[u8]) -> Result<Datagram, String> {
    let datagram: wire::Datagram = codec::decode(bytes).map_err(|e| e.to_string())?;
    Datagram::try_from(datagram).map_err(|e| e.to_string())
}

/// Drops the state of nodes whose heartbeats have stopped.
pub fn drop_unresponsive_nodes(shared: &Shared) {
    let now = clock::now();
    let silent = shared.peers().tick(now);
    for node in silent {
        let beat = shared.peers().all().find(|peer| peer.beat.node == node).map(|p| p.beat.clone());
        let mut dispatcher = shared.dispatcher();
        dispatcher.peer_load(now, &node, Vec::new());
        for mut placement in beat.into_iter().flat_map(|beat| beat.placements).flatten() {
            placement.open = false;
            dispatcher.placement(now, &node, &placement);
        }
        drop(dispatcher);
        shared.admission().forget(&node);
    }
    let nodes = shared.node_count(now);
    shared.dispatcher().set_nodes(nodes);
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

/// Applies the heartbeat of another node, unless it is older than the last one.
fn handle_heartbeat(shared: &Shared, beat: Beat) {
    if beat.node == shared.settings.node {
        return;
    }
    let now = clock::now();
    if !shared.peers().heard(now, beat.clone()) {
        return;
    }
    let mut dispatcher = shared.dispatcher();
    for placement in beat.placements.iter().flatten() {
        dispatcher.placement(now, &beat.node, placement);
    }
    dispatcher.peer_load(now, &beat.node, beat.loads);
    drop(dispatcher);
    shared.dispatch_waiting(now);
}

/// Builds the node's own heartbeat.
fn build_heartbeat(shared: &Shared, seq: u64) -> Beat {
    let settings = &shared.settings;
    let now = clock::now();
    let held = shared.admission().loads(now);
    let mut dispatcher = shared.dispatcher();
    dispatcher.peer_load(now, &settings.node, held.clone());
    let mut loads = dispatcher.plain_loads();
    drop(dispatcher);
    loads.extend(held);
    Beat {
        node: settings.node.clone(),
        incarnation: shared.incarnation,
        seq,
        zone: settings.zone.clone(),
        caller: settings.caller,
        peer: settings.peer,
        state: shared.node_state(),
        capacity: (settings.capacity * 1_000.0) as u32,
        loading: u32::try_from(shared.adapter_loads_in_progress()).unwrap_or(u32::MAX),
        loads,
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
        let is_other_zone = peer.beat.zone != shared.settings.zone;
        nodes.insert(peer.beat.node.clone(), (peer.beat.peer, is_other_zone));
    }
    nodes.remove(&shared.settings.node);
    let (other_zones, same_zone): (Vec<_>, Vec<_>) =
        nodes.into_values().partition(|(_, is_other_zone)| *is_other_zone);
    let addresses = |nodes: Vec<(SocketAddr, bool)>| nodes.into_iter().map(|(a, _)| a).collect();
    PeerTargets { same_zone: addresses(same_zone), other_zones: addresses(other_zones) }
}

/// Sends adapter requests to the holders of the engines, or to the controller of this node.
async fn send_adapter_requests(
    shared: &Shared,
    controller: &ActorRef<EngineController>,
    wants: Vec<Want>,
) {
    let mut by_node: HashMap<Option<SocketAddr>, Vec<Want>> = HashMap::new();
    {
        let own = shared.placements();
        let peers = shared.peers();
        for want in wants {
            let mine = own.iter().any(|placement| placement.upstream == want.upstream);
            let holder = peers.all().find(|peer| {
                peer.beat.placements.iter().flatten().any(|p| p.upstream == want.upstream && p.open)
            });
            if want.first {
                let holder = holder.filter(|_| !mine).map(|peer| peer.beat.node.as_str());
                log_adapter_request(&want, holder, mine);
            }
            match holder {
                _ if mine => by_node.entry(None).or_default().push(want),
                Some(holder) => by_node.entry(Some(holder.beat.peer)).or_default().push(want),
                // The dispatcher repeats the request, and by then a holder may be known.
                None => {}
            }
        }
    }
    for (node, wants) in by_node {
        match node {
            None => send_to_controller(controller, ControllerMsg::AdapterRequests(wants)).await,
            Some(address) => {
                let wants = Datagram::Wants(wants);
                shared.datagrams().send_all_waiting(&[address], &wants).await;
            }
        }
    }
}

fn log_adapter_request(want: &Want, holder: Option<&str>, mine: bool) {
    tracing::info!(
        event = "want",
        upstream = %want.upstream,
        adapter = %want.adapter,
        waiting = want.waiting,
        holder = if mine { Some(want.node.as_str()) } else { holder }
    );
}
