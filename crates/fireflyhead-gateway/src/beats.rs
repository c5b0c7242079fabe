//! Datagrams between nodes.
//!
//! Every node sends its whole state to every other node: often within its zone, and less often
//! to other zones, whose traffic is priced. The intervals grow with the number of nodes, so that
//! the datagrams of one node stay bounded. When an adapter came into place, all are told at
//! once. Places at engines are asked for at their holders, so that admission does not depend on
//! the age of a beat.

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
use crate::keeper::Keeper;
use crate::keeper::KeeperMsg;
use crate::outgoing::MAX_DATAGRAM;
use crate::state::Shared;

/// Shortest interval of beats within the zone; load figures of plain upstreams and the choice
/// among replicas depend on it.
const INTERVAL: Duration = Duration::from_millis(100);
/// Interval for each node of the zone, which bounds a node at 100 datagrams a second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(10);
/// Shortest interval of beats to other zones.
const FAR_INTERVAL: Duration = Duration::from_millis(150);
/// Interval for each node of other zones, which bounds a node at 125 datagrams a second.
const FAR_INTERVAL_PER_NODE: Duration = Duration::from_millis(8);
/// Beats of which one states the placements again, in case one was lost when they changed.
const FULL_EVERY: u64 = 4;
/// Interval at which wants are looked at.
const WANT_INTERVAL: Duration = Duration::from_millis(15);

/// Sends beats and wants until the process ends.
pub async fn send(shared: Arc<Shared>, keeper: ActorRef<Keeper>) {
    let outgoing = shared.outgoing();
    let mut seq = 0;
    let mut changed = true;
    let (mut near_count, mut far_count) = (0_u64, 0_u64);
    let (mut next_near, mut next_far) = (clock::now(), clock::now());
    loop {
        let now = clock::now();
        shared.pump(now);
        let wants = shared.dispatcher().due_adapter_requests(now, &shared.settings.node);
        if !wants.is_empty() {
            send_wants(&shared, &keeper, wants).await;
        }
        if now >= next_near.min(next_far) {
            let Targets { near, far } = targets(&shared);
            seq += 1;
            let beat = beat(&shared, seq);
            if now >= next_near {
                let full = changed || near_count % FULL_EVERY == 0;
                near_count += 1;
                outgoing.send_all_waiting(&near, &datagram(&beat, full)).await;
                next_near = now + interval(INTERVAL, INTERVAL_PER_NODE, near.len());
            }
            if now >= next_far {
                let full = changed || far_count % FULL_EVERY == 0;
                far_count += 1;
                outgoing.send_all_waiting(&far, &datagram(&beat, full)).await;
                let interval = interval(FAR_INTERVAL, FAR_INTERVAL_PER_NODE, far.len());
                shared.peers().set_heartbeat_interval(interval);
                next_far = now + interval;
            }
            changed = false;
        }
        if timeout(WANT_INTERVAL, shared.beat_now.notified()).await.is_ok() {
            changed = true;
            (next_near, next_far) = (clock::now(), clock::now());
        }
    }
}

/// The beat, with or without what seldom changes.
fn datagram(beat: &Heartbeat, full: bool) -> Datagram {
    let mut beat = beat.clone();
    if !full {
        beat.placements = None;
        beat.upstream_loads.iter_mut().for_each(|load| load.adapters.clear());
    }
    Datagram::Heartbeat(Box::new(beat))
}

fn interval(least: Duration, per_node: Duration, nodes: usize) -> Duration {
    least.max(per_node.saturating_mul(u32::try_from(nodes).unwrap_or(u32::MAX)))
}

/// Receives datagrams until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>, keeper: ActorRef<Keeper>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _)) => len,
            Err(error) => {
                tracing::warn!(event = "receive_failed", %error);
                sleep(INTERVAL).await;
                continue;
            }
        };
        match decode(&buf[..len]) {
            Ok(Datagram::Heartbeat(beat)) => take_beat(&shared, *beat),
            Ok(Datagram::AdapterRequests(wants)) => {
                keeper_tell(&keeper, KeeperMsg::Wants(wants)).await
            }
            Ok(Datagram::Feed(feed)) => shared.feeds.offer(feed),
            Ok(Datagram::HolderMessages { node, messages }) => {
                shared.admit(clock::now(), &node, messages);
            }
            Ok(Datagram::AdmissionResponses { holder, responses }) => {
                shared.answered(clock::now(), &holder, responses);
            }
            Err(error) => tracing::warn!(event = "bad_datagram", error, len),
        }
    }
}

fn decode(bytes: &[u8]) -> Result<Datagram, String> {
    let datagram: wire::Datagram = codec::decode(bytes).map_err(|e| e.to_string())?;
    Datagram::try_from(datagram).map_err(|e| e.to_string())
}

/// Drops the state of nodes that fell silent.
pub fn tick(shared: &Shared) {
    let now = clock::now();
    let silent = shared.peers().prune(now);
    for node in silent {
        let beat = shared
            .peers()
            .all()
            .find(|peer| peer.heartbeat.node == node)
            .map(|p| p.heartbeat.clone());
        let mut dispatcher = shared.dispatcher();
        dispatcher.set_peer_loads(now, &node, Vec::new());
        for mut placement in beat.into_iter().flat_map(|beat| beat.placements).flatten() {
            placement.holder_active = false;
            dispatcher.apply_placement(now, &node, &placement);
        }
        drop(dispatcher);
        shared.admission().remove_node(&node);
    }
    let nodes = shared.node_count(now);
    shared.dispatcher().set_node_count(nodes);
}

/// Tells the keeper; a full mailbox delays the caller.
pub(crate) async fn keeper_tell(keeper: &ActorRef<Keeper>, msg: KeeperMsg) {
    if keeper.tell(msg).await.is_err() {
        tracing::error!(event = "keeper_stopped");
    }
}

fn take_beat(shared: &Shared, beat: Heartbeat) {
    if beat.node == shared.settings.node {
        return;
    }
    let now = clock::now();
    if !shared.peers().record_heartbeat(now, beat.clone()) {
        return;
    }
    let mut dispatcher = shared.dispatcher();
    for placement in beat.placements.iter().flatten() {
        dispatcher.apply_placement(now, &beat.node, placement);
    }
    dispatcher.set_peer_loads(now, &beat.node, beat.upstream_loads);
    drop(dispatcher);
    shared.pump(now);
}

fn beat(shared: &Shared, seq: u64) -> Heartbeat {
    let settings = &shared.settings;
    let now = clock::now();
    let held = shared.admission().engine_loads(now);
    let mut dispatcher = shared.dispatcher();
    dispatcher.set_peer_loads(now, &settings.node, held.clone());
    let mut loads = dispatcher.plain_upstream_loads();
    drop(dispatcher);
    loads.extend(held);
    Heartbeat {
        node: settings.node.clone(),
        incarnation: shared.incarnation,
        seq,
        zone: settings.zone.clone(),
        caller_address: settings.caller,
        peer_address: settings.peer,
        state: shared.node_state(),
        capacity: (settings.capacity * 1_000.0) as u32,
        adapter_loads_in_progress: u32::try_from(shared.loading()).unwrap_or(u32::MAX),
        upstream_loads: loads,
        placements: Some(shared.placements().clone()),
    }
}

/// Addresses of the other nodes.
struct Targets {
    /// Nodes of the own zone, and those whose zone is not known yet.
    near: Vec<SocketAddr>,
    /// Nodes of other zones.
    far: Vec<SocketAddr>,
}

fn targets(shared: &Shared) -> Targets {
    let mut nodes: HashMap<Name, (SocketAddr, bool)> =
        shared.members().iter().map(|(node, address)| (node.clone(), (*address, false))).collect();
    for peer in shared.peers().all() {
        let far = peer.heartbeat.zone != shared.settings.zone;
        nodes.insert(peer.heartbeat.node.clone(), (peer.heartbeat.peer_address, far));
    }
    nodes.remove(&shared.settings.node);
    let (far, near): (Vec<_>, Vec<_>) = nodes.into_values().partition(|(_, far)| *far);
    let addresses = |nodes: Vec<(SocketAddr, bool)>| nodes.into_iter().map(|(a, _)| a).collect();
    Targets { near: addresses(near), far: addresses(far) }
}

async fn send_wants(shared: &Shared, keeper: &ActorRef<Keeper>, wants: Vec<AdapterRequest>) {
    let mut by_node: HashMap<Option<SocketAddr>, Vec<AdapterRequest>> = HashMap::new();
    {
        let own = shared.placements();
        let peers = shared.peers();
        for want in wants {
            let mine = own.iter().any(|placement| placement.upstream == want.upstream);
            let holder = peers.all().find(|peer| {
                peer.heartbeat
                    .placements
                    .iter()
                    .flatten()
                    .any(|p| p.upstream == want.upstream && p.holder_active)
            });
            if want.is_first {
                let holder = holder.filter(|_| !mine).map(|peer| peer.heartbeat.node.as_str());
                log_want(&want, holder, mine);
            }
            match holder {
                _ if mine => by_node.entry(None).or_default().push(want),
                Some(holder) => {
                    by_node.entry(Some(holder.heartbeat.peer_address)).or_default().push(want)
                }
                // Stated again soon, when a holder may be known.
                None => {}
            }
        }
    }
    for (node, wants) in by_node {
        match node {
            None => keeper_tell(keeper, KeeperMsg::Wants(wants)).await,
            Some(address) => {
                let wants = Datagram::AdapterRequests(wants);
                shared.outgoing().send_all_waiting(&[address], &wants).await;
            }
        }
    }
}

fn log_want(want: &AdapterRequest, holder: Option<&str>, mine: bool) {
    tracing::info!(
        event = "want",
        upstream = %want.upstream,
        adapter = %want.adapter,
        waiting = want.waiting,
        holder = if mine { Some(want.node.as_str()) } else { holder }
    );
}
