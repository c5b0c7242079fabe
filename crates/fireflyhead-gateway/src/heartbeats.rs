//! Heartbeats and other datagrams between nodes.
//!
//! A node that serves callers has to know the load and the adapters of all engines, and all nodes
//! have to know the nodes that serve, to which the directory sends callers. Other nodes only have to
//! know of each other. Heartbeats are therefore sent
//!
//! - between a node that serves and one that serves or owns engines: often within the zone, and less
//!   often to other zones, because traffic between zones is charged; at once when the placement of
//!   adapters changes,
//! - from a node that serves to any other one: often enough to notice its loss,
//! - between other nodes: seldom, and mostly without placements,
//! - to all nodes at once when a node begins or stops to serve or to accept callers.
//!
//! The intervals grow with the number of nodes, which bounds the number of datagrams that a node
//! sends. Slots at engines are requested from the holders of the engines, so that admission doesn't
//! depend on the age of a heartbeat.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Time;
use fireflyhead_policy::message::ACTIVITY_PROTOCOL;
use fireflyhead_policy::message::Activity;
use fireflyhead_policy::message::AdapterRequest;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::peers::HeartbeatIntervals;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;
use kameo::actor::ActorRef;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock;
use crate::config_exchange;
use crate::datagram_sender::MAX_DATAGRAM_BYTES;
use crate::departures;
use crate::engine_controller::ControllerMsg;
use crate::engine_controller::EngineController;
use crate::quarantine;
use crate::quota;
use crate::request_limits;
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
/// Interval of heartbeats from a node that serves callers to one that doesn't.
const SERVING_TO_IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest and longest interval of heartbeats between nodes that don't serve callers.
const IDLE_INTERVAL_RANGE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(5));
/// Interval per such node, which limits a node to 34 datagrams per second while the interval is
/// below the longest one.
const IDLE_INTERVAL_PER_NODE: Duration = Duration::from_millis(30);
/// Interval, per such node, at which these heartbeats carry placements: with those of all engines in
/// each, they were half of the bytes between 63 nodes, and most of them between 300.
const IDLE_CONTENT_INTERVAL_PER_NODE: Duration = Duration::from_millis(200);
/// Time for which a node that stopped to serve callers still sends heartbeats like one that serves,
/// in case the one that tells it was lost.
const SERVING_LINGER: Duration = Duration::from_secs(2);
/// Interval at which due adapter requests are sent, while requests wait.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Longest pause of the task that sends heartbeats.
const MAX_SENDER_PAUSE: Duration = Duration::from_millis(100);

/// Times at which the next heartbeats are due.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// Within the zone, to nodes that need the state often.
    same_zone: Time,
    /// To such nodes of other zones.
    other_zones: Time,
    /// To the other nodes.
    idle: Time,
}

impl Schedule {
    /// Returns the time at which the next heartbeat is due.
    fn next(&self) -> Time {
        self.same_zone.min(self.other_zones).min(self.idle)
    }
}

/// Sends heartbeats and adapter requests, and decides on waiting requests, until the process ends.
pub async fn run_sender(shared: Arc<Shared>, controller: ActorRef<EngineController>) {
    let mut seq = 0;
    let mut force_full = true;
    // Numbers of heartbeats sent within the zone, to other zones and to nodes that need few.
    let mut sent = (0_u64, 0_u64, 0_u64);
    let start = clock::now();
    let mut schedule = Schedule { same_zone: start, other_zones: start, idle: start };
    let mut served_at: Option<Time> = None;
    let mut idle_content_due = start;
    loop {
        let now = clock::now();
        shared.dispatch_waiting(now);
        shared.send_engine_models(now);
        let requests = shared.dispatcher().due_adapter_requests(now, &shared.settings.node);
        if !requests.is_empty() {
            send_adapter_requests(&shared, &controller, requests).await;
        }
        if shared.take_announcement_due() {
            force_full = true;
            schedule = Schedule { same_zone: now, other_zones: now, idle: now };
        }
        if shared.take_placements_changed() {
            force_full = true;
            (schedule.same_zone, schedule.other_zones) = (now, now);
        }
        if now >= schedule.next() {
            if shared.serving.is_serving() {
                served_at = Some(now);
            }
            let sends_often = served_at.is_some_and(|at| now.since(at) < SERVING_LINGER);
            seq += 1;
            let heartbeat = build_heartbeat(&shared, seq);
            let PeerTargets { same_zone, other_zones, idle } =
                peer_targets(&shared, sends_often || heartbeat.has_content());
            let full = |sent: &mut u64| {
                *sent += 1;
                force_full || (*sent - 1).is_multiple_of(FULL_HEARTBEAT_EVERY)
            };
            let intervals = peer_intervals(&shared, idle.len());
            shared.peers().set_heartbeat_intervals(intervals);
            if now >= schedule.same_zone {
                let known = shared.peers().count_same_zone(&shared.settings.zone);
                // Includes nodes whose zone is not known yet.
                let nodes = known.max(same_zone.len());
                schedule.same_zone =
                    now + interval(SAME_ZONE_INTERVAL, SAME_ZONE_INTERVAL_PER_NODE, nodes);
                send_heartbeat(&shared, &heartbeat, full(&mut sent.0), &same_zone).await;
            }
            if now >= schedule.other_zones {
                schedule.other_zones = now + intervals.regular;
                send_heartbeat(&shared, &heartbeat, full(&mut sent.1), &other_zones).await;
            }
            if now >= schedule.idle {
                let full = match sends_often {
                    true => full(&mut sent.2),
                    false => force_full || shared.take_new_peer() || now >= idle_content_due,
                };
                schedule.idle =
                    now + if sends_often { SERVING_TO_IDLE_INTERVAL } else { intervals.idle };
                if full {
                    idle_content_due = now + idle_content_interval(idle.len());
                }
                send_heartbeat(&shared, &heartbeat, full, &idle).await;
            }
            force_full = false;
        }
        let pause = match shared.has_waiting() {
            true => ADAPTER_REQUEST_INTERVAL,
            false => MAX_SENDER_PAUSE.min(schedule.next().since(clock::now())),
        };
        tokio::select! {
            () = shared.heartbeat_now.notified() => {}
            () = shared.dispatch_now.notified() => {}
            () = sleep(pause) => {}
        }
    }
}

/// Returns the longest intervals of heartbeats, given the number of nodes that need few
/// of them.
fn peer_intervals(shared: &Shared, idle_nodes: usize) -> HeartbeatIntervals {
    let other_zones = shared.peers().count_other_zones(&shared.settings.zone);
    let (shortest, longest) = IDLE_INTERVAL_RANGE;
    HeartbeatIntervals {
        regular: interval(OTHER_ZONES_INTERVAL, OTHER_ZONES_INTERVAL_PER_NODE, other_zones),
        idle: interval(shortest, IDLE_INTERVAL_PER_NODE, idle_nodes).min(longest),
    }
}

/// Sends a heartbeat, without the activity to nodes of earlier builds.
async fn send_heartbeat(shared: &Shared, heartbeat: &Heartbeat, full: bool, targets: &Targets) {
    let datagrams = shared.datagrams();
    if !targets.current.is_empty() {
        let datagram = heartbeat_datagram(heartbeat, full, heartbeat.activity);
        datagrams.send_all_waiting(&targets.current, &datagram).await;
    }
    if !targets.earlier.is_empty() {
        let datagram = heartbeat_datagram(heartbeat, full, None);
        datagrams.send_all_waiting(&targets.earlier, &datagram).await;
    }
}

/// Returns the interval of heartbeats with content to `nodes` nodes that need few.
fn idle_content_interval(nodes: usize) -> Duration {
    IDLE_CONTENT_INTERVAL_PER_NODE.saturating_mul(u32::try_from(nodes).unwrap_or(u32::MAX))
}

/// Returns the datagram of a heartbeat. Unless `full`, it omits the placements and the load per
/// adapter, which seldom change.
fn heartbeat_datagram(heartbeat: &Heartbeat, full: bool, activity: Option<Activity>) -> Datagram {
    let mut heartbeat = Heartbeat { activity, ..heartbeat.clone() };
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
            Ok(Datagram::Feed(feed)) => {
                shared.record_store_reply(clock::now());
                shared.feed_queue.push(feed);
            }
            Ok(Datagram::HolderMessages { node, messages }) => {
                let now = clock::now();
                shared.handle_holder_messages(now, &node, messages);
                shared.send_holder_messages(now);
            }
            Ok(Datagram::AdmissionResponses { holder, responses }) => {
                let now = clock::now();
                shared.handle_admission_responses(now, &holder, responses);
                shared.send_holder_messages(now);
            }
            Ok(Datagram::CrashReports(reports)) => quarantine::handle_reports(&shared, &reports),
            Ok(Datagram::EngineModels(models)) => {
                shared.apply_engine_models(clock::now(), &models);
            }
            Ok(Datagram::RequestLimits(limits)) => request_limits::handle_notice(&shared, &limits),
            Ok(Datagram::Departures(departures)) => departures::handle_notice(&shared, &departures),
            Ok(Datagram::QuotaRequest(request)) => quota::handle_request(&shared, &request),
            Ok(Datagram::QuotaGrant(grant)) => quota::handle_grant(&shared, &grant),
            Ok(Datagram::ConfigNotice(notice)) => config_exchange::handle_notice(&shared, &notice),
            Ok(Datagram::ConfigRequest(request)) => {
                config_exchange::handle_request(&shared, &request);
            }
            Ok(Datagram::ConfigPart(part)) => config_exchange::handle_part(&shared, &part),
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
    request_limits::update_coordinators(shared, now);
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
    let known = shared.peers().incarnation(heartbeat.node.as_str());
    if !shared.peers().record_heartbeat(now, heartbeat.clone()) {
        return;
    }
    if known != Some(heartbeat.incarnation) {
        shared.note_new_peer();
    }
    let mut dispatcher = shared.dispatcher();
    for placement in heartbeat.placements.iter().flatten() {
        dispatcher.apply_placement(now, &heartbeat.node, placement);
    }
    dispatcher.set_peer_loads(now, &heartbeat.node, heartbeat.upstream_loads);
    if heartbeat.placements.is_some() && dispatcher.has_waiting() {
        shared.dispatch_now.notify_one();
    }
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
    let load = shared.serving.load();
    let own_adapter_loads = u32::try_from(shared.adapter_loads_in_progress()).unwrap_or(u32::MAX);
    Heartbeat {
        node: settings.node.clone(),
        incarnation: shared.incarnation,
        seq,
        zone: settings.zone.clone(),
        caller_address: settings.caller,
        peer_address: settings.peer,
        state: shared.node_state(),
        capacity: (settings.capacity * 1_000.0) as u32,
        adapter_loads_in_progress: own_adapter_loads,
        upstream_loads: loads,
        placements: Some(shared.placements().clone()),
        activity: Some(Activity {
            serving: shared.serving.is_serving(),
            utilisation_permille: load.utilisation_permille,
            requests_per_s: load.requests_per_s,
            fleet_adapter_loads: shared
                .peers()
                .adapter_loads_in_progress(now)
                .saturating_add(own_adapter_loads),
        }),
    }
}

/// Addresses of nodes.
#[derive(Default)]
struct Targets {
    /// Nodes that understand an [`Activity`].
    current: Vec<SocketAddr>,
    /// Nodes of earlier builds, and those of which only the store tells.
    earlier: Vec<SocketAddr>,
}

/// Addresses of the other nodes, by how often they are sent heartbeats.
#[derive(Default)]
struct PeerTargets {
    /// Nodes of the same zone that need the state often, and those whose zone is not known yet.
    same_zone: Targets,
    /// Nodes of other zones that need the state often.
    other_zones: Targets,
    /// Other nodes.
    idle: Targets,
}

impl Targets {
    fn len(&self) -> usize {
        self.current.len() + self.earlier.len()
    }
}

/// Returns the addresses of all nodes that the store lists or that have sent a heartbeat.
/// `is_needed` tells whether nodes that serve callers need the state of this node often.
fn peer_targets(shared: &Shared, is_needed: bool) -> PeerTargets {
    let mut targets = PeerTargets::default();
    let peers = shared.peers();
    for peer in peers.all() {
        let heartbeat = &peer.heartbeat;
        let group = match is_needed && heartbeat.is_serving() || heartbeat.activity.is_none() {
            false => &mut targets.idle,
            true if heartbeat.zone == shared.settings.zone => &mut targets.same_zone,
            true => &mut targets.other_zones,
        };
        let group = match shared.protocol_versions.understands(heartbeat, ACTIVITY_PROTOCOL) {
            true => &mut group.current,
            false => &mut group.earlier,
        };
        group.push(heartbeat.peer_address);
    }
    for (node, address) in shared.members().iter() {
        if *node != shared.settings.node && !peers.contains(node.as_str()) {
            targets.same_zone.earlier.push(*address);
        }
    }
    targets
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
